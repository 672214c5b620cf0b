package lwentry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
)

// noNetwork is a transport without a network.
type noNetwork struct{}

func (noNetwork) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("the test has no network")
}

// newEvacuationEntry returns an entry without connections that has applied answer, in
// which backend server b0 of service s is in domain d0, and b1 in d1.
func newEvacuationEntry(answer lwlink.WatchReply) *Entry {
	e := &Entry{cfg: Config{Domain: "d0"}, agentClient: &http.Client{Transport: noNetwork{}}}
	e.policy.Store(&policy{})
	e.applyAnswer(answer)
	return e
}

// applyAnswer applies a watch answer as refreshPolicy does.
func (e *Entry) applyAnswer(answer lwlink.WatchReply) {
	next := merge(e.policy.Load(), answer)
	next.confirmedAt = time.Now()
	e.policy.Store(next)
	e.updateTargets(next)
}

// evacuationAnswer returns a watch answer with one backend server in each of d0 and d1.
func evacuationAnswer(rev lwunit.Revision, evacuated ...lwunit.FailureDomain) lwlink.WatchReply {
	return lwlink.WatchReply{
		BackendRevision: rev, Evacuated: evacuated,
		Backends: []lwstate.BackendServer{{ID: "b0", Service: "s", Worker: "w0"}, {ID: "b1", Service: "s", Worker: "w1"}},
		Workers:  []lwlink.WorkerAddress{{Worker: "w0", Domain: "d0", GateAddress: "a0"}, {Worker: "w1", Domain: "d1", GateAddress: "a1"}},
	}
}

// expectPicks checks that requests are sent to the given backend servers and no others.
func expectPicks(t *testing.T, e *Entry, want ...lwunit.BackendServerID) {
	t.Helper()
	is := is.New(t)
	picked := make(map[lwunit.BackendServerID]bool)
	for range 200 { // the requests do not end, so they spill over to the other domain
		if target, ok := e.service("s").router.Pick(nil); ok {
			picked[target.Backend] = true
		}
	}
	is.Equal(len(picked), len(want))
	for _, id := range want {
		is.True(picked[id])
	}
}

// Guards against requests that go on to an evacuated domain: at an entry that has routed
// to it, at one that has not, and after the evacuation has ended elsewhere.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	t.Run("without an evacuation all domains are used", func(t *testing.T) {
		expectPicks(t, newEvacuationEntry(evacuationAnswer(1)), "b0", "b1")
	})
	t.Run("the entry has routed to the domain before", func(t *testing.T) {
		e := newEvacuationEntry(evacuationAnswer(1))
		expectPicks(t, e, "b0", "b1")
		e.applyAnswer(evacuationAnswer(2, "d0"))
		expectPicks(t, e, "b1")
	})
	t.Run("the first request comes after the evacuation", func(t *testing.T) {
		expectPicks(t, newEvacuationEntry(evacuationAnswer(1, "d0")), "b1")
	})
	t.Run("an answer without changes keeps the evacuation", func(t *testing.T) {
		e := newEvacuationEntry(evacuationAnswer(1, "d0"))
		e.applyAnswer(lwlink.WatchReply{BackendRevision: 1})
		expectPicks(t, e, "b1")
	})
	t.Run("the domain is restored", func(t *testing.T) {
		e := newEvacuationEntry(evacuationAnswer(1, "d0"))
		e.applyAnswer(evacuationAnswer(2))
		expectPicks(t, e, "b0", "b1")
	})
}

// A request that runs in the domain when it is evacuated must be able to end, and the
// agent must still be asked for the outcome of one that is bound there.
func TestEvacuationLeavesRunningRequests(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEntry(evacuationAnswer(1))
	router := e.service("s").router
	target, ok := router.Pick([]lwunit.BackendServerID{"b1"})
	is.True(ok)
	is.Equal(target.Backend, lwunit.BackendServerID("b0"))
	e.applyAnswer(evacuationAnswer(2, "d0"))
	router.Done("b0", lwroute.Report{Outcome: lwroute.Answered})
	is.Equal(e.policy.Load().agents["w0"].AgentAddress, "a0")
}

// With all domains evacuated a request must be refused as not run with a time to return,
// and the answer must not claim that no backend server is announced.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEntry(evacuationAnswer(1, "d0", "d1"))
	e.cfg.Region = "r"
	next := *e.policy.Load()
	next.objects = map[lwticket.Key]lwstate.ObjectRecord{
		{Kind: lwticket.KindService, Name: "s"}: {Object: lwticket.Object{Spec: lwticket.ServiceSpec{Timeout: lwunit.Duration(time.Second)}}},
	}
	next.grants = map[string]grant{lwticket.TokenDigest("secret"): {"t", lwticket.RoleCaller}}
	e.policy.Store(&next)
	r := httptest.NewRequest(http.MethodGet, "/v1/services/s/proof", http.NoBody)
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	e.serveService(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(lwheader.Outcome), lwheader.NotRun)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.True(strings.Contains(w.Body.String(), "evacuated"))
}

// An entry that is cut off from control learns of no evacuation. It must say so by its
// readiness after maxPolicyAge.
func TestEntryCutOffIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEvacuationEntry(evacuationAnswer(1))
		time.Sleep(maxPolicyAge)
		is.NoErr(e.Ready())
		time.Sleep(time.Millisecond)
		is.True(e.Ready() != nil)
	})
}
