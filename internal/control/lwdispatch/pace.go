package lwdispatch

import (
	"fmt"
	"time"
)

const (
	fullPace     = 100
	paceStep     = 2                       // divides the pace of filling work when a tail is near its target
	lowestPace   = 10                      // percent; below it filling work stands still
	toxicPace    = 20                      // percent that a run may have beside what it is known to disturb
	tailHigh     = 0.9                     // share of a target above which filling work yields
	tailFar      = 2                       // times a target at which it stands still at once
	tailCalm     = 0.65                    // share below which it may have more again
	paceInterval = 1200 * time.Millisecond // until the effect of the last change shows in a tail
	calmInterval = 1200 * time.Millisecond // of calm before filling work gets more
	settleTime   = 700 * time.Millisecond  // from a start until the run shows in a figure of the last half second
	stuckAfter   = 1500 * time.Millisecond // at a low pace until a run is moved to another worker
)

// checkTails paces filling work by the tails of the tasks that serve beside
// it. A tail lags, so a change waits until the last one can show. Where one
// image is known to disturb another, only that one yields.
func (c *Core) checkTails(w *worker, age time.Duration) {
	c.measureSpare(w)
	worst, victim := 0.0, ""
	fillers := w.fillers(c.now)
	for _, r := range w.sortedRuns() {
		target := r.task.step.spec.TailTarget.Std().Milliseconds()
		if target <= 0 || r.phase != runListed || r.row.Gauge == 0 {
			continue
		}
		ratio := float64(r.row.Gauge) / float64(target)
		if c.now-w.pacedAt >= paceInterval {
			c.pairs.learn(fillers, r.task.step.spec.Image, ratio)
		}
		if ratio > worst {
			worst, victim = ratio, r.task.step.spec.Image
		}
	}
	if worst > tailCalm {
		w.calmAt = c.now
	}
	c.noteOver(w, worst > 1)
	switch {
	case w.over && c.now-w.overSince >= c.cfg.HarmTime/2:
		c.haltFilling(w)
	case worst > tailHigh && c.now-w.pacedAt >= paceInterval+age:
		c.yield(w, fillers, victim, worst)
	case c.now-w.calmAt >= calmInterval && c.now-w.pacedAt >= paceInterval+age:
		c.recover(w)
	}
	c.moveStuck(w)
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
			w.pacedAt = c.now
		}
	}
}

// fillers returns the filling runs that have worked long enough to show in
// the figures of their worker.
func (w *worker) fillers(now time.Duration) []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Filling && r.phase == runListed && r.pace > 0 && now-r.began >= settleTime {
			list = append(list, r)
		}
	}
	return list
}

// yield lowers the pace of the filling runs that most likely disturb a task.
func (c *Core) yield(w *worker, fillers []*run, victim string, ratio float64) {
	culprits := c.pairs.suspects(fillers, victim)
	for _, r := range culprits {
		p := r.pace / paceStep
		if p < lowestPace || ratio >= tailFar {
			p = 0
		}
		c.setPace(r, p, fmt.Sprintf("the tail of image %s beside it is at %.1f of its target", victim, ratio))
		w.pacedAt = c.now
	}
}

// recover gives paced runs more again: slowly where they are known to disturb
// what serves here, else all at once.
func (c *Core) recover(w *worker) {
	for _, r := range w.sortedRuns() {
		if !r.task.step.spec.Filling || r.phase != runListed || r.pace == fullPace {
			continue
		}
		p := fullPace
		if _, toxic := c.disturbance(r.task.step, w); toxic {
			p = min(toxicPace, max(r.pace*paceStep, lowestPace))
		}
		if p == r.pace {
			continue
		}
		c.setPace(r, p, "tails beside it are calm")
		w.pacedAt = c.now
	}
}

func (c *Core) setPace(r *run, percent int, reason string) {
	if r.pace == fullPace && percent < fullPace {
		r.slowedAt = c.now
	}
	r.pace = percent
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
		if other := c.choose(s); other != nil && other != w {
			c.stop(r, "it disturbs others here and has room elsewhere")
		}
	}
}

const (
	keepsUp      = 0.9  // share of what settled runs ask for from which a worker may get more
	slowsDown    = 0.75 // share below which its runs slow each other
	spareStep    = 8    // divides a worker's processors: how much more it may get at a time
	fewestToTell = 1    // settled runs that a judgement needs
)

// measureSpare learns how much filling work a worker carries: processors that
// its other tasks reserve but do not use are free for it.
func (c *Core) measureSpare(w *worker) {
	var asked, used float64
	settled := 0
	for _, r := range w.runs {
		if !r.task.step.spec.Filling || r.phase != runListed || c.now-r.began < settleTime || r.pace < fullPace || c.now-r.slowedAt < settleTime {
			continue
		}
		settled++
		asked += float64(r.task.step.spec.Need.Millicores)
		used += float64(r.row.Gauge)
	}
	if settled < fewestToTell {
		return
	}
	declared := w.info.Capacity.Millicores - w.used.Millicores
	switch ratio := used / asked; {
	case ratio >= keepsUp:
		w.overcommit = max(w.overcommit, float64(w.filling+w.info.Capacity.Millicores/spareStep-declared))
	case ratio < slowsDown:
		w.overcommit = max(0, float64(w.filling)*ratio-float64(declared))
	}
	w.overcommit = min(w.overcommit, float64(w.used.Millicores))
}
