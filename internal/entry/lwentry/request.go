package lwentry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwtrace"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwagent"
)

const (
	servicePrefix = "/v1/services/"
	maxAttempts   = 4                // attempts of one idempotent request
	minTimeLeft   = time.Millisecond // no further attempt is made when less is left until the deadline
	copyBytes     = 32 << 10
)

// request is a caller's request while the entry serves it.
type request struct {
	w           http.ResponseWriter
	r           *http.Request
	team        lwunit.TeamName
	serviceName lwunit.ServiceName
	spec        lwticket.ServiceSpec
	service     *serviceState
	path        string // at the backend server, with the query
	body        []byte
	deadline    time.Time
	tried       []lwunit.BackendServerID // picked so far
	inFlight    []*atomic.Int64          // counters of its service and its team, decremented by release

	brokenAttempts int // during which the connection to the backend server broke
}

// serveService serves a caller's request by a backend server of the service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, span := lwtrace.Continue(r.Context(), r.Header, "entry")
	defer span.End()
	q, err := e.newRequest(w, r.WithContext(ctx))
	if err == nil {
		err = e.admit(q)
	}
	if err != nil {
		writeFault(w, err, !mayBeResend(r))
		return
	}
	defer q.release()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.nonIdempotent() {
		e.serveNonIdempotent(ctx, q)
	} else {
		e.serveIdempotent(ctx, q)
	}
	entryLatency.Observe(time.Since(began))
}

// errNoPolicy is the answer before control has told the entry of services and tokens.
func errNoPolicy() error {
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this entry has no confirmed policy yet", RetryAfter: time.Second}
}

// newRequest authenticates the caller, looks up the service, sets the deadline
// and reads the body.
func (e *Entry) newRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	p := e.policy.Load()
	if p.confirmedAt.IsZero() {
		return nil, errNoPolicy()
	}
	g, err := e.authenticate(p, r, lwticket.RoleCaller)
	if err != nil {
		return nil, err
	}
	name, subPath, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	spec, ok := p.serviceSpec(e.cfg.Region, lwunit.ServiceName(name))
	if !ok {
		return nil, lwfault.New(lwfault.NotFound, "service %q does not exist", name)
	}
	timeout, err := requestTimeout(r, spec)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "cannot read the request body", Cause: err}
	}
	path := "/" + subPath
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &request{
		w: w, r: r, team: g.team, serviceName: lwunit.ServiceName(name), spec: spec, service: e.service(lwunit.ServiceName(name)),
		path: path, body: body, deadline: time.Now().Add(timeout),
	}, nil
}

func requestTimeout(r *http.Request, spec lwticket.ServiceSpec) (time.Duration, error) {
	text := r.Header.Get(lwheader.Deadline)
	if text == "" {
		return spec.Timeout.Std(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, lwfault.New(lwfault.Invalid, "%s must be a duration with a unit, such as 1.5s", lwheader.Deadline)
	}
	return min(d, spec.Timeout.Std()), nil
}

// admit counts the request as in flight, or returns an error if its service or
// its team is at its limit at this entry. An admitted request must be released.
func (e *Entry) admit(q *request) error {
	p := e.policy.Load()
	q.inFlight = []*atomic.Int64{&q.service.inFlight, e.teams.counter(q.team)}
	limits := []int{q.spec.MaxConcurrent, p.teamSpec(q.team).MaxConcurrent}
	names := []string{"service " + string(q.serviceName), "team " + string(q.team)}
	for _, n := range q.inFlight {
		n.Add(1)
	}
	for i, limit := range limits {
		if limit > 0 && q.inFlight[i].Load() > int64(limit) {
			q.release()
			return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: fmt.Sprintf("%s is at its limit of %d requests in flight at this entry", names[i], limit), RetryAfter: time.Second}
		}
	}
	return nil
}

func (q *request) release() {
	for _, n := range q.inFlight {
		n.Add(-1)
	}
}

// mayBeResend reports whether an earlier copy of the request may have run: a request
// with an idempotency key can be a resend, and only control knows.
func mayBeResend(r *http.Request) bool { return r.Header.Get(lwheader.IdempotencyKey) != "" }

// nonIdempotent reports whether the request is non-idempotent. Its header
// decides; without one the service's spec does, but GET and HEAD requests are
// then idempotent.
func (q *request) nonIdempotent() bool {
	switch q.r.Header.Get(lwheader.Unrepeatable) {
	case "true":
		return true
	case "false":
		return false
	default:
		return q.spec.Unrepeatable && q.r.Method != http.MethodGet && q.r.Method != http.MethodHead
	}
}

