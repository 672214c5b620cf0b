package lwentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
)

// An agent that ends while a request runs there refuses the copy that http.Transport
// sends by itself. The entry must not answer that the request has not run.
func TestRequestThatMayHaveRunIsNotCalledNotRun(t *testing.T) {
	for name, method := range map[string]string{"GET": http.MethodGet, "POST with a key": http.MethodPost} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			var agent *httptest.Server
			agent = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if requests.Add(1) < 2 {
					return
				}
				_ = agent.Listener.Close()
				if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_ = c.Close()
				}
			}))
			defer agent.Close()
			e := &Entry{agentClient: &http.Client{Transport: &http.Transport{}}}
			e.policy.Store(&policy{})
			q := &request{r: httptest.NewRequest(method, "/v1/services/s/x", http.NoBody), service: e.service("s"), deadline: time.Now().Add(time.Minute)}
			q.r.Header.Set("Idempotency-Key", "k")
			target := lwroute.Target{Backend: "b", AgentAddress: strings.TrimPrefix(agent.URL, "http://")}
			first := e.sendTo(t.Context(), q, target, nil)
			is.NoErr(first.res.Body.Close())
			second := e.sendTo(t.Context(), q, target, nil)
			is.True(second.err != nil)
			is.Equal(requests.Load(), int32(2))
			is.True(!second.notRun)
			third := e.sendTo(t.Context(), q, target, nil)
			is.True(third.notRun) // nothing listens
		})
	}
}

// http.Transport must not send a request under a claim again: when the connection broke
// the first copy may have run.
func TestRequestUnderClaimIsSentOnce(t *testing.T) {
	for name, body := range map[string]string{"with a body": "etch", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if requests.Add(1) < 2 {
					return
				}
				if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_ = c.Close()
				}
			}))
			defer agent.Close()
			e := &Entry{agentClient: &http.Client{Transport: &http.Transport{}}}
			e.policy.Store(&policy{})
			q := &request{r: httptest.NewRequest(http.MethodPost, "/v1/services/s/x", http.NoBody), service: e.service("s"), deadline: time.Now().Add(time.Minute), body: []byte(body)}
			q.r.Header.Set("Idempotency-Key", "k")
			target := lwroute.Target{Backend: "b", AgentAddress: strings.TrimPrefix(agent.URL, "http://")}
			first := e.sendTo(t.Context(), q, target, &lwstate.Claim{Token: 1})
			is.NoErr(first.res.Body.Close())
			second := e.sendTo(t.Context(), q, target, &lwstate.Claim{Token: 2})
			is.True(second.err != nil && !second.notRun)
			is.Equal(requests.Load(), int32(2))
		})
	}
}
