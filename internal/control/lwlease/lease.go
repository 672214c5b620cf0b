// Package lwlease tracks when the leases of each worker have surely ended. It
// exists so that a task is placed elsewhere only once it cannot run where it
// was. It keeps no durable state: a new leader assumes that its predecessor
// renewed every lease at the last moment it could.
package lwlease

import (
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Config bounds the life of a lease.
type Config struct {
	Lease     time.Duration // from when the agent sent its sync
	StopTime  time.Duration // the platform needs at most this to stop a task
	ClockRate float64       // largest relative difference of clock rates
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{Lease: 10 * time.Second, StopTime: 2 * time.Second, ClockRate: 0.01}
}

// End returns how long after a renewal its lease has surely ended everywhere.
func (c Config) End() time.Duration {
	return time.Duration(float64(c.Lease)*(1+2*c.ClockRate)) + c.StopTime
}

// Holder is a worker under one registration. A worker that registers again is
// another holder, so that giving up the former cannot touch the latter.
type Holder struct {
	Worker       lwunit.WorkerID
	Registration lwunit.Revision
}

// Tracker remembers renewals since this replica began to lead. It is not safe
// for concurrent use. Times are of this process's monotonic clock.
type Tracker struct {
	cfg     Config
	holders map[lwunit.WorkerID]*holding
}

// holding is what is known of a worker's present registration.
type holding struct {
	registration lwunit.Revision
	renewed      time.Duration // last renewal, or when the registration was first seen
	losing       bool
}

// NewTracker returns the tracker of a leader that took office just now.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, holders: make(map[lwunit.WorkerID]*holding)}
}

// see returns the holding of h, begun afresh if the registration is new. A
// leader that sees one for the first time counts from then: its predecessor
// may have renewed it until now.
func (t *Tracker) see(h Holder, now time.Duration) *holding {
	k := t.holders[h.Worker]
	if k == nil || k.registration < h.Registration {
		k = &holding{registration: h.Registration, renewed: now}
		t.holders[h.Worker] = k
	}
	return k
}

// Renew extends the leases of a worker. It refuses once the registration is
// being given up, or is older than one seen.
func (t *Tracker) Renew(h Holder, now time.Duration) (time.Duration, bool) {
	k := t.see(h, now)
	if k.losing || k.registration != h.Registration {
		return 0, false
	}
	k.renewed = now
	return t.cfg.Lease, true
}

// Ended returns those of the given holders whose leases have surely ended, in
// order of their names. From then on Renew refuses them.
func (t *Tracker) Ended(holders []Holder, now time.Duration) []Holder {
	var ended []Holder
	for _, h := range holders {
		k := t.see(h, now)
		if k.registration != h.Registration {
			continue
		}
		if k.losing || now-k.renewed > t.cfg.End() {
			k.losing = true
			ended = append(ended, h)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].Worker < ended[j].Worker })
	return ended
}
