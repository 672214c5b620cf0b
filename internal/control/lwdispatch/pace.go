package lwdispatch

import "time"

const (
	fullPace     = 100
	paceStep     = 2                       // divides the pace of filling work when a tail is near its target
	lowestPace   = 10                      // percent; below it filling work stands still
	tailHigh     = 0.9                     // share of a target above which filling work yields
	tailCalm     = 0.6                     // share below which it may have more again
	paceInterval = 700 * time.Millisecond  // until the effect of the last change shows in a tail
	calmInterval = 1500 * time.Millisecond // of calm before filling work gets more
)

// checkTails paces filling work by the tails of the tasks that serve beside
// it. A tail lags, so a change waits until the last one can show.
func (c *Core) checkTails(w *worker, age time.Duration) {
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.spec.TailTarget.Std().Milliseconds(); target > 0 && r.phase == runListed {
			worst = max(worst, float64(r.row.Gauge)/float64(target))
		}
	}
	if worst > tailCalm {
		w.calmAt = c.now
	}
	if c.now-w.pacedAt < paceInterval+age {
		return
	}
	switch {
	case worst > tailHigh:
		c.paceFilling(w, func(p int) int { return lowered(p) })
	case c.now-w.calmAt >= calmInterval:
		c.paceFilling(w, func(p int) int { return min(fullPace, max(p*paceStep, lowestPace)) })
	}
}

func lowered(p int) int {
	if p /= paceStep; p < lowestPace {
		return 0
	}
	return p
}

// paceFilling gives the filling runs of a worker a new pace.
func (c *Core) paceFilling(w *worker, next func(int) int) {
	for _, r := range w.sortedRuns() {
		if !r.task.step.spec.Filling || r.phase != runListed {
			continue
		}
		p := next(r.pace)
		if p == r.pace {
			continue
		}
		r.pace, r.paceAt = p, c.now
		w.pacedAt = c.now
		c.sendOrder(w, PaceRun{r.task.name, r.id, p})
		c.decide(Decision{Kind: DecidedPace, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: w.info.Life.Worker, Reason: paceReason(p)})
	}
}

func paceReason(p int) string {
	if p == fullPace {
		return "tails are calm: full pace"
	}
	return "a tail beside it neared or left its target"
}
