package lwplacement

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	relapseWindow      = 3 * time.Minute // after a step down; a step up within it shows that it came too early
	maxCalmSignals     = 60              // most calm signals in a row that a step down takes
	minInterferenceCut = 0.4             // share of its expected interference that a task must save on another worker to be evicted
	fullSpeedPercent   = 100
	maxQueuedPerSlot   = 0.5  // queued requests per slot above which a signal shows interference, whatever its late share
	minContribution    = 0.15 // share of the expected interference that a task must cause to be acted on
)

// workerEscalation is the state of the escalation on one worker.
type workerEscalation struct {
	step              int           // 0: nothing; 1: throttled; 2: throttled harder, and each step up evicts a task
	actedAt           time.Duration // of the last step up or down
	calmSignals       int           // in a row, so far
	calmSignalsNeeded int           // in a row for a step down
	steppedDownAt     time.Duration
	stepUpDue         bool
	service           lwunit.ServiceName    // whose signal made the step up due
	throttled         map[lwunit.TaskID]int // percent of its processors, by task
}

// throttleFactor returns the share of its processors that a task may use.
func (c *Core) throttleFactor(w lwunit.WorkerID, t lwunit.TaskID) float64 {
	if e := c.escalations[w]; e != nil {
		if percent, ok := e.throttled[t]; ok {
			return float64(percent) / fullSpeedPercent
		}
	}
	return 1
}

// observeSignal learns from a signal and notes whether it calls for a step up or
// is calm. A signal whose window began before the last step on the worker
// describes the time before the step, and is ignored.
func (c *Core) observeSignal(now time.Duration, o SignalSample) {
	e := c.escalations[o.Worker]
	if e == nil {
		e = &workerEscalation{throttled: make(map[lwunit.TaskID]int), calmSignalsNeeded: c.cfg.CalmSignals}
		c.escalations[o.Worker] = e
	}
	from, to := now-o.Age-o.Window, now-o.Age
	if o.Requests < minSignalRequests || from < e.actedAt {
		return
	}
	late := float64(o.Late) / float64(o.Requests)
	c.prices.observeLoad(o)
	shares := c.history.meanShares(o.Worker, from, to)
	if c.cfg.LearnInterference {
		c.interference.learn(o.Service, late, c.prices.loadOf(o.Worker, o.Service), o.Requests, shares)
	}
	queued := o.Slots > 0 && float64(o.Queued) > maxQueuedPerSlot*float64(o.Slots)
	switch {
	case (late > c.cfg.EscalateLateShare || queued) && len(shares) > 0:
		e.stepUpDue, e.calmSignals, e.service = true, 0, o.Service
	case late < c.cfg.CalmLateShare && !queued:
		e.calmSignals++
	default:
		e.calmSignals = 0
	}
}

// escalate takes at most one step on each worker.
func (c *Core) escalate(r *round) {
	if c.cfg.Escalation == EscalationNone {
		return
	}
	for _, w := range r.workers {
		e := c.escalations[w.Spec.ID]
		if e == nil || (!e.stepUpDue && e.step == 0) {
			continue
		}
		e.dropStaleThrottles(r.state, w.Spec.ID)
		switch {
		case e.stepUpDue:
			e.stepUpDue = false
			c.stepUp(r, w, e)
		case e.calmSignals >= e.calmSignalsNeeded && e.step > 0:
			e.calmSignals = 0
			c.stepDown(r, e)
		}
	}
}

// dropStaleThrottles drops the limits of tasks that no longer hold resources on
// the worker.
func (e *workerEscalation) dropStaleThrottles(s *lwstate.State, w lwunit.WorkerID) {
	for id := range e.throttled {
		if t, ok := s.Task(id); !ok || t.Worker != w || !t.Phase.HoldsResources() {
			delete(e.throttled, id)
		}
	}
}

