package lwagent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/net/lwheader"
)

// A backend server that ends while a request runs there refuses the copy that
// http.Transport sends by itself. The agent must not answer that the request was
// refused, which an entry takes for not run.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) < 2 {
			return
		}
		_ = server.Listener.Close()
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
	}))
	defer server.Close()
	a := &Agent{log: zap.NewNop()}
	a.backends = newBackendTable(a)
	s := a.backends.newBackend("b", "s", strings.TrimPrefix(server.URL, "http://"))
	forward := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		a.forward(t.Context(), w, httptest.NewRequest(http.MethodGet, PathGate+"/x", http.NoBody), s)
		return w
	}
	is.Equal(forward().Code, http.StatusOK)
	second := forward()
	is.Equal(requests.Load(), int32(2))
	is.True(second.Code != http.StatusOK)
	is.Equal(second.Header().Get(lwheader.Refused), "")
	is.True(forward().Header().Get(lwheader.Refused) != "") // nothing listens
}
