package lwlink_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// evacuationLeader answers calls about evacuations and keeps the orders.
type evacuationLeader struct {
	endpoint  *lwrpc.Endpoint
	record    lwevacuation.Record
	recordErr error
	orders    []lwevacuation.Order
	orderErrs []error // of the first orders
}

func newEvacuationLeader(t *testing.T) *evacuationLeader {
	t.Helper()
	l := &evacuationLeader{endpoint: newLeader(t, func(context.Context) (any, error) { return struct{}{}, nil })}
	l.endpoint.Handle(lwlink.MethodEvacuation, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
		return l.record, l.recordErr
	})
	l.endpoint.Handle(lwlink.MethodSetEvacuation, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		o, err := lwlink.Decode[lwevacuation.Order](params)
		l.orders = append(l.orders, o)
		if n := len(l.orders); err == nil && n <= len(l.orderErrs) {
			err = l.orderErrs[n-1]
		}
		return lwevacuation.Record{Evacuated: o.Evacuate, Revision: 99}, err
	})
	return l
}

// set sends an order for domain a within the time that operators' calls have.
func (l *evacuationLeader) set(t *testing.T) error {
	t.Helper()
	e, err := lwrpc.Listen("", testKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	_, err = lwlink.NewClient(e, []string{l.endpoint.Address()}).SetEvacuation(ctx, "a", true, "x")
	return err
}

func expectOrders(t *testing.T, l *evacuationLeader, expected ...lwunit.Revision) {
	t.Helper()
	if len(l.orders) != len(expected) {
		t.Fatalf("%d orders arrived, want %d", len(l.orders), len(expected))
	}
	for i, o := range l.orders {
		if want := (lwevacuation.Order{Domain: "a", Evacuate: true, Expected: expected[i], By: "x"}); o != want {
			t.Errorf("order %+v arrived, want %+v", o, want)
		}
	}
}

func TestSetEvacuation(t *testing.T) {
	t.Run("the order rests on the record that was read", func(t *testing.T) {
		l := newEvacuationLeader(t)
		l.record.Revision = 7
		if err := l.set(t); err != nil {
			t.Error(err)
		}
		expectOrders(t, l, 7)
	})
	t.Run("an attempt without a known outcome is repeated as it was", func(t *testing.T) {
		l := newEvacuationLeader(t)
		l.record.Revision, l.orderErrs = 7, []error{lwfault.New(lwfault.Unknown, "no quorum answered in time")}
		if err := l.set(t); err != nil {
			t.Error(err)
		}
		expectOrders(t, l, 7, 7)
	})
	t.Run("a record that has changed since is not read again", func(t *testing.T) {
		l := newEvacuationLeader(t)
		l.record.Revision, l.orderErrs = 7, []error{lwfault.New(lwfault.Conflict, "the record has changed")}
		expectKind(t, l.set(t), lwfault.Conflict)
		expectOrders(t, l, 7)
	})
	t.Run("no order is sent for a domain that does not exist", func(t *testing.T) {
		l := newEvacuationLeader(t)
		l.recordErr = lwfault.New(lwfault.NotFound, "no such domain")
		expectKind(t, l.set(t), lwfault.NotFound)
		expectOrders(t, l)
	})
	t.Run("a refusal because of an older replica is passed on at once", func(t *testing.T) {
		l := newEvacuationLeader(t)
		l.orderErrs = []error{&lwfault.Fault{Kind: lwfault.Unavailable, RetryAfter: time.Second}, errors.New("asked again")}
		expectKind(t, l.set(t), lwfault.Unavailable)
		expectOrders(t, l, 0)
	})
	t.Run("a leader of an older version does not serve the methods", func(t *testing.T) {
		l := &evacuationLeader{endpoint: newLeader(t, func(context.Context) (any, error) { return struct{}{}, nil })}
		expectKind(t, l.set(t), lwfault.Unavailable)
	})
}
