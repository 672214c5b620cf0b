// Package lwhttp runs HTTP servers on nbhttp and adds limits that every
// listener of a node needs. On its own, nbhttp neither cancels a request whose
// caller disconnects nor applies backpressure to a handler whose caller reads
// slowly.
package lwhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
	defaultMaxBody           = 4 * lwunit.MiB
	defaultMaxConns          = 4096
	defaultIdleTimeout       = 30 * time.Second
	defaultWriteStallTimeout = 30 * time.Second
	readBufferBytes          = 16 << 10
	maxHeaderBytes           = 64 * lwunit.KiB // read in addition to MaxBody
	maxConcurrentHandlers    = 2048
	copyBufferBytes          = 32 << 10
	maxUnsentBytes           = 256 << 10
	maxChunkBytes            = 16 << 10
	maxBufferedChunks        = 48 << 10
	maxChunkOverhead         = 256 // of a chunk, a header line, or the status line with the date
	engineStopTimeout        = 2 * time.Second
	disconnectPollInterval   = 50 * time.Millisecond
	smallAnswerBytes         = 16 << 10               // smaller answers are not awaited before a close
	closeDelay               = 10 * time.Millisecond  // for the poller to add a connection, or for queued bytes to move
	lingerTimeout            = 100 * time.Millisecond // for the caller to close a connection after its last answer
	drainPollInterval        = 10 * time.Millisecond
	acceptPause              = 20 * time.Millisecond
	spareConnections         = 64 // beyond MaxConns, for connections that are being closed
	connectionHeader         = "Connection"
	connectionClose          = "close"
)

var (
	httpRequests           = lwmetric.Counter("http_requests_total")
	httpDisconnects        = lwmetric.Counter("http_caller_disconnects_total")
	httpIncompleteStops    = lwmetric.Counter("http_stops_cut_total")
	httpSlowReaderCloses   = lwmetric.Counter("http_slow_reader_closes_total")
	httpAddressLimitCloses = lwmetric.Counter("http_address_limit_closes_total")
)

// Config sets up a Server. MaxBody, MaxConns, IdleTimeout and WriteStallTimeout
// take a default if they are zero.
type Config struct {
	Name              string        // for error messages
	Address           string        // host:port to listen on
	Handler           http.Handler  // serves every request
	MaxBody           lwunit.Bytes  // size limit of a request body
	MaxConns          int           // limit of open connections
	MaxPerAddress     int           // limit of open connections from one IP address; 0 is no limit
	IdleTimeout       time.Duration // longest wait for the first or the next whole request on a connection
	WriteStallTimeout time.Duration // longest wait of one write for a caller that reads too slowly
}

// Server is an HTTP server on one address.
type Server struct {
	cfg        Config
	engine     *nbhttp.Engine
	draining   atomic.Bool
	inFlight   atomic.Int64
	conns      sync.Map // *nbio.Conn to *connection
	perAddress struct {
		mu    sync.Mutex
		count map[string]int // open connections by IP address
	}
}

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
}

// Listen starts a server on cfg.Address.
func Listen(cfg Config) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	cfg = withDefaults(cfg)
	s := &Server{cfg: cfg}
	s.perAddress.count = make(map[string]int)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                   cfg.Name,
		Network:                "tcp",
		Addrs:                  []string{cfg.Address},
		Handler:                http.HandlerFunc(s.serve),
		MaxLoad:                cfg.MaxConns + spareConnections,
		ReadLimit:              int(cfg.MaxBody + maxHeaderBytes),
		MaxHTTPBodySize:        int(cfg.MaxBody),
		ReadBufferSize:         readBufferBytes,
		KeepaliveTime:          cfg.IdleTimeout,
		MessageHandlerPoolSize: maxConcurrentHandlers,
		SupportServerOnly:      true,
		NPoller:                1,
		EpollMod:               nbio.EPOLLET, // a connection that is held back causes no events
		Listen:                 listen,
		OnRequest:              s.onRequest,
	})
	s.engine.OnRead(s.onReadable)
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(s.onWritten)
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
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.WriteStallTimeout == 0 {
		cfg.WriteStallTimeout = defaultWriteStallTimeout
	}
	return cfg
}

