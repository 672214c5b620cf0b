package lwhttp

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// connection is the state of one accepted connection.
type connection struct {
	nbc         *nbio.Conn
	mu          sync.Mutex
	prepared    bool // its parser hands jobs to Server.execute
	in          inbound
	cancel      context.CancelFunc // of the request being served, if any
	queuedBytes int64              // bytes handed to nbio, of all answers so far
	sentBytes   int64              // bytes written to the socket
	progress    chan struct{}      // signalled when sentBytes grows or the connection closes
	closed      bool
	timer       *time.Timer // ends the connection if it stays idle; nil before it is first set
}

func remoteIP(c net.Conn) string {
	ip, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return ip
}

func (s *Server) onOpen(c net.Conn) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	added := &connection{nbc: nbc, progress: make(chan struct{}, 1), in: inbound{usedAt: time.Now()}}
	s.conns.Store(nbc, added)
	callers.add(added)
	added.shutdownAfter(s.cfg.IdleTimeout)
	s.perAddress.mu.Lock()
	s.perAddress.count[remoteIP(c)]++
	overLimit := s.cfg.MaxPerAddress > 0 && s.perAddress.count[remoteIP(c)] > s.cfg.MaxPerAddress
	s.perAddress.mu.Unlock()
	if overLimit {
		httpAddressLimitCloses.Add(1)
		added.shutdown()
	}
}

func (s *Server) onClose(c net.Conn, _ error) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	v, ok := s.conns.LoadAndDelete(nbc)
	if !ok {
		return
	}
	s.releaseAddress(remoteIP(c))
	callers.closed(v.(*connection))
	v.(*connection).close()
}

func (s *Server) releaseAddress(ip string) {
	s.perAddress.mu.Lock()
	defer s.perAddress.mu.Unlock()
	s.perAddress.count[ip]--
	if s.perAddress.count[ip] <= 0 {
		delete(s.perAddress.count, ip)
	}
}

func (s *Server) connectionOf(nbc *nbio.Conn) *connection {
	v, ok := s.conns.Load(nbc)
	if !ok {
		return nil
	}
	return v.(*connection)
}

func (s *Server) onWritten(nbc *nbio.Conn, _ []byte, n int) {
	c := s.connectionOf(nbc)
	if c == nil {
		return
	}
	c.mu.Lock()
	c.sentBytes += int64(n)
	held := c.mayReceive()
	c.mu.Unlock()
	if held {
		go s.resume(c) // the caller holds the lock of nbc
	}
	c.signalProgress()
}

func (c *connection) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// stopReceiving ends the reading from the connection.
func (c *connection) stopReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in.ended = true
}

// shutdown ends the reading, and has the poller close the connection. A close by another
// goroutine would free the file descriptor while the poller holds an event for it, which the
// poller would apply to a new connection. The caller must not hold the lock of c or c.nbc.
func (c *connection) shutdown() {
	c.stopReceiving()
	c.nbc.Lock()
	defer c.nbc.Unlock()
	if closed, _ := c.nbc.IsClosed(); closed {
		return
	}
	if raw, err := c.nbc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) }) // fails if the caller has reset it
	}
}

// closeLater ends the reading, and closes the connection in a goroutine, since a caller of the
// account may hold the lock of this or another connection. Unlike shutdown it frees memory while
// the poller has much to read from others.
func (c *connection) closeLater() {
	c.stopReceiving()
	// nbhttp adds a new connection to its poller after it has called onOpen. One that is closed
	// before that is never polled, and its caller would wait forever.
	time.AfterFunc(closeDelay, func() { _ = c.nbc.Close() })
}

// shutdownAfter ends the connection after a time of waiting for its caller.
func (c *connection) shutdownAfter(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
	case c.timer == nil:
		c.timer = time.AfterFunc(timeout, c.shutdown)
	default:
		c.timer.Reset(timeout)
	}
}

// stopTimer has the connection stay open while a request is in service.
func (c *connection) stopTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// close marks c as closed and cancels the request being served.
func (c *connection) close() {
	c.mu.Lock()
	cancel := c.cancel
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.signalProgress()
	if cancel != nil {
		httpDisconnects.Add(1)
		cancel()
	}
}

// startRequest registers the cancel function of the request being served, and
// calls it if the connection has closed.
func (c *connection) startRequest(cancel context.CancelFunc) {
	c.mu.Lock()
	c.cancel = cancel
	closed := c.closed
	c.mu.Unlock()
	if closed {
		cancel()
	}
}

// watchDisconnect polls nbc and closes c soon after nbc has closed, until stop is
// called. nbhttp reports a disconnection only after
// the handler has returned, and a handler that waits for a cancellation would
// never return.
func (c *connection) watchDisconnect(nbc *nbio.Conn) (stop func()) {
	var mu sync.Mutex
	stopped := false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(disconnectPollInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if closed, _ := nbc.IsClosed(); closed {
			c.close()
			return
		}
		timer.Reset(disconnectPollInterval)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

func (c *connection) endRequest() {
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
}

func nbioConn(c net.Conn) (*nbio.Conn, bool) {
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		c = wrapped.Conn
	}
	if metered, ok := c.(*meteredConn); ok {
		return metered.Conn, true
	}
	nbc, ok := c.(*nbio.Conn)
	return nbc, ok
}
