// Package lwhttp runs HTTP servers on nbhttp and adds limits that every
// listener of a node needs. On its own, nbhttp neither cancels a request whose
// caller disconnects nor applies backpressure to a handler whose caller reads
// slowly.
package lwhttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

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
	smallAnswerBytes         = 16 << 10              // smaller answers are not awaited before a close
	closeDelay               = 10 * time.Millisecond // for the poller to add a connection
	sentPollInterval         = 2500 * time.Microsecond
	keepaliveTime            = 10 * 365 * 24 * time.Hour // connections have a timer of their own
	lingerTimeout            = 100 * time.Millisecond    // for the caller to close a connection after its last answer
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

// Listen starts a server on cfg.Address.
func Listen(cfg Config) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	cfg = withDefaults(cfg)
	// An engine that cannot listen stops itself. It hangs if its poller has not run by then.
	listener, err := listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
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
		KeepaliveTime:          keepaliveTime,
		MessageHandlerPoolSize: maxConcurrentHandlers,
		SupportServerOnly:      true,
		NPoller:                1,
		EpollMod:               nbio.EPOLLET, // a connection that is held back causes no events
		Listen:                 func(string, string) (net.Listener, error) { return listener, nil },
		OnRequest:              s.onRequest,
	})
	s.engine.OnRead(s.onReadable)
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(s.onWritten)
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("serve on %s: %w", cfg.Address, err)
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
	conn.stopTimer()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	conn.startRequest(cancel)
	defer conn.endRequest()
	stop := conn.watchDisconnect(nbc)
	defer stop()
	out := &backpressureWriter{Response: res, conn: conn, stallTimeout: s.cfg.WriteStallTimeout, atLeast11: r.ProtoAtLeast(1, 1)}
	r = r.WithContext(ctx)
	r.Close = requestedClose
	s.cfg.Handler.ServeHTTP(out, r)
	if last || s.draining.Load() {
		out.awaitSent()
	}
}
