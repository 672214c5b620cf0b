package lwhttp

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// backpressureWriter blocks the handler while too much of the answer is unsent.
type backpressureWriter struct {
	*nbhttp.Response
	conn         *connection
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
			w.conn.shutdown()
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
		time.Sleep(sentPollInterval)
	}
	httpSlowReaderCloses.Add(1)
}

// AbortConnection closes the connection of w, so that the caller gets an error
// and does not take a truncated answer for a complete one. It has no effect if w
// is not the writer that a Server passed to its handler.
func AbortConnection(w http.ResponseWriter) {
	if bw, ok := w.(*backpressureWriter); ok {
		bw.conn.shutdown()
	}
}
