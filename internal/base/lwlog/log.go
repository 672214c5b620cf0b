// Package lwlog makes the structured log of a process: JSON lines on standard
// output, written in the background so that no request waits for them, and
// bounded in volume, with a count of what was left out.
package lwlog

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	bufferLines   = 4096                   // waiting to be written
	flushInterval = 250 * time.Millisecond // between writes
	flushBytes    = 32 << 10               // that are written at once
)

var linesDropped = lwmetric.Counter("log_lines_dropped_total")

// Sink writes lines in the background. A full buffer drops lines and counts
// them, so that a reader that has stopped holds nothing up.
type Sink struct {
	out   io.Writer
	mu    sync.Mutex
	buf   []byte
	lines int
	full  chan struct{}
	done  chan struct{}
	ended chan struct{}
}

// NewSink returns a sink that writes to out until it is closed.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, full: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines >= bufferLines {
		linesDropped.Add(1)
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	s.lines++
	if len(s.buf) >= flushBytes {
		select {
		case s.full <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing: lines are written in the background.
func (s *Sink) Sync() error { return nil }

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	close(s.done)
	<-s.ended
}

func (s *Sink) run() {
	defer close(s.ended)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			s.flush()
			return
		case <-ticker.C:
		case <-s.full:
		}
		s.flush()
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	buf := s.buf
	s.buf, s.lines = nil, 0
	s.mu.Unlock()
	if len(buf) == 0 {
		return
	}
	if _, err := s.out.Write(buf); err != nil {
		linesDropped.Add(1) // there is nowhere left to report it
	}
}

// New returns a logger that writes JSON lines to a sink.
func New(level zapcore.Level, s *Sink) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, level))
}

// Limited writes at most so many lines of one kind in a second and then says
// how many it left out.
type Limited struct {
	log   *zap.Logger
	perS  int
	mu    sync.Mutex
	kinds map[string]*window
}

type window struct {
	began   time.Time
	lines   int
	omitted int
}

// Limit returns a bounded view of a logger.
func Limit(log *zap.Logger, perSecond int) *Limited {
	return &Limited{log: log, perS: perSecond, kinds: make(map[string]*window)}
}

// Line writes one line of a kind, unless too many were written.
func (l *Limited) Line(kind string, fields ...zap.Field) {
	ok, omitted := l.admit(kind)
	if omitted > 0 {
		l.log.Info("lines omitted", zap.String("kind", kind), zap.Int("count", omitted))
	}
	if ok {
		l.log.Info(kind, fields...)
	}
}

// admit reports whether a line may be written, and how many of its kind the
// last second left out.
func (l *Limited) admit(kind string) (ok bool, omitted int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.kinds[kind]
	if w == nil {
		w = &window{began: now}
		l.kinds[kind] = w
	}
	if now.Sub(w.began) >= time.Second {
		omitted = w.omitted
		*w = window{began: now}
	}
	if w.lines >= l.perS {
		w.omitted++
		return false, omitted
	}
	w.lines++
	return true, omitted
}
