package lwagent

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

// The reply to a sync may be under way for long, and control counts the lease from no
// later than when the sync was sent. An agent that counts from the reply runs tasks on
// after control has placed them elsewhere.
func TestLeaseCountsFromWhenSyncWasSent(t *testing.T) {
	const lease = minLeaseLeft + time.Second
	for _, c := range []struct {
		name   string
		delay  time.Duration
		starts int
	}{{"a prompt reply", 0, 1}, {"a late reply", 1200 * time.Millisecond, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const key = "lease-test-cluster-key"
			control, err := lwrpc.Listen("127.0.0.1:0", key)
			is.NoErr(err)
			t.Cleanup(control.Close)
			e, err := lwrpc.Listen("", key)
			is.NoErr(err)
			t.Cleanup(e.Close)
			control.Handle(lwlink.MethodSync, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
				time.Sleep(c.delay)
				task := lwlink.Assignment{Task: "j/0", Token: 1, Program: "etch:1h"}
				return lwlink.SyncReply{Lease: lwunit.Duration(lease), Revision: 1, Changed: true, Assignments: []lwlink.Assignment{task}}, nil
			})
			w := lwstandin.NewWorker()
			a := newTestAgent(w)
			a.client = lwlink.NewClient(e, []string{control.Address()})
			a.backends = newBackendTable(a)
			a.reported = make(map[lwplatform.Attempt]lwstate.TaskEvent)
			a.syncOnce(t.Context())
			is.Equal(w.Starts("j/0"), c.starts)
		})
	}
}
