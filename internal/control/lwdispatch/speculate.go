package lwdispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwspeculation"
)

const (
	speculationInterval = 200 * time.Millisecond // between two searches for runs that are slower than their kind
	maxSlowRuns         = 16                     // that one search handles, which bounds its cost
	lateFactor          = 1.25                   // multiple of the expected run time from which a run is looked at
	maxCopySlowness     = 1.5                    // of a worker that is given a copy or a run that is resumed
	sameDomainCost      = 2.0                    // of a copy in the failure domain of the first run; more than any difference of load or rack
	sharedLabelCost     = 0.5                    // for each label, such as the rack, that the workers of both runs have
)

// slowRun is a run that is slower than its kind.
type slowRun struct {
	run      *run
	forecast lwspeculation.Forecast
	left     time.Duration
}

// speculation is one search for runs that are slower than their kind.
type speculation struct {
	core    *Core
	waiting []*step                    // whose tasks wait for a first run
	copies  map[lwunit.ServiceName]int // tasks with two runs
	runs    map[lwunit.ServiceName]int // all runs
	wanted  map[*worker]bool           // cache of waitsFor
}

// speculate starts copies of late runs, stops runs that resume faster elsewhere, and
// stops the weaker of two runs whose place another task waits for. Schedule calls it when
// it has started what it can, so that no copy takes the place of a first run.
func (c *Core) speculate() {
	if !c.cfg.LoadControl || c.now-c.speculatedAt < speculationInterval {
		return
	}
	c.speculatedAt = c.now
	x := c.newSpeculation()
	for _, r := range x.slowRuns() {
		s := r.run.task.step.spec
		if s.Speculative && x.copyRun(r) {
			continue
		}
		if s.Checkpointed {
			x.restartRun(r)
		}
	}
}

func (c *Core) newSpeculation() *speculation {
	x := &speculation{core: c, copies: make(map[lwunit.ServiceName]int), runs: make(map[lwunit.ServiceName]int), wanted: make(map[*worker]bool)}
	for _, s := range c.ready {
		if c.mayStart(s) {
			x.waiting = append(x.waiting, s)
		}
	}
	for _, w := range c.sortedWorkers {
		x.runs[w.info.Service] += len(w.runs)
	}
	return x
}

