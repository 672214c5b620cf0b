package lwentry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwtrace"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwagent"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
)

const (
	closeTimeout      = 5 * time.Second // limit for recording the end of a binding with control
	claimPollInterval = 100 * time.Millisecond
	maxBindAttempts   = 3           // attempts to bind and send one request
	resendWait        = time.Second // how long a resend waits for the end of the copy that is bound; also the Retry-After while the outcome is open
	keySeparator      = "-"
	maxKeyBytes       = 128
	settleTimeout     = time.Second // limit for asking the agent about a binding
	clockSkewMargin   = time.Minute // by which this VM's time of day may be behind control's
)

var (
	claimsBound   = lwmetric.Counter("entry_claims_bound_total")
	claimsSettled = lwmetric.Counter("entry_claims_settled_total")
	bindLatency   = lwmetric.NewHistogram("entry_claim_bind_latency")
)

// keyIssueTime returns the issue time at the start of an idempotency key. By this
// time control refuses a resend whose claim may have been removed.
func keyIssueTime(key string) (lwunit.Millis, error) {
	seconds, unique, ok := strings.Cut(key, keySeparator)
	n, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || err != nil || unique == "" || len(key) > maxKeyBytes {
		return 0, lwfault.New(lwfault.Invalid, "%s of a non-idempotent request must be its issue time in Unix seconds, a hyphen and a unique text, at most %d bytes in all", lwheader.IdempotencyKey, maxKeyBytes)
	}
	return lwunit.Millis(n * 1000), nil
}

