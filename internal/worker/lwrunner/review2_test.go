package lwrunner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
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

// coreLeader answers reports as the dispatcher does.
type coreLeader struct {
	mu          sync.Mutex
	core        *lwdispatch.Core
	began       time.Time
	unavailable bool
}

func (l *coreLeader) Report(_ context.Context, m lwdispatch.Report) (lwlink.ReportReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return lwlink.ReportReply{}, lwfault.New(lwfault.Unavailable, "no leader")
	}
	l.core.Advance(time.Since(l.began), lwunit.Millis(time.Now().UnixMilli()))
	g := l.core.Report(m)
	return lwlink.ReportReply{Token: g.Token, Lease: lwunit.Duration(g.Lease), Cursor: g.Cursor, CrashesRecorded: g.CrashesRecorded}, nil
}

func (l *coreLeader) setUnavailable(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = on
}

// Guards against a worker that never gets tasks: polls of the earlier incarnation that fail after
// the next one has announced itself count against that one. The leader does not add a worker that
// does not answer, and the agent does not ask one before the leader has added it.
func TestFailedPollsOfEarlierIncarnationDoNotKeepNextOneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeWorker()
		l := &coreLeader{core: lwdispatch.New(lwdispatch.DefaultConfig(), 7, 0, 0, lwdispatch.ReplicatedState{}), began: time.Now()}
		r := New("agent-1", w, l, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.unresponsive = true // the polls that follow these stops are not answered
		token := w.token
		w.mu.Unlock()
		sendOrders(ctx, r, token, lwdispatch.StopRun{Task: "a.0.0.0", Run: 1}, lwdispatch.StopRun{Task: "b.0.0.0", Run: 1}, lwdispatch.StopRun{Task: "c.0.0.0", Run: 1})
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		w.unresponsive = false
		w.mu.Unlock()
		l.setUnavailable(true) // for a moment
		r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}, Service: "s"}, 1)
		time.Sleep(time.Second)
		l.setUnavailable(false)
		time.Sleep(20 * time.Second)
		r.mu.Lock()
		if r.token == 0 || r.listsToken != r.token {
			t.Errorf("the next incarnation has token %d and lists under %d after 20 s, %d failed polls count", r.token, r.listsToken, r.failedPolls)
		}
		r.mu.Unlock()
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
