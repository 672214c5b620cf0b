package lwcontrol

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var testEvacuations = Evacuations{Agreed: true, Domains: []lwunit.FailureDomain{"a", "b"}}

// newEvacuationNode returns the node of a replica whose domains a and b may be evacuated.
func newEvacuationNode(r *replica, log *zap.Logger) *Node {
	n := &Node{log: log, cfg: Config{Dispatch: lwdispatch.DefaultConfig(), Evacuations: testEvacuations}, replica: r}
	n.dispatcher = newDispatcher(n)
	r.onApply = n.dispatcher.onApplied
	return n
}

func waitUntilLeading(t *testing.T, n *Node) {
	t.Helper()
	eventually(t, "the replica leads", func() bool {
		if n.dispatcher.lockAsLeader(n.replica) != nil {
			return false
		}
		n.dispatcher.mu.Unlock()
		return true
	})
}

// orderFor returns the order of an operator who has read the domain's record.
func orderFor(t *testing.T, n *Node, d lwunit.FailureDomain, evacuate bool) lwevacuation.Order {
	t.Helper()
	rec, err := n.evacuation(t.Context(), n.replica, nil, d)
	is.New(t).NoErr(err)
	return lwevacuation.Order{Domain: d, Evacuate: evacuate, Expected: rec.Revision, By: "10.0.0.9:1234"}
}

func setDomain(t *testing.T, n *Node, d lwunit.FailureDomain, evacuate bool) lwevacuation.Record {
	t.Helper()
	rec, err := n.setEvacuation(t.Context(), n.replica, nil, orderFor(t, n, d, evacuate))
	is.New(t).NoErr(err)
	return rec
}

// expectAgentTold checks whether the leader tells the agent of a worker in domain a that
// the domain is evacuated.
func expectAgentTold(t *testing.T, n *Node, want bool) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(n.dispatcher.lockAsLeader(n.replica))
	defer n.dispatcher.mu.Unlock()
	g := n.dispatcher.core.Report(lwdispatch.Report{Info: lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 1}, Agent: "x", Domain: "a"}})
	is.Equal(g.Evacuated, want)
}

func leadingEvacuationNode(t *testing.T, log *zap.Logger) *Node {
	t.Helper()
	n := newEvacuationNode(newSoleVoter(t, lwdisk.NewMemory()), log)
	runReplica(t, n.replica)
	waitUntilLeading(t, n)
	return n
}

