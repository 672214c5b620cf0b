package lwdispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// findOrAddWorker returns the worker of a report, added if it is unknown. It returns nil if the
// report does not show that the earlier incarnations with its agent or id have ended; they keep their
// runs until their leases have.
func (c *Core) findOrAddWorker(m Report) *worker {
	info, incarnation := m.Info, m.Info.Incarnation
	if w := c.workers[incarnation]; w != nil {
		return w
	}
	next := Successor{incarnation, info.Agent, m.Answered}
	c.noteHeard(next)
	if earlier, ok := c.unendedBefore(next); ok {
		c.keepOut(next, earlier)
		return nil
	}
	awaited, hadID := c.awaitedBefore(incarnation)
	var unconfirmed []*run
	if old, ok := c.incarnationByAgent[info.Agent]; ok {
		c.inferCrash(old, c.lastReportOf(old), m.KnowsCrashes)
		unconfirmed = c.takeUnconfirmed(old, incarnation)
		c.removeWorker(old, "a newer life has begun on its machine", next)
	}
	for other := range c.workers {
		if other.Worker == incarnation.Worker {
			c.removeWorker(other, "it has never answered, and another incarnation has its id", next)
		}
	}
	w := &worker{info: info, token: max(tokenOf(c.term), c.lastTokens[incarnation.Worker].token) + 1, runs: make(map[runKey]*run), imageLoad: make(map[string]float64), allowedShares: make(map[string]float64), fillingUse: -1, dirty: true, imageLoadAt: c.now, reportedAt: c.now, heardBefore: slices.Clone(c.heard[info.Agent])}
	awaitedEntry, onRoster := c.missing[incarnation]
	w.longLease = hadID || awaitedEntry.longLease
	c.countLongLease(w)
	c.renewLease(w)
	if awaited && !onRoster {
		c.missing[incarnation] = missingWorker{info.Agent, w.leaseEnd, w.longLease}
	}
	c.workers[incarnation] = w
	for _, r := range unconfirmed {
		r.worker, r.fromEarlier = w, true
		c.addRun(r)
	}
	c.incarnationByAgent[info.Agent] = incarnation
	delete(c.keptOut, info.Agent)
	c.sortedWorkers = append(c.sortedWorkers, w)
	slices.SortFunc(c.sortedWorkers, func(a, b *worker) int {
		if a.info.Incarnation.Worker < b.info.Incarnation.Worker {
			return -1
		}
		return 1
	})
	c.dismissReplaced(next)
	c.effects.Dismiss = slices.DeleteFunc(c.effects.Dismiss, func(x lwjob.WorkerIncarnation) bool { return x == incarnation }) // it was removed and has returned
	c.effects.Enrol = append(c.effects.Enrol, lwjob.RosterEntry{Incarnation: incarnation, Agent: info.Agent, LongLease: w.longLease})
	c.logDecision(Decision{Kind: DecidedWorkerAdded, Worker: incarnation.Worker, Reason: "first report", Successor: next})
	return w
}

// unendedBefore returns an incarnation that has the agent or the id of a next one and is not known to have ended. It is
// known to have if the next one has answered the agent of both. A report of another agent does not show it, nor does
// one of an incarnation that has not answered. A worker that was never used keeps out none that has answered.
func (c *Core) unendedBefore(next Successor) (lwjob.WorkerIncarnation, bool) {
	keepsOut := func(earlier lwjob.WorkerIncarnation, agent string) bool {
		switch {
		case earlier == next.Incarnation:
			return false
		case agent == next.Agent:
			return !next.Answered || earlier.StartedAt > next.Incarnation.StartedAt
		default:
			return earlier.Worker == next.Incarnation.Worker
		}
	}
	for earlier, w := range c.workers {
		if (keepsOut(earlier, w.info.Agent) || w.follows(next)) && !(next.Answered && w.neverUsed()) {
			return earlier, true
		}
	}
	for earlier, m := range c.missing {
		if keepsOut(earlier, m.agent) {
			return earlier, true
		}
	}
	return lwjob.WorkerIncarnation{}, false
}

