package lwhttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
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

// sendClosing sends a request with "Connection: close" on a connection of its own
// and reads the whole answer.
func sendClosing(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, closingRequest); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
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
		"the server drains":           {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
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
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
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
