package lwrunner

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

func (l *fakeLeader) setEvacuated(evacuated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated = evacuated
}

func TestEvacuatedDomain(t *testing.T) {
	t.Run("a start that arrives after the agent was told is refused", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			l.setEvacuated(true)
			time.Sleep(time.Second)
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedEvacuated)
		})
	})
	t.Run("a start without an answer is blocked before it is reported as refused", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.mu.Lock()
			w.delayStarts = 100 // none is answered before the agent is told
			w.mu.Unlock()
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(50 * time.Millisecond)
			l.setEvacuated(true)
			time.Sleep(time.Second)
			w.runDelayedStarts()
			expectStarts(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedStopped)
		})
	})
	t.Run("an agent that is cut off before it is told starts nothing after its lease", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			l.mu.Lock()
			l.unavailable = true
			l.mu.Unlock()
			l.setEvacuated(true)
			time.Sleep(testLease)
			sendOrders(t.Context(), r, testToken, startOrder("late.0.0.0", 1)) // it was delayed on the way
			time.Sleep(time.Second)
			expectStarts(t, w, "late.0.0.0", 0)
			l.mu.Lock()
			l.unavailable = false
			l.mu.Unlock()
			time.Sleep(time.Second)
			expectStarts(t, w, "late.0.0.0", 0)
			expectRefusals(t, l, "late.0.0.0", lwdispatch.RefusedEvacuated)
		})
	})
	t.Run("runs go on and keep their lease", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			l.setEvacuated(true)
			time.Sleep(3 * testLease)
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.running) != 1 || w.clock() >= w.leaseEnd {
				t.Errorf("%d runs are in progress at %d ms with a lease until %d ms", len(w.running), w.clock(), w.leaseEnd)
			}
		})
	})
	t.Run("starts are carried out again after the domain is restored", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			l.setEvacuated(true)
			time.Sleep(time.Second)
			l.setEvacuated(false)
			time.Sleep(time.Second)
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 1)
		})
	})
}