// attempt is the result of sending a request once to one backend server.
type attempt struct {
	target lwroute.Target
	res    *http.Response // the backend server's answer; if err is set too, the agent's, whose body is closed
	err    error
	notRun bool // the request certainly did not run
	report lwroute.Report
}

// serveIdempotent sends the request to one backend server after another until
// one answers, within the retry budget and the deadline.
func (e *Entry) serveIdempotent(ctx context.Context, q *request) {
	if err := e.broken.refusal(q); err != nil {
		writeFault(q.w, err, false) // earlier copies have run
		return
	}
	q.service.budget.AddRequest(q.spec.RetryBudget)
	notRun := true // no attempt so far can have run
	for n := 1; ; n++ {
		a := e.sendToNext(ctx, q)
		if a.res != nil && a.err == nil {
			e.forwardAnswer(q, a)
			return
		}
		notRun = notRun && a.notRun
		if a.isBroken() && ctx.Err() == nil {
			e.broken.record(q)
			q.brokenAttempts++
		}
		if final := e.checkRetry(ctx, q, a, n); final != nil {
			writeFault(q.w, final, notRun)
			return
		}
		entryRetries.Add(1)
	}
}

// checkRetry returns nil if another attempt is allowed after n attempts, or else
// the error to answer with.
func (e *Entry) checkRetry(ctx context.Context, q *request, a attempt, n int) error {
	kind := lwfault.KindOf(a.err)
	switch {
	case ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft:
		return &lwfault.Fault{Kind: lwfault.Timeout, Detail: "the deadline passed", Cause: a.err}
	case kind == lwfault.Invalid || kind == lwfault.TooLarge || kind == lwfault.NotFound:
		return a.err
	case n >= maxAttempts || q.brokenAttempts >= maxBrokenAttempts:
		return a.err
	case a.report.Outcome == lwroute.Leaving:
		return nil // moving away from a backend server that leaves spends no retry budget
	case !q.service.budget.TakeRetry():
		entryRetriesOverBudget.Add(1)
		return a.err
	default:
		return nil
	}
}

// sendToNext picks a backend server and sends an idempotent request to it. The caller
// must forward or close a response that comes without an error.
func (e *Entry) sendToNext(ctx context.Context, q *request) attempt {
	target, ok := q.service.router.Pick(q.tried)
	if !ok {
		return attempt{err: e.policy.Load().noTargetFault(q.serviceName), notRun: true}
	}
	q.tried = append(q.tried, target.Backend)
	return e.sendTo(ctx, q, target, nil)
}

// sendTo sends the request to a backend server, under a claim unless it is idempotent.
func (e *Entry) sendTo(ctx context.Context, q *request, target lwroute.Target, claim *lwstate.Claim) attempt {
	a := attempt{target: target}
	var trace lwhttp.SendTrace
	req, err := e.newAgentRequest(trace.Context(ctx), q, target, claim)
	if err != nil {
		a.err, a.notRun = err, true
		q.service.router.Done(target.Backend, a.report)
		return a
	}
	res, err := e.agentClient.Do(req)
	a.classify(res, err, &trace)
	if a.res == nil || a.err != nil {
		q.service.router.Done(target.Backend, a.report)
	}
	return a
}

func (e *Entry) newAgentRequest(ctx context.Context, q *request, t lwroute.Target, claim *lwstate.Claim) (*http.Request, error) {
	body := q.bodyReader(claim != nil)
	req, err := http.NewRequestWithContext(ctx, q.r.Method, "http://"+t.AgentAddress+lwagent.PathGate+q.path, body)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request", Cause: err}
	}
	lwheader.Copy(req.Header, q.r.Header)
	req.Header.Del("Authorization") // the caller's token is for the entry only
	req.Header.Del("Content-Length")
	req.Header.Set(lwheader.ClusterKey, e.cfg.ClusterKey)
	req.Header.Set(lwheader.Backend, string(t.Backend))
	req.Header.Set(lwheader.TimeLeft, strconv.FormatInt(time.Until(q.deadline).Microseconds(), 10))
	if claim != nil {
		req.Header.Set(lwheader.Claim, strconv.FormatUint(uint64(claim.Token), 10))
		req.Header.Set(lwheader.Incarnation, string(claim.Incarnation))
	}
	lwtrace.Inject(ctx, req.Header)
	req.ContentLength = int64(len(q.body))
	return req, nil
}

