package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	demandDecay         = 0.97                    // factor on the recorded demand at each new job
	sensitiveThreshold  = 0.3                     // sensitivity from which a serving task may be moved to a worker with other sensitive ones
	robustThreshold     = 0.2                     // sensitivity below which a serving task tolerates filling work
	consolidateInterval = 1500 * time.Millisecond // between moves of serving tasks
	minTimeBeforeMove   = 4 * time.Second         // time since its start before a serving task may be moved
)

// recordFillingDemand adds a job to the recent demand for filling work, by image.
func (c *Core) recordFillingDemand(j *job) {
	for image := range c.fillingDemand {
		c.fillingDemand[image] *= demandDecay
	}
	for _, s := range j.steps[0] {
		if s.spec.Filling {
			c.fillingDemand[s.spec.Image] += float64(s.spec.Count) * float64(s.spec.Need.Millicores) * c.expectedRunTime(j, s.spec).Seconds()
		}
	}
}

// sensitivity returns the share of the demanded filling work that would interfere
// too much with a serving image, from 0 to 1.
func (c *Core) sensitivity(image string) float64 {
	total, intolerable := 0.0, 0.0
	for filling, amount := range c.fillingDemand {
		total += amount
		intolerable += amount * c.gains.risk(imagePair{filling, image})
	}
	if total == 0 {
		return unmeasuredRisk
	}
	return intolerable / total
}

// maxSensitivity returns the highest sensitivity of the serving tasks on a worker.
// It leaves out the run except, which may be nil.
func (c *Core) maxSensitivity(w *worker, except *run) float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r != except && r.task.step.spec.TailTarget > 0 {
			worst = max(worst, c.sensitivity(r.task.step.spec.Image))
		}
	}
	return worst
}

const (
	sensitivityPenalty = 2   // cost of making a worker more sensitive, for each unit of sensitivity
	robustnessPenalty  = 0.3 // cost of a robust task on a worker that filling work avoids anyway, for each unit of difference
)

// misplacementCost returns the cost of a serving step on a worker for the capacity
// that filling work loses by it.
func (c *Core) misplacementCost(s *step, w *worker) float64 {
	if s.spec.TailTarget <= 0 {
		return 0
	}
	own, onWorker := c.sensitivity(s.spec.Image), c.maxSensitivity(w, nil)
	if own > onWorker {
		return sensitivityPenalty * (own - onWorker)
	}
	return robustnessPenalty * (onWorker - own)
}

// consolidate moves one sensitive serving task at a time off a worker whose other
// tasks tolerate filling work, while such work waits for capacity.
func (c *Core) consolidate() {
	if c.now-c.lastMoveAt < consolidateInterval || !c.fillingIsWaiting() {
		return
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.sortedRuns() {
			if c.canMove(r) && c.maxSensitivity(w, r) < robustThreshold && c.hasRoomElsewhere(r) {
				c.lastMoveAt = c.now
				c.stopRun(r, "it keeps filling work off a worker whose other tasks tolerate it")
				return
			}
		}
	}
}

func (c *Core) fillingIsWaiting() bool {
	for _, s := range c.ready {
		if s.spec.Filling && c.mayStart(s) && c.now-s.readyAt >= consolidateInterval/3 {
			return true
		}
	}
	return false
}

// canMove reports whether a serving task is sensitive and may be interrupted for a
// move.
func (c *Core) canMove(r *run) bool {
	s := r.task.step
	if s.spec.TailTarget <= 0 || !s.spec.LongRunning || r.phase != runListed || c.now-r.orderedAt < minTimeBeforeMove || r.status.Progress < fullPercent {
		return false
	}
	if c.sensitivity(s.spec.Image) < sensitiveThreshold {
		return false
	}
	return s.spec.MaxUnavailable == 0 || s.inactiveTasks() < s.spec.MaxUnavailable
}

// inactiveTasks returns the number of tasks of a step that are not serving.
func (s *step) inactiveTasks() int {
	n := 0
	for _, t := range s.tasks {
		serving := false
		for _, r := range t.runs {
			serving = serving || (r.phase == runListed && r.status.Progress >= fullPercent)
		}
		if !serving {
			n++
		}
	}
	return n
}

// hasRoomElsewhere reports whether another worker with tasks of about the same
// sensitivity has room for a run.
func (c *Core) hasRoomElsewhere(r *run) bool {
	s := r.task.step
	own := c.sensitivity(s.spec.Image)
	for _, w := range c.sortedWorkers {
		if w != r.worker && c.eligible(s, w) && c.fits(s, w) && c.maxSensitivity(w, nil) >= own*0.8 {
			return true
		}
	}
	return false
}

const (
	lowReservation  = 0.7  // share of the processors of a service that is reserved, up to which whole workers can be kept free
	highReservation = 0.85 // share from which none can
)

// reservationPressure returns from 0 to 1 how far the reservations of a step's
// service keep whole workers from staying free for filling work.
func (c *Core) reservationPressure(s *step) float64 {
	reserved, capacity := c.serviceReservation(s.job.queue.Service)
	share := float64(reserved.Millicores) / max(1, float64(capacity.Millicores))
	return min(1, max(0, (share-lowReservation)/(highReservation-lowReservation)))
}

// serviceReservation returns the resources that the runs on a service's workers
// reserve, and the capacity of these workers, without those in evacuated domains.
func (c *Core) serviceReservation(service lwunit.ServiceName) (reserved, capacity lwunit.Resources) {
	for _, w := range c.sortedWorkers {
		if w.info.Service == service && !c.isEvacuated(w) {
			reserved = reserved.Add(w.reserved)
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	return reserved, capacity
}

// imageMix returns the fractions of the long-running tasks on a worker that have
// the given image and another one. Both are 0 if there are none.
func (w *worker) imageMix(image string) (same, other float64) {
	n := 0.0
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning {
			continue
		}
		if n++; r.task.step.spec.Image == image {
			same++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return same / n, 1 - same/n
}
