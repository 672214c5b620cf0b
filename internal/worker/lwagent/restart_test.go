package lwagent

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

// expectStartOnceEnded lets the agent reconcile at every poll interval. It checks that the
// attempt is started, but not while an earlier start of it runs on the given platform.
func expectStartOnceEnded(t *testing.T, a *Agent, p *latePlatform, earlier *lwstandin.Worker) {
	t.Helper()
	for range 60 {
		a.applyReply(t.Context(), listed(t, a), a.clock.Now()+grantedLease, lwlink.SyncReply{})
		if len(p.delayed) > 0 {
			if running := earlier.Running(); len(running) > 0 {
				t.Fatalf("the start is sent while %v runs", running)
			}
			return
		}
		time.Sleep(platformPollInterval)
	}
	t.Fatal("the attempt is never started")
}

// newTestSuccessor returns an agent of the same worker that has just registered in the place of
// another one and been told of a task.
func newTestSuccessor(p lwplatform.Platform, task lwlink.Assignment) *Agent {
	next := newTestAgent(p)
	next.cfg.Worker.Capacity = lwunit.Resources{Millicores: 4000}
	next.inherits = true
	next.takeAssignments(lwlink.SyncReply{Changed: true, Assignments: []lwlink.Assignment{task}, Lease: lwunit.Duration(grantedLease)})
	return next
}

// Guards against a list without an attempt being taken as evidence that no start of it was
// carried out: a platform that was started again beside its tasks, or that of another VM
// with the same worker, does not know of it.
func TestAttemptIsNotStartedWhileEarlierStartMayRun(t *testing.T) {
	t.Run("a start without an answer at a platform that was started again beside its tasks", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			a.cfg.Worker.Capacity = task.Reserve
			order(t, a, task, end)
			clear(a.started)
			p.carryOut()
			earlier := p.Worker
			p.Worker = lwstandin.NewWorker()
			expectStartOnceEnded(t, a, p, earlier)
		})
	})
	t.Run("a start by an earlier agent of the worker, not reported as running", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			earlier := p.Worker
			p.Worker = lwstandin.NewWorker()
			expectStartOnceEnded(t, newTestSuccessor(p, task), p, earlier)
		})
	})
	t.Run("a start by this agent, before another agent of the worker was registered for a while", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			a.cfg.Worker.Capacity = task.Reserve
			order(t, a, task, end)
			clear(a.started)
			p.delayed = nil // the start was lost
			other := &latePlatform{Worker: lwstandin.NewWorker()}
			b := newTestAgent(other)
			b.clock = a.clock
			listed(t, b)
			order(t, b, task, end)
			other.carryOut()
			a.inherits = true
			a.takeAssignments(lwlink.SyncReply{Changed: true, Assignments: []lwlink.Assignment{task}, Lease: lwunit.Duration(grantedLease)})
			expectStartOnceEnded(t, a, p, other.Worker)
		})
	})
	t.Run("a start without an answer is sent again at once to the platform that knows of it", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			a.cfg.Worker.Capacity = task.Reserve
			order(t, a, task, end)
			clear(a.started)
			p.delayed = nil // the start was lost
			a.applyReply(t.Context(), listed(t, a), end, lwlink.SyncReply{})
			if len(p.delayed) != 1 {
				t.Errorf("%d starts are sent, want 1", len(p.delayed))
			}
		})
	})
}
