package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	sizePriorSamples = 3.0   // measurements that weigh as much as the declaration, and fewest runs for a mean run time
	sizeStep         = 0.1   // least weight of the newest value in a moving mean
	memoryHeadroom   = 1.15  // over the largest measured use
	cpuHeadroom      = 1.0   // over the mean use; processors are shared, so no more is needed
	memoryDecay      = 0.995 // factor of the largest memory use, applied at each measurement
	minReserveShare  = 0.2   // a reserve is at least this many times the declaration
	maxReserveShare  = 6.0   // and at most this many times the declaration
	resizeThreshold  = 0.1   // relative growth that is worth a command
	memoryFullShare  = 0.97  // of a worker's memory for tasks, above which one is evicted
	resizeInterval   = time.Second
)

// programStats holds measurements of the attempts of a team's program.
type programStats struct {
	samples float64       // measurements of use
	cpu     float64       // mean, millicores
	memory  float64       // decaying maximum, bytes
	runs    float64       // attempts that succeeded
	meanRun time.Duration // moving mean of their run times
}

// sizeModel estimates the resource use of the attempts of each team's program.
type sizeModel struct {
	programs     map[TeamProgram]*programStats
	latestUsage  map[lwunit.TaskID]measuredUse
	memoryGrowth map[lwunit.TaskID]lwunit.Bytes // between the last two measurements; never negative
}

// measuredUse is the newest measurement of a task, and the attempt that it is of. The
// next attempt of the task starts without it.
type measuredUse struct {
	token lwunit.FencingToken
	used  lwunit.Resources
}

// ofAttempt returns the newest measurement of a task's present attempt, if there is
// one.
func (m *sizeModel) ofAttempt(t lwstate.Task) (lwunit.Resources, bool) {
	u, ok := m.latestUsage[t.ID]
	if !ok || u.token != t.Token {
		return lwunit.Resources{}, false
	}
	return u.used, true
}

func newSizeModel() sizeModel {
	return sizeModel{programs: make(map[TeamProgram]*programStats), latestUsage: make(map[lwunit.TaskID]measuredUse), memoryGrowth: make(map[lwunit.TaskID]lwunit.Bytes)}
}

// observeUsage learns from one measurement.
func (c *Core) observeUsage(s *lwstate.State, o UsageSample) {
	t, ok := s.Task(o.Task)
	if !ok || !t.Phase.HoldsResources() {
		c.sizes.forget(o.Task)
		return
	}
	j, ok := s.Job(t.Job)
	if !ok {
		return
	}
	before, known := c.sizes.ofAttempt(t)
	if !known {
		before = o.Used
	}
	c.sizes.memoryGrowth[o.Task] = max(0, o.Used.Memory-before.Memory)
	c.sizes.latestUsage[o.Task] = measuredUse{t.Token, o.Used}
	stats := c.sizes.programs[teamProgramOf(j)]
	if stats == nil {
		stats = &programStats{}
		c.sizes.programs[teamProgramOf(j)] = stats
	}
	stats.samples++
	step := max(sizeStep, 1/stats.samples)
	stats.cpu += step * (float64(o.Used.Millicores) - stats.cpu)
	stats.memory = max(float64(o.Used.Memory), stats.memory*memoryDecay)
}

// forget drops the measurements of one attempt.
func (m *sizeModel) forget(id lwunit.TaskID) {
	delete(m.latestUsage, id)
	delete(m.memoryGrowth, id)
}

// observeEnd drops the measurements of an attempt, and learns its run time if it
// succeeded.
func (c *Core) observeEnd(s *lwstate.State, o AttemptEnded) {
	c.sizes.forget(o.Task)
	t, ok := s.Task(o.Task)
	if !ok || o.Failed {
		return
	}
	if j, ok := s.Job(t.Job); ok {
		c.sizes.observeRun(teamProgramOf(j), time.Duration(s.Clock()-t.Started)*time.Millisecond)
	}
}

// observeRun learns the run time of one attempt.
func (m *sizeModel) observeRun(program TeamProgram, ran time.Duration) {
	stats := m.programs[program]
	if stats == nil {
		stats = &programStats{}
		m.programs[program] = stats
	}
	stats.runs++
	stats.meanRun += time.Duration(max(sizeStep, 1/stats.runs) * float64(ran-stats.meanRun))
}

