// Package lwhttp runs HTTP servers on nbhttp with the limits that every
// listener of a node needs. It exists because nbhttp alone neither cancels a
// request when its caller disconnects nor holds a handler back when the caller
// reads slowly.
package lwhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	defaultMaxBody      = 4 * lwunit.MiB
	defaultMaxConns     = 4096
	defaultIdle         = 30 * time.Second
	defaultWriteStall   = 30 * time.Second
	readBufferBytes     = 16 << 10
	headerSlack         = 64 * lwunit.KiB
	handlerLimit        = 2048
	copyBytes           = 32 << 10
	unsentLimit         = 256 << 10
	stopLimit           = 2 * time.Second
	watchEvery          = 50 * time.Millisecond
	smallAnswer         = 16 << 10
	closeGrace          = 10 * time.Millisecond
	drainPoll           = 10 * time.Millisecond
	connectionHeader    = "Connection"
	connectionCloseWord = "close"
)

var (
	httpRequests      = lwmetric.Counter("http_requests_total")
	httpDisconnects   = lwmetric.Counter("http_caller_disconnects_total")
	httpStopsCut      = lwmetric.Counter("http_stops_cut_total")
	httpSlowReaders   = lwmetric.Counter("http_slow_reader_closes_total")
	httpAddressLimits = lwmetric.Counter("http_address_limit_closes_total")
)

// Config sets up a Server. Zero fields take their defaults.
type Config struct {
	Name          string       // for logs
	Address       string       // host:port to listen on
	Handler       http.Handler // receives every request
	MaxBody       lwunit.Bytes // largest request body
	MaxConns      int          // open connections in total
	MaxPerAddress int          // open connections from one IP address; 0 is no limit
	Idle          time.Duration
	WriteStall    time.Duration // longest wait for a caller that does not read
}

// Server is one listening HTTP server.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	draining atomic.Bool
	inFlight atomic.Int64
	conns    sync.Map // *nbio.Conn to *connection
	address  struct {
		mu    sync.Mutex
		count map[string]int
	}
}

// connection is the state of one accepted connection.
type connection struct {
	mu      sync.Mutex
	cancel  context.CancelFunc // cancels the request being served, if any
	queued  int64              // bytes handed to nbio
	sent    int64              // bytes the kernel took
	drained chan struct{}      // signalled when sent grows
	closed  bool
}

// Listen starts a server.
func Listen(cfg Config) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	cfg = withDefaults(cfg)
	s := &Server{cfg: cfg}
	s.address.count = make(map[string]int)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                   cfg.Name,
		Network:                "tcp",
		Addrs:                  []string{cfg.Address},
		Handler:                http.HandlerFunc(s.serve),
		MaxLoad:                cfg.MaxConns,
		ReadLimit:              int(cfg.MaxBody + headerSlack),
		MaxHTTPBodySize:        int(cfg.MaxBody),
		ReadBufferSize:         readBufferBytes,
		KeepaliveTime:          cfg.Idle,
		MessageHandlerPoolSize: handlerLimit,
		SupportServerOnly:      true,
		NPoller:                1,
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(s.closed)
	s.engine.OnWrittenSize(s.written)
	if err := s.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	return s, nil
}

func withDefaults(cfg Config) Config {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	if cfg.WriteStall == 0 {
		cfg.WriteStall = defaultWriteStall
	}
	return cfg
}

// Address returns the address the server listens on.
func (s *Server) Address() string { return s.engine.Addrs[0] }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain asks callers to leave with "Connection: close" and waits until no
// request is in flight or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain %s: %w", s.cfg.Name, ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() { StopWithin(s.engine.Stop) }

// StopWithin runs the stop function of an nbio engine, but waits only so long:
// the engine waits for every connection, and one that was closed while it was
// being added is never counted off.
func StopWithin(stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if recover() != nil { // the engine panics if a connection is added meanwhile
				httpStopsCut.Add(1)
			}
		}()
		stop()
	}()
	select {
	case <-done:
	case <-time.After(stopLimit):
		httpStopsCut.Add(1)
	}
}

func host(c net.Conn) string {
	h, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return h
}

func (s *Server) opened(c net.Conn) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.conns.Store(nbc, &connection{drained: make(chan struct{}, 1)})
	s.address.mu.Lock()
	s.address.count[host(c)]++
	over := s.cfg.MaxPerAddress > 0 && s.address.count[host(c)] > s.cfg.MaxPerAddress
	s.address.mu.Unlock()
	if over {
		httpAddressLimits.Add(1)
		// nbhttp polls the connection only after this callback; one closed
		// before would never be, and its caller would wait for ever.
		time.AfterFunc(closeGrace, func() { _ = c.Close() })
	}
}

func (s *Server) closed(c net.Conn, _ error) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	v, ok := s.conns.LoadAndDelete(nbc)
	if !ok {
		return
	}
	s.forgetAddress(host(c))
	v.(*connection).close()
}

func (s *Server) forgetAddress(h string) {
	s.address.mu.Lock()
	defer s.address.mu.Unlock()
	s.address.count[h]--
	if s.address.count[h] <= 0 {
		delete(s.address.count, h)
	}
}

