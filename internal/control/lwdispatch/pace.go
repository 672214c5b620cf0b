package lwdispatch

import (
	"fmt"
	"slices"
	"time"
)

const (
	fullPace     = 100
	paceGrain    = 5                      // percent, in which paces are set
	lowestPace   = 10                     // percent; below it filling work stands still
	leastStart   = 60                     // percent at which filling work must be able to begin for a worker to be chosen
	placeShare   = 0.7                    // of a target, that tails may reach where filling work is placed
	slowShare    = 0.95                   // of a target, above which filling work yields
	raiseShare   = 0.8                    // of a target, that tails may reach where paced work gets more
	raisePause   = 600 * time.Millisecond // between two raises on a worker: until the first shows
	settleTime   = 700 * time.Millisecond // from a start until the run shows in a figure of the last half second
	movePace     = 60                     // percent at which a run must be able to go on elsewhere to be moved
	stuckAfter   = 300 * time.Millisecond // at a low pace until a run is moved to another worker
	leastMeasure = 20 * time.Millisecond  // between two lists that carry figures of their own
)

// checkTails paces filling work by the tails of the tasks that serve beside
// it, as the gains of the images predict them: a figure lags, so what was
// ordered since counts, not what the figure still shows.
func (c *Core) checkTails(w *worker) {
	c.measureSpare(w)
	w.changed()
	if c.now-w.feltAt >= leastMeasure {
		w.feel(c.now)
		c.learnTails(w)
	}
	worst := 0.0
	for _, r := range w.serving() {
		worst = max(worst, float64(r.row.Gauge)/float64(r.task.step.spec.TailTarget.Std().Milliseconds()))
	}
	c.noteOver(w, worst > 1)
	if w.over && c.now-w.overSince >= c.cfg.HarmTime/2 {
		c.haltFilling(w)
	} else {
		c.yield(w)
		c.raise(w)
	}
	c.moveStuck(w)
}

// serving returns the runs on a worker whose tails are known.
func (w *worker) serving() []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.TailTarget > 0 && r.phase == runListed && r.row.Gauge > 0 {
			list = append(list, r)
		}
	}
	return list
}

func (c *Core) learnTails(w *worker) {
	for _, r := range w.serving() {
		c.learnTail(w, r)
	}
}

// noteOver notes whether a tail on a worker misses its target.
func (c *Core) noteOver(w *worker, over bool) {
	if over && !w.over {
		w.overSince = c.now
	}
	w.over = over
}

// haltFilling lets everything that fills a worker stand still: blame by image
// has not helped a tail in time.
func (c *Core) haltFilling(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Filling && r.phase == runListed && r.pace > 0 {
			c.setPace(r, 0, "a tail beside it has missed its target for too long")
			w.raisedAt = c.now
		}
	}
}

// yield lowers the pace of what disturbs a tail most until every tail is
// expected to keep to its target.
func (c *Core) yield(w *worker) {
	for range len(w.runs) {
		uses := w.uses(c.now)
		victim, excess := (*run)(nil), 0.0
		for _, r := range w.serving() {
			if x := c.burden(uses, r.task.step.spec.Image) - max(0, r.room(slowShare, r.base)); x > excess {
				victim, excess = r, x
			}
		}
		if victim == nil || !c.slow(w, uses, victim, excess) {
			return
		}
	}
}

// slow takes an excess off a tail by the image that adds most to it: the runs
// of the least urgent jobs yield first, so that the others get done. It returns
// false if nothing is left to slow.
func (c *Core) slow(w *worker, uses map[string]float64, victim *run, excess float64) bool {
	serves := victim.task.step.spec.Image
	culprit, most := "", 0.0
	for fills, share := range uses {
		if x := c.pairs.mean(pairKey{fills, serves}) * share; x > most || (x == most && fills < culprit) {
			culprit, most = fills, x
		}
	}
	if most <= 0 {
		return false
	}
	left := excess / most * uses[culprit]
	slowed := false
	for _, r := range slices.Backward(c.byUrgency(w)) {
		if r.task.step.spec.Image != culprit || r.pace == 0 || left <= 0 {
			continue
		}
		use := r.use(c.now)
		p := int(float64(r.pace)*max(0, 1-left/use)) / paceGrain * paceGrain
		if p < lowestPace {
			p = 0
		}
		left -= use * (1 - float64(p)/float64(r.pace))
		c.setPace(r, p, fmt.Sprintf("image %s would bring the tail of image %s over its target", culprit, serves))
		slowed = true
	}
	return slowed
}

