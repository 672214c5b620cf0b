package lwhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	// maxUnreadAnswers is how many bytes of answers a caller may leave unread before its next
	// request is read.
	maxUnreadAnswers = 64 << 10
	readsPerTurn     = 16 // of one connection, before the poller turns to others
)

var (
	httpHeaderLimitCloses = lwmetric.Counter("http_header_limit_closes_total")
	httpHandlerPanics     = lwmetric.Counter("http_handler_panics_total")
	httpLeftUnread        = lwmetric.Counter("http_requests_of_left_callers_total")
)

type readBuffer [readBufferBytes]byte

var readBuffers = sync.Pool{New: func() any { return new(readBuffer) }}

var headerEnd = []byte("\r\n\r\n")

// inbound is what a connection has received and not yet answered. Its server reads on only when
// all requests that it has read are answered, and their answers mostly read, so that TCP holds
// back a caller that sends ahead.
type inbound struct {
	reading     bool        // a goroutine reads or parses
	readable    bool        // bytes may have arrived since the last read began
	ended       bool        // no further request is served
	buffer      *readBuffer // that holds pending; nil if nothing is
	pending     []byte      // received, not yet parsed
	inBody      bool        // the header of the request that is being received is complete
	headerBytes int         // of the request that is being received
	bodyBytes   int         // of the request that is being received
	inService   int         // requests that are received and not yet answered
	serviceCost int64       // of these, as charged to the account
	usedAt      time.Time   // when the last request was received or answered

	jobs    []func() // that serve requests and write their answers, in turn
	working bool     // a goroutine runs the jobs
	counted bool     // the request of the current job is in flight
	last    bool     // the connection closes after the answer of the current job
}

// mayReceive reports whether the connection may be read or parsed. The caller holds mu.
func (c *connection) mayReceive() bool {
	in := &c.in
	return !in.reading && !in.ended && !c.closed && in.inService == 0 && c.queuedBytes-c.sentBytes <= maxUnreadAnswers &&
		(len(in.pending) > 0 || in.readable)
}

// startReceiving reports whether the caller is to call Server.receive.
func (c *connection) startReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayReceive() {
		return false
	}
	c.in.reading = true
	return true
}

// nextPart returns the next bytes to parse, which hold the end of one header at most, or none
// if the socket is to be read into the buffer. It reports false, and ends the reading, if neither may
// be done now.
func (c *connection) nextPart() (part []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.in
	in.reading = false
	if len(in.pending) == 0 && in.buffer != nil && !in.readable {
		readBuffers.Put(in.buffer)
		in.buffer = nil
	}
	if !c.mayReceive() {
		return nil, false
	}
	in.reading = true
	if len(in.pending) == 0 {
		if in.buffer == nil {
			in.buffer = readBuffers.Get().(*readBuffer)
		}
		in.readable = false // set again by what arrives while the socket is read
		return nil, true
	}
	if i := bytes.Index(in.pending, headerEnd); i >= 0 {
		part, in.pending = in.pending[:i+len(headerEnd)], in.pending[i+len(headerEnd):]
	} else {
		part, in.pending = in.pending, nil
	}
	if in.inBody {
		in.bodyBytes += len(part)
	} else {
		in.headerBytes += len(part)
	}
	return part, true
}

// onReadable is called when bytes have arrived on a connection.
func (s *Server) onReadable(nbc *nbio.Conn) {
	c := s.connectionOf(nbc)
	if c == nil {
		return
	}
	c.mu.Lock()
	c.in.readable = true
	first := !c.prepared
	c.prepared = true
	c.mu.Unlock()
	if parser, ok := nbc.Session().(*nbhttp.Parser); ok && first {
		parser.Execute = func(job func()) bool { return s.execute(c, job) }
		parser.Processor = &headerWatch{parser.Processor, c}
	}
	s.resume(c)
}

// headerWatch notes the end of the header of a request.
type headerWatch struct {
	nbhttp.Processor
	c *connection
}

// OnContentLength is called once the header of a request is complete.
func (h *headerWatch) OnContentLength(parser *nbhttp.Parser, length int) {
	h.c.mu.Lock()
	h.c.in.inBody = true // until onRequest, which follows at once without a body
	h.c.mu.Unlock()
	h.Processor.OnContentLength(parser, length)
}

// execute runs the jobs of a connection in turn. The list of nbio grows until it is empty once,
// which a caller that sends ahead can prevent.
func (s *Server) execute(c *connection, job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.in.jobs = append(c.in.jobs, job)
	if !c.in.working {
		c.in.working = true
		s.engine.Execute(func() { s.work(c) })
	}
	return true
}

// work runs the jobs of a connection, and then reads on.
func (s *Server) work(c *connection) {
	for {
		c.mu.Lock()
		in := &c.in
		if len(in.jobs) == 0 {
			in.working = false
			c.mu.Unlock()
			s.resume(c)
			return
		}
		job := in.jobs[0]
		in.jobs[0] = nil
		if in.jobs = in.jobs[1:]; len(in.jobs) == 0 {
			in.jobs = nil
		}
		c.mu.Unlock()
		s.runJob(c, job)
	}
}

