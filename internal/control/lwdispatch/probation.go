package lwdispatch

import (
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwblame"
)

const (
	minProbation       = 600 * time.Millisecond // a crash right after a start is reported by then
	maxProbation       = 3 * time.Second
	maxSuspectsOnTrial = 8                      // on one worker at a time
	suspectSpreadCost  = 0.25                   // placement cost for each run on probation on a worker
	suspectRetryDelay  = 100 * time.Millisecond // between two searches for a worker for one task
)

// isSuspect reports whether the crashes under a task speak against it, so that it
// matters where it starts next.
func (c *Core) isSuspect(t *task) bool {
	return t.step.hasSuspects && lwblame.Suspicious(c.oddsOf(t))
}

// isApart reports whether a task is to start while no other one starts on its worker.
func (c *Core) isApart(t *task) bool {
	return t.step.hasSuspects && lwblame.Apart(c.oddsOf(t))
}

// beginProbation puts the run of a suspect on probation.
func (c *Core) beginProbation(r *run) {
	if !c.isSuspect(r.task) {
		return
	}
	length := minProbation
	for _, x := range c.unexplainedCrashes(r.task) {
		length = max(length, lwblame.OutlivedAfter(x.Age.Std()))
	}
	r.probationEnd = c.now + min(length, maxProbation)
	r.apart = c.isApart(r.task)
	r.worker.probation = append(r.worker.probation, r)
}

// onProbation returns the number of runs on probation on a worker, and whether one of
// them is kept apart.
func (c *Core) onProbation(w *worker) (n int, apart bool) {
	w.probation = slices.DeleteFunc(w.probation, func(r *run) bool {
		return c.now >= r.probationEnd || w.runs[runKey{r.task.name, r.id}] != r
	})
	for _, r := range w.probation {
		apart = apart || r.apart
	}
	return len(w.probation), apart
}

// mayTakeSuspect reports whether a suspect may start on a worker: few enough suspects
// are on probation there that a crash tells them apart.
func (c *Core) mayTakeSuspect(w *worker, apart bool) bool {
	n, _ := c.onProbation(w)
	if apart {
		return n == 0
	}
	return n < maxSuspectsOnTrial
}

// chooseForSuspect returns the worker for a task under which workers have crashed, or
// nil. Suspects are spread, so that the next crash tells them apart; one that is kept
// apart goes where least is lost with the worker.
func (c *Core) chooseForSuspect(t *task) *worker {
	s := t.step
	if c.now < t.suspectSearchAt {
		return nil
	}
	apart := c.isApart(t)
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.sortedWorkers {
		if !c.eligible(s, w) || !c.fits(s, w) || !c.mayTakeSuspect(w, apart) {
			continue
		}
		cost := c.cost(s, w)
		if cost >= lastResortCost {
			continue
		}
		n, _ := c.onProbation(w)
		cost += suspectSpreadCost * float64(n)
		if apart {
			cost = w.stake()
		}
		if cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best == nil {
		t.suspectSearchAt = c.now + suspectRetryDelay
	}
	return best
}

// longRunningStake is the weight of a long-running task against the share of its
// worker that other tasks reserve.
const longRunningStake = 1

// stake returns how much is lost with a worker: the share of it that is reserved, and
// the long-running tasks, which are missed until they run again.
func (w *worker) stake() float64 {
	sum := float64(w.reserved.Millicores+w.fillingDeclared) / w.millicores()
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			sum += longRunningStake
		}
	}
	return sum
}
