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
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwagent"
)

const (
	servicePrefix = "/v1/services/"
	maxAttempts   = 4
	minTimeLeft   = time.Millisecond
	copyBytes     = 32 << 10
)

// request is one caller's request on its way.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	team     lwunit.TeamName
	name     lwunit.ServiceName
	spec     lwticket.ServiceSpec
	service  *service
	path     string // for the backend server, with the query
	body     []byte
	deadline time.Time
	tried    []lwunit.BackendServerID
	counts   []*atomic.Int64 // of requests in flight, to be lowered at the end
}

// serveService passes a caller's request to a backend server.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, span := lwtrace.Continue(r.Context(), r.Header, "entry")
	defer span.End()
	q, err := e.accept(w, r.WithContext(ctx))
	if err != nil {
		answerFault(w, err)
		return
	}
	if over := e.admit(q); over != nil {
		answerFault(w, over)
		return
	}
	defer q.leave()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.unrepeatable() {
		e.serveClaimed(ctx, q)
	} else {
		e.serveIdempotent(ctx, q)
	}
	entryLatency.Observe(time.Since(began))
}

// accept checks who asks, for what and until when.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*request, error) {
	p := e.policy.Load()
	if p.freshAt.IsZero() {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this entry has no confirmed policy yet", RetryAfter: time.Second}
	}
	g, err := e.authenticate(p, r, lwticket.RoleCaller)
	if err != nil {
		return nil, err
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	spec, ok := p.service(e.cfg.Region, lwunit.ServiceName(name))
	if !ok {
		return nil, lwfault.New(lwfault.NotFound, "service %q does not exist", name)
	}
	timeout, err := timeLimit(r, spec)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request body", Cause: err}
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &request{
		w: w, r: r, team: g.team, name: lwunit.ServiceName(name), spec: spec, service: e.service(lwunit.ServiceName(name)),
		path: path, body: body, deadline: time.Now().Add(timeout),
	}, nil
}

func timeLimit(r *http.Request, spec lwticket.ServiceSpec) (time.Duration, error) {
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

// admit counts a request in flight unless its service or its team has too many
// here. Each request that is admitted must leave.
func (e *Entry) admit(q *request) error {
	p := e.policy.Load()
	q.counts = []*atomic.Int64{&q.service.inFlight, e.teams.count(q.team)}
	limits := []int{q.spec.MaxConcurrent, p.team(q.team).MaxConcurrent}
	names := []string{"service " + string(q.name), "team " + string(q.team)}
	for _, n := range q.counts {
		n.Add(1)
	}
	for i, limit := range limits {
		if limit > 0 && q.counts[i].Load() > int64(limit) {
			q.leave()
			return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: fmt.Sprintf("%s has %d requests in flight at this entry", names[i], limit), RetryAfter: time.Second}
		}
	}
	return nil
}

func (q *request) leave() {
	for _, n := range q.counts {
		n.Add(-1)
	}
}

// unrepeatable reports whether the request is non-idempotent: by its header,
// else by the service, whose GET and HEAD requests are always idempotent.
func (q *request) unrepeatable() bool {
	switch q.r.Header.Get(lwheader.Unrepeatable) {
	case "true":
		return true
	case "false":
		return false
	default:
		return q.spec.Unrepeatable && q.r.Method != http.MethodGet && q.r.Method != http.MethodHead
	}
}

// attempt is one try at one backend server.
type attempt struct {
	target lwroute.Target
	res    *http.Response // set if the agent or the backend server answered
	err    error
	notRun bool // certainly
	report lwroute.Report
}

// serveIdempotent tries backend servers until one answers, within the retry
// budget and the deadline.
func (e *Entry) serveIdempotent(ctx context.Context, q *request) {
	q.service.budget.Attempt(q.spec.RetryBudget)
	certain := true // no attempt so far may have run
	for n := 1; ; n++ {
		a := e.try(ctx, q, 0)
		if a.res != nil && a.err == nil {
			e.answer(q, a)
			return
		}
		certain = certain && a.notRun
		if why := e.mayRetry(ctx, q, a, n); why != nil {
			outcomeFault(q.w, why, certain)
			return
		}
		entryRetries.Add(1)
	}
}

// mayRetry returns nil if another attempt is allowed, else the final fault.
func (e *Entry) mayRetry(ctx context.Context, q *request, a attempt, n int) error {
	kind := lwfault.KindOf(a.err)
	switch {
	case ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft:
		return &lwfault.Fault{Kind: lwfault.Timeout, Detail: "the deadline passed", Cause: a.err}
	case kind == lwfault.Invalid || kind == lwfault.TooLarge || kind == lwfault.NotFound:
		return a.err
	case n >= maxAttempts:
		return a.err
	case a.report.Outcome == lwroute.Leaving:
		return nil // moving away from a server that leaves costs no budget
	case !q.service.budget.Retry():
		entryNoBudget.Add(1)
		return a.err
	default:
		return nil
	}
}

