package lwdispatch

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// workerOf finds the worker of a report, or adds it. A life that is older than
// one known at the same agent is over.
func (c *Core) workerOf(info WorkerInfo) *worker {
	life := info.Life
	if w := c.workers[life]; w != nil {
		w.info.Agent = info.Agent
		c.agents[info.Agent] = life
		return w
	}
	if old, ok := c.agents[info.Agent]; ok {
		if old.Born > life.Born {
			return nil
		}
		c.endLife(old, "a newer life has begun on its machine")
	}
	for other := range c.workers {
		if other.Worker == life.Worker {
			if other.Born > life.Born {
				return nil
			}
			c.endLife(other, "a newer life has the same id")
		}
	}
	w := &worker{info: info, token: max(tokenOf(c.term), c.fences[life]) + 1, runs: make(map[runKey]*run), felt: make(map[string]float64), bears: make(map[string]float64), asked: -1, dirty: true, feltAt: c.now, seenAt: c.now, leaseEnd: c.now + c.leaseBound()}
	c.workers[life] = w
	c.agents[info.Agent] = life
	c.order = append(c.order, w)
	slices.SortFunc(c.order, func(a, b *worker) int {
		if a.info.Life.Worker < b.info.Life.Worker {
			return -1
		}
		return 1
	})
	c.dismissEarlier(info)
	c.out.Dismiss = slices.DeleteFunc(c.out.Dismiss, func(l lwjob.WorkerLife) bool { return l == life }) // it was given up and came back
	c.out.Enrol = append(c.out.Enrol, lwjob.RosterEntry{Life: life, Agent: info.Agent})
	c.decide(Decision{Kind: DecidedWorker, Worker: life.Worker, Reason: "first report"})
	return w
}

// dismissEarlier gives up the lives of earlier leaders' roster that a newer
// life at the same agent has replaced.
func (c *Core) dismissEarlier(info WorkerInfo) {
	for life, a := range c.missing {
		if a.agent == info.Agent && life != info.Life && life.Born <= info.Life.Born {
			delete(c.missing, life)
			c.out.Dismiss = append(c.out.Dismiss, life)
			c.decide(Decision{Kind: DecidedWorkerGo, Worker: life.Worker, Reason: "a newer life has begun on its machine"})
		}
	}
}

// lifeGone ends a life whose process has ended, also one of an earlier
// leader's roster.
func (c *Core) lifeGone(life lwjob.WorkerLife) {
	const reason = "its process has ended"
	c.endLife(life, reason)
	if _, ok := c.missing[life]; ok {
		delete(c.missing, life)
		c.out.Dismiss = append(c.out.Dismiss, life)
		c.decide(Decision{Kind: DecidedWorkerGo, Worker: life.Worker, Reason: reason})
	}
}

// Enrolled notes that the roster names a worker life: from now on a new leader
// would wait for it, so it may be given tasks.
func (c *Core) Enrolled(life lwjob.WorkerLife) {
	if w := c.workers[life]; w != nil {
		w.enrolled = true
	}
}

func (c *Core) noteDrain(w *worker, info WorkerInfo) {
	if info.Draining && !w.info.Draining {
		c.decide(Decision{Kind: DecidedDrain, Worker: info.Life.Worker, Reason: "the worker says so"})
		w.info = info
		c.leave(w)
		return
	}
	draining := w.info.Draining
	w.info = info
	w.info.Draining = draining || info.Draining
}

// leave moves work off a worker that drains: what cannot end in time is
// stopped, so that it saves its progress.
func (c *Core) leave(w *worker) {
	for _, r := range w.sortedRuns() {
		s := r.task.step
		left := c.expected(s.job, s.spec) - (c.now - r.began)
		if s.spec.LongRunning || left > w.info.Remaining.Std() {
			c.stop(r, "its worker is leaving")
		}
	}
}

// Tick gives up workers whose leases have ended and repeats orders that no
// report has shown.
func (c *Core) Tick() {
	for _, w := range slices.Clone(c.order) {
		if c.now >= w.leaseEnd {
			c.endLife(w.info.Life, "its lease has ended")
		}
	}
	for life, a := range c.missing {
		if c.workers[life] != nil {
			continue // it has reported, which renewed its lease; its lists are still to come
		}
		if c.now >= a.leaseEnd {
			delete(c.missing, life)
			c.out.Dismiss = append(c.out.Dismiss, life)
			c.decide(Decision{Kind: DecidedWorkerGo, Worker: life.Worker, Reason: "it has not reported to this leader"})
		}
	}
	for _, w := range c.order {
		for _, r := range w.sortedRuns() {
			if r.phase != runListed && c.now-r.sentAt >= c.cfg.Resend {
				c.resend(r)
			}
		}
	}
	c.consolidate()
	c.forgetOver()
	c.wake()
}

// endLife gives up a worker life: nothing runs there any more.
func (c *Core) endLife(life lwjob.WorkerLife, reason string) {
	w := c.workers[life]
	if w == nil {
		return
	}
	c.decide(Decision{Kind: DecidedWorkerGo, Worker: life.Worker, Reason: reason, Age: c.now - w.seenAt})
	delete(c.workers, life)
	c.fences[life] = w.token
	delete(c.missing, life)
	if c.agents[w.info.Agent] == life {
		delete(c.agents, w.info.Agent)
	}
	c.order = slices.DeleteFunc(c.order, func(o *worker) bool { return o == w })
	c.out.Enrol = slices.DeleteFunc(c.out.Enrol, func(e lwjob.RosterEntry) bool { return e.Life == life })
	c.out.Dismiss = append(c.out.Dismiss, life)
	for _, r := range w.sortedRuns() {
		c.release(r)
		c.decide(Decision{Kind: DecidedLost, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: life.Worker, Reason: reason})
		if r.task.step.spec.Gang {
			c.breakGang(r.task.step)
		}
	}
}
