package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// round is one decision: the state, the room that the stages so far have taken
// and the commands that they produced.
type round struct {
	now          time.Duration
	state        *lwstate.State
	workers      []*lwstate.Worker
	taken        map[lwunit.WorkerID]lwunit.Resources // room used by the stages so far
	deployment   lwticket.DeploymentSpec
	trials       map[lwunit.WorkerID]bool                      // workers on which the round starts a suspect; true if it is kept apart
	domainCounts map[lwunit.JobID]map[lwunit.FailureDomain]int // filled by tasksPerDomain

	rejects     []lwstate.Command
	suspects    []lwstate.Command
	resizes     []lwstate.Resize
	placements  []lwstate.Placement
	stops       []lwunit.TaskID
	stopping    map[lwunit.TaskID]bool
	placed      map[lwunit.TaskID]bool
	largestFree lwunit.Resources // the largest free amount of each resource on one worker, when the start stage began

	evacuationRevision lwunit.Revision // of the last change of the evacuated domains; 0 if none is evacuated
}

func newRound(now time.Duration, s *lwstate.State) *round {
	r := &round{
		now: now, state: s, stopping: make(map[lwunit.TaskID]bool), placed: make(map[lwunit.TaskID]bool),
		taken: make(map[lwunit.WorkerID]lwunit.Resources), deployment: s.Deployment(), evacuationRevision: evacuationRevision(s),
	}
	s.EachWorker(func(w *lwstate.Worker) {
		r.workers = append(r.workers, w)
	})
	return r
}

// free returns the room on a worker that the stages so far have left.
func (r *round) free(id lwunit.WorkerID) lwunit.Resources {
	return r.state.Free(id).Sub(r.taken[id])
}

// take uses up room on a worker.
func (r *round) take(id lwunit.WorkerID, amount lwunit.Resources) {
	r.taken[id] = r.taken[id].Add(amount)
}

// findLargestFree sets largestFree.
func (r *round) findLargestFree() {
	for _, w := range r.workers {
		if r.acceptsTasks(w) {
			r.largestFree = r.largestFree.Max(r.free(w.Spec.ID))
		}
	}
}

// acceptsTasks reports whether new tasks may start on a worker.
func (r *round) acceptsTasks(w *lwstate.Worker) bool { return isAvailable(w) && !r.isEvacuated(w) }

// isAvailable reports whether new tasks may start on a worker unless its failure domain
// is evacuated.
func isAvailable(w *lwstate.Worker) bool { return !w.Lost && !w.Drain && w.Suspect == "" }

func (r *round) stop(t lwstate.Task) {
	r.stops = append(r.stops, t.ID)
	r.stopping[t.ID] = true
}

// commands returns what the stages decided. Placements never count on room that
// the stops of the same round free: a task keeps its reserve until its stop is
// confirmed.
func (r *round) commands() []lwstate.Command {
	cmds := append(r.suspects, r.rejects...)
	if len(r.resizes) > 0 {
		cmds = append(cmds, lwstate.ResizeTasks{Resizes: r.resizes})
	}
	if len(r.stops) > 0 {
		cmds = append(cmds, lwstate.StopTasks{Tasks: r.stops, Reason: lwstate.StopEvict})
	}
	if len(r.placements) > 0 {
		cmds = append(cmds, lwstate.PlaceTasks{Placements: r.placements})
	}
	return cmds
}

// tasksPerDomain counts the tasks of a job that hold resources by failure domain,
// those included that the round has placed.
func (r *round) tasksPerDomain(job lwunit.JobID) map[lwunit.FailureDomain]int {
	if m, ok := r.domainCounts[job]; ok {
		return m
	}
	m := make(map[lwunit.FailureDomain]int)
	for _, t := range r.state.TasksHoldingResources(job) {
		if w, ok := r.state.Worker(t.Worker); ok {
			m[w.Spec.Domain]++
		}
	}
	if r.domainCounts == nil {
		r.domainCounts = make(map[lwunit.JobID]map[lwunit.FailureDomain]int)
	}
	r.domainCounts[job] = m
	return m
}
