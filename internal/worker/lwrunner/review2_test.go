package lwrunner

import (
	"context"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

// Guards against a start that is sent to the next incarnation with the same id because an answer
// of the ended one arrives after two calls have found the connection broken, of which the second
// failed after the poll was sent.
func TestAnswerBetweenBrokenCallsDoesNotShowThatWorkerIsTheSame(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		c := Call{testIncarnation, testToken}
		r.noteAnswer(c, errNoAnswer)
		time.Sleep(time.Millisecond)
		sentAt := r.clock.Now()
		time.Sleep(time.Millisecond)
		lists := RunLists{Clock: w.clock() + 1, StartedAt: testIncarnation.StartedAt}
		r.noteAnswer(c, errNoAnswer)
		r.noteAnswer(c, nil)
		r.applyLists(c, lists, sentAt)
		if _, ok := r.leaseForStart(c); ok {
			t.Error("a start is sent after an answer to a poll that was sent before the second call failed")
		}
	})
}

// unhealthyWorker refuses starts and stops, and answers polls.
type unhealthyWorker struct{ *fakeWorker }

func (unhealthyWorker) Start(context.Context, Call, lwdispatch.StartRun, LeaseEnd) error {
	return &RefusedError{Reason: lwdispatch.RefusedUnhealthy}
}

func (unhealthyWorker) Stop(context.Context, Call, lwdispatch.StopRun) error {
	return &RefusedError{Reason: lwdispatch.RefusedUnhealthy}
}

// Guards against a task that waits for as long as a worker is unhealthy: it refuses the start,
// and the stop that would block the run, too.
func TestStartRefusedByUnhealthyWorkerIsReported(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		r.mu.Lock()
		r.worker = unhealthyWorker{w}
		r.mu.Unlock()
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(2500 * time.Millisecond) // a job may have nothing running for 3 s
		if len(l.refusals("j.0.0.0")) == 0 {
			t.Error("the refused start is not reported")
		}
	})
}

// Guards against tasks that wait until the lease of a worker ends although it has said that it
// leaves, and left: nothing runs on it any more.
func TestDeregisteredWorkerThatRefusesConnectionsHasEnded(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 2)
		time.Sleep(time.Second)
		r.Deregister(testIncarnation.Worker)
		w.mu.Lock()
		w.exited = true
		w.mu.Unlock()
		time.Sleep(2500 * time.Millisecond) // a job may have nothing running for 3 s
		l.mu.Lock()
		defer l.mu.Unlock()
		if last := l.reports[len(l.reports)-1]; !last.ProcessEnded {
			t.Error("the leader is not told that the worker has ended")
		}
	})
}