// Address returns the address the server listens on.
func (s *Server) Address() string { return s.engine.Addrs[0] }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain makes the server add "Connection: close" to its answers and waits until
// no request is in flight or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain %s: %w", s.cfg.Name, ctx.Err())
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() { StopEngine(s.engine.Stop) }

// StopEngine runs the stop function of an nbio engine and waits for it at most
// engineStopTimeout. The engine waits for all its connections to close, but
// never counts one as closed that was closed while it was being added.
func StopEngine(stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if recover() != nil { // the engine panics if a connection is added meanwhile
				httpIncompleteStops.Add(1)
			}
		}()
		stop()
	}()
	select {
	case <-done:
	case <-time.After(engineStopTimeout):
		httpIncompleteStops.Add(1)
	}
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
	s.perAddress.mu.Lock()
	s.perAddress.count[remoteIP(c)]++
	overLimit := s.cfg.MaxPerAddress > 0 && s.perAddress.count[remoteIP(c)] > s.cfg.MaxPerAddress
	s.perAddress.mu.Unlock()
	if overLimit {
		httpAddressLimitCloses.Add(1)
		// nbhttp adds the connection to its poller after this callback. A
		// connection closed before that is never polled, and its caller would
		// wait forever.
		time.AfterFunc(closeDelay, func() { _ = c.Close() })
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

// close marks c as closed and cancels the request being served.
func (c *connection) close() {
	c.mu.Lock()
	cancel := c.cancel
	c.closed = true
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

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	httpRequests.Add(1)
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil || res.Parser.Conn == nil {
		return
	}
	nbc, ok := nbioConn(res.Parser.Conn)
	if !ok {
		return
	}
	conn := s.connectionOf(nbc)
	if conn == nil {
		return
	}
	s.inFlight.Add(1)
	last := r.Close || s.draining.Load()
	conn.mu.Lock()
	conn.in.counted, conn.in.last = true, last // until the answer is written
	conn.mu.Unlock()
	if last {
		w.Header().Set(connectionHeader, connectionClose)
	}
	requestedClose := r.Close
	// nbhttp would close the connection as soon as the answer is written, while
	// the caller closes it too. The poller may then apply the caller's close to
	// a new connection that has got the same file descriptor.
	r.Close = false
	_ = nbc.SetReadDeadline(time.Time{}) // the idle deadline must not end a request in service
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	conn.startRequest(cancel)
	defer conn.endRequest()
	stop := conn.watchDisconnect(nbc)
	defer stop()
	out := &backpressureWriter{Response: res, conn: conn, nbc: nbc, stallTimeout: s.cfg.WriteStallTimeout, atLeast11: r.ProtoAtLeast(1, 1)}
	r = r.WithContext(ctx)
	r.Close = requestedClose
	s.cfg.Handler.ServeHTTP(out, r)
	if last || s.draining.Load() {
		out.awaitSent()
	}
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

// backpressureWriter blocks the handler while too much of the answer is unsent.
type backpressureWriter struct {
	*nbhttp.Response
	conn         *connection
	nbc          *nbio.Conn
	stallTimeout time.Duration
	writtenBytes int // body bytes of this answer
	atLeast11    bool
	begun        bool // a chunk has been written
	buffered     int  // at least the bytes that nbhttp has buffered of a chunked answer
}

// Write queues data and waits while more than maxUnsentBytes are queued.
func (w *backpressureWriter) Write(data []byte) (int, error) {
	chunked := w.isChunked()
	written := 0
	for {
		part := data[written:]
		if chunked {
			part = part[:min(len(part), maxChunkBytes)]
			w.flushBefore(len(part))
		}
		n, err := w.Response.Write(part)
		n = min(n, len(part)) // nbhttp also counts what it had buffered
		written += n
		w.writtenBytes += n
		if err != nil {
			return written, fmt.Errorf("write answer: %w", err)
		}
		if err := w.awaitSpace(); err != nil || written == len(data) {
			return written, err
		}
		if n == 0 {
			return written, io.ErrShortWrite
		}
	}
}

// isChunked reports whether nbhttp sends the answer in chunks.
func (w *backpressureWriter) isChunked() bool {
	return w.atLeast11 && w.Header().Get(contentLengthHeader) == "" || slices.Contains(w.Header()["Transfer-Encoding"], "chunked")
}

// flushBefore sends what nbhttp has buffered of a chunked answer if a chunk of n bytes could make it
// 64 KiB or more. nbhttp would then free the buffer before its last use and again after it, and
// another answer would share it.
func (w *backpressureWriter) flushBefore(n int) {
	if !w.begun {
		w.begun = true
		w.buffered = maxChunkOverhead
		for name, values := range w.Header() {
			for _, v := range values {
				w.buffered += len(name) + len(v) + maxChunkOverhead
			}
		}
	}
	w.buffered += n + maxChunkOverhead
	if w.buffered > maxBufferedChunks {
		w.Flush()
		w.buffered = n + maxChunkOverhead
	}
}

// ReadFrom copies r through Write. Without it io.Copy would use the ReadFrom of
// the embedded response, which applies no backpressure.
func (w *backpressureWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, r, make([]byte, copyBufferBytes))
}

// WriteString writes s through Write. That of the embedded response applies no
// backpressure.
func (w *backpressureWriter) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// awaitSpace waits until at most maxUnsentBytes are queued. It closes the
// connection if that takes longer than stallTimeout.
func (w *backpressureWriter) awaitSpace() error {
	var timer *time.Timer
	for {
		w.conn.mu.Lock()
		unsent, closed := w.conn.queuedBytes-w.conn.sentBytes, w.conn.closed
		w.conn.mu.Unlock()
		if closed {
			return lwfault.New(lwfault.Unavailable, "the caller closed the connection")
		}
		if unsent <= maxUnsentBytes {
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(w.stallTimeout)
			defer timer.Stop()
		}
		select {
		case <-w.conn.progress:
		case <-timer.C:
			httpSlowReaderCloses.Add(1)
			_ = w.nbc.Close()
			return lwfault.New(lwfault.Timeout, "the caller read too slowly for %s", w.stallTimeout)
		}
	}
}

// awaitSent waits until the whole answer has been written to the socket, but no
// longer than stallTimeout. A connection that is not kept alive closes
// lingerTimeout after the answer, which discards the bytes still queued. nbhttp
// holds back an answer of up to 64 KiB until the handler returns, unless it is
// flushed.
func (w *backpressureWriter) awaitSent() {
	if w.writtenBytes < smallAnswerBytes {
		return // nbhttp writes it after the handler returns, and it fits the socket's buffer
	}
	w.Flush()
	deadline := time.Now().Add(w.stallTimeout)
	for time.Now().Before(deadline) {
		w.conn.mu.Lock()
		unsent, closed := w.conn.queuedBytes-w.conn.sentBytes, w.conn.closed
		w.conn.mu.Unlock()
		if closed || unsent <= 0 {
			return
		}
		time.Sleep(closeDelay / 4)
	}
	httpSlowReaderCloses.Add(1)
}

// AbortConnection closes the connection of w, so that the caller gets an error
// and does not take a truncated answer for a complete one. It has no effect if w
// is not the writer that a Server passed to its handler.
func AbortConnection(w http.ResponseWriter) {
	if bw, ok := w.(*backpressureWriter); ok {
		_ = bw.nbc.Close()
	}
}
