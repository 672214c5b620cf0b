package lwdispatch

import (
	"math"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Schedule starts the ready steps that have room, the most urgent first.
func (c *Core) Schedule() {
	c.enqueueDueSteps()
	c.stampChanged()
	c.updatePools()
	list := make([]candidate, 0, len(c.ready))
	for _, s := range c.ready {
		if c.mayStart(s) {
			list = append(list, c.rateUrgency(s))
		}
	}
	slices.SortStableFunc(list, compareUrgency)
	for _, x := range list {
		c.placeStep(x.step, x.slack)
	}
	c.speculate()
}

// mayStart reports whether a task of a step may be started now.
func (c *Core) mayStart(s *step) bool {
	if s.job.stopped {
		return false
	}
	for _, t := range s.tasks {
		if c.needsRun(t) {
			return true
		}
	}
	return false
}

// needsRun reports whether a task is to be started now.
func (c *Core) needsRun(t *task) bool {
	return !t.done && len(t.runs) == 0 && c.now >= t.notBefore && !c.mayRunOnMissingWorker(t)
}

// reportGracePeriod is how long a new leader waits for reports before it places
// long-running tasks of earlier terms that could start sooner. Otherwise all of them
// would go to the workers that report first. It is a little longer than the
// interval between two reports of an agent.
const reportGracePeriod = 500 * time.Millisecond

// mayRunOnMissingWorker reports whether a task of a job of an earlier term may still
// run on a worker that has not reported. A long-running task whose placements are
// recorded can only run on the worker that was recorded last; it waits for the incarnations
// of that worker and, while any worker has not reported, for reportGracePeriod.
func (c *Core) mayRunOnMissingWorker(t *task) bool {
	j := t.step.job
	if j.term >= c.term || len(c.missing) == 0 {
		return false
	}
	if !j.placementsRecorded || !t.step.spec.LongRunning || c.now-c.termStart < reportGracePeriod {
		return true
	}
	return c.missesID(t.recordedPlacement.Worker)
}

// missesID reports whether an incarnation with an id has not reported. A start may have been
// carried out by a later incarnation than the one on which the task was placed.
func (c *Core) missesID(id lwunit.WorkerID) bool {
	for incarnation := range c.missing {
		if incarnation.Worker == id {
			return true
		}
	}
	return false
}

// placeStep starts those tasks of a step that need a run and have room.
func (c *Core) placeStep(s *step, slack time.Duration) {
	if s.spec.Gang {
		c.placeGang(s, slack)
		return
	}
	noRoom := false // for tasks that are no suspects, which all need the same
	waiting := false
	for _, t := range s.tasks {
		if noRoom && !s.hasSuspects {
			break
		}
		if !c.needsRun(t) {
			continue
		}
		var w *worker
		suspect := c.isSuspect(t)
		switch {
		case suspect:
			w = c.chooseForSuspect(t)
		case !noRoom:
			w = c.chooseWorker(s)
		}
		if w == nil && !noRoom && c.starved(s) {
			w = c.chooseDespiteInterference(s)
		}
		if w == nil {
			waiting = true
			noRoom = noRoom || !suspect
			continue
		}
		c.startRun(t, w, t.highestRun+1, slack)
	}
	if waiting {
		c.noteEvacuationWait(s)
		c.requestAdvice(s)
	}
}

// fullScanInterval is the time between two searches of all workers for a step
// without room. In between only workers that have changed are searched; a full
// search is needed because passing time alone can make room.
const fullScanInterval = 100 * time.Millisecond

// stampChanged stamps the workers that have changed since its last call.
func (c *Core) stampChanged() {
	c.stamp++
	for _, w := range c.sortedWorkers {
		if w.dirty {
			w.dirty, w.changeStamp = false, c.stamp
		}
	}
}

// chooseWorker returns the worker of the lowest cost for a step, or nil.
func (c *Core) chooseWorker(s *step) *worker {
	since := s.checkedStamp
	fullScan := since == 0 || c.now-s.fullScanAt >= fullScanInterval
	if fullScan {
		since = 0
	}
	w := c.chooseChangedWorker(s, since)
	if w == nil {
		s.checkedStamp = c.stamp
		if fullScan {
			s.fullScanAt = c.now
		}
	}
	return w
}

// chooseChangedWorker returns the worker of the lowest cost for a step among those
// that have changed since a stamp, or among all if the stamp is 0. It returns nil
// if there is none below lastResortCost.
func (c *Core) chooseChangedWorker(s *step, since uint64) *worker {
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.sortedWorkers {
		if w.changeStamp <= since && since > 0 || !c.eligible(s, w) || !c.fits(s, w) {
			continue
		}
		if cost := c.cost(s, w); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if bestCost >= lastResortCost {
		return nil // the task would only be throttled there
	}
	return best
}

const (
	starvationDelay       = time.Second // since a step became ready, before its job, if it has no run, may start one where it would be throttled or processors are overcommitted
	starvationMaxReserved = 0.6         // largest reserved fraction of a service's capacity at which a job may do so
)

// starved reports whether the job of a step has no run, although the step has been
// ready for starvationDelay and much of the capacity of its service is not reserved.
func (c *Core) starved(s *step) bool {
	if s.job.runCount > 0 || c.now-s.readyAt < starvationDelay {
		return false
	}
	reserved, capacity := c.serviceReservation(s.job.queue.Service)
	return float64(reserved.Millicores) < starvationMaxReserved*float64(capacity.Millicores) && float64(reserved.Memory) < starvationMaxReserved*float64(capacity.Memory)
}

// chooseDespiteInterference returns the worker of the lowest cost whose unreserved
// capacity fits a task, whatever filling work is there and whatever the
// interference; throttling limits it later. A filling task needs no free processors
// for this.
func (c *Core) chooseDespiteInterference(s *step) *worker {
	need := s.spec.Need
	if s.spec.Filling {
		need.Millicores = 0
	}
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range c.sortedWorkers {
		if !c.eligible(s, w) || !need.Fits(w.info.Capacity.Sub(w.reserved)) {
			continue
		}
		if cost := c.cost(s, w); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// eligible reports whether the tasks of a step may run on a worker, apart from
// free capacity.
func (c *Core) eligible(s *step, w *worker) bool {
	return c.allowedOn(s, w) && c.admitted(s, w)
}

// allowedOn reports whether the tasks of a step may run on a worker, apart from free
// capacity and the admission ticket that some queues need.
func (c *Core) allowedOn(s *step, w *worker) bool {
	switch {
	case !w.enrolled || !w.listsCurrent || w.unresponsive || w.hasUnknownRuns || w.info.Draining || w.info.Service != s.job.queue.Service:
		return false
	case c.closedTo(s, w):
		return false
	case s.spec.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.spec.RequiredLabel):
		return false
	case s.spec.MaxPerWorker > 0 && w.taskCount(s) >= s.spec.MaxPerWorker:
		return false
	}
	if s.spec.Filling && w.overTarget {
		return false
	}
	if _, apart := c.onProbation(w); apart {
		return false
	}
	return c.trusted(s, w) && c.withinSpeedShare(s, w)
}

// taskCount returns the number of runs of a step that may exist on the worker.
func (w *worker) taskCount(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// fits reports whether a worker has room for a task of a step. Filling tasks use
// unreserved or idle processors that no other filling task uses; a worker without
// filling work takes one of any size.
func (c *Core) fits(s *step, w *worker) bool {
	need := s.spec.Need
	free := w.info.Capacity.Sub(w.reserved)
	if s.spec.Filling {
		available := free.Millicores + lwunit.Millicores(w.overcommitLimit()-w.currentFillingUse(c.now))
		need.Millicores = 0
		return need.Fits(free) && (s.spec.Need.Millicores <= available || w.fillingDeclared == 0)
	}
	return need.Fits(free)
}

// currentFillingUse returns the sum of cpuShare over the filling runs on a worker, in
// millicores.
func (w *worker) currentFillingUse(now time.Duration) float64 {
	if w.fillingUse < 0 {
		w.fillingUse = 0
		for _, r := range w.runs {
			if r.task.step.spec.Filling {
				w.fillingUse += r.cpuShare(now) * w.millicores()
			}
		}
	}
	return w.fillingUse
}

// cost returns the placement cost of a task of a step on a worker. It is lower near
// the data of the task and, except for long-running tasks, on workers with less load.
func (c *Core) cost(s *step, w *worker) float64 {
	capacity := max(1, float64(w.info.Capacity.Millicores))
	load := float64(w.reserved.Millicores+w.fillingDeclared) / capacity
	memory := float64(w.reserved.Memory) / max(1, float64(w.info.Capacity.Memory))
	cost := max(load, memory)
	switch {
	case s.spec.LongRunning:
		// Long-running tasks are packed together with tasks of the same image, so
		// that other workers stay free for filling work without interference.
		same, other := w.imageMix(s.spec.Image)
		cost = 1 - cost - sameImageWeight*same + otherImageWeight*c.reservationPressure(s)*other + c.misplacementCost(s, w)
	case s.spec.Filling:
		startPercent := c.allowedStartPercent(s, w)
		cost += 1 - startPercent/fullPercent
		if startPercent < minStartPercent {
			cost += lastResortCost
		}
	}
	if s.spec.PreferredRack != "" && !slices.Contains(w.info.Labels, string(s.spec.PreferredRack)) {
		cost += c.cfg.OffRackSlowdown
	}
	if w.info.WarmupTimeLeft > 0 {
		cost++
	}
	return cost + c.speedCost(w)
}

const (
	sameImageWeight  = 1  // weight, against the load, of the fraction of long-running tasks with the same image
	otherImageWeight = 2  // weight of the fraction with another image, under reservation pressure
	lastResortCost   = 10 // cost from which only a starved job uses a worker
)

// placeGang starts all tasks of a gang at once or none. A rack-sensitive gang is
// placed on one rack if one has room.
func (c *Core) placeGang(s *step, slack time.Duration) {
	for _, t := range s.tasks {
		if !c.needsRun(t) {
			return // a member may still run, or must not start yet
		}
	}
	var chosen []*worker
	if s.spec.RackSensitive {
		chosen = c.gangOnOneRack(s)
	}
	if chosen == nil {
		chosen = c.assignGang(s, c.sortedWorkers)
	}
	if chosen == nil {
		c.noteEvacuationWait(s)
		c.requestAdvice(s)
		return
	}
	var id lwjob.RunID
	checkpoint := ""
	for _, t := range s.tasks {
		id = max(id, t.highestRun+1)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.startRun(t, chosen[i], id, slack)
	}
}

// gangOnOneRack assigns the members of a gang to workers of one rack, or returns
// nil. It takes any label that not all workers have for a rack, and tries labels
// with few workers first.
func (c *Core) gangOnOneRack(s *step) []*worker {
	racks := make(map[string][]*worker)
	var names []string
	for _, w := range c.sortedWorkers {
		for _, l := range w.info.Labels {
			if racks[l] == nil {
				names = append(names, l)
			}
			racks[l] = append(racks[l], w)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return len(racks[a]) - len(racks[b]) })
	for _, name := range names {
		if len(racks[name]) == len(c.sortedWorkers) {
			continue // a label that all workers have is not a rack
		}
		if chosen := c.assignGang(s, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

// assignGang assigns each member of a gang a worker of the list, the one with most
// free processors first, or returns nil.
func (c *Core) assignGang(s *step, list []*worker) []*worker {
	type freeRoom struct {
		free  lwunit.Resources
		count int
	}
	rooms := make(map[*worker]*freeRoom)
	suspect, apart := c.isSuspect(s.tasks[0]), c.isApart(s.tasks[0])
	for _, w := range list {
		if c.eligible(s, w) && (!suspect || c.mayTakeSuspect(w, apart)) {
			rooms[w] = &freeRoom{c.freeForGang(w), w.taskCount(s)}
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
