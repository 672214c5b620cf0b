package lwplacement

import (
	"fmt"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// health tells workers that fail everything from jobs that fail everywhere.
type health struct {
	cfg     Config
	workers map[lwunit.WorkerID]*condition
	jobs    map[lwunit.JobID]*jobRecord
}

// condition is what is known of a worker's attempts.
type condition struct {
	failed  map[lwunit.JobID]bool // jobs that failed here since the last success
	out     bool                  // taken out
	probeAt time.Duration
	pause   time.Duration
	probing bool // let back for one task
	probes  int  // tasks placed while probing
}

// jobRecord is where a job failed and whether it ever succeeded.
type jobRecord struct {
	failedOn  map[lwunit.WorkerID]bool
	succeeded bool
}

const maxJobRecords = 20000

func newHealth(cfg Config) health {
	return health{cfg: cfg, workers: make(map[lwunit.WorkerID]*condition), jobs: make(map[lwunit.JobID]*jobRecord)}
}

func (h *health) worker(id lwunit.WorkerID) *condition {
	if h.workers[id] == nil {
		h.workers[id] = &condition{failed: make(map[lwunit.JobID]bool)}
	}
	return h.workers[id]
}

func (h *health) job(id lwunit.JobID) *jobRecord {
	if len(h.jobs) > maxJobRecords {
		h.jobs = make(map[lwunit.JobID]*jobRecord)
	}
	if h.jobs[id] == nil {
		h.jobs[id] = &jobRecord{failedOn: make(map[lwunit.WorkerID]bool)}
	}
	return h.jobs[id]
}

// ended notes the end of an attempt.
func (h *health) ended(now time.Duration, s *lwstate.State, o AttemptEnded) {
	t, ok := s.Task(o.Task)
	if !ok {
		return
	}
	w, j := h.worker(o.Worker), h.job(t.Job)
	if !o.Failed {
		j.succeeded = true
		w.failed = make(map[lwunit.JobID]bool)
		w.out, w.probing, w.pause, w.probes = false, false, 0, 0
		return
	}
	j.failedOn[o.Worker] = true
	w.failed[t.Job] = true
	if w.probing {
		h.takeOut(now, w)
	}
}

func (h *health) takeOut(now time.Duration, w *condition) {
	w.out, w.probing, w.probes = true, false, 0
	w.pause = min(max(h.cfg.ProbeFirst, 2*w.pause), h.cfg.ProbeLongest)
	w.probeAt = now + w.pause
}

// blame returns how many jobs that failed on a worker count against it: those
// that did not fail on other workers too.
func (h *health) blame(id lwunit.WorkerID) int {
	n := 0
	for job := range h.worker(id).failed {
		j := h.job(job)
		if j.succeeded || len(j.failedOn) < 2 {
			n++
		}
	}
	return n
}

// judgeWorkers takes out workers that fail everything and lets them back to be
// probed with one task.
func (c *Core) judgeWorkers(r *round) {
	for _, w := range r.workers {
		id := w.Spec.ID
		k := c.health.workers[id]
		if k == nil {
			if w.Suspect == "" {
				continue
			}
			// A new leader does not know since when: probe after the first pause.
			k = c.health.worker(id)
			c.health.takeOut(r.now, k)
		}
		switch {
		case !k.out && !k.probing && c.health.blame(id) >= c.cfg.FailuresOut:
			c.health.takeOut(r.now, k)
			reason := fmt.Sprintf("tasks of %d different jobs failed here in a row", len(k.failed))
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id, Reason: reason})
		case k.out && w.Suspect == "":
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id, Reason: "a probe failed here"})
		case k.out && r.now >= k.probeAt:
			k.out, k.probing, k.probes = false, true, 0
			r.suspects = append(r.suspects, lwstate.SuspectWorker{Worker: id})
		}
	}
}

// accepts reports whether a worker may be given a task: one that is being
// probed gets a single one.
func (h *health) accepts(id lwunit.WorkerID) bool {
	k := h.workers[id]
	return k == nil || (!k.out && (!k.probing || k.probes == 0))
}

func (h *health) placed(id lwunit.WorkerID) {
	if k := h.workers[id]; k != nil && k.probing {
		k.probes++
	}
}
