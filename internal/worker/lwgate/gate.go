// Package lwgate admits requests to one backend server. It is the authority
// over the server's slots: entries may be stale, but what they send in excess
// is refused here before it can reach the server.
package lwgate

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	meanWeight = 0.1 // of the newest service time in the moving mean
	minRetry   = 50 * time.Millisecond
)

var (
	gateAdmitted    = lwmetric.Counter("gate_admitted_total")
	gateRefused     = lwmetric.Counter("gate_refused_total")
	gateExpired     = lwmetric.Counter("gate_expired_in_queue_total")
	gateQueueTime   = lwmetric.NewHistogram("gate_queue_time")
	gateServiceTime = lwmetric.NewHistogram("gate_service_time")
)

// Limits bound a backend server.
type Limits struct {
	Slots int // requests at once
	Queue int // requests that may wait
}

// Load is a backend server's load, as it is told to entries with each answer.
type Load struct {
	Busy   int
	Queued int
	Slots  int
}

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	busy     int
	queue    waitQueue
	nextSeq  uint64
	draining bool
	idle     chan struct{} // closed once draining and nothing is in flight
	mean     time.Duration // moving mean of the service time
}

// New returns a gate that is open.
func New(l Limits) *Gate { return &Gate{limits: l, idle: make(chan struct{})} }

// SetLimits changes the limits; what is in flight is not cut off.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.admit()
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{g.busy, len(g.queue), g.limits.Slots}
}

// waiting is a request in the queue.
type waiting struct {
	deadline time.Time
	seq      uint64
	index    int // in the queue; -1 once it left
	admitted chan struct{}
	err      error
}

// Enter waits for a slot until the deadline. The caller must Leave the slot.
// An error means that the request was not run.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (*Slot, error) {
	g.mu.Lock()
	if err := g.refuse(deadline); err != nil {
		g.mu.Unlock()
		gateRefused.Add(1)
		return nil, err
	}
	if g.busy < g.limits.Slots && len(g.queue) == 0 {
		g.busy++
		g.mu.Unlock()
		gateAdmitted.Add(1)
		return &Slot{gate: g, began: time.Now()}, nil
	}
	w := &waiting{deadline: deadline, seq: g.nextSeq, admitted: make(chan struct{})}
	g.nextSeq++
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// refuse decides early: a request that would wait past its deadline is refused
// while that is still cheap.
func (g *Gate) refuse(deadline time.Time) error {
	left := time.Until(deadline)
	switch {
	case g.draining:
		return lwfault.New(lwfault.Unavailable, "the backend server is leaving")
	case left <= 0:
		return lwfault.New(lwfault.Timeout, "the deadline has passed")
	case g.busy < g.limits.Slots:
		return nil
	case len(g.queue) >= g.limits.Queue:
		return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the queue is full", RetryAfter: g.retryAfter()}
	case g.expectedWait() > left:
		return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the queue is longer than the deadline", RetryAfter: g.retryAfter()}
	default:
		return nil
	}
}

// expectedWait is the time until the last in the queue gets a slot.
func (g *Gate) expectedWait() time.Duration {
	return g.mean * time.Duration(len(g.queue)+1) / time.Duration(max(1, g.limits.Slots))
}

func (g *Gate) retryAfter() time.Duration { return max(minRetry, g.expectedWait()) }

func (g *Gate) wait(ctx context.Context, w *waiting) (*Slot, error) {
	began := time.Now()
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case <-w.admitted:
	case <-timer.C:
		g.abandon(w, lwfault.New(lwfault.Timeout, "the deadline passed in the queue"))
	case <-ctx.Done():
		g.abandon(w, &lwfault.Fault{Kind: lwfault.Timeout, Detail: "the caller left", Cause: ctx.Err()})
	}
	gateQueueTime.Observe(time.Since(began))
	if w.err != nil {
		gateExpired.Add(1)
		return nil, w.err
	}
	gateAdmitted.Add(1)
	return &Slot{gate: g, began: time.Now()}, nil
}

// abandon takes w out of the queue; if it was admitted meanwhile its slot
// goes to the next.
func (g *Gate) abandon(w *waiting, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
	} else if w.err == nil {
		g.busy--
		g.admit()
	}
	w.err = err
}

// admit gives free slots to those whose deadlines are nearest.
func (g *Gate) admit() {
	for g.busy < g.limits.Slots && len(g.queue) > 0 {
		w := heap.Pop(&g.queue).(*waiting)
		g.busy++
		close(w.admitted)
	}
	if g.draining && g.busy == 0 && len(g.queue) == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// Drain refuses new requests at once. The channel is closed when what was
// admitted or queued before has finished.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.admit()
	return g.idle
}

// Slot is one request in flight.
type Slot struct {
	gate  *Gate
	began time.Time
	once  sync.Once
}

// Leave frees the slot; further calls do nothing.
func (s *Slot) Leave() {
	s.once.Do(func() {
		spent := time.Since(s.began)
		gateServiceTime.Observe(spent)
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.mean == 0 {
			g.mean = spent
		}
		g.mean += time.Duration(meanWeight * float64(spent-g.mean))
		g.busy--
		g.admit()
	})
}

// waitQueue is a heap by deadline, then by arrival.
type waitQueue []*waiting

// Len is part of heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if !q[i].deadline.Equal(q[j].deadline) {
		return q[i].deadline.Before(q[j].deadline)
	}
	return q[i].seq < q[j].seq
}

// Swap is part of heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is part of heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiting)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is part of heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
