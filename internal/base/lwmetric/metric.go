// Package lwmetric publishes counters, gauges and latency histograms through
// expvar, so that one page at /debug/vars shows what a process does.
package lwmetric

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicros  = 1
	highestMicros = 10 * 60 * 1_000_000
	digits        = 2
)

var registry struct {
	mu    sync.Mutex
	names map[string]expvar.Var
}

// publish returns the variable of that name, made by fresh if it is new, so
// that several nodes in one process share their counters.
func publish(name string, fresh func() expvar.Var) expvar.Var {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.names == nil {
		registry.names = make(map[string]expvar.Var)
	}
	v, ok := registry.names[name]
	if !ok {
		v = fresh()
		registry.names[name] = v
		expvar.Publish(name, v)
	}
	return v
}

// Counter returns the counter of that name, published on first use.
func Counter(name string) *expvar.Int {
	return publish(name, func() expvar.Var { return new(expvar.Int) }).(*expvar.Int)
}

// Histogram records durations and publishes their quantiles in microseconds.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns the histogram of that name, published on first use.
func NewHistogram(name string) *Histogram {
	fresh := func() expvar.Var { return NewPrivateHistogram() }
	return publish(name, fresh).(*Histogram)
}

// NewPrivateHistogram returns a histogram that is not published.
func NewPrivateHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// Observe records one duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Quantile returns the duration at quantile q, 0 to 100.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtQuantile(q)) * time.Microsecond
}

// Count returns how many durations were recorded.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// String returns the summary as JSON, as expvar asks.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, _ := json.Marshal(summary{h.h.TotalCount(), h.h.ValueAtQuantile(50), h.h.ValueAtQuantile(99), h.h.ValueAtQuantile(99.9), h.h.Max()})
	return string(data)
}
