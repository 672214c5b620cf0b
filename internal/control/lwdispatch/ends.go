package lwdispatch

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// takeEnd takes in one end, once.
func (c *Core) takeEnd(w *worker, e EndRow) {
	if e.Number <= w.ends {
		return
	}
	w.ends = e.Number
	c.out.Ends = append(c.out.Ends, WorkerEnd{w.info.Life, e})
	r := w.runs[runKey{e.End.Task, e.End.Run}]
	t := c.taskNamed(e.End.Task)
	if r != nil {
		t = r.task
		c.release(r)
	}
	if t == nil {
		return
	}
	t.last = max(t.last, e.End.Run)
	t.step.job.started = true
	if e.End.Saved != "" {
		t.saved = e.End.Saved
	}
	c.decide(Decision{Kind: DecidedEnd, Job: t.step.job.spec.ID, Task: e.End.Task, Run: e.End.Run, Worker: w.info.Life.Worker, Reason: string(e.End.How)})
	c.applyEnd(w, t, r, e.End)
}

func (c *Core) applyEnd(w *worker, t *task, r *run, e lwjob.End) {
	s := t.step
	switch e.How {
	case lwjob.EndDone:
		c.noteSuccess(w)
		if r != nil && !s.spec.LongRunning && len(t.failed) == 0 && t.saved == "" {
			c.durationsOf(s.job).add(c.now - r.began)
		}
		c.finishTask(t)
	case lwjob.EndFailed:
		if slices.Contains(t.failed, e.Run) {
			return // recorded under the leader before this one
		}
		t.failed = append(t.failed, e.Run)
		c.noteFailure(w, t)
		if !s.spec.LongRunning && len(t.failed) >= max(1, s.job.queue.MaxAttempts) {
			c.giveUp(s.job)
		}
	case lwjob.EndStopped, lwjob.EndLapsed, lwjob.EndBroken, lwjob.EndAlone:
		// The task waits for its next run.
	}
}

// finishTask marks a task done, with its gang, and stops what runs of it.
func (c *Core) finishTask(t *task) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		c.taskDone(m)
		if t.step.spec.Gang {
			continue // the members' ends follow by themselves
		}
		for _, r := range m.runs {
			c.stop(r, "another copy is done")
		}
	}
}

// giveUp keeps a job that has failed from starting anything more; its record
// ends when the failed runs are recorded.
func (c *Core) giveUp(j *job) { c.halt(j, "its job has failed") }

func (c *Core) takeRefusal(w *worker, f Refusal) {
	r := w.runs[runKey{f.Task, f.Run}]
	if r == nil {
		return
	}
	c.release(r)
	c.decide(Decision{Kind: DecidedRefusal, Job: r.task.step.job.spec.ID, Task: f.Task, Run: f.Run, Worker: w.info.Life.Worker, Reason: string(f.Reason)})
	switch f.Reason {
	case RefusedFence:
		c.refence(w)
	case RefusedSick:
		c.suspect(w, "it refused a start as unhealthy")
	case RefusedTicket:
		delete(r.task.step.advice.tickets, w.info.Life)
	case RefusedRoom, RefusedInvalid:
		r.task.after = c.now + c.cfg.Suspicion/4
	}
	if r.task.step.spec.Gang {
		c.breakGang(r.task.step)
	}
}

// breakGang stops the other members of a gang that cannot be complete.
func (c *Core) breakGang(s *step) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			c.stop(r, "a member of its gang could not start")
		}
	}
}

// refence raises the token of a worker that has seen a higher one. Its lists
// count again once they were read under the new token.
func (c *Core) refence(w *worker) {
	w.token++
	w.current = false
}

// EndsRecorded notes that the ends of a worker life up to a number are durable.
func (c *Core) EndsRecorded(life lwjob.WorkerLife, number int64) {
	if w := c.workers[life]; w != nil {
		w.cursor = max(w.cursor, number)
	}
}

// CursorOf returns the token of a worker and up to where its ends are
// recorded.
func (c *Core) CursorOf(life lwjob.WorkerLife) (Token, int64) {
	if w := c.workers[life]; w != nil {
		return w.token, w.cursor
	}
	return 0, 0
}
