package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	priorWeight     = 3.0  // observations that weigh as much as the declaration
	sizeWeight      = 0.1  // of the newest observation in the moving mean
	memoryHeadroom  = 1.15 // over the largest seen
	cpuHeadroom     = 1.0  // over the mean: processors are shared, so none is needed
	memoryDecay     = 0.995
	lowestShare     = 0.2 // a reserve is at least this share of the declaration
	highestShare    = 6.0 // and at most this many times the declaration
	resizeThreshold = 0.1 // smaller changes are not worth a command
	fullAt          = 0.97
	resizeEvery     = time.Second
)

// size is what is known of a class.
type size struct {
	seen    float64
	cpu     float64 // mean, millicores
	memory  float64 // decaying maximum, bytes
	runs    float64
	typical time.Duration // mean run time of finished attempts
}

type sizes struct {
	classes map[Class]*size
	latest  map[lwunit.TaskID]lwunit.Resources // last usage of running attempts
	growth  map[lwunit.TaskID]lwunit.Bytes     // memory gained between the last two measurements
}

func newSizes() sizes {
	return sizes{classes: make(map[Class]*size), latest: make(map[lwunit.TaskID]lwunit.Resources), growth: make(map[lwunit.TaskID]lwunit.Bytes)}
}

// observeUsage learns from one measurement.
func (c *Core) observeUsage(s *lwstate.State, o UsageSeen) {
	t, ok := s.Task(o.Task)
	if !ok || !t.Phase.Held() {
		c.sizes.forget(o.Task)
		return
	}
	j, ok := s.Job(t.Job)
	if !ok {
		return
	}
	if before, seen := c.sizes.latest[o.Task]; seen {
		c.sizes.growth[o.Task] = max(0, o.Used.Memory-before.Memory)
	}
	c.sizes.latest[o.Task] = o.Used
	z := c.sizes.classes[classOf(j)]
	if z == nil {
		z = &size{}
		c.sizes.classes[classOf(j)] = z
	}
	z.seen++
	step := max(sizeWeight, 1/z.seen)
	z.cpu += step * (float64(o.Used.Millicores) - z.cpu)
	z.memory = max(float64(o.Used.Memory), z.memory*memoryDecay)
}

func (z *sizes) forget(id lwunit.TaskID) {
	delete(z.latest, id)
	delete(z.growth, id)
}

// observeEnd learns the run time of an attempt that succeeded.
func (c *Core) observeEnd(s *lwstate.State, o AttemptEnded) {
	c.sizes.forget(o.Task)
	t, ok := s.Task(o.Task)
	if !ok || o.Failed {
		return
	}
	if j, ok := s.Job(t.Job); ok {
		c.sizes.finished(classOf(j), time.Duration(s.Clock()-t.Started)*time.Millisecond)
	}
}

func (z *sizes) finished(cl Class, ran time.Duration) {
	k := z.classes[cl]
	if k == nil {
		k = &size{}
		z.classes[cl] = k
	}
	k.runs++
	k.typical += time.Duration(max(sizeWeight, 1/k.runs) * float64(ran-k.typical))
}

func (z *sizes) typicalRun(cl Class) (time.Duration, bool) {
	k := z.classes[cl]
	if k == nil || k.runs < priorWeight {
		return 0, false
	}
	return k.typical, true
}

// reserve returns what a new task of j is given: what its class was seen to
// use, mixed with the declaration while little was seen, and within bounds of
// the declaration, since neither is trusted alone.
func (z *sizes) reserve(j lwstate.Job, learn bool) lwunit.Resources {
	declared := j.Spec.Needs
	k := z.classes[classOf(j)]
	if !learn || k == nil || k.seen == 0 {
		return declared
	}
	w := k.seen / (k.seen + priorWeight)
	return lwunit.Resources{
		Millicores:   lwunit.Millicores(mix(w, k.cpu*cpuHeadroom, float64(declared.Millicores))),
		Memory:       lwunit.Bytes(mix(w, k.memory*memoryHeadroom, float64(declared.Memory))),
		Accelerators: declared.Accelerators,
	}
}

func mix(w, seen, declared float64) float64 {
	v := w*seen + (1-w)*declared
	return min(max(v, lowestShare*declared), highestShare*declared)
}

// resize gives running tasks what they really use. Where a worker's tasks
// together use nearly all its memory, the one that outgrew its reserve most is
// moved before the worker is full.
func (c *Core) resize(r *round) {
	if !c.cfg.LearnSizes || (c.resizedAt > 0 && r.now-c.resizedAt < resizeEvery) {
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
	var over lwunit.Bytes
	for _, t := range r.state.TasksOnWorker(w.Spec.ID) {
		used, ok := c.sizes.latest[t.ID]
		// By the next measurement it will have grown as much again.
		memory += max(t.Reserve.Memory, used.Memory+c.sizes.growth[t.ID])
		if !ok || t.Phase == lwstate.TaskStopping {
			continue
		}
		if grown := used.Memory - t.Reserve.Memory; grown > over && evictable(r.state, t) {
			worst, over = t, grown
		}
		if next, due := resized(t.Reserve, used); due {
			grow := next.Sub(t.Reserve)
			if grow.Fits(r.free(w.Spec.ID)) {
				r.take(w.Spec.ID, grow)
				r.resizes = append(r.resizes, lwstate.Resize{Task: t.ID, Token: t.Token, Reserve: next})
			}
		}
	}
	limit := w.Spec.Capacity.Memory - r.state.ServiceReserve(w.Spec.ID).Memory
	if over > 0 && float64(memory) > fullAt*float64(limit) && len(r.stops) < c.cfg.MaxStops && !r.stopping[worst.ID] {
		r.stop(worst)
	}
}

func evictable(s *lwstate.State, t lwstate.Task) bool {
	j, ok := s.Job(t.Job)
	return ok && j.Spec.Class == lwstate.ClassBatch
}

// resized returns the reserve that fits what a task uses. Memory only grows
// here: what a task used once it may use again.
func resized(reserve, used lwunit.Resources) (lwunit.Resources, bool) {
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
