package lwdispatch

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// runPhase is how far a run has come.
type runPhase uint8

const (
	runOrdered  runPhase = iota // the order was sent; the worker may have begun
	runListed                   // the worker lists it
	runStopping                 // a stop was ordered; it counts until its end is certain
)

// run is one start of a task that may exist on a worker.
type run struct {
	task     *task
	id       lwjob.RunID
	worker   *worker
	phase    runPhase
	sentAt   time.Duration // when the newest order about it was sent
	began    time.Duration // when it was ordered first
	pace     int           // percent that was ordered last
	pacedAt  time.Duration // when its pace was ordered last
	slowedAt time.Duration // when it was last below its full pace
	withheld bool          // its start is ordered once its place is recorded
	row      RunRow        // as listed last

	// Of a run that serves, as learned from its tail.
	base         float64       // undisturbed tail, in milliseconds; 0 until it is seen
	baseVariance float64       // relative
	fitAt        time.Duration // of the last figure
}

// task is one task of an occurrence.
type task struct {
	step   *step
	index  int
	name   lwunit.TaskID
	done   bool
	failed []lwjob.RunID // runs that failed
	saved  string
	last   lwjob.RunID // highest run ordered or seen
	runs   []*run
	after  time.Duration    // not to be started before
	place  lwjob.WorkerLife // as an earlier leader recorded it
}

// step is one step of one occurrence of a job.
type step struct {
	job       *job
	occ       lwjob.Occurrence
	number    int
	spec      *lwjob.Step
	tasks     []*task
	left      int           // tasks not done
	waiting   int           // steps it depends on that are not done
	readyAt   time.Duration // when its turn came
	advice    advice
	feeds     []*step
	tail      time.Duration // expected time from its start to the job's end
	checked   uint64        // stamp up to which no worker had a place for it
	checkedAt time.Duration // when all workers were looked at
	most      float64       // largest share of the declared processors that a task of it was seen to use
}

// job is one accepted job that has not ended.
type job struct {
	spec     *lwjob.Spec
	queue    lwconfig.Queue
	term     uint64
	accepted time.Duration // on the leader's clock
	chain    time.Duration // expected time of its longest chain
	work     float64       // when it was accepted, in millicore seconds
	steps    [][]*step     // by occurrence
	live     int           // runs that may exist
	started  bool
	stopped  bool // cancelled, failed or done: nothing of it may start
	placed   bool // the places of its long-running tasks are recorded
	overAt   time.Duration
}

// worker is one life of a worker.
type worker struct {
	info        WorkerInfo
	token       Token
	enrolled    bool          // the roster names it
	silent      bool          // it does not answer its agent
	unknownRuns bool          // it lists runs of jobs that nobody remembers, whose size is not known
	current     bool          // its lists were read under the present token
	leaseEnd    time.Duration // when all that it runs has ended unless it is renewed
	seenAt      time.Duration
	runs        map[runKey]*run
	used        lwunit.Resources // of runs that count against its capacity
	filling     lwunit.Millicores
	overcommit  float64       // millicores of filling work beyond what other tasks leave by their declarations
	measured    bool          // overcommit was
	clock       lwunit.Millis // of the newest lists taken in
	ends        int64         // highest number taken in
	cursor      int64         // highest number recorded
	health      health
	over        bool // a tail on it misses its target
	overSince   time.Duration
	raisedAt    time.Duration      // when a pace was raised last
	felt        map[string]float64 // share of its processors that each filling image uses, smoothed as tails are
	feltAt      time.Duration
	dirty       bool               // it has changed since it was stamped
	stamp       uint64             // of its last change
	asked       float64            // see askedNow; negative until it is computed
	bears       map[string]float64 // share that each image may use where it begins, until something changes
}

// absent is a worker life that an earlier leader gave tasks and that has not
// reported yet.
type absent struct {
	agent    string
	leaseEnd time.Duration // when all that it runs has surely ended
}

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// Core is the dispatcher of one term. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	term     uint64
	now      time.Duration
	began    time.Duration // when its term began
	wall     lwunit.Millis // wall clock at now
	config   *lwconfig.Document
	jobs     map[lwunit.JobID]*job
	over     map[lwunit.JobID]*job      // ended in this term; some of their runs may still be stopping
	ended    map[lwunit.JobID]lwjob.Job // ended before this term
	workers  map[lwjob.WorkerLife]*worker
	order    []*worker // workers in a fixed order
	agents   map[string]lwjob.WorkerLife
	fences   map[lwjob.WorkerLife]Token  // last tokens of lives that were given up
	missing  map[lwjob.WorkerLife]absent // roster lives that have not reported yet
	learned  map[lwconfig.QueueKey]*durations
	pairs    pairs
	bases    map[string]float64            // mean undisturbed tail of each image that serves, in milliseconds
	meanWork map[lwconfig.QueueKey]float64 // of a job, in millicore seconds
	demand   map[string]float64            // filling work that jobs ask for, by image
	movedAt  time.Duration                 // when a serving task was moved last
	stamp    uint64                        // counts schedules, to tell which workers have changed
	ready    []*step                       // steps whose turn has come and that have tasks left
	timed    []*step                       // first steps that wait for their time
	out      Effects
}

