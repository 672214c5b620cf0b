package lwrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/sourcegraph/jsonrpc2"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const (
	helloMethod     = "hello"
	readBufferBytes = 16 << 10
	maxUnsentBytes  = 16 << 20
	authTimeout     = 10 * time.Second // within which an accepted connection must show the cluster's key
	faultErrorCode  = -32000
)

// Session is one authenticated connection to another process.
type Session struct {
	lastReceived atomic.Int64 // time of the last received bytes, in nanoseconds of the endpoint's clock
	pinging      atomic.Bool

	mu      sync.Mutex // held by addSession until the fields below are set
	rpc     *jsonrpc2.Conn
	stream  *stream
	dialled bool // by this process, which then pings it when idle
}

func (s *Session) conn() *jsonrpc2.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rpc
}

func (s *Session) frameStream() *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream
}

// closeUnauthenticated closes the connection unless the peer has shown the cluster's key.
func (s *Session) closeUnauthenticated() {
	if stream := s.frameStream(); !stream.authenticated.Load() {
		rpcNoKeys.Add(1)
		stream.fail(lwfault.New(lwfault.Unauthorized, "no hello within %s", authTimeout))
	}
}

// Done returns a channel that is closed when the connection has closed.
func (s *Session) Done() <-chan struct{} { return s.conn().DisconnectNotify() }

// Close closes the connection.
func (s *Session) Close() { _ = s.conn().Close() }

// Notify sends a notification, which has no answer.
func (s *Session) Notify(ctx context.Context, method string, params any) error {
	if err := s.conn().Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s: %w", method, err)
	}
	return nil
}

// Call sends a request and decodes the answer into result.
func (s *Session) Call(ctx context.Context, method string, params, result any) error {
	err := s.conn().Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	return fmt.Errorf("call %s: %w", method, decodeFault(err))
}

// Handler serves one method. Its result is sent as JSON.
type Handler func(ctx context.Context, s *Session, params json.RawMessage) (any, error)

// Endpoint accepts and dials connections on one nbio engine.
type Endpoint struct {
	key    string
	engine *nbio.Engine
	clock  lwclock.Clock
	done   chan struct{} // closed by Close

	closeOnce sync.Once
	closing   atomic.Bool
	dials     sync.WaitGroup // of peers; none begins once closing is set and each peer has been disconnected
	sessions  sync.Map       // *nbio.Conn to *Session

	mu      sync.RWMutex
	methods map[string]Handler
	peers   map[string]*Peer
}

// Listen starts an endpoint. With an empty address it only dials. The key is
// the cluster's shared secret, which the dialling side must send on every
// connection before it calls a registered method.
func Listen(address, key string) (*Endpoint, error) {
	logging.SetLevel(logging.LevelNone)
	cfg := nbio.Config{Name: "rpc", Network: "tcp", NPoller: 1, ReadBufferSize: readBufferBytes, MaxWriteBufferSize: maxUnsentBytes}
	if address != "" {
		cfg.Addrs = []string{address}
	}
	e := &Endpoint{key: key, engine: nbio.NewEngine(cfg), clock: lwclock.New(), done: make(chan struct{}), methods: make(map[string]Handler), peers: make(map[string]*Peer)}
	e.engine.OnOpen(func(c *nbio.Conn) { e.addSession(c, false) })
	e.engine.OnData(func(c *nbio.Conn, data []byte) {
		if s, ok := e.sessions.Load(c); ok {
			s.(*Session).lastReceived.Store(int64(e.clock.Now()))
			s.(*Session).frameStream().receive(data)
		}
	})
	e.engine.OnClose(func(c *nbio.Conn, err error) {
		if s, ok := e.sessions.LoadAndDelete(c); ok {
			rpcConnections.Add(-1)
			s.(*Session).frameStream().fail(closedFault(err))
		}
	})
	if err := e.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	go e.keepAlive()
	return e, nil
}

// closedFault returns the fault of a connection that closed with err, which may
// be nil.
func closedFault(err error) error {
	if err == nil {
		return lwfault.New(lwfault.Unavailable, "connection closed")
	}
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "connection closed", Cause: err}
}

// Address returns the address that the endpoint listens on, or "".
func (e *Endpoint) Address() string {
	if len(e.engine.Addrs) == 0 {
		return ""
	}
	return e.engine.Addrs[0]
}

