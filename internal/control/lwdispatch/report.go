package lwdispatch

import (
	"cmp"
	"fmt"
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Report handles the report of an agent about its worker and renews the lease. It ignores a report of an
// incarnation that another agent serves.
func (c *Core) Report(m Report) Grant {
	c.giveToAnsweredAgent(m)
	if !c.isServedBy(m.Info.Incarnation, m.Info.Agent) {
		return Grant{}
	}
	for _, crash := range m.Crashes {
		if m.Answered || !c.mayRun(crash.Incarnation) {
			c.handleCrash(crash) // else the agent is of an older version, and repeats it
		}
	}
	recorded := c.recordedCrashes(m.Crashes)
	if m.ProcessEnded && m.Answered {
		c.inferCrash(m.Info.Incarnation, c.now-endDetectionTime, m.KnowsCrashes)
		c.processEnded(m.Info.Incarnation)
		return Grant{CrashesRecorded: recorded}
	}
	if m.Unresponsive && !m.Fenced && c.workers[m.Info.Incarnation] == nil {
		return Grant{CrashesRecorded: recorded} // it is added once it answers its agent
	}
	w := c.findOrAddWorker(m)
	if w == nil {
		return Grant{CrashesRecorded: recorded}
	}
	c.countLongLease(w)
	c.updateInfo(w, m.Info)
	c.noteWarmup(w)
	if m.Fenced {
		c.raiseToken(w)
	}
	if m.Token == w.token {
		c.handleLists(w, m)
	}
	w.unresponsive = m.Unresponsive
	c.tellEvacuated(w)
	if m.Unresponsive {
		return Grant{Token: w.token, Cursor: w.cursor, Evacuated: w.toldEvacuated, CrashesRecorded: recorded}
	}
	w.reportedAt = c.now
	c.renewLease(w)
	return Grant{Token: w.token, Lease: c.cfg.Lease, Cursor: w.cursor, FastReports: w.hasServingAndFilling(), Evacuated: w.toldEvacuated, CrashesRecorded: recorded}
}

// hasServingAndFilling reports whether a worker runs filling work together with
// tasks whose tail latencies limit it.
func (w *worker) hasServingAndFilling() bool {
	serving := false
	for _, r := range w.runs {
		serving = serving || r.task.step.spec.TailTarget > 0
	}
	return serving && w.fillingDeclared > 0
}

// handleLists handles the runs, ends and refusals of a worker that were read under
// the current token: the worker no longer accepts starts of an earlier leader, so
// the lists show all runs that such a leader has started.
func (c *Core) handleLists(w *worker, m Report) {
	older := m.Clock < w.newestClock // its runs may have ended by a report that has overtaken it
	w.newestClock = max(w.newestClock, m.Clock)
	byNumber := func(a, b NumberedEnd) int { return cmp.Compare(a.Number, b.Number) }
	for _, e := range slices.SortedFunc(slices.Values(m.Ends), byNumber) {
		c.handleEnd(w, e)
	}
	for _, f := range m.Refused {
		c.handleRefusal(w, f)
	}
	if !m.Complete || older {
		return
	}
	if m.Clock > w.listsClock || !w.listsCurrent { // else they are handled, or may be older
		w.listsClock = m.Clock
		c.handleRunning(w, m.Running)
	}
	if !w.listsCurrent {
		w.listsCurrent = true
		delete(c.missing, w.info.Incarnation)
		if w.info.Draining {
			c.drainWorker(w)
		}
	}
	c.observeLongRunning(w, m.ListsAge.Std())
	c.observeLists(w, m.ListsAge.Std())
	c.controlInterference(w)
}

// handleRunning handles the runs in the newest lists of a worker.
func (c *Core) handleRunning(w *worker, running []RunStatus) {
	w.hasUnknownRuns = false
	for _, status := range running {
		c.handleListedRun(w, status)
	}
	c.stopUnlistedRuns(w, running)
}

// handleListedRun updates a listed run. A run that is not counted against the worker
// is adopted, and then stopped if its job or task has ended or if another run of the
// task exists and the step is not speculative, or two if it is. A run of an unknown task is only
// stopped.
func (c *Core) handleListedRun(w *worker, status RunStatus) {
	key := runKey{status.Task, status.Run}
	if r := w.runs[key]; r != nil {
		r.status, r.listed, r.fromEarlier = status, true, false
		r.task.step.job.started = true
		if r.phase == runOrdered {
			r.phase = runListed
		}
		if status.Checkpoint != "" && c.replacesCheckpoint(r) {
			r.task.checkpoint = status.Checkpoint
		}
		return
	}
	t := c.findTask(status.Task)
	if t == nil {
		w.hasUnknownRuns = true
		c.sendOrder(w, StopRun{status.Task, status.Run})
		c.logDecision(Decision{Kind: DecidedStop, Task: status.Task, Run: status.Run, Worker: w.info.Incarnation.Worker, Reason: "its job is unknown"})
		return
	}
	r := &run{task: t, id: status.Run, worker: w, phase: runListed, listed: true, orderedAt: c.now, adopted: true, lastSentAt: c.now, cpuPercent: fullPercent, status: status}
	t.highestRun = max(t.highestRun, status.Run)
	t.step.job.started = true
	if status.Checkpoint != "" && c.replacesCheckpoint(r) {
		t.checkpoint = status.Checkpoint
	}
	c.noteOverlap(r)
	c.addRun(r)
	if t.step.job.stopped || t.done || c.tooManyRuns(t) {
		c.stopRun(r, "its job or task has ended, or another run of the task exists")
		return
	}
	if t.step.spec.Filling {
		c.setCPUPercent(r, fullPercent, "the CPU share that the previous leader ordered is unknown")
	}
	c.logDecision(Decision{Kind: DecidedAdopt, Job: t.step.job.spec.ID, Task: status.Task, Run: status.Run, Worker: w.info.Incarnation.Worker, Reason: "listed by the worker"})
}

// stopUnlistedRuns stops runs that the worker listed before and now lists neither as running
// nor as ended. They are released once the stop has blocked them, so that lists which arrive
// out of order cost a run and do not let its task run twice. Runs of an earlier incarnation
// with the same id that have not begun on this one are released: it has received its token, so
// they cannot begin any more.
func (c *Core) stopUnlistedRuns(w *worker, running []RunStatus) {
	listed := make(map[runKey]bool, len(running))
	for _, status := range running {
		listed[runKey{status.Task, status.Run}] = true
	}
	for _, r := range w.sortedRuns() {
		switch {
		case listed[runKey{r.task.name, r.id}]:
		case r.phase == runListed:
			c.stopRun(r, "the worker no longer lists it")
		case r.fromEarlier:
			const reason = "it was ordered from an earlier incarnation and has not begun"
			c.releaseRun(r, reason)
			c.logDecision(Decision{Kind: DecidedLost, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: w.info.Incarnation.Worker, Reason: reason})
			if r.task.step.spec.Gang {
				c.stopGang(r.task.step)
			}
		}
	}
}

// findTask returns a task of a job that is known, or nil.
func (c *Core) findTask(name lwunit.TaskID) *task {
	id, key, err := lwjob.ParseTaskName(name)
	if err != nil {
		return nil
	}
	j := c.findJob(id)
	if j == nil || int(key.Occurrence) >= len(j.steps) || key.Step >= len(j.steps[0]) || key.Index >= len(j.steps[0][key.Step].tasks) {
		return nil
	}
	return j.steps[key.Occurrence][key.Step].tasks[key.Index]
}

// addRun counts a run against its worker.
func (c *Core) addRun(r *run) {
	w := r.worker
	w.invalidate()
	w.runs[runKey{r.task.name, r.id}] = r
	r.task.runs = append(r.task.runs, r)
	r.task.step.job.runCount++
	if r.task.step.spec.Filling {
		w.fillingDeclared += r.task.step.spec.Need.Millicores
	}
	w.reserved = w.reserved.Add(r.reservation())
}

// reservation returns what is reserved for a run on its worker. Filling runs use
// processors that others leave idle.
func (r *run) reservation() lwunit.Resources {
	need := r.task.step.spec.Need
	if r.task.step.spec.Filling {
		need.Millicores = 0
	}
	return need
}

// removeRun stops counting a run against its worker.
func (c *Core) removeRun(r *run) {
	w := r.worker
	key := runKey{r.task.name, r.id}
	if w.runs[key] != r {
		return
	}
	w.invalidate()
	delete(w.runs, key)
	c.withdrawOrder(w, r)
	r.task.step.job.runCount--
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	if r.task.step.spec.Filling {
		w.fillingDeclared -= r.task.step.spec.Need.Millicores
	}
	w.reserved = w.reserved.Sub(r.reservation())
}

// withdrawOrder drops the starts of a run that wait to be sent. Once the run is released they
// would be sent under the worker's newest token, and the task may be started elsewhere by then.
// Once it is to stop, its agent would carry out both orders at the same time.
func (c *Core) withdrawOrder(w *worker, r *run) {
	for i := range c.effects.Orders {
		if x := &c.effects.Orders[i]; x.Incarnation == w.info.Incarnation {
			x.Orders = slices.DeleteFunc(x.Orders, func(o Order) bool {
				s, isStart := o.(StartRun)
				return isStart && s.Task == r.task.name && s.Run == r.id
			})
		}
	}
}

// releaseRun stops counting a run against its worker although no end of it was listed.
func (c *Core) releaseRun(r *run, reason string) {
	c.removeRun(r)
	r.task.lastRelease = &release{r.id, r.worker.info.Incarnation.Worker, reason, c.now}
}

// noteOverlap logs that a worker lists a run while another run of its task is in progress
// or may be, though the step is not speculative.
func (c *Core) noteOverlap(r *run) {
	t := r.task
	if t.step.spec.Speculative || len(t.runs) == 0 {
		return
	}
	d := Decision{Kind: DecidedOverlap, Job: t.step.job.spec.ID, Task: t.name, Run: r.id, Worker: r.worker.info.Incarnation.Worker}
	d.Reason = t.describeOrdered()
	if last := t.lastRelease; last != nil {
		d.Reason += "; " + last.String()
		d.Age = c.now - last.at
	}
	c.logDecision(d)
}

// noteLateEnd logs that a task is done by a run that this leader no longer counts, so that the
// task may have been started again.
func (c *Core) noteLateEnd(w *worker, t *task, e NumberedEnd) {
	last := t.lastRelease
	if e.End.How != lwjob.EndDone || t.done || last == nil {
		return
	}
	d := Decision{Kind: DecidedLateEnd, Job: t.step.job.spec.ID, Task: t.name, Run: e.End.Run, Worker: w.info.Incarnation.Worker, Age: c.now - last.at}
	d.Reason = fmt.Sprintf("end %d, %d are recorded; %s", e.Number, w.cursor, last)
	if len(t.runs) > 0 {
		d.Reason += "; " + t.describeOrdered()
	}
	c.logDecision(d)
}

// describeOrdered names a run of a task that counts against a worker.
func (t *task) describeOrdered() string {
	r := t.runs[0]
	return fmt.Sprintf("run %d on %s has been ordered", r.id, r.worker.info.Incarnation.Worker)
}

// String says which run was released and why.
func (x *release) String() string {
	return fmt.Sprintf("run %d on %s was released before: %s", x.run, x.worker, x.reason)
}

// stopRun orders a run to stop. It counts against its worker until its end is
// certain.
func (c *Core) stopRun(r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.worker.invalidate()
	c.withdrawOrder(r.worker, r)
	r.phase = runStopping
	r.lastSentAt = c.now
	c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	c.logDecision(Decision{Kind: DecidedStop, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: r.worker.info.Incarnation.Worker, Reason: reason})
}

// sortedRuns returns the runs on a worker in the order of task name and run number.
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

// AgentReconnected orders the starts, stops and CPU limits again that an agent may
// have missed before it reconnected.
func (c *Core) AgentReconnected(incarnation lwjob.WorkerIncarnation) {
	w := c.workers[incarnation]
	if w == nil {
		return
	}
	for _, r := range w.sortedRuns() {
		r.sentToNext = r.sentToNext || r.phase == runOrdered
		c.resend(r)
		if r.phase != runStopping && r.cpuPercent < fullPercent {
			c.sendOrder(w, LimitRunCPU{r.task.name, r.id, r.cpuPercent})
		}
	}
}

// resend repeats the start or stop of a run that no report has confirmed, if there
// is one.
func (c *Core) resend(r *run) {
	switch r.phase {
	case runOrdered:
		if r.awaitsRecord || r.fromEarlier {
			return
		}
		r.lastSentAt = c.now
		o := c.startOrder(r)
		o.Repeated = true
		c.sendOrder(r.worker, o)
	case runStopping:
		r.lastSentAt = c.now
		c.sendOrder(r.worker, StopRun{r.task.name, r.id})
	case runListed:
	}
}
