package lwdispatch

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwspeed"
)

// runPhase is the state of a run as the leader knows it.
type runPhase uint8

const (
	runOrdered  runPhase = iota // the start was ordered or awaits its record; the worker may have begun the run
	runListed                   // the worker has listed the run
	runStopping                 // a stop was ordered; the run counts against its worker until its end is certain
)

// run is one start of a task that may exist on a worker.
type run struct {
	task            *task
	id              lwjob.RunID
	worker          *worker
	phase           runPhase
	lastSentAt      time.Duration // when a start or stop of the run was last ordered; orders of CPU shares do not count
	orderedAt       time.Duration // when the start was decided, or the run adopted
	adopted         bool          // it began before orderedAt, at a time that this leader does not know
	cpuPercent      int           // CPU share that was ordered last, in percent of the declared processors
	cpuPercentSetAt time.Duration // when the CPU share was last changed by an order
	throttledAt     time.Duration // when cpuPercent was last lowered from 100
	awaitsRecord    bool          // the start is ordered once its placement is recorded
	listed          bool          // a worker has listed it
	sentToNext      bool          // its start was ordered again as its agent reconnected, maybe as another process
	fromEarlier     bool          // it was ordered from an earlier incarnation with the same id, and is not ordered again
	status          RunStatus     // as last listed
	probationEnd    time.Duration // until then a crash of its worker is soon after its start; 0 unless workers have crashed under its task
	apart           bool          // no other task starts on its worker until probationEnd
	notComparable   bool          // its run time does not tell the speed of its worker
	proven          bool          // it is long-running and has shown that its worker is sound
	progress        lwspeed.Progress

	// Model of the tail latency of a serving run, estimated from its samples.
	baseTail         float64       // tail latency without interference, in milliseconds; 0 until the first sample
	baseTailVariance float64       // of the relative error of baseTail
	lastSampleAt     time.Duration // when a sample was last taken in
}

// task is one task of an occurrence of a job.
type task struct {
	step              *step
	index             int
	name              lwunit.TaskID
	done              bool
	failedRuns        []lwjob.RunID // run numbers, each once
	crashes           []lwjob.Crash // of workers under the task, in their order
	checkpoint        string        // newest one that is known
	highestRun        lwjob.RunID   // highest run number that was ordered, listed or recorded
	runs              []*run
	notBefore         time.Duration           // not to be started before this time
	suspectSearchAt   time.Duration           // no worker is searched for the suspect before this time
	recordedPlacement lwjob.WorkerIncarnation // incarnation on which an earlier leader placed the task; zero if none
	lastRelease       *release                // of the last run that was released without a listed end; nil if there is none
}

// release is why a run no longer counts against its worker although no end of it was
// listed.
type release struct {
	run    lwjob.RunID
	worker lwunit.WorkerID
	reason string
	at     time.Duration
}

// step is one step of one occurrence of a job.
type step struct {
	job              *job
	occurrence       lwjob.Occurrence
	number           int
	spec             *lwjob.Step
	tasks            []*task
	tasksLeft        int           // tasks that are not done
	hasSuspects      bool          // workers have crashed under one of its tasks
	dependenciesLeft int           // steps that this one depends on and that are not done
	readyAt          time.Duration // when it became ready
	advice           advice
	dependents       []*step
	remainingPath    time.Duration // expected time from its start to the end of the job
	checkedStamp     uint64        // no worker had room for the step as of this value of Core.stamp; 0 if unknown
	fullScanAt       time.Duration // when all workers were last searched in vain
	evacuationWait   evacuationWait
	maxCPURatio      float64      // highest CPU use of a task that was measured, as a ratio of the declared processors
	lengths          []taskLength // of tasks that are done
}

