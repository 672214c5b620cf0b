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
}

// recordSuccess takes back a suspected worker. Under load control one that hangs or fails
// most of its tasks is only probed again.
func (c *Core) recordSuccess(w *worker) {
	if c.cfg.LoadControl && w.health.suspicions > 0 {
		if !w.speed.Fit() {
			w.health.probing, w.health.failedJobs = false, nil
			return
		}
		c.logDecision(Decision{Kind: DecidedTakenBack, Worker: w.info.Incarnation.Worker, Reason: "its probes ended well" + describeSpeed(w)})
	}
	w.health = health{}
}

// recordFailure counts a failed run. Only the first failure of a task counts: a
// task that fails more than once is more likely at fault than its worker.
func (c *Core) recordFailure(w *worker, t *task) {
	h := &w.health
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

// suspect gives a worker no tasks for a pause, which doubles with each suspicion
// up to a limit.
func (c *Core) suspect(w *worker, reason string) {
	h := &w.health
	pause := min(c.cfg.SuspicionPause<<min(h.suspicions, 4), maxSuspicionPause)
	h.suspicions++
	h.pausedUntil = c.now + pause
	h.probing = false
	h.failedJobs = nil
	c.logDecision(Decision{Kind: DecidedSuspect, Worker: w.info.Incarnation.Worker, Reason: reason})
}

// trusted reports whether a worker may be given a task now. After a suspicion it is
// probed with one task in each SuspicionPause until a task is done.
func (c *Core) trusted(w *worker) bool {
	h := &w.health
	if c.now < h.pausedUntil {
		return false
	}
	if h.suspicions == 0 {
		return true
	}
	return !h.probing || c.now-h.probedAt >= c.cfg.SuspicionPause
}

// recordProbe marks a start on a suspected worker as its probe.
func (c *Core) recordProbe(w *worker) {
	if w.health.suspicions > 0 {
		w.health.probing = true
		w.health.probedAt = c.now
	}
}
