package lwlink

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	attemptTimeout    = 2 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

var (
	clientRetries   = lwmetric.Counter("control_client_retries_total")
	clientRedirects = lwmetric.Counter("control_client_redirects_total")
)

// Client reaches the control replicas. Every command is idempotent, for example by
// its ticket number, job id or claim key, so the client resends a command whose
// answer was lost until its context ends.
type Client struct {
	endpoint  *lwrpc.Endpoint
	addresses []string // RPC addresses of the known replicas; guarded by mu, as addresses are added later

	mu           sync.Mutex
	leader       string    // address of the last known leader, or ""
	nextIndex    int       // into addresses: the replica asked last while no leader was known
	watchAddress string    // replica that this client watches, or ""
	leaderLostAt time.Time // time of the first failed attempt since the last successful one; zero if none failed
}

// NewClient returns a client for the replicas at the given RPC addresses.
func NewClient(e *lwrpc.Endpoint, addresses []string) *Client {
	return &Client{endpoint: e, addresses: slices.Clone(addresses), nextIndex: rand.IntN(max(1, len(addresses)))}
}

// nextAddress returns the address of the leader if it is known, else of the next
// replica in turn.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.nextIndex = (c.nextIndex + 1) % len(c.addresses)
	return c.addresses[c.nextIndex]
}

// updateLeader updates the known leader after an attempt at an address. Any error
// counts as a failed attempt, even a refusal by the leader.
func (c *Client) updateLeader(from string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = from
		c.leaderLostAt = time.Time{}
		return
	}
	if c.leaderLostAt.IsZero() {
		c.leaderLostAt = time.Now()
	}
	if c.leader == from {
		c.leader = ""
	}
	if f := lwfault.As(err); f.Kind == lwfault.NotLeader && f.Leader != "" {
		clientRedirects.Add(1)
		c.leader = f.Leader
	}
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

// callLeader sends a request to the leader, following redirects and retrying
// with jittered exponential backoff until ctx ends.
func (c *Client) callLeader(ctx context.Context, method string, params, result any) error {
	delay := initialRetryDelay
	for {
		address := c.nextAddress()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := c.endpoint.Peer(address).Call(attempt, method, params, result)
		cancel()
		c.updateLeader(address, err)
		if err == nil || !isRetryable(err) {
			return err
		}
		if lwfault.KindOf(err) == lwfault.Timeout {
			// A network partition does not close the connection.
			c.endpoint.Peer(address).Disconnect()
		}
		clientRetries.Add(1)
		select {
		case <-ctx.Done():
			return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader answered in time", RetryAfter: time.Second, Cause: err}
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRetryDelay)
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
// It makes one attempt, since the agent sends newer reports at the next interval.
func (c *Client) Sync(ctx context.Context, s Sync) (SyncReply, error) {
	address := c.nextAddress()
	var res SyncReply
	err := c.endpoint.Peer(address).Call(ctx, MethodSync, s, &res)
	c.updateLeader(address, err)
	if lwfault.KindOf(err) == lwfault.Timeout && err != nil {
		c.endpoint.Peer(address).Disconnect()
	}
	return res, err
}

// Watch sends a long poll for changes to one replica, chosen at random and kept
// while it answers. Watches thus spread over all replicas, and the leader's load
// does not grow with the number of nodes.
func (c *Client) Watch(ctx context.Context, w Watch) (WatchReply, error) {
	c.mu.Lock()
	if c.watchAddress == "" {
		c.watchAddress = c.addresses[rand.IntN(len(c.addresses))]
	}
	address := c.watchAddress
	c.mu.Unlock()
	var res WatchReply
	err := c.endpoint.Peer(address).Call(ctx, MethodWatch, w, &res)
	if err != nil {
		c.mu.Lock()
		c.watchAddress = ""
		c.mu.Unlock()
		if lwfault.KindOf(err) == lwfault.Timeout {
			c.endpoint.Peer(address).Disconnect()
		}
	}
	return res, err
}
