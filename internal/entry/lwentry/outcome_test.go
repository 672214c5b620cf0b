package lwentry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

// A caller that reads not_run may send the order under another key, so a resend must
// not be answered with it while the first copy has run or may have.
func TestRefusedResendIsNotCalledNotRun(t *testing.T) {
	t.Run("the service is at its limit", func(t *testing.T) {
		is := is.New(t)
		sys := startTestSystem(t, 1, 1)
		key := fmt.Sprintf("%d-limit", time.Now().Unix())
		first := sys.send(0, []byte("etch"), key, 5*time.Second)
		is.Equal(first.outcome, lwheader.Completed)
		ticket := fmt.Appendf(nil, `{"number": 2, "author": "test", "objects": [
			{"kind": "team", "name": "t", "spec": {"tokens": [{"role": "caller", "sha256": %q}]}},
			{"kind": "service", "name": %q, "spec": {"max_concurrent": 1, "team": "t"}}]}`, lwticket.TokenDigest(callerToken), service)
		is.NoErr(sys.Operator().Post(context.Background(), "/v1/tickets", ticket, nil))
		sys.awaitTicketInForce(t, 2)
		arrived, release := make(chan struct{}), make(chan struct{})
		arrive := sync.OnceFunc(func() { close(arrived) })
		sys.setBehaviour(lwstandin.Behaviour{Delay: func() time.Duration {
			arrive()
			<-release
			return 0
		}})
		done := make(chan answer)
		go func() { done <- sys.send(0, []byte("other"), "", 20*time.Second) }()
		<-arrived
		resend := sys.send(0, []byte("etch"), key, 5*time.Second)
		close(release)
		<-done
		is.Equal(resend.status, http.StatusTooManyRequests)
		checkAnswer(t, "resend", resend, nil, sys.runs(key))
	})
	t.Run("the token is unknown", func(t *testing.T) {
		is := is.New(t)
		sys := startTestSystem(t, 1, 1)
		key := fmt.Sprintf("%d-token", time.Now().Unix())
		is.Equal(sys.send(0, []byte("etch"), key, 5*time.Second).outcome, lwheader.Completed)
		ticket := fmt.Appendf(nil, `{"number": 2, "author": "test", "objects": [{"kind": "team", "name": "t", "spec": {}}]}`)
		is.NoErr(sys.Operator().Post(context.Background(), "/v1/tickets", ticket, nil))
		sys.awaitTicketInForce(t, 2)
		resend := sys.send(0, []byte("etch"), key, 5*time.Second)
		is.Equal(resend.status, http.StatusUnauthorized)
		checkAnswer(t, "resend", resend, nil, sys.runs(key))
	})
	t.Run("the key has expired and no backend server is announced", func(t *testing.T) {
		is := is.New(t)
		sys := startTestSystem(t, 1, 1)
		sys.removeBackends(t)
		old := fmt.Sprintf("%d-old", time.Now().Add(-25*time.Hour).Unix()) // keys are kept for a day
		a := sys.send(0, []byte("etch"), old, 2*time.Second)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.outcome, lwheader.Unknown) // its record may be gone
		fresh := fmt.Sprintf("%d-fresh", time.Now().Unix())
		is.Equal(sys.send(0, []byte("etch"), fresh, 2*time.Second).outcome, lwheader.NotRun)
	})
}

// removeBackends ends all backend servers and waits until entry 0 knows of none.
func (sys *testSystem) removeBackends(t *testing.T) {
	t.Helper()
	for _, b := range sys.Backends {
		b.Kill()
	}
	deadline := time.Now().Add(30 * time.Second)
	for {
		a := sys.send(0, nil, "", time.Second)
		if bytes.Contains(a.body, []byte("no backend server")) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still answered with %s: %s", a.outcome, a.body)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
