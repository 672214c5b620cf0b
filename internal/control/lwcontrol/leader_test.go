package lwcontrol

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// losingLeader returns a node that leads, in whose term the leases of worker w have
// expired. Another worker has been given leases since.
func losingLeader(t *testing.T) *Node {
	t.Helper()
	is := is.New(t)
	n := leadingNode(t, func(lwstate.Command) {})
	n.cfg.Lease, n.cfg.Placement = lwlease.DefaultConfig(), lwplacement.DefaultConfig()
	n.decisionLog = lwlog.NewRateLimitedLogger(n.log, decisionsPerSecond)
	n.leader = newLeader(n)
	r := n.replica
	is.True(n.leader.ensureTerm(r))
	for _, id := range []string{"v", "w"} {
		is.NoErr(proposeAs(t, n, registration(id)))
		_, err := n.leader.sync(t.Context(), r, nil, syncOf(id))
		is.NoErr(err)
	}
	time.Sleep(n.cfg.Lease.ExpiryDelay() / 2)
	_, err := n.leader.sync(t.Context(), r, nil, syncOf("v"))
	is.NoErr(err)
	time.Sleep(n.cfg.Lease.ExpiryDelay()/2 + time.Second)
	return n
}

func registration(id string) lwstate.RegisterWorker {
	return lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: lwunit.WorkerID(id)}, Incarnation: "i"}
}

func syncOf(id string) lwlink.Sync {
	return lwlink.Sync{Worker: lwunit.WorkerID(id), Incarnation: "i"}
}

// The proposals for the workers before it may take several elections. A worker whose
// leases have expired in one term may have been given new ones by another leader when
// this replica leads again.
func TestWorkerIsLostOnlyInTermInWhichItsLeasesHaveExpired(t *testing.T) {
	lost := func(n *Node, id lwunit.WorkerID) (lost bool) {
		n.replica.read(func(s *lwstate.State) {
			w, _ := s.Worker(id)
			lost = w.Lost
		})
		return lost
	}
	t.Run("in the same term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := losingLeader(t)
			n.leader.declareLostWorkers(t.Context(), n.replica)
			is.True(lost(n, "w"))
			is.True(!lost(n, "v"))
		})
	})
	t.Run("in another term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := losingLeader(t)
			n.leader.term++ // they have not expired in the term of the replica
			n.leader.declareLostWorkers(t.Context(), n.replica)
			is.True(!lost(n, "w"))
		})
	})
}

// An agent that control takes for another, or for lost, must get no lease: the tasks of
// its worker are given to another agent or placed elsewhere.
func TestLeaseIsGrantedToRegisteredAgentOnly(t *testing.T) {
	expectNone := func(t *testing.T, n *Node, m lwlink.Sync) {
		t.Helper()
		is := is.New(t)
		res, err := n.leader.sync(t.Context(), n.replica, nil, m)
		is.NoErr(err)
		is.True(res.Register)
		is.Equal(res.Lease.Std(), time.Duration(0))
	}
	t.Run("its worker has registered with another agent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := losingLeader(t)
			next := registration("v")
			next.Incarnation = "j"
			is.NoErr(proposeAs(t, n, next))
			expectNone(t, n, syncOf("v"))
		})
	})
	t.Run("its leases have expired, though the loss is not recorded yet", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := losingLeader(t)
			n.leader.term++ // keeps the loss from being recorded
			n.leader.declareLostWorkers(t.Context(), n.replica)
			n.leader.term--
			expectNone(t, n, syncOf("w"))
		})
	})
	t.Run("its worker was lost under an earlier leader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := losingLeader(t)
			n.leader.declareLostWorkers(t.Context(), n.replica)
			n.leader.leases = lwlease.NewTracker(n.cfg.Lease)
			expectNone(t, n, syncOf("w"))
		})
	})
}

// An agent reports an attempt that its platform lacks once its lease has ended. Young
// attempts are the more suspect of having crashed the platform, so the wait must not
// count towards their age.
func TestAgeOfLostAttemptEndsWhenItWasMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := losingLeader(t)
		is.NoErr(proposeAs(t, n, lwstate.ApplyTicket{Ticket: []byte(`{"number": 1, "author": "test", "objects": [{"kind": "team", "name": "t", "spec": {}}]}`)}))
		is.NoErr(proposeAs(t, n, lwstate.SubmitJob{Spec: lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Needs: lwunit.Resources{Millicores: 1, Memory: 1}}}))
		is.NoErr(proposeAs(t, n, lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: "j/0", Worker: "v"}}}))
		task := func() (t lwstate.Task) {
			n.replica.read(func(s *lwstate.State) { t, _ = s.Task("j/0") })
			return t
		}
		time.Sleep(30 * time.Second)
		m := syncOf("v")
		m.Reports = []lwstate.TaskReport{{Task: "j/0", Token: task().Token, Event: lwstate.EventStopped, Gone: true, GoneFor: lwunit.Duration(12 * time.Second)}}
		_, err := n.leader.sync(t.Context(), n.replica, nil, m)
		is.NoErr(err)
		is.Equal(task().Phase, lwstate.TaskQueued)
		is.Equal(len(task().Crashes), 1)
		is.Equal(task().Crashes[0].Age.Std(), 18*time.Second)
	})
}

// Guards against a lease granted, or an order sent, by a replica whose leadership has ended since it
// began to handle the call: another leader counts neither.
func TestNothingIsGivenOutAfterLeadershipWasLost(t *testing.T) {
	t.Run("a lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := losingLeader(t)
			_, err := n.leader.grant(n.replica, nil, syncOf("v"))
			is.NoErr(err)
			n.leader.term++ // the replica leads in another term
			res, err := n.leader.grant(n.replica, nil, syncOf("v"))
			is.Equal(lwfault.KindOf(err), lwfault.NotLeader)
			is.Equal(res.Lease.Std(), time.Duration(0))
		})
	})
	t.Run("an order", func(t *testing.T) {
		is := is.New(t)
		n := leadingNode(t, func(lwstate.Command) {})
		d := n.dispatcher
		is.NoErr(d.lockAsLeader(n.replica))
		defer d.mu.Unlock()
		d.term++
		d.sessions[rosterEntry.Incarnation] = new(lwrpc.Session)
		before := ordersUnsent.Value()
		d.send(t.Context(), n.replica, lwdispatch.WorkerOrders{Incarnation: rosterEntry.Incarnation, Orders: []lwdispatch.Order{lwdispatch.StopRun{}}})
		is.Equal(ordersUnsent.Value(), before+1)
	})
}
