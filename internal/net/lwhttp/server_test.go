package lwhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const waitLimit = 10 * time.Second

func listen(t *testing.T, cfg lwhttp.Config) *lwhttp.Server {
	t.Helper()
	cfg.Name, cfg.Address = "test", "127.0.0.1:0"
	s, err := lwhttp.Listen(cfg)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

// closedByPeer reports whether the peer closes the connection within waitLimit.
func closedByPeer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, err := io.Copy(io.Discard, c)
	netErr, isNet := err.(net.Error)
	return !isNet || !netErr.Timeout()
}

func TestConnectionsOverAddressLimitAreClosed(t *testing.T) {
	is := is.New(t)
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok), MaxPerAddress: 3})
	for n := range 6 {
		c, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		if n >= 3 {
			is.True(closedByPeer(c))
			continue
		}
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(waitLimit))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
	}
}

func TestSlowAndMalformedRequests(t *testing.T) {
	cases := map[string]string{
		"incomplete header": "GET / HTTP/1.1\r\nHost: ",
		"incomplete body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc",
		"not HTTP":          "\x16\x03\x01 hello\r\n\r\n",
		"body too large":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("x", 3<<20),
		"header too large":  "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 3<<20),
	}
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok), MaxBody: 1 << 20, IdleTimeout: 300 * time.Millisecond})
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", s.Address())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, _ = c.Write([]byte(text))
			is.True(closedByPeer(c))
			res, err := http.Get("http://" + s.Address()) // other requests are still served
			is.NoErr(err)
			_ = res.Body.Close()
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
}

func TestIdleTimeoutDoesNotEndLongRequest(t *testing.T) {
	is := is.New(t)
	s := listen(t, lwhttp.Config{IdleTimeout: 200 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(600 * time.Millisecond)
		ok(w, r)
	})})
	res, err := http.Get("http://" + s.Address())
	is.NoErr(err)
	data, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(data), "ok")
}

func TestDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address(), nil)
	is.NoErr(err)
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
	select {
	case <-cancelled:
	case <-time.After(waitLimit):
		t.Fatal("the handler was not cancelled")
	}
}

// endlessReader yields zero bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestSlowReaderBlocksHandler(t *testing.T) {
	const size = 64 << 20
	writers := map[string]func(http.ResponseWriter) int64{
		"by Write": func(w http.ResponseWriter) int64 {
			chunk := make([]byte, 64<<10)
			for written := int64(0); ; {
				n, err := w.Write(chunk)
				written += int64(n)
				if err != nil || written >= size {
					return written
				}
			}
		},
		"by io.Copy": func(w http.ResponseWriter) int64 {
			n, _ := io.Copy(w, io.LimitReader(endlessReader{}, size))
			return n
		},
	}
	for name, write := range writers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			total := make(chan int64, 1)
			s := listen(t, lwhttp.Config{WriteStallTimeout: 300 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				total <- write(w)
			})})
			c, err := net.Dial("tcp", s.Address())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			is.NoErr(err)
			select {
			case written := <-total:
				is.True(written < size) // the handler was stopped before the whole answer was buffered
			case <-time.After(waitLimit):
				t.Fatal("the handler did not return")
			}
		})
	}
}

// A large answer is complete even if the caller begins to read late and the
// connection is closed after the answer.
func TestLargeAnswerOnClosingConnection(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 16<<20/16) // more than the socket buffers hold
	s, err := lwhttp.Listen(lwhttp.Config{Name: "test", Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, connection := range []string{"close", "keep-alive"} {
		t.Run(connection, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: %s\r\n\r\n", connection)
			time.Sleep(200 * time.Millisecond)
			_ = c.SetReadDeadline(time.Now().Add(waitLimit))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(res.Body)
			if err != nil || !bytes.Equal(got, body) {
				t.Errorf("read %d of %d bytes: %v", len(got), len(body), err)
			}
		})
	}
}

// A small answer is not delayed before its connection is closed.
func TestSmallAnswerOnClosingConnection(t *testing.T) {
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)})
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if took := time.Since(start); err != nil || string(body) != "ok" || took > time.Second {
		t.Errorf("answer %q after %s, error %v; want ok within 1s", body, took, err)
	}
}

// operatorPatience is how long an operator waits for an answer before it asks
// another node.
const operatorPatience = time.Second

// An answer of any size reaches its caller whole and at once, also if the connection
// is closed after it.
func TestAnswerOnClosingConnectionIsNotHeldBack(t *testing.T) {
	for _, size := range []int{100, 1 << 10, 15 << 10, 16 << 10, 27 << 10, 60 << 10, 64 << 10, 100 << 10, 300 << 10} {
		for _, withLength := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, length known %t", size, withLength), func(t *testing.T) {
				body := bytes.Repeat([]byte("x"), size)
				s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if withLength {
						w.Header().Set("Content-Length", strconv.Itoa(size))
					}
					_, _ = w.Write(body)
				})})
				req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/", http.NoBody)
				is.New(t).NoErr(err)
				req.Close = true
				start := time.Now()
				res, err := http.DefaultClient.Do(req)
				is.New(t).NoErr(err)
				got, err := io.ReadAll(res.Body)
				if took := time.Since(start); err != nil || !bytes.Equal(got, body) || took > operatorPatience {
					t.Errorf("read %d bytes after %s, error %v", len(got), took, err)
				}
			})
		}
	}
}
