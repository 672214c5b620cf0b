package lwhttp

import (
	"maps"
	"math"
	"sync"
	"syscall"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	defaultCallerMemory = 512 * lwunit.MiB
	descriptorShare     = 0.75 // of the process's descriptors that connections of callers may take
	idleCandidates      = 64   // connections among which the one is sought that has been idle longest

	// Estimates of the memory that a process needs for callers.
	connectionCost = 4 << 10
	requestCost    = 2 << 10
	headerFactor   = 16 // a short header field takes many times its size once it is parsed
	bodyFactor     = 4  // a body is copied as its buffer grows, and held as received, decoded and encoded for control
)

var (
	httpMemoryLimitCloses     = lwmetric.Counter("http_memory_limit_closes_total")
	httpConnectionLimitCloses = lwmetric.Counter("http_connection_limit_closes_total")
	httpCallerBytes           = lwmetric.Counter("http_caller_bytes")
)

// account bounds the memory and the connections that callers can make a process use, on all of its
// servers together: limits for each connection would multiply by their number.
type account struct {
	mu       sync.Mutex
	maxBytes int64
	maxConns int
	bytes    int64                 // sum of costs
	costs    map[*connection]int64 // of each open connection
	closing  map[*connection]bool  // that were told to close
}

// callers is the account of this process.
var callers = &account{
	maxBytes: int64(defaultCallerMemory), maxConns: maxConnections(),
	costs: make(map[*connection]int64), closing: make(map[*connection]bool),
}

// LimitCallerMemory sets the memory, in bytes, that callers of all servers of this process
// can make it use for their requests, answers and connections. Beyond it the connection that
// uses most is closed.
func LimitCallerMemory(limit lwunit.Bytes) {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.maxBytes = int64(limit)
}

// maxConnections returns how many connections callers may open to this process. The other
// descriptors are left for files and for connections to other processes.
func maxConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultMaxConns
	}
	return int(min(math.MaxInt32, descriptorShare*float64(limit.Cur)))
}

// add counts a new connection. Beyond the limit it closes one that has been idle for long, or
// the new one if each of some others is in use.
func (a *account) add(c *connection) {
	a.mu.Lock()
	a.set(c, connectionCost)
	full := len(a.costs) > a.maxConns
	var sample []*connection
	for other := range a.costs {
		if len(sample) == idleCandidates || !full {
			break
		}
		if other != c {
			sample = append(sample, other)
		}
	}
	a.mu.Unlock()
	if !full {
		return
	}
	victim, since := c, time.Now()
	for _, other := range sample {
		if at, idle := other.idleSince(); idle && at.Before(since) {
			victim, since = other, at
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.costs[victim]; open {
		httpConnectionLimitCloses.Add(1)
		a.close(victim)
	}
}

// charge updates the cost of a connection. Beyond the limit it closes the one with the
// highest cost.
func (a *account) charge(c *connection, cost int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.costs[c]; !open {
		return
	}
	a.set(c, cost)
	for a.bytes > a.maxBytes {
		var victim *connection
		for other, cost := range a.costs {
			if victim == nil || cost > a.costs[victim] {
				victim = other
			}
		}
		if victim == nil {
			return
		}
		httpMemoryLimitCloses.Add(1)
		a.close(victim)
	}
}

// closed notes that a connection has closed.
func (a *account) closed(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(c)
	delete(a.closing, c)
}

// crowded reports whether connections have to close before others are accepted.
func (a *account) crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections() > a.maxConns
}

// connections returns the number of connections that take a descriptor. The caller holds mu.
func (a *account) connections() int {
	if len(a.costs)+len(a.closing) > a.maxConns {
		maps.DeleteFunc(a.closing, func(c *connection, _ bool) bool {
			closed, _ := c.nbc.IsClosed()
			return closed
		})
	}
	return len(a.costs) + len(a.closing)
}

// close closes a connection and stops counting its memory. The caller holds mu.
func (a *account) close(c *connection) {
	a.forget(c)
	a.closing[c] = true
	c.closeLater()
}

// set and forget require mu.
func (a *account) set(c *connection, cost int64) {
	httpCallerBytes.Add(cost - a.costs[c])
	a.bytes += cost - a.costs[c]
	a.costs[c] = cost
}

func (a *account) forget(c *connection) {
	if _, open := a.costs[c]; open {
		a.set(c, 0)
		delete(a.costs, c)
	}
}
