package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	minMoveSaving    = 0.004 // share of late requests that a move must save, if tail latency and evictions have equal weights
	minRunBeforeMove = time.Minute
)

// move is a task, and a worker with room for it where it interferes less.
type move struct {
	task   lwstate.Task
	to     lwunit.WorkerID
	saving float64 // weighted share of late requests that the move saves
}

// rebalance evicts the task whose move saves most late requests, if that is worth
// an eviction, and keeps room for it on the better worker. Placement alone cannot
// keep interference low: the workers where a task interferes least may have no
// room when it starts and free room later.
func (c *Core) rebalance(r *round) {
	if !c.cfg.LearnInterference || c.cfg.Escalation != EscalationFull || r.now-c.moveSearchedAt < c.cfg.MoveInterval || len(r.stops) >= c.cfg.MaxStops {
		return
	}
	c.moveSearchedAt = r.now // a search without a result counts too: it is the expensive part
	best := c.bestMove(r)
	if best.task.ID == "" || !c.budget.take(r.now, r.deployment.EvictionBudget) {
		return
	}
	r.stop(best.task)
	c.earmarks[best.to] = earmark{best.task.Job, r.now + earmarkDuration}
}

// bestMove returns the move with the largest saving; its task is empty if there is
// none.
func (c *Core) bestMove(r *round) move {
	var best move
	for _, w := range r.workers {
		if !r.state.HasBackend(w.Spec.ID) || w.Lost {
			continue
		}
		for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
			if m, ok := c.bestMoveOf(r, w, t); ok && m.saving > best.saving {
				best = m
			}
		}
	}
	return best
}

// bestMoveOf returns the best move of one task, if any saves more than its
// eviction costs. Tasks that started recently, are nearly done or were
// evicted more than once are not moved.
func (c *Core) bestMoveOf(r *round, w *lwstate.Worker, t lwstate.Task) (move, bool) {
	j, ok := r.state.Job(t.Job)
	if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase != lwstate.TaskRunning || r.stopping[t.ID] || t.Evictions > 1 {
		return move{}, false
	}
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	if meanRun, known := c.sizes.meanRunTime(teamProgramOf(j)); ran < minRunBeforeMove || (known && ran > meanRun*7/10) {
		return move{}, false
	}
	here := c.interferenceCost(r, j, t.Reserve, w)
	d := r.deployment
	m := move{task: t}
	for i, to := range r.workers {
		if to.Spec.ID == w.Spec.ID || !t.Reserve.Fits(r.free(to.Spec.ID)) || !c.passes(r, j, to, i) {
			continue
		}
		saving := (here-c.interferenceCost(r, j, t.Reserve, to))*d.TailWeight - minMoveSaving*d.EvictionWeight
		if saving > m.saving {
			m.to, m.saving = to.Spec.ID, saving
		}
	}
	return m, m.to != ""
}