func (s *Server) written(c *nbio.Conn, _ []byte, n int) {
	v, ok := s.conns.Load(c)
	if !ok {
		return
	}
	conn := v.(*connection)
	conn.mu.Lock()
	conn.sent += int64(n)
	conn.mu.Unlock()
	conn.signal()
}

func (c *connection) signal() {
	select {
	case c.drained <- struct{}{}:
	default:
	}
}

func (c *connection) close() {
	c.mu.Lock()
	cancel := c.cancel
	c.closed = true
	c.mu.Unlock()
	c.signal()
	if cancel != nil {
		httpDisconnects.Add(1)
		cancel()
	}
}

// begin registers the cancel function of the request being served.
func (c *connection) begin(cancel context.CancelFunc) {
	c.mu.Lock()
	c.cancel = cancel
	closed := c.closed
	c.mu.Unlock()
	if closed {
		cancel()
	}
}

// watch closes c soon after its caller has disconnected. nbhttp tells of that
// only once the handler has returned, which a handler that waits never would.
func (c *connection) watch(nbc *nbio.Conn) (stop func()) {
	var mu sync.Mutex
	done := false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(watchEvery, func() {
		mu.Lock()
		defer mu.Unlock()
		if done {
			return
		}
		if gone, _ := nbc.IsClosed(); gone {
			c.close()
			return
		}
		timer.Reset(watchEvery)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		done = true
		timer.Stop()
	}
}

func (c *connection) end() {
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	httpRequests.Add(1)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set(connectionHeader, connectionCloseWord)
	}
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil || res.Parser.Conn == nil {
		return
	}
	nbc, ok := underlying(res.Parser.Conn)
	if !ok {
		return
	}
	v, ok := s.conns.Load(nbc)
	if !ok {
		return
	}
	conn := v.(*connection)
	_ = nbc.SetReadDeadline(time.Time{}) // the keep-alive deadline must not cut a long answer
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	conn.begin(cancel)
	defer conn.end()
	stop := conn.watch(nbc)
	defer stop()
	out := &flowWriter{Response: res, conn: conn, nbc: nbc, stall: s.cfg.WriteStall}
	s.cfg.Handler.ServeHTTP(out, r.WithContext(ctx))
	if r.Close || s.draining.Load() {
		out.flush()
	}
}

func underlying(c net.Conn) (*nbio.Conn, bool) {
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		c = wrapped.Conn
	}
	nbc, ok := c.(*nbio.Conn)
	return nbc, ok
}

// flowWriter holds the handler back while too much of the answer is unsent.
type flowWriter struct {
	*nbhttp.Response
	conn  *connection
	nbc   *nbio.Conn
	stall time.Duration
	wrote int // bytes of this answer
}

// Write sends data and waits while more than unsentLimit bytes are queued.
func (w *flowWriter) Write(data []byte) (int, error) {
	n, err := w.Response.Write(data)
	if err != nil {
		return n, fmt.Errorf("write answer: %w", err)
	}
	w.wrote += n
	w.conn.mu.Lock()
	w.conn.queued += int64(n)
	w.conn.mu.Unlock()
	return n, w.wait()
}

// ReadFrom copies through Write. Without it io.Copy would find the response's
// own, which does not wait.
func (w *flowWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, r, make([]byte, copyBytes))
}

// WriteString sends text through Write.
func (w *flowWriter) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

func (w *flowWriter) wait() error {
	var timer *time.Timer
	for {
		w.conn.mu.Lock()
		unsent, closed := w.conn.queued-w.conn.sent, w.conn.closed
		w.conn.mu.Unlock()
		if closed {
			return lwfault.New(lwfault.Unavailable, "the caller closed the connection")
		}
		if unsent <= unsentLimit {
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(w.stall)
			defer timer.Stop()
		}
		select {
		case <-w.conn.drained:
		case <-timer.C:
			httpSlowReaders.Add(1)
			_ = w.nbc.Close()
			return lwfault.New(lwfault.Timeout, "the caller did not read for %s", w.stall)
		}
	}
}

// flush waits until the kernel has taken the whole answer. nbhttp closes a
// connection that is not kept alive as soon as the handler returns, and what is
// still queued then is lost.
func (w *flowWriter) flush() {
	if w.wrote < smallAnswer {
		return // nbhttp writes it after the handler, and the kernel takes it at once
	}
	deadline := time.Now().Add(w.stall)
	last, still := int64(-1), time.Now()
	for time.Now().Before(deadline) {
		w.conn.mu.Lock()
		sent, unsent, closed := w.conn.sent, w.conn.queued-w.conn.sent, w.conn.closed
		w.conn.mu.Unlock()
		if sent != last {
			last, still = sent, time.Now()
		}
		// The headers count as sent but not as queued, so the end is near when
		// all is sent and certain once nothing more moves.
		if closed || (unsent <= 0 && time.Since(still) >= closeGrace) {
			return
		}
		time.Sleep(closeGrace / 4)
	}
	httpSlowReaders.Add(1)
}

// Abort closes the connection under w, so that the caller sees a truncated
// answer as an error and never as a whole one.
func Abort(w http.ResponseWriter) {
	if fw, ok := w.(*flowWriter); ok {
		_ = fw.nbc.Close()
	}
}
