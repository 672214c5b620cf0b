package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	failuresToSuspect = 3                // of different jobs, without a success between
	longestSuspicion  = 10 * time.Second // between probes of a worker that keeps failing
)

// health tells a worker that fails what it starts from jobs that fail anywhere.
type health struct {
	failing  map[lwunit.JobID]bool // jobs that failed here since the last success
	until    time.Duration         // left alone until then
	strikes  int                   // suspicions in a row
	probing  bool                  // one task is tried after a suspicion
	probedAt time.Duration
}

func (c *Core) noteSuccess(w *worker) { w.health = health{} }

// noteFailure counts a failed run. A job that has failed elsewhere as well
// says nothing about this worker.
func (c *Core) noteFailure(w *worker, t *task) {
	h := &w.health
	if len(t.failed) > 1 {
		return
	}
	if h.failing == nil {
		h.failing = make(map[lwunit.JobID]bool)
	}
	h.failing[t.step.job.spec.ID] = true
	if len(h.failing) >= failuresToSuspect || h.probing {
		c.suspect(w, "it failed what it started")
	}
}

// suspect leaves a worker alone for a while, longer each time.
func (c *Core) suspect(w *worker, reason string) {
	h := &w.health
	pause := min(c.cfg.Suspicion<<min(h.strikes, 4), longestSuspicion)
	h.strikes++
	h.until = c.now + pause
	h.probing = false
	h.failing = nil
	c.decide(Decision{Kind: DecidedSuspect, Worker: w.info.Life.Worker, Reason: reason})
}

// trusted reports whether a worker may be given a task now. After a suspicion
// one task at a time is tried.
func (c *Core) trusted(w *worker) bool {
	h := &w.health
	if c.now < h.until {
		return false
	}
	if h.strikes == 0 {
		return true
	}
	return !h.probing || c.now-h.probedAt >= c.cfg.Suspicion
}

// noteStart marks the probe of a worker that was suspected.
func (c *Core) noteStart(w *worker) {
	if w.health.strikes > 0 {
		w.health.probing = true
		w.health.probedAt = c.now
	}
}
