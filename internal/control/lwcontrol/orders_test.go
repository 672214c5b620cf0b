package lwcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// agentSession connects an agent to a leader and returns the leader's session. The agent passes the
// orders that it receives to receive.
func agentSession(t *testing.T, receive func(lwlink.AgentOrders)) *lwrpc.Session {
	t.Helper()
	is := is.New(t)
	const key = "orders-test-cluster-key"
	leader, err := lwrpc.Listen("127.0.0.1:0", key)
	is.NoErr(err)
	t.Cleanup(leader.Close)
	agent, err := lwrpc.Listen("", key)
	is.NoErr(err)
	t.Cleanup(agent.Close)
	joined := make(chan *lwrpc.Session, 1)
	leader.Handle("join", func(_ context.Context, s *lwrpc.Session, _ json.RawMessage) (any, error) {
		joined <- s
		return empty{}, nil
	})
	agent.Handle(lwlink.MethodOrders, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwlink.AgentOrders](params)
		if err == nil {
			receive(m)
		}
		return nil, err
	})
	is.NoErr(agent.Peer(leader.Address()).Call(t.Context(), "join", empty{}, nil))
	return <-joined
}

// Guards against a job that never starts: the starts for one worker, each with the specification of the
// job, exceed the limit of a message together, also when they are sent again.
func TestOrdersBeyondOneMessageAreSent(t *testing.T) {
	is := is.New(t)
	const count = 2400
	n := leadingNode(t, func(lwstate.Command) {})
	n.log = zap.NewNop()
	var mu sync.Mutex
	received := make(map[lwunit.TaskID]int)
	session := agentSession(t, func(m lwlink.AgentOrders) {
		mu.Lock()
		defer mu.Unlock()
		for _, o := range m.Orders {
			received[o.Task]++
		}
	})
	d := n.dispatcher
	is.NoErr(d.lockAsLeader(n.replica))
	d.sessions[rosterEntry.Incarnation] = session
	o := lwdispatch.WorkerOrders{Incarnation: rosterEntry.Incarnation}
	for i := range count {
		o.Orders = append(o.Orders, lwdispatch.StartRun{Task: lwunit.TaskID(fmt.Sprintf("j.0.0.%d", i)), Run: 1, Text: strings.Repeat("x", 4000)})
	}
	d.send(t.Context(), n.replica, o)
	d.mu.Unlock()
	eventually(t, "each order is received", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(received) == count
	})
	for task, times := range received {
		if times != 1 {
			t.Errorf("the start of %s is received %d times", task, times)
		}
	}
}
