// Package lwmetric publishes counters, gauges and latency histograms through
// expvar. Entries, agents and processes on a provider's machines serve them.
package lwmetric

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicros         = 1
	maxMicros         = 10 * 60 * 1_000_000
	significantDigits = 2 // decimal digits kept of a recorded value
)

var registry struct {
	mu   sync.Mutex
	vars map[string]expvar.Var // by name
}

// publish returns the variable with that name. It calls create for a new name
// only: expvar panics on a second publication, and several nodes may run in one
// process and share their counters.
func publish(name string, create func() expvar.Var) expvar.Var {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.vars == nil {
		registry.vars = make(map[string]expvar.Var)
	}
	v, ok := registry.vars[name]
	if !ok {
		v = create()
		registry.vars[name] = v
		expvar.Publish(name, v)
	}
	return v
}

// Counter returns the counter with that name, published on first use. It also
// serves as a gauge, since it may be decreased.
func Counter(name string) *expvar.Int {
	return publish(name, func() expvar.Var { return new(expvar.Int) }).(*expvar.Int)
}

// Histogram records durations and reports their percentiles in microseconds.
type Histogram struct {
	mu       sync.Mutex
	recorded *hdrhistogram.Histogram
}

// NewHistogram returns the histogram with that name, published on first use.
func NewHistogram(name string) *Histogram {
	create := func() expvar.Var { return NewUnpublishedHistogram() }
	return publish(name, create).(*Histogram)
}

// NewUnpublishedHistogram returns a histogram that expvar does not serve.
func NewUnpublishedHistogram() *Histogram {
	return &Histogram{recorded: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Observe records d. Values outside 1 µs to 10 minutes are recorded as the
// nearest limit.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.recorded.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Percentile returns the duration at the given percentile, from 0 to 100.
func (h *Histogram) Percentile(percent float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.recorded.ValueAtQuantile(percent)) * time.Microsecond
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recorded.TotalCount()
}

type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// String returns the summary as JSON, as expvar.Var requires.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, _ := json.Marshal(summary{h.recorded.TotalCount(), h.recorded.ValueAtQuantile(50), h.recorded.ValueAtQuantile(99), h.recorded.ValueAtQuantile(99.9), h.recorded.Max()})
	return string(data)
}
