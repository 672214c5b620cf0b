package lwroute_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
)

func targets(perDomain int) []lwroute.Target {
	var list []lwroute.Target
	for _, d := range []lwunit.FailureDomain{"home", "far"} {
		for i := range perDomain {
			list = append(list, lwroute.Target{Backend: lwunit.BackendServerID(fmt.Sprintf("%s-%d", d, i)), Domain: d, Incarnation: "i"})
		}
	}
	return list
}

func router(perDomain int) *lwroute.Router {
	r := lwroute.New(lwroute.DefaultConfig("home"), 1)
	r.SetTargets(targets(perDomain))
	return r
}

func pick(is *is.I, r *lwroute.Router, tried ...lwunit.BackendServerID) lwroute.Target {
	is.Helper()
	t, ok := r.Pick(tried)
	is.True(ok)
	return t
}

func TestStaysInDomainUntilLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := router(2)
		for range 20 {
			target := pick(is, r)
			is.Equal(target.Domain, lwunit.FailureDomain("home"))
			r.Done(target.Backend, lwroute.Report{Outcome: lwroute.Answered, ServiceTime: 20 * time.Millisecond, Busy: 1, Slots: 8})
		}
		far := 0
		for range 60 { // no request ends, so the servers of the domain fill up
			if pick(is, r).Domain == "far" {
				far++
			}
		}
		is.True(far > 10)
	})
}

func TestLeavingServerIsNotChosenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := router(2)
		target := pick(is, r)
		r.Done(target.Backend, lwroute.Report{Outcome: lwroute.Leaving})
		for range 50 {
			other := pick(is, r)
			is.True(other.Backend != target.Backend)
			r.Done(other.Backend, lwroute.Report{Outcome: lwroute.Answered})
		}
	})
}

func TestEjectsAfterFailuresAndReadmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := lwroute.New(lwroute.DefaultConfig("home"), 1)
		r.SetTargets(targets(4)[:4])
		bad := lwunit.BackendServerID("home-0")
		for failures := 0; failures < 3; {
			target := pick(is, r)
			report := lwroute.Report{Outcome: lwroute.Answered}
			if target.Backend == bad {
				report.Outcome = lwroute.Failed
				failures++
			}
			r.Done(target.Backend, report)
		}
		badIsChosen := func() bool {
			for range 200 {
				target := pick(is, r)
				r.Done(target.Backend, lwroute.Report{Outcome: lwroute.Answered})
				if target.Backend == bad {
					return true
				}
			}
			return false
		}
		is.True(!badIsChosen())
		time.Sleep(10 * time.Second)
		is.True(badIsChosen())
	})
}

func TestPanicUsesEjectedServersWhenTooFewAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := lwroute.New(lwroute.DefaultConfig("home"), 1)
		r.SetTargets(targets(4)[:4])
		for range 200 {
			target := pick(is, r)
			r.Done(target.Backend, lwroute.Report{Outcome: lwroute.Failed})
		}
		chosen := make(map[lwunit.BackendServerID]bool)
		for range 100 {
			target := pick(is, r)
			chosen[target.Backend] = true
			r.Done(target.Backend, lwroute.Report{Outcome: lwroute.Failed})
		}
		is.Equal(len(chosen), 4)
	})
}

func TestTriedServersComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := lwroute.New(lwroute.DefaultConfig("home"), 1)
		r.SetTargets(targets(2)[:2])
		first := pick(is, r)
		second := pick(is, r, first.Backend)
		is.True(second.Backend != first.Backend)
		pick(is, r, first.Backend, second.Backend) // all were tried, so a tried one is chosen
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := lwroute.NewRetryBudget()
	retries := 0
	for range 1000 {
		b.AddRequest(0.1)
		for b.TakeRetry() {
			retries++
		}
	}
	is.True(retries <= 1000/10+50)
	is.True(retries >= 1000/10)
}

// Guards against requests to backend servers in an evacuated failure domain.
func TestServersInEvacuatedDomainAreNoTargets(t *testing.T) {
	list := []lwstate.BackendServer{{ID: "b0", Service: "s", Worker: "w0"}, {ID: "b1", Service: "s", Worker: "w1"}}
	agents := map[lwunit.WorkerID]lwroute.Target{"w0": {Domain: "home"}, "w1": {Domain: "far"}}
	for _, c := range []struct {
		name      string
		evacuated []lwunit.FailureDomain
		want      []lwunit.BackendServerID
	}{
		{"none is evacuated", nil, []lwunit.BackendServerID{"b0", "b1"}},
		{"a domain without servers", []lwunit.FailureDomain{"other"}, []lwunit.BackendServerID{"b0", "b1"}},
		{"the domain of the entry", []lwunit.FailureDomain{"home"}, []lwunit.BackendServerID{"b1"}},
		{"all", []lwunit.FailureDomain{"far", "home"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []lwunit.BackendServerID
			for _, target := range lwroute.ServiceTargets(list, "s", agents, c.evacuated) {
				got = append(got, target.Backend)
			}
			is.Equal(got, c.want)
		})
	}
}
