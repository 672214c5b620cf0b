// Package lwconfig holds the configuration of job queues: a versioned document
// that replaces the one before it as a whole. What a document leaves out is
// gone; the highest version is in force.
package lwconfig

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Version orders configurations.
type Version int64

// QueueKey names a queue by the host and the path prefix that callers use.
type QueueKey struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Priority orders queues; 0 comes first and may preempt others.
type Priority int

// Queue takes jobs for the workers of one service.
type Queue struct {
	Key         QueueKey           `json:"key"`
	Name        string             `json:"name"`
	Service     lwunit.ServiceName `json:"service"`
	Timeout     lwunit.Duration    `json:"timeout"`        // longest time a caller's request may take
	Target      lwunit.Duration    `json:"target_latency"` // allowed beside the work itself
	Stretch     float64            `json:"stretch"`        // times the longest chain of work that a job may take
	Priority    Priority           `json:"priority"`
	MaxAttempts int                `json:"max_attempts"` // runs of one task that may fail
	Advice      *Advice            `json:"advice,omitempty"`
}

// Advice says how the advice service decides which workers may run a step.
type Advice struct {
	Decide    lwunit.Duration `json:"decide"`     // time of one call
	PerWorker lwunit.Duration `json:"per_worker"` // more of it for each worker named
	Valid     lwunit.Duration `json:"valid"`      // life of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name      lwunit.ServiceName `json:"name"`
	Health    string             `json:"health"`             // path of a worker's health check
	Admission bool               `json:"admission"`          // its workers refuse what does not fit
	Standby   bool               `json:"standby,omitempty"`  // its machines are off
	MaxConns  int                `json:"max_conns"`          // open connections to one worker
	Protocol  string             `json:"protocol,omitempty"` // spoken by its workers
}

// Document is one configuration.
type Document struct {
	Version  Version   `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	// Source is the document as the operator sent it, which a read returns
	// unchanged.
	Source []byte `json:"source"`

	packed  []byte           // the stored form, if it was made
	places  map[QueueKey]int // queues by key
	lengths []int            // of prefixes, the longest first
}

// Check returns why a document cannot be put in force.
func (d *Document) Check() error {
	services := make(map[lwunit.ServiceName]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return lwfault.New(lwfault.Invalid, "service %q is unnamed or named twice", s.Name)
		}
		services[s.Name] = true
	}
	keys := make(map[QueueKey]bool, len(d.Queues))
	for _, q := range d.Queues {
		switch {
		case q.Key.Prefix == "":
			return lwfault.New(lwfault.Invalid, "queue %q has no path prefix", q.Name)
		case keys[q.Key]:
			return lwfault.New(lwfault.Invalid, "queue %q has the host and prefix of another", q.Name)
		case !services[q.Service]:
			return lwfault.New(lwfault.Invalid, "queue %q names unknown service %q", q.Name, q.Service)
		case q.Timeout <= 0:
			return lwfault.New(lwfault.Invalid, "queue %q needs a timeout over 0", q.Name)
		}
		keys[q.Key] = true
	}
	return nil
}

// index prepares Find, which is called for each request.
func (d *Document) index() {
	d.places = make(map[QueueKey]int, len(d.Queues))
	d.lengths = nil
	for i, q := range d.Queues {
		d.places[q.Key] = i
		if n := len(q.Key.Prefix); !slices.Contains(d.lengths, n) {
			d.lengths = append(d.lengths, n)
		}
	}
	slices.SortFunc(d.lengths, func(a, b int) int { return b - a })
}

// Prepare makes a document ready for many readers at a time.
func (d *Document) Prepare() {
	if d.places == nil {
		d.index()
	}
}

// Find returns the queue with the longest prefix of path on a host.
func (d *Document) Find(host, path string) (Queue, bool) {
	if d.places == nil {
		d.index()
	}
	for _, n := range d.lengths {
		if n > len(path) {
			continue
		}
		if i, ok := d.places[QueueKey{host, path[:n]}]; ok {
			return d.Queues[i], true
		}
	}
	return Queue{}, false
}

// Queue returns the queue of a key.
func (d *Document) Queue(key QueueKey) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Key == key {
			return q, true
		}
	}
	return Queue{}, false
}