// try sends the request to one backend server. The caller must answer or close
// a response that comes without an error.
func (e *Entry) try(ctx context.Context, q *request, claim lwunit.FencingToken) attempt {
	target, ok := q.service.router.Pick(q.tried)
	if !ok {
		err := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no backend server of " + string(q.name) + " is announced", RetryAfter: time.Second}
		return attempt{err: err, notRun: true}
	}
	q.tried = append(q.tried, target.Backend)
	return e.tryAt(ctx, q, target, claim)
}

func (e *Entry) tryAt(ctx context.Context, q *request, target lwroute.Target, claim lwunit.FencingToken) attempt {
	a := attempt{target: target}
	req, err := e.build(ctx, q, target, claim)
	if err != nil {
		a.err, a.notRun = err, true
		q.service.router.Done(target.Backend, a.report)
		return a
	}
	res, err := e.agents.Do(req)
	a.classify(res, err)
	if a.res == nil || a.err != nil {
		q.service.router.Done(target.Backend, a.report)
	}
	return a
}

func (e *Entry) build(ctx context.Context, q *request, t lwroute.Target, claim lwunit.FencingToken) (*http.Request, error) {
	body := q.reader(claim != 0)
	req, err := http.NewRequestWithContext(ctx, q.r.Method, "http://"+t.Gate+lwagent.PathGate+q.path, body)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request", Cause: err}
	}
	lwheader.Copy(req.Header, q.r.Header)
	req.Header.Del("Authorization") // a caller's token ends at the entry
	req.Header.Del("Content-Length")
	req.Header.Set(lwheader.ClusterKey, e.cfg.ClusterKey)
	req.Header.Set(lwheader.Backend, string(t.Backend))
	req.Header.Set(lwheader.TimeLeft, strconv.FormatInt(time.Until(q.deadline).Microseconds(), 10))
	if claim != 0 {
		req.Header.Set(lwheader.Claim, strconv.FormatUint(uint64(claim), 10))
		req.Header.Set(lwheader.Incarnation, string(t.Incarnation))
	}
	lwtrace.Inject(ctx, req.Header)
	req.ContentLength = int64(len(q.body))
	return req, nil
}

// reader returns the body for one attempt. The transport resends a request on
// a stale connection if its body can be had again or is empty; hiding the body
// behind a plain reader keeps it from resending one that must be sent once.
func (q *request) reader(once bool) io.Reader {
	switch {
	case once:
		return io.MultiReader(bytes.NewReader(q.body))
	case len(q.body) == 0:
		return nil
	default:
		return bytes.NewReader(q.body)
	}
}

// classify decides what an attempt showed: whether it ran, and what routing
// should learn.
func (a *attempt) classify(res *http.Response, err error) {
	if err != nil {
		a.notRun = neverSent(err)
		a.report.Outcome = lwroute.Failed
		a.err = &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "agent of " + string(a.target.Worker), Cause: err}
		return
	}
	a.report = readLoad(res)
	refused := res.Header.Get(lwheader.Refused)
	if refused == "" {
		a.res = res
		if res.Header.Get(lwheader.ServiceTime) == "" {
			// The agent answered in place of the backend server, which gave no
			// whole answer after it may have started.
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

// readLoad reads what the agent told of the backend server's load.
func readLoad(res *http.Response) lwroute.Report {
	var rep lwroute.Report
	if _, err := fmt.Sscanf(res.Header.Get(lwheader.Load), "%d,%d,%d", &rep.Busy, &rep.Queued, &rep.Slots); err != nil {
		rep = lwroute.Report{}
	}
	if us, err := strconv.ParseInt(res.Header.Get(lwheader.ServiceTime), 10, 64); err == nil {
		rep.Spent = time.Duration(us) * time.Microsecond
	}
	return rep
}

// answer streams a backend server's answer to the caller.
func (e *Entry) answer(q *request, a attempt) { e.stream(q, a, q.w) }

// stream sends the head of an answer to the caller and its body to w, which
// includes the caller. If the body breaks off, so does the caller's connection.
func (e *Entry) stream(q *request, a attempt, w io.Writer) (whole bool) {
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
		lwhttp.Abort(q.w)
		return false
	}
	entryCompleted.Add(1)
	return true
}

// answerFault answers a request that was refused before any attempt.
func answerFault(w http.ResponseWriter, err error) { outcomeFault(w, err, true) }

// outcomeFault answers with a fault; certain means that nothing was run.
func outcomeFault(w http.ResponseWriter, err error, certain bool) {
	if certain {
		entryNotRun.Add(1)
		w.Header().Set(lwheader.Outcome, lwheader.NotRun)
	} else {
		entryUnknown.Add(1)
		w.Header().Set(lwheader.Outcome, lwheader.Unknown)
	}
	lwhttp.WriteProblem(w, err)
}
