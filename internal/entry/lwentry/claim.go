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
	closeTimeout  = 5 * time.Second
	settlePause   = 100 * time.Millisecond
	maxBindings   = 3
	pendingWait   = time.Second
	keySeparator  = "-"
	maxKeyBytes   = 128
	settleTimeout = time.Second
)

var (
	claimsBound   = lwmetric.Counter("entry_claims_bound_total")
	claimsSettled = lwmetric.Counter("entry_claims_settled_total")
	claimLatency  = lwmetric.NewHistogram("entry_claim_bind_latency")
)

// parseKey reads the issue time in front of an idempotency key. The time makes
// it possible to refuse a resend after the record is gone.
func parseKey(key string) (lwunit.Millis, error) {
	seconds, rest, ok := strings.Cut(key, keySeparator)
	n, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || err != nil || rest == "" || len(key) > maxKeyBytes {
		return 0, lwfault.New(lwfault.Invalid, "%s of a non-idempotent request must be its issue time in Unix seconds, a hyphen and a unique text, at most %d bytes in all", lwheader.IdempotencyKey, maxKeyBytes)
	}
	return lwunit.Millis(n * 1000), nil
}

func requestDigest(q *request) string {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", q.r.Method, q.path)
	sum.Write(q.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// serveClaimed runs a non-idempotent request at most once. The claim is agreed
// by the control quorum and bound to one incarnation of one agent before the
// request is sent; it is sent once for each binding.
func (e *Entry) serveClaimed(ctx context.Context, q *request) {
	created, err := parseKey(q.r.Header.Get(lwheader.IdempotencyKey))
	if err != nil {
		answerFault(q.w, err)
		return
	}
	bind := lwstate.BindClaim{
		Key:     lwstate.ClaimKey{Team: q.team, Service: q.name, Key: q.r.Header.Get(lwheader.IdempotencyKey)},
		Request: requestDigest(q), Created: created, Retention: q.spec.KeyRetention,
	}
	for n := 1; ; n++ {
		again, err := e.bindAndSend(ctx, q, bind)
		if err != nil {
			outcomeFault(q.w, err.cause, err.notRun)
			return
		}
		if !again {
			return
		}
		if n >= maxBindings || time.Until(q.deadline) < minTimeLeft {
			cause := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no backend server took the request", RetryAfter: time.Second}
			outcomeFault(q.w, cause, e.neverBound(ctx, bind.Key))
			return
		}
	}
}

// claimFault is a final answer other than the backend server's.
type claimFault struct {
	cause  error
	notRun bool
}

// bindAndSend makes or finds the binding of a claim and acts on it; again is
// set when the claim was released and may be bound anew.
func (e *Entry) bindAndSend(ctx context.Context, q *request, bind lwstate.BindClaim) (again bool, fault *claimFault) {
	target, ok := q.service.router.Pick(q.tried)
	if !ok {
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no backend server is announced", RetryAfter: time.Second}, e.neverBound(ctx, bind.Key)}
	}
	q.tried = append(q.tried, target.Backend)
	bind.Backend = target.Backend
	began := time.Now()
	out, err := e.client.Propose(ctx, bind)
	claimLatency.Observe(time.Since(began))
	if err != nil {
		q.service.router.Done(target.Backend, lwroute.Report{Outcome: lwroute.Refused})
		return e.bindFailed(err)
	}
	if !out.Fresh {
		q.service.router.Done(target.Backend, lwroute.Report{Outcome: lwroute.Refused})
		return e.resume(ctx, q, out.Claim)
	}
	claimsBound.Add(1)
	a := e.tryAt(ctx, q, target, out.Claim.Token)
	return e.conclude(ctx, q, out.Claim, a)
}

// bindFailed turns a refused binding into an answer. A binding whose answer
// was lost is never sent, so nothing ran by it; but the key may be bound by an
// earlier copy of the request, so the outcome is unknown.
func (e *Entry) bindFailed(err error) (bool, *claimFault) {
	switch lwfault.KindOf(err) {
	case lwfault.NotFound:
		return true, nil // the backend server left meanwhile
	case lwfault.Conflict, lwfault.Invalid:
		return false, &claimFault{err, true} // this content was never accepted under the key
	default:
		return false, &claimFault{err, false}
	}
}

// neverBound asks whether any copy of the request was ever bound.
func (e *Entry) neverBound(ctx context.Context, key lwstate.ClaimKey) bool {
	claim, err := e.claim(ctx, key)
	return err == nil && (claim == nil || claim.Phase == lwstate.ClaimReleased)
}

// conclude answers by what the one attempt of this binding showed, and records
// it.
func (e *Entry) conclude(ctx context.Context, q *request, c lwstate.Claim, a attempt) (bool, *claimFault) {
	switch {
	case a.res != nil && a.err == nil:
		e.answerClaimed(q, c, a)
		return false, nil
	case a.notRun && a.report.Outcome == lwroute.Refused && lwfault.KindOf(a.err) == lwfault.Fenced:
		return e.resume(ctx, q, c)
	case a.notRun:
		// The request cannot arrive any more: it was refused or never sent.
		return true, e.close(c, lwstate.ClaimReleased, nil)
	default:
		return e.settle(ctx, q, c, a.err)
	}
}

// settle asks the agent what became of the binding. Asking fences a request
// that is still under way.
func (e *Entry) settle(ctx context.Context, q *request, c lwstate.Claim, cause error) (bool, *claimFault) {
	rec, err := e.askAgent(ctx, c)
	claimsSettled.Add(1)
	if err != nil {
		if lwfault.KindOf(err) == lwfault.Fenced {
			// The incarnation that could run it is gone, and so is its memory.
			_ = e.close(c, lwstate.ClaimUnknown, nil)
			return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unrepeatable, Detail: "the agent restarted; the request may have run and will not be run again", Cause: cause}, false}
		}
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unknown, Detail: "the request may have run; resend it with the same key to learn its outcome", RetryAfter: pendingWait, Cause: err}, false}
	}
	switch rec.State {
	case lwrun.Fenced:
		return true, e.close(c, lwstate.ClaimReleased, nil)
	case lwrun.Finished:
		if fault := e.close(c, lwstate.ClaimDone, rec.Answer); fault != nil {
			return false, fault
		}
		e.replay(q, rec.Answer)
		return false, nil
	case lwrun.Started:
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Pending, Detail: "the request is still running; resend it with the same key for its answer", RetryAfter: pendingWait}, false}
	default:
		_ = e.close(c, lwstate.ClaimUnknown, nil)
		return false, &claimFault{&lwfault.Fault{Kind: lwfault.Unrepeatable, Detail: "the request ran and its answer is lost; it will not be run again", Cause: cause}, false}
	}
}

