// Package lwconfig defines the configuration of job queues: a versioned document
// that replaces the previous one as a whole. What a document leaves out no longer
// exists; the highest version is in force.
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

// Priority orders queues; 0 comes first. It decides between steps whose jobs are
// equally late, and does not stop tasks that run.
type Priority int

// Queue accepts jobs for the workers of one service. A job is on time if it ends
// within Stretch times its longest chain of work, plus TargetLatency.
type Queue struct {
	Key           QueueKey           `json:"key"`
	Name          string             `json:"name"`
	Service       lwunit.ServiceName `json:"service"`
	Timeout       lwunit.Duration    `json:"timeout"`        // longest time that a caller's request may take
	TargetLatency lwunit.Duration    `json:"target_latency"` // added to the time for the work itself
	Stretch       float64            `json:"stretch"`        // factor of the job's longest chain of work; under 1 counts as 1
	Priority      Priority           `json:"priority"`
	MaxAttempts   int                `json:"max_attempts"` // failed runs of one task that fail the job, unless the task is long-running; under 1 counts as 1
	Advice        *Advice            `json:"advice,omitempty"`
}

// Advice holds the times of the advice service, which decides which workers may run
// a step.
type Advice struct {
	CallTime       lwunit.Duration `json:"decide"`     // time that one call may take
	TimePerWorker  lwunit.Duration `json:"per_worker"` // added for each worker that a call names
	TicketLifetime lwunit.Duration `json:"valid"`      // how long a ticket may be used, from when it was requested
}

// Service is a pool of workers. Only its name is used; the other fields keep the
// settings of the operator's document.
type Service struct {
	Name           lwunit.ServiceName `json:"name"`
	HealthPath     string             `json:"health"`             // path of a worker's health check
	AdmissionCheck bool               `json:"admission"`          // its workers refuse tasks that do not fit
	Standby        bool               `json:"standby,omitempty"`  // its machines are switched off
	MaxConns       int                `json:"max_conns"`          // limit of open connections to one worker
	Protocol       string             `json:"protocol,omitempty"` // spoken by its workers
}

// Document is one configuration. It is safe for concurrent reading once Prepare has
// been called.
type Document struct {
	Version  Version   `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	// Source is the document as the operator sent it. A read returns it
	// unchanged.
	Source []byte `json:"source"`

	packed        []byte           // the packed form, or nil if it was not kept
	queueIndexes  map[QueueKey]int // indexes into Queues, by key
	prefixLengths []int            // distinct lengths of path prefixes, longest first
}

// Check returns why a document must not be put in force, or nil.
func (d *Document) Check() error {
	services := make(map[lwunit.ServiceName]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return lwfault.New(lwfault.Invalid, "service %q has an empty or repeated name", s.Name)
		}
		services[s.Name] = true
	}
	keys := make(map[QueueKey]bool, len(d.Queues))
	for _, q := range d.Queues {
		switch {
		case q.Key.Prefix == "":
			return lwfault.New(lwfault.Invalid, "queue %q has no path prefix", q.Name)
		case keys[q.Key]:
			return lwfault.New(lwfault.Invalid, "queue %q has the host and path prefix of another queue", q.Name)
		case !services[q.Service]:
			return lwfault.New(lwfault.Invalid, "queue %q refers to unknown service %q", q.Name, q.Service)
		case q.Timeout <= 0:
			return lwfault.New(lwfault.Invalid, "queue %q must have a timeout over 0", q.Name)
		}
		keys[q.Key] = true
	}
	return nil
}

// buildIndex builds the index for Find, which is called for each request.
func (d *Document) buildIndex() {
	d.queueIndexes = make(map[QueueKey]int, len(d.Queues))
	d.prefixLengths = nil
	for i, q := range d.Queues {
		d.queueIndexes[q.Key] = i
		if n := len(q.Key.Prefix); !slices.Contains(d.prefixLengths, n) {
			d.prefixLengths = append(d.prefixLengths, n)
		}
	}
	slices.SortFunc(d.prefixLengths, func(a, b int) int { return b - a })
}

// Prepare builds the index unless there is one, which makes concurrent reading safe.
func (d *Document) Prepare() {
	if d.queueIndexes == nil {
		d.buildIndex()
	}
}

// Find returns the queue of a host with the longest prefix that path begins with.
func (d *Document) Find(host, path string) (Queue, bool) {
	if d.queueIndexes == nil {
		d.buildIndex()
	}
	for _, n := range d.prefixLengths {
		if n > len(path) {
			continue
		}
		if i, ok := d.queueIndexes[QueueKey{host, path[:n]}]; ok {
			return d.Queues[i], true
		}
	}
	return Queue{}, false
}

// Queue returns the queue with a key.
func (d *Document) Queue(key QueueKey) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Key == key {
			return q, true
		}
	}
	return Queue{}, false
}
