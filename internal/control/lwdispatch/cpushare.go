package lwdispatch

import (
	"fmt"
	"slices"
	"time"
)

const (
	fullPercent          = 100                    // an unlimited CPU share, or all of the work
	percentStep          = 5                      // granularity of CPU shares, in percent
	minPercent           = 10                     // smallest CPU share; below it a run is paused
	minStartPercent      = 60                     // CPU share at which filling work must be able to begin on a worker, unless its job is starved
	placementTargetShare = 0.7                    // fraction of its target that a tail latency may reach where filling work is placed
	throttleTargetShare  = 0.95                   // fraction of its target above which filling work is throttled
	raiseTargetShare     = 0.8                    // fraction of its target that a tail latency may reach where CPU shares are raised
	raiseInterval        = 600 * time.Millisecond // between two raises on a worker, so that the first one is measured before the next
	settleTime           = 700 * time.Millisecond // from a start or a new CPU share until measurements, which cover the last half second, show it
	moveMinPercent       = 60                     // CPU share that another worker must allow for a run to be moved there
	moveDelay            = 300 * time.Millisecond // after which a run with a low CPU share is moved to another worker
	minSampleInterval    = 20 * time.Millisecond  // between two lists that count as separate samples
)

// controlInterference sets the CPU shares of filling runs by the tail latencies of
// the serving tasks on their worker. It uses the tail latencies that the model
// predicts from the CPU shares ordered last, since measurements lag behind them. It
// also measures how far the worker may be overcommitted.
func (c *Core) controlInterference(w *worker) {
	c.measureOvercommit(w)
	w.invalidate()
	if c.now-w.imageLoadAt >= minSampleInterval {
		w.updateImageLoad(c.now)
		c.updateTailModels(w)
	}
	worst := 0.0
	for _, r := range w.servingRuns() {
		worst = max(worst, float64(r.status.Gauge)/float64(r.task.step.spec.TailTarget.Std().Milliseconds()))
	}
	c.setOverTarget(w, worst > 1)
	if w.overTarget && c.now-w.overTargetSince >= c.cfg.MaxTimeOverTarget/2 {
		c.pauseFilling(w)
	} else {
		c.throttleFilling(w)
		c.raiseFilling(w)
	}
	c.moveThrottled(w)
}

// servingRuns returns the listed runs on a worker whose tail latency was measured.
func (w *worker) servingRuns() []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.TailTarget > 0 && r.phase == runListed && r.status.Gauge > 0 {
			list = append(list, r)
		}
	}
	return list
}

func (c *Core) updateTailModels(w *worker) {
	for _, r := range w.servingRuns() {
		c.updateTailModel(w, r)
	}
}

// setOverTarget records whether a tail latency on a worker is over its target.
func (c *Core) setOverTarget(w *worker, over bool) {
	if over && !w.overTarget {
		w.overTargetSince = c.now
	}
	w.overTarget = over
}

// pauseFilling pauses all filling runs on a worker, because throttling by image has
// not brought a tail latency back to its target in time.
func (c *Core) pauseFilling(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Filling && r.phase == runListed && r.cpuPercent > 0 {
			c.setCPUPercent(r, 0, "a tail latency on its worker has been over its target for too long")
			w.raisedAt = c.now
		}
	}
}

// throttleFilling lowers the CPU shares of the images that interfere most until
// every tail latency is expected to stay below throttleTargetShare of its target.
func (c *Core) throttleFilling(w *worker) {
	for range len(w.runs) {
		shares := w.imageShares(c.now)
		worst, excess := (*run)(nil), 0.0
		for _, r := range w.servingRuns() {
			if x := c.interference(shares, r.task.step.spec.Image) - max(0, r.headroom(throttleTargetShare, r.baseTail)); x > excess {
				worst, excess = r, x
			}
		}
		if worst == nil || !c.throttleImage(w, shares, worst, excess) {
			return
		}
	}
}

// throttleImage reduces the interference with a serving run by an excess. It
// throttles the runs of the image that interferes most, those of the least urgent
// jobs first, so that the others complete. It returns false if no run was throttled.
func (c *Core) throttleImage(w *worker, shares map[string]float64, serving *run, excess float64) bool {
	servingImage := serving.task.step.spec.Image
	worstImage, most := "", 0.0
	for fillingImage, share := range shares {
		if x := c.gains.mean(imagePair{fillingImage, servingImage}) * share; x > most || (x == most && fillingImage < worstImage) {
			worstImage, most = fillingImage, x
		}
	}
	if most <= 0 {
		return false
	}
	excessShare := excess / most * shares[worstImage]
	throttled := false
	for _, r := range slices.Backward(c.fillingByUrgency(w)) {
		if r.task.step.spec.Image != worstImage || r.cpuPercent == 0 || excessShare <= 0 {
			continue
		}
		use := r.cpuShare(c.now)
		percent := int(float64(r.cpuPercent)*max(0, 1-excessShare/use)) / percentStep * percentStep
		if percent < minPercent {
			percent = 0
		}
		excessShare -= use * (1 - float64(percent)/float64(r.cpuPercent))
		c.setCPUPercent(r, percent, fmt.Sprintf("image %s would raise the tail latency of image %s over its target", worstImage, servingImage))
		throttled = true
	}
	return throttled
}