// Handle registers the handler for a method.
func (e *Endpoint) Handle(method string, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods[method] = h
}

// Close closes the listener and every connection.
func (e *Endpoint) Close() {
	e.closing.Store(true)
	e.mu.RLock()
	for _, p := range e.peers {
		p.disconnect()
	}
	e.mu.RUnlock()
	e.dials.Wait()
	e.closeOnce.Do(func() {
		close(e.done)
		lwhttp.StopEngine(e.engine.Stop)
	})
}

// addSession returns the session of a connection, creating it if needed. The
// peer of a dialled connection counts as authenticated.
func (e *Endpoint) addSession(c *nbio.Conn, dialled bool) *Session {
	if s, ok := e.sessions.Load(c); ok {
		return s.(*Session)
	}
	s := &Session{dialled: dialled}
	s.lastReceived.Store(int64(e.clock.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream = newStream(c)
	s.stream.authenticated.Store(dialled)
	if !dialled {
		time.AfterFunc(authTimeout, s.closeUnauthenticated)
	}
	e.sessions.Store(c, s)
	_ = c.SetNoDelay(true)
	rpcConnections.Add(1)
	noLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) // closed connections are counted instead of logged
	s.rpc = jsonrpc2.NewConn(context.Background(), s.stream, jsonrpc2.AsyncHandler(handler{e, s}), noLog)
	return s
}

type handler struct {
	endpoint *Endpoint
	session  *Session
}

type helloParams struct {
	Key string `json:"key"`
}

// Handle serves one request or notification.
func (h handler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := h.dispatch(ctx, r)
	if r.Notif {
		return
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, encodeFault(err))
		return
	}
	_ = c.Reply(ctx, r.ID, result)
}

func (h handler) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	switch r.Method {
	case helloMethod:
		return h.hello(params)
	case pingMethod:
		return struct{}{}, nil
	}
	if !h.session.frameStream().authenticated.Load() {
		h.session.Close()
		return nil, lwfault.New(lwfault.Unauthorized, "the first message must be hello")
	}
	h.endpoint.mu.RLock()
	serve, ok := h.endpoint.methods[r.Method]
	h.endpoint.mu.RUnlock()
	if !ok {
		// A starting process listens before its roles have registered their
		// methods. NotFound would tell the caller that the object of its
		// request does not exist.
		return nil, lwfault.New(lwfault.NotLeader, "this process does not serve %q now", r.Method)
	}
	return serve(ctx, h.session, params)
}

func (h handler) hello(params json.RawMessage) (any, error) {
	var p helloParams
	if err := json.Unmarshal(params, &p); err != nil || !lwhttp.EqualTokens(p.Key, h.endpoint.key) {
		rpcBadKeys.Add(1)
		h.session.Close()
		return nil, lwfault.New(lwfault.Unauthorized, "the cluster key does not match")
	}
	h.session.frameStream().authenticated.Store(true)
	return struct{}{}, nil
}

// faultData is the data of a JSON-RPC error that carries a fault.
type faultData struct {
	Kind       lwfault.Kind  `json:"kind"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Leader     string        `json:"leader,omitempty"`
}

func encodeFault(err error) *jsonrpc2.Error {
	f := lwfault.As(err)
	detail := f.Detail
	if f.Cause != nil {
		detail += ": " + f.Cause.Error()
	}
	e := &jsonrpc2.Error{Code: faultErrorCode, Message: detail}
	e.SetError(faultData{f.Kind, f.RetryAfter, f.Leader})
	return e
}

func decodeFault(err error) error {
	e, ok := errors.AsType[*jsonrpc2.Error](err)
	if !ok {
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			return &lwfault.Fault{Kind: lwfault.Timeout, Detail: "no answer in time", Cause: err}
		}
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "connection lost", Cause: &connLostError{err}}
	}
	var data faultData
	if e.Data == nil || json.Unmarshal(*e.Data, &data) != nil || data.Kind == "" {
		return lwfault.New(lwfault.Internal, "%s", e.Message)
	}
	return &lwfault.Fault{Kind: data.Kind, Detail: e.Message, RetryAfter: data.RetryAfter, Leader: data.Leader}
}