// New returns the dispatcher of a leader that begins its term. Workers that
// the roster names may still run tasks of earlier terms; those tasks wait
// until each of these workers has reported or its lease has ended.
func New(cfg Config, term uint64, now time.Duration, wall lwunit.Millis, in Inherited) *Core {
	c := &Core{
		cfg: cfg, term: term, now: now, began: now, wall: wall, config: in.Config,
		jobs: make(map[lwunit.JobID]*job), over: make(map[lwunit.JobID]*job), ended: make(map[lwunit.JobID]lwjob.Job), workers: make(map[lwjob.WorkerLife]*worker), agents: make(map[string]lwjob.WorkerLife), fences: make(map[lwjob.WorkerLife]Token),
		missing: make(map[lwjob.WorkerLife]absent), learned: make(map[lwconfig.QueueKey]*durations), pairs: make(pairs), bases: make(map[string]float64), demand: make(map[string]float64), meanWork: make(map[lwconfig.QueueKey]float64),
	}
	c.pairs.recall(in.Pairs, now)
	for _, e := range in.Roster {
		c.missing[e.Life] = absent{e.Agent, now + c.leaseBound()}
	}
	slices.SortFunc(in.Jobs, func(a, b *lwjob.Job) int { return int(a.Accepted - b.Accepted) })
	for _, j := range in.Jobs {
		if j.State.Final() {
			c.ended[j.Spec.ID] = lwjob.Job{Spec: j.Spec, Queue: j.Queue, Term: j.Term, State: j.State}
			continue
		}
		c.addJob(j)
	}
	return c
}

// leaseBound is how long after a report everything on the worker has ended.
func (c *Core) leaseBound() time.Duration {
	return time.Duration(float64(c.cfg.Lease)*(1+c.cfg.ClockRate)) + c.cfg.LeaseSlack
}

// Advance tells the core the time.
func (c *Core) Advance(now time.Duration, wall lwunit.Millis) {
	c.now = max(c.now, now)
	c.wall = wall
}

// Take returns the effects gathered since the last call.
func (c *Core) Take() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// Configure tells the core the configuration in force.
func (c *Core) Configure(d *lwconfig.Document) { c.config = d }

// JobAccepted adds a job that is durable.
func (c *Core) JobAccepted(j *lwjob.Job) { c.addJob(j) }

// JobEnded stops what is left of a job.
func (c *Core) JobEnded(id lwunit.JobID, reason string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	delete(c.jobs, id)
	c.over[id] = j
	j.overAt = c.now
	c.halt(j, reason)
}

// halt keeps a job from starting anything more and stops what runs of it.
func (c *Core) halt(j *job, reason string) {
	j.stopped = true
	c.dropSteps(j)
	for _, r := range j.runs() {
		c.stop(r, reason)
	}
}

func (j *job) runs() []*run {
	var list []*run
	for _, steps := range j.steps {
		for _, s := range steps {
			for _, t := range s.tasks {
				list = append(list, t.runs...)
			}
		}
	}
	return list
}

// overKept is how long an ended job is remembered for orders carried out late.
const overKept = time.Minute

// forgetOver drops jobs that ended long ago and have no runs left.
func (c *Core) forgetOver() {
	for id, j := range c.over {
		if c.now-j.overAt >= overKept && j.live == 0 {
			delete(c.over, id)
		}
	}
}

func (c *Core) dropSteps(j *job) {
	c.ready = slices.DeleteFunc(c.ready, func(s *step) bool { return s.job == j })
	c.timed = slices.DeleteFunc(c.timed, func(s *step) bool { return s.job == j })
}

// Pending returns how many jobs of a queue without set times have not begun.
func (c *Core) Pending(key lwconfig.QueueKey) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == key && !j.started && !j.spec.Timed() {
			n++
		}
	}
	return n
}

// Started reports whether a task of a job has begun.
func (c *Core) Started(id lwunit.JobID) bool {
	j := c.jobs[id]
	return j != nil && j.started
}

