package lwentry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

const (
	service     = "engrave-desk"
	callerToken = "test-caller-token"
	longDelay   = 150 * time.Millisecond
)

// faultKind is a fault of a connection between an entry and an agent.
type faultKind string

const (
	noFault            faultKind = "no fault"
	dialRefused        faultKind = "refused dial"
	cutBeforeRequest   faultKind = "cut before the request is sent"
	cutInRequest       faultKind = "cut within the request"
	cutAfterRequest    faultKind = "cut after the request is sent"
	cutInAnswer        faultKind = "cut within the answer"
	silentAfterRequest faultKind = "silent after the request is sent"
)

var errInjected = errors.New("connection cut by the test")

// faultyNetwork dials agents for the entries and injects a fault into the next
// connections.
type faultyNetwork struct {
	mu        sync.Mutex
	fault     faultKind
	remaining int // connections still to get the fault
}

func (n *faultyNetwork) inject(fault faultKind, connections int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault, n.remaining = fault, connections
}

func (n *faultyNetwork) next() faultKind {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remaining == 0 {
		return noFault
	}
	n.remaining--
	return n.fault
}

func (n *faultyNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	fault := n.next()
	if fault == dialRefused {
		return nil, &net.OpError{Op: "dial", Err: errInjected}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil || fault == noFault {
		return c, err
	}
	return &faultyConn{Conn: c, fault: fault}, nil
}

// faultyConn is a connection with one fault.
type faultyConn struct {
	net.Conn
	fault faultKind
	read  int // bytes of the answer that were passed on
}

func (c *faultyConn) Write(data []byte) (int, error) {
	switch c.fault {
	case cutBeforeRequest:
		_ = c.Close()
		return 0, errInjected
	case cutInRequest:
		n, _ := c.Conn.Write(data[:len(data)/2])
		_ = c.Close()
		return n, errInjected
	default:
		return c.Conn.Write(data)
	}
}

func (c *faultyConn) Read(data []byte) (int, error) {
	switch c.fault {
	case cutAfterRequest:
		time.Sleep(50 * time.Millisecond) // the agent has the request by now
		_ = c.Close()
		return 0, errInjected
	case cutInAnswer:
		if c.read > 0 {
			_ = c.Close()
			return 0, errInjected
		}
		n, err := c.Conn.Read(data)
		c.read = max(1, n-10)
		return c.read, err
	case silentAfterRequest:
		buf := make([]byte, 1024)
		for {
			if _, err := c.Conn.Read(buf); err != nil {
				return 0, err
			}
		}
	default:
		return c.Conn.Read(data)
	}
}

// testSystem is a running system with faults between entries and agents. Both
// entries share the network, so a resend through entry 1 meets no fault only once
// all injected faults are used up or removed.
type testSystem struct {
	*lwrig.System
	network *faultyNetwork
}

func startTestSystem(t *testing.T, workers, replicas int) *testSystem {
	t.Helper()
	is := is.New(t)
	n := &faultyNetwork{}
	shape := lwrig.Shape{
		Region: "kyushu-south", Domains: []lwunit.FailureDomain{"yatsushiro", "hitoyoshi", "minamata"}, Service: service,
		Workers: workers, Replicas: replicas, Entries: 2, Folder: t.TempDir(),
		Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB},
	}
	shape.Options.DialAgent = n.dial
	s, err := lwrig.Start(shape, zap.NewNop())
	is.NoErr(err)
	t.Cleanup(s.Stop)
	ticket := fmt.Appendf(nil, `{"number": 1, "author": "test", "objects": [
		{"kind": "team", "name": "t", "spec": {"tokens": [{"role": "caller", "sha256": %q}]}},
		{"kind": "service", "name": %q, "spec": {"team": "t"}}]}`, lwticket.TokenDigest(callerToken), service)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(s.Operator().Post(ctx, "/v1/tickets", ticket, nil))
	is.NoErr(s.AwaitBackends(ctx))
	return &testSystem{s, n}
}

// answer is what a caller received.
type answer struct {
	outcome string
	status  int
	body    []byte
	whole   bool // the body was not truncated
}

