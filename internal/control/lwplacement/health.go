package lwplacement

import (
	"fmt"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// health distinguishes workers on which all jobs fail from jobs that fail on all
// workers.
type health struct {
	cfg     Config
	workers map[lwunit.WorkerID]*workerHealth
	jobs    map[lwunit.JobID]*jobOutcomes
}

// workerHealth holds the failures on a worker and the state of its suspicion.
type workerHealth struct {
	failedJobs map[lwunit.JobID]bool // jobs that failed here since the last success on this worker
	suspect    bool                  // takes no tasks until it is probed
	probeAt    time.Duration
	probeDelay time.Duration // before the probe at probeAt
	probing    bool          // takes one task as a probe
	probeTask  lwunit.TaskID // the task placed as a probe, or ""
}

// jobOutcomes says on which workers attempts of a job failed, and whether any
// attempt succeeded.
type jobOutcomes struct {
	failedOn  map[lwunit.WorkerID]bool
	succeeded bool
}

// maxJobOutcomes bounds the memory for jobs; beyond it all are forgotten.
const maxJobOutcomes = 20000

func newHealth(cfg Config) health {
	return health{cfg: cfg, workers: make(map[lwunit.WorkerID]*workerHealth), jobs: make(map[lwunit.JobID]*jobOutcomes)}
}

func (h *health) worker(id lwunit.WorkerID) *workerHealth {
	if h.workers[id] == nil {
		h.workers[id] = &workerHealth{failedJobs: make(map[lwunit.JobID]bool)}
	}
	return h.workers[id]
}

func (h *health) job(id lwunit.JobID) *jobOutcomes {
	if len(h.jobs) > maxJobOutcomes {
		h.jobs = make(map[lwunit.JobID]*jobOutcomes)
	}
	if h.jobs[id] == nil {
		h.jobs[id] = &jobOutcomes{failedOn: make(map[lwunit.WorkerID]bool)}
	}
	return h.jobs[id]
}

// observeEnd learns from the end of an attempt.
func (h *health) observeEnd(now time.Duration, s *lwstate.State, o AttemptEnded) {
	t, ok := s.Task(o.Task)
	if !ok {
		return
	}
	w, j := h.worker(o.Worker), h.job(t.Job)
	if !o.Failed {
		j.succeeded = true
		w.failedJobs = make(map[lwunit.JobID]bool)
		w.suspect, w.probing, w.probeDelay, w.probeTask = false, false, 0, ""
		return
	}
	j.failedOn[o.Worker] = true
	w.failedJobs[t.Job] = true
	if w.probing {
		h.markSuspect(now, w)
	}
}

// markSuspect keeps tasks off a worker until its next probe.
func (h *health) markSuspect(now time.Duration, w *workerHealth) {
	w.suspect, w.probing, w.probeTask = true, false, ""
	w.probeDelay = min(max(h.cfg.FirstProbeDelay, 2*w.probeDelay), h.cfg.MaxProbeDelay)
	w.probeAt = now + w.probeDelay
}

// countedFailures returns how many of the jobs that failed on a worker count
// against it. A job that never succeeded and failed on other workers too does
// not: the fault is likely its own.
func (h *health) countedFailures(id lwunit.WorkerID) int {
	n := 0
	for job := range h.worker(id).failedJobs {
		j := h.job(job)
		if j.succeeded || len(j.failedOn) < 2 {
			n++
		}
	}
	return n
}

// updateSuspects marks workers on which different jobs fail as suspect, and
// clears the mark for a probe with one task.
func (c *Core) updateSuspects(r *round) {
	for _, w := range r.workers {
		id := w.Spec.ID
		wh := c.health.workers[id]
		if wh == nil {
			if w.Suspect == "" {
				continue
			}
			// A new leader does not know how long the worker has been suspect.
			wh = c.health.worker(id)
			c.health.markSuspect(r.now, wh)
		}
		wh.dropEndedProbe(r.state, id)
		switch {
		case !wh.suspect && !wh.probing && c.health.countedFailures(id) >= c.cfg.SuspectFailures:
			c.health.markSuspect(r.now, wh)
			reason := fmt.Sprintf("tasks of %d different jobs failed here in a row", len(wh.failedJobs))
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id, Reason: reason})
		case wh.suspect && w.Suspect == "":
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id, Reason: "a probe failed here"})
		case wh.suspect && r.now >= wh.probeAt:
			wh.suspect, wh.probing, wh.probeTask = false, true, ""
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id})
		}
	}
}

// accepts reports whether a worker may take a task: one that is being probed
// takes a single one.
func (h *health) accepts(id lwunit.WorkerID) bool {
	wh := h.workers[id]
	return wh == nil || (!wh.suspect && (!wh.probing || wh.probeTask == ""))
}

// observePlacement records a task that is placed as a probe.
func (h *health) observePlacement(id lwunit.WorkerID, t lwunit.TaskID) {
	if wh := h.workers[id]; wh != nil && wh.probing {
		wh.probeTask = t
	}
}

// dropEndedProbe lets another task probe a worker if the last one was stopped or
// cancelled, or its placement was refused: that says nothing about the worker.
func (w *workerHealth) dropEndedProbe(s *lwstate.State, id lwunit.WorkerID) {
	if t, ok := s.Task(w.probeTask); !ok || t.Worker != id || !t.Phase.HoldsResources() {
		w.probeTask = ""
	}
}
