package lwdispatch

import (
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Schedule starts what may start now, the most urgent first.
func (c *Core) Schedule() {
	c.wake()
	c.stampChanged()
	list := make([]candidate, 0, len(c.ready))
	for _, s := range c.ready {
		if c.mayStart(s) {
			list = append(list, c.urgency(s))
		}
	}
	slices.SortStableFunc(list, compareUrgency)
	for _, x := range list {
		c.placeStep(x.step, x.slack)
	}
}

// mayStart reports whether a step has a task that waits for a run.
func (c *Core) mayStart(s *step) bool {
	if s.job.stopped {
		return false
	}
	for _, t := range s.tasks {
		if c.wants(t) {
			return true
		}
	}
	return false
}

func (c *Core) wants(t *task) bool {
	return !t.done && len(t.runs) == 0 && c.now >= t.after && !c.mayRunUnseen(t)
}

// gatherTime is how long a new leader lets workers report before it places what
// could start sooner, so that the first to report are not filled with it: a little
// longer than agents take between two reports.
const gatherTime = 500 * time.Millisecond

// mayRunUnseen reports whether a task of a job of an earlier term may still run
// on a worker that has not reported. Of a task whose places are recorded, only
// the last one counts.
func (c *Core) mayRunUnseen(t *task) bool {
	j := t.step.job
	if j.term >= c.term || len(c.missing) == 0 {
		return false
	}
	if !j.placed || !t.step.spec.LongRunning || c.now-c.began < gatherTime {
		return true
	}
	_, unseen := c.missing[t.place]
	return unseen
}

func (c *Core) placeStep(s *step, slack time.Duration) {
	if s.spec.Gang {
		c.placeGang(s, slack)
		return
	}
	for _, t := range s.tasks {
		if !c.wants(t) {
			continue
		}
		w := c.choose(s)
		if w == nil && c.starved(s) {
			w = c.chooseCrowded(s)
		}
		if w == nil {
			c.seekAdvice(s)
			return // its siblings need the same
		}
		c.start(t, w, t.last+1, slack)
	}
}

// recheckAfter is how long a step that found no worker looks only at those that
// have changed since; the rest may have changed by the time alone.
const recheckAfter = 100 * time.Millisecond

// stampChanged numbers the workers that have changed since it was called last.
func (c *Core) stampChanged() {
	c.stamp++
	for _, w := range c.order {
		if w.dirty {
			w.dirty, w.stamp = false, c.stamp
		}
	}
}

// choose returns the worker that suits a step best now, or nil.
func (c *Core) choose(s *step) *worker {
	since := s.checked
	whole := since == 0 || c.now-s.checkedAt >= recheckAfter
	if whole {
		since = 0
	}
	w := c.chooseChanged(s, since)
	if w == nil {
		s.checked = c.stamp
		if whole {
			s.checkedAt = c.now
		}
	}
	return w
}

// chooseChanged returns the best worker among those that have changed since a
// stamp.
func (c *Core) chooseChanged(s *step, since uint64) *worker {
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.order {
		if w.stamp <= since && since > 0 || !c.eligible(s, w) || !c.fits(s, w) {
			continue
		}
		if cost := c.cost(s, w); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if bestCost >= keptApart {
		return nil // it would only be paced down there
	}
	return best
}

const (
	starvedAfter = time.Second // without any run, until a job gets one beside work that fills already
	idleShare    = 0.6         // of a service's room in use, below which no job may stand still
)

// starved reports whether a job stands still though much of its service's
// declared room is free.
func (c *Core) starved(s *step) bool {
	if s.job.live > 0 || c.now-s.readyAt < starvedAfter {
		return false
	}
	used, capacity := c.reserved(s.job.queue.Service)
	return float64(used.Millicores) < idleShare*float64(capacity.Millicores) && float64(used.Memory) < idleShare*float64(capacity.Memory)
}

// chooseCrowded returns a worker whose declared room holds a task, whatever
// fills it and whoever that disturbs; pacing looks after the rest.
func (c *Core) chooseCrowded(s *step) *worker {
	need := s.spec.Need
	if s.spec.Filling {
		need.Millicores = 0
	}
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.order {
		if !c.eligible(s, w) || !need.Fits(w.info.Capacity.Sub(w.used)) {
			continue
		}
		if cost := c.cost(s, w); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// eligible reports whether a step's tasks may be started on a worker now.
func (c *Core) eligible(s *step, w *worker) bool {
	return c.suits(s, w) && c.admitted(s, w)
}

// suits reports whether the rules let a step's tasks run on a worker, but for
// the ticket that some queues need.
func (c *Core) suits(s *step, w *worker) bool {
	switch {
	case !w.enrolled || !w.current || w.silent || w.unknownRuns || w.info.Draining || w.info.Service != s.job.queue.Service:
		return false
	case s.spec.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.spec.RequiredLabel):
		return false
	case s.spec.MaxPerWorker > 0 && w.countOf(s) >= s.spec.MaxPerWorker:
		return false
	}
	if s.spec.Filling && w.over {
		return false
	}
	return c.trusted(w)
}

// countOf returns how many tasks of a step may be on the worker.
func (w *worker) countOf(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// fits reports whether a task of the step has room. Filling tasks take only
// processors that are free of other work.
func (c *Core) fits(s *step, w *worker) bool {
	need := s.spec.Need
	free := w.info.Capacity.Sub(w.used)
	if s.spec.Filling {
		spare := free.Millicores + lwunit.Millicores(w.spare()-w.askedNow(c.now))
		need.Millicores = 0
		return need.Fits(free) && (s.spec.Need.Millicores <= spare || w.filling == 0)
	}
	return need.Fits(free)
}

// askedNow returns the processors, in millicores, that the filling runs on a
// worker use at their present pace, as they declare it or less if they show so.
func (w *worker) askedNow(now time.Duration) float64 {
	if w.asked < 0 {
		w.asked = 0
		for _, r := range w.runs {
			if r.task.step.spec.Filling {
				w.asked += r.use(now) * w.cores()
			}
		}
	}
	return w.asked
}

// cost is lower where a task does better: near its data, and on workers with
// more free room.
func (c *Core) cost(s *step, w *worker) float64 {
	capacity := max(1, float64(w.info.Capacity.Millicores))
	load := float64(w.used.Millicores+w.filling) / capacity
	memory := float64(w.used.Memory) / max(1, float64(w.info.Capacity.Memory))
	cost := max(load, memory)
	if s.spec.PreferredRack != "" && !slices.Contains(w.info.Labels, string(s.spec.PreferredRack)) {
		cost += c.cfg.SpreadFactor
	}
	switch {
	case s.spec.LongRunning:
		// Long-running tasks are packed, like with like, so that other workers
		// stay free of tasks that filling work could disturb.
		like, other := w.mixOf(s.spec.Image)
		cost = 1 - cost - sameImage*like + otherImage*c.crowding(s)*other + c.misplacement(s, w)
	case s.spec.Filling:
		pace := c.startPace(s, w)
		cost += 1 - pace/fullPace
		if pace < leastStart {
			cost += keptApart
		}
	}
	if w.info.Cold > 0 {
		cost++
	}
	return cost
}

const (
	sameImage  = 1  // of a worker's load, how much packing like with like counts
	otherImage = 2  // and how much keeping unlike ones apart counts
	keptApart  = 10 // cost at which a worker is taken only by a job that stands still
)

// placeGang starts all tasks of a gang at once or none. Tasks that depend on
// being near each other are kept on one rack if it has room.
func (c *Core) placeGang(s *step, slack time.Duration) {
	for _, t := range s.tasks {
		if !c.wants(t) {
			return // some of the run before may still be there
		}
	}
	var chosen []*worker
	if s.spec.RackSensitive {
		chosen = c.rackForGang(s)
	}
	if chosen == nil {
		chosen = c.spreadGang(s, c.order)
	}
	if chosen == nil {
		c.seekAdvice(s)
		return
	}
	var id lwjob.RunID
	saved := ""
	for _, t := range s.tasks {
		id = max(id, t.last+1)
		if t.saved != "" {
			saved = t.saved
		}
	}
	for i, t := range s.tasks {
		t.saved = saved
		c.start(t, chosen[i], id, slack)
	}
}

// rackForGang looks for one rack that holds the whole gang.
func (c *Core) rackForGang(s *step) []*worker {
	racks := make(map[string][]*worker)
	var names []string
	for _, w := range c.order {
		for _, l := range w.info.Labels {
			if racks[l] == nil {
				names = append(names, l)
			}
			racks[l] = append(racks[l], w)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return len(racks[a]) - len(racks[b]) })
	for _, name := range names {
		if len(racks[name]) == len(c.order) {
			continue // a label that all workers have is no rack
		}
		if chosen := c.spreadGang(s, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

// spreadGang assigns each member a worker of the list, or returns nil.
func (c *Core) spreadGang(s *step, list []*worker) []*worker {
	type room struct {
		free  lwunit.Resources
		count int
	}
	rooms := make(map[*worker]*room)
	for _, w := range list {
		if c.eligible(s, w) {
			rooms[w] = &room{w.info.Capacity.Sub(w.used), w.countOf(s)}
		}
	}
	chosen := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		var best *worker
		for _, w := range list {
			r := rooms[w]
			if r == nil || !s.spec.Need.Fits(r.free) || (s.spec.MaxPerWorker > 0 && r.count >= s.spec.MaxPerWorker) {
				continue
			}
			if best == nil || r.free.Millicores > rooms[best].free.Millicores {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		rooms[best].free = rooms[best].free.Sub(s.spec.Need)
		rooms[best].count++
		chosen = append(chosen, best)
	}
	return chosen
}
