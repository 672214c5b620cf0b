package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	worthMoving = 0.004 // late share that a move must save
	settledRun  = time.Minute
)

// move is a noisy task and a quieter worker with room for it.
type move struct {
	task lwstate.Task
	to   lwunit.WorkerID
	gain float64
}

// rebalance moves the task whose move saves most late requests, if that is
// worth an eviction. Placement alone cannot keep noise apart: what was quiet
// room when a task started need not be where room is free later.
func (c *Core) rebalance(r *round) {
	if !c.cfg.LearnPairs || c.cfg.Ladder != LadderFull || r.now-c.movedAt < c.cfg.MoveEvery || len(r.stops) >= c.cfg.MaxStops {
		return
	}
	c.movedAt = r.now // looking costs as much as moving
	best := c.bestMove(r)
	if best.task.ID == "" || !c.budget.take(r.now, r.deploy.EvictionBudget) {
		return
	}
	r.stop(best.task)
	c.cleared[best.to] = clearing{best.task.Job, r.now + clearFor}
}

func (c *Core) bestMove(r *round) move {
	var best move
	for _, w := range r.workers {
		if !r.state.HasBackend(w.Spec.ID) || w.Lost {
			continue
		}
		for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
			if m, ok := c.moveOf(r, w, t); ok && m.gain > best.gain {
				best = m
			}
		}
	}
	return best
}

// moveOf returns the best move of one task, weighed by what its eviction
// costs.
func (c *Core) moveOf(r *round, w *lwstate.Worker, t lwstate.Task) (move, bool) {
	j, ok := r.state.Job(t.Job)
	if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase != lwstate.TaskRunning || r.stopping[t.ID] || t.Evictions > 1 {
		return move{}, false
	}
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	if typical, known := c.sizes.typicalRun(classOf(j)); ran < settledRun || (known && ran > typical*7/10) {
		return move{}, false
	}
	here := c.disturbance(r, j, t.Reserve, w)
	d := r.deploy
	m := move{task: t}
	for i, to := range r.workers {
		if to.Spec.ID == w.Spec.ID || !t.Reserve.Fits(r.free(to.Spec.ID)) || !c.passes(r, j, to, i) {
			continue
		}
		gain := (here-c.disturbance(r, j, t.Reserve, to))*d.TailWeight - worthMoving*d.EvictionWeight
		if gain > m.gain {
			m.to, m.gain = to.Spec.ID, gain
		}
	}
	return m, m.to != ""
}
