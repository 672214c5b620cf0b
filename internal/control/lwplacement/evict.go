package lwplacement

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	earmarkDuration = 15 * time.Second // free room on a worker is kept for one job this long
	restartCost     = 30 * time.Second // run time that a restart costs, beside the lost work
	evictionWindow  = time.Hour        // over which the deployment's eviction budget counts
	maxCountedRun   = 2 * time.Minute  // run time beyond which an attempt counts as losing no more work
)

// earmark keeps the free room on a worker for one job, for which tasks were
// evicted.
type earmark struct {
	job   lwunit.JobID
	until time.Duration
}

// drain evicts the tasks on workers that are being drained.
func (c *Core) drain(r *round) {
	for _, w := range r.workers {
		if !w.Drain || w.Lost {
			continue
		}
		for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
			if t.Phase != lwstate.TaskStopping && !r.stopping[t.ID] && len(r.stops) < c.cfg.MaxStops {
				r.stop(t)
			}
		}
	}
}

// preempt makes room for urgent and latency-critical jobs that have fitted
// nowhere for PreemptAfter: it evicts batch tasks on the worker where this costs
// least.
func (c *Core) preempt(r *round) {
	if len(c.blockedSince) == 0 {
		return
	}
	for _, j := range r.state.JobsWithQueuedTasks() {
		if j.Spec.Class == lwstate.ClassBatch || c.blockedFor(r.now, j.Spec.ID) < c.cfg.PreemptAfter || c.hasEarmark(j.Spec.ID) {
			continue
		}
		victims, w := c.cheapestVictims(r, j)
		if len(victims) == 0 || len(r.stops)+len(victims) > c.cfg.MaxStops {
			continue
		}
		for _, t := range victims {
			r.stop(t)
		}
		c.earmarks[w] = earmark{j.Spec.ID, r.now + earmarkDuration}
	}
}

func (c *Core) hasEarmark(id lwunit.JobID) bool {
	for _, mark := range c.earmarks {
		if mark.job == id {
			return true
		}
	}
	return false
}

// cheapestVictims returns the tasks to evict, and their worker, where making room
// for a task of j costs least.
func (c *Core) cheapestVictims(r *round, j lwstate.Job) ([]lwstate.Task, lwunit.WorkerID) {
	reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
	var best []lwstate.Task
	var bestWorker lwunit.WorkerID
	lowest := 0.0
	for i, w := range r.workers {
		if !c.passes(r, j, w, i) {
			continue
		}
		victims, cost, ok := c.victims(r, w, j.Spec.Team, reserve)
		if ok && (best == nil || cost < lowest) {
			best, bestWorker, lowest = victims, w.Spec.ID, cost
		}
	}
	return best, bestWorker
}

// victims chooses batch tasks on a worker, cheapest first, until reserve fits. It
// takes tasks of the same team and of teams over their quota. It reports whether
// evicting them makes enough room.
func (c *Core) victims(r *round, w *lwstate.Worker, team lwunit.TeamName, reserve lwunit.Resources) ([]lwstate.Task, float64, bool) {
	free := r.free(w.Spec.ID)
	list := c.byEvictionCost(r, w.Spec.ID)
	var victims []lwstate.Task
	cost := 0.0
	for _, v := range list {
		if reserve.Fits(free) {
			break
		}
		if v.team != team && !overQuota(r.state, v.team) {
			continue
		}
		free = free.Add(v.task.Reserve)
		victims = append(victims, v.task)
		cost += v.cost
	}
	return victims, cost, reserve.Fits(free) && len(victims) > 0
}

// overQuota reports whether a team uses more than its quota of some resource.
func overQuota(s *lwstate.State, team lwunit.TeamName) bool {
	spec, ok := s.Team(team)
	return ok && dominantShare(s.UsedByTeam(team), spec.Quota) > 1
}

// victim is a task that may be evicted.
type victim struct {
	team lwunit.TeamName
	task lwstate.Task
	cost float64
}

// byEvictionCost returns the evictable tasks on a worker, the cheapest first.
func (c *Core) byEvictionCost(r *round, w lwunit.WorkerID) []victim {
	var list []victim
	for _, t := range r.state.TasksOnWorker(w) {
		j, ok := r.state.Job(t.Job)
		if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase == lwstate.TaskStopping || r.stopping[t.ID] {
			continue
		}
		list = append(list, victim{j.Spec.Team, t, c.evictionCost(r, j, t)})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].cost < list[k].cost })
	return list
}

// evictionCost returns what an eviction costs, in weighted seconds: the restart
// and a part of the run time, for the work since the last checkpoint. It costs
// more to evict a task that is nearly done, was evicted before, is due soon or
// belongs to a team within its quota.
func (c *Core) evictionCost(r *round, j lwstate.Job, t lwstate.Task) float64 {
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	cost := restartCost.Seconds() + min(ran, maxCountedRun).Seconds()*0.2
	cost *= 1 + float64(t.Evictions)
	if meanRun, ok := c.sizes.meanRunTime(teamProgramOf(j)); ok && ran > meanRun*8/10 {
		cost *= 3
	}
	if j.Spec.FinishIn > 0 {
		left := time.Duration(j.Submitted.Add(j.Spec.FinishIn.Std())-r.state.Clock()) * time.Millisecond
		if left < j.Spec.RunTime.Std()*2 {
			cost *= 2
		}
	}
	if !overQuota(r.state, j.Spec.Team) {
		cost *= 2
	}
	return cost * max(0.1, r.deployment.EvictionWeight)
}

// evictionBudget bounds the evictions for interference within evictionWindow.
type evictionBudget struct {
	at []time.Duration // of the evictions within the window, oldest first
}

// take counts an eviction and returns true, unless the window already holds limit of
// them.
func (b *evictionBudget) take(now time.Duration, limit int) bool {
	for len(b.at) > 0 && now-b.at[0] > evictionWindow {
		b.at = b.at[1:]
	}
	if len(b.at) >= limit {
		return false
	}
	b.at = append(b.at, now)
	return true
}