func (sys *testSystem) send(entry int, body []byte, key string, limit time.Duration) answer {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/v1/services/%s/order", sys.URL(entry), service), bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set(lwheader.Deadline, limit.String())
	if key != "" {
		req.Header.Set(lwheader.Unrepeatable, "true")
		req.Header.Set(lwheader.IdempotencyKey, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return answer{outcome: "none"}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return answer{res.Header.Get(lwheader.Outcome), res.StatusCode, data, err == nil}
}

func (sys *testSystem) runs(key string) int {
	n := 0
	for _, s := range sys.Backends {
		n += s.Runs(key)
	}
	return n
}

func (sys *testSystem) setBehaviour(behaviour lwstandin.Behaviour) {
	for _, s := range sys.Backends {
		s.SetBehaviour(behaviour)
	}
}

// checkAnswer checks what must be true of every answer, given the number of runs
// of the request so far.
func checkAnswer(t *testing.T, label string, a answer, body []byte, runs int) {
	t.Helper()
	if runs > 1 {
		t.Errorf("%s: the request ran %d times", label, runs)
	}
	if a.outcome == lwheader.NotRun && runs > 0 {
		t.Errorf("%s: outcome not_run, but the request ran: %s", label, a.body)
	}
	if a.outcome == lwheader.Completed && a.whole && a.status == http.StatusOK && !bytes.Equal(a.body, lwstandin.Render(body)) {
		t.Errorf("%s: outcome completed with a wrong body: %q", label, a.body)
	}
	if a.outcome == "" {
		t.Errorf("%s: answer without an outcome, status %d", label, a.status)
	}
}

func behaviours() map[string]lwstandin.Behaviour {
	return map[string]lwstandin.Behaviour{
		"answers":   {},
		"is slow":   {Delay: func() time.Duration { return longDelay }},
		"truncates": {Truncate: true},
		"fails":     {Status: http.StatusInternalServerError},
		"hangs":     {Hang: true},
	}
}

// TestFaultMatrix combines each fault between entry and agent with each behaviour
// of the backend server, for idempotent and non-idempotent requests. Each
// non-idempotent request is then resent through the other entry.
func TestFaultMatrix(t *testing.T) {
	sys := startTestSystem(t, 3, 1)
	faults := []faultKind{noFault, dialRefused, cutBeforeRequest, cutInRequest, cutAfterRequest, cutInAnswer, silentAfterRequest}
	cases := 0
	for name, behaviour := range behaviours() {
		for _, fault := range faults {
			for _, everyConnection := range []bool{false, true} {
				for _, nonIdempotent := range []bool{false, true} {
					cases++
					t.Run(fmt.Sprintf("%s/%s/every connection %t/non-idempotent %t", name, fault, everyConnection, nonIdempotent), func(t *testing.T) {
						sys.runCase(t, behaviour, fault, everyConnection, nonIdempotent, cases)
					})
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

func (sys *testSystem) runCase(t *testing.T, behaviour lwstandin.Behaviour, fault faultKind, everyConnection, nonIdempotent bool, number int) {
	const limit = 300 * time.Millisecond
	sys.setBehaviour(behaviour)
	sys.closeIdleConnections()
	connections := 1
	if everyConnection {
		connections = 100
	}
	sys.network.inject(fault, connections)
	body := fmt.Appendf(nil, "order %d", number)
	key := ""
	if nonIdempotent {
		key = fmt.Sprintf("%d-cell-%d", time.Now().Unix(), number)
	}
	first := sys.send(0, body, key, limit)
	if !nonIdempotent {
		checkAnswer(t, "first", first, body, 0)
		sys.network.inject(noFault, 0)
		return
	}
	checkAnswer(t, "first", first, body, sys.runs(key))
	sys.network.inject(noFault, 0)
	sys.setBehaviour(lwstandin.Behaviour{})
	second := sys.send(1, body, key, 3*time.Second)
	checkAnswer(t, "resend", second, body, sys.runs(key))
	if first.outcome == lwheader.Completed && first.whole && second.outcome != lwheader.Completed {
		t.Errorf("the first answer was completed, the answer to the resend %s: %s", second.outcome, second.body)
	}
}

// closeIdleConnections makes the entries dial again, so that the injected fault
// takes effect.
func (sys *testSystem) closeIdleConnections() {
	for _, e := range sys.Entries {
		e.CloseIdle()
	}
}

func TestResendWhileFirstCopyRuns(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 3, 1)
	sys.setBehaviour(lwstandin.Behaviour{Delay: func() time.Duration { return longDelay }})
	key := fmt.Sprintf("%d-twice", time.Now().Unix())
	body := []byte("one bottle")
	answers := make([]answer, 6)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = sys.send(i%2, body, key, 5*time.Second) })
	}
	wg.Wait()
	for _, a := range answers {
		checkAnswer(t, "copy", a, body, sys.runs(key))
	}
	is.Equal(sys.runs(key), 1)
	last := sys.send(0, body, key, 5*time.Second)
	is.Equal(last.outcome, lwheader.Completed)
	is.True(bytes.Equal(last.body, lwstandin.Render(body)))
}

func TestAgentRestartLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 1, 1)
	sys.setBehaviour(lwstandin.Behaviour{Hang: true})
	key := fmt.Sprintf("%d-restart", time.Now().Unix())
	body := []byte("etch")
	done := make(chan answer)
	go func() { done <- sys.send(0, body, key, 2*time.Second) }()
	for sys.runs(key) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	sys.Agents[0].Kill()
	checkAnswer(t, "first", <-done, body, sys.runs(key))
	sys.Backends[0].Kill()
	is.NoErr(sys.RestartAgent(0))
	is.NoErr(sys.StartBackend(0))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(sys.AwaitBackends(ctx))
	sys.setBehaviour(lwstandin.Behaviour{})
	second := sys.send(1, body, key, 3*time.Second)
	is.Equal(second.outcome, lwheader.Unknown) // the new incarnation has no record of the claim, so the request may have run
	is.Equal(sys.Backends[0].Runs(key), 0)     // and the restarted backend server did not run it
}

// Guards against requests lost while backend servers are replaced one by one. Each
// replacement is announced before the next backend server is withdrawn.
func TestRollingDrainCompletesEveryRequest(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 3, 1)
	sys.setBehaviour(lwstandin.Behaviour{Delay: func() time.Duration { return 5 * time.Millisecond }})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Appendf(nil, "%d %d", i, n)
				a := sys.send(i%2, body, "", 5*time.Second)
				checkAnswer(t, "request", a, body, 0)
				mu.Lock()
				outcomes[a.outcome]++
				mu.Unlock()
			}
		})
	}
	awaitCtx, cancelAwait := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelAwait()
	for i := range sys.Backends {
		is.NoErr(sys.ReplaceBackend(awaitCtx, i))
		is.NoErr(sys.AwaitBackends(awaitCtx))
	}
	cancel()
	wg.Wait()
	is.True(outcomes[lwheader.Completed] > 0)
	is.Equal(len(outcomes), 1) // every request completed
}

