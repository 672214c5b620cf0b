package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	demandMemory     = 0.97 // of what earlier jobs asked for, kept at each new one
	sensitiveFrom    = 0.3  // share of the filling work that a task does not bear, from which it is kept with its like
	robustBelow      = 0.2
	consolidatePause = 1500 * time.Millisecond // between moves of serving tasks
	settledAfter     = 4 * time.Second         // at work until a serving task may be moved
)

// noteDemand remembers which images of filling work jobs ask for.
func (c *Core) noteDemand(j *job) {
	for image := range c.demand {
		c.demand[image] *= demandMemory
	}
	for _, s := range j.steps[0] {
		if s.spec.Filling {
			c.demand[s.spec.Image] += float64(s.spec.Count) * float64(s.spec.Need.Millicores) * c.expected(j, s.spec).Seconds()
		}
	}
}

// sensitivity returns the share of the filling work that a serving image does
// not bear beside it.
func (c *Core) sensitivity(image string) float64 {
	total, bad := 0.0, 0.0
	for fills, amount := range c.demand {
		total += amount
		bad += amount * c.pairs.risk(pairKey{fills, image})
	}
	if total == 0 {
		return unseenRisk
	}
	return bad / total
}

// sensitivityOf returns that of the most sensitive task on a worker, leaving
// one run out.
func (c *Core) sensitivityOf(w *worker, but *run) float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r != but && r.task.step.spec.TailTarget > 0 {
			worst = max(worst, c.sensitivity(r.task.step.spec.Image))
		}
	}
	return worst
}

const (
	sensitivityLoss = 2   // cost of making a worker more sensitive than it was
	robustnessLoss  = 0.3 // cost of a robust task where filling work is kept away anyway
)

// misplacement returns the cost of a serving step on a worker by what it does to
// the room for filling work.
func (c *Core) misplacement(s *step, w *worker) float64 {
	if s.spec.TailTarget <= 0 {
		return 0
	}
	own, there := c.sensitivity(s.spec.Image), c.sensitivityOf(w, nil)
	if own > there {
		return sensitivityLoss * (own - there)
	}
	return robustnessLoss * (there - own)
}

// consolidate moves one sensitive serving task at a time off a worker whose
// other tasks bear filling work, while such work waits for room.
func (c *Core) consolidate() {
	if c.now-c.movedAt < consolidatePause || !c.fillingWaits() {
		return
	}
	for _, w := range c.order {
		for _, r := range w.sortedRuns() {
			if c.mayMove(r) && c.sensitivityOf(w, r) < robustBelow && c.betterPlace(r) {
				c.movedAt = c.now
				c.stop(r, "it keeps filling work off a worker whose other tasks bear it")
				return
			}
		}
	}
}

func (c *Core) fillingWaits() bool {
	for _, s := range c.ready {
		if s.spec.Filling && c.mayStart(s) && c.now-s.readyAt >= consolidatePause/3 {
			return true
		}
	}
	return false
}

// mayMove reports whether a serving task is sensitive and may be away for a
// moment.
func (c *Core) mayMove(r *run) bool {
	s := r.task.step
	if s.spec.TailTarget <= 0 || !s.spec.LongRunning || r.phase != runListed || c.now-r.began < settledAfter || r.row.Progress < fullPace {
		return false
	}
	if c.sensitivity(s.spec.Image) < sensitiveFrom {
		return false
	}
	return s.spec.MayMiss == 0 || s.away() < s.spec.MayMiss
}

// away counts the tasks of a step that are not at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		atWork := false
		for _, r := range t.runs {
			atWork = atWork || (r.phase == runListed && r.row.Progress >= fullPace)
		}
		if !atWork {
			n++
		}
	}
	return n
}

// betterPlace reports whether another worker that is as sensitive has room.
func (c *Core) betterPlace(r *run) bool {
	s := r.task.step
	own := c.sensitivity(s.spec.Image)
	for _, w := range c.order {
		if w != r.worker && c.eligible(s, w) && c.fits(s, w) && c.sensitivityOf(w, nil) >= own*0.8 {
			return true
		}
	}
	return false
}

const (
	roomyBelow = 0.7  // share of a service's processors that is reserved, up to which workers can be kept free
	crowdedAt  = 0.85 // from which none can
)

// crowding returns from 0 to 1 how little hope there is to keep whole workers
// of a step's service free for filling work.
func (c *Core) crowding(s *step) float64 {
	used, capacity := c.reserved(s.job.queue.Service)
	share := float64(used.Millicores) / max(1, float64(capacity.Millicores))
	return min(1, max(0, (share-roomyBelow)/(crowdedAt-roomyBelow)))
}

// reserved returns what the runs on a service's workers reserve, and what
// these workers have.
func (c *Core) reserved(service lwunit.ServiceName) (used, capacity lwunit.Resources) {
	for _, w := range c.order {
		if w.info.Service == service {
			used = used.Add(w.used)
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	return used, capacity
}

// mixOf returns which parts of the long-running tasks on a worker have an image
// and have another.
func (w *worker) mixOf(image string) (like, other float64) {
	n := 0.0
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning {
			continue
		}
		if n++; r.task.step.spec.Image == image {
			like++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return like / n, 1 - like/n
}