// job is one accepted job. An ended one is kept for runs that are still stopping.
type job struct {
	spec               *lwjob.Spec
	queue              lwconfig.Queue
	term               uint64
	acceptedAt         time.Duration // on the clock of this leader
	criticalPath       time.Duration // expected time of its longest chain of steps
	initialWork        float64       // expected work when the job was added, in millicore seconds
	steps              [][]*step     // by occurrence
	runCount           int           // runs that may exist on a worker
	started            bool          // a worker has listed a run of it, or the end of one
	stopped            bool          // cancelled, failed or completed: no task may start
	placementsRecorded bool          // the placements of its long-running tasks are recorded before they start
	endedAt            time.Duration // when this leader learned that it has ended
}

// worker is one incarnation of a worker.
type worker struct {
	info               WorkerInfo
	heardBefore        []lwjob.WorkerIncarnation // that its agent had reported before it was added
	token              Token
	enrolled           bool          // it is on the replicated roster
	unresponsive       bool          // the worker does not answer its agent
	hasUnknownRuns     bool          // it lists runs of unknown jobs, whose resource needs are unknown
	listsCurrent       bool          // complete lists were received under the current token
	leaseEnd           time.Duration // when all its runs have ended unless a report renews the lease
	longLease          bool          // a call for an earlier incarnation with its id may have set its lease; see lwjob.RosterEntry
	minLeaseEnd        time.Duration // leaseEnd is no earlier; set while longLease is
	reportedAt         time.Duration // when a report last renewed the lease
	runs               map[runKey]*run
	reserved           lwunit.Resources  // by its runs; excludes the processors of filling runs
	fillingDeclared    lwunit.Millicores // declared processors of its filling runs
	overcommit         float64           // millicores that filling work may use beyond the unreserved ones
	overcommitMeasured bool              // overcommit has been measured
	listsClock         lwunit.Millis     // worker clock of the newest lists of runs that were taken in
	newestClock        lwunit.Millis     // worker clock of the newest report of runs or ends
	highestEnd         int64             // highest end number that was taken in
	cursor             int64             // highest end number that is recorded
	health             health
	speed              lwspeed.Estimate // under load control, as of the last report
	slow               bool             // it was logged as slow
	probation          []*run           // whose probation may not be over
	overTarget         bool             // a tail latency on it is over its target
	overTargetSince    time.Duration
	raisedAt           time.Duration      // when CPU shares were last raised or filling runs paused
	imageLoad          map[string]float64 // share of its processors that each filling image uses, smoothed like the tail latencies
	imageLoadAt        time.Duration
	warmup             warmup
	toldEvacuated      bool               // the agent was last told that the domain is evacuated, so it refuses starts
	dirty              bool               // it has changed since changeStamp was set
	changeStamp        uint64             // value of Core.stamp when Schedule last found it changed
	fillingUse         float64            // cache of currentFillingUse; negative if not computed
	allowedShares      map[string]float64 // cache of allowedShare by image for allowedStartPercent, cleared by invalidate
}

// missingWorker is an incarnation on the roster that has not yet reported its
// lists to this leader, so it may hold runs of earlier terms.
type missingWorker struct {
	agent     string
	leaseEnd  time.Duration // when all its runs have certainly ended
	longLease bool          // see lwjob.RosterEntry
}

