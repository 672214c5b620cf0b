package lwplacement

import (
	"fmt"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Loss is the end of a worker, or of its platform, with all attempts that it held.
type Loss struct {
	Worker   lwunit.WorkerID
	Attempts []lwstate.Task // that ended with it and were not told to stop
	At       lwunit.Millis  // on the replicated clock, when it was last known to run
}

// minLossAge is the least age of an attempt at a loss: agents report at intervals of
// that length.
const minLossAge = 2 * time.Second

// WeighLoss returns what a loss says of the tasks of its attempts: a task may crash the
// workers that start it. A worker that drains is expected to end, which says nothing.
func (c *Core) WeighLoss(s *lwstate.State, l Loss) []lwstate.LostAttempt {
	if w, ok := s.Worker(l.Worker); !ok || w.Drain {
		return nil
	}
	suspects := make([]lwblame.Suspect, len(l.Attempts))
	for i, t := range l.Attempts {
		age := time.Duration(l.At-t.Started) * time.Millisecond
		suspects[i] = lwblame.Suspect{Odds: oddsOf(t.Crashes), Age: max(age, minLossAge), Crashes: len(t.Crashes)}
	}
	list := make([]lwstate.LostAttempt, len(l.Attempts))
	for i, e := range c.background.Explain(suspects) {
		t := l.Attempts[i]
		crash := lwstate.AttemptCrash{Worker: l.Worker, Token: t.Token, Age: lwunit.Duration(suspects[i].Age), Evidence: e}
		list[i] = lwstate.LostAttempt{Task: t.ID, Crash: crash}
		crashes := append(append([]lwstate.AttemptCrash(nil), t.Crashes...), crash)
		if odds := oddsOf(crashes); lwblame.GiveUp(odds, len(crashes)) {
			list[i].Blame = fmt.Sprintf("%d workers crashed under the task; it is to blame with probability %.3f", len(crashes), odds.Probability())
		}
	}
	return list
}

func oddsOf(crashes []lwstate.AttemptCrash) lwblame.Odds {
	list := make([]lwblame.Crash, len(crashes))
	for i, x := range crashes {
		list[i] = lwblame.Crash{Age: x.Age.Std(), Evidence: x.Evidence}
	}
	return lwblame.Weigh(list)
}

// observeBackground counts the time that workers have run since the last decision.
func (c *Core) observeBackground(r *round) {
	running := 0
	for _, w := range r.workers {
		if !w.Lost {
			running++
		}
	}
	if c.observedAt > 0 {
		c.background.Observe(r.now-c.observedAt, running)
	}
	c.observedAt = r.now
}

// lossTrial is how long a suspect is on trial after its start: if it crashes its worker
// soon, the leases have expired by then.
const lossTrial = 20 * time.Second

// trial is the time after the start of a suspect on a worker, in which no other suspect
// starts there.
type trial struct {
	until time.Duration
	apart bool // no task at all starts there
}

// onTrial reports whether a suspect is on trial on a worker, and whether it is kept
// apart.
func (c *Core) onTrial(now time.Duration, id lwunit.WorkerID) (trial, apart bool) {
	t, ok := c.trials[id]
	if !ok || now >= t.until {
		return false, false
	}
	return true, t.apart
}

// takeForSuspect takes room for a task under which workers have crashed: the cheapest
// worker without another suspect on trial. The task's trial begins.
func (cs *candidates) takeForSuspect(r *round, t lwstate.Task, reserve lwunit.Resources) (lwunit.WorkerID, bool) {
	best := -1
	for i, x := range cs.heap {
		id := x.worker.Spec.ID
		if trial, _ := cs.core.onTrial(r.now, id); trial || !reserve.Fits(r.free(id)) || !cs.core.health.accepts(id) {
			continue
		}
		if best < 0 || x.cost < cs.heap[best].cost {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	id := cs.heap[best].worker.Spec.ID
	cs.core.trials[id] = trial{r.now + lossTrial, lwblame.Apart(oddsOf(t.Crashes))}
	r.take(id, reserve)
	return id, true
}
