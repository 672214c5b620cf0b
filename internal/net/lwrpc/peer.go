package lwrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

const (
	dialTimeout       = 700 * time.Millisecond // several round trips between failure domains
	helloTimeout      = 700 * time.Millisecond
	minRedialInterval = 100 * time.Millisecond // from the start of a failed dial to the next one
)

// Peer is the process at one address. It connects on first use and reconnects
// after the connection has closed.
type Peer struct {
	endpoint *Endpoint
	address  string

	mu             sync.Mutex
	session        *Session
	pending        *pendingDial // nil while no dial is under way
	lastFailedDial time.Time    // when the last dial began; zero after a successful one
}

// pendingDial is a dial that the calls of a peer wait for. Session and err are set
// before done is closed.
type pendingDial struct {
	done    chan struct{}
	session *Session
	err     error
}

// Peer returns the peer at address. It does not connect yet.
func (e *Endpoint) Peer(address string) *Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &Peer{endpoint: e, address: address}
		e.peers[address] = p
	}
	return p
}

// Address returns the address of the peer.
func (p *Peer) Address() string { return p.address }

// NotSentError reports that a request was not sent.
type NotSentError struct{ Cause error }

// Error returns the cause after "not sent".
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// connLostError is the cause of a fault that comes from the connection, not from
// the peer's answer.
type connLostError struct{ cause error }

func (e *connLostError) Error() string { return e.cause.Error() }

func (e *connLostError) Unwrap() error { return e.cause }

func isConnLost(err error) bool {
	_, ok := errors.AsType[*connLostError](err)
	return ok
}

// Call sends a request to the peer and decodes the answer into result. A
// *NotSentError means that the peer has not received the request. After any
// other fault of kind Unavailable or Timeout that the peer did not answer
// itself, it may or may not have received the request.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	s, err := p.connect(ctx)
	if err != nil {
		return &NotSentError{err}
	}
	err = s.Call(ctx, method, params, result)
	if isConnLost(err) {
		p.discard(s)
	}
	return err
}

// Notify sends a notification to the peer.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	s, err := p.connect(ctx)
	if err != nil {
		return err
	}
	if err := s.Notify(ctx, method, params); err != nil {
		p.discard(s)
		return err
	}
	return nil
}

// Disconnected returns a channel that is closed when the current connection closes,
// or nil if there is none.
func (p *Peer) Disconnected() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil {
		return nil
	}
	return p.session.Done()
}

// disconnect closes the connection; the next use dials again.
func (p *Peer) disconnect() {
	p.mu.Lock()
	s := p.session
	p.session = nil
	p.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// discard closes s and stops using it.
func (p *Peer) discard(s *Session) {
	p.mu.Lock()
	if p.session == s {
		p.session = nil
	}
	p.mu.Unlock()
	s.Close()
}

// connect returns the open session, or waits for a new one until ctx ends. It does
// not dial within minRedialInterval of a failed dial.
func (p *Peer) connect(ctx context.Context) (*Session, error) {
	s, d, err := p.sessionOrDial()
	if d == nil {
		return s, err
	}
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, &lwfault.Fault{Kind: lwfault.Timeout, Detail: "dial " + p.address, Cause: ctx.Err()}
	}
}

// sessionOrDial returns the open session or the dial under way, which it starts if
// there is none.
func (p *Peer) sessionOrDial() (*Session, *pendingDial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		select {
		case <-p.session.Done():
		default:
			return p.session, nil, nil
		}
	}
	if p.pending != nil {
		return nil, p.pending, nil
	}
	if p.endpoint.closing.Load() {
		return nil, nil, lwfault.New(lwfault.Unavailable, "this endpoint is closed")
	}
	if time.Since(p.lastFailedDial) < minRedialInterval {
		return nil, nil, lwfault.New(lwfault.Unavailable, "the last dial of %s failed; it began less than %s ago", p.address, minRedialInterval)
	}
	p.pending = &pendingDial{done: make(chan struct{})}
	p.endpoint.dials.Add(1)
	go p.dial(p.pending)
	return nil, p.pending, nil
}

// dial connects on behalf of all calls that wait for it.
func (p *Peer) dial(d *pendingDial) {
	defer p.endpoint.dials.Done()
	began := time.Now()
	d.session, d.err = p.endpoint.dial(p.address)
	p.mu.Lock()
	p.pending = nil
	p.session = d.session
	p.lastFailedDial = time.Time{}
	if d.err != nil {
		p.lastFailedDial = began
	}
	closing := p.endpoint.closing.Load()
	p.mu.Unlock()
	close(d.done)
	if closing {
		p.disconnect()
	}
}

func (e *Endpoint) dial(address string) (*Session, error) {
	c, err := nbio.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "dial " + address, Cause: err}
	}
	s := e.addSession(c, true)
	if _, err := e.engine.AddConn(c); err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "poll " + address, Cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	if err := s.Call(ctx, helloMethod, helloParams{e.key}, nil); err != nil {
		s.Close()
		return nil, fmt.Errorf("authenticate to %s: %w", address, err)
	}
	return s, nil
}
