package lwdispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwspeed"
)

const (
	slowFrom         = 1.5             // slowness from which a worker counts as slow
	slowUntil        = 1.25            // slowness up to which it no longer does
	shareFrom        = 2.0             // slowness from which a worker is given only a part of its capacity
	maxSpeedCost     = 5.0             // of the placement cost, so that a slow worker alone never reaches lastResortCost
	speedRetention   = 5 * time.Minute // after its last run, for which the speed of a worker that has left is kept
	maxTaskLengths   = 32              // that are kept of a step; they tell its median well enough
	comparableMillis = 10              // expected run time in milliseconds below which delays of orders and reports outweigh the speed
)

// speeds holds what this leader has learned of the speeds of workers. The next leader
// learns it anew.
type speeds struct {
	workers      map[lwunit.WorkerID]*lwspeed.Worker // outlive an incarnation, since a worker that flaps returns
	lengths      map[lwconfig.QueueKey]*lwspeed.Lengths
	withProgress map[lwconfig.QueueKey]bool // queues whose runs have reported progress before their end
}

// taskLength is the run time of a task that is done, as a ratio to the expected one.
type taskLength struct {
	worker lwunit.WorkerID
	ratio  lwspeed.LogRatio
}

func (c *Core) speedModel(w *worker) *lwspeed.Worker {
	id := w.info.Incarnation.Worker
	m := c.speeds.workers[id]
	if m == nil {
		if c.speeds.workers == nil {
			c.speeds.workers = make(map[lwunit.WorkerID]*lwspeed.Worker)
		}
		m = &lwspeed.Worker{}
		c.speeds.workers[id] = m
	}
	return m
}

func (c *Core) lengthsOf(j *job) *lwspeed.Lengths {
	l := c.speeds.lengths[j.queue.Key]
	if l == nil {
		if c.speeds.lengths == nil {
			c.speeds.lengths = make(map[lwconfig.QueueKey]*lwspeed.Lengths)
		}
		l = &lwspeed.Lengths{}
		c.speeds.lengths[j.queue.Key] = l
	}
	return l
}

// comparableFromStart reports whether the run time of a run that starts now will tell the speed
// of its worker. A run that resumes does only a part of the work; one of a gang waits for
// the others; one away from its data or on a worker that is still cold is slow for
// another reason; a throttled one is slow by order.
func comparableFromStart(r *run) bool {
	s, w := r.task.step.spec, r.worker
	return !s.LongRunning && !s.Gang && r.task.checkpoint == "" && r.cpuPercent == fullPercent && w.info.WarmupTimeLeft <= 0 &&
		(s.PreferredRack == "" || slices.Contains(w.info.Labels, string(s.PreferredRack)))
}

// measureAnew notes that the CPU share of a run has changed, so that its progress from now
// on has another speed.
func (r *run) measureAnew(now time.Duration, percent int) {
	r.notComparable = r.notComparable || percent < fullPercent
	r.progress.Begin(now, r.status.Progress)
}

// isComparable reports whether the run time of a run up to now tells the speed of its
// worker. It does not if the start of the run is unknown, or if a filling run gets too few
// of the processors that others leave idle.
func (c *Core) isComparable(r *run) bool {
	if r.adopted || r.notComparable || r.phase == runStopping {
		return false
	}
	s := r.task.step
	return !s.spec.Filling || float64(r.status.Gauge) >= contendedShare*s.maxCPURatio*float64(s.spec.Need.Millicores)
}

// sample compares the run time of a run with that of its kind. Where tasks of the step are
// done on other workers, their median tells how far the declared time is off, which is
// common to the step. Without them, further runs of the step on one worker count less.
func (c *Core) sample(r *run, total time.Duration, same int) lwspeed.Sample {
	s, id := r.task.step, r.worker.info.Incarnation.Worker
	l := c.lengthsOf(s.job)
	var others []lwspeed.LogRatio
	for _, x := range s.lengths {
		if x.worker == id {
			same++
		} else {
			others = append(others, x.ratio)
		}
	}
	n := float64(len(others))
	ratio := lwspeed.LogRatioOf(total, c.expectedRunTime(s.job, s.spec))
	if len(others) > 0 {
		slices.Sort(others)
		ratio -= (others[len(others)/2] - l.Typical()) * lwspeed.LogRatio(n/(n+1))
	}
	return lwspeed.Sample{Ratio: ratio, Weight: (1 + n) / (1 + n + float64(same)), Lengths: l}
}

