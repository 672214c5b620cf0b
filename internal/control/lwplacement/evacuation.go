package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	waitCheckInterval = time.Second // between two checks of one job for whether it waits for an evacuated domain
	maxReportedWaits  = 100         // waiting tasks of a job that are reported for each change of the evacuated domains
)

// EvacuationWait says that a task waits although a worker of an evacuated failure domain
// has room for it.
type EvacuationWait struct {
	Job    lwunit.JobID
	Task   lwunit.TaskID
	Worker lwunit.WorkerID
	Domain lwunit.FailureDomain
	Waited time.Duration // since the task was queued
}

// evacuationWaits is what was reported of a job that waits for an evacuated domain.
type evacuationWaits struct {
	checkedAt time.Duration
	reported  map[lwunit.TaskID]lwunit.Revision // round.evacuationRevision at the last report
}

// TakeEvacuationWaits returns the tasks that the decisions since the last call found to
// wait for an evacuated domain. Each is reported once for each change of the evacuated
// domains.
func (c *Core) TakeEvacuationWaits() []EvacuationWait {
	list := c.newWaits
	c.newWaits = nil
	return list
}

// noteEvacuationWait reports the waiting tasks of a job that fits nowhere now, if it would
// fit on a worker of an evacuated domain.
func (c *Core) noteEvacuationWait(r *round, j lwstate.Job, reserve lwunit.Resources) {
	if r.evacuationRevision == 0 {
		return
	}
	waits := c.evacuationWaits[j.Spec.ID]
	if waits == nil {
		waits = &evacuationWaits{checkedAt: r.now - waitCheckInterval, reported: make(map[lwunit.TaskID]lwunit.Revision)}
		c.evacuationWaits[j.Spec.ID] = waits
	}
	if r.now-waits.checkedAt < waitCheckInterval {
		return
	}
	waits.checkedAt = r.now
	w := c.evacuatedWorkerFor(r, j, reserve)
	if w == nil {
		return
	}
	for _, t := range r.state.QueuedTasksOfJob(j.Spec.ID, maxReportedWaits) {
		if r.placed[t.ID] || waits.reported[t.ID] == r.evacuationRevision {
			continue
		}
		waits.reported[t.ID] = r.evacuationRevision
		waited := time.Duration(r.state.Clock()-t.Queued) * time.Millisecond
		c.newWaits = append(c.newWaits, EvacuationWait{Job: j.Spec.ID, Task: t.ID, Worker: w.Spec.ID, Domain: w.Spec.Domain, Waited: waited})
	}
}

// evacuatedWorkerFor returns the first worker of an evacuated domain on which a task of j
// could start if the domain were restored, or nil.
func (c *Core) evacuatedWorkerFor(r *round, j lwstate.Job, reserve lwunit.Resources) *lwstate.Worker {
	for _, w := range r.workers {
		wanted := j.Spec.Domain == "" || j.Spec.Domain == string(w.Spec.Domain)
		if wanted && r.isEvacuated(w) && isAvailable(w) && c.health.accepts(w.Spec.ID) && reserve.Fits(r.free(w.Spec.ID)) {
			return w
		}
	}
	return nil
}

// isEvacuated reports whether the failure domain of a worker is evacuated.
func (r *round) isEvacuated(w *lwstate.Worker) bool {
	return r.evacuationRevision > 0 && r.state.Evacuations().Evacuated(w.Spec.Domain)
}

// evacuationRevision returns the revision of the last change of the evacuated domains, or
// 0 if none is evacuated.
func evacuationRevision(s *lwstate.State) lwunit.Revision {
	if len(s.Evacuations().Domains()) == 0 {
		return 0
	}
	newest := lwunit.Revision(0)
	for _, rec := range s.Evacuations() {
		newest = max(newest, rec.Revision)
	}
	return newest
}
