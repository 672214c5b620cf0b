// Package lwrpc exchanges control messages between the processes of the system
// by JSON-RPC 2.0 over TCP. One connection serves calls in both directions, and
// nbio polls the connections, so that an idle one occupies no thread.
package lwrpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 8 << 20
	maxQueuedFrames  = 4096

	// maxBytesBeforeHello is what a connection that has not shown the cluster's key may send: the
	// key, and pings that its process sends while it waits for the answer.
	maxBytesBeforeHello = 16 << 10
)

var (
	rpcBytesIn        = lwmetric.Counter("rpc_bytes_in_total")
	rpcBytesOut       = lwmetric.Counter("rpc_bytes_out_total")
	rpcFramesIn       = lwmetric.Counter("rpc_frames_in_total")
	rpcFramesOut      = lwmetric.Counter("rpc_frames_out_total")
	rpcBadFrames      = lwmetric.Counter("rpc_bad_frames_total")
	rpcBadKeys        = lwmetric.Counter("rpc_bad_keys_total")
	rpcNoKeys         = lwmetric.Counter("rpc_no_keys_total")
	rpcQueueOverflows = lwmetric.Counter("rpc_queue_overflows_total")
	rpcConnections    = lwmetric.Counter("rpc_connections_open")
)

// frameReader splits a byte stream into frames. A frame is a 4-byte big-endian
// length and that many bytes of JSON.
type frameReader struct {
	buf []byte // an incomplete frame
}

// add appends data to the stream and returns the frames that it completes.
func (f *frameReader) add(data []byte) ([][]byte, error) {
	f.buf = append(f.buf, data...)
	var frames [][]byte
	for len(f.buf) >= frameHeaderBytes {
		n := binary.BigEndian.Uint32(f.buf)
		if n == 0 || n > maxFrameBytes {
			return frames, lwfault.New(lwfault.Invalid, "invalid frame length %d; a frame has 1 to %d bytes", n, maxFrameBytes)
		}
		end := frameHeaderBytes + int(n)
		if len(f.buf) < end {
			break
		}
		frames = append(frames, append([]byte(nil), f.buf[frameHeaderBytes:end]...))
		f.buf = f.buf[end:]
	}
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return frames, nil
}

// stream is a jsonrpc2.ObjectStream on an nbio connection.
type stream struct {
	conn   *nbio.Conn
	reader frameReader // used by the poller only

	authenticated    atomic.Bool // the peer has shown the cluster's key
	bytesBeforeHello int         // used by the poller only

	mu     sync.Mutex
	ready  *sync.Cond
	frames [][]byte // received, not yet read
	err    error    // reason for the close
}

func newStream(conn *nbio.Conn) *stream {
	s := &stream{conn: conn}
	s.ready = sync.NewCond(&s.mu)
	return s
}

// receive queues the frames in data. The poller calls it.
func (s *stream) receive(data []byte) {
	rpcBytesIn.Add(int64(len(data)))
	if !s.authenticated.Load() {
		if s.bytesBeforeHello += len(data); s.bytesBeforeHello > maxBytesBeforeHello {
			rpcNoKeys.Add(1)
			s.fail(lwfault.New(lwfault.Unauthorized, "the first message must be hello"))
			return
		}
	}
	frames, err := s.reader.add(data)
	s.mu.Lock()
	s.frames = append(s.frames, frames...)
	overflow := len(s.frames) > maxQueuedFrames
	s.mu.Unlock()
	s.ready.Signal()
	rpcFramesIn.Add(int64(len(frames)))
	switch {
	case err != nil:
		rpcBadFrames.Add(1)
		s.fail(err)
	case overflow:
		rpcQueueOverflows.Add(1)
		s.fail(lwfault.New(lwfault.Overloaded, "more than %d frames are queued", maxQueuedFrames))
	}
}

// fail closes the connection. ReadObject returns the queued frames first, and
// then the first error passed to fail.
func (s *stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.ready.Broadcast()
	_ = s.conn.Close()
}

// ReadObject waits for the next frame and decodes it into v.
func (s *stream) ReadObject(v any) error {
	s.mu.Lock()
	for len(s.frames) == 0 && s.err == nil {
		s.ready.Wait()
	}
	if len(s.frames) == 0 {
		defer s.mu.Unlock()
		return s.err
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	s.mu.Unlock()
	if err := json.Unmarshal(frame, v); err != nil {
		rpcBadFrames.Add(1)
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// WriteObject sends v as one frame.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > maxFrameBytes {
		return lwfault.New(lwfault.TooLarge, "frame of %d bytes; the limit is %d", len(body), maxFrameBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	if _, err := s.conn.Write(frame); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	rpcBytesOut.Add(int64(len(frame)))
	rpcFramesOut.Add(1)
	return nil
}

// Close closes the connection.
func (s *stream) Close() error {
	s.fail(io.EOF)
	return nil
}