// stepUp acts on the tasks that are expected to interfere most with the service:
// it throttles them, throttles them harder, and then evicts the first one.
func (c *Core) stepUp(r *round, w *lwstate.Worker, e *workerEscalation) {
	contributors := c.contributors(r, w, e.service)
	if len(contributors) == 0 {
		return
	}
	if e.steppedDownAt > 0 && r.now-e.steppedDownAt < relapseWindow {
		e.calmSignalsNeeded = min(2*e.calmSignalsNeeded, maxCalmSignals) // the last step down came too early
	} else {
		e.calmSignalsNeeded = c.cfg.CalmSignals
	}
	e.actedAt = r.now
	e.step++
	if c.cfg.Escalation == EscalationEvictOnly {
		e.step = 3
	}
	switch {
	case e.step == 1:
		e.throttle(contributors, c.cfg.ThrottlePercent)
	case e.step == 2:
		e.throttle(contributors, c.cfg.ThrottlePercent/2)
	default:
		e.step = 2 // tasks stay throttled; each further step up evicts one
		c.evictContributor(r, e, contributors[0])
	}
	if c.cfg.Escalation == EscalationEvictOnly {
		e.step = 0
	}
}

// throttle limits tasks to a percentage of their processors.
func (e *workerEscalation) throttle(tasks []lwstate.Task, percent int) {
	for _, t := range tasks {
		e.throttled[t.ID] = percent
	}
}

// evictContributor evicts a task. With the full escalation it does so only if the
// task is not nearly done, would interfere much less on another worker, and the
// budget allows it.
func (c *Core) evictContributor(r *round, e *workerEscalation, t lwstate.Task) {
	j, ok := r.state.Job(t.Job)
	if !ok || len(r.stops) >= c.cfg.MaxStops || r.stopping[t.ID] {
		return
	}
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	if meanRun, known := c.sizes.meanRunTime(teamProgramOf(j)); known && c.cfg.Escalation == EscalationFull && ran > meanRun*8/10 && ran < meanRun*3/2 {
		return
	}
	if c.cfg.Escalation == EscalationFull && !c.hasBetterWorker(r, j, t) {
		return
	}
	if c.cfg.Escalation == EscalationFull && !c.budget.take(r.now, r.deployment.EvictionBudget) {
		return
	}
	delete(e.throttled, t.ID)
	r.stop(t)
}

// hasBetterWorker reports whether there is a worker with room for a task where it
// is expected to interfere much less than on its own.
func (c *Core) hasBetterWorker(r *round, j lwstate.Job, t lwstate.Task) bool {
	current, ok := r.state.Worker(t.Worker)
	if !ok {
		return false
	}
	currentCost := c.interferenceCost(r, j, t.Reserve, &current)
	for i, w := range r.workers {
		if w.Spec.ID != t.Worker && t.Reserve.Fits(r.free(w.Spec.ID)) && c.passes(r, j, w, i) &&
			c.interferenceCost(r, j, t.Reserve, w) < (1-minInterferenceCut)*currentCost {
			return true
		}
	}
	return false
}

// contributors returns the batch tasks on a worker that are expected to cause most
// of a service's late requests, the largest share first.
func (c *Core) contributors(r *round, w *lwstate.Worker, s lwunit.ServiceName) []lwstate.Task {
	type contributor struct {
		task lwstate.Task
		late float64 // expected share of late requests
	}
	var list []contributor
	total := 0.0
	for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
		j, ok := r.state.Job(t.Job)
		if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase == lwstate.TaskStopping || r.stopping[t.ID] {
			continue
		}
		cpuShare := ratio(int64(t.Reserve.Millicores), int64(w.Spec.Capacity.Millicores))
		late := c.interference.expected(s, programName(j.Spec.Program)) * cpuShare
		total += late
		list = append(list, contributor{t, late})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].late > list[k].late })
	var tasks []lwstate.Task
	for _, x := range list {
		if x.late >= minContribution*total || len(tasks) == 0 {
			tasks = append(tasks, x.task)
		}
	}
	return tasks
}

// stepDown undoes the last step up.
func (c *Core) stepDown(r *round, e *workerEscalation) {
	e.actedAt, e.steppedDownAt = r.now, r.now
	e.step--
	for id := range e.throttled {
		if e.step == 0 {
			delete(e.throttled, id)
		} else {
			e.throttled[id] = c.cfg.ThrottlePercent
		}
	}
}