func (w *worker) anyThrottled() bool {
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase == runListed && r.cpuPercent < fullPercent {
			return true
		}
	}
	return false
}

// fillingByUrgency returns the filling runs on a worker, those of the most urgent
// jobs first.
func (c *Core) fillingByUrgency(w *worker) []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Filling && r.phase != runStopping {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *run) int { return compareUrgency(c.rateUrgency(a.task.step), c.rateUrgency(b.task.step)) })
	return list
}

// raiseFilling raises the CPU shares of throttled runs, as far as every tail latency
// is expected to stay below raiseTargetShare of its target.
func (c *Core) raiseFilling(w *worker) {
	if c.now-w.raisedAt < raiseInterval || w.overTarget || !w.anyThrottled() {
		return
	}
	for _, r := range c.fillingByUrgency(w) {
		if r.phase != runListed || r.cpuPercent == fullPercent {
			continue
		}
		increase := c.allowedShare(r.task.step, w, raiseTargetShare) * fullPercent * w.millicores() / max(1, float64(r.task.step.spec.Need.Millicores))
		percent := min(fullPercent, r.cpuPercent+int(min(fullPercent, increase))/percentStep*percentStep)
		if percent < minPercent || percent < r.cpuPercent+2*percentStep && percent < fullPercent {
			continue
		}
		c.setCPUPercent(r, percent, "the tail latencies on its worker allow it")
		w.raisedAt = c.now
	}
}

// setCPUPercent orders a CPU share for a run.
func (c *Core) setCPUPercent(r *run, percent int, reason string) {
	if r.cpuPercent == fullPercent && percent < fullPercent {
		r.throttledAt = c.now
	}
	r.cpuPercent, r.cpuPercentSetAt = percent, c.now
	r.measureAnew(c.now, percent)
	r.worker.invalidate()
	c.sendOrder(r.worker, LimitRunCPU{r.task.name, r.id, percent})
	c.logDecision(Decision{Kind: DecidedCPUShare, CPUPercent: percent, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: r.worker.info.Incarnation.Worker, Reason: reason})
}

// moveThrottled stops runs with a low CPU share if another worker has room for them
// and allows them at least moveMinPercent. There they continue from their checkpoint,
// or begin again if they have none.
func (c *Core) moveThrottled(w *worker) {
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if !s.spec.Filling || r.phase != runListed || r.cpuPercent > fullPercent/4 || c.now-r.throttledAt < moveDelay {
			continue
		}
		if !s.spec.Checkpointed && r.status.Progress > fullPercent/2 {
			continue // restarting would lose more work than is left
		}
		if other := c.chooseChangedWorker(s, 0); other != nil && other != w && c.allowedStartPercent(s, other) >= moveMinPercent {
			c.stopRun(r, "it is throttled for interference here and has room on another worker")
		}
	}
}

const (
	uncontendedShare = 0.9  // part of the highest CPU use of its step that a run must reach for its worker to get more filling work
	contendedShare   = 0.8  // part below which even the run that gets most is slowed by other runs
	overcommitSteps  = 8    // one step of overcommitment is the worker's processors divided by this number
	initialIdleShare = 0.25 // fraction of the reserved processors assumed idle until it is measured
)

// measureOvercommit estimates how many processors filling work may use beyond the
// unreserved ones: those that other tasks reserve but leave idle. Competing runs
// are slowed alike, so the estimate rests on the run that gets the largest part of
// what the tasks of its step get elsewhere; declared sizes are too inexact.
func (c *Core) measureOvercommit(w *worker) {
	best, used := 0.0, 0.0
	for _, r := range w.runs {
		if !r.task.step.spec.Filling || r.phase != runListed {
			continue
		}
		used += float64(r.status.Gauge)
		if c.now-r.orderedAt >= settleTime && r.cpuPercent == fullPercent && c.now-r.cpuPercentSetAt >= settleTime {
			share := float64(r.status.Gauge) / max(1, float64(r.task.step.spec.Need.Millicores))
			r.task.step.maxCPURatio = max(r.task.step.maxCPURatio, share)
			best = max(best, share/r.task.step.maxCPURatio)
		}
	}
	declared := float64(w.info.Capacity.Millicores - w.reserved.Millicores)
	switch {
	case best >= uncontendedShare:
		w.overcommit = max(w.overcommitLimit(), w.currentFillingUse(c.now)+w.millicores()/overcommitSteps-declared)
		w.overcommitMeasured = true
	case best > 0 && best < contendedShare:
		w.overcommit = max(0, used-declared)
		w.overcommitMeasured = true
	}
	w.overcommit = min(w.overcommit, float64(w.reserved.Millicores))
}

// overcommitLimit returns how many millicores filling work may use beyond the
// unreserved ones.
func (w *worker) overcommitLimit() float64 {
	if w.overcommitMeasured {
		return w.overcommit
	}
	return initialIdleShare * float64(w.reserved.Millicores)
}
