package lwrunner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// errOtherIncarnation means that another incarnation with the id of the one that a call is for has
// accepted a connection, so that the one that the call is for has ended. The call was not made.
var errOtherIncarnation = errors.New("another incarnation of the worker answers")

// notSentError means that a call was not made, since there is no connection that its incarnation
// is known to have accepted.
type notSentError struct{ cause error }

// Error implements the error interface.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// verifiedConn is a connection whose incarnation is known.
type verifiedConn struct {
	Conn
	incarnation lwjob.WorkerIncarnation
}

// connPool holds connections to the worker, each with the incarnation that has accepted it. Calls
// name a worker by its id, which the next incarnation may have, too, and a call without an answer
// does not tell which of the two it has reached. A connection belongs to one incarnation, so a call
// on a connection that its incarnation has accepted reaches that one or none.
type connPool struct {
	worker Worker

	mu     sync.Mutex
	idle   []verifiedConn
	open   int // idle ones and those in use
	closed bool
}

// acquire returns a connection that the incarnation of a call has accepted. A new connection is
// verified by a poll that renews no lease and acknowledges no end. Errors are notSentErrors, of
// which a refusal or errOtherIncarnation may be the cause.
func (p *connPool) acquire(ctx context.Context, c Call) (verifiedConn, error) {
	if conn, ok := p.takeIdle(c.Incarnation); ok {
		return conn, nil
	}
	conn, err := p.connect(ctx, c)
	if err != nil {
		return verifiedConn{}, &notSentError{err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	return conn, nil
}

// takeIdle returns the idle connection of an incarnation that was used last. It closes those of
// other incarnations.
func (p *connPool) takeIdle(i lwjob.WorkerIncarnation) (verifiedConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn verifiedConn) bool { return conn.incarnation != i || !conn.Usable() })
	if len(p.idle) == 0 {
		return verifiedConn{}, false
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return conn, true
}

// connect opens and verifies a connection.
func (p *connPool) connect(ctx context.Context, c Call) (verifiedConn, error) {
	conn, err := p.worker.Connect(ctx)
	if err != nil {
		return verifiedConn{}, err
	}
	lists, err := conn.Poll(ctx, c, 0, 0, 0)
	if err == nil && lists.ofOther(c.Incarnation) {
		err = errOtherIncarnation
	}
	if err != nil {
		conn.Close()
		return verifiedConn{}, err
	}
	return verifiedConn{conn, c.Incarnation}, nil
}

// release returns a connection to the pool, given the result of the call on it. After a call
// without an answer it is closed: a late answer would be taken for that of the next call.
func (p *connPool) release(conn verifiedConn, err error) {
	_, refused := errors.AsType[*RefusedError](err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || err != nil && !refused || !conn.Usable() {
		p.open--
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// ensureOpen opens a connection for the next call if there is none: while the worker refuses polls or
// answers them late, no new connection can be verified, and calls would wait.
func (p *connPool) ensureOpen(ctx context.Context, c Call) {
	p.mu.Lock()
	p.closeIdle(func(conn verifiedConn) bool { return conn.incarnation != c.Incarnation || !conn.Usable() })
	hasOne := p.open > 0
	p.mu.Unlock()
	if hasOne {
		return
	}
	if conn, err := p.acquire(ctx, c); err == nil {
		p.release(conn, nil)
	}
}

// close closes the idle connections now, and those in use when they are released.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(func(verifiedConn) bool { return true })
}

// closeIdle closes some of the idle connections. The caller holds mu.
func (p *connPool) closeIdle(unwanted func(verifiedConn) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(conn verifiedConn) bool {
		if !unwanted(conn) {
			return false
		}
		p.open--
		conn.Close()
		return true
	})
}

// withConn makes one call on a verified connection, bounded in time.
func (p *connPool) withConn(ctx context.Context, c Call, timeout time.Duration, f func(context.Context, Conn) error) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.acquire(call, c)
	if err != nil {
		return err
	}
	err = f(call, conn.Conn)
	p.release(conn, err)
	return err
}
