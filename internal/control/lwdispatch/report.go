package lwdispatch

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Report takes in what an agent tells of its worker and renews its lease.
func (c *Core) Report(m Report) Grant {
	if m.Gone {
		c.lifeGone(m.Info.Life)
		return Grant{}
	}
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
	return Grant{Token: w.token, Lease: c.cfg.Lease, Cursor: w.cursor, FastReports: w.mixed()}
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
	w.unknownRuns = false
	for _, row := range m.Running {
		c.takeRow(w, row)
	}
	c.dropVanished(w, m.Running)
	if !w.current {
		w.current = true
		delete(c.missing, w.info.Life)
	}
	c.checkTails(w)
}

// takeRow notes a listed run; one that nobody here ordered is adopted if its
// task may run, else stopped.
func (c *Core) takeRow(w *worker, row RunRow) {
	key := runKey{row.Task, row.Run}
	if r := w.runs[key]; r != nil {
		r.row = row
		r.task.step.job.started = true
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
		w.unknownRuns = true
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
	w.changed()
	w.runs[runKey{r.task.name, r.id}] = r
	r.task.runs = append(r.task.runs, r)
	r.task.step.job.live++
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
	w.changed()
	delete(w.runs, key)
	r.task.step.job.live--
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	need := r.task.step.spec.Need
	if r.task.step.spec.Filling {
		w.filling -= need.Millicores
		need.Millicores = 0
	}
	w.used = w.used.Sub(need)
}

// stop orders a run to end. It counts until its end is certain.
func (c *Core) stop(r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.worker.changed()
	r.phase = runStopping
	r.sentAt = c.now
	c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	c.decide(Decision{Kind: DecidedStop, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: r.worker.info.Life.Worker, Reason: reason})
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
		if r.withheld {
			return
		}
		r.sentAt = c.now
		o := c.startOrder(r)
		o.Repeated = true
		c.sendOrder(r.worker, o)
	case runStopping:
		r.sentAt = c.now
		c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	case runListed:
	}
}
