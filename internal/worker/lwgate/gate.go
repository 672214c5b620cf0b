// Package lwgate admits requests to one backend server. The gate enforces the
// limit of the server's slots: entries route by load figures that may be stale,
// and the gate refuses the excess before it reaches the server.
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
	serviceTimeWeight = 0.1 // of the newest sample in the moving mean
	minRetryAfter     = 50 * time.Millisecond
)

var (
	gateAdmitted    = lwmetric.Counter("gate_admitted_total")
	gateRefused     = lwmetric.Counter("gate_refused_total")
	gateExpired     = lwmetric.Counter("gate_expired_in_queue_total") // counts cancelled requests too
	gateQueueTime   = lwmetric.NewHistogram("gate_queue_time")
	gateServiceTime = lwmetric.NewHistogram("gate_service_time")
)

// Limits bound the requests at a backend server.
type Limits struct {
	Slots int // requests in flight
	Queue int // requests waiting for a slot
}

// Load is a backend server's load, as the agent reports it to entries with each
// answer.
type Load struct {
	Busy   int // slots in use
	Queued int
	Slots  int
}

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	mu              sync.Mutex
	limits          Limits
	busy            int
	queue           waitQueue
	nextSeq         uint64
	draining        bool
	idle            chan struct{} // closed when a draining gate has no requests left
	meanServiceTime time.Duration // moving mean of the service time
}

// New returns an open gate.
func New(l Limits) *Gate { return &Gate{limits: l, idle: make(chan struct{})} }

// SetLimits changes the limits. Requests in flight or in the queue are kept.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.admitWaiters()
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{g.busy, len(g.queue), g.limits.Slots}
}

// waiter is a request in the queue.
type waiter struct {
	deadline time.Time
	seq      uint64
	index    int // in the queue; -1 after it was admitted or removed
	admitted chan struct{}
	err      error
}

// Acquire waits for a slot until the deadline. The caller must call Release on
// the slot. After an error no slot is held, and the request must not be run.
func (g *Gate) Acquire(ctx context.Context, deadline time.Time) (*Slot, error) {
	g.mu.Lock()
	if err := g.checkAdmission(deadline); err != nil {
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
	w := &waiter{deadline: deadline, seq: g.nextSeq, admitted: make(chan struct{})}
	g.nextSeq++
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// checkAdmission returns an error if a request cannot be admitted or queued. A
// request that would wait past its deadline is refused at once, before it takes
// a place in the queue.
func (g *Gate) checkAdmission(deadline time.Time) error {
	timeLeft := time.Until(deadline)
	switch {
	case g.draining:
		return lwfault.New(lwfault.Unavailable, "the backend server is leaving")
	case timeLeft <= 0:
		return lwfault.New(lwfault.Timeout, "the deadline has passed")
	case g.busy < g.limits.Slots:
		return nil
	case len(g.queue) >= g.limits.Queue:
		return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the queue is full", RetryAfter: g.retryAfter()}
	case g.expectedWait() > timeLeft:
		return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the expected wait for a slot exceeds the deadline", RetryAfter: g.retryAfter()}
	default:
		return nil
	}
}

// expectedWait estimates the time until a request that is queued now gets a
// slot.
func (g *Gate) expectedWait() time.Duration {
	return g.meanServiceTime * time.Duration(len(g.queue)+1) / time.Duration(max(1, g.limits.Slots))
}

func (g *Gate) retryAfter() time.Duration { return max(minRetryAfter, g.expectedWait()) }

func (g *Gate) wait(ctx context.Context, w *waiter) (*Slot, error) {
	began := time.Now()
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case <-w.admitted:
	case <-timer.C:
		g.cancel(w, lwfault.New(lwfault.Timeout, "the deadline passed in the queue"))
	case <-ctx.Done():
		g.cancel(w, &lwfault.Fault{Kind: lwfault.Timeout, Detail: "the request was cancelled in the queue", Cause: ctx.Err()})
	}
	gateQueueTime.Observe(time.Since(began))
	if w.err != nil {
		gateExpired.Add(1)
		return nil, w.err
	}
	gateAdmitted.Add(1)
	return &Slot{gate: g, began: time.Now()}, nil
}

// cancel removes w from the queue. If w was admitted meanwhile, its slot goes to
// the next request.
func (g *Gate) cancel(w *waiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
	} else if w.err == nil {
		g.busy--
		g.admitWaiters()
	}
	w.err = err
}

// admitWaiters gives free slots to the queued requests in the queue's order, and
// closes idle when a draining gate has no requests left.
func (g *Gate) admitWaiters() {
	for g.busy < g.limits.Slots && len(g.queue) > 0 {
		w := heap.Pop(&g.queue).(*waiter)
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

// Drain makes the gate refuse new requests. The channel is closed when all
// requests that were admitted or queued before have finished.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.admitWaiters()
	return g.idle
}

// Slot is the slot of one request in flight.
type Slot struct {
	gate  *Gate
	began time.Time
	once  sync.Once
}

// Release frees the slot. Further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		serviceTime := time.Since(s.began)
		gateServiceTime.Observe(serviceTime)
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.meanServiceTime == 0 {
			g.meanServiceTime = serviceTime
		}
		g.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-g.meanServiceTime))
		g.busy--
		g.admitWaiters()
	})
}

// waitQueue is a heap by deadline, then by arrival.
type waitQueue []*waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if !q[i].deadline.Equal(q[j].deadline) {
		return q[i].deadline.Before(q[j].deadline)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
