package lwadmin_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/command/lwadmin"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// cutOff closes the connection of a request that has arrived.
func cutOff(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncated sends a part of an answer.
func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"id": `))
}

// problem answers with 503 and an outcome.
func problem(outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(lwheader.Outcome, outcome)
		lwhttp.WriteProblem(w, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader answered in time", RetryAfter: 2 * time.Second})
	}
}

func badGateway(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "upstream closed the connection", http.StatusBadGateway)
}

// An operator whose change may have taken effect must be told so, and whether to send
// it again. "Unavailable, retry later" is for a change that certainly was not made.
func TestUnknownOutcomeOfChange(t *testing.T) {
	const safe = "sending the same again is safe"
	post := func(path string) func(*testing.T, *lwadmin.Client) error {
		return func(t *testing.T, c *lwadmin.Client) error {
			return c.Post(t.Context(), path, []byte("{}"), &struct{}{})
		}
	}
	remove := func(t *testing.T, c *lwadmin.Client) error { return c.Delete(t.Context(), "/v1/jobs/j", &struct{}{}) }
	get := func(t *testing.T, c *lwadmin.Client) error { return c.Get(t.Context(), "/v1/jobs", &struct{}{}) }
	cases := []struct {
		name   string
		server http.HandlerFunc
		call   func(*testing.T, *lwadmin.Client) error
		kind   lwfault.Kind
		want   string
	}{
		{"the connection of a ticket breaks", cutOff, post("/v1/tickets"), lwfault.Unknown, safe},
		{"the connection of a job breaks", cutOff, post("/v1/jobs"), lwfault.Unknown, safe},
		{"the connection of a cancellation breaks", cutOff, remove, lwfault.Unknown, safe},
		{"the connection of a drain breaks", cutOff, post("/v1/workers/w/drain"), lwfault.Unknown, "look at the worker"},
		{"the connection of an evacuation breaks", cutOff, post("/v1/domains/d/evacuate"), lwfault.Unknown, "look at the domain"},
		{"the connection of a query breaks", cutOff, get, lwfault.Unavailable, "GET /v1/jobs"},
		{"the entry does not know the outcome", problem(lwheader.Unknown), post("/v1/jobs"), lwfault.Unknown, "no control leader answered in time"},
		{"the entry refuses", problem(lwheader.NotRun), post("/v1/jobs"), lwfault.Unavailable, "no control leader answered in time"},
		{"the entry cannot answer a query", problem(lwheader.Unknown), get, lwfault.Unavailable, "no control leader answered in time"},
		{"a balancer lost the entry", badGateway, post("/v1/jobs"), lwfault.Unknown, "upstream closed the connection"},
		{"the answer of a change is cut off", truncated, post("/v1/jobs"), lwfault.Unknown, "took effect"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.server)
			defer server.Close()
			err := c.call(t, lwadmin.New(server.URL, "token"))
			is.True(err != nil)
			is.Equal(lwfault.KindOf(err), c.kind)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		err = post("/v1/jobs")(t, lwadmin.New("http://"+l.Addr().String(), "token"))
		is.Equal(lwfault.KindOf(err), lwfault.Unavailable)
	})
	t.Run("a refusal keeps the time after which to come back", func(t *testing.T) {
		is := is.New(t)
		server := httptest.NewServer(problem(lwheader.NotRun))
		defer server.Close()
		is.Equal(lwfault.As(post("/v1/jobs")(t, lwadmin.New(server.URL, "token"))).RetryAfter, 2*time.Second)
	})
}
