// Package lwlease tracks when the leases of each worker have certainly expired, so
// that a task is placed elsewhere only once it cannot run where it was. It keeps
// no durable state: a new leader assumes that its predecessor renewed every lease
// at the last possible moment. Package lwdispatch has its own leases, for the runs
// of queue jobs.
package lwlease

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Config bounds how long a lease may last.
type Config struct {
	Lease         time.Duration // from when the agent sent the sync that renewed it
	StopTime      time.Duration // longest time that the platform takes to stop a task
	MaxClockDrift float64       // largest relative difference of clock rates
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{Lease: 10 * time.Second, StopTime: 2 * time.Second, MaxClockDrift: 0.01}
}

// ExpiryDelay returns how long after a renewal the lease has certainly expired and
// the worker's tasks are stopped.
func (c Config) ExpiryDelay() time.Duration {
	return time.Duration(float64(c.Lease)*(1+2*c.MaxClockDrift)) + c.StopTime
}

// Holder is a worker under one registration. A worker that registers again is
// another holder, so that the expiry of the former cannot affect it.
type Holder struct {
	Worker       lwunit.WorkerID
	Registration lwunit.Revision
}

// Tracker records renewals since this replica became the leader. It is not safe
// for concurrent use. Times are of this process's monotonic clock.
type Tracker struct {
	cfg    Config
	leases map[lwunit.WorkerID]*leaseState
}

// leaseState is the state of the leases under a worker's newest known
// registration.
type leaseState struct {
	registration lwunit.Revision
	renewed      time.Duration // when last renewed, or when the registration was first known
	expired      bool          // for good; Renew refuses the registration
}

// NewTracker returns the tracker of a new leader.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, leases: make(map[lwunit.WorkerID]*leaseState)}
}

// stateOf returns the state of h's worker; a newer registration replaces the known
// one. A registration counts as renewed when it is first known, since the
// predecessor of this leader may have renewed its leases until then.
func (t *Tracker) stateOf(h Holder, now time.Duration) *leaseState {
	lease := t.leases[h.Worker]
	if lease == nil || lease.registration < h.Registration {
		lease = &leaseState{registration: h.Registration, renewed: now}
		t.leases[h.Worker] = lease
	}
	return lease
}

// Renew extends the leases of a worker and returns how long they last. It refuses
// a registration whose leases have expired or that is older than the known one.
func (t *Tracker) Renew(h Holder, now time.Duration) (time.Duration, bool) {
	lease := t.stateOf(h, now)
	if lease.expired || lease.registration != h.Registration {
		return 0, false
	}
	lease.renewed = now
	return t.cfg.Lease, true
}

// Expired returns those of the given holders whose leases have certainly expired,
// in the order of their names. From then on Renew refuses them. It leaves out
// registrations that are older than the known one.
func (t *Tracker) Expired(holders []Holder, now time.Duration) []Holder {
	var expired []Holder
	for _, h := range holders {
		lease := t.stateOf(h, now)
		if lease.registration != h.Registration {
			continue
		}
		if lease.expired || now-lease.renewed > t.cfg.ExpiryDelay() {
			lease.expired = true
			expired = append(expired, h)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].Worker < expired[j].Worker })
	return expired
}
