package lwcontrol

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// newDomainState returns a state with a worker and a backend server in each of the
// domains a and b, and a worker alone in c.
func newDomainState(is *is.I) *lwstate.State {
	is.Helper()
	s := lwstate.New()
	applyNext(is, s, lwstate.ApplyTicket{Ticket: json.RawMessage(`{"number": 1, "author": "aiko", "objects": [
		{"kind": "team", "name": "t", "spec": {"quota": {"millicores": 1000, "memory": "1GiB"}}},
		{"kind": "service", "name": "s", "spec": {"team": "t"}}]}`)})
	for _, d := range []string{"a", "b", "c"} {
		spec := lwstate.WorkerSpec{ID: lwunit.WorkerID("w" + d), Domain: lwunit.FailureDomain(d), GateAddress: "gate-" + d, Capacity: lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}}
		applyNext(is, s, lwstate.RegisterWorker{Spec: spec, Incarnation: "i"})
		if d != "c" {
			applyNext(is, s, lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: lwunit.BackendServerID("b" + d), Service: "s", Worker: spec.ID, Incarnation: "i"}})
		}
	}
	return s
}

func applyNext(is *is.I, s *lwstate.State, c lwstate.Command) {
	is.Helper()
	is.NoErr(s.Apply(s.Revision()+1, 1, c).Err)
}

// setEvacuation returns the command of an operator who has read the domain's record.
func setEvacuation(s *lwstate.State, d lwunit.FailureDomain, evacuate bool) lwstate.SetEvacuation {
	return lwstate.SetEvacuation{Order: lwevacuation.Order{Domain: d, Evacuate: evacuate, Expected: s.Evacuations()[d].Revision, By: "aiko"}}
}

// leaving returns the backend servers of a watch answer that take no new requests.
func leaving(reply lwlink.WatchReply) []lwunit.BackendServerID {
	var list []lwunit.BackendServerID
	for _, b := range reply.Backends {
		if b.Leaving {
			list = append(list, b.ID)
		}
	}
	return list
}

func TestWatchAnswersCarryEvacuations(t *testing.T) {
	entry := lwlink.Watch{Role: lwlink.RoleEntry, ObeysEvacuations: true}
	t.Run("an entry gets the evacuated domains with the backend servers and all addresses", func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		known := entry
		known.BackendRevision = s.BackendRevision()
		applyNext(is, s, setEvacuation(s, "a", true))
		reply := changesSince(s, known)
		is.Equal(reply.Evacuated, []lwunit.FailureDomain{"a"})
		is.Equal(len(reply.Backends), 2)
		is.Equal(len(reply.Workers), 2) // an entry may have to settle a claim with the agent in a
		is.Equal(len(leaving(reply)), 0)
	})
	t.Run("a restored domain is no longer named", func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		applyNext(is, s, setEvacuation(s, "a", true))
		known := entry
		known.BackendRevision = s.BackendRevision()
		applyNext(is, s, setEvacuation(s, "a", false))
		reply := changesSince(s, known)
		is.Equal(len(reply.Backends), 2)
		is.Equal(len(reply.Evacuated), 0)
	})
	// Control is upgraded before the entries, so it must keep older ones away from the
	// domain too.
	t.Run("an entry of an older version is told that the backend servers leave", func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		older := lwlink.Watch{Role: lwlink.RoleEntry}
		is.Equal(len(leaving(changesSince(s, older))), 0)
		applyNext(is, s, setEvacuation(s, "a", true))
		is.Equal(leaving(changesSince(s, older)), []lwunit.BackendServerID{"ba"})
		is.True(!s.Backends()[0].Leaving) // only in the answer
		applyNext(is, s, setEvacuation(s, "a", false))
		is.Equal(len(leaving(changesSince(s, older))), 0)
	})
	t.Run("nothing is added while nothing is evacuated", func(t *testing.T) {
		is := is.New(t)
		data, err := json.Marshal(changesSince(newDomainState(is), entry))
		is.NoErr(err)
		var fields map[string]any
		is.NoErr(json.Unmarshal(data, &fields))
		is.Equal(fields["evacuated"], nil)
	})
}

// Guards against an evacuation that an entry learns of only when its long poll ends.
func TestEvacuationEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		r := &replica{state: s, stateChanged: make(chan struct{}), applied: lwreplica.Index(s.Revision())}
		w := lwlink.Watch{Role: lwlink.RoleEntry, PolicyRevision: s.PolicyRevision(), BackendRevision: s.BackendRevision(), MaxWait: lwunit.Duration(maxWatchWait)}
		data, err := lwstate.EncodeCommand(setEvacuation(s, "a", true), 1)
		is.NoErr(err)
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			r.apply(lwreplica.Output{Committed: []lwreplica.Entry{{Index: r.applied + 1, Kind: lwreplica.EntryCommand, Data: data}}})
		}()
		(&Node{}).waitForChange(t.Context(), r, w)
		is.Equal(time.Since(began), time.Second)
	})
}
