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
	dialTimeout     = 700 * time.Millisecond // several round trips between failure domains
	helloTimeout    = 700 * time.Millisecond
	redialPause     = 100 * time.Millisecond
	readBufferBytes = 16 << 10
	unsentLimit     = 16 << 20
	faultCode       = -32000
)

// Session is one authenticated connection to another process.
type Session struct {
	heard   atomic.Int64 // when bytes last came in, in nanoseconds of the endpoint's clock
	pinging atomic.Bool

	mu      sync.Mutex // held by attach until the rest is set
	rpc     *jsonrpc2.Conn
	stream  *stream
	trusted bool
	dialled bool // by this process, which then watches over it
}

func (s *Session) conn() *jsonrpc2.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rpc
}

func (s *Session) frames() *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream
}

// Done is closed when the connection has ended.
func (s *Session) Done() <-chan struct{} { return s.conn().DisconnectNotify() }

// Close ends the connection.
func (s *Session) Close() { _ = s.conn().Close() }

// Notify sends a message that has no answer.
func (s *Session) Notify(ctx context.Context, method string, params any) error {
	if err := s.conn().Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s: %w", method, err)
	}
	return nil
}

// Call sends a request and decodes its answer into result.
func (s *Session) Call(ctx context.Context, method string, params, result any) error {
	err := s.conn().Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	return fmt.Errorf("call %s: %w", method, decodeFault(err))
}

// Handler serves one method. The answer is encoded as JSON.
type Handler func(ctx context.Context, s *Session, params json.RawMessage) (any, error)

// Endpoint listens for connections and dials others on one nbio engine.
type Endpoint struct {
	key    string
	engine *nbio.Engine
	clock  lwclock.Clock
	done   chan struct{} // closed by Close

	closed   sync.Once
	closing  atomic.Bool
	sessions sync.Map // *nbio.Conn to *Session

	mu      sync.RWMutex
	methods map[string]Handler
	peers   map[string]*Peer
}

// Listen starts an endpoint. An empty address makes a dial-only endpoint. The
// key is the cluster's shared secret; every connection must present it first.
func Listen(address, key string) (*Endpoint, error) {
	logging.SetLevel(logging.LevelNone)
	cfg := nbio.Config{Name: "rpc", Network: "tcp", NPoller: 1, ReadBufferSize: readBufferBytes, MaxWriteBufferSize: unsentLimit}
	if address != "" {
		cfg.Addrs = []string{address}
	}
	e := &Endpoint{key: key, engine: nbio.NewEngine(cfg), clock: lwclock.New(), done: make(chan struct{}), methods: make(map[string]Handler), peers: make(map[string]*Peer)}
	e.engine.OnOpen(func(c *nbio.Conn) { e.attach(c, false) })
	e.engine.OnData(func(c *nbio.Conn, data []byte) {
		if s, ok := e.sessions.Load(c); ok {
			s.(*Session).heard.Store(int64(e.clock.Now()))
			s.(*Session).frames().receive(data)
		}
	})
	e.engine.OnClose(func(c *nbio.Conn, err error) {
		if s, ok := e.sessions.LoadAndDelete(c); ok {
			rpcConnections.Add(-1)
			s.(*Session).frames().fail(closeReason(err))
		}
	})
	if err := e.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	go e.keepAlive()
	return e, nil
}

func closeReason(err error) error {
	if err == nil {
		return lwfault.New(lwfault.Unavailable, "connection closed")
	}
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "connection closed", Cause: err}
}

// Address returns the address the endpoint listens on.
func (e *Endpoint) Address() string {
	if len(e.engine.Addrs) == 0 {
		return ""
	}
	return e.engine.Addrs[0]
}

// Handle registers the handler of a method.
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
		p.drop()
	}
	e.mu.RUnlock()
	e.closed.Do(func() {
		close(e.done)
		lwhttp.StopWithin(e.engine.Stop)
	})
}

