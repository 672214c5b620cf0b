package lwdispatch

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// handleEnd handles one ended run; a repeated report of it has no effect.
func (c *Core) handleEnd(w *worker, e NumberedEnd) {
	if e.Number <= w.highestEnd {
		return
	}
	w.highestEnd = e.Number
	c.effects.Ends = append(c.effects.Ends, WorkerEnd{w.info.Incarnation, e})
	r := w.runs[runKey{e.End.Task, e.End.Run}]
	t := c.findTask(e.End.Task)
	if r != nil {
		t = r.task
		c.removeRun(r)
	}
	if t == nil {
		return
	}
	if r == nil {
		c.noteLateEnd(w, t, e)
	}
	t.highestRun = max(t.highestRun, e.End.Run)
	t.step.job.started = true
	if e.End.Checkpoint != "" {
		t.checkpoint = e.End.Checkpoint
	}
	c.logDecision(Decision{Kind: DecidedEnd, Job: t.step.job.spec.ID, Task: e.End.Task, Run: e.End.Run, Worker: w.info.Incarnation.Worker, Reason: string(e.End.How)})
	c.applyEnd(w, t, r, e.End)
}

func (c *Core) applyEnd(w *worker, t *task, r *run, e lwjob.End) {
	s := t.step
	c.clearOutlivedCrashes(t, r)
	c.observeEnd(w, t, r, e)
	switch e.How {
	case lwjob.EndDone:
		c.recordSuccess(w)
		if r != nil && !r.adopted && !s.spec.LongRunning && len(t.failedRuns) == 0 && t.checkpoint == "" {
			c.runTimesOf(s.job).add(c.now - r.orderedAt)
		}
		c.observeCopy(w, t, e.Run)
		c.finishTask(t)
	case lwjob.EndFailed:
		if slices.Contains(t.failedRuns, e.Run) {
			return // counted already, by an earlier leader or before its worker was removed and returned
		}
		t.failedRuns = append(t.failedRuns, e.Run)
		c.recordFailure(w, t, r)
		if !s.spec.LongRunning && len(t.failedRuns) >= max(1, s.job.queue.MaxAttempts) {
			c.failJob(s.job, "its job has failed")
		}
	case lwjob.EndCrashed, lwjob.EndStopped, lwjob.EndLeaseExpired, lwjob.EndGangBroken, lwjob.EndGangIncomplete:
		// The task is not done; it is started again.
	}
}

// finishTask marks a task and its gang done and stops the other runs of the task.
func (c *Core) finishTask(t *task) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		c.markTaskDone(m)
		if t.step.spec.Gang {
			continue // the other members end by themselves
		}
		for _, r := range m.runs {
			c.keepRunTime(r)
			c.stopRun(r, "another copy of the task is done")
		}
	}
}

// failJob stops a job whose task has used up its attempts or is given up. The
// replicated job fails when the ends of the runs are recorded.
func (c *Core) failJob(j *job, reason string) { c.stopJob(j, reason) }

func (c *Core) handleRefusal(w *worker, f Refusal) {
	r := w.runs[runKey{f.Task, f.Run}]
	if r == nil || f.Unblocked && r.sentToNext {
		return
	}
	if f.Reason == RefusedFence {
		// The run may be in progress under an earlier copy of the order.
		c.raiseToken(w)
		return
	}
	c.releaseRun(r, "refused: "+string(f.Reason))
	c.logDecision(Decision{Kind: DecidedRefusal, Job: r.task.step.job.spec.ID, Task: f.Task, Run: f.Run, Worker: w.info.Incarnation.Worker, Reason: string(f.Reason)})
	switch f.Reason {
	case RefusedUnhealthy:
		c.suspect(w, "it refused a start because it is unhealthy")
	case RefusedTicket:
		delete(r.task.step.advice.tickets, w.info.Incarnation)
	case RefusedNoCapacity, RefusedInvalid:
		r.task.notBefore = c.now + c.cfg.SuspicionPause/4
	}
	if r.task.step.spec.Gang {
		c.stopGang(r.task.step)
	}
}

// stopGang stops all members of a gang of which a member could not start or was
// lost.
func (c *Core) stopGang(s *step) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			c.stopRun(r, "a member of its gang could not start")
		}
	}
}

// raiseToken raises the token of a worker that has received a higher one. Its
// lists are ignored until they are read under the new token.
func (c *Core) raiseToken(w *worker) {
	w.token++
	w.listsCurrent = false
}

// EndsRecorded notes that the ends of a worker incarnation up to a number are
// committed.
func (c *Core) EndsRecorded(incarnation lwjob.WorkerIncarnation, number int64) {
	if w := c.workers[incarnation]; w != nil {
		w.cursor = max(w.cursor, number)
	}
}

// CapacityOf returns the capacity of a worker on which the orders for it rest.
func (c *Core) CapacityOf(incarnation lwjob.WorkerIncarnation) lwunit.Resources {
	if w := c.workers[incarnation]; w != nil {
		return w.info.Capacity
	}
	return lwunit.Resources{}
}

// TokenAndCursor returns the token of a worker incarnation and the highest number
// of its recorded ends.
func (c *Core) TokenAndCursor(incarnation lwjob.WorkerIncarnation) (Token, int64) {
	if w := c.workers[incarnation]; w != nil {
		return w.token, w.cursor
	}
	return 0, 0
}