// runJob serves one request and writes its answer.
func (s *Server) runJob(c *connection, job func()) {
	defer func() {
		if recover() != nil {
			httpHandlerPanics.Add(1)
			c.shutdown()
		}
		c.mu.Lock()
		counted, last := c.in.counted, c.in.last
		c.in.counted, c.in.last = false, false
		c.mu.Unlock()
		if counted {
			s.inFlight.Add(-1)
		}
		if last {
			c.shutdownAfter(lingerTimeout)
		} else {
			c.shutdownAfter(s.cfg.IdleTimeout)
		}
		c.requestAnswered(last)
	}()
	job()
}

// resume goes on with a connection that was held back.
func (s *Server) resume(c *connection) {
	if c.startReceiving() {
		s.receive(c)
	}
}

// receive reads and parses a connection until nothing is left or it is held back. Only one
// goroutine may do that at a time.
func (s *Server) receive(c *connection) {
	for reads := 0; ; {
		part, ok := c.nextPart()
		switch {
		case !ok:
			callers.charge(c, c.cost())
			return
		case len(part) > 0:
			s.parse(c, part)
			continue
		}
		buffer := c.in.buffer[:] // only this goroutine replaces it
		n, full, err := readAvailable(c.nbc, buffer)
		if err != nil {
			if n > 0 {
				httpLeftUnread.Add(1)
			}
			c.shutdown()
			return
		}
		c.mu.Lock()
		c.in.readable, c.in.pending = c.in.readable || full, buffer[:n]
		c.mu.Unlock()
		if reads++; reads == readsPerTurn {
			go s.receive(c)
			return
		}
	}
}

// parse passes bytes to the parser, which closes the connection if they are no valid request.
func (s *Server) parse(c *connection, part []byte) {
	s.engine.DataHandler(c.nbc, part)
	c.mu.Lock()
	tooLong := c.in.headerBytes > int(maxHeaderBytes)
	c.mu.Unlock()
	if tooLong {
		httpHeaderLimitCloses.Add(1)
		c.shutdown()
		return
	}
	callers.charge(c, c.cost())
}

// readAvailable reads what the socket has, until the buffer is full. It fails with io.EOF if the
// caller has closed the connection: nobody waits for the answers to what it has sent.
func readAvailable(nbc *nbio.Conn, buffer []byte) (n int, full bool, err error) {
	for n < len(buffer) {
		k, err := nbc.Read(buffer[n:])
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return n, false, nil
		case err != nil:
			return n, false, err
		case k <= 0:
			return n, false, io.EOF
		}
		n += k
	}
	return n, true, nil
}

// onRequest counts a request that has been received. The parser calls it.
func (s *Server) onRequest(w http.ResponseWriter, _ *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	nbc, ok := nbioConn(res.Parser.Conn)
	if !ok {
		return
	}
	c := s.connectionOf(nbc)
	if c == nil {
		return
	}
	if outer, ok := res.Parser.Conn.(*nbhttp.Conn); ok {
		if _, metered := outer.Conn.(*meteredConn); !metered {
			outer.Conn = &meteredConn{nbc, c}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.in
	in.inService++
	in.serviceCost += requestCost + headerFactor*int64(in.headerBytes) + bodyFactor*int64(in.bodyBytes)
	in.headerBytes, in.bodyBytes, in.inBody = 0, 0, false
	in.usedAt = time.Now()
}

// requestAnswered notes that a request has been answered. Last is set if the connection serves
// no further one.
func (c *connection) requestAnswered(last bool) {
	c.mu.Lock()
	in := &c.in
	in.inService--
	if in.inService == 0 {
		in.serviceCost = 0
	}
	in.ended = in.ended || last
	in.usedAt = time.Now()
	c.mu.Unlock()
	callers.charge(c, c.cost())
}

// idleSince returns when the connection was last used, and whether it serves no request.
func (c *connection) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.in.usedAt, c.in.inService == 0
}

// cost returns an estimate of the memory that the connection takes, in bytes.
func (c *connection) cost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.in
	buffered := 0
	if in.buffer != nil {
		buffered = readBufferBytes
	}
	return connectionCost + int64(buffered) + headerFactor*int64(in.headerBytes) + bodyFactor*int64(in.bodyBytes) +
		in.serviceCost + max(0, c.queuedBytes-c.sentBytes)
}

// meteredConn counts the bytes that are written to a connection and not yet sent.
type meteredConn struct {
	*nbio.Conn
	counted *connection
}

// Write sends data, or queues what the socket does not take.
func (m *meteredConn) Write(data []byte) (int, error) {
	c := m.counted
	c.mu.Lock()
	c.queuedBytes += int64(len(data))
	c.mu.Unlock()
	n, err := m.Conn.Write(data)
	c.mu.Lock()
	unsent := c.queuedBytes - c.sentBytes
	c.mu.Unlock()
	if unsent > 0 {
		callers.charge(c, c.cost())
	}
	return n, err
}

// pausingListener waits when the process has no descriptor for a new connection. The engine
// would try again at once, and take a processor.
type pausingListener struct{ net.Listener }

// Accept waits for the next connection, and before that for those beyond the limit to close.
func (l pausingListener) Accept() (net.Conn, error) {
	for callers.crowded() {
		time.Sleep(acceptPause)
	}
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) {
			time.Sleep(acceptPause)
			continue
		}
		return c, err
	}
}

func listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return pausingListener{l}, nil
}