// observeEnd learns from the end of a run. Runs that were stopped, or that a crash or a
// lapsed lease ended, tell nothing.
func (c *Core) observeEnd(w *worker, t *task, r *run, e lwjob.End) {
	if !c.cfg.LoadControl {
		return
	}
	m := c.speedModel(w)
	switch e.How {
	case lwjob.EndDone:
		m.AddOutcome(c.now, false, 1)
		c.observeRunTime(m, r)
	case lwjob.EndFailed:
		if len(t.failedRuns) > 0 {
			break // a task that fails again is more likely at fault than its worker
		}
		m.AddOutcome(c.now, true, failureWeight(t.step))
	case lwjob.EndStopped, lwjob.EndLeaseExpired, lwjob.EndGangBroken, lwjob.EndGangIncomplete, lwjob.EndCrashed:
	}
	c.updateSpeed(w)
}

func (c *Core) observeRunTime(m *lwspeed.Worker, r *run) {
	if r == nil || !c.isComparable(r) || r.task.done {
		return
	}
	s := r.task.step
	total, expected := c.now-r.orderedAt, c.expectedRunTime(s.job, s.spec)
	if expected < comparableMillis*time.Millisecond {
		return
	}
	m.AddRun(c.now, c.sample(r, total, 0))
	ratio := lwspeed.LogRatioOf(total, expected)
	if !r.worker.speed.Hung() {
		c.lengthsOf(s.job).Add(ratio - r.worker.speed.Mean)
	}
	s.lengths = append(s.lengths, taskLength{r.worker.info.Incarnation.Worker, ratio})
	s.lengths = s.lengths[max(0, len(s.lengths)-maxTaskLengths):]
}

// failureWeight returns the weight of the first failure of a task against its worker, by
// how many other tasks of the step are done and have failed. It falls with the square of the
// failures, so that all those of a bad job together weigh less than two.
func failureWeight(s *step) float64 {
	done, failed := 0, 0
	for _, t := range s.tasks {
		switch {
		case t.done:
			done++
		case len(t.failedRuns) > 0:
			failed++
		}
	}
	part := float64(1+done) / float64(1+done+failed)
	return part * part
}

// observeLists learns from the progress of the runs on a worker.
func (c *Core) observeLists(w *worker, age time.Duration) {
	if !c.cfg.LoadControl {
		return
	}
	for _, r := range w.runs {
		if r.phase != runListed {
			continue
		}
		if r.progress == (lwspeed.Progress{}) && !r.adopted && r.task.checkpoint == "" {
			r.progress.Begin(r.orderedAt, 0)
		}
		r.progress.Report(c.now-age, r.status.Progress)
		if r.status.Progress > 0 && r.status.Progress < fullPercent && !c.speeds.withProgress[r.task.step.job.queue.Key] {
			if c.speeds.withProgress == nil {
				c.speeds.withProgress = make(map[lwconfig.QueueKey]bool)
			}
			c.speeds.withProgress[r.task.step.job.queue.Key] = true
		}
	}
	c.updateSpeed(w)
}