// slowRuns returns the runs that are late for their kind, those with most time left first.
// On the way it counts the tasks with two runs and handles them.
func (x *speculation) slowRuns() []slowRun {
	c := x.core
	var list []slowRun
	for _, w := range c.sortedWorkers {
		for _, r := range w.sortedRuns() {
			s := r.task.step.spec
			if s.LongRunning || s.Gang || !s.Speculative && !s.Checkpointed {
				continue
			}
			if len(r.task.runs) > 1 {
				if r == r.task.runs[0] {
					x.copies[w.info.Service]++
					x.stopWeaker(r.task)
				}
				continue
			}
			if c.mayBeSlow(r) {
				f := c.forecast(r)
				list = append(list, slowRun{r, f, f.Left()})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b slowRun) int { return cmp.Compare(b.left, a.left) })
	return list[:min(len(list), maxSlowRuns)]
}

// mayBeSlow reports whether a run takes longer than its kind by its age or progress, or
// runs on a slow worker. A throttled run is slow by order; one that was throttled is judged by
// its progress since.
func (c *Core) mayBeSlow(r *run) bool {
	t := r.task
	if r.phase == runStopping || r.awaitsRecord || t.done || t.step.job.stopped || c.mayRunOnMissingWorker(t) || c.isSuspect(t) {
		return false
	}
	total, _ := r.progress.Speed(c.now)
	if r.cpuPercent < fullPercent || r.throttledAt > 0 && total == 0 {
		return false
	}
	expected := c.expectedRunTime(t.step.job, t.step.spec)
	limit := time.Duration(lateFactor * float64(expected))
	return c.now-r.orderedAt > limit || total > limit || r.worker.slow || c.stalledFor(r) > 0
}

// stalledFor returns for how long a run has stood still, or 0 if it has not or its queue
// reports no progress.
func (c *Core) stalledFor(r *run) time.Duration {
	s := r.task.step
	if !c.speeds.withProgress[s.job.queue.Key] {
		return 0
	}
	return r.progress.StalledFor(c.now, c.expectedRunTime(s.job, s.spec))
}

// forecast returns the forecast of a run. What the run itself tells of its worker is left
// out of the estimate of the worker, since the forecast weighs it.
func (c *Core) forecast(r *run) lwspeculation.Forecast {
	s := r.task.step
	x := lwspeculation.Run{
		Age: c.now - r.orderedAt, Expected: c.expectedRunTime(s.job, s.spec), Percent: r.progress.Percent(), Stalled: c.stalledFor(r),
		Worker: c.speedModel(r.worker).Estimate(c.now, c.runningSamples(r.worker, r)), Lengths: c.lengthsOf(s.job),
	}
	x.Total, x.Since = r.progress.Speed(c.now)
	if s.spec.Checkpointed && r.task.checkpoint != "" {
		x.Resumes = c.cfg.InterruptionLoss
	}
	return x.Forecast()
}

// waitsFor reports whether a task that has no run could run on a worker once it has room.
func (x *speculation) waitsFor(w *worker) bool {
	wanted, ok := x.wanted[w]
	if !ok {
		wanted = slices.ContainsFunc(x.waiting, func(s *step) bool {
			need := s.spec.Need
			if s.spec.Filling {
				need.Millicores = 0
			}
			return need.Fits(w.info.Capacity) && x.core.allowedOn(s, w)
		})
		x.wanted[w] = wanted
	}
	return wanted
}

// copyRun starts a second run of a task if it pays and there is a place for it that no
// first run waits for. It reports whether it has.
func (x *speculation) copyRun(r slowRun) bool {
	c, t := x.core, r.run.task
	service := r.run.worker.info.Service
	if x.copies[service] >= lwspeculation.MaxCopies(x.runs[service]) || c.now < t.notBefore || !lwspeculation.AttemptsAllow(len(t.failedRuns), t.step.job.queue.MaxAttempts) {
		return false
	}
	busy := c.busyShare(service)
	if gain, use := r.forecast.Copy(1); !lwspeculation.CopyPays(gain, use, busy) {
		return false
	}
	w := x.chooseOther(r.run, true)
	if w == nil {
		return false
	}
	gain, use := r.forecast.Copy(w.speed.Slowness())
	if !lwspeculation.CopyPays(gain, use, busy) {
		return false
	}
	id := t.highestRun + 1
	c.startRun(t, w, id, c.rateUrgency(t.step).slack)
	x.copies[service]++
	c.logDecision(Decision{
		Kind: DecidedCopy, Job: t.step.job.spec.ID, Task: t.name, Run: id, Worker: w.info.Incarnation.Worker,
		Reason: fmt.Sprintf("run %d on %s is expected to end in %v, the copy saves %v", r.run.id, r.run.worker.info.Incarnation.Worker, r.left.Round(time.Millisecond), gain.Round(time.Millisecond)),
	})
	return true
}

// restartRun stops a checkpointed run if resuming it on another worker pays: one on a worker
// known to be slow, if there is a place that no first run waits for, or one that stands
// still, which waits for a place like any other then. A filling run that gets too few
// processors is moved for that; see moveThrottled.
func (x *speculation) restartRun(r slowRun) {
	c := x.core
	stalled := c.stalledFor(r.run) > 0
	if r.run.phase != runListed || !stalled && (!r.run.worker.slow || r.run.task.step.spec.Filling && !c.isComparable(r.run)) {
		return
	}
	if !lwspeculation.RestartPays(r.forecast, 1, c.cfg.InterruptionLoss) {
		return
	}
	w := x.chooseOther(r.run, !stalled)
	if w == nil || !lwspeculation.RestartPays(r.forecast, w.speed.Slowness(), c.cfg.InterruptionLoss) {
		return
	}
	again := time.Duration(float64(r.forecast.Again()) * w.speed.Slowness())
	c.keepRunTime(r.run)
	c.stopRun(r.run, "it is resumed on a faster worker")
	c.logDecision(Decision{
		Kind: DecidedRestart, Job: r.run.task.step.job.spec.ID, Task: r.run.task.name, Run: r.run.id, Worker: r.run.worker.info.Incarnation.Worker,
		Reason: fmt.Sprintf("it is expected to end in %v, on %s in %v%s", r.left.Round(time.Millisecond), w.info.Incarnation.Worker, again.Round(time.Millisecond), describeSpeed(r.run.worker)),
	})
}

// chooseOther returns the worker for another run of a task: the one of the lowest cost,
// preferably in another failure domain and rack, or nil. An unwanted one is a worker that no
// first run waits for.
func (x *speculation) chooseOther(r *run, unwanted bool) *worker {
	c, s := x.core, r.task.step
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.sortedWorkers {
		if w == r.worker || w.info.Machine != "" && w.info.Machine == r.worker.info.Machine || w.health.suspicions > 0 || w.speed.Slowness() > maxCopySlowness || !c.eligible(s, w) || !c.fits(s, w) {
			continue
		}
		cost := c.cost(s, w)
		if cost >= lastResortCost {
			continue
		}
		if w.info.Domain == r.worker.info.Domain {
			cost += sameDomainCost
		}
		for _, l := range w.info.Labels {
			if slices.Contains(r.worker.info.Labels, l) {
				cost += sharedLabelCost
			}
		}
		if cost < bestCost && !(unwanted && x.waitsFor(w)) {
			best, bestCost = w, cost
		}
	}
	return best
}

// stopWeaker stops the run of a task with two runs that ends clearly later, if another
// task waits for its place.
func (x *speculation) stopWeaker(t *task) {
	c := x.core
	if len(t.runs) != 2 || t.runs[0].phase == runStopping || t.runs[1].phase == runStopping {
		return
	}
	weaker := t.runs[0]
	switch lwspeculation.Weaker(c.forecast(t.runs[0]), c.forecast(t.runs[1])) {
	case lwspeculation.KeepBoth:
		return
	case lwspeculation.StopFirst:
	case lwspeculation.StopSecond:
		weaker = t.runs[1]
	}
	if x.waitsFor(weaker.worker) {
		c.keepRunTime(weaker)
		c.stopRun(weaker, "the other run of its task ends sooner, and another task waits for its place")
	}
}

// busyShare returns the share of a service's processors that its runs use or reserve.
func (c *Core) busyShare(service lwunit.ServiceName) float64 {
	used, capacity := lwunit.Millicores(0), lwunit.Millicores(0)
	for _, w := range c.sortedWorkers {
		if w.info.Service == service {
			used += w.reserved.Millicores + w.fillingDeclared
			capacity += w.info.Capacity.Millicores
		}
	}
	return min(1, float64(used)/max(1, float64(capacity)))
}

// keepRunTime keeps what a run tells of the speed of its worker. A run that is stopped
// because it is slow is the main sign that its worker is.
func (c *Core) keepRunTime(r *run) {
	if !c.cfg.LoadControl {
		return
	}
	if s, ok := c.runningSample(r, 0); ok {
		c.speedModel(r.worker).AddRun(c.now, s)
	}
}

// observeCopy logs that a copy was done before the first run of its task.
func (c *Core) observeCopy(w *worker, t *task, id lwjob.RunID) {
	if !c.cfg.LoadControl || t.done || t.step.spec.Gang {
		return
	}
	if slices.ContainsFunc(t.runs, func(o *run) bool { return o.id < id && o.phase != runStopping }) {
		c.logDecision(Decision{Kind: DecidedCopyWon, Job: t.step.job.spec.ID, Task: t.name, Run: id, Worker: w.info.Incarnation.Worker, Reason: "it ended before the first run of its task"})
	}
}

// replacesCheckpoint reports whether a listed checkpoint of a run replaces the one of its
// task. With two runs, the one that has done more counts.
func (c *Core) replacesCheckpoint(r *run) bool {
	if !c.cfg.LoadControl {
		return true
	}
	return !slices.ContainsFunc(r.task.runs, func(o *run) bool {
		return o != r && o.phase != runOrdered && o.status.Progress > r.status.Progress
	})
}

// tooManyRuns reports whether an adopted run is one too many. Leaders start at most one
// copy of a run, and none without a run whose end is unknown.
func (c *Core) tooManyRuns(t *task) bool {
	if !t.step.spec.Speculative {
		return len(t.runs) > 1
	}
	return c.cfg.LoadControl && len(t.runs) > 2
}
