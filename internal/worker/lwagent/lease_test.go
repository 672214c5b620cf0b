package lwagent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

// latePlatform carries out starts and renewals only when the test says so, as after
// a call without an answer.
type latePlatform struct {
	*lwstandin.Worker
	delayed []func()
}

func (p *latePlatform) Start(ctx context.Context, r lwplatform.StartRequest) error {
	p.delayed = append(p.delayed, func() { _ = p.Worker.Start(ctx, r) })
	return nil
}

func (p *latePlatform) Renew(ctx context.Context, l lwplatform.Lease, attempts []lwplatform.Attempt) error {
	p.delayed = append(p.delayed, func() { _ = p.Worker.Renew(ctx, l, attempts) })
	return nil
}

func (p *latePlatform) carryOut() {
	for _, f := range p.delayed {
		f()
	}
	p.delayed = nil
}

const grantedLease = 10 * time.Second

func newTestAgent(p lwplatform.Platform) *Agent {
	return &Agent{
		cfg: Config{Platform: p}, log: zap.NewNop(), clock: lwclock.New(), started: make(map[lwplatform.Attempt]bool),
		mayRunUntil: make(map[lwplatform.Attempt]time.Duration), sentTo: make(map[lwplatform.Attempt]lwplatform.ClockID), missingSince: make(map[lwplatform.Attempt]time.Duration),
	}
}

// withLatePlatform runs f with an agent that has listed the attempts of its platform
// and been granted a lease until end, and with the assignment of one long task.
func withLatePlatform(t *testing.T, f func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &latePlatform{Worker: lwstandin.NewWorker()}
		a := newTestAgent(p)
		time.Sleep(time.Minute) // the clocks do not begin at zero
		if _, err := a.list(t.Context()); err != nil {
			t.Fatal(err)
		}
		task := lwlink.Assignment{Task: "j/0", Token: 1, Program: "etch:1h", Reserve: lwunit.Resources{Millicores: 1000}}
		f(t, a, p, task, a.clock.Now()+grantedLease)
	})
}

// order orders the start of a task under a lease until end.
func order(t *testing.T, a *Agent, task lwlink.Assignment, end time.Duration) {
	t.Helper()
	if _, err := a.start(t.Context(), startTask{task}, end); err != nil {
		t.Fatal(err)
	}
	a.assigned = []lwlink.Assignment{task}
}

// listed returns the attempts that the platform lists.
func listed(t *testing.T, a *Agent) []lwplatform.AttemptStatus {
	t.Helper()
	list, err := a.list(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// expectEndedBy checks that nothing runs at a time on the agent's clock.
func expectEndedBy(t *testing.T, a *Agent, p *latePlatform, end time.Duration) {
	t.Helper()
	time.Sleep(end - a.clock.Now() + 2*time.Millisecond) // the platform's clock counts milliseconds
	if running := p.Running(); len(running) > 0 {
		t.Errorf("%v runs after its lease has ended", running)
	}
}

// Control counts a lease from when the agent asked for it and places the task
// elsewhere once it has ended. A call that the platform carries out late must not
// extend it.
func TestLateCallsDoNotExtendLease(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			time.Sleep(grantedLease / 2)
			p.carryOut()
			expectEndedBy(t, a, p, end)
		})
	})
	t.Run("start at a platform that was started again, whose clock has another origin", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.Worker = lwstandin.NewWorker()
			time.Sleep(grantedLease / 2)
			p.carryOut()
			expectEndedBy(t, a, p, end)
		})
	})
	t.Run("renewal at a platform that was started again beside its tasks", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			a.renewLeases(t.Context(), listed(t, a), end)
			p.Worker = lwstandin.NewWorker()
			time.Sleep(grantedLease / 2)
			left := lwplatform.Lease{Left: lwunit.Duration(end - a.clock.Now())}
			attempt := lwplatform.Attempt{Task: task.Task, Token: task.Token}
			if err := p.Worker.Start(t.Context(), lwplatform.StartRequest{Attempt: attempt, Lease: left, Program: task.Program}); err != nil {
				t.Fatal(err)
			}
			p.carryOut()
			expectEndedBy(t, a, p, end)
		})
	})
	t.Run("renewal", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			a.renewLeases(t.Context(), listed(t, a), end)
			time.Sleep(grantedLease / 2)
			p.carryOut()
			expectEndedBy(t, a, p, end)
		})
	})
	t.Run("a renewal that arrives after a later one does not shorten it", func(t *testing.T) {
		withLatePlatform(t, func(t *testing.T, a *Agent, p *latePlatform, task lwlink.Assignment, end time.Duration) {
			order(t, a, task, end)
			p.carryOut()
			a.renewLeases(t.Context(), listed(t, a), end)
			late := p.delayed
			p.delayed = nil
			a.renewLeases(t.Context(), listed(t, a), end+grantedLease)
			p.delayed = append(p.delayed, late...)
			p.carryOut()
			time.Sleep(end - a.clock.Now() + time.Second)
			if len(p.Running()) != 1 {
				t.Error("the task has ended with its first lease")
			}
			expectEndedBy(t, a, p, end+grantedLease)
		})
	})
}