// requestDigest returns the SHA-256 digest of the method, path and body. Control
// compares it to refuse a key that is reused for another request.
func requestDigest(q *request) string {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", q.r.Method, q.path)
	sum.Write(q.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// serveNonIdempotent runs a request at most once. Before the request is sent,
// the control quorum commits a claim that binds it to one incarnation of one
// agent. The request is sent at most once for each binding.
func (e *Entry) serveNonIdempotent(ctx context.Context, q *request) {
	created, err := keyIssueTime(q.r.Header.Get(lwheader.IdempotencyKey))
	if err != nil {
		writeRefusal(q.w, err)
		return
	}
	bind := lwstate.BindClaim{
		Key:     lwstate.ClaimKey{Team: q.team, Service: q.serviceName, Key: q.r.Header.Get(lwheader.IdempotencyKey)},
		Request: requestDigest(q), Created: created, Retention: q.spec.KeyRetention,
	}
	for n := 1; ; n++ {
		rebind, fault := e.bindAndSend(ctx, q, bind)
		if fault != nil {
			writeFault(q.w, fault.cause, fault.notRun)
			return
		}
		if !rebind {
			return
		}
		if n >= maxBindAttempts || time.Until(q.deadline) < minTimeLeft {
			cause := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no backend server accepted the request", RetryAfter: time.Second}
			writeFault(q.w, cause, e.certainlyNotRun(ctx, bind))
			return
		}
	}
}

// claimFault is the error to answer with when there is no answer of a backend
// server.
type claimFault struct {
	cause  error
	notRun bool // the request certainly did not run
}

// bindAndSend binds the claim to a picked backend server and sends the request
// to it, or acts on the binding that exists. rebind means that no binding is
// left, so serveNonIdempotent may bind the claim again.
func (e *Entry) bindAndSend(ctx context.Context, q *request, bind lwstate.BindClaim) (rebind bool, fault *claimFault) {
	target, ok := q.service.router.Pick(q.tried)
	if !ok {
		return false, &claimFault{e.policy.Load().noTargetFault(q.serviceName), e.certainlyNotRun(ctx, bind)}
	}
	q.tried = append(q.tried, target.Backend)
	bind.Backend = target.Backend
	began := time.Now()
	out, err := e.control.Propose(ctx, bind)
	bindLatency.Observe(time.Since(began))
	if err != nil {
		q.service.router.Done(target.Backend, lwroute.Report{Outcome: lwroute.Refused})
		return e.classifyBindError(err)
	}
	if !out.Fresh {
		q.service.router.Done(target.Backend, lwroute.Report{Outcome: lwroute.Refused})
		return e.resolveClaim(ctx, q, out.Claim)
	}
	claimsBound.Add(1)
	a := e.sendTo(ctx, q, target, &out.Claim)
	return e.finishAttempt(ctx, q, out.Claim, a)
}

// classifyBindError decides how to go on after a failed bind command. This copy
// of the request is not sent. The outcome is unknown all the same if an earlier
// copy may have run: when the command's answer was lost, that copy may hold a
// binding, and when the key has expired, its claim may have been removed.
func (e *Entry) classifyBindError(err error) (bool, *claimFault) {
	switch lwfault.KindOf(err) {
	case lwfault.NotFound:
		return true, nil // the backend server is leaving or not announced
	case lwfault.Conflict, lwfault.Invalid:
		return false, &claimFault{err, true} // this request was never bound under the key
	default:
		return false, &claimFault{err, false}
	}
}

// certainlyNotRun asks control whether no copy of the request can have run: there is
// no claim for its key, or the claim is released. Without a claim that holds only
// while the retention lasts; after it the claim may have been removed.
func (e *Entry) certainlyNotRun(ctx context.Context, bind lwstate.BindClaim) bool {
	res, err := e.control.Query(ctx, claimQuery(bind.Key))
	if err != nil {
		return false
	}
	if res.Claim == nil {
		latest := lwunit.Millis(time.Now().Add(clockSkewMargin).UnixMilli())
		return bind.Created > res.ClaimFloor && latest < bind.Created.Add(bind.Retention.Std())
	}
	return res.Claim.Phase == lwstate.ClaimReleased
}

// finishAttempt answers according to the result of the one attempt of a binding
// and records the end of the binding with control.
func (e *Entry) finishAttempt(ctx context.Context, q *request, c lwstate.Claim, a attempt) (bool, *claimFault) {
	switch {
	case a.res != nil && a.err == nil:
		e.forwardAndRecord(q, c, a)
		return false, nil
	case a.notRun && a.report.Outcome == lwroute.Refused && lwfault.KindOf(a.err) == lwfault.Fenced:
		return e.resolveClaim(ctx, q, c)
	case a.notRun:
		// The request was refused or never sent, so it cannot run under this
		// binding.
		return true, e.closeClaim(c, lwstate.ClaimReleased, nil)
	default:
		return e.settleClaim(ctx, q, c, a.err)
	}
}

// settleClaim asks the agent for the outcome of a binding and answers according
// to it. By asking, it fences a request that has not started there yet.
func (e *Entry) settleClaim(ctx context.Context, q *request, c lwstate.Claim, cause error) (bool, *claimFault) {
	rec, err := e.settleWithAgent(ctx, c)
	claimsSettled.Add(1)
	if err != nil {
		if lwfault.KindOf(err) == lwfault.Fenced {
			// The incarnation that the claim is bound to has ended, and its record
			// of started claims was in memory only.
			_ = e.closeClaim(c, lwstate.ClaimUnknown, nil)
			return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unrepeatable, Detail: "the agent restarted; the request may have run and will not be run again", Cause: cause}, false}
		}
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unknown, Detail: "the request may have run; resend it with the same key to learn its outcome", RetryAfter: resendWait, Cause: err}, false}
	}
	switch rec.State {
	case lwrun.Fenced:
		return true, e.closeClaim(c, lwstate.ClaimReleased, nil)
	case lwrun.Finished:
		if fault := e.closeClaim(c, lwstate.ClaimDone, rec.Answer); fault != nil {
			return false, fault
		}
		e.replayAnswer(q, rec.Answer)
		return false, nil
	case lwrun.Started:
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.StillRunning, Detail: "the request is still running; resend it with the same key for its answer", RetryAfter: resendWait}, false}
	default:
		_ = e.closeClaim(c, lwstate.ClaimUnknown, nil)
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unrepeatable, Detail: "the request ran and its answer is lost; it will not be run again", Cause: cause}, false}
	}
}

// resolveClaim acts on a claim that was bound by another copy of the request, or
// fenced before this copy could start.
func (e *Entry) resolveClaim(ctx context.Context, q *request, c lwstate.Claim) (bool, *claimFault) {
	switch c.Phase {
	case lwstate.ClaimDone:
		e.replayAnswer(q, c.Answer)
		return false, nil
	case lwstate.ClaimUnknown:
		return false, &claimFault{lwfault.New(lwfault.Unrepeatable, "the request may have run before; it will not be run again"), false}
	case lwstate.ClaimReleased:
		return true, nil
	default:
		return e.awaitClaim(ctx, q, c)
	}
}

