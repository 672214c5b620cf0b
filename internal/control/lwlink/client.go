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
	attemptTimeout = 2 * time.Second
	firstPause     = 50 * time.Millisecond
	longestPause   = time.Second
)

var (
	linkRetries   = lwmetric.Counter("control_client_retries_total")
	linkRedirects = lwmetric.Counter("control_client_redirects_total")
)

// Client reaches the control replicas. Every command is idempotent by what it
// names (ticket number, job id, claim key), so the client resends a command
// whose answer was lost until its context ends.
type Client struct {
	endpoint  *lwrpc.Endpoint
	addresses []string

	mu     sync.Mutex
	leader string    // address of the last known leader
	next   int       // replica to ask when no leader is known
	reader string    // replica that serves this client's watches
	lost   time.Time // when the leader was last found missing; zero while one answers
}

// NewClient returns a client for the replicas at the given RPC addresses.
func NewClient(e *lwrpc.Endpoint, addresses []string) *Client {
	return &Client{endpoint: e, addresses: slices.Clone(addresses), next: rand.IntN(max(1, len(addresses)))}
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.next = (c.next + 1) % len(c.addresses)
	return c.addresses[c.next]
}

func (c *Client) learn(from string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = from
		c.lost = time.Time{}
		return
	}
	if c.lost.IsZero() {
		c.lost = time.Now()
	}
	if c.leader == from {
		c.leader = ""
	}
	if f := lwfault.As(err); f.Kind == lwfault.NotLeader && f.Leader != "" {
		linkRedirects.Add(1)
		c.leader = f.Leader
	}
}

// mayResend reports whether another attempt can succeed. Faults of the
// command itself come in its result, never here.
func mayResend(err error) bool {
	switch lwfault.KindOf(err) {
	case lwfault.NotLeader, lwfault.Unavailable, lwfault.Timeout, lwfault.Overloaded:
		return true
	default:
		return false
	}
}

// callLeader sends a request to the leader, following redirects and retrying
// with jittered back-off until ctx ends.
func (c *Client) callLeader(ctx context.Context, method string, params, result any) error {
	pause := firstPause
	for {
		address := c.target()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := c.endpoint.Peer(address).Call(attempt, method, params, result)
		cancel()
		c.learn(address, err)
		if err == nil || !mayResend(err) {
			return err
		}
		if lwfault.KindOf(err) == lwfault.Timeout {
			// A silent partition never closes the connection by itself.
			c.endpoint.Peer(address).Reset()
		}
		linkRetries.Add(1)
		select {
		case <-ctx.Done():
			return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader answered in time", RetryAfter: time.Second, Cause: err}
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, longestPause)
	}
}

// Propose sends a command and returns what it answered. An error of kind
// Unavailable leaves open whether the command took effect; resending settles
// it.
func (c *Client) Propose(ctx context.Context, cmd lwstate.Command) (Outcome, error) {
	params, err := EncodePropose(cmd)
	if err != nil {
		return Outcome{}, err
	}
	var res proposeResult
	if err := c.callLeader(ctx, MethodPropose, params, &res); err != nil {
		return Outcome{}, err
	}
	return res.outcome()
}

// Query reads state that a quorum has confirmed.
func (c *Client) Query(ctx context.Context, q Query) (QueryReply, error) {
	var res QueryReply
	err := c.callLeader(ctx, MethodQuery, q, &res)
	return res, err
}

// Replace asks the leader to let the learner at one address take the place of
// the voter at another.
func (c *Client) Replace(ctx context.Context, from, to string) error {
	params := struct {
		Old string `json:"old"`
		New string `json:"new"`
	}{from, to}
	return c.callLeader(ctx, MethodReplace, params, nil)
}

// Sync renews a worker's leases. It makes one attempt, since the next interval
// sends fresher reports.
func (c *Client) Sync(ctx context.Context, s Sync) (SyncReply, error) {
	address := c.target()
	var res SyncReply
	err := c.endpoint.Peer(address).Call(ctx, MethodSync, s, &res)
	c.learn(address, err)
	if lwfault.KindOf(err) == lwfault.Timeout && err != nil {
		c.endpoint.Peer(address).Reset()
	}
	return res, err
}

// Watch asks one replica for changes. The replica is kept while it answers, so
// that watches spread over all replicas and the leader's load does not grow
// with every node.
func (c *Client) Watch(ctx context.Context, w Watch) (Policy, error) {
	c.mu.Lock()
	if c.reader == "" {
		c.reader = c.addresses[rand.IntN(len(c.addresses))]
	}
	address := c.reader
	c.mu.Unlock()
	var res Policy
	err := c.endpoint.Peer(address).Call(ctx, MethodWatch, w, &res)
	if err != nil {
		c.mu.Lock()
		c.reader = ""
		c.mu.Unlock()
		if lwfault.KindOf(err) == lwfault.Timeout {
			c.endpoint.Peer(address).Reset()
		}
	}
	return res, err
}