// resume answers a resend by what became of the copy before.
func (e *Entry) resume(ctx context.Context, q *request, c lwstate.Claim) (bool, *claimFault) {
	switch c.Phase {
	case lwstate.ClaimDone:
		e.replay(q, c.Answer)
		return false, nil
	case lwstate.ClaimUnknown:
		return false, &claimFault{lwfault.New(lwfault.Unrepeatable, "the request may have run before; it will not be run again"), false}
	case lwstate.ClaimReleased:
		return true, nil
	default:
		return e.await(ctx, q, c)
	}
}

// await waits a little for the copy that is bound to end. It fences a copy
// that has not started only when its entry has had ample time to send it.
func (e *Entry) await(ctx context.Context, q *request, c lwstate.Claim) (bool, *claimFault) {
	until := time.Now().Add(pendingWait)
	for time.Now().Before(until) && ctx.Err() == nil {
		now, err := e.claim(ctx, c.Key)
		if err == nil && now != nil && (now.Phase != lwstate.ClaimBound || now.Token != c.Token) {
			return e.resume(ctx, q, *now)
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePause):
		}
	}
	return e.settle(ctx, q, c, nil)
}

func (e *Entry) claim(ctx context.Context, key lwstate.ClaimKey) (*lwstate.Claim, error) {
	res, err := e.client.Query(ctx, queryClaim(key))
	return res.Claim, err
}

// close records the end of a binding with control. It outlives the caller's
// deadline: a recorded outcome saves the next resend from asking again.
func (e *Entry) close(c lwstate.Claim, phase lwstate.ClaimPhase, answer *lwstate.Answer) *claimFault {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if _, err := e.client.Propose(ctx, lwstate.CloseClaim{Key: c.Key, Token: c.Token, Phase: phase, Answer: answer}); err != nil {
		return &claimFault{&lwfault.Fault{Kind: lwfault.Unknown, Detail: "the outcome could not be recorded; resend with the same key", RetryAfter: pendingWait, Cause: err}, false}
	}
	return nil
}

// answerClaimed streams the answer and records it. The caller need not wait
// for the record: until it is there, a resend asks the agent.
func (e *Entry) answerClaimed(q *request, c lwstate.Claim, a attempt) {
	rec := lwrun.NewRecorder(a.res.StatusCode, a.res.Header.Get("Content-Type"))
	if e.stream(q, a, io.MultiWriter(q.w, rec)) {
		e.done.Go(func() { _ = e.close(c, lwstate.ClaimDone, rec.Answer()) })
	}
}

// replay answers with a recorded answer, or with its status and digest when it
// was too large to keep.
func (e *Entry) replay(q *request, a *lwstate.Answer) {
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
	lwhttp.WriteJSON(q.w, http.StatusOK, largeAnswer{a.Status, a.Size, a.Digest})
}

// largeAnswer stands for a recorded answer that was too large to keep.
type largeAnswer struct {
	Status int    `json:"status"`
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"`
}

// askAgent settles a binding with the agent it is bound to.
func (e *Entry) askAgent(ctx context.Context, c lwstate.Claim) (lwrun.Record, error) {
	p := e.policy.Load()
	gate, ok := p.gates[c.Worker]
	if !ok {
		return lwrun.Record{}, lwfault.New(lwfault.Unavailable, "the agent of worker %s is not reachable", c.Worker)
	}
	body, err := json.Marshal(lwagent.SettleRequest{Incarnation: c.Incarnation, Token: c.Token})
	if err != nil {
		return lwrun.Record{}, fmt.Errorf("encode settle: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate.Gate+lwagent.PathSettle, bytes.NewReader(body))
	if err != nil {
		return lwrun.Record{}, fmt.Errorf("settle: %w", err)
	}
	req.Header.Set(lwheader.ClusterKey, e.cfg.ClusterKey)
	lwtrace.Inject(ctx, req.Header)
	res, err := e.agents.Do(req)
	if err != nil {
		return lwrun.Record{}, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "settle with the agent", Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return lwrun.Record{}, lwhttp.ReadProblem(res)
	}
	var rec lwrun.Record
	if err := json.NewDecoder(res.Body).Decode(&rec); err != nil {
		return rec, fmt.Errorf("decode settle: %w", err)
	}
	return rec, nil
}