// lastToken is the highest token of the incarnations with an id, and the last of them.
type lastToken struct {
	incarnation lwjob.WorkerIncarnation
	token       Token
}

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// Core is the dispatcher of one term. It is not safe for concurrent use.
type Core struct {
	cfg                Config
	term               uint64
	now                time.Duration
	termStart          time.Duration // when the term began
	wallClock          lwunit.Millis // wall clock time at now
	config             *lwconfig.Document
	jobs               map[lwunit.JobID]*job
	endedJobs          map[lwunit.JobID]*job      // jobs that ended in this term, and earlier ones once a report names them
	endedEarlier       map[lwunit.JobID]lwjob.Job // jobs that ended before this term
	workers            map[lwjob.WorkerIncarnation]*worker
	sortedWorkers      []*worker // by worker id
	incarnationByAgent map[string]lwjob.WorkerIncarnation
	keptOut            map[string]lwjob.WorkerIncarnation        // last incarnation of each agent that was not added
	heard              map[string][]lwjob.WorkerIncarnation      // last incarnations that each agent has reported
	lastTokens         map[lwunit.WorkerID]lastToken             // of workers that were removed
	missing            map[lwjob.WorkerIncarnation]missingWorker // roster entries whose lists have not been received
	background         lwblame.Background
	backgroundAt       time.Duration                             // when background was last updated
	crashes            map[lwjob.WorkerIncarnation]*workerCrash  // crashes that this leader knows of
	explained          map[lwjob.WorkerIncarnation]lwunit.TaskID // crashed workers and the task that is to blame
	runTimes           map[lwconfig.QueueKey]*runTimeStats
	gains              pairGains
	meanBaseTails      map[string]float64            // mean tail latency without interference of each serving image, in milliseconds
	meanJobWork        map[lwconfig.QueueKey]float64 // mean work of a job, in millicore seconds
	fillingDemand      map[string]float64            // recent demand for filling work by image, in millicore seconds
	lastMoveAt         time.Duration                 // when a serving task was last moved
	stamp              uint64                        // counts calls of Schedule; see worker.changeStamp
	ready              []*step                       // steps that are ready and have tasks left
	timed              []*step                       // steps that wait for the due time of their occurrence
	evacuations        evacuations
	speeds             speeds
	fillingPools       map[lwunit.ServiceName]*fillingPool // empty without admission control
	poolsUpdatedAt     time.Duration
	speculatedAt       time.Duration // when runs that are slower than their kind were last searched
	effects            Effects
}

// New returns the dispatcher of a leader that begins its term. Workers on the
// roster may still run tasks of earlier terms; those tasks are not started until
// each of these workers has reported its lists or its lease has expired. Long-running
// tasks whose placements are recorded wait for less; see mayRunOnMissingWorker.
func New(cfg Config, term uint64, now time.Duration, wallClock lwunit.Millis, in ReplicatedState) *Core {
	c := &Core{
		cfg: cfg, term: term, now: now, termStart: now, wallClock: wallClock, config: in.Config,
		jobs: make(map[lwunit.JobID]*job), endedJobs: make(map[lwunit.JobID]*job), endedEarlier: make(map[lwunit.JobID]lwjob.Job), workers: make(map[lwjob.WorkerIncarnation]*worker), incarnationByAgent: make(map[string]lwjob.WorkerIncarnation), keptOut: make(map[string]lwjob.WorkerIncarnation), heard: make(map[string][]lwjob.WorkerIncarnation), lastTokens: make(map[lwunit.WorkerID]lastToken),
		missing: make(map[lwjob.WorkerIncarnation]missingWorker), crashes: make(map[lwjob.WorkerIncarnation]*workerCrash), explained: make(map[lwjob.WorkerIncarnation]lwunit.TaskID), backgroundAt: now, runTimes: make(map[lwconfig.QueueKey]*runTimeStats), gains: make(pairGains), meanBaseTails: make(map[string]float64), fillingDemand: make(map[string]float64), meanJobWork: make(map[lwconfig.QueueKey]float64), fillingPools: make(map[lwunit.ServiceName]*fillingPool),
	}
	c.gains.restore(in.Interference, now)
	c.SetEvacuations(in.Evacuations)
	for _, e := range in.Roster {
		lease := c.maxLeaseTime()
		if e.LongLease {
			lease = max(lease, c.longestLeaseTime(cfg.MaxWorkerLease))
		}
		c.missing[e.Incarnation] = missingWorker{e.Agent, now + lease, e.LongLease}
	}
	slices.SortFunc(in.Jobs, func(a, b *lwjob.Job) int { return int(a.Accepted - b.Accepted) })
	for _, j := range in.Jobs {
		c.restoreBlame(j)
		if j.State.Final() {
			c.endedEarlier[j.Spec.ID] = lwjob.Job{Spec: j.Spec, Queue: j.Queue, Term: j.Term, State: j.State}
			continue
		}
		c.addJob(j)
	}
	return c
}

