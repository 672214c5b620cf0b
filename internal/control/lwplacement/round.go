package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// round is one decision: the state, the room left as the stages take it, and
// the commands so far.
type round struct {
	now     time.Duration
	state   *lwstate.State
	workers []*lwstate.Worker
	taken   map[lwunit.WorkerID]lwunit.Resources // by the stages so far
	deploy  lwticket.DeploymentSpec
	domains map[lwunit.JobID]map[lwunit.FailureDomain]int // tasks of a job by domain

	rejects    []lwstate.Command
	suspects   []lwstate.Command
	resizes    []lwstate.Resize
	placements []lwstate.Placement
	stops      []lwunit.TaskID
	stopping   map[lwunit.TaskID]bool
	placed     map[lwunit.TaskID]bool
	largest    lwunit.Resources
	room       lwunit.Resources // the largest free amount of each resource on one worker
}

func newRound(now time.Duration, s *lwstate.State) *round {
	r := &round{
		now: now, state: s, stopping: make(map[lwunit.TaskID]bool), placed: make(map[lwunit.TaskID]bool),
		taken: make(map[lwunit.WorkerID]lwunit.Resources), deploy: s.Deployment(),
	}
	s.EachWorker(func(w *lwstate.Worker) {
		r.workers = append(r.workers, w)
		r.largest = r.largest.Max(w.Spec.Capacity)
	})
	return r
}

// free returns the room on a worker that the stages so far have left.
func (r *round) free(id lwunit.WorkerID) lwunit.Resources {
	return r.state.Free(id).Sub(r.taken[id])
}

// take uses room on a worker.
func (r *round) take(id lwunit.WorkerID, amount lwunit.Resources) {
	r.taken[id] = r.taken[id].Add(amount)
}

// measureRoom finds the largest free amount of each resource, once a round.
func (r *round) measureRoom() {
	for _, w := range r.workers {
		if takesTasks(w) {
			r.room = r.room.Max(r.free(w.Spec.ID))
		}
	}
}

func takesTasks(w *lwstate.Worker) bool { return !w.Lost && !w.Drain && w.Suspect == "" }

func (r *round) stop(t lwstate.Task) {
	r.stops = append(r.stops, t.ID)
	r.stopping[t.ID] = true
}

// commands returns what the stages decided. Stops come first: the room they
// free is not counted on before they are confirmed.
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

// spread counts the tasks of a job by failure domain, once a round.
func (r *round) spread(job lwunit.JobID) map[lwunit.FailureDomain]int {
	if m, ok := r.domains[job]; ok {
		return m
	}
	m := make(map[lwunit.FailureDomain]int)
	for _, t := range r.state.HeldTasks(job) {
		if w, ok := r.state.Worker(t.Worker); ok {
			m[w.Spec.Domain]++
		}
	}
	if r.domains == nil {
		r.domains = make(map[lwunit.JobID]map[lwunit.FailureDomain]int)
	}
	r.domains[job] = m
	return m
}
