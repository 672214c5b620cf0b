package lwdispatch

import (
	"fmt"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
)

const (
	// maxRampTime is how long after its restoring a domain counts as ramping up. It
	// bounds the effect of a restored domain on workers that join it much later.
	maxRampTime = 2 * time.Minute
	// evacuationWaitInterval is the time between two checks of one step for whether it
	// waits for an evacuated domain.
	evacuationWaitInterval = time.Second
)

// evacuations is what the core knows of evacuated and restored domains. All of it is
// empty while no domain was ever evacuated.
type evacuations struct {
	revision  lwunit.Revision                        // of the newest record
	evacuated map[lwunit.FailureDomain]bool          // only true values
	rampsTill map[lwunit.FailureDomain]time.Duration // restored domains, and until when they ramp up at the latest
}

// warmup is the warm-up of a worker as it states it.
type warmup struct {
	total    time.Duration // longest time left that was stated since the worker was last warm
	left     time.Duration // as last stated
	statedAt time.Duration // when it was, on the core's clock
	seq      int64         // of the announcement that stated it
}

// SetEvacuations puts the table of evacuated domains in force: from now on no task is
// started in them. It withdraws the starts there that no list has shown, and returns how
// many these were. Runs that have begun go on.
func (c *Core) SetEvacuations(t lwevacuation.Table) (withdrawn int) {
	before := c.evacuations
	c.evacuations = evacuations{evacuated: make(map[lwunit.FailureDomain]bool), rampsTill: make(map[lwunit.FailureDomain]time.Duration)}
	for domain, rec := range t {
		c.evacuations.revision = max(c.evacuations.revision, rec.Revision)
		if rec.Evacuated {
			c.evacuations.evacuated[domain] = true
			continue
		}
		age := time.Duration(max(0, c.wallClock-rec.At)) * time.Millisecond
		c.evacuations.rampsTill[domain] = c.now + maxRampTime - age
	}
	for _, w := range c.sortedWorkers {
		if c.isEvacuated(w) {
			withdrawn += c.withdrawEvacuated(w)
		}
		if c.isEvacuated(w) != before.evacuated[w.info.Domain] {
			w.invalidate() // steps without room search only workers that have changed
		}
	}
	return withdrawn
}

// withdrawEvacuated withdraws the starts on a worker that are not known to be carried
// out, and returns their number.
func (c *Core) withdrawEvacuated(w *worker) int {
	n := 0
	for _, r := range w.sortedRuns() {
		if r.phase == runOrdered {
			n++
			c.stopRun(r, "the domain of its worker is evacuated")
		}
	}
	return n
}

func (c *Core) isEvacuated(w *worker) bool { return c.evacuations.evacuated[w.info.Domain] }

// EvacuatedDomains returns the number of evacuated domains.
func (c *Core) EvacuatedDomains() int { return len(c.evacuations.evacuated) }

// tellEvacuated notes what the answer to a report says of the worker's domain.
func (c *Core) tellEvacuated(w *worker) {
	if told := c.isEvacuated(w); told != w.toldEvacuated {
		w.toldEvacuated = told
		w.invalidate()
	}
}

// closedTo reports whether a step may not start on a worker now because of an evacuation:
// its domain is evacuated, or its agent does not know yet that it no longer is, or the
// domain ramps up and the worker is too cold.
func (c *Core) closedTo(s *step, w *worker) bool {
	if c.isEvacuated(w) || w.toldEvacuated {
		return true
	}
	limit, ramping := c.rampLimit(w)
	if !ramping || (len(w.runs) == 0 && c.cfg.ColdSlack > 0) { // the provider allows a few tasks at once, and a worker that gets none may not warm up
		return false
	}
	return w.given()+s.spec.Need.Millicores > limit
}

// given returns the processors that the runs on a worker declare, filling ones included.
func (w *worker) given() lwunit.Millicores { return w.reserved.Millicores + w.fillingDeclared }

// rampLimit returns how many millicores a cold worker in a restored domain may be given.
// The share rises linearly while it warms up. It reports false for any other worker.
func (c *Core) rampLimit(w *worker) (lwunit.Millicores, bool) {
	if c.now >= c.evacuations.rampsTill[w.info.Domain] || w.warmup.total <= 0 {
		return 0, false
	}
	left := w.warmup.left - (c.now - w.warmup.statedAt)
	if left <= 0 {
		return 0, false
	}
	share := 1 - float64(left)/float64(w.warmup.total)
	if c.cfg.ColdOverage > 0 {
		share *= min(1, c.cfg.ColdOverage) // more than it bears only slows down what runs there
	}
	return lwunit.Millicores(share * w.millicores()), true
}

// freeForGang returns the capacity of a worker that members of a gang may use.
func (c *Core) freeForGang(w *worker) lwunit.Resources {
	free := w.info.Capacity.Sub(w.reserved)
	if limit, ramping := c.rampLimit(w); ramping {
		free.Millicores = min(free.Millicores, limit-w.given())
	}
	return free
}

// noteWarmup takes in the warm-up time that a worker states.
func (c *Core) noteWarmup(w *worker) {
	left := w.info.WarmupTimeLeft.Std()
	switch {
	case left <= 0:
		w.warmup = warmup{}
	case w.warmup.total == 0 || left != w.warmup.left || w.info.Seq != w.warmup.seq:
		w.warmup = warmup{total: max(w.warmup.total, left), left: left, statedAt: c.now, seq: w.info.Seq}
	}
}

// evacuationWait is what was logged of a step that waits for an evacuated domain.
type evacuationWait struct {
	loggedFor lwunit.Revision // evacuations.revision when the wait was logged
	checkedAt time.Duration
}

// noteEvacuationWait logs, once for each change of the evacuated domains, that a step
// without room could be started on a worker of an evacuated domain.
func (c *Core) noteEvacuationWait(s *step) {
	if len(c.evacuations.evacuated) == 0 || s.evacuationWait.loggedFor == c.evacuations.revision || c.now-s.evacuationWait.checkedAt < evacuationWaitInterval {
		return
	}
	s.evacuationWait.checkedAt = c.now
	for _, w := range c.sortedWorkers {
		usable := w.enrolled && w.listsCurrent && !w.unresponsive && !w.info.Draining && w.info.Service == s.job.queue.Service
		if !usable || !c.isEvacuated(w) || !c.fits(s, w) || (s.spec.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.spec.RequiredLabel)) {
			continue
		}
		s.evacuationWait.loggedFor = c.evacuations.revision
		for _, t := range s.tasks {
			if c.needsRun(t) {
				c.logDecision(Decision{Kind: DecidedWait, Job: s.job.spec.ID, Task: t.name, Worker: w.info.Incarnation.Worker, Reason: fmt.Sprintf("domain %s is evacuated", w.info.Domain), Age: c.now - s.readyAt})
			}
		}
		return
	}
}
