package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// maxLeaseTime returns the time after a report by which all runs of the worker
// have ended.
func (c *Core) maxLeaseTime() time.Duration { return c.longestLeaseTime(c.cfg.Lease) }

// longestLeaseTime returns the longest time that a lease takes on a worker's clock, with slack.
func (c *Core) longestLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+c.cfg.MaxClockDrift)) + c.cfg.LeaseSlack
}

// renewLease notes that a lease was granted to a worker.
func (c *Core) renewLease(w *worker) {
	w.leaseEnd = max(w.minLeaseEnd, c.now+c.maxLeaseTime())
}

// countLongLease allows for a lease that a call for an earlier incarnation with the same id sets.
// No such call is carried out any more once the worker has received its own, higher token, which
// its first lists show.
func (c *Core) countLongLease(w *worker) {
	if w.longLease && !w.listsCurrent {
		w.minLeaseEnd = c.now + c.longestLeaseTime(c.cfg.MaxWorkerLease)
	}
}

// endLongLease has a worker counted with its granted lease once a lease that a call for an earlier
// incarnation may have set has ended, and records that for the next leader.
func (c *Core) endLongLease(w *worker) {
	if w.longLease && w.listsCurrent && c.now >= w.minLeaseEnd {
		w.longLease, w.minLeaseEnd = false, 0
		c.effects.Enrol = append(c.effects.Enrol, lwjob.RosterEntry{Incarnation: w.info.Incarnation, Agent: w.info.Agent})
	}
}
