// Package lwplacement decides on which worker each queued task of a team's job
// (lwstate.Job) starts, how much of the worker is reserved for it, and which tasks
// are throttled or evicted; package lwdispatch does this for the jobs of queues. It
// does no I/O: it reads the replicated state, learns from delayed measurements
// and returns commands. The same calls in the same order give the same commands.
// The state machine checks every command again before it takes effect.
package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Rule is the strategy by which the worker for a task is chosen.
type Rule interface{ rule() }

// WeightedScore is the production rule: it filters the workers and takes the one
// with the lowest weighted sum of scores.
type WeightedScore struct{}

// FirstFit takes the first worker with room, by name. It is a baseline.
type FirstFit struct{}

// BestFit takes the worker that is left with the least room. It is a baseline.
type BestFit struct{}

// RandomFit takes a worker with room at random. It is a baseline.
type RandomFit struct{ Seed uint64 }

// StaticPartition reserves the first Share of the workers, from 0 to 1, for
// latency-critical jobs and otherwise places as BestFit does. It is a baseline.
type StaticPartition struct{ Share float64 }

func (WeightedScore) rule()   {}
func (FirstFit) rule()        {}
func (BestFit) rule()         {}
func (RandomFit) rule()       {}
func (StaticPartition) rule() {}

// Escalation says how the core reacts when batch tasks interfere with services.
type Escalation int

// The ways to react.
const (
	EscalationFull      Escalation = iota // avoid interference by placement, then throttle, then evict
	EscalationEvictOnly                   // evict at the first sign of interference; a baseline
	EscalationNone                        // do nothing; a baseline
)

// Config tunes a core.
type Config struct {
	Rule               Rule
	Escalation         Escalation
	LearnSizes         bool          // reserve the measured use of a team's program, not only the declaration of the job
	LearnInterference  bool          // learn which programs interfere with which services, and place by that
	RejectAfter        time.Duration // since the number of workers last changed, until a job that fits none is rejected
	MaxStarts          int           // placements in one decision
	MaxStops           int           // evictions in one decision
	PreemptAfter       time.Duration // wait of an urgent or latency-critical job that fits nowhere, until batch tasks are evicted for it
	AgingLimit         time.Duration // a job counts as due to start at most this long after its submission
	ReserveWorkerAfter time.Duration // wait of a job that fits nowhere, until a worker is kept free for it
	MaxReservedWorkers int           // kept free in this way at a time
	EscalateLateShare  float64       // share of late requests above which a worker's escalation steps up
	CalmLateShare      float64       // share below which a signal counts as calm
	CalmSignals        int           // calm signals in a row before a step down
	ThrottlePercent    int           // of its processors for a throttled task; halved at the second step
	ToleratedLateShare float64       // additional share of late requests that a new batch task may cause instead of waiting
	ToleranceDoubling  time.Duration // wait that doubles this share
	MoveInterval       time.Duration // between searches for a task to move where it interferes less
	SuspectFailures    int           // different jobs that must fail on a worker in a row to make it suspect
	FirstProbeDelay    time.Duration // until a suspect worker is probed; doubles with each failed probe
	MaxProbeDelay      time.Duration
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{
		Rule: WeightedScore{}, Escalation: EscalationFull, LearnSizes: true, LearnInterference: true, RejectAfter: 2 * time.Second, MaxStarts: 50, MaxStops: 20,
		PreemptAfter: 200 * time.Millisecond, AgingLimit: 4 * time.Hour, ReserveWorkerAfter: 5 * time.Minute, MaxReservedWorkers: 3,
		EscalateLateShare: 0.01, CalmLateShare: 0.005, CalmSignals: 3, ThrottlePercent: 50,
		ToleratedLateShare: 0.004, ToleranceDoubling: 10 * time.Minute, MoveInterval: 10 * time.Second, SuspectFailures: 3, FirstProbeDelay: time.Minute, MaxProbeDelay: 30 * time.Minute,
	}
}

// TeamProgram is a program of one team, named as by programName. Its attempts are
// expected to use similar amounts of resources.
type TeamProgram struct {
	Team    lwunit.TeamName
	Program string
}

func teamProgramOf(j lwstate.Job) TeamProgram {
	return TeamProgram{j.Spec.Team, programName(j.Spec.Program)}
}

// programName returns a program without what follows the first colon, which are
// the parameters of one job.
func programName(program string) string {
	for i := range len(program) {
		if program[i] == ':' {
			return program[:i]
		}
	}
	return program
}

// Observation is a measurement or event that an agent reported.
type Observation interface{ observation() }

// UsageSample is the resource use of an attempt, measured Age before the report.
type UsageSample struct {
	Task lwunit.TaskID
	Used lwunit.Resources
	Age  time.Duration
}

