package lwcontrol

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// Guards against orders for a worker being sent to an agent whose report about it the core has
// not taken: the agent that serves the worker would get none.
func TestReportThatIsNotTakenMovesNoOrders(t *testing.T) {
	is := is.New(t)
	n := leadingNode(t, func(lwstate.Command) {})
	serving, other := new(lwrpc.Session), new(lwrpc.Session)
	report := func(s *lwrpc.Session, startedAt lwunit.Millis, agent string) lwdispatch.Token {
		t.Helper()
		i := lwjob.WorkerIncarnation{Worker: "w", StartedAt: startedAt}
		r, err := n.report(t.Context(), n.replica, s, lwdispatch.Report{Info: lwdispatch.WorkerInfo{Incarnation: i, Agent: agent, Service: "s"}})
		is.NoErr(err)
		return r.Token
	}
	is.True(report(serving, 2, "a") != 0)
	is.Equal(report(other, 1, "b"), lwdispatch.Token(0)) // an earlier incarnation
	d := n.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	is.Equal(len(d.sessions), 1)
	is.Equal(d.sessions[lwjob.WorkerIncarnation{Worker: "w", StartedAt: 2}], serving)
}
