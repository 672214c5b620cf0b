package lwlink

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	attemptTimeout    = 2 * time.Second // of the first attempt of a call
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond // shorter than an election
)

var (
	clientRetries   = lwmetric.Counter("control_client_retries_total")
	clientRedirects = lwmetric.Counter("control_client_redirects_total")
)

// Client reaches the control replicas. Every command is idempotent, for example by
// its ticket number, job id or claim key, so the client resends a command whose
// answer was lost until its context ends.
type Client struct {
	transport transport

	mu           sync.Mutex
	replicas     rotation
	watchAddress string        // replica that this client watches, or ""
	leaderLostAt time.Time     // time of the first attempt that reached no leader since one was reached; zero if there is none
	leaderFound  chan struct{} // closed when a leader is reached again
}

// NewClient returns a client for the replicas at the given RPC addresses.
func NewClient(e *lwrpc.Endpoint, addresses []string) *Client {
	return newClient(endpointTransport{e}, addresses)
}

func newClient(t transport, addresses []string) *Client {
	return &Client{transport: t, replicas: newRotation(addresses), leaderFound: make(chan struct{})}
}

// call makes one attempt at an address and records its outcome. An attempt without
// an answer does not close the connection, which other calls share: the endpoint
// closes it once the peer does not answer pings either.
func (c *Client) call(ctx context.Context, address, method string, params, result any) error {
	err := c.transport.Call(ctx, address, method, params, result)
	c.recordAttempt(address, err)
	return err
}

// recordAttempt records the outcome of an attempt at an address.
func (c *Client) recordAttempt(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas.update(address, err)
	switch {
	case !provesLeader(err):
		if c.leaderLostAt.IsZero() {
			c.leaderLostAt = time.Now()
		}
	case !c.leaderLostAt.IsZero():
		c.leaderLostAt = time.Time{}
		close(c.leaderFound)
		c.leaderFound = make(chan struct{})
	}
}

// awaitLeader waits for the given time, or until another call has reached a leader.
// It returns false if ctx ends before.
func (c *Client) awaitLeader(ctx context.Context, d time.Duration) bool {
	c.mu.Lock()
	found := c.leaderFound
	c.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-found:
	case <-timer.C:
	}
	return true
}

// isRetryable reports whether another attempt can succeed. The fault of a command
// that was applied is in the result of the call, not in its error.
func isRetryable(err error) bool {
	switch lwfault.KindOf(err) {
	case lwfault.NotLeader, lwfault.Unavailable, lwfault.Timeout, lwfault.Overloaded:
		return true
	default:
		return false
	}
}

// callLeader sends a request to the leader, with retries until ctx ends.
func (c *Client) callLeader(ctx context.Context, method string, params, result any) error {
	s := search{client: c, timeout: attemptTimeout, delay: initialRetryDelay, maxDelay: maxRetryDelay}
	for {
		err := s.attempt(ctx, method, params, result)
		if err == nil || !isRetryable(err) {
			return err
		}
		clientRetries.Add(1)
		if !c.awaitLeader(ctx, s.pause(err)) {
			return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader answered in time", RetryAfter: time.Second, Cause: err}
		}
	}
}

// callLeaderOnce sends a request to the leader, for which it asks each replica at
// most once.
func (c *Client) callLeaderOnce(ctx context.Context, method string, params, result any) error {
	s := search{client: c, timeout: attemptTimeout, delay: initialRetryDelay, maxDelay: maxRetryDelay}
	for {
		err := s.attempt(ctx, method, params, result)
		if err == nil || !isRetryable(err) || ctx.Err() != nil || s.pause(err) > 0 {
			return err
		}
	}
}

// Propose sends a command and returns its outcome. After an error of kind
// Unavailable the command may or may not have taken effect; it is safe to send
// it again.
func (c *Client) Propose(ctx context.Context, cmd lwstate.Command) (Outcome, error) {
	params, err := EncodeProposal(cmd)
	if err != nil {
		return Outcome{}, err
	}
	var res proposeResult
	if err := c.callLeader(ctx, MethodPropose, params, &res); err != nil {
		return Outcome{}, err
	}
	return res.outcome()
}

// Query reads state that is confirmed by a quorum.
func (c *Client) Query(ctx context.Context, q Query) (QueryReply, error) {
	var res QueryReply
	err := c.callLeader(ctx, MethodQuery, q, &res)
	return res, err
}

// Replace asks the leader to replace the voter at address from by the learner at
// address to.
func (c *Client) Replace(ctx context.Context, from, to string) error {
	params := struct {
		Old string `json:"old"`
		New string `json:"new"`
	}{from, to}
	return c.callLeader(ctx, MethodReplace, params, nil)
}

// Sync sends an agent's reports to the leader and renews the leases of its worker.
// It does not retry, since the agent sends newer reports at the next interval.
func (c *Client) Sync(ctx context.Context, s Sync) (SyncReply, error) {
	var res SyncReply
	err := c.callLeaderOnce(ctx, MethodSync, s, &res)
	return res, err
}

// Watch sends a long poll for changes to one replica, chosen at random and kept
// while it answers. Watches thus spread over all replicas, and the leader's load
// does not grow with the number of nodes.
func (c *Client) Watch(ctx context.Context, w Watch) (WatchReply, error) {
	c.mu.Lock()
	if c.watchAddress == "" {
		c.watchAddress = c.replicas.addresses[rand.IntN(len(c.replicas.addresses))]
	}
	address := c.watchAddress
	c.mu.Unlock()
	var res WatchReply
	err := c.transport.Call(ctx, address, MethodWatch, w, &res)
	if err != nil {
		c.mu.Lock()
		c.watchAddress = ""
		c.mu.Unlock()
	}
	return res, err
}
