package lwagent

import (
	"context"
	"errors"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

// blankPlatform lists nothing while blank, as one that was started again beside its
// tasks and has not found them yet.
type blankPlatform struct {
	*latePlatform
	blank bool
}

func (p *blankPlatform) List(ctx context.Context) (lwplatform.Listing, error) {
	l, err := p.latePlatform.List(ctx)
	if p.blank {
		l.Attempts = nil
	}
	return l, err
}

// expectReportOnceEnded takes a list every poll interval. It checks that the attempt is
// reported as stopped, but not while it runs.
func expectReportOnceEnded(t *testing.T, a *Agent, p *latePlatform) lwstate.TaskReport {
	t.Helper()
	for range 60 {
		list := a.dueReports(listed(t, a))
		running := p.Running()
		if len(list) > 0 && list[0].Event == lwstate.EventStopped {
			if len(running) > 0 {
				t.Fatalf("%v is reported as stopped while it runs", running)
			}
			return list[0]
		}
		time.Sleep(platformPollInterval)
	}
	t.Fatal("the attempt is never reported as stopped")
	return lwstate.TaskReport{}
}

// Control starts a task elsewhere at once when it is told that its attempt has stopped.
// An attempt that the platform does not list must not be reported so while it may run.
func TestMissingAttemptIsReportedOnceItHasEnded(t *testing.T) {
	t.Run("a platform that lists nothing while its tasks run", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			a.cfg.Platform = &blankPlatform{p, true}
			missingAt := a.clock.Now()
			r := expectReportOnceEnded(t, a, p)
			if goneFor := a.clock.Now() - missingAt; !r.Gone || r.GoneFor.Std() != goneFor {
				t.Errorf("reported as gone for %s, want %s", r.GoneFor.Std(), goneFor)
			}
		})
	})
	t.Run("the lease of an attempt that is not listed is not renewed", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			a.cfg.Platform = &blankPlatform{p, true}
			a.renewLeases(t.Context(), listed(t, a), end+grantedLease)
			p.carryOut()
			expectEndedBy(t, a, p, end)
			expectReportOnceEnded(t, a, p)
		})
	})
	t.Run("a platform that finds its tasks again loses none", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			blank := &blankPlatform{p, true}
			a.cfg.Platform = blank
			if list := a.dueReports(listed(t, a)); len(list) > 0 {
				t.Errorf("reports %v after an empty list", list)
			}
			blank.blank = false
			a.renewLeases(t.Context(), listed(t, a), end+grantedLease)
			p.carryOut()
			time.Sleep(end - a.clock.Now() + time.Second)
			if list := a.dueReports(listed(t, a)); len(list) != 1 || list[0].Event != lwstate.EventRunning {
				t.Errorf("reports %v, want that the attempt runs", list)
			}
		})
	})
	t.Run("a start without an answer that is carried out after control asked for a stop", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			clear(a.started)
			task.Stop = lwstate.StopEvict
			a.assigned = []lwlink.Assignment{task}
			if list := a.dueReports(listed(t, a)); len(list) > 0 {
				t.Errorf("reports %v while the start is under way", list)
			}
			p.carryOut()
			a.cfg.Platform = &blankPlatform{p, true} // not listed yet either
			expectReportOnceEnded(t, a, p)
		})
	})
	t.Run("an attempt that another agent of the worker has started", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			next := newTestAgent(&blankPlatform{p, true})
			next.inherits = true
			task.Running = true
			next.takeAssignments(lwlink.SyncReply{Changed: true, Assignments: []lwlink.Assignment{task}, Lease: lwunit.Duration(grantedLease)})
			expectReportOnceEnded(t, next, p)
		})
	})
	t.Run("an attempt that nobody has started is stopped at once", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, _ *latePlatform, task lwlink.Assignment, _ time.Duration) {
			task.Stop = lwstate.StopCancel
			a.assigned = []lwlink.Assignment{task}
			if list := a.dueReports(listed(t, a)); len(list) != 1 || list[0].Event != lwstate.EventStopped {
				t.Errorf("reports %v, want a stop", list)
			}
		})
	})
}

// refusingPlatform refuses its list, as one that closes its listener to start again.
type refusingPlatform struct{ *latePlatform }

func (refusingPlatform) List(context.Context) (lwplatform.Listing, error) {
	return lwplatform.Listing{}, errors.New("connection refused")
}

// A refused connection shows that nothing listens, not that nothing runs. An agent
// without a list must report nothing and start nothing.
func TestRefusedListReportsNothing(t *testing.T) {
	withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
		order(t, a, task, end)
		p.carryOut()
		a.cfg.Platform = refusingPlatform{p}
		if a.hasReports(t.Context()) {
			t.Error("reports are due")
		}
		if a.syncOnce(t.Context()) { // without a client, which an exchange would use
			t.Error("another exchange follows")
		}
		if len(p.delayed) > 0 || len(p.Running()) != 1 {
			t.Error("the platform was told something")
		}
	})
}