// Advance sets the current time.
func (c *Core) Advance(now time.Duration, wallClock lwunit.Millis) {
	c.now = max(c.now, now)
	c.wallClock = wallClock
}

// TakeEffects returns the effects that have accumulated since the last call.
func (c *Core) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// Configure sets the configuration in force.
func (c *Core) Configure(d *lwconfig.Document) { c.config = d }

// JobAccepted adds a job whose acceptance is committed.
func (c *Core) JobAccepted(j *lwjob.Job) { c.addJob(j) }

// JobEnded stops the remaining runs of a job whose end is committed.
func (c *Core) JobEnded(id lwunit.JobID, reason string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	delete(c.jobs, id)
	if j.tasksLeft() == 0 {
		c.observeCompletion(j)
	}
	c.endedJobs[id] = j
	j.endedAt = c.now
	c.stopJob(j, reason)
}

// stopJob prevents further starts of a job and stops its runs.
func (c *Core) stopJob(j *job, reason string) {
	j.stopped = true
	c.dequeueSteps(j)
	for _, r := range j.runs() {
		c.stopRun(r, reason)
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

// endedJobRetention is how long an ended job is kept so that a run that starts
// late, by a delayed order, is recognised.
const endedJobRetention = time.Minute

// dropEndedJobs removes jobs that ended long ago and have no runs left.
func (c *Core) dropEndedJobs() {
	for id, j := range c.endedJobs {
		if c.now-j.endedAt >= endedJobRetention && j.runCount == 0 {
			delete(c.endedJobs, id)
		}
	}
}

func (c *Core) dequeueSteps(j *job) {
	c.ready = slices.DeleteFunc(c.ready, func(s *step) bool { return s.job == j })
	c.timed = slices.DeleteFunc(c.timed, func(s *step) bool { return s.job == j })
}

// PendingJobs returns the number of jobs of a queue that have not begun, without
// jobs that start at set times.
func (c *Core) PendingJobs(key lwconfig.QueueKey) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == key && !j.started && !j.spec.Timed() {
			n++
		}
	}
	return n
}

// Started reports whether a task of a job that has not ended has begun.
func (c *Core) Started(id lwunit.JobID) bool {
	j := c.jobs[id]
	return j != nil && j.started
}

// addJob adds a job unless it has ended or is known.
func (c *Core) addJob(rec *lwjob.Job) {
	if rec.State.Final() || c.jobs[rec.Spec.ID] != nil {
		return
	}
	j := c.buildJob(rec)
	c.jobs[j.spec.ID] = j
	c.computePaths(j)
	c.recordFillingDemand(j)
	c.recordWork(j)
	for _, steps := range j.steps {
		for _, s := range steps {
			if s.dependenciesLeft == 0 && s.tasksLeft > 0 {
				c.enqueueStep(s)
			}
		}
	}
}

func (c *Core) buildJob(rec *lwjob.Job) *job {
	spec := rec.Spec
	j := &job{spec: &spec, queue: rec.Queue, term: rec.Term, acceptedAt: c.acceptanceTime(rec), started: rec.Started, placementsRecorded: rec.PlacementsRecorded}
	for k := range spec.Occurrences() {
		j.steps = append(j.steps, c.buildSteps(j, rec, lwjob.Occurrence(k)))
	}
	return j
}

// findJob returns a job, also one that has ended: its runs count against their
// workers until they have stopped.
func (c *Core) findJob(id lwunit.JobID) *job {
	if j := c.jobs[id]; j != nil {
		return j
	}
	if j := c.endedJobs[id]; j != nil {
		return j
	}
	rec, ok := c.endedEarlier[id]
	if !ok {
		return nil
	}
	j := c.buildJob(&rec)
	j.stopped, j.endedAt = true, c.now
	c.endedJobs[id] = j
	return j
}

