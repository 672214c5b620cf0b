package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	historyInterval  = 2 * time.Second
	historyRetention = 2 * time.Minute
)

// history samples the programs on each worker, so that a delayed signal is attributed
// to the programs that ran while it was measured and not to those that run now.
type history struct {
	sampledAt time.Duration
	started   bool
	samples   map[lwunit.WorkerID][]historySample
}

// historySample holds the CPU shares of the programs on a worker at one time.
type historySample struct {
	at     time.Duration
	shares []programShare
}

func newHistory() history { return history{samples: make(map[lwunit.WorkerID][]historySample)} }

// recordHistory samples the programs on each worker with a backend server.
func (c *Core) recordHistory(r *round) {
	h := &c.history
	if h.started && r.now-h.sampledAt < historyInterval {
		return
	}
	h.sampledAt, h.started = r.now, true
	for _, w := range r.workers {
		id := w.Spec.ID
		if !r.state.HasBackend(id) {
			delete(h.samples, id)
			continue
		}
		samples := append(h.samples[id], historySample{r.now, c.programShares(r.state, id)})
		for len(samples) > 0 && r.now-samples[0].at > historyRetention {
			samples = samples[1:]
		}
		h.samples[id] = samples
	}
}

// meanShares returns the mean CPU shares of the programs that ran on a worker in
// a span of time, in the order in which they appeared. The span also covers the
// last sample before it, which may still apply.
func (h *history) meanShares(w lwunit.WorkerID, from, to time.Duration) []programShare {
	sums := make(map[string]float64)
	var order []string
	n := 0
	for _, m := range h.samples[w] {
		if m.at < from-historyInterval || m.at > to {
			continue
		}
		n++
		for _, p := range m.shares {
			if _, ok := sums[p.program]; !ok {
				order = append(order, p.program)
			}
			sums[p.program] += p.share
		}
	}
	means := make([]programShare, 0, len(order))
	for _, name := range order {
		means = append(means, programShare{name, sums[name] / float64(n)})
	}
	return means
}
