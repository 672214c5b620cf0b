package lwhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// echo answers with the path and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func dial(t *testing.T, s *lwhttp.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	return c
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// Guards against requests that are lost, run twice or answered in another order where a caller sends
// ahead, however the network cuts what it sends.
func TestRequestsSentAheadAreAnsweredInTurn(t *testing.T) {
	for _, cut := range []int{1 << 20, 16 << 10, 1000, 7} {
		t.Run(fmt.Sprintf("in parts of %d bytes", cut), func(t *testing.T) {
			is := is.New(t)
			c := dial(t, listen(t, lwhttp.Config{Handler: http.HandlerFunc(echo)}))
			var all strings.Builder
			var bodies []string
			for i := range 60 {
				body := strings.Repeat("a\r\n\r\nGET / HTTP/1.1\r\n\r\n", i*i%97)
				switch i % 3 {
				case 0:
					body = ""
					fmt.Fprintf(&all, "GET /%d HTTP/1.1\r\n\r\n", i)
				case 1:
					fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
				default:
					body += "."
					fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", i, len(body), body)
				}
				bodies = append(bodies, body)
			}
			for i, n := range []int{1, 200 << 10, 5} {
				bodies = append(bodies, strings.Repeat("x", n))
				fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", 60+i, n, bodies[60+i])
			}
			go func() {
				for rest := all.String(); rest != ""; {
					n := min(cut, len(rest))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			in := bufio.NewReader(c)
			for i, body := range bodies {
				res, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				got, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(string(got), fmt.Sprintf("/%d %s", i, body))
			}
		})
	}
}

// Guards against bytes that stay in the socket because they arrive as the server finds it empty.
func TestBytesThatArriveDuringAReadAreRead(t *testing.T) {
	const callers, requests = 16, 2000
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(echo)})
	errs := make(chan error, callers)
	for range callers {
		go func() {
			errs <- exchangeInParts(s.Address(), requests)
		}()
	}
	for range callers {
		is.New(t).NoErr(<-errs)
	}
}

// exchangeInParts sends each request in two parts and checks its answer.
func exchangeInParts(address string, requests int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := range requests {
		body := strings.Repeat("y", i%50)
		all := fmt.Sprintf("POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
		cut := i * 7 % len(all)
		if _, err := io.WriteString(c, all[:cut]); err != nil {
			return err
		}
		if _, err := io.WriteString(c, all[cut:]); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(waitLimit))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
		got, err := io.ReadAll(res.Body)
		if err != nil {
			return err
		}
		if want := fmt.Sprintf("/%d %s", i, body); string(got) != want {
			return fmt.Errorf("request %d: answer %q, want %q", i, got, want)
		}
	}
	return nil
}

// Guards against a caller that sends ahead and reads nothing, for which the process keeps all requests
// and answers. It is served on once it reads.
func TestCallerThatDoesNotReadIsHeldBack(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	for name, x := range map[string]struct {
		requests int
		answer   string
	}{
		"answers of 16 KiB":      {6000, long},
		"answers without a body": {300000, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				if x.answer != "" {
					_, _ = io.WriteString(w, x.answer)
				}
			})})
			c := dial(t, s)
			go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\n\r\n", x.requests)) }()
			before := int64(-1)
			eventually(t, "the caller is held back", func() bool {
				now := served.Load()
				held := now > 0 && now == before
				before = now
				time.Sleep(200 * time.Millisecond)
				return held
			})
			is.True(served.Load() < int64(x.requests))
			in := bufio.NewReader(c)
			for range x.requests {
				_ = c.SetReadDeadline(time.Now().Add(waitLimit))
				res, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				n, err := io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.Equal(n, int64(len(x.answer)))
			}
			is.Equal(served.Load(), int64(x.requests))
		})
	}
}

// Guards against requests that are read and kept while an earlier one of their caller is served.
func TestRequestsBehindASlowOneStayInTheSocket(t *testing.T) {
	is := is.New(t)
	const requests, allowed = 20000, 100 << 10
	eventually(t, "the connections of other tests have closed", func() bool { return lwhttp.OpenConnections() == 0 })
	release := make(chan struct{})
	var once sync.Once
	began := make(chan struct{})
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		once.Do(func() { close(began) })
		<-release
	})})
	c := dial(t, s)
	go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\n\r\n", requests)) }()
	<-began
	time.Sleep(100 * time.Millisecond)
	is.True(lwhttp.CallerBytes() <= allowed)
	close(release)
	in := bufio.NewReader(c)
	for range requests {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
	}
}

// Guards against a request that is carried out although its caller has left before it was read: nobody
// knows of it any more, or it has been cancelled elsewhere.
func TestRequestOfCallerThatHasLeftIsNotServed(t *testing.T) {
	is := is.New(t)
	first, release := make(chan struct{}), make(chan struct{})
	var served atomic.Int64
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(first)
			<-release
			return
		}
		served.Add(1)
	})})
	c := dial(t, s)
	_, err := io.WriteString(c, "POST /first HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	<-first
	_, err = io.WriteString(c, "POST /second HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.Close())
	time.Sleep(50 * time.Millisecond)
	close(release)
	eventually(t, "the first request has ended", func() bool { return s.InFlight() == 0 })
	time.Sleep(50 * time.Millisecond)
	is.Equal(served.Load(), int64(0))
}

// Guards against callers that fill the memory of the process together, each within the limits of its
// own connection. Callers that use little are served on.
func TestConnectionThatUsesMostIsClosed(t *testing.T) {
	is := is.New(t)
	eventually(t, "the connections of other tests have closed", func() bool { return lwhttp.OpenConnections() == 0 })
	is.Equal(lwhttp.CallerBytes(), int64(0))
	lwhttp.LimitCallerMemory(lwunit.MiB)
	t.Cleanup(func() { lwhttp.LimitCallerMemory(512 * lwunit.MiB) })
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)})
	ordinary, heavy := dial(t, s), dial(t, s)
	go func() {
		_, _ = io.WriteString(heavy, "POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("x", 1<<20))
	}()
	is.True(closedByPeer(heavy))
	_, err := io.WriteString(ordinary, "GET / HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.NoErr(ordinary.Close())
	eventually(t, "nothing is counted any more", func() bool { return lwhttp.OpenConnections() == 0 && lwhttp.CallerBytes() == 0 })
}

// Guards against connections that are not used and leave no descriptor for others.
func TestIdleConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	const limit = 4
	eventually(t, "the connections of other tests have closed", func() bool { return lwhttp.OpenConnections() == 0 })
	t.Cleanup(lwhttp.LimitConnections(limit))
	s := listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)})
	oldest := dial(t, s)
	for range 2 * limit {
		c := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		is.NoErr(err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.True(closedByPeer(oldest))
	eventually(t, "the limit holds", func() bool { return lwhttp.OpenConnections() <= limit })
}

// Guards against a header that never ends.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	c := dial(t, listen(t, lwhttp.Config{Handler: http.HandlerFunc(ok)}))
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
		for {
			if _, err := io.WriteString(c, "X: y\r\n"); err != nil {
				return
			}
		}
	}()
	is.New(t).True(closedByPeer(c))
}