// attach makes a session on a new connection; dialled ones are trusted.
func (e *Endpoint) attach(c *nbio.Conn, dialled bool) *Session {
	if s, ok := e.sessions.Load(c); ok {
		return s.(*Session)
	}
	s := &Session{trusted: dialled, dialled: dialled}
	s.heard.Store(int64(e.clock.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream = newStream(c)
	e.sessions.Store(c, s)
	_ = c.SetNoDelay(true)
	rpcConnections.Add(1)
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) // closed connections are counted, not logged
	s.rpc = jsonrpc2.NewConn(context.Background(), s.stream, jsonrpc2.AsyncHandler(handler{e, s}), quiet)
	return s
}

type handler struct {
	e *Endpoint
	s *Session
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
	h.s.mu.Lock()
	trusted := h.s.trusted
	h.s.mu.Unlock()
	if !trusted {
		h.s.Close()
		return nil, lwfault.New(lwfault.Unauthorized, "the first message must be hello")
	}
	h.e.mu.RLock()
	f, ok := h.e.methods[r.Method]
	h.e.mu.RUnlock()
	if !ok {
		// A process that starts listens before its roles have registered their
		// methods: this says nothing of what the request names.
		return nil, lwfault.New(lwfault.NotLeader, "this process does not serve %q now", r.Method)
	}
	return f(ctx, h.s, params)
}

func (h handler) hello(params json.RawMessage) (any, error) {
	var p helloParams
	if err := json.Unmarshal(params, &p); err != nil || !lwhttp.SameToken(p.Key, h.e.key) {
		rpcBadKeys.Add(1)
		h.s.Close()
		return nil, lwfault.New(lwfault.Unauthorized, "the cluster key does not match")
	}
	h.s.mu.Lock()
	h.s.trusted = true
	h.s.mu.Unlock()
	return struct{}{}, nil
}

// Peer returns the handle for the process at address.
func (e *Endpoint) Peer(address string) *Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &Peer{e: e, address: address}
		e.peers[address] = p
	}
	return p
}

// Peer reaches one address, dialling when needed.
type Peer struct {
	e       *Endpoint
	address string

	mu       sync.Mutex
	session  *Session
	lastDial time.Time
}

// Address returns the address of the peer.
func (p *Peer) Address() string { return p.address }

// NotSentError means that a request never left this process.
type NotSentError struct{ Cause error }

// Error returns why it was not sent.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Call sends a request to the peer. An error of kind Unavailable that wraps no
// answer means the request may or may not have arrived.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	s, err := p.connect(ctx)
	if err != nil {
		return &NotSentError{err}
	}
	err = s.Call(ctx, method, params, result)
	if err != nil && isClosed(err) {
		p.forget(s)
	}
	return err
}

// Notify sends a message without an answer to the peer.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	s, err := p.connect(ctx)
	if err != nil {
		return err
	}
	if err := s.Notify(ctx, method, params); err != nil {
		p.forget(s)
		return err
	}
	return nil
}

func isClosed(err error) bool {
	return errors.Is(err, jsonrpc2.ErrClosed) || lwfault.KindOf(err) == lwfault.Unavailable
}

// Reset closes the connection, so that the next call dials again.
func (p *Peer) Reset() { p.drop() }

func (p *Peer) drop() {
	p.mu.Lock()
	s := p.session
	p.session = nil
	p.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

func (p *Peer) forget(s *Session) {
	p.mu.Lock()
	if p.session == s {
		p.session = nil
	}
	p.mu.Unlock()
	s.Close()
}

func (p *Peer) connect(ctx context.Context) (*Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		select {
		case <-p.session.Done():
		default:
			return p.session, nil
		}
	}
	if time.Since(p.lastDial) < redialPause {
		return nil, lwfault.New(lwfault.Unavailable, "%s was dialled less than %s ago", p.address, redialPause)
	}
	p.lastDial = time.Now()
	s, err := p.e.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.session = s
	p.lastDial = time.Time{}
	return s, nil
}

func (e *Endpoint) dial(ctx context.Context, address string) (*Session, error) {
	if e.closing.Load() {
		return nil, lwfault.New(lwfault.Unavailable, "this endpoint is closed")
	}
	c, err := nbio.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "dial " + address, Cause: err}
	}
	s := e.attach(c, true)
	if _, err := e.engine.AddConn(c); err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "poll " + address, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if err := s.Call(ctx, helloMethod, helloParams{e.key}, nil); err != nil {
		s.Close()
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	return s, nil
}

type wireFault struct {
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
	e := &jsonrpc2.Error{Code: faultCode, Message: detail}
	e.SetError(wireFault{f.Kind, f.RetryAfter, f.Leader})
	return e
}

func decodeFault(err error) error {
	e, ok := errors.AsType[*jsonrpc2.Error](err)
	if !ok {
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			return &lwfault.Fault{Kind: lwfault.Timeout, Detail: "no answer in time", Cause: err}
		}
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "connection lost", Cause: err}
	}
	var w wireFault
	if e.Data == nil || json.Unmarshal(*e.Data, &w) != nil || w.Kind == "" {
		return lwfault.New(lwfault.Internal, "%s", e.Message)
	}
	return &lwfault.Fault{Kind: w.Kind, Detail: e.Message, RetryAfter: w.RetryAfter, Leader: w.Leader}
}