const maxHeard = 16 // incarnations of each agent

// noteHeard notes that a report has named an incarnation.
func (c *Core) noteHeard(next Successor) {
	list := c.heard[next.Agent]
	if slices.Contains(list, next.Incarnation) {
		return
	}
	if len(list) == maxHeard {
		list = list[1:]
	}
	c.heard[next.Agent] = append(slices.Clip(list), next.Incarnation)
}

// follows reports whether a worker was added after its agent had reported another incarnation. Once the worker's lists
// have been received, a report of that one is late. The times of start do not tell, as the clock of the machine may
// have been set back.
func (w *worker) follows(other Successor) bool {
	return w.info.Agent == other.Agent && w.info.Incarnation != other.Incarnation && slices.Contains(w.heardBefore, other.Incarnation)
}

// neverUsed reports whether a worker was given nothing to run: only one whose lists were received is.
func (w *worker) neverUsed() bool {
	return !w.listsCurrent && w.newestClock == 0 && len(w.runs) == 0
}

// keepOut notes that an incarnation is not added, unless it is the last one that was not added at its agent.
func (c *Core) keepOut(next Successor, earlier lwjob.WorkerIncarnation) {
	if c.keptOut[next.Agent] == next.Incarnation {
		return
	}
	c.keptOut[next.Agent] = next.Incarnation
	if earlier.Worker == next.Incarnation.Worker {
		c.awaitLongestLease(earlier)
	}
	c.logDecision(Decision{Kind: DecidedWorkerKeptOut, Worker: next.Incarnation.Worker, Reason: fmt.Sprintf("%s, started at %d, is not known to have ended", earlier.Worker, earlier.StartedAt), Successor: next})
}

// awaitLongestLease allows for a start that a next incarnation with the same id, which is not added, has carried out for
// an incarnation, under the longest lease. Agents that check their connections send it none.
func (c *Core) awaitLongestLease(incarnation lwjob.WorkerIncarnation) {
	end := c.now + c.longestLeaseTime(c.cfg.MaxWorkerLease)
	if w := c.workers[incarnation]; w != nil && slices.ContainsFunc(w.sortedRuns(), func(r *run) bool { return !r.listed }) {
		w.minLeaseEnd, w.leaseEnd = max(w.minLeaseEnd, end), max(w.leaseEnd, end)
	}
	if m, ok := c.missing[incarnation]; ok {
		m.leaseEnd = max(m.leaseEnd, end)
		c.missing[incarnation] = m
	}
}

// isServedBy reports whether an incarnation is known or awaited at an agent, or unknown. What another agent
// says of it is not evidence.
func (c *Core) isServedBy(incarnation lwjob.WorkerIncarnation, agent string) bool {
	if w := c.workers[incarnation]; w != nil {
		return w.info.Agent == agent
	}
	m, awaited := c.missing[incarnation]
	return !awaited || m.agent == agent
}

// giveToAnsweredAgent removes a worker that was never used if the report is of another agent, which the worker has
// answered: the agent that reported it first does not serve it.
func (c *Core) giveToAnsweredAgent(m Report) {
	incarnation := m.Info.Incarnation
	w, awaited := c.workers[incarnation], c.missing[incarnation] != (missingWorker{})
	if w != nil && !awaited && m.Answered && w.info.Agent != m.Info.Agent && w.neverUsed() {
		c.removeWorker(incarnation, "it has answered another agent", Successor{incarnation, m.Info.Agent, m.Answered})
	}
}

// awaitedBefore reports whether an incarnation has the id of an earlier one whose lists this
// leader has not received, so that starts of an earlier term may be carried out by the new
// one, and whether any earlier one with its id is known.
func (c *Core) awaitedBefore(incarnation lwjob.WorkerIncarnation) (awaited, known bool) {
	for earlier := range c.missing {
		awaited = awaited || earlier.Worker == incarnation.Worker && earlier != incarnation
	}
	last, ok := c.lastTokens[incarnation.Worker]
	known = awaited || ok && last.incarnation != incarnation
	for earlier := range c.workers {
		known = known || earlier.Worker == incarnation.Worker
	}
	return awaited, known
}