// bodyReader returns the body for one attempt. After a failure on a reused
// connection, http.Transport resends a request whose body is empty or can be
// read again. A request that must be sent at most once has its body wrapped in a
// plain reader, which the transport cannot rewind.
func (q *request) bodyReader(sendOnce bool) io.Reader {
	switch {
	case sendOnce:
		return io.MultiReader(bytes.NewReader(q.body))
	case len(q.body) == 0:
		return nil
	default:
		return bytes.NewReader(q.body)
	}
}

// classify sets the result of an attempt: whether the request can have run, and
// the report for routing.
func (a *attempt) classify(res *http.Response, err error, trace *lwhttp.SendTrace) {
	if err != nil {
		a.notRun = trace.NeverSent(err)
		a.report.Outcome = lwroute.Failed
		a.err = &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "request to the agent of worker " + string(a.target.Worker), Cause: err}
		return
	}
	a.report = readReport(res)
	refused := res.Header.Get(lwheader.Refused)
	if refused == "" {
		a.res = res
		if res.Header.Get(lwheader.ServiceTime) == "" {
			// The agent answered in place of the backend server, which gave no
			// answer and may have started the request.
			a.err = readFault(res)
			a.report.Outcome = lwroute.Failed
		}
		return
	}
	a.notRun = true
	a.err = readFault(res)
	a.report.Outcome = lwroute.Refused
	if res.Header.Get(lwheader.Leaving) != "" {
		a.report.Outcome = lwroute.Leaving
	} else if refused == string(lwfault.Unavailable) {
		a.report.Outcome = lwroute.Failed
	}
}

func readFault(res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	return lwhttp.ReadProblem(res)
}

// readReport reads the load and the service time that the agent reported in the
// headers of its answer. Values that are missing or malformed stay zero.
func readReport(res *http.Response) lwroute.Report {
	var report lwroute.Report
	if _, err := fmt.Sscanf(res.Header.Get(lwheader.Load), "%d,%d,%d", &report.Busy, &report.Queued, &report.Slots); err != nil {
		report = lwroute.Report{}
	}
	if us, err := strconv.ParseInt(res.Header.Get(lwheader.ServiceTime), 10, 64); err == nil {
		report.ServiceTime = time.Duration(us) * time.Microsecond
	}
	return report
}

// forwardAnswer streams a backend server's answer to the caller.
func (e *Entry) forwardAnswer(q *request, a attempt) { e.streamAnswer(q, a, q.w) }

// streamAnswer sends the status and headers of an answer to the caller and its
// body to w, which must write to the caller too. If reading or writing the body
// fails, it counts the answer as truncated and the attempt as failed, and closes
// the caller's connection, so that the answer cannot pass as whole.
func (e *Entry) streamAnswer(q *request, a attempt, w io.Writer) (whole bool) {
	defer func() { _ = a.res.Body.Close() }()
	defer func() { q.service.router.Done(a.target.Backend, a.report) }()
	lwheader.Copy(q.w.Header(), a.res.Header)
	q.w.Header().Set(lwheader.Outcome, lwheader.Completed)
	if a.res.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.res.ContentLength, 10))
	}
	q.w.WriteHeader(a.res.StatusCode)
	if _, err := io.CopyBuffer(w, a.res.Body, make([]byte, copyBytes)); err != nil {
		entryTruncated.Add(1)
		a.report.Outcome = lwroute.Failed
		lwhttp.AbortConnection(q.w)
		return false
	}
	entryCompleted.Add(1)
	return true
}

// writeRefusal answers a request that was refused before any attempt.
func writeRefusal(w http.ResponseWriter, err error) { writeFault(w, err, true) }

// writeFault answers with the problem document of err. The outcome is not_run if
// the request certainly did not run, else unknown.
func writeFault(w http.ResponseWriter, err error, notRun bool) {
	if notRun {
		entryNotRun.Add(1)
		w.Header().Set(lwheader.Outcome, lwheader.NotRun)
	} else {
		entryUnknown.Add(1)
		w.Header().Set(lwheader.Outcome, lwheader.Unknown)
	}
	lwhttp.WriteProblem(w, err)
}
