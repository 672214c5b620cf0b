package lwcontrol

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

var rosterEntry = lwjob.RosterEntry{Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 1}, Agent: "a"}

// An enrolment that got no answer may be committed while a later dismissal of the same
// incarnation is on its way. The incarnation must get no tasks until it is enrolled again: a
// new leader would not wait for it and start its tasks elsewhere.
func TestLateEnrolmentIsOverruledByDismissal(t *testing.T) {
	q := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, Service: "s"}
	dismissal := lwstate.ChangeRoster{Dismiss: []lwjob.WorkerIncarnation{rosterEntry.Incarnation}}
	starts := func(t *testing.T, d *dispatcher, at time.Duration) (n int) {
		t.Helper()
		d.core.Advance(at, 3)
		d.applyChange(d.node.replica.state, lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{rosterEntry}})
		d.core.Schedule()
		for _, o := range d.core.TakeEffects().Orders {
			n += len(o.Orders)
		}
		return n
	}
	for name, begin := range map[string]func(d *dispatcher){
		"that is in flight": func(d *dispatcher) { d.proposedRoster = dismissal },
		"that is pending":   func(d *dispatcher) { d.pendingRoster = dismissal },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := lwstate.New()
			state.Apply(1, 1, lwstate.Configure{Document: lwconfig.Document{Version: 1, Queues: []lwconfig.Queue{q}, Services: []lwconfig.Service{{Name: "s"}}}})
			state.Apply(2, 2, lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: "j", Queue: q.Key, Steps: []lwjob.Step{{Count: 1}}}, Queue: q, Term: 2}})
			n := &Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}, replica: &replica{state: state, clock: lwclock.New()}}
			d := newDispatcher(n)
			d.beginTerm(n.replica, 2)
			info := lwdispatch.WorkerInfo{Incarnation: rosterEntry.Incarnation, Agent: rosterEntry.Agent, Service: "s", Capacity: lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}}
			token := d.core.Report(lwdispatch.Report{Info: info}).Token
			d.core.Report(lwdispatch.Report{Info: info, Token: token, Complete: true, Clock: 1})
			begin(d)
			is.Equal(starts(t, d, time.Second), 0)
			d.proposedRoster, d.pendingRoster = lwstate.ChangeRoster{}, lwstate.ChangeRoster{}
			is.Equal(starts(t, d, 2*time.Second), 1)
		})
	}
}

// A replica may lead again while a proposal of its last term waits. It must not take an
// incarnation off the roster that has reported to it, or another leader, since.
func TestRosterChangesOnlyInTermInWhichItWasDecided(t *testing.T) {
	for name, other := range map[string]bool{"in the same term": false, "in another term": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := leadingNode(t, func(lwstate.Command) {})
			d, r := n.dispatcher, n.replica
			is.NoErr(d.lockAsLeader(r))
			if other {
				d.term++
			}
			d.pendingRoster = lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{rosterEntry}}
			d.changeRoster(t.Context(), r)
			d.mu.Unlock()
			onRoster := func() (found bool) {
				r.read(func(s *lwstate.State) { found = len(s.Queues().Roster()) > 0 })
				return found
			}
			if !other {
				eventually(t, "the roster is changed", onRoster)
				return
			}
			time.Sleep(100 * time.Millisecond)
			is.True(!onRoster())
		})
	}
}

// Guards against tasks on a worker that is off the roster, since the core learns of a late
// enrolment and of the dismissal after it only when the answer to the dismissal was handled.
func TestCommittedDismissalOverrulesLateEnrolment(t *testing.T) {
	q := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, Service: "s"}
	state := lwstate.New()
	state.Apply(1, 1, lwstate.Configure{Document: lwconfig.Document{Version: 1, Queues: []lwconfig.Queue{q}, Services: []lwconfig.Service{{Name: "s"}}}})
	state.Apply(2, 2, lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: "j", Queue: q.Key, Steps: []lwjob.Step{{Count: 1}}}, Queue: q, Term: 2}})
	n := &Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}, replica: &replica{state: state, clock: lwclock.New()}}
	d := newDispatcher(n)
	d.beginTerm(n.replica, 2)
	info := lwdispatch.WorkerInfo{Incarnation: rosterEntry.Incarnation, Agent: rosterEntry.Agent, Service: "s", Capacity: lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}}
	token := d.core.Report(lwdispatch.Report{Info: info}).Token
	d.core.Report(lwdispatch.Report{Info: info, Token: token, Complete: true, Clock: 1})
	enrolment := lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{rosterEntry}}
	dismissal := lwstate.ChangeRoster{Dismiss: []lwjob.WorkerIncarnation{rosterEntry.Incarnation}}
	d.proposedRoster = enrolment // proposed again once the dismissal was answered
	state.Apply(3, 3, enrolment)
	d.onApplied(3, enrolment)
	state.Apply(4, 4, dismissal)
	d.onApplied(4, dismissal)
	d.applyChanges(n.replica)
	d.core.Advance(time.Second, 5)
	d.core.Schedule()
	for _, o := range d.core.TakeEffects().Orders {
		t.Errorf("%d orders for a worker that is not on the roster %v", len(o.Orders), state.Queues().Roster())
	}
}

