package lwagent

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwgate"
)

// A withdrawn backend server may be busy for minutes. Each proposal of its withdrawal
// costs the replicas a committed log entry, so there must be no more than one that
// control has recorded.
func TestWithdrawalIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	const key = "withdraw-test-cluster-key"
	control, err := lwrpc.Listen("127.0.0.1:0", key)
	is.NoErr(err)
	t.Cleanup(control.Close)
	var proposals atomic.Int64
	var refuse atomic.Bool
	control.Handle(lwlink.MethodPropose, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		c, err := lwlink.DecodeProposal(params)
		if err != nil {
			return nil, err
		}
		if _, ok := c.(lwstate.WithdrawBackend); ok {
			proposals.Add(1)
		}
		if refuse.Load() {
			return nil, lwfault.New(lwfault.Internal, "the command was not recorded")
		}
		return lwlink.EncodeResult(1, lwstate.Result{}), nil
	})
	e, err := lwrpc.Listen("", key)
	is.NoErr(err)
	t.Cleanup(e.Close)
	a := &Agent{log: zap.NewNop(), client: lwlink.NewClient(e, []string{control.Address()})}
	a.backends = newBackendTable(a)
	is.NoErr(a.backends.announce("b", "s", "127.0.0.1:1", time.Minute))
	b, _ := a.backends.get("b")
	b.gate.SetLimits(lwgate.Limits{Slots: 1})
	maintain := func() { a.backends.updateControl(t.Context(), b) }
	maintain()
	slot, err := b.gate.Acquire(t.Context(), time.Now().Add(time.Minute))
	is.NoErr(err)
	_, err = a.backends.withdraw("b")
	is.NoErr(err)

	refuse.Store(true)
	maintain()
	is.Equal(proposals.Load(), int64(1))
	refuse.Store(false)
	maintain()
	is.Equal(proposals.Load(), int64(2)) // the first was not recorded
	for range 10 {
		maintain()
	}
	a.backends.announceAgain() // a new registration announces the others again
	maintain()
	is.Equal(proposals.Load(), int64(2))
	_, ok := a.backends.get("b")
	is.True(ok) // a request is in flight
	slot.Release()
	maintain()
	_, ok = a.backends.get("b")
	is.True(!ok)
	is.Equal(proposals.Load(), int64(2))
}
