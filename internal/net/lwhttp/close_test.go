package lwhttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const closingRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"

const keptRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// ask sends a request on a connection of its own, reads the whole answer and returns the
// connection, which is not nil.
func ask(address, request string) (io.Closer, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return io.NopCloser(nil), err
	}
	if _, err := io.WriteString(c, request); err != nil {
		return c, err
	}
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return c, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return c, err
}

// sendClosing sends a request with "Connection: close", reads the answer and closes the
// connection at once.
func sendClosing(address string) error {
	c, err := ask(address, closingRequest)
	_ = c.Close()
	return err
}

// Guards against a server that closes a connection while its caller does, after
// which the poller can close a new connection with the same file descriptor.
func TestCallerClosesFirst(t *testing.T) {
	cases := map[string]struct {
		request string
		drained bool
	}{
		"the caller asks for a close": {closingRequest, false},
		"the server drains":           {keptRequest, true},
		"HTTP/1.0":                    {"GET / HTTP/1.0\r\nHost: x\r\n\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)})
			if tc.drained {
				is.NoErr(s.Drain(context.Background()))
			}
			c, err := net.Dial("tcp", s.Address())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, tc.request)
			is.NoErr(err)
			_ = c.SetReadDeadline(time.Now().Add(waitLimit))
			in := bufio.NewReader(c)
			res, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.True(res.Close) // the answer announces the close
			_, err = io.Copy(io.Discard, res.Body)
			is.NoErr(err)
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err = in.ReadByte()
			is.True(os.IsTimeout(err)) // the server leaves the caller time to close
			is.True(closedByPeer(c))
		})
	}
}

// Guards against a connection that the server closes before it has answered.
func TestCallersThatCloseGetEveryAnswer(t *testing.T) {
	const callers, requests = 16, 4000
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)})
	var lost atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requests {
				if err := sendClosing(s.Address()); err != nil {
					t.Log(err)
					lost.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(lost.Load(), int64(0)) // answers lost
}

// Guards against a drain that ends between the return of a handler and the write
// of its answer, which Close would then discard.
func TestRequestIsInFlightUntilItsAnswerIsWritten(t *testing.T) {
	is := is.New(t)
	const requests = 2000
	var handled atomic.Int64
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ok(w, r)
		handled.Add(1)
	})})
	c, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	late := 0
	for n := range requests {
		_, err = io.WriteString(c, keptRequest)
		is.NoErr(err)
		for handled.Load() <= int64(n) || s.InFlight() > 0 {
			runtime.Gosched()
		}
		arrived := 0
		is.NoErr(raw.Control(func(fd uintptr) {
			arrived, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		if arrived <= 0 {
			late++
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
	}
	is.Equal(late, 0) // answers written after the request had left InFlight
}

// Guards against a process that neither serves nor ends while another one uses its address:
// an engine that was stopped before its poller ran never stopped.
func TestListenOnAddressInUse(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // a goroutine that Listen starts runs when Listen waits
	other, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	result := make(chan error, 1)
	go func() {
		_, err := lwhttp.Listen(lwhttp.Config{Address: other.Addr().String(), Handler: http.HandlerFunc(ok)})
		result <- err
	}()
	select {
	case err := <-result:
		is.True(errors.Is(err, syscall.EADDRINUSE))
	case <-time.After(waitLimit):
		t.Fatal("Listen has not returned")
	}
}

// Guards against an end of one connection that closes another one: a caller that closes just
// when the server gives up waiting for it must not cost a new caller its answer.
func TestCloseAtTimeoutEndsNoOtherConnection(t *testing.T) {
	const callers, requests = 256, 40
	for name, request := range map[string]string{"after the last answer": closingRequest, "idle": keptRequest} {
		t.Run(name, func(t *testing.T) {
			s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok), IdleTimeout: lwhttp.LingerTimeout})
			var lost atomic.Int64
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(1, uint64(n)))
					for range requests {
						c, err := ask(s.Address(), request)
						if err != nil {
							t.Log(err)
							lost.Add(1)
						}
						time.Sleep(lwhttp.LingerTimeout - time.Millisecond + time.Duration(rng.IntN(int(2*time.Millisecond))))
						_ = c.Close()
					}
				})
			}
			wg.Wait()
			is.New(t).Equal(lost.Load(), int64(0)) // answers lost
		})
	}
}