// Guards against a cursor that passes an end whose record has failed: the worker would forget an
// end that nobody has recorded. The ends are proposed again in their order.
func TestFailedRecordOfEndsRaisesNoCursor(t *testing.T) {
	is := is.New(t)
	r := &replica{state: lwstate.New(), clock: lwclock.New(), events: make(chan event, 1), view: view{role: lwreplica.Leader, term: 2, holdsLease: true, leaseEnd: time.Hour}}
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	d.beginTerm(r, 2)
	d.core.Report(lwdispatch.Report{Info: lwdispatch.WorkerInfo{Incarnation: rosterEntry.Incarnation, Agent: rosterEntry.Agent}})
	endsUpTo := func(first, last int64) (list []lwdispatch.WorkerEnd) {
		for n := first; n <= last; n++ {
			list = append(list, lwdispatch.WorkerEnd{Incarnation: rosterEntry.Incarnation, Numbered: lwdispatch.NumberedEnd{Number: n, End: lwjob.End{Task: "j.0.0.0", Run: lwjob.RunID(n), How: lwjob.EndDone}}})
		}
		return list
	}
	record := func(ends ...lwdispatch.WorkerEnd) { // as perform does
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pendingEnds = append(d.pendingEnds, ends...)
		d.recordRuns(t.Context(), r)
	}
	cursor := func() int64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, n := d.core.TokenAndCursor(rosterEntry.Incarnation)
		return n
	}
	runsIn := func(e event) (list []lwjob.RunID) {
		cmd, _, err := lwstate.DecodeCommand(e.body.(lwreplica.Propose).Data)
		is.NoErr(err)
		for _, x := range cmd.(lwstate.RecordRuns).Ends {
			list = append(list, x.Run)
		}
		return list
	}

	record(endsUpTo(1, 2)...)
	first := <-r.events
	is.Equal(runsIn(first), []lwjob.RunID{1, 2})
	record(endsUpTo(3, 3)...)
	first.waiter.finish(lwfault.New(lwfault.Unavailable, "no quorum"))
	eventually(t, "the ends wait again", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.recordInFlight
	})
	is.Equal(cursor(), int64(0))
	record()
	second := <-r.events
	is.Equal(runsIn(second), []lwjob.RunID{1, 2, 3})
	is.Equal(cursor(), int64(0))
	second.waiter.finish(nil)
	eventually(t, "the cursor is raised", func() bool { return cursor() == 3 })
}

// Guards against the placements and ends that an earlier leadership has noted overruling what a
// later leader has recorded since.
func TestRunsAreRecordedOnlyInTermInWhichTheyWereNoted(t *testing.T) {
	for name, other := range map[string]bool{"in the same term": false, "in another term": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var recorded atomic.Bool
			n := leadingNode(t, func(c lwstate.Command) {
				if _, ok := c.(lwstate.RecordRuns); ok {
					recorded.Store(true)
				}
			})
			d, r := n.dispatcher, n.replica
			is.NoErr(d.lockAsLeader(r))
			if other {
				d.term++
			}
			d.pendingPlacements = []lwjob.Placement{{Task: "j.0.0.0", Incarnation: rosterEntry.Incarnation}}
			d.recordRuns(t.Context(), r)
			d.mu.Unlock()
			if !other {
				eventually(t, "the placement is recorded", recorded.Load)
				return
			}
			time.Sleep(100 * time.Millisecond)
			is.True(!recorded.Load())
		})
	}
}

// Guards against a change of the roster overtaking the one before: an incarnation that runs tasks
// could be left off it.
func TestRosterChangesAreProposedOneAtATime(t *testing.T) {
	is := is.New(t)
	var changes atomic.Int64
	n := leadingNode(t, func(c lwstate.Command) {
		if _, ok := c.(lwstate.ChangeRoster); ok {
			changes.Add(1)
		}
	})
	d, r := n.dispatcher, n.replica
	is.NoErr(d.lockAsLeader(r))
	d.rosterInFlight = true
	d.pendingRoster = lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{rosterEntry}}
	d.changeRoster(t.Context(), r)
	is.Equal(len(d.pendingRoster.Enrol), 1)
	d.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	is.Equal(changes.Load(), int64(0))
	d.mu.Lock()
	d.rosterInFlight = false // the one before was answered
	d.changeRoster(t.Context(), r)
	d.mu.Unlock()
	eventually(t, "the change is recorded", func() bool { return changes.Load() == 1 })
}
