package lwagent

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

// Guards against backend servers that control has removed with a lost worker staying unknown to
// it: the worker was registered again, but the agent did not get the answer.
func TestRegistrationWithoutAnswerAnnouncesBackendsAgain(t *testing.T) {
	is := is.New(t)
	const key = "register-test-cluster-key"
	control, err := lwrpc.Listen("127.0.0.1:0", key)
	is.NoErr(err)
	t.Cleanup(control.Close)
	e, err := lwrpc.Listen("", key)
	is.NoErr(err)
	t.Cleanup(e.Close)
	var lost atomic.Bool
	var announcements atomic.Int64
	control.Handle(lwlink.MethodSync, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
		return lwlink.SyncReply{Register: lost.Load(), Lease: lwunit.Duration(grantedLease), Revision: 1}, nil
	})
	control.Handle(lwlink.MethodPropose, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		c, err := lwlink.DecodeProposal(params)
		if err != nil {
			return nil, err
		}
		switch c.(type) {
		case lwstate.RegisterWorker:
			lost.Store(false)
			return nil, lwfault.New(lwfault.Unknown, "the answer is lost")
		case lwstate.AnnounceBackend:
			announcements.Add(1)
		}
		return lwlink.EncodeResult(1, lwstate.Result{}), nil
	})
	a := newTestAgent(lwstandin.NewWorker())
	a.client = lwlink.NewClient(e, []string{control.Address()})
	a.backends = newBackendTable(a)
	a.reported = make(map[lwplatform.Attempt]lwstate.TaskEvent)
	is.NoErr(a.backends.announce("b", "s", "127.0.0.1:1", time.Minute))
	b, _ := a.backends.get("b")
	a.backends.updateControl(t.Context(), b)
	is.Equal(announcements.Load(), int64(1))

	lost.Store(true)
	a.syncOnce(t.Context())
	is.True(!lost.Load())
	a.syncOnce(t.Context())
	a.backends.updateControl(t.Context(), b)
	is.Equal(announcements.Load(), int64(2))
}
