package lwagent

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwtrace"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
)

// Paths that an agent serves.
const (
	PathAnnounce = "/agent/v1/announce" // for backend servers on the same VM
	PathWithdraw = "/agent/v1/withdraw" // for backend servers on the same VM
	PathSettle   = "/agent/v1/settle"   // for entries
	PathGate     = "/gate"              // for entries; a prefix of the backend server's path
)

const copyBufferBytes = 32 << 10

var (
	agentTruncated  = lwmetric.Counter("agent_truncated_answers_total")
	agentStaleEntry = lwmetric.Counter("agent_stale_entry_refusals_total")
)

type announceParams struct {
	ID      lwunit.BackendServerID `json:"id"`
	Service lwunit.ServiceName     `json:"service"`
	Address string                 `json:"address"`
	Lease   lwunit.Duration        `json:"lease,omitempty"`
}

type withdrawParams struct {
	ID lwunit.BackendServerID `json:"id"`
}

// SettleRequest asks for the outcome of a claim. The request fences a claim
// that has not started.
type SettleRequest struct {
	Incarnation lwunit.Incarnation  `json:"incarnation"`
	Token       lwunit.FencingToken `json:"token"`
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathAnnounce, a.fromOwnVM(a.serveAnnounce))
	mux.HandleFunc(PathWithdraw, a.fromOwnVM(a.serveWithdraw))
	mux.HandleFunc("GET /debug/vars", a.fromOwnVM(expvar.Handler().ServeHTTP))
	mux.HandleFunc(PathSettle, a.withClusterKey(a.serveSettle))
	mux.HandleFunc(PathGate+"/", a.withClusterKey(a.serveGate))
	return mux
}

// fromOwnVM admits requests from the agent's own VM only.
func (a *Agent) fromOwnVM(next http.HandlerFunc) http.HandlerFunc {
	own, _, _ := net.SplitHostPort(a.cfg.GateAddress)
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		ip := net.ParseIP(host)
		if err != nil || ip == nil || (!ip.IsLoopback() && host != own) {
			lwhttp.WriteProblem(w, lwfault.New(lwfault.Forbidden, "this path takes requests from the agent's own VM only"))
			return
		}
		next(w, r)
	}
}

// withClusterKey admits requests that carry the cluster key, as entries do.
func (a *Agent) withClusterKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !lwhttp.EqualTokens(r.Header.Get(lwheader.ClusterKey), a.cfg.ClusterKey) {
			writeRefusal(w, lwfault.New(lwfault.Unauthorized, "the cluster key does not match"))
			return
		}
		next(w, r)
	}
}

func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var p announceParams
	err := lwhttp.ReadJSON(r, &p)
	if err == nil {
		err = a.backends.announce(p.ID, p.Service, p.Address, p.Lease.Std())
	}
	if err != nil {
		lwhttp.WriteProblem(w, err)
		return
	}
	lwhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

// serveWithdraw answers when the backend server has no request in flight, so
// that it can stop once it receives the answer.
func (a *Agent) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	var p withdrawParams
	err := lwhttp.ReadJSON(r, &p)
	var idle <-chan struct{}
	if err == nil {
		idle, err = a.backends.withdraw(p.ID)
	}
	if err != nil {
		lwhttp.WriteProblem(w, err)
		return
	}
	select {
	case <-idle:
		lwhttp.WriteJSON(w, http.StatusOK, struct{}{})
	case <-r.Context().Done():
	}
}

func (a *Agent) serveSettle(w http.ResponseWriter, r *http.Request) {
	var p SettleRequest
	if err := lwhttp.ReadJSON(r, &p); err != nil {
		lwhttp.WriteProblem(w, err)
		return
	}
	if p.Incarnation != a.cfg.Incarnation {
		lwhttp.WriteProblem(w, lwfault.New(lwfault.Fenced, "the claim is bound to another incarnation of this agent"))
		return
	}
	lwhttp.WriteJSON(w, http.StatusOK, a.runs.Settle(p.Token))
}

// writeRefusal answers with err and marks the request as not run.
func writeRefusal(w http.ResponseWriter, err error) {
	w.Header().Set(lwheader.Refused, string(lwfault.KindOf(err)))
	lwhttp.WriteProblem(w, err)
}