// addJob builds the dispatcher's view of a job that has not ended.
func (c *Core) addJob(rec *lwjob.Job) {
	if rec.State.Final() || c.jobs[rec.Spec.ID] != nil {
		return
	}
	j := c.buildJob(rec)
	c.jobs[j.spec.ID] = j
	c.expect(j)
	c.noteDemand(j)
	c.noteWork(j)
	for _, steps := range j.steps {
		for _, s := range steps {
			if s.waiting == 0 && s.left > 0 {
				c.offer(s)
			}
		}
	}
}

func (c *Core) buildJob(rec *lwjob.Job) *job {
	spec := rec.Spec
	j := &job{spec: &spec, queue: rec.Queue, term: rec.Term, accepted: c.acceptedAt(rec), started: rec.Started, placed: rec.PlacesRecorded}
	for k := range spec.Occurrences() {
		j.steps = append(j.steps, c.buildSteps(j, rec, lwjob.Occurrence(k)))
	}
	return j
}

// jobNamed returns a job, also one that has ended: a worker may still run
// tasks of it, which count until they have stopped.
func (c *Core) jobNamed(id lwunit.JobID) *job {
	if j := c.jobs[id]; j != nil {
		return j
	}
	if j := c.over[id]; j != nil {
		return j
	}
	rec, ok := c.ended[id]
	if !ok {
		return nil
	}
	j := c.buildJob(&rec)
	j.stopped, j.overAt = true, c.now
	c.over[id] = j
	return j
}

// acceptedAt maps the time of acceptance to the leader's clock.
func (c *Core) acceptedAt(rec *lwjob.Job) time.Duration {
	if rec.Term == c.term {
		return c.now
	}
	return c.now - min(time.Duration(max(0, c.wall-rec.Accepted))*time.Millisecond, time.Hour)
}

func (c *Core) buildSteps(j *job, rec *lwjob.Job, k lwjob.Occurrence) []*step {
	steps := make([]*step, len(j.spec.Steps))
	for n := range j.spec.Steps {
		s := &step{job: j, occ: k, number: n, spec: &j.spec.Steps[n]}
		steps[n] = s
		for i := range s.spec.Count {
			key := lwjob.TaskKey{Occurrence: k, Step: n, Index: i}
			r := rec.Task(key)
			t := &task{step: s, index: i, name: lwjob.TaskName(j.spec.ID, key), done: r.Done, failed: slices.Clone(r.Failed), saved: r.Saved, last: max(r.Latest, c.firstRun(j)), place: r.Place}
			s.tasks = append(s.tasks, t)
			if !t.done {
				s.left++
			}
		}
		for _, d := range s.spec.DependsOn {
			if steps[d].left > 0 {
				s.waiting++
				steps[d].feeds = append(steps[d].feeds, s)
			}
		}
	}
	return steps
}

// runsPerTerm is how many runs of one task one leader may start. Leaders of
// different terms so never use the same number, though starts are not recorded.
const runsPerTerm = 1 << 16

// firstRun returns the number below the runs that this leader may use. Runs
// of a job accepted in this term are numbered from 1.
func (c *Core) firstRun(j *job) lwjob.RunID {
	return lwjob.RunID(c.term-min(c.term, j.term)) * runsPerTerm
}

// offer makes a step a candidate for placement, at its time.
func (c *Core) offer(s *step) {
	if s.job.spec.Timed() && len(s.spec.DependsOn) == 0 && s.job.spec.Due(s.occ) > c.wall {
		c.timed = append(c.timed, s)
		return
	}
	s.readyAt = c.now
	c.ready = append(c.ready, s)
}

// wake offers the timed steps whose time has come.
func (c *Core) wake() {
	due := func(s *step) bool { return s.job.spec.Due(s.occ) <= c.wall }
	for _, s := range c.timed {
		if due(s) {
			s.readyAt = c.now
			c.ready = append(c.ready, s)
		}
	}
	c.timed = slices.DeleteFunc(c.timed, due)
}

// taskDone notes that a task is done and offers what depended on its step.
func (c *Core) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s := t.step
	s.left--
	if s.left > 0 {
		return
	}
	c.ready = slices.DeleteFunc(c.ready, func(o *step) bool { return o == s })
	for _, next := range s.feeds {
		next.waiting--
		if next.waiting == 0 && !s.job.stopped {
			c.offer(next)
		}
	}
}

func (c *Core) decide(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }

// sendOrder queues an order for a worker's agent.
func (c *Core) sendOrder(w *worker, o Order) {
	for i := range c.out.Orders {
		if c.out.Orders[i].Life == w.info.Life {
			c.out.Orders[i].Orders = append(c.out.Orders[i].Orders, o)
			return
		}
	}
	c.out.Orders = append(c.out.Orders, WorkerOrders{w.info.Life, w.info.Agent, w.token, []Order{o}})
}