// meanRunTime returns the mean run time of a team's program, unless too few attempts
// have succeeded.
func (m *sizeModel) meanRunTime(program TeamProgram) (time.Duration, bool) {
	stats := m.programs[program]
	if stats == nil || stats.runs < sizePriorSamples {
		return 0, false
	}
	return stats.meanRun, true
}

// reserve returns the resources to reserve for a new task of j: the measured use of
// its team's program, blended with the declaration while there are few measurements,
// and within bounds relative to the declaration, since neither is trusted alone.
func (m *sizeModel) reserve(j lwstate.Job, learn bool) lwunit.Resources {
	declared := j.Spec.Needs
	stats := m.programs[teamProgramOf(j)]
	if !learn || stats == nil || stats.samples == 0 {
		return declared
	}
	w := stats.samples / (stats.samples + sizePriorSamples)
	return lwunit.Resources{
		Millicores:   lwunit.Millicores(blend(w, stats.cpu*cpuHeadroom, float64(declared.Millicores))),
		Memory:       lwunit.Bytes(blend(w, stats.memory*memoryHeadroom, float64(declared.Memory))),
		Accelerators: declared.Accelerators,
	}
}

// blend returns the mean of a measured and a declared amount, the measured one
// weighted by w from 0 to 1, within the bounds of a reserve.
func blend(w, measured, declared float64) float64 {
	v := w*measured + (1-w)*declared
	return min(max(v, minReserveShare*declared), maxReserveShare*declared)
}

// resize raises the reserves of tasks that use more. Where the tasks on a worker
// use nearly all of its memory, it evicts the batch task that exceeds its reserve
// most, before the memory runs out.
func (c *Core) resize(r *round) {
	if !c.cfg.LearnSizes || (c.resizedAt > 0 && r.now-c.resizedAt < resizeInterval) {
		return
	}
	c.resizedAt = r.now
	for _, w := range r.workers {
		if !w.Lost {
			c.resizeWorker(r, w)
		}
	}
}

func (c *Core) resizeWorker(r *round, w *lwstate.Worker) {
	var memory lwunit.Bytes
	var worst lwstate.Task
	var excess lwunit.Bytes
	for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
		used, ok := c.sizes.ofAttempt(t)
		growth := lwunit.Bytes(0)
		if ok {
			growth = c.sizes.memoryGrowth[t.ID] // assumed to be the same until the next measurement
		}
		memory += max(t.Reserve.Memory, used.Memory+growth)
		if !ok || t.Phase == lwstate.TaskStopping {
			continue
		}
		if over := used.Memory - t.Reserve.Memory; over > excess && evictable(r.state, t) {
			worst, excess = t, over
		}
		if next, due := resizedReserve(t.Reserve, used); due {
			grow := next.Sub(t.Reserve)
			if grow.Fits(r.free(w.Spec.ID)) {
				r.take(w.Spec.ID, grow)
				r.resizes = append(r.resizes, lwstate.Resize{Task: t.ID, Token: t.Token, Reserve: next})
			}
		}
	}
	limit := w.Spec.Capacity.Memory - r.state.ServiceReserve(w.Spec.ID).Memory
	if excess > 0 && float64(memory) > memoryFullShare*float64(limit) && len(r.stops) < c.cfg.MaxStops && !r.stopping[worst.ID] {
		r.stop(worst)
	}
}

// evictable reports whether a task belongs to a batch job.
func evictable(s *lwstate.State, t lwstate.Task) bool {
	j, ok := s.Job(t.Job)
	return ok && j.Spec.Class == lwstate.ClassBatch
}

// resizedReserve returns the reserve that fits the use of a task, and whether it
// differs from the present one. A reserve never shrinks, since the task may use as
// much again.
func resizedReserve(reserve, used lwunit.Resources) (lwunit.Resources, bool) {
	next := reserve
	if float64(used.Memory) > float64(reserve.Memory)/memoryHeadroom*(1+resizeThreshold) {
		next.Memory = max(reserve.Memory, lwunit.Bytes(float64(used.Memory)*memoryHeadroom))
	}
	want := float64(used.Millicores) * cpuHeadroom
	if have := float64(reserve.Millicores); want > have*(1+resizeThreshold) {
		next.Millicores = lwunit.Millicores(want)
	}
	return next, next != reserve
}