func TestSlotLimitHoldsAcrossEntries(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 1, 1)
	sys.setBehaviour(lwstandin.Behaviour{Delay: func() time.Duration { return 20 * time.Millisecond }})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { sys.send(i%2, []byte("x"), "", time.Second) })
	}
	wg.Wait()
	is.True(sys.Backends[0].Peak() <= 8) // the default slots of a service
}

func TestControlLeaderLostBetweenClaimAndResend(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 3, 3)
	key := fmt.Sprintf("%d-leader", time.Now().Unix())
	body := []byte("jacquard roll")
	first := sys.send(0, body, key, 5*time.Second)
	is.Equal(first.outcome, lwheader.Completed)
	leader := sys.LeaderIndex()
	is.True(leader >= 0)
	sys.Control[leader].Kill()
	second := sys.send(1, body, key, 10*time.Second)
	checkAnswer(t, "resend", second, body, sys.runs(key))
	is.Equal(second.outcome, lwheader.Completed)
	is.Equal(sys.runs(key), 1)
}

func TestLimitsOfServiceAndTeam(t *testing.T) {
	sys := startTestSystem(t, 1, 1)
	number := 1
	for name, fields := range map[string][2]string{"service": {`"max_concurrent": 2,`, ""}, "team": {"", `"max_concurrent": 2,`}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			number++
			ticket := fmt.Appendf(nil, `{"number": %d, "author": "test", "objects": [
				{"kind": "team", "name": "t", "spec": {%s "tokens": [{"role": "caller", "sha256": %q}]}},
				{"kind": "service", "name": %q, "spec": {%s "team": "t"}}]}`, number, fields[1], lwticket.TokenDigest(callerToken), service, fields[0])
			is.NoErr(sys.Operator().Post(context.Background(), "/v1/tickets", ticket, nil))
			sys.awaitTicketInForce(t, number)
			release := make(chan struct{})
			sys.setBehaviour(lwstandin.Behaviour{Delay: func() time.Duration { <-release; return 0 }})
			answers := make(chan int, 6)
			for range 6 {
				go func() { answers <- sys.send(0, []byte("x"), "", 20*time.Second).status }()
			}
			for range 4 { // the other two wait in the backend server
				is.Equal(<-answers, http.StatusTooManyRequests)
			}
			close(release)
			for range 2 {
				is.Equal(<-answers, http.StatusOK)
			}
		})
	}
}

// awaitTicketInForce waits until every process has applied a ticket.
func (sys *testSystem) awaitTicketInForce(t *testing.T, number int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var st struct {
		InForce int `json:"in_force"`
		Nodes   int `json:"nodes"`
	}
	for st.Nodes < len(sys.Agents)+len(sys.Entries) || st.InForce < st.Nodes {
		is.New(t).NoErr(sys.Operator().Get(ctx, fmt.Sprintf("/v1/tickets/%d", number), &st))
	}
}
