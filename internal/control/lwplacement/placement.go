// Package lwplacement decides which task starts where and which one makes
// room. It is a core without I/O: it reads the replicated state, remembers
// lagging observations, and returns commands; the same calls give the same
// commands. The state checks every command again before it takes effect.
package lwplacement

import (
	"fmt"
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Config bounds the work of one decision.
type Config struct {
	MaxStarts    int // placements in one decision
	MaxStops     int // evictions in one decision
	BackfillJobs int // jobs tried after the first that does not fit
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{MaxStarts: 100, MaxStops: 20, BackfillJobs: 64}
}

// Core holds what was learned from observations. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
}

// New returns a core that has observed nothing.
func New(cfg Config) *Core { return &Core{cfg: cfg} }

// Decide returns the commands that should follow now.
func (c *Core) Decide(_ time.Duration, s *lwstate.State) []lwstate.Command {
	r := newRound(s)
	var cmds []lwstate.Command
	for _, j := range orderJobs(s, s.WaitingJobs()) {
		if len(r.placements) >= c.cfg.MaxStarts {
			break
		}
		if why := r.neverFits(j); why != "" {
			cmds = append(cmds, lwstate.RejectJob{Job: j.Spec.ID, Reason: why})
			continue
		}
		for _, t := range s.WaitingTasks(j.Spec.ID, c.cfg.MaxStarts-len(r.placements)) {
			if !r.place(j, t) {
				break
			}
		}
	}
	if stops := c.drains(s, r); len(stops) > 0 {
		cmds = append(cmds, lwstate.StopTasks{Tasks: stops, Reason: lwstate.StopEvict})
	}
	if len(r.placements) > 0 {
		cmds = append(cmds, lwstate.PlaceTasks{Placements: r.placements})
	}
	return cmds
}

// drains returns tasks to move away from workers that are being drained.
func (c *Core) drains(s *lwstate.State, r *round) []lwunit.TaskID {
	var stops []lwunit.TaskID
	for _, w := range r.workers {
		if !w.Drain || w.Lost {
			continue
		}
		for _, t := range s.TasksOnWorker(w.Spec.ID) {
			if t.Phase != lwstate.TaskStopping && len(stops) < c.cfg.MaxStops {
				stops = append(stops, t.ID)
			}
		}
	}
	return stops
}

// orderJobs sorts urgent work first, then by deadline and age.
func orderJobs(_ *lwstate.State, jobs []lwstate.Job) []lwstate.Job {
	sort.SliceStable(jobs, func(i, j int) bool {
		a, b := jobs[i], jobs[j]
		if rank(a.Spec.Class) != rank(b.Spec.Class) {
			return rank(a.Spec.Class) < rank(b.Spec.Class)
		}
		return a.Submitted < b.Submitted
	})
	return jobs
}

func rank(c lwstate.JobClass) int {
	switch c {
	case lwstate.ClassLatencyCritical:
		return 0
	case lwstate.ClassUrgent:
		return 1
	default:
		return 2
	}
}

// round is one decision: the room left on each worker as placements are made.
type round struct {
	workers    []lwstate.Worker
	free       map[lwunit.WorkerID]lwunit.Resources
	placements []lwstate.Placement
}

func newRound(s *lwstate.State) *round {
	r := &round{free: make(map[lwunit.WorkerID]lwunit.Resources)}
	for _, w := range s.Workers() {
		r.workers = append(r.workers, w)
		r.free[w.Spec.ID] = s.Free(w.Spec.ID)
	}
	return r
}

// neverFits says why no known worker could hold a task of j even when empty.
func (r *round) neverFits(j lwstate.Job) string {
	if len(r.workers) == 0 {
		return ""
	}
	var largest lwunit.Resources
	for _, w := range r.workers {
		if j.Spec.Needs.Fits(w.Spec.Capacity) {
			return ""
		}
		largest = largest.Max(w.Spec.Capacity)
	}
	return fmt.Sprintf("a task needs %d millicores, %s and %d accelerators; no worker has all of that (the largest amounts are %d, %s and %d)",
		j.Spec.Needs.Millicores, j.Spec.Needs.Memory, j.Spec.Needs.Accelerators, largest.Millicores, largest.Memory, largest.Accelerators)
}

func (r *round) place(j lwstate.Job, t lwstate.Task) bool {
	best, found := lwunit.WorkerID(""), false
	var bestLeft lwunit.Resources
	for _, w := range r.workers {
		if w.Lost || w.Drain || w.Suspect != "" || !j.Spec.Needs.Fits(r.free[w.Spec.ID]) {
			continue
		}
		left := r.free[w.Spec.ID].Sub(j.Spec.Needs)
		if !found || left.Millicores > bestLeft.Millicores {
			best, bestLeft, found = w.Spec.ID, left, true
		}
	}
	if !found {
		return false
	}
	r.free[best] = bestLeft
	r.placements = append(r.placements, lwstate.Placement{Task: t.ID, Worker: best, Reserve: j.Spec.Needs})
	return true
}