func (w *worker) anyPaced() bool {
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase == runListed && r.pace < fullPace {
			return true
		}
	}
	return false
}

// byUrgency returns the filling runs on a worker, those of the most urgent
// jobs first.
func (c *Core) byUrgency(w *worker) []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Filling && r.phase != runStopping {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *run) int { return compareUrgency(c.urgency(a.task.step), c.urgency(b.task.step)) })
	return list
}

// raise gives paced runs more, as far as every tail is expected to stay well
// within its target.
func (c *Core) raise(w *worker) {
	if c.now-w.raisedAt < raisePause || w.over || !w.anyPaced() {
		return
	}
	for _, r := range c.byUrgency(w) {
		if r.phase != runListed || r.pace == fullPace {
			continue
		}
		share := c.bearable(r.task.step, w, raiseShare) * fullPace * w.cores() / max(1, float64(r.task.step.spec.Need.Millicores))
		p := min(fullPace, r.pace+int(min(fullPace, share))/paceGrain*paceGrain)
		if p < lowestPace || p < r.pace+2*paceGrain && p < fullPace {
			continue
		}
		c.setPace(r, p, "the tails beside it bear it")
		w.raisedAt = c.now
	}
}

func (c *Core) setPace(r *run, percent int, reason string) {
	if r.pace == fullPace && percent < fullPace {
		r.slowedAt = c.now
	}
	r.pace, r.pacedAt = percent, c.now
	r.worker.changed()
	c.sendOrder(r.worker, PaceRun{r.task.name, r.id, percent})
	c.decide(Decision{Kind: DecidedPace, Percent: percent, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: r.worker.info.Life.Worker, Reason: reason})
}

// moveStuck stops runs that stand still where they disturb others, if another
// worker would take them: saved work goes on there.
func (c *Core) moveStuck(w *worker) {
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if !s.spec.Filling || r.phase != runListed || r.pace > fullPace/4 || c.now-r.slowedAt < stuckAfter {
			continue
		}
		if !s.spec.Checkpointed && r.row.Progress > fullPace/2 {
			continue // more would be lost than is left to do
		}
		if other := c.chooseChanged(s, 0); other != nil && other != w && c.startPace(s, other) >= movePace {
			c.stop(r, "it disturbs others here and has room elsewhere")
		}
	}
}

const (
	keepsUp     = 0.9  // share of what its like get that a run gets where a worker may get more
	slowsDown   = 0.8  // share below which even the best served run is slowed by others
	spareStep   = 8    // divides a worker's processors: how much more it may get at a time
	idleAtFirst = 0.25 // share of reserved processors that is taken as free until a worker shows
)

// measureSpare learns how much filling work a worker carries: processors that
// its other tasks reserve but do not use are free for it. Runs that compete
// are slowed alike, so the one that gets most of what its like get elsewhere
// tells; declared sizes do not.
func (c *Core) measureSpare(w *worker) {
	best, used := 0.0, 0.0
	for _, r := range w.runs {
		if !r.task.step.spec.Filling || r.phase != runListed {
			continue
		}
		used += float64(r.row.Gauge)
		if c.now-r.began >= settleTime && r.pace == fullPace && c.now-r.slowedAt >= settleTime {
			share := float64(r.row.Gauge) / max(1, float64(r.task.step.spec.Need.Millicores))
			r.task.step.most = max(r.task.step.most, share)
			best = max(best, share/r.task.step.most)
		}
	}
	declared := float64(w.info.Capacity.Millicores - w.used.Millicores)
	switch {
	case best >= keepsUp:
		w.overcommit = max(w.spare(), w.askedNow(c.now)+w.cores()/spareStep-declared)
		w.measured = true
	case best > 0 && best < slowsDown:
		w.overcommit = max(0, used-declared)
		w.measured = true
	}
	w.overcommit = min(w.overcommit, float64(w.used.Millicores))
}

// spare returns the processors, in millicores, that filling work may use beyond
// those that nobody reserves.
func (w *worker) spare() float64 {
	if w.measured {
		return w.overcommit
	}
	return idleAtFirst * float64(w.used.Millicores)
}
