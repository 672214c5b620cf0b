package lwdispatch

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Report takes in what an agent tells of its worker and renews its lease.
func (c *Core) Report(m Report) Grant {
	w := c.workerOf(m.Info)
	if w == nil {
		return Grant{}
	}
	c.noteDrain(w, m.Info)
	if m.Token == w.token {
		c.takeLists(w, m)
	}
	w.silent = m.Silent
	if m.Silent {
		return Grant{Token: w.token, Cursor: w.cursor}
	}
	w.seenAt = c.now
	w.leaseEnd = c.now + c.leaseBound()
	return Grant{Token: w.token, Lease: c.cfg.Lease, Cursor: w.cursor, Brisk: w.mixed()}
}

// mixed reports whether a worker runs tasks that serve beside filling work,
// whose tails decide how much that may do.
func (w *worker) mixed() bool {
	serves := false
	for _, r := range w.runs {
		serves = serves || r.task.step.spec.TailTarget > 0
	}
	return serves && w.filling > 0
}

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
	w := &worker{info: info, token: max(tokenOf(c.term), c.fences[life]) + 1, runs: make(map[runKey]*run), calmAt: c.now, seenAt: c.now, leaseEnd: c.now + c.leaseBound()}
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

// takeLists takes in runs, ends and refusals that were read under the present
// token, so that nothing of an earlier leader can still begin.
func (c *Core) takeLists(w *worker, m Report) {
	for _, e := range m.Ends {
		c.takeEnd(w, e)
	}
	for _, f := range m.Refused {
		c.takeRefusal(w, f)
	}
	if !m.Full || m.Clock < w.clock {
		return // a newer whole list has been taken in
	}
	w.clock = m.Clock
	w.strangers = false
	for _, row := range m.Running {
		c.takeRow(w, row)
	}
	c.dropVanished(w, m.Running)
	if !w.current {
		w.current = true
		delete(c.missing, w.info.Life)
	}
	c.checkTails(w, m.Age.Std())
}

// takeRow notes a listed run; one that nobody here ordered is adopted if its
// task may run, else stopped.
func (c *Core) takeRow(w *worker, row RunRow) {
	key := runKey{row.Task, row.Run}
	if r := w.runs[key]; r != nil {
		r.row = row
		if r.phase == runOrdered {
			r.phase = runListed
		}
		if row.Saved != "" {
			r.task.saved = row.Saved
		}
		return
	}
	t := c.taskNamed(row.Task)
	if t == nil {
		w.strangers = true
		c.sendOrder(w, StopRun{row.Task, row.Run})
		c.decide(Decision{Kind: DecidedStop, Task: row.Task, Run: row.Run, Worker: w.info.Life.Worker, Reason: "no job asks for it"})
		return
	}
	r := &run{task: t, id: row.Run, worker: w, phase: runListed, began: c.now, sentAt: c.now, pace: fullPace, row: row}
	t.last = max(t.last, row.Run)
	t.step.job.started = true
	if row.Saved != "" {
		t.saved = row.Saved
	}
	c.hold(r)
	if t.step.job.stopped || t.done || (len(t.runs) > 1 && !t.step.spec.Speculative) {
		c.stop(r, "its job or task is over, or it runs elsewhere")
		return
	}
	if t.step.spec.Filling {
		c.setPace(r, fullPace, "its pace under the leader before is not known")
	}
	c.decide(Decision{Kind: DecidedAdopt, Job: t.step.job.spec.ID, Task: row.Task, Run: row.Run, Worker: w.info.Life.Worker, Reason: "listed by the worker"})
}

// dropVanished gives up runs that the worker listed once and lists no more,
// neither as running nor as ended.
func (c *Core) dropVanished(w *worker, rows []RunRow) {
	listed := make(map[runKey]bool, len(rows))
	for _, row := range rows {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, r := range w.sortedRuns() {
		if r.phase != runListed || listed[runKey{r.task.name, r.id}] {
			continue
		}
		c.release(r)
		c.decide(Decision{Kind: DecidedLost, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: w.info.Life.Worker, Reason: "the worker lists it no more"})
	}
}

// taskNamed returns a task of a job that is still remembered.
func (c *Core) taskNamed(name lwunit.TaskID) *task {
	id, key, err := lwjob.ParseTaskName(name)
	if err != nil {
		return nil
	}
	j := c.jobNamed(id)
	if j == nil || int(key.Occurrence) >= len(j.steps) || key.Step >= len(j.steps[0]) || key.Index >= len(j.steps[0][key.Step].tasks) {
		return nil
	}
	return j.steps[key.Occurrence][key.Step].tasks[key.Index]
}

// hold counts a run against its worker.
func (c *Core) hold(r *run) {
	w := r.worker
	w.runs[runKey{r.task.name, r.id}] = r
	r.task.runs = append(r.task.runs, r)
	need := r.task.step.spec.Need
	if r.task.step.spec.Filling {
		w.filling += need.Millicores
		need.Millicores = 0
	}
	w.used = w.used.Add(need)
}

// release stops counting a run.
func (c *Core) release(r *run) {
	w := r.worker
	key := runKey{r.task.name, r.id}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	need := r.task.step.spec.Need
	if r.task.step.spec.Filling {
		w.filling -= need.Millicores
		need.Millicores = 0
	}
	w.used = w.used.Sub(need)
}

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
		if r != nil && r.copyOf {
			s.job.started = true
		}
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

// stop orders a run to end. It counts until its end is certain.
func (c *Core) stop(r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.phase = runStopping
	r.sentAt = c.now
	c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	c.decide(Decision{Kind: DecidedStop, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: r.worker.info.Life.Worker, Reason: reason})
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

func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		switch {
		case a.task.name < b.task.name:
			return -1
		case a.task.name > b.task.name:
			return 1
		default:
			return int(a.id) - int(b.id)
		}
	})
	return list
}

// Attached resends what an agent that has connected again may have missed.
func (c *Core) Attached(life lwjob.WorkerLife) {
	w := c.workers[life]
	if w == nil {
		return
	}
	for _, r := range w.sortedRuns() {
		c.resend(r)
	}
}

func (c *Core) resend(r *run) {
	switch r.phase {
	case runOrdered:
		r.sentAt = c.now
		c.sendOrder(r.worker, c.startOrder(r))
	case runStopping:
		r.sentAt = c.now
		c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	case runListed:
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
	c.out.Dismiss = append(c.out.Dismiss, life)
	for _, r := range w.sortedRuns() {
		c.release(r)
		c.decide(Decision{Kind: DecidedLost, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: life.Worker, Reason: reason})
		if r.task.step.spec.Gang {
			c.breakGang(r.task.step)
		}
	}
}

// Workers returns how many workers the core knows, and when one was last seen.
func (c *Core) Workers() (known int, newest time.Duration) {
	for _, w := range c.order {
		newest = max(newest, w.seenAt)
	}
	return len(c.order), newest
}
