package lwlink

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// fakeReplicas is a transport whose replicas answer as the test says.
type fakeReplicas struct {
	answer map[string]func(ctx context.Context) error

	mu    sync.Mutex
	calls []string // addresses, in order
}

func (f *fakeReplicas) Call(ctx context.Context, address, _ string, _, _ any) error {
	f.mu.Lock()
	f.calls = append(f.calls, address)
	f.mu.Unlock()
	return f.answer[address](ctx)
}

// callsTo returns how often the replica at address was asked.
func (f *fakeReplicas) callsTo(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.calls {
		if a == address {
			n++
		}
	}
	return n
}

// group is three replicas of which "b" leads until lossTime and "c" from
// electedAt on. Followers redirect to the leader that they know.
type group struct {
	*fakeReplicas
	began time.Time
}

const (
	lossTime  = 10 * time.Second
	electedAt = 11 * time.Second
)

var replicaAddresses = []string{"a", "b", "c"}

func newGroup() *group {
	g := &group{&fakeReplicas{}, time.Now()}
	g.answer = map[string]func(context.Context) error{"a": g.follower, "b": g.oldLeader, "c": g.newLeader}
	return g
}

func (g *group) leader() string {
	if time.Since(g.began) < electedAt {
		return "b"
	}
	return "c"
}

func (g *group) follower(context.Context) error { return redirectTo(g.leader()) }

func (g *group) oldLeader(context.Context) error {
	if time.Since(g.began) < lossTime {
		return nil
	}
	return &lwrpc.NotSentError{Cause: lwfault.New(lwfault.Unavailable, "connection refused")}
}

func (g *group) newLeader(context.Context) error {
	if g.leader() == "c" {
		return nil
	}
	return redirectTo("b")
}

func redirectTo(address string) error {
	return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "this replica follows", Leader: address}
}

// calls are the two ways to reach the leader: commands of the state machine and
// requests about queues.
var calls = map[string]func(*Client, context.Context) error{
	"command": func(c *Client, ctx context.Context) error {
		_, err := c.Propose(ctx, lwstate.LoseWorker{})
		return err
	},
	"queue": func(c *Client, ctx context.Context) error {
		return c.SubmitQueueJob(ctx, RequestTarget{}, lwjob.Spec{})
	},
}

// eachCall runs f with paused time for each kind of call.
func eachCall(t *testing.T, f func(t *testing.T, call func(*Client, context.Context) error)) {
	t.Helper()
	for name, call := range calls {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { f(t, call) }) })
	}
}

func expectWithin(t *testing.T, limit time.Duration, began time.Time, err error) {
	t.Helper()
	if took := time.Since(began); err != nil || took > limit {
		t.Errorf("got %v after %s, want success within %s", err, took, limit)
	}
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestRedirectIsFollowedAtOnce(t *testing.T) {
	eachCall(t, func(t *testing.T, call func(*Client, context.Context) error) {
		for range 20 { // the first replica is chosen at random
			c := newClient(newGroup(), replicaAddresses)
			began := time.Now()
			expectWithin(t, 0, began, call(c, within(t, time.Second)))
		}
	})
}

// The leader is killed; for a second the followers still redirect to it. Two
// seconds is the target for the next commit after the loss of a leader.
func TestCommandAfterLeaderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 200 {
			g := newGroup()
			c := newClient(g, replicaAddresses)
			expectWithin(t, 0, time.Now(), calls["command"](c, within(t, time.Second)))
			time.Sleep(lossTime)
			began := time.Now()
			expectWithin(t, 2*time.Second, began, calls["command"](c, within(t, 4*time.Second)))
		}
	})
}

// The VM of the leader is lost and its connections stay open. A request must not wait
// for it again while the followers still redirect to it: it would miss the election
// and end with its context.
func TestSilentLeaderIsNotAwaitedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			const election = 690 * time.Millisecond
			g := newGroup()
			g.began = time.Now().Add(election - electedAt)
			g.answer["b"] = func(ctx context.Context) error {
				<-ctx.Done()
				return &lwfault.Fault{Kind: lwfault.Timeout, Cause: ctx.Err()}
			}
			c := newClient(g, replicaAddresses)
			c.replicas.leader = "b"
			began := time.Now()
			expectWithin(t, 900*time.Millisecond, began, calls["queue"](c, within(t, 900*time.Millisecond)))
		}
	})
}

