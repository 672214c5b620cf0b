package lwplacement

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	relapse         = 3 * time.Minute
	longestPatience = 60  // signals
	movesFor        = 0.4 // a move must save this share of the expected disturbance
	fullSpeed       = 100
	queueSignal     = 0.5  // queued requests a slot that count as disturbance at once
	worthActing     = 0.15 // share of the expected disturbance that a task must cause
)

// rungs is where a worker stands on the ladder.
type rungs struct {
	step      int // 0: nothing; 1, 2: throttled; 3 and up: evicting
	actedAt   time.Duration
	calm      int
	patience  int           // calm signals that a step down takes
	leftAt    time.Duration // of the last step down
	wanted    bool          // a step up is due
	service   lwunit.ServiceName
	throttled map[lwunit.TaskID]int
}

// speed returns the share of full speed at which a task runs.
func (c *Core) speed(w lwunit.WorkerID, t lwunit.TaskID) float64 {
	if l := c.ladder[w]; l != nil {
		if percent, ok := l.throttled[t]; ok {
			return float64(percent) / fullSpeed
		}
	}
	return 1
}

// observeSignal learns from a signal and notes whether the worker's ladder
// should be climbed or left. A signal that began before the last action took
// hold shows the time before it, and is neither learned from nor acted on.
func (c *Core) observeSignal(now time.Duration, o SignalSeen) {
	l := c.ladder[o.Worker]
	if l == nil {
		l = &rungs{throttled: make(map[lwunit.TaskID]int), patience: c.cfg.LeaveAfter}
		c.ladder[o.Worker] = l
	}
	from, to := now-o.Age-o.Window, now-o.Age
	if o.Requests < minRequests || from < l.actedAt {
		return
	}
	late := float64(o.Late) / float64(o.Requests)
	c.prices.noteLoad(o)
	parts := c.history.between(o.Worker, from, to)
	if c.cfg.LearnPairs {
		c.pairs.learn(o.Service, late, c.prices.loadOf(o.Worker, o.Service), o.Requests, parts)
	}
	queued := o.Slots > 0 && float64(o.Queued) > queueSignal*float64(o.Slots)
	switch {
	case (late > c.cfg.LateEnter || queued) && len(parts) > 0:
		l.wanted, l.calm, l.service = true, 0, o.Service
	case late < c.cfg.LateLeave && !queued:
		l.calm++
	default:
		l.calm = 0
	}
}

// climb takes one step on each ladder that asks for it.
func (c *Core) climb(r *round) {
	if c.cfg.Ladder == LadderNone {
		return
	}
	for _, w := range r.workers {
		l := c.ladder[w.Spec.ID]
		if l == nil || (!l.wanted && l.step == 0) {
			continue
		}
		l.clean(r.state, w.Spec.ID)
		switch {
		case l.wanted:
			l.wanted = false
			c.stepUp(r, w, l)
		case l.calm >= l.patience && l.step > 0:
			l.calm = 0
			c.stepDown(r, l)
		}
	}
}

// clean forgets throttles of tasks that are gone.
func (l *rungs) clean(s *lwstate.State, w lwunit.WorkerID) {
	for id := range l.throttled {
		if t, ok := s.Task(id); !ok || t.Worker != w || !t.Phase.Held() {
			delete(l.throttled, id)
		}
	}
}

func (c *Core) stepUp(r *round, w *lwstate.Worker, l *rungs) {
	culprits := c.culprits(r, w, l.service)
	if len(culprits) == 0 {
		return
	}
	if l.leftAt > 0 && r.now-l.leftAt < relapse {
		l.patience = min(2*l.patience, longestPatience) // it was left too early
	} else {
		l.patience = c.cfg.LeaveAfter
	}
	l.actedAt = r.now
	l.step++
	if c.cfg.Ladder == LadderEvictOnly {
		l.step = 3
	}
	switch {
	case l.step == 1:
		l.throttle(culprits, c.cfg.ThrottleTo)
	case l.step == 2:
		l.throttle(culprits, c.cfg.ThrottleTo/2)
	default:
		l.step = 2 // stays throttled; each further step evicts one task
		c.evictCulprit(r, l, culprits[0])
	}
	if c.cfg.Ladder == LadderEvictOnly {
		l.step = 0
	}
}

func (l *rungs) throttle(culprits []lwstate.Task, percent int) {
	for _, t := range culprits {
		l.throttled[t.ID] = percent
	}
}

// evictCulprit evicts the task that disturbs most, if the budget allows it and
// its work is not nearly done.
func (c *Core) evictCulprit(r *round, l *rungs, t lwstate.Task) {
	j, ok := r.state.Job(t.Job)
	if !ok || len(r.stops) >= c.cfg.MaxStops || r.stopping[t.ID] {
		return
	}
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	if typical, known := c.sizes.typicalRun(classOf(j)); known && c.cfg.Ladder == LadderFull && ran > typical*8/10 && ran < typical*3/2 {
		return
	}
	if c.cfg.Ladder == LadderFull && !c.hasQuieter(r, j, t) {
		return
	}
	if c.cfg.Ladder == LadderFull && !c.budget.take(r.now, r.deploy.EvictionBudget) {
		return
	}
	delete(l.throttled, t.ID)
	r.stop(t)
}

// hasQuieter reports whether a task could go where it disturbs much less.
func (c *Core) hasQuieter(r *round, j lwstate.Job, t lwstate.Task) bool {
	here, ok := r.state.Worker(t.Worker)
	if !ok {
		return false
	}
	now := c.disturbance(r, j, t.Reserve, &here)
	for i, w := range r.workers {
		if w.Spec.ID != t.Worker && t.Reserve.Fits(r.free(w.Spec.ID)) && c.passes(r, j, w, i) &&
			c.disturbance(r, j, t.Reserve, w) < (1-movesFor)*now {
			return true
		}
	}
	return false
}

// culprits returns the tasks expected to cause most of a service's late
// requests, the worst first.
func (c *Core) culprits(r *round, w *lwstate.Worker, s lwunit.ServiceName) []lwstate.Task {
	type suspect struct {
		task  lwstate.Task
		cause float64
	}
	var list []suspect
	total := 0.0
	for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
		j, ok := r.state.Job(t.Job)
		if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase == lwstate.TaskStopping || r.stopping[t.ID] {
			continue
		}
		x := ratio(int64(t.Reserve.Millicores), int64(w.Spec.Capacity.Millicores))
		cause := c.pairs.expected(s, programName(j.Spec.Program)) * x
		total += cause
		list = append(list, suspect{t, cause})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].cause > list[k].cause })
	var tasks []lwstate.Task
	for _, x := range list {
		if x.cause >= worthActing*total || len(tasks) == 0 {
			tasks = append(tasks, x.task)
		}
	}
	return tasks
}

// stepDown undoes one step.
func (c *Core) stepDown(r *round, l *rungs) {
	l.actedAt, l.leftAt = r.now, r.now
	l.step--
	for id := range l.throttled {
		if l.step == 0 {
			delete(l.throttled, id)
		} else {
			l.throttled[id] = c.cfg.ThrottleTo
		}
	}
}