// SignalSample describes the requests to a service on a worker since the previous
// signal.
type SignalSample struct {
	Worker   lwunit.WorkerID
	Service  lwunit.ServiceName
	Requests int
	Late     int // of these, slower than the service's tail latency target
	Busy     int // slots in use
	Queued   int
	Slots    int
	Window   time.Duration // time that the signal covers
	Age      time.Duration // since the end of the window
}

// AttemptEnded says that an attempt succeeded or failed.
type AttemptEnded struct {
	Worker lwunit.WorkerID
	Task   lwunit.TaskID
	Failed bool
}

func (UsageSample) observation()  {}
func (SignalSample) observation() {}
func (AttemptEnded) observation() {}

// Core holds what was learned since this replica became the leader. It is not
// safe for concurrent use.
type Core struct {
	cfg            Config
	sizes          sizeModel
	interference   interferenceModel
	prices         prices
	history        history
	escalations    map[lwunit.WorkerID]*workerEscalation
	health         health
	background     lwblame.Background
	observedAt     time.Duration // when background was last updated
	trials         map[lwunit.WorkerID]trial
	reservations   map[lwunit.JobID]reservation
	blockedSince   map[lwunit.JobID]time.Duration // when a job's next task was first found to fit nowhere
	earmarks       map[lwunit.WorkerID]earmark    // workers whose free room only one job may use
	budget         evictionBudget
	moveSearchedAt time.Duration

	evacuationWaits map[lwunit.JobID]*evacuationWaits
	newWaits        []EvacuationWait // not yet taken

	resizedAt            time.Duration
	workerCount          int // at the last decision
	workerCountChangedAt time.Duration
	randomDraws          uint64
}

// New returns a core without observations.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, sizes: newSizeModel(), interference: newInterferenceModel(), prices: newPrices(), history: newHistory(), escalations: make(map[lwunit.WorkerID]*workerEscalation), health: newHealth(cfg),
		reservations: make(map[lwunit.JobID]reservation), blockedSince: make(map[lwunit.JobID]time.Duration),
		trials: make(map[lwunit.WorkerID]trial), earmarks: make(map[lwunit.WorkerID]earmark), evacuationWaits: make(map[lwunit.JobID]*evacuationWaits),
	}
}

// Observe learns from what an agent reported.
func (c *Core) Observe(now time.Duration, s *lwstate.State, o Observation) {
	switch o := o.(type) {
	case UsageSample:
		c.observeUsage(s, o)
	case SignalSample:
		c.observeSignal(now, o)
	case AttemptEnded:
		c.health.observeEnd(now, s, o)
		c.observeEnd(s, o)
	}
}

// Decide returns the commands to propose now. Its stages run in a fixed order,
// and each sees the room that the earlier ones took.
func (c *Core) Decide(now time.Duration, s *lwstate.State) []lwstate.Command {
	r := newRound(now, s)
	if len(r.workers) != c.workerCount {
		c.workerCount, c.workerCountChangedAt = len(r.workers), now
	}
	c.dropStale(r)
	stages := []func(*round){c.observeBackground, c.recordHistory, c.updatePrices, c.updateSuspects, c.resize, c.escalate, c.drain, c.start, c.preempt, c.rebalance}
	for _, stage := range stages {
		stage(r)
	}
	return r.commands()
}

// Throttles returns the CPU limits of the throttled tasks on a worker, in percent
// of their processors.
func (c *Core) Throttles(w lwunit.WorkerID) map[lwunit.TaskID]int {
	if e := c.escalations[w]; e != nil {
		return e.throttled
	}
	return nil
}

// dropStale drops the records of jobs that no longer wait, reservations of workers
// that take no tasks any more, and earmarks that have expired, whose job no longer
// waits or whose worker is in an evacuated domain.
func (c *Core) dropStale(r *round) {
	s := r.state
	for id := range c.blockedSince {
		if !s.HasQueuedTasks(id) {
			delete(c.blockedSince, id)
			delete(c.reservations, id)
		}
	}
	for id, reserved := range c.reservations {
		if w, ok := s.Worker(reserved.worker); !ok || !r.acceptsTasks(&w) {
			delete(c.reservations, id)
		}
	}
	for id, mark := range c.earmarks {
		w, ok := s.Worker(id)
		if r.now > mark.until || !s.HasQueuedTasks(mark.job) || (ok && r.isEvacuated(&w)) {
			delete(c.earmarks, id)
		}
	}
	for id := range c.evacuationWaits {
		if !s.HasQueuedTasks(id) {
			delete(c.evacuationWaits, id)
		}
	}
}
