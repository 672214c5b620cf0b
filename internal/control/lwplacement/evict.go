package lwplacement

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	clearFor       = 15 * time.Second // room made for an urgent job is kept this long
	restartCost    = 30 * time.Second // of an eviction, beside the work lost
	evictionWindow = time.Hour
	youngAttempt   = 2 * time.Minute // an attempt this young has lost little
)

// clearing is room being made on a worker for an urgent job.
type clearing struct {
	job   lwunit.JobID
	until time.Duration
}

// drain moves tasks away from workers that are being drained.
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

// preempt makes room for urgent work that fits nowhere: batch tasks of one
// worker are evicted, borrowed ones first, those that lose least.
func (c *Core) preempt(r *round) {
	if len(c.blocked) == 0 {
		return
	}
	for _, j := range r.state.WaitingJobs() {
		if j.Spec.Class == lwstate.ClassBatch || c.blockedFor(r.now, j.Spec.ID) < c.cfg.UrgentWait || c.clearedFor(j.Spec.ID) {
			continue
		}
		victims, w := c.cheapestRoom(r, j)
		if len(victims) == 0 || len(r.stops)+len(victims) > c.cfg.MaxStops {
			continue
		}
		for _, t := range victims {
			r.stop(t)
		}
		c.cleared[w] = clearing{j.Spec.ID, r.now + clearFor}
	}
}

func (c *Core) clearedFor(id lwunit.JobID) bool {
	for _, cl := range c.cleared {
		if cl.job == id {
			return true
		}
	}
	return false
}

// cheapestRoom returns the victims on the worker where making room for a task
// of j loses least.
func (c *Core) cheapestRoom(r *round, j lwstate.Job) ([]lwstate.Task, lwunit.WorkerID) {
	reserve := c.sizes.reserve(j, c.cfg.LearnSizes)
	var best []lwstate.Task
	var at lwunit.WorkerID
	lowest := 0.0
	for i, w := range r.workers {
		if !c.passes(r, j, w, i) {
			continue
		}
		victims, loss, ok := c.victims(r, w, j.Spec.Team, reserve)
		if ok && (best == nil || loss < lowest) {
			best, at, lowest = victims, w.Spec.ID, loss
		}
	}
	return best, at
}

// victims chooses batch tasks of a worker until reserve fits: those of the
// same team and those that another team runs beyond its quota.
func (c *Core) victims(r *round, w *lwstate.Worker, team lwunit.TeamName, reserve lwunit.Resources) ([]lwstate.Task, float64, bool) {
	free := r.free(w.Spec.ID)
	list := c.byLoss(r, w.Spec.ID)
	var victims []lwstate.Task
	loss := 0.0
	for _, v := range list {
		if reserve.Fits(free) {
			break
		}
		if v.team != team && !borrows(r.state, v.team) {
			continue
		}
		free = free.Add(v.task.Reserve)
		victims = append(victims, v.task)
		loss += v.loss
	}
	return victims, loss, reserve.Fits(free) && len(victims) > 0
}

func borrows(s *lwstate.State, team lwunit.TeamName) bool {
	spec, ok := s.Team(team)
	return ok && dominantShare(s.TeamUsed(team), spec.Quota) > 1
}

type victim struct {
	team lwunit.TeamName
	task lwstate.Task
	loss float64
}

// byLoss lists the evictable tasks of a worker, the cheapest first.
func (c *Core) byLoss(r *round, w lwunit.WorkerID) []victim {
	var list []victim
	for _, t := range r.state.TasksOnWorker(w) {
		j, ok := r.state.Job(t.Job)
		if !ok || j.Spec.Class != lwstate.ClassBatch || t.Phase == lwstate.TaskStopping || r.stopping[t.ID] {
			continue
		}
		list = append(list, victim{j.Spec.Team, t, c.loss(r, j, t)})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].loss < list[k].loss })
	return list
}

// loss is what an eviction costs: the restart, work since the last checkpoint
// at worst, and more for work that is nearly done, was evicted before, is due
// soon or is within its team's quota.
func (c *Core) loss(r *round, j lwstate.Job, t lwstate.Task) float64 {
	ran := time.Duration(r.state.Clock()-t.Started) * time.Millisecond
	loss := restartCost.Seconds() + min(ran, youngAttempt).Seconds()*0.2
	loss *= 1 + float64(t.Evictions)
	if typical, ok := c.sizes.typicalRun(classOf(j)); ok && ran > typical*8/10 {
		loss *= 3
	}
	if j.Spec.FinishIn > 0 {
		left := time.Duration(j.Submitted.Add(j.Spec.FinishIn.Std())-r.state.Clock()) * time.Millisecond
		if left < j.Spec.RunTime.Std()*2 {
			loss *= 2
		}
	}
	if !borrows(r.state, j.Spec.Team) {
		loss *= 2
	}
	return loss * max(0.1, r.deploy.EvictionWeight)
}

// evictionBudget bounds the evictions for interference.
type evictionBudget struct {
	at []time.Duration
}

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
