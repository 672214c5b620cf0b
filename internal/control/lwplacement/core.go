// Package lwplacement decides which task starts where, how much it is given,
// and which one is slowed down or makes room. It is a core without I/O: it
// reads the replicated state, remembers lagging observations, and returns
// commands; the same calls in the same order give the same commands. The state
// checks every command again before it takes effect.
package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Rule chooses the worker for a task.
type Rule interface{ rule() }

// Weighed is the production rule: a chain of filters and scores.
type Weighed struct{}

// FirstFit takes the first worker with room. It is a baseline.
type FirstFit struct{}

// BestFit takes the worker that is left with the least room. It is a baseline.
type BestFit struct{}

// AnyFit takes a worker with room at random. It is a baseline.
type AnyFit struct{ Seed uint64 }

// Partition keeps batch off the first Share of the workers. It is a baseline.
type Partition struct{ Share float64 }

func (Weighed) rule()   {}
func (FirstFit) rule()  {}
func (BestFit) rule()   {}
func (AnyFit) rule()    {}
func (Partition) rule() {}

// Ladder says how disturbance of services is answered.
type Ladder int

// The ladders.
const (
	LadderFull      Ladder = iota // place apart, throttle, evict
	LadderEvictOnly               // evict at the first sign; a baseline
	LadderNone                    // do nothing; a baseline
)

// Config tunes a core. DefaultConfig is what production uses.
type Config struct {
	Rule         Rule
	Ladder       Ladder
	LearnSizes   bool          // reserve what tasks of a class use, not what they declare
	LearnPairs   bool          // place apart what disturbs
	RejectAfter  time.Duration // without a new worker, until a job that fits none is rejected
	MaxStarts    int           // placements in one decision
	MaxStops     int           // evictions in one decision
	UrgentWait   time.Duration
	AgingLimit   time.Duration // batch waits as if its deadline were this far off
	HoldAfter    time.Duration // a task that fits nowhere gets a worker cleared for it
	MaxHolds     int
	LateEnter    float64       // share of late requests at which the ladder is climbed
	LateLeave    float64       // and below which it is left
	LeaveAfter   int           // calm signals in a row before a step down
	ThrottleTo   int           // percent, first step; halved at the second
	Tolerance    float64       // late share for which a new batch task does not wait
	ToleranceUp  time.Duration // wait that doubles the tolerance
	MoveEvery    time.Duration // between moves of noisy tasks to quieter workers
	FailuresOut  int           // failures of different jobs in a row that take a worker out
	ProbeFirst   time.Duration // until the first probe of such a worker; doubles
	ProbeLongest time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{
		Rule: Weighed{}, Ladder: LadderFull, LearnSizes: true, LearnPairs: true, RejectAfter: 2 * time.Second, MaxStarts: 50, MaxStops: 20,
		UrgentWait: 200 * time.Millisecond, AgingLimit: 4 * time.Hour, HoldAfter: 5 * time.Minute, MaxHolds: 3,
		LateEnter: 0.01, LateLeave: 0.005, LeaveAfter: 3, ThrottleTo: 50,
		Tolerance: 0.004, ToleranceUp: 10 * time.Minute, MoveEvery: 10 * time.Second, FailuresOut: 3, ProbeFirst: time.Minute, ProbeLongest: 30 * time.Minute,
	}
}

// Class groups the attempts that are expected to behave alike.
type Class struct {
	Team    lwunit.TeamName
	Program string
}

func classOf(j lwstate.Job) Class { return Class{j.Spec.Team, programName(j.Spec.Program)} }

// programName drops what follows a colon: the parameters of one run.
func programName(program string) string {
	for i := range len(program) {
		if program[i] == ':' {
			return program[:i]
		}
	}
	return program
}

// Observation is something an agent saw.
type Observation interface{ observation() }

// UsageSeen is what an attempt used, measured Age before it was reported.
type UsageSeen struct {
	Task lwunit.TaskID
	Used lwunit.Resources
	Age  time.Duration
}

// SignalSeen is what requests to a service on a worker met since the signal
// before.
type SignalSeen struct {
	Worker   lwunit.WorkerID
	Service  lwunit.ServiceName
	Requests int
	Late     int
	Busy     int
	Queued   int
	Slots    int
	Window   time.Duration // time it covers
	Age      time.Duration // since the end of that time
}

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	Worker lwunit.WorkerID
	Task   lwunit.TaskID
	Failed bool
}

func (UsageSeen) observation()    {}
func (SignalSeen) observation()   {}
func (AttemptEnded) observation() {}

// Core holds what was learned since this replica began to lead. It is not
// safe for concurrent use.
type Core struct {
	cfg     Config
	sizes   sizes
	pairs   pairs
	prices  prices
	history history
	ladder  map[lwunit.WorkerID]*rungs
	health  health
	holds   map[lwunit.JobID]hold
	blocked map[lwunit.JobID]time.Duration // since when a job's next task fits nowhere
	cleared map[lwunit.WorkerID]clearing   // room being made for an urgent job
	budget  evictionBudget
	movedAt time.Duration

	resizedAt time.Duration
	workers   int           // known at the last decision
	workersAt time.Duration // when their number last changed
	picks     uint64
}

// New returns a core that has observed nothing.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, sizes: newSizes(), pairs: newPairs(), prices: newPrices(), history: newHistory(), ladder: make(map[lwunit.WorkerID]*rungs), health: newHealth(cfg),
		holds: make(map[lwunit.JobID]hold), blocked: make(map[lwunit.JobID]time.Duration),
		cleared: make(map[lwunit.WorkerID]clearing),
	}
}

// Observe takes in what an agent saw.
func (c *Core) Observe(now time.Duration, s *lwstate.State, o Observation) {
	switch o := o.(type) {
	case UsageSeen:
		c.observeUsage(s, o)
	case SignalSeen:
		c.observeSignal(now, o)
	case AttemptEnded:
		c.health.ended(now, s, o)
		c.observeEnd(s, o)
	}
}

// Decide returns the commands that should follow now: a pipeline of stages,
// each of which sees what the ones before it took.
func (c *Core) Decide(now time.Duration, s *lwstate.State) []lwstate.Command {
	r := newRound(now, s)
	if len(r.workers) != c.workers {
		c.workers, c.workersAt = len(r.workers), now
	}
	c.forget(now, s)
	stages := []func(*round){c.remember, c.reprice, c.judgeWorkers, c.resize, c.climb, c.drain, c.start, c.preempt, c.rebalance}
	for _, stage := range stages {
		stage(r)
	}
	return r.commands()
}

// Throttles returns the limits in force on a worker, in percent.
func (c *Core) Throttles(w lwunit.WorkerID) map[lwunit.TaskID]int {
	if l := c.ladder[w]; l != nil {
		return l.throttled
	}
	return nil
}

// forget drops notes about jobs that no longer wait and room that was taken.
func (c *Core) forget(now time.Duration, s *lwstate.State) {
	for id := range c.blocked {
		if !s.Waits(id) {
			delete(c.blocked, id)
			delete(c.holds, id)
		}
	}
	for w, cl := range c.cleared {
		if now > cl.until || !s.Waits(cl.job) {
			delete(c.cleared, w)
		}
	}
}
