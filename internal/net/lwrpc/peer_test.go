package lwrpc

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// A fault that the peer answers must not close the connection, which other calls
// share.
func TestAnsweredFaultKeepsConnection(t *testing.T) {
	for _, kind := range []lwfault.Kind{lwfault.Unavailable, lwfault.NotLeader, lwfault.Timeout} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			e := serve(t)
			release := make(chan struct{})
			e.Handle("wait", func(context.Context, *Session, json.RawMessage) (any, error) {
				<-release
				return number{1}, nil
			})
			e.Handle("fail", func(context.Context, *Session, json.RawMessage) (any, error) {
				return nil, lwfault.New(kind, "not now")
			})
			p := dial(t, e, testKey)
			is.NoErr(p.Call(t.Context(), "double", number{1}, nil))
			waiting := make(chan error, 1)
			go func() { waiting <- p.Call(t.Context(), "wait", number{}, nil) }()
			is.Equal(lwfault.KindOf(p.Call(t.Context(), "fail", number{}, nil)), kind)
			close(release)
			is.NoErr(<-waiting)
		})
	}
}

// silentListener accepts connections and answers nothing.
func silentListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// A call must end at its own deadline while the peer is being dialled, also if
// another call began the dial.
func TestDialDoesNotOutlastDeadline(t *testing.T) {
	is := is.New(t)
	dialler, err := Listen("", testKey)
	is.NoErr(err)
	t.Cleanup(dialler.Close)
	p := dialler.Peer(silentListener(t))
	go func() { _ = p.Call(t.Context(), "double", number{1}, nil) }()
	time.Sleep(20 * time.Millisecond) // the dial above has begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	err = p.Call(ctx, "double", number{1}, nil)
	is.Equal(lwfault.KindOf(err), lwfault.Timeout)
	is.True(time.Since(began) < helloTimeout/2)
}

// The deadline of the call that began a dial must not end the dial, which other
// calls wait for.
func TestDialOutlastsItsFirstCall(t *testing.T) {
	is := is.New(t)
	e := serve(t)
	p := dial(t, e, testKey)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(lwfault.KindOf(p.Call(ctx, "double", number{1}, nil)), lwfault.Timeout)
	var out number
	is.NoErr(p.Call(t.Context(), "double", number{21}, &out)) // no redial, which would have to wait
	is.Equal(out.N, 42)
}

// The end of the other process must show without a further message.
func TestDisconnected(t *testing.T) {
	is := is.New(t)
	e := serve(t)
	p := dial(t, e, testKey)
	is.True(p.Disconnected() == nil) // not connected yet
	is.NoErr(p.Call(t.Context(), "double", number{1}, nil))
	closed := p.Disconnected()
	select {
	case <-closed:
		t.Fatal("the connection is open")
	default:
	}
	e.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the closed connection does not show")
	}
}
