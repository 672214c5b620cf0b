package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	suspicionThreshold = 3                // failed runs of different jobs without a success in between
	maxSuspicionPause  = 10 * time.Second // between probes of a worker that keeps failing tasks
)

// health distinguishes a worker that fails any task from jobs that fail on any
// worker.
type health struct {
	failedJobs  map[lwunit.JobID]bool // jobs that failed here since the last success or suspicion
	pausedUntil time.Duration         // gets no tasks before this time
	suspicions  int                   // in a row
	probing     bool                  // a task was started after the last suspicion
	probedAt    time.Duration
	suspectedAt time.Duration // when it was last suspected
	failureAge  time.Duration // of the failed run that lasted longest since the worker was last trusted

	runsLongRunning bool // a long-running task that was started since the last suspicion has stayed at work

	timesTakenBack int // in a row, each within flapMemory of the one before
	takenBackAt    time.Duration
}

// flapMemory is how long a suspected worker must be of use after it was taken back for its
// pauses to begin from the shortest again.
const flapMemory = 30 * time.Second

// rampUp returns the part of its capacity that a worker may be given since it was taken
// back. It rises for longer each time: a worker that flaps would be filled at once and fail it all.
func (c *Core) rampUp(w *worker) float64 {
	n := c.recentFlaps(&w.health)
	if n == 0 {
		return 1
	}
	length := min(c.cfg.SuspicionPause<<min(n, 5), flapMemory)
	return min(1, float64(c.now-w.health.takenBackAt)/float64(length))
}

// recentFlaps returns how often the worker was taken back recently.
func (c *Core) recentFlaps(h *health) int {
	if h.timesTakenBack > 0 && c.now-h.takenBackAt < flapMemory {
		return h.timesTakenBack
	}
	return 0
}

// recordSuccess takes back a suspected worker. Under load control one that hangs or fails
// most of its tasks is only probed again.
func (c *Core) recordSuccess(w *worker) {
	h := &w.health
	next := health{timesTakenBack: h.timesTakenBack, takenBackAt: h.takenBackAt}
	if c.cfg.LoadControl && h.suspicions > 0 {
		if !w.speed.Fit() {
			h.probing, h.failedJobs = false, nil
			return
		}
		next = health{timesTakenBack: c.recentFlaps(h) + 1, takenBackAt: c.now}
		c.logDecision(Decision{Kind: DecidedTakenBack, Worker: w.info.Incarnation.Worker, Reason: "its probes ended well" + describeSpeed(w)})
	}
	w.health = next
}

// maxProvingTime is how long a long-running task must be at work at most to show that its
// worker runs such tasks. Tasks that wait for the worker have nothing running in the meantime.
const maxProvingTime = 3 * time.Second

// provingTime returns how long a long-running task must be at work on a worker to show that
// the worker runs such tasks: clearly longer than the runs that failed there.
func (c *Core) provingTime(w *worker) time.Duration {
	return min(max(c.cfg.SuspicionPause, 2*w.health.failureAge), maxProvingTime)
}

// observeLongRunning counts each long-running task that stays at work as a success of its
// worker, since the run may never end. If it began after the last suspicion, the worker is given
// other long-running tasks; for tasks that end it is probed on, since it may still fail these. The
// lists of the worker are listsAge old.
func (c *Core) observeLongRunning(w *worker, listsAge time.Duration) {
	for _, r := range w.sortedRuns() {
		if r.proven || r.adopted || r.phase != runListed || !r.task.step.spec.LongRunning || r.status.Progress < fullPercent {
			continue
		}
		if c.now-listsAge-r.orderedAt < c.provingTime(w) {
			continue
		}
		r.proven = true
		if c.cfg.LoadControl {
			c.speedModel(w).AddOutcome(c.now, false, 1)
			c.updateSpeed(w)
		}
		if h := &w.health; h.suspicions > 0 && r.orderedAt >= h.suspectedAt && !h.runsLongRunning {
			h.runsLongRunning = true
			c.logDecision(Decision{Kind: DecidedTakenBack, Worker: w.info.Incarnation.Worker, Reason: "for long-running tasks, one of which stays at work"})
		}
	}
}

// recordFailure counts a failed run. Only the first failure of a task counts: a
// task that fails more than once is more likely at fault than its worker. R is nil if this
// leader does not know when the run began.
func (c *Core) recordFailure(w *worker, t *task, r *run) {
	h := &w.health
	if r != nil && !r.adopted {
		h.failureAge = max(h.failureAge, c.now-r.orderedAt)
	}
	if len(t.failedRuns) > 1 {
		return
	}
	if h.failedJobs == nil {
		h.failedJobs = make(map[lwunit.JobID]bool)
	}
	h.failedJobs[t.step.job.spec.ID] = true
	if len(h.failedJobs) >= suspicionThreshold || h.probing {
		c.suspect(w, "it failed tasks of several jobs or its probe")
	}
}

// suspect gives a worker no tasks for a pause, which doubles with each suspicion, and each
// time that the worker was taken back recently, up to a limit.
func (c *Core) suspect(w *worker, reason string) {
	h := &w.health
	pause := min(c.cfg.SuspicionPause<<min(h.suspicions+c.recentFlaps(h), 4), maxSuspicionPause)
	h.suspicions++
	h.suspectedAt = c.now
	h.runsLongRunning = false
	h.pausedUntil = c.now + pause
	h.probing = false
	h.failedJobs = nil
	c.logDecision(Decision{Kind: DecidedSuspect, Worker: w.info.Incarnation.Worker, Reason: reason})
}

// trusted reports whether a worker may be given a task of a step now. After a suspicion it is
// probed with one task in each SuspicionPause until a task is done. Long-running tasks, which
// are never done, need no probes once one of them stays at work.
func (c *Core) trusted(s *step, w *worker) bool {
	h := &w.health
	if c.now < h.pausedUntil {
		return false
	}
	if h.suspicions == 0 || s.spec.LongRunning && h.runsLongRunning {
		return true
	}
	return !h.probing || c.now-h.probedAt >= c.cfg.SuspicionPause
}

// recordProbe marks a start on a suspected worker as its probe, if it needs one for the step.
func (c *Core) recordProbe(s *step, w *worker) {
	if w.health.suspicions > 0 && (!s.spec.LongRunning || !w.health.runsLongRunning) {
		w.health.probing = true
		w.health.probedAt = c.now
	}
}
