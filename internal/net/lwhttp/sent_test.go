package lwhttp_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// endingServer returns a server that ends while it runs its second request: it closes
// its listener before the connection.
func endingServer(t *testing.T) *httptest.Server {
	t.Helper()
	var requests atomic.Int32
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) < 2 {
			return
		}
		_ = s.Listener.Close()
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func get(t *testing.T, trace *lwhttp.SendTrace, url string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(trace.Context(t.Context()), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	return err
}

// The transport sends a request again whose reused connection has failed, and its error
// is that of the second connection. The first copy may have run.
func TestFailedDialOfResentRequestDoesNotProveThatItWasNeverSent(t *testing.T) {
	t.Run("a server that ends while it runs the request", func(t *testing.T) {
		is := is.New(t)
		s := endingServer(t)
		is.NoErr(get(t, &lwhttp.SendTrace{}, s.URL))
		var trace lwhttp.SendTrace
		err := get(t, &trace, s.URL)
		var op *net.OpError
		is.True(err != nil)
		is.True(errors.As(err, &op) && op.Op == "dial")
		is.True(!trace.NeverSent(err))
	})
	t.Run("a server that does not listen", func(t *testing.T) {
		is := is.New(t)
		s := endingServer(t)
		s.Close()
		var trace lwhttp.SendTrace
		is.True(trace.NeverSent(get(t, &trace, s.URL)))
	})
}
