package lwagent

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/worker/lwgate"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
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

// gateAgent is an agent whose only backend server counts its requests.
type gateAgent struct {
	*Agent
	requests atomic.Int32
	answer   http.HandlerFunc
}

func newGateAgent(t *testing.T, answer http.HandlerFunc) *gateAgent {
	t.Helper()
	g := &gateAgent{answer: answer, Agent: &Agent{log: zap.NewNop(), runs: lwrun.NewTable(), cfg: Config{Incarnation: "i", GateAddress: "127.0.0.1:0"}}}
	g.backends = newBackendTable(g.Agent)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.requests.Add(1)
		g.answer(w, r)
	}))
	t.Cleanup(server.Close)
	s := g.backends.newBackend("b", "s", strings.TrimPrefix(server.URL, "http://"))
	s.gate.SetLimits(lwgate.Limits{Slots: 1})
	g.backends.byID["b"] = s
	return g
}

// send sends a request to the gate as an entry does, under a claim.
func (g *gateAgent) send(token lwunit.FencingToken, incarnation lwunit.Incarnation) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, PathGate+"/x", http.NoBody)
	r.Header.Set(lwheader.Backend, "b")
	r.Header.Set(lwheader.TimeLeft, "60000000")
	r.Header.Set(lwheader.Claim, strconv.FormatUint(uint64(token), 10))
	r.Header.Set(lwheader.Incarnation, string(incarnation))
	r.Header.Set(lwheader.IdempotencyKey, "k")
	w := httptest.NewRecorder()
	g.serveGate(w, r)
	return w
}

// settle asks for the outcome of a claim, and returns its state.
func (g *gateAgent) settle(t *testing.T, token lwunit.FencingToken, incarnation lwunit.Incarnation) lwrun.State {
	t.Helper()
	body, err := json.Marshal(SettleRequest{Incarnation: incarnation, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	g.serveSettle(w, httptest.NewRequest(http.MethodPost, PathSettle, bytes.NewReader(body)))
	var rec lwrun.Record
	if err := json.Unmarshal(w.Body.Bytes(), &rec); err != nil {
		t.Fatal(err)
	}
	return rec.State
}

// Entries release a claim, and bind it elsewhere, once the agent has said that the
// request has not run there. It must not run there later.
func TestClaimRunsAtMostOnceAtGate(t *testing.T) {
	ok := func(http.ResponseWriter, *http.Request) {}
	refused := func(w *httptest.ResponseRecorder) lwfault.Kind {
		return lwfault.Kind(w.Header().Get(lwheader.Refused))
	}
	t.Run("a request that arrives after its claim was settled", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, ok)
		is.Equal(g.settle(t, 1, "i"), lwrun.Fenced)
		is.Equal(refused(g.send(1, "i")), lwfault.Fenced)
		is.Equal(g.requests.Load(), int32(0))
	})
	t.Run("a request that arrives twice", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, ok)
		is.Equal(refused(g.send(1, "i")), lwfault.Kind(""))
		is.Equal(refused(g.send(1, "i")), lwfault.Fenced)
		is.Equal(g.settle(t, 1, "i"), lwrun.Finished)
		is.Equal(g.requests.Load(), int32(1))
	})
	t.Run("a request and a question for another incarnation of the agent", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, ok)
		is.Equal(refused(g.send(1, "before")), lwfault.Fenced)
		is.Equal(g.settle(t, 1, "before"), lwrun.State("")) // a problem, and not that it was fenced
		is.Equal(g.requests.Load(), int32(0))
	})
	t.Run("a connection that breaks within a request is not used for a second copy", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, ok)
		is.Equal(g.send(1, "i").Code, http.StatusOK)
		g.answer = func(w http.ResponseWriter, _ *http.Request) {
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = c.Close()
			}
		}
		is.Equal(refused(g.send(2, "i")), lwfault.Kind(""))
		is.Equal(g.settle(t, 2, "i"), lwrun.AnswerLost)
		is.Equal(g.requests.Load(), int32(2))
	})
	t.Run("a backend server cannot mark its answer as a refusal of the agent", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(lwheader.Refused, string(lwfault.Unavailable))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		is.Equal(refused(g.send(1, "i")), lwfault.Kind(""))
		is.Equal(g.settle(t, 1, "i"), lwrun.Finished)
	})
	t.Run("a backend server that does not listen", func(t *testing.T) {
		is := is.New(t)
		g := newGateAgent(t, ok)
		g.backends.byID["b"].address = "127.0.0.1:1"
		is.Equal(refused(g.send(1, "i")), lwfault.Kind("")) // it counts as run
		is.Equal(g.settle(t, 1, "i"), lwrun.AnswerLost)
	})
}