// acceptanceTime converts the time of acceptance to the clock of this leader. The
// age of a job of an earlier term is limited to an hour.
func (c *Core) acceptanceTime(rec *lwjob.Job) time.Duration {
	if rec.Term == c.term {
		return c.now
	}
	return c.now - min(time.Duration(max(0, c.wallClock-rec.Accepted))*time.Millisecond, time.Hour)
}

func (c *Core) buildSteps(j *job, rec *lwjob.Job, k lwjob.Occurrence) []*step {
	steps := make([]*step, len(j.spec.Steps))
	for n := range j.spec.Steps {
		s := &step{job: j, occurrence: k, number: n, spec: &j.spec.Steps[n]}
		steps[n] = s
		for i := range s.spec.Count {
			key := lwjob.TaskKey{Occurrence: k, Step: n, Index: i}
			r := rec.Task(key)
			t := &task{step: s, index: i, name: lwjob.TaskName(j.spec.ID, key), done: r.Done, failedRuns: slices.Clone(r.FailedRuns), crashes: slices.Clone(r.Crashes), checkpoint: r.Checkpoint, highestRun: max(r.HighestRun, c.highestEarlierRun(j)), recordedPlacement: r.PlacedOn}
			s.tasks = append(s.tasks, t)
			s.hasSuspects = s.hasSuspects || len(t.crashes) > 0
			if !t.done {
				s.tasksLeft++
			}
		}
		for _, d := range s.spec.DependsOn {
			if steps[d].tasksLeft > 0 {
				s.dependenciesLeft++
				steps[d].dependents = append(steps[d].dependents, s)
			}
		}
	}
	return steps
}

// runsPerTerm is the number of runs of one task that one term may start. Starts
// are not recorded; separate ranges keep leaders of different terms from using
// the same run number.
const runsPerTerm = 1 << 16

// highestEarlierRun returns the highest run number that earlier leaders may have
// used for a task of a job. It is 0 for a job that was accepted in this term.
func (c *Core) highestEarlierRun(j *job) lwjob.RunID {
	return lwjob.RunID(c.term-min(c.term, j.term)) * runsPerTerm
}

// enqueueStep makes a step ready, or lets it wait for its due time.
func (c *Core) enqueueStep(s *step) {
	if s.job.spec.Timed() && len(s.spec.DependsOn) == 0 && s.job.spec.Due(s.occurrence) > c.wallClock {
		c.timed = append(c.timed, s)
		return
	}
	s.readyAt = c.now
	c.ready = append(c.ready, s)
}

// enqueueDueSteps makes the timed steps ready whose due time has passed.
func (c *Core) enqueueDueSteps() {
	due := func(s *step) bool { return s.job.spec.Due(s.occurrence) <= c.wallClock }
	for _, s := range c.timed {
		if due(s) {
			s.readyAt = c.now
			c.ready = append(c.ready, s)
		}
	}
	c.timed = slices.DeleteFunc(c.timed, due)
}

// markTaskDone marks a task done and enqueues the steps whose dependencies are
// then complete.
func (c *Core) markTaskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s := t.step
	s.tasksLeft--
	if s.tasksLeft > 0 {
		return
	}
	c.ready = slices.DeleteFunc(c.ready, func(o *step) bool { return o == s })
	for _, next := range s.dependents {
		next.dependenciesLeft--
		if next.dependenciesLeft == 0 && !s.job.stopped {
			c.enqueueStep(next)
		}
	}
}

func (c *Core) logDecision(d Decision) { c.effects.Decisions = append(c.effects.Decisions, d) }

// sendOrder queues an order for the agent of a worker.
func (c *Core) sendOrder(w *worker, o Order) {
	for i := range c.effects.Orders {
		if c.effects.Orders[i].Incarnation == w.info.Incarnation {
			c.effects.Orders[i].Orders = append(c.effects.Orders[i].Orders, o)
			return
		}
	}
	c.effects.Orders = append(c.effects.Orders, WorkerOrders{w.info.Incarnation, w.info.Agent, w.token, []Order{o}})
}
