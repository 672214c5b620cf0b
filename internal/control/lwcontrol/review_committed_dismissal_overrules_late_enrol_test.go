package lwcontrol

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

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