// updateSpeed estimates the speed of a worker from the runs that have ended and those
// that it lists. It suspects a worker that is of no use.
func (c *Core) updateSpeed(w *worker) {
	w.speed = c.speedModel(w).Estimate(c.now, c.runningSamples(w, nil))
	h := &w.health
	if w.speed.Unfit() && (h.suspicions == 0 || h.probing && c.now-h.probedAt >= c.cfg.SuspicionPause) {
		c.suspect(w, "it hangs or fails most tasks"+describeSpeed(w))
	}
	if slowness := w.speed.Slowness(); w.slow && slowness <= slowUntil || !w.slow && slowness >= slowFrom {
		w.slow = !w.slow
		kind, reason := DecidedTakenBack, "it is no longer slow"
		if w.slow {
			kind, reason = DecidedSlow, "its runs take longer than those of their kind"
		}
		c.logDecision(Decision{Kind: kind, Worker: w.info.Incarnation.Worker, Reason: reason + describeSpeed(w)})
	}
}

// runningSamples returns what the runs on a worker that have not ended tell of it. It
// leaves out the run except, which may be nil.
func (c *Core) runningSamples(w *worker, except *run) []lwspeed.Sample {
	var list []lwspeed.Sample
	same := make(map[*step]int)
	for _, r := range w.sortedRuns() {
		if r == except {
			continue
		}
		if x, ok := c.runningSample(r, same[r.task.step]); ok {
			list = append(list, x)
			same[r.task.step]++
		}
	}
	return list
}

// runningSample returns what a run that has not ended tells of its worker, if anything.
func (c *Core) runningSample(r *run, same int) (lwspeed.Sample, bool) {
	s := r.task.step
	expected := c.expectedRunTime(s.job, s.spec)
	if r.phase != runListed || !c.isComparable(r) || expected < comparableMillis*time.Millisecond {
		return lwspeed.Sample{}, false
	}
	total, _ := r.progress.Speed(c.now)
	age, stalled := c.now-r.orderedAt, c.stalledFor(r) > 0
	if total == 0 && age < expected && !stalled {
		return lwspeed.Sample{}, false // it says hardly anything yet
	}
	x := c.sample(r, max(total, age), same)
	x.Running, x.AtLeast, x.Stalled = true, age > total, stalled
	return x, true
}

func describeSpeed(w *worker) string {
	return fmt.Sprintf("; slowness %.2f (deviation of the logarithm %.2f), failure rate %.2f", w.speed.Slowness(), math.Sqrt(max(0, w.speed.Variance)), w.speed.FailureRate)
}

// speedCost returns the placement cost of the expected extra time of a run on a worker, in
// run times, like that of work outside its preferred rack.
func (c *Core) speedCost(w *worker) float64 {
	if !c.cfg.LoadControl {
		return 0
	}
	return min(w.speed.ExtraTime(), maxSpeedCost)
}

// withinSpeedShare reports whether a slow worker may take another task: it is given a part
// of its capacity in proportion to its speed. It always takes one task if none of its runs
// tells whether it is still slow. A worker that was taken back is filled gradually.
func (c *Core) withinSpeedShare(s *step, w *worker) bool {
	if !c.cfg.LoadControl {
		return true
	}
	used := float64(w.reserved.Millicores + w.fillingDeclared + s.spec.Need.Millicores)
	if part := c.rampUp(w); part < 1 && len(w.runs) > 0 && used > part*float64(w.info.Capacity.Millicores) {
		return false
	}
	if w.speed.Slowness() < shareFrom {
		return true
	}
	measured := false
	for _, r := range w.runs {
		measured = measured || c.isComparable(r)
	}
	if !measured {
		return true
	}
	return used*w.speed.Slowness() <= float64(w.info.Capacity.Millicores)
}

// expectedRunTimeOn returns the expected run time of a step's tasks on a worker.
func (c *Core) expectedRunTimeOn(w *worker, s *step) time.Duration {
	t := c.expectedRunTime(s.job, s.spec)
	if !c.cfg.LoadControl {
		return t
	}
	return time.Duration(float64(t) * w.speed.Slowness())
}

// forgetSpeeds drops what is known of workers that have left for long.
func (c *Core) forgetSpeeds() {
	for id, m := range c.speeds.workers {
		if c.now-m.UpdatedAt() >= speedRetention && !slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.info.Incarnation.Worker == id }) {
			delete(c.speeds.workers, id)
		}
	}
}
