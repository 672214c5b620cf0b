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

// Tracker remembers renewals since this replica began to lead. It is not safe
// for concurrent use. Times are of this process's monotonic clock.
type Tracker struct {
	cfg     Config
	since   time.Duration
	renewed map[lwunit.WorkerID]time.Duration
	losing  map[lwunit.WorkerID]bool
}

// NewTracker returns the tracker of a leader that took office at now.
func NewTracker(cfg Config, now time.Duration) *Tracker {
	return &Tracker{cfg: cfg, since: now, renewed: make(map[lwunit.WorkerID]time.Duration), losing: make(map[lwunit.WorkerID]bool)}
}

// Renew extends the leases of a worker. It refuses once the worker is being
// given up, until it has registered again.
func (t *Tracker) Renew(w lwunit.WorkerID, now time.Duration) (time.Duration, bool) {
	if t.losing[w] {
		return 0, false
	}
	t.renewed[w] = now
	return t.cfg.Lease, true
}

// Registered readmits a worker.
func (t *Tracker) Registered(w lwunit.WorkerID, now time.Duration) {
	delete(t.losing, w)
	t.renewed[w] = now
}

// Silence returns how long ago a worker's leases were last renewed, at most.
func (t *Tracker) Silence(w lwunit.WorkerID, now time.Duration) time.Duration {
	at, ok := t.renewed[w]
	if !ok {
		at = t.since
	}
	return now - at
}

// Ended returns those of the given workers whose leases have surely ended, in
// order of their names. From then on Renew refuses them.
func (t *Tracker) Ended(workers []lwunit.WorkerID, now time.Duration) []lwunit.WorkerID {
	var ended []lwunit.WorkerID
	for _, w := range workers {
		if t.losing[w] || t.Silence(w, now) > t.cfg.End() {
			t.losing[w] = true
			ended = append(ended, w)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	return ended
}