func TestEvacuationOrders(t *testing.T) {
	t.Run("an acknowledged order is in force, and counted and logged with who asked", func(t *testing.T) {
		is := is.New(t)
		core, lines := observer.New(zapcore.InfoLevel)
		n := leadingEvacuationNode(t, zap.New(core))
		before := evacuationsSet.Value()
		rec := setDomain(t, n, "a", true)
		is.True(rec.Evacuated)
		expectAgentTold(t, n, true)
		is.Equal(evacuationsSet.Value(), before+1)
		is.Equal(evacuatedDomains.Value(), int64(1))
		fields := lines.FilterMessage("evacuation").All()[0].ContextMap()
		is.Equal(fields["by"], "10.0.0.9:1234")
		is.Equal(fields["outcome"], "changed")
		is.Equal(fields["revision"], uint64(rec.Revision))
		is.Equal(lines.FilterMessage("evacuation_in_force").Len(), 1)
		setDomain(t, n, "a", false)
		expectAgentTold(t, n, false)
		is.Equal(evacuatedDomains.Value(), int64(0))
	})
	t.Run("a resend after a lost acknowledgement is acknowledged without a further entry", func(t *testing.T) {
		is := is.New(t)
		n := leadingEvacuationNode(t, zap.NewNop())
		o := orderFor(t, n, "a", true)
		first, err := n.setEvacuation(t.Context(), n.replica, nil, o)
		is.NoErr(err)
		applied := n.replica.currentView().applied
		again, err := n.setEvacuation(t.Context(), n.replica, nil, o)
		is.NoErr(err)
		is.Equal(again, first)
		is.Equal(setDomain(t, n, "a", true), first) // by an operator who reads the record first
		is.Equal(n.replica.currentView().applied, applied)
	})
	t.Run("a late duplicate of an old order is refused", func(t *testing.T) {
		is := is.New(t)
		n := leadingEvacuationNode(t, zap.NewNop())
		late := orderFor(t, n, "a", true)
		setDomain(t, n, "a", true)
		setDomain(t, n, "a", false)
		_, err := n.setEvacuation(t.Context(), n.replica, nil, late)
		is.Equal(lwfault.KindOf(err), lwfault.Conflict)
		expectAgentTold(t, n, false)
	})
	t.Run("a domain that the settings do not name is not found", func(t *testing.T) {
		is := is.New(t)
		n := leadingEvacuationNode(t, zap.NewNop())
		_, err := n.evacuation(t.Context(), n.replica, nil, "elsewhere")
		is.Equal(lwfault.KindOf(err), lwfault.NotFound)
		_, err = n.setEvacuation(t.Context(), n.replica, nil, lwevacuation.Order{Domain: "elsewhere", Evacuate: true})
		is.Equal(lwfault.KindOf(err), lwfault.NotFound)
	})
	t.Run("no domain is found where evacuations are not agreed", func(t *testing.T) {
		is := is.New(t)
		n := leadingEvacuationNode(t, zap.NewNop())
		n.cfg.Evacuations = Evacuations{}
		_, err := n.evacuation(t.Context(), n.replica, nil, "a")
		is.Equal(lwfault.KindOf(err), lwfault.NotFound)
	})
}

// The leader is killed after it has acknowledged an evacuation and before its dispatcher
// has taken it in. The next leader must know it before it decides anything.
func TestLeaderKilledAfterAcknowledgement(t *testing.T) {
	is := is.New(t)
	disk := lwdisk.NewMemory()
	n := newEvacuationNode(newSoleVoter(t, disk), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.replica.run(ctx) }()
	waitUntilLeading(t, n)
	setDomain(t, n, "a", true)
	cancel()
	is.NoErr(<-ended)
	disk.Crash(func(string, int) int { return 0 })
	next := newEvacuationNode(newSoleVoter(t, disk), zap.NewNop())
	runReplica(t, next.replica)
	waitUntilLeading(t, next)
	expectAgentTold(t, next, true)
	is.True(setDomain(t, next, "a", true).Evacuated) // the resend of the operator
}

// A replica loses its disk after the acknowledgement, is sent a snapshot by the leader and
// leads later.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	is := is.New(t)
	leader := lwstate.New()
	is.NoErr(leader.Apply(1, 1, lwstate.SetEvacuation{Order: lwevacuation.Order{Domain: "a", Evacuate: true}}).Err)
	data, err := leader.Snapshot()
	is.NoErr(err)
	n := newEvacuationNode(newTestReplica(t, lwdisk.NewMemory(), zap.NewNop()), zap.NewNop())
	n.replica.apply(lwreplica.Output{Snapshot: &lwreplica.Snapshot{Index: 1, Data: data}})
	n.replica.view = view{role: lwreplica.Leader, term: 2, holdsLease: true, leaseEnd: time.Hour}
	expectAgentTold(t, n, true)
}

// An order is committed just before the leader's lease expires, and the lease is renewed
// in the same term.
func TestEvacuationWhileLeaseIsExpired(t *testing.T) {
	is := is.New(t)
	n := newEvacuationNode(newTestReplica(t, lwdisk.NewMemory(), zap.NewNop()), zap.NewNop())
	r := n.replica
	leads := func(lease time.Duration) {
		r.view = view{role: lwreplica.Leader, term: 1, holdsLease: lease > 0, leaseEnd: lease}
	}
	leads(time.Hour)
	expectAgentTold(t, n, false)
	leads(0)
	data, err := lwstate.EncodeCommand(lwstate.SetEvacuation{Order: lwevacuation.Order{Domain: "a", Evacuate: true}}, 1)
	is.NoErr(err)
	r.apply(lwreplica.Output{Committed: []lwreplica.Entry{{Index: 1, Term: 1, Data: data}}})
	n.dispatcher.discardChanges(r)
	leads(time.Hour)
	expectAgentTold(t, n, true)
}