// awaitClaim waits up to resendWait for the end of the copy that is bound, then
// settles the claim. Settling fences a copy that has not started; the wait gives
// the entry of that copy ample time to send it first.
func (e *Entry) awaitClaim(ctx context.Context, q *request, c lwstate.Claim) (bool, *claimFault) {
	deadline := time.Now().Add(resendWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		current, err := e.fetchClaim(ctx, c.Key)
		if err == nil && current != nil && (current.Phase != lwstate.ClaimBound || current.Token != c.Token) {
			return e.resolveClaim(ctx, q, *current)
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPollInterval):
		}
	}
	return e.settleClaim(ctx, q, c, nil)
}

// fetchClaim reads a claim from control. It returns nil if there is none.
func (e *Entry) fetchClaim(ctx context.Context, key lwstate.ClaimKey) (*lwstate.Claim, error) {
	res, err := e.control.Query(ctx, claimQuery(key))
	return res.Claim, err
}

// closeClaim records the end of a binding with control. It does not end with the
// caller's deadline: with the outcome recorded, the next resend need not ask the
// agent.
func (e *Entry) closeClaim(c lwstate.Claim, phase lwstate.ClaimPhase, answer *lwstate.Answer) *claimFault {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if _, err := e.control.Propose(ctx, lwstate.CloseClaim{Key: c.Key, Token: c.Token, Phase: phase, Answer: answer}); err != nil {
		return &claimFault{&lwfault.Fault{Kind: lwfault.Unknown, Detail: "the outcome could not be recorded; resend with the same key", RetryAfter: resendWait, Cause: err}, false}
	}
	return nil
}

// forwardAndRecord streams the answer to the caller and, if it was streamed
// whole, records it with control in the background. The caller need not wait for
// that: until the answer is recorded, a resend asks the agent.
func (e *Entry) forwardAndRecord(q *request, c lwstate.Claim, a attempt) {
	recorder := lwrun.NewRecorder(a.res.StatusCode, a.res.Header.Get("Content-Type"))
	if e.streamAnswer(q, a, io.MultiWriter(q.w, recorder)) {
		e.background.Go(func() { _ = e.closeClaim(c, lwstate.ClaimDone, recorder.Answer()) })
	}
}

// replayAnswer answers with a recorded answer, or with its status, size and
// digest when it was too large to keep.
func (e *Entry) replayAnswer(q *request, a *lwstate.Answer) {
	entryReplayed.Add(1)
	entryCompleted.Add(1)
	h := q.w.Header()
	h.Set(lwheader.Outcome, lwheader.Completed)
	h.Set(lwheader.Replayed, "true")
	h.Set(lwheader.AnswerDigest, "sha256="+a.Digest)
	if a.Whole {
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		q.w.WriteHeader(a.Status)
		_, _ = q.w.Write(a.Body)
		return
	}
	lwhttp.WriteJSON(q.w, http.StatusOK, answerSummary{a.Status, a.Size, a.Digest})
}

// answerSummary replaces a recorded answer that was too large to keep.
type answerSummary struct {
	Status int    `json:"status"`
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"`
}

// settleWithAgent asks the agent that a claim is bound to for the record of its
// run.
func (e *Entry) settleWithAgent(ctx context.Context, c lwstate.Claim) (lwrun.Record, error) {
	p := e.policy.Load()
	agent, ok := p.agents[c.Worker]
	if !ok {
		return lwrun.Record{}, lwfault.New(lwfault.Unavailable, "the address of the agent of worker %s is not known", c.Worker)
	}
	body, err := json.Marshal(lwagent.SettleRequest{Incarnation: c.Incarnation, Token: c.Token})
	if err != nil {
		return lwrun.Record{}, fmt.Errorf("encode settle request: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent.AgentAddress+lwagent.PathSettle, bytes.NewReader(body))
	if err != nil {
		return lwrun.Record{}, fmt.Errorf("create settle request: %w", err)
	}
	req.Header.Set(lwheader.ClusterKey, e.cfg.ClusterKey)
	lwtrace.Inject(ctx, req.Header)
	res, err := e.agentClient.Do(req)
	if err != nil {
		return lwrun.Record{}, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "settle request to the agent", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return lwrun.Record{}, lwhttp.ReadProblem(res)
	}
	var rec lwrun.Record
	if err := json.NewDecoder(res.Body).Decode(&rec); err != nil {
		return rec, fmt.Errorf("decode settle answer: %w", err)
	}
	return rec, nil
}
