package lwplacement

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	historyEvery = 2 * time.Second
	historyKept  = 2 * time.Minute
)

// history remembers what ran on each worker, so that a lagging signal is
// explained by what ran while it was measured and not by what runs now.
type history struct {
	at    time.Duration
	begun bool
	past  map[lwunit.WorkerID][]moment
}

type moment struct {
	at    time.Duration
	parts []part
}

func newHistory() history { return history{past: make(map[lwunit.WorkerID][]moment)} }

// remember notes what runs beside services now.
func (c *Core) remember(r *round) {
	h := &c.history
	if h.begun && r.now-h.at < historyEvery {
		return
	}
	h.at, h.begun = r.now, true
	for _, w := range r.workers {
		id := w.Spec.ID
		if !r.state.HasBackend(id) {
			delete(h.past, id)
			continue
		}
		list := append(h.past[id], moment{r.now, c.partsOn(r.state, id)})
		for len(list) > 0 && r.now-list[0].at > historyKept {
			list = list[1:]
		}
		h.past[id] = list
	}
}

// between returns the mean shares of the programs that ran on a worker in a
// span of time, in the order in which they appeared.
func (h *history) between(w lwunit.WorkerID, from, to time.Duration) []part {
	sums := make(map[string]float64)
	var order []string
	n := 0
	for _, m := range h.past[w] {
		if m.at < from-historyEvery || m.at > to {
			continue
		}
		n++
		for _, p := range m.parts {
			if _, ok := sums[p.program]; !ok {
				order = append(order, p.program)
			}
			sums[p.program] += p.share
		}
	}
	parts := make([]part, 0, len(order))
	for _, name := range order {
		parts = append(parts, part{name, sums[name] / float64(n)})
	}
	return parts
}