// A replica that is cut off from the majority must not acknowledge anything.
func TestEvacuationWithoutQuorum(t *testing.T) {
	t.Run("of a replica that does not lead", func(t *testing.T) {
		is := is.New(t)
		n := newEvacuationNode(newTestReplica(t, lwdisk.NewMemory(), zap.NewNop(), lwreplica.Member{ID: "r"}, lwreplica.Member{ID: "x"}), zap.NewNop())
		_, err := n.setEvacuation(t.Context(), n.replica, nil, lwevacuation.Order{Domain: "a", Evacuate: true})
		is.Equal(lwfault.KindOf(err), lwfault.NotLeader)
	})
	t.Run("of a leader that loses the quorum before the commit", func(t *testing.T) {
		is := is.New(t)
		n := newEvacuationNode(newTestReplica(t, lwdisk.NewMemory(), zap.NewNop()), zap.NewNop())
		n.replica.view = view{role: lwreplica.Leader, term: 1, holdsLease: true, leaseEnd: time.Hour, membership: lwreplica.Membership{Voters: []lwreplica.Member{{ID: "r"}}}}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := n.setEvacuation(ctx, n.replica, nil, lwevacuation.Order{Domain: "a", Evacuate: true})
		is.Equal(lwfault.KindOf(err), lwfault.Unknown)
		expectAgentTold(t, n, false)
	})
}

// A committed command that a replica does not know ends it, again after each restart.
func TestEvacuationWithOlderReplicas(t *testing.T) {
	group := lwreplica.Membership{Voters: []lwreplica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Learners: []lwreplica.Member{{ID: "d"}}}
	cases := []struct {
		name    string
		answers map[lwunit.ReplicaID]memberKnowledge
		refused bool
	}{
		{"all know it", map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "b": memberKnows, "c": memberKnows, "d": memberKnows}, false},
		{"an older voter", map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "b": memberKnows, "c": memberOlder}, true},
		{"an older learner", map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "b": memberKnows, "d": memberOlder}, true},
		{"a silent voter, whose machine may have failed", map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "b": memberKnows}, false},
		{"no quorum has answered", map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "d": memberKnows}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			err := checkKnowledge(group, x.answers)
			is.Equal(err != nil, x.refused)
			if x.refused {
				is.Equal(lwfault.KindOf(err), lwfault.Unavailable)
				is.True(lwfault.As(err).RetryAfter > 0) // the client passes it on instead of asking again
			}
		})
	}
	t.Run("the status of an older version", func(t *testing.T) {
		is := is.New(t)
		var older statusResult
		is.NoErr(json.Unmarshal([]byte(`{"replica":"b","cluster":"c","address":"x","applied":7}`), &older))
		n := &Node{id: "a"}
		newer, err := n.status(nil)
		is.NoErr(err)
		answers := make(map[lwunit.ReplicaID]memberKnowledge)
		n.noteKnowledge([]statusResult{older, newer}, answers)
		is.Equal(answers, map[lwunit.ReplicaID]memberKnowledge{"a": memberKnows, "b": memberOlder})
		is.Equal(n.knowEvacuations, map[lwunit.ReplicaID]bool{"a": true}) // the older one is asked again
	})
	t.Run("what an older version does with the command", func(t *testing.T) {
		is := is.New(t)
		_, _, err := lwstate.DecodeCommand([]byte(`{"kind":"of_a_newer_version","at":1,"body":{}}`))
		is.Equal(lwfault.KindOf(err), lwfault.Invalid) // applyEntry ends the process on it
	})
}