// The connections to the lost leader are refused. A request must go on as long as there
// is time for a further attempt, and not end because its next pause is a long one.
func TestRequestUsesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			const election = 690 * time.Millisecond
			g := newGroup()
			g.began = time.Now().Add(election - electedAt)
			g.answer["b"] = func(context.Context) error {
				return &lwrpc.NotSentError{Cause: lwfault.New(lwfault.Unavailable, "connection refused")}
			}
			began := time.Now()
			expectWithin(t, 900*time.Millisecond, began, calls["queue"](newClient(g, replicaAddresses), within(t, 900*time.Millisecond)))
		}
	})
}

// A request that is cut short shows nothing of the leader: the next one must still ask
// it at once.
func TestLeaderIsAskedAfterShortRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		g.answer["b"] = func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return &lwfault.Fault{Kind: lwfault.Timeout, Cause: ctx.Err()}
			case <-time.After(100 * time.Millisecond):
				return nil
			}
		}
		c := newClient(g, replicaAddresses)
		_ = calls["queue"](c, within(t, 50*time.Millisecond))
		began := time.Now()
		expectWithin(t, 100*time.Millisecond, began, calls["queue"](c, within(t, time.Second)))
	})
}

// While followers redirect to a replica that has just failed, that replica must be
// asked after all others, and the client must pause between rounds.
func TestFailedReplicaIsAskedLast(t *testing.T) {
	eachCall(t, func(t *testing.T, call func(*Client, context.Context) error) {
		g := newGroup()
		c := newClient(g, replicaAddresses)
		time.Sleep(lossTime)
		_ = call(c, within(t, 900*time.Millisecond))
		if lost, all := g.callsTo("b"), len(g.calls); all > 40 || lost > all/3+1 {
			t.Errorf("%d calls in 0.9 s, %d of them to the lost replica", all, lost)
		}
		tail := g.calls[1:]
		for i, address := range tail {
			if address == "b" && i >= 2 && slices.Contains(tail[i-2:i], "b") {
				t.Fatalf("asked in the order %v", g.calls)
			}
		}
	})
}

// A leader that refuses one request still leads: the next request must go to it.
func TestRefusalKeepsLeader(t *testing.T) {
	eachCall(t, func(t *testing.T, call func(*Client, context.Context) error) {
		for _, refusal := range []error{
			lwfault.New(lwfault.NotFound, "no such queue"),
			lwfault.New(lwfault.Invalid, "no steps"),
			&lwfault.Fault{Kind: lwfault.Overloaded, RetryAfter: time.Second},
		} {
			refused := false
			g := newGroup()
			g.answer["b"] = func(context.Context) error {
				if refused {
					return nil
				}
				refused = true
				return refusal
			}
			c := newClient(g, replicaAddresses)
			_ = call(c, within(t, 3*time.Second))
			asked := len(g.calls)
			if err := call(c, within(t, time.Second)); err != nil || !slices.Equal(g.calls[asked:], []string{"b"}) {
				t.Errorf("after %v: got %v from %v, want success from the leader alone", refusal, err, g.calls[asked:])
			}
			if d := c.leaderlessFor(); d != 0 {
				t.Errorf("after %v: without a leader for %s", refusal, d)
			}
		}
	})
}

// A request that waits for a leader must go on as soon as another one has found it.
func TestWaitingRequestFollowsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		c := newClient(g, replicaAddresses)
		time.Sleep(electedAt - 500*time.Millisecond)
		const requests = 50
		var wg sync.WaitGroup
		var mu sync.Mutex
		var latest time.Duration
		for range requests {
			wg.Go(func() {
				if err := calls["queue"](c, within(t, 3*time.Second)); err != nil {
					t.Error(err)
				}
				mu.Lock()
				latest = max(latest, time.Since(g.began))
				mu.Unlock()
			})
		}
		wg.Wait()
		if latest > electedAt+50*time.Millisecond {
			t.Errorf("the last request reached the leader %s after its election", latest-electedAt)
		}
		if n := len(g.calls); n > 20*requests {
			t.Errorf("%d calls of %d requests in half a second", n, requests)
		}
	})
}

// Reports are not repeated, so one report must find a leader that did not answer the
// report before it but still leads.
func TestReportReturnsToSlowLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		slow := false
		g.answer["b"] = func(ctx context.Context) error {
			if !slow {
				return nil
			}
			<-ctx.Done()
			return &lwfault.Fault{Kind: lwfault.Timeout, Cause: ctx.Err()}
		}
		c := newClient(g, replicaAddresses)
		report := func() error {
			_, err := c.Report(within(t, 600*time.Millisecond), lwdispatch.Report{})
			return err
		}
		if err := report(); err != nil {
			t.Fatal(err)
		}
		slow = true
		if err := report(); lwfault.KindOf(err) != lwfault.Timeout {
			t.Fatalf("got %v, want a timeout", err)
		}
		slow = false
		if err := report(); err != nil {
			t.Error(err)
		}
	})
}