// takeUnconfirmed takes from an incarnation the runs that may begin on the next one. Calls
// name a worker by its id, so a start of which no list has shown a run may be carried out by
// the next incarnation with the same id, until that one has received its higher token.
func (c *Core) takeUnconfirmed(old, next lwjob.WorkerIncarnation) []*run {
	w := c.workers[old]
	if w == nil || old.Worker != next.Worker {
		return nil
	}
	var list []*run
	for _, r := range w.sortedRuns() {
		if !r.listed && !r.awaitsRecord {
			c.removeRun(r)
			list = append(list, r)
		}
	}
	return list
}

// lastReportOf returns when a worker last reported, or now if it is unknown.
func (c *Core) lastReportOf(incarnation lwjob.WorkerIncarnation) time.Duration {
	if w := c.workers[incarnation]; w != nil {
		return w.reportedAt
	}
	return c.now
}

// dismissReplaced dismisses missing incarnations that a newer one with the same
// agent has replaced.
func (c *Core) dismissReplaced(next Successor) {
	for incarnation, m := range c.missing {
		if m.agent == next.Agent && incarnation != next.Incarnation && incarnation.StartedAt <= next.Incarnation.StartedAt {
			delete(c.missing, incarnation)
			c.effects.Dismiss = append(c.effects.Dismiss, incarnation)
			c.logDecision(Decision{Kind: DecidedWorkerRemoved, Worker: incarnation.Worker, Reason: "a newer life has begun on its machine", LeaseLeft: max(0, m.leaseEnd-c.now), Removed: incarnation, Successor: next})
		}
	}
}

// processEnded removes an incarnation whose process has ended, also a missing one.
func (c *Core) processEnded(incarnation lwjob.WorkerIncarnation) {
	const reason = "its process has ended"
	c.removeWorker(incarnation, reason, Successor{})
	if _, ok := c.missing[incarnation]; ok {
		delete(c.missing, incarnation)
		c.effects.Dismiss = append(c.effects.Dismiss, incarnation)
		c.logDecision(Decision{Kind: DecidedWorkerRemoved, Worker: incarnation.Worker, Reason: reason, Removed: incarnation})
	}
}

// RosterRecorded notes that a worker incarnation is on the committed roster. It
// may be given tasks, since a new leader would wait for its report.
func (c *Core) RosterRecorded(incarnation lwjob.WorkerIncarnation) {
	if w := c.workers[incarnation]; w != nil {
		w.enrolled = true
	}
}

// DismissalRecorded notes that a worker incarnation is off the committed roster. One that
// has returned gets no tasks until it is on it again.
func (c *Core) DismissalRecorded(incarnation lwjob.WorkerIncarnation) {
	if w := c.workers[incarnation]; w != nil {
		w.enrolled = false
	}
}

// updateInfo replaces the description of a worker, unless it is older than the one at
// hand. A worker that drains stays draining.
func (c *Core) updateInfo(w *worker, info WorkerInfo) {
	if info.Seq < w.info.Seq {
		info = w.info // reports may arrive out of order
	}
	if info.Capacity != w.info.Capacity {
		w.invalidate()
		c.logDecision(Decision{Kind: DecidedCapacity, Worker: info.Incarnation.Worker, Reason: fmt.Sprintf("from %+v to %+v, of which %+v is reserved", w.info.Capacity, info.Capacity, w.reserved)})
		defer c.withdrawStarts(w)
	}
	if info.Draining && !w.info.Draining {
		c.logDecision(Decision{Kind: DecidedDrain, Worker: info.Incarnation.Worker, Reason: "reported by the worker"})
		w.info = info
		c.drainWorker(w)
		return
	}
	draining, leaves := w.info.Draining, info.Leaving && !w.info.Leaving
	w.info = info
	w.info.Draining = draining || info.Draining
	if leaves {
		c.logDecision(Decision{Kind: DecidedDrain, Worker: info.Incarnation.Worker, Reason: "it has said that it ends"})
		c.drainWorker(w)
	}
}

