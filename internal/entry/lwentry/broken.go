package lwentry

import (
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

var entryRefusedBroken = lwmetric.Counter("entry_refused_after_broken_attempts_total")

const (
	maxBrokenAttempts   = 2           // of one copy of a request
	maxBrokenInMemory   = 3           // of all copies of a request within brokenMemory, after which it is refused
	brokenMemory        = time.Minute // from a request's last broken attempt
	maxBrokenRemembered = 4096        // requests; the oldest are forgotten first
)

// brokenAttempts remembers requests during which the connection to a backend server
// broke: a request may crash each backend server that runs it, and its caller sends it
// again.
type brokenAttempts struct {
	mu       sync.Mutex
	requests map[brokenKey]brokenRequest
}

// brokenKey identifies a request across its copies.
type brokenKey struct {
	service lwunit.ServiceName
	digest  string
}

func brokenKeyOf(q *request) brokenKey { return brokenKey{q.serviceName, requestDigest(q)} }

type brokenRequest struct {
	attempts int
	last     time.Time
}

// record counts a broken attempt of a request.
func (b *brokenAttempts) record(q *request) {
	key := brokenKeyOf(q)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests == nil {
		b.requests = make(map[brokenKey]brokenRequest)
	}
	if len(b.requests) >= maxBrokenRemembered {
		b.forget()
	}
	x := b.current(key)
	b.requests[key] = brokenRequest{x.attempts + 1, time.Now()}
}

// current returns what is remembered of a request. The caller holds mu.
func (b *brokenAttempts) current(key brokenKey) brokenRequest {
	x := b.requests[key]
	if time.Since(x.last) >= brokenMemory {
		return brokenRequest{}
	}
	return x
}

// forget forgets what is too old and, if that is nothing, the oldest request. The
// caller holds mu.
func (b *brokenAttempts) forget() {
	var oldest brokenKey
	for key, x := range b.requests {
		if time.Since(x.last) >= brokenMemory {
			delete(b.requests, key)
		} else if oldest.digest == "" || x.last.Before(b.requests[oldest].last) {
			oldest = key
		}
	}
	if len(b.requests) >= maxBrokenRemembered {
		delete(b.requests, oldest)
	}
}

func (b *brokenAttempts) isEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests) == 0
}

// refusal returns the error with which a request is refused because too many attempts
// of it were broken, or nil.
func (b *brokenAttempts) refusal(q *request) error {
	if b.isEmpty() {
		return nil // spares the digest
	}
	key := brokenKeyOf(q)
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.current(key)
	if x.attempts < maxBrokenInMemory {
		return nil
	}
	entryRefusedBroken.Add(1)
	return &lwfault.Fault{
		Kind: lwfault.Unavailable, Detail: "the connections to several backend servers broke while they ran this request",
		RetryAfter: brokenMemory - time.Since(x.last),
	}
}

// isBroken reports whether the connection to the backend server, or to its agent, broke
// after the request was sent.
func (a attempt) isBroken() bool {
	if a.err == nil || a.notRun {
		return false
	}
	kind := lwfault.KindOf(a.err)
	return a.res == nil && kind == lwfault.Unavailable || a.res != nil && kind == lwfault.Unknown
}