// serveGate admits a request and forwards it to its backend server.
func (a *Agent) serveGate(w http.ResponseWriter, r *http.Request) {
	ctx, span := lwtrace.Continue(r.Context(), r.Header, "agent")
	defer span.End()
	s, ok := a.backends.get(lwunit.BackendServerID(r.Header.Get(lwheader.Backend)))
	if !ok {
		agentStaleEntry.Add(1)
		w.Header().Set(lwheader.Leaving, "true")
		writeRefusal(w, lwfault.New(lwfault.Unavailable, "the backend server is not announced here"))
		return
	}
	timeLeft, err := strconv.ParseInt(r.Header.Get(lwheader.TimeLeft), 10, 64) // in microseconds
	if err != nil {
		writeRefusal(w, lwfault.New(lwfault.Invalid, "%s is required", lwheader.TimeLeft))
		return
	}
	deadline := time.Now().Add(time.Duration(timeLeft) * time.Microsecond)
	slot, err := s.gate.Acquire(ctx, deadline)
	if err != nil {
		s.setLoadHeaders(w)
		writeRefusal(w, err)
		return
	}
	defer slot.Release()
	token, err := a.startClaim(r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if token != 0 {
		// The outcome of a non-idempotent request must be recorded even when
		// the entry has closed the connection.
		ctx = context.WithoutCancel(ctx)
	}
	call, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	answer := a.forward(call, w, r, s)
	if spec, ok := a.servicePolicy(s.service); ok {
		s.countRequest(time.Since(began), spec.TailTarget.Std())
	}
	if token != 0 {
		a.runs.Finish(token, answer)
	}
}

// startClaim marks a non-idempotent request as started. Until it returns, the
// request has certainly not run; once it has returned without an error, the
// request counts as run. The token is zero for a request without a claim.
func (a *Agent) startClaim(r *http.Request) (lwunit.FencingToken, error) {
	claim := r.Header.Get(lwheader.Claim)
	if claim == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(claim, 10, 64)
	if err != nil {
		return 0, lwfault.New(lwfault.Invalid, "%s must be a number", lwheader.Claim)
	}
	if lwunit.Incarnation(r.Header.Get(lwheader.Incarnation)) != a.cfg.Incarnation {
		return 0, lwfault.New(lwfault.Fenced, "the claim is bound to another incarnation of this agent")
	}
	token := lwunit.FencingToken(n)
	return token, a.runs.Start(token)
}

func (s *backend) setLoadHeaders(w http.ResponseWriter) {
	l := s.gate.Load()
	w.Header().Set(lwheader.Load, fmt.Sprintf("%d,%d,%d", l.Busy, l.Queued, l.Slots))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn {
		w.Header().Set(lwheader.Leaving, "true")
	}
}

// forward sends the request to the backend server and streams the answer to the
// entry. It returns the answer if it arrived whole.
func (a *Agent) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, s *backend) *lwstate.Answer {
	ctx, span := lwtrace.Start(ctx, "backend_server")
	defer span.End()
	body := lwhttp.NewGuardedBody(r.Body)
	defer func() { _ = body.Close() }()
	var trace lwhttp.SendTrace
	req, err := http.NewRequestWithContext(trace.Context(ctx), r.Method, "http://"+s.address+r.URL.RequestURI()[len(PathGate):], body)
	if err != nil {
		lwhttp.WriteProblem(w, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request", Cause: err})
		return nil
	}
	lwheader.Copy(req.Header, r.Header)
	lwtrace.Inject(ctx, req.Header)
	req.ContentLength = contentLength(r)
	if req.ContentLength == 0 && r.Header.Get(lwheader.Claim) == "" {
		// After a failure on a reused connection, http.Transport may resend a
		// request that has no body. A claimed request must be sent at most once,
		// so its empty body stays a reader, which the transport cannot rewind.
		req.Body = http.NoBody
	}
	began := time.Now()
	res, err := s.httpClient().Do(req)
	if err != nil {
		writeBackendError(w, r, err, &trace)
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	lwheader.Copy(w.Header(), res.Header)
	s.setLoadHeaders(w)
	w.Header().Set(lwheader.ServiceTime, strconv.FormatInt(time.Since(began).Microseconds(), 10))
	if res.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	w.WriteHeader(res.StatusCode)
	return copyAnswer(w, res)
}

func contentLength(r *http.Request) int64 {
	if n, err := strconv.ParseInt(r.Header.Get("Content-Length"), 10, 64); err == nil {
		return n
	}
	if len(r.TransferEncoding) > 0 {
		return -1
	}
	return 0
}

// writeBackendError answers that the backend server gave no answer. If the request
// was never sent, the answer also marks it as not run, unless it has a claim, which
// counts as run already.
func writeBackendError(w http.ResponseWriter, r *http.Request, err error, trace *lwhttp.SendTrace) {
	if trace.NeverSent(err) && r.Header.Get(lwheader.Claim) == "" {
		writeRefusal(w, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "the backend server does not accept connections", Cause: err})
		return
	}
	kind := lwfault.Unknown
	if errors.Is(err, context.DeadlineExceeded) {
		kind = lwfault.Timeout
	}
	lwhttp.WriteProblem(w, &lwfault.Fault{Kind: kind, Detail: "no answer from the backend server", Cause: err})
}

// copyAnswer streams the answer to the entry and records it. If the answer is
// truncated, it closes the connection, so that the entry notices.
func copyAnswer(w http.ResponseWriter, res *http.Response) *lwstate.Answer {
	rec := lwrun.NewRecorder(res.StatusCode, res.Header.Get("Content-Type"))
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		_, _ = rec.Write(buf[:n])
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				lwhttp.AbortConnection(w)
				return recordRemainder(rec, res, buf)
			}
		}
		if errors.Is(err, io.EOF) {
			return rec.Answer()
		}
		if err != nil {
			agentTruncated.Add(1)
			lwhttp.AbortConnection(w)
			return nil
		}
	}
}

// recordRemainder reads the rest of an answer after the connection to the entry
// has failed, so that a resend can still be answered with the outcome.
func recordRemainder(rec *lwrun.Recorder, res *http.Response, buf []byte) *lwstate.Answer {
	if _, err := io.CopyBuffer(rec, res.Body, buf); err != nil {
		return nil
	}
	return rec.Answer()
}