// withdrawStarts withdraws starts that are not known to be carried out, the newest
// first, while the runs on a worker need more than its capacity: a start that is carried
// out late would overfill it. Runs that have begun go on.
func (c *Core) withdrawStarts(w *worker) {
	var ordered []*run
	for _, r := range w.sortedRuns() {
		if r.phase == runOrdered {
			ordered = append(ordered, r)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *run) int { return cmp.Compare(b.orderedAt, a.orderedAt) })
	over := w.reserved
	for _, r := range ordered {
		if over.Fits(w.info.Capacity) {
			return
		}
		over = over.Sub(r.reservation())
		c.stopRun(r, "the capacity of its worker has shrunk")
	}
}

// drainWorker stops the runs on a draining worker that cannot end in time, so that
// they save a checkpoint and continue elsewhere.
func (c *Core) drainWorker(w *worker) {
	for _, r := range w.sortedRuns() {
		if w.info.Leaving || r.task.step.spec.LongRunning || c.expectedTimeLeft(r) > w.info.DrainTimeLeft.Std() {
			c.stopRun(r, "its worker is draining")
		}
	}
}

// Tick removes workers whose leases have expired, orders starts and stops again that
// no report has confirmed, moves a sensitive serving task if that helps filling work,
// forgets jobs that ended long ago and enqueues the steps whose due time has passed.
func (c *Core) Tick() {
	for _, w := range slices.Clone(c.sortedWorkers) {
		if c.now >= w.leaseEnd {
			c.removeWorker(w.info.Incarnation, "its lease has ended", Successor{})
			continue
		}
		c.endLongLease(w)
	}
	for incarnation, m := range c.missing {
		if c.workers[incarnation] != nil {
			continue // it has reported, which renewed its lease; its lists are outstanding
		}
		if c.now >= m.leaseEnd {
			delete(c.missing, incarnation)
			c.effects.Dismiss = append(c.effects.Dismiss, incarnation)
			c.logDecision(Decision{Kind: DecidedWorkerRemoved, Worker: incarnation.Worker, Reason: "it has not reported to this leader", Removed: incarnation})
		}
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.sortedRuns() {
			if r.phase != runListed && c.now-r.lastSentAt >= c.cfg.ResendAfter {
				c.resend(r)
			}
		}
	}
	c.observeBackground()
	c.consolidate()
	c.dropEndedJobs()
	c.forgetSpeeds()
	c.enqueueDueSteps()
}

// removeWorker removes a worker incarnation on which nothing runs any more, and
// releases its runs. The successor is the zero value if none has taken its place.
func (c *Core) removeWorker(incarnation lwjob.WorkerIncarnation, reason string, next Successor) {
	w := c.workers[incarnation]
	if w == nil {
		return
	}
	c.logDecision(Decision{Kind: DecidedWorkerRemoved, Worker: incarnation.Worker, Reason: reason, Age: c.now - w.reportedAt, LeaseLeft: max(0, w.leaseEnd-c.now), Released: len(w.runs), Removed: incarnation, Successor: next})
	delete(c.workers, incarnation)
	c.lastTokens[incarnation.Worker] = lastToken{incarnation, max(c.lastTokens[incarnation.Worker].token, w.token)}
	delete(c.missing, incarnation)
	if c.incarnationByAgent[w.info.Agent] == incarnation {
		delete(c.incarnationByAgent, w.info.Agent)
	}
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
	c.effects.Enrol = slices.DeleteFunc(c.effects.Enrol, func(e lwjob.RosterEntry) bool { return e.Incarnation == incarnation })
	c.effects.Dismiss = append(c.effects.Dismiss, incarnation)
	for _, r := range w.sortedRuns() {
		c.releaseRun(r, reason)
		c.logDecision(Decision{Kind: DecidedLost, Job: r.task.step.job.spec.ID, Task: r.task.name, Run: r.id, Worker: incarnation.Worker, Reason: reason})
		if r.task.step.spec.Gang {
			c.stopGang(r.task.step)
		}
	}
}
