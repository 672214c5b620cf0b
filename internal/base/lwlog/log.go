// Package lwlog writes structured logs as JSON lines. A background goroutine
// does the writing, so that logging never blocks a request, and the volume is
// bounded: lines over a bound are dropped and counted.
package lwlog

import (
	"errors"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	maxBufferedLines    = 4096
	flushInterval       = 250 * time.Millisecond
	flushThresholdBytes = 32 << 10    // buffer size from which a flush does not wait for the interval
	syncTimeout         = time.Second // how long Sync waits for the output
)

var errOutputBlocked = errors.New("log output takes no bytes")

var linesDropped = lwmetric.Counter("log_lines_dropped_total")

// Sink writes lines in the background. When its buffer is full it drops lines
// and counts them, so that a blocked output does not block the process.
type Sink struct {
	output        io.Writer
	mu            sync.Mutex
	buf           []byte
	bufferedLines int
	flushNow      chan struct{}
	syncRequests  chan chan struct{} // of Sync, each closed once the lines are written
	closing       chan struct{}
	stopped       chan struct{}
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{output: out, flushNow: make(chan struct{}, 1), syncRequests: make(chan chan struct{}), closing: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line, or drops it if the buffer is full. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bufferedLines >= maxBufferedLines {
		linesDropped.Add(1)
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	s.bufferedLines++
	if len(s.buf) >= flushThresholdBytes {
		select {
		case s.flushNow <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync writes the buffered lines. It gives up after syncTimeout if the output is
// blocked. Zap calls it before a fatal line ends the process.
func (s *Sink) Sync() error {
	written := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case s.syncRequests <- written:
	case <-s.stopped:
		return nil
	case <-timeout:
		return errOutputBlocked
	}
	select {
	case <-written:
		return nil
	case <-timeout:
		return errOutputBlocked
	}
}

// Close writes the buffered lines and stops the background goroutine. Lines
// that are logged later are not written.
func (s *Sink) Close() {
	close(s.closing)
	<-s.stopped
}

func (s *Sink) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			s.flush()
			return
		case <-ticker.C:
		case <-s.flushNow:
		case written := <-s.syncRequests:
			s.flush()
			close(written)
			continue
		}
		s.flush()
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	buf := s.buf
	s.buf, s.bufferedLines = nil, 0
	s.mu.Unlock()
	if len(buf) == 0 {
		return
	}
	if _, err := s.output.Write(buf); err != nil {
		linesDropped.Add(1) // one for the whole buffer; the log has failed, so only the counter can show it
	}
}

// New returns a logger that writes JSON lines of at least the given level to s.
func New(level zapcore.Level, s *Sink) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, level))
}

// RateLimitedLogger writes at most maxPerSecond lines of each kind in a second.
// The next line of that kind after the second is preceded by the number of lines
// omitted.
type RateLimitedLogger struct {
	log          *zap.Logger
	maxPerSecond int
	mu           sync.Mutex
	windows      map[string]*window
}

// window counts the lines of one kind in a period of at least one second.
type window struct {
	start   time.Time
	written int
	omitted int
}

// NewRateLimitedLogger returns a logger that writes at most maxPerSecond lines of
// each kind in a second to log.
func NewRateLimitedLogger(log *zap.Logger, maxPerSecond int) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, maxPerSecond: maxPerSecond, windows: make(map[string]*window)}
}

// Info logs a line with kind as its message, unless the limit of that kind is
// reached.
func (l *RateLimitedLogger) Info(kind string, fields ...zap.Field) {
	admitted, omitted := l.admit(kind)
	if omitted > 0 {
		l.log.Info("lines omitted", zap.String("kind", kind), zap.Int("count", omitted))
	}
	if admitted {
		l.log.Info(kind, fields...)
	}
}

// admit reports whether a line may be written. When it starts a new window, it
// also returns how many lines of that kind the previous window omitted.
func (l *RateLimitedLogger) admit(kind string) (admitted bool, omitted int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[kind]
	if w == nil {
		w = &window{start: now}
		l.windows[kind] = w
	}
	if now.Sub(w.start) >= time.Second {
		omitted = w.omitted
		*w = window{start: now}
	}
	if w.written >= l.maxPerSecond {
		w.omitted++
		return false, omitted
	}
	w.written++
	return true, omitted
}
