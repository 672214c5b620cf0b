package lwrunner

import (
	"context"
	"fmt"
	"slices"
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

// expectNotRefusedAndStarted checks that no run of a task began whose start was reported
// as refused: the leader has started the task elsewhere.
func expectNotRefusedAndStarted(t *testing.T, w *fakeWorker, l *fakeLeader, task lwunit.TaskID) {
	t.Helper()
	reasons := l.refusals(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts[task] > 0 && len(reasons) > 0 {
		t.Errorf("%s began on the worker, and its start was reported as refused: %v", task, reasons)
	}
}

// The leader repeats an order that no report has confirmed. A start that was refused must not
// be carried out by such a copy: the refusal releases the task, which is started elsewhere.
func TestRefusedStartIsNotCarriedOutLater(t *testing.T) {
	const task = "j.0.0.0"
	repeated := startOrder(task, 1)
	repeated.Repeated = true
	t.Run("after the worker was short of room", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.noCapacity[task] = true
			sendOrders(t.Context(), r, testToken, startOrder(task, 1))
			time.Sleep(time.Second)
			w.mu.Lock()
			w.noCapacity[task] = false
			w.mu.Unlock()
			sendOrders(t.Context(), r, testToken, repeated)
			time.Sleep(time.Second)
			expectNotRefusedAndStarted(t, w, l, task)
		})
	})
	t.Run("after the domain was evacuated", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			setEvacuated := func(evacuated bool) {
				l.mu.Lock()
				l.evacuated = evacuated
				l.mu.Unlock()
				time.Sleep(time.Second)
			}
			setEvacuated(true)
			sendOrders(t.Context(), r, testToken, startOrder(task, 1))
			setEvacuated(false)
			sendOrders(t.Context(), r, testToken, repeated)
			time.Sleep(time.Second)
			expectNotRefusedAndStarted(t, w, l, task)
		})
	})
}

// The first copy of an order may be the last to be handled. It must not be reported as
// refused, since the run may have begun by the repeated one.
func TestOvertakenStartIsNotRefused(t *testing.T) {
	const task = "j.0.0.0"
	for _, x := range []struct {
		name    string
		info    lwdispatch.WorkerInfo
		assumed lwunit.Resources
	}{
		{"by a worker that drains", lwdispatch.WorkerInfo{Draining: true}, lwunit.Resources{}},
		{"since it rests on a capacity that has shrunk", lwdispatch.WorkerInfo{Capacity: lwunit.Resources{Millicores: 1000}}, lwunit.Resources{Millicores: 4000}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				repeated := startOrder(task, 1)
				repeated.Repeated = true
				sendOrders(t.Context(), r, testToken, repeated)
				time.Sleep(time.Millisecond) // carried out, and not listed yet
				x.info.Incarnation, x.info.Service = testIncarnation, "s"
				r.Announce(x.info, 2)
				r.HandleOrders(t.Context(), lwlink.AgentOrders{Incarnation: testIncarnation, Token: testToken, Capacity: x.assumed, Orders: []lwlink.WireOrder{lwlink.EncodeOrder(startOrder(task, 1))}})
				time.Sleep(time.Second)
				expectNotRefusedAndStarted(t, w, l, task)
			})
		})
	}
}

// overtakingWorker answers a poll that waits only after a later poll was answered, at the same
// time of its clock.
type overtakingWorker struct {
	*fakeWorker
	mu       sync.Mutex
	held     *RunLists     // answer of the poll that waits
	overtake chan struct{} // closed when the later poll was answered
}

func (w *overtakingWorker) Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error) {
	l, err := w.fakeWorker.Poll(ctx, c, until, cursor, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil || w.overtake == nil:
		return l, err
	case wait > 0 && w.held == nil:
		w.held = &l
		w.mu.Unlock()
		<-w.overtake
		time.Sleep(time.Millisecond)
		w.mu.Lock()
	case w.held != nil:
		l.Clock = w.held.Clock
		close(w.overtake)
		w.overtake = nil
	}
	return l, nil
}

// A worker may answer two polls in the same millisecond of its clock. If the later answer
// arrives first, the earlier one must not make a run that has begun in between look lost: the
// leader would start the task elsewhere.
func TestListsOfSameMillisecondKeepRun(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		o := &overtakingWorker{fakeWorker: w}
		w.setCalls(o)
		time.Sleep(time.Second)
		var conns []verifiedConn
		for range 2 { // so that the later poll needs no new connection
			conn, err := r.pollConns.acquire(t.Context(), Call{testIncarnation, testToken})
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			r.pollConns.release(conn, nil)
		}
		o.mu.Lock()
		o.overtake = make(chan struct{})
		o.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Millisecond)
		if _, err := r.poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		listed := func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return slices.ContainsFunc(r.lists.Running, func(s lwdispatch.RunStatus) bool { return s.Task == task })
		}
		if !listed() {
			t.Fatal("the later lists do not show the run")
		}
		time.Sleep(10 * time.Millisecond)
		if !listed() {
			t.Error("lists of the same millisecond that were made earlier have replaced those that show the run")
		}
	})
}

// A leader that has given a worker up and hears of it again grants a lease under a higher
// token, and may have started the tasks elsewhere. A start under the earlier token must not be
// sent with the new lease: the worker accepts it until it has received the higher token.
func TestStartTakesNoLeaseOfLaterToken(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		earlier := Call{testIncarnation, testToken}
		if _, ok := r.leaseForStart(earlier); !ok {
			t.Fatal("there is no lease under the current token")
		}
		l.mu.Lock()
		l.token = testToken + 1
		l.mu.Unlock()
		time.Sleep(time.Second)
		if until, ok := r.leaseForStart(earlier); ok {
			t.Errorf("a start under the earlier token is sent with a lease until %d", until)
		}
		if _, ok := r.leaseForStart(Call{testIncarnation, testToken + 1}); !ok {
			t.Error("there is no lease under the later token")
		}
	})
}

// A leader that has taken an earlier report for a later one counts a run that has ended and
// whose end is recorded. It must learn that the run is over when it stops it: the task would
// wait for ever.
func TestStopOfForgottenEndIsAnswered(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Second)
		w.endRun(task, 1)
		l.mu.Lock()
		l.cursor = 1
		l.mu.Unlock()
		time.Sleep(2 * time.Second)
		expectRefusals(t, l, task)
		sendOrders(t.Context(), r, testToken, lwdispatch.StopRun{Task: task, Run: 1})
		time.Sleep(time.Second)
		expectRefusals(t, l, task, lwdispatch.RefusedStopped)
	})
}

// Guards against a start that is sent to the next incarnation with the same id because an answer
// of the ended one arrives after a call has found the connection broken.
func TestEarlierAnswerDoesNotShowThatWorkerIsTheSame(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		c := Call{testIncarnation, testToken}
		sentAt := r.clock.Now()
		time.Sleep(time.Millisecond)
		lists := RunLists{Clock: w.clock() + 1, StartedAt: testIncarnation.StartedAt}
		time.Sleep(time.Millisecond)
		w.reboot(nextIncarnation.StartedAt)
		r.noteAnswer(c, errNoAnswer)
		r.applyLists(c, lists, sentAt)
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		expectUntouched(t, w)
	})
}

// Guards against a leader of an older version that releases a run when its start is reported as
// fenced: the run may have begun by an earlier copy of the order.
func TestFencedCopyOfOrderIsNotReportedAsRefused(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Millisecond) // carried out, and not listed yet
		w.mu.Lock()
		w.token++ // by a poll under the next token
		w.mu.Unlock()
		repeated := startOrder(task, 1)
		repeated.Repeated = true
		sendOrders(t.Context(), r, testToken, repeated)
		time.Sleep(time.Second)
		expectNotRefusedAndStarted(t, w, l, task)
	})
}

// fencingWorker refuses a poll with a lower token before it says who it is, as the provider's
// workers may.
type fencingWorker struct{ *fakeWorker }

func (w fencingWorker) Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error) {
	w.mu.Lock()
	fenced := c.Token < w.token
	w.mu.Unlock()
	if fenced {
		return RunLists{}, &RefusedError{Reason: lwdispatch.RefusedFence}
	}
	return w.fakeWorker.Poll(ctx, c, until, cursor, wait)
}

// Guards against an announcement of a later incarnation that is taken although the worker at the
// address has answered: it fences the poll that asks it, which has no token.
func TestFencedWorkerDeniesAnnouncement(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.mu.Lock()
		w.answersOnlyAs = testIncarnation
		w.mu.Unlock()
		w.setCalls(fencingWorker{w})
		other := lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: 9}
		r.Announce(lwdispatch.WorkerInfo{Incarnation: other, Service: "unknown"}, 1)
		time.Sleep(time.Second)
		if got := l.lastReport().Info.Incarnation; got != testIncarnation {
			t.Errorf("%v is reported, want %v, which answers", got, testIncarnation)
		}
	})
}

// Guards against a worker that an older leader can no longer use: it gives the next incarnation
// with the same id the first token of its term again, though it has raised that of the former.
func TestNextIncarnationTakesTokenOfOlderLeader(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		l.mu.Lock()
		l.token = testToken + 1 // the worker was given up and has returned
		l.mu.Unlock()
		time.Sleep(time.Second)
		next := lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: testIncarnation.StartedAt + 1}
		replaceWorker(r, w, newFakeWorker())
		l.mu.Lock()
		l.token = testToken
		l.mu.Unlock()
		r.Announce(lwdispatch.WorkerInfo{Incarnation: next, Service: "s"}, 1)
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.leaseDeadline == 0 {
			t.Error("the next incarnation has got no lease in 10 s")
		}
	})
}

// A worker lists a limited number of ends at a time. A run that is in neither list may have
// ended as done, and must not be reported as refused: its task would run again.
func TestRunIsNotBlockedWhileMoreEndsFollow(t *testing.T) {
	r := New("agent-1", newFakeWorker(), &fakeLeader{}, zap.NewNop())
	r.stopAnsweredAt[runKey{"j.0.0.0", 1}] = 0
	r.lists.MoreEnds = true
	if r.findBlocked(1) || len(r.refusals) > 0 {
		t.Error("a run is reported as refused that may be among further ends")
	}
	r.lists.MoreEnds = false
	if !r.findBlocked(1) || len(r.refusals) != 1 {
		t.Error("a run that is in neither list is not reported as refused")
	}
}

// A worker that refuses polls for a while, or answers none in time, is still the same. Starts
// must go on: the tasks would wait for its next answer.
func TestStartsGoOnWhilePollsAreRefused(t *testing.T) {
	for name, err := range map[string]error{
		"refused":              &RefusedError{Reason: lwdispatch.RefusedUnhealthy},
		"not answered in time": &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no response from the worker", Cause: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
				w.mu.Lock()
				w.pollError = err
				w.mu.Unlock()
				if _, pollErr := r.poll(t.Context(), 0); pollErr == nil {
					t.Fatal("the poll is answered")
				}
				sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
				time.Sleep(10 * time.Millisecond)
				expectStarts(t, w, "j.0.0.0", 1)
			})
		})
	}
}

// The leader may have released a run that was listed, and the next incarnation with the same id
// would begin it anew: its start must not be sent again.
func TestListedRunIsNotSentAgain(t *testing.T) {
	for name, end := range map[string]bool{"in progress": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
				w.lostStartAnswers = 1
				sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
				time.Sleep(time.Millisecond)
				if end {
					w.endRun("j.0.0.0", 1)
				}
				if _, err := r.poll(t.Context(), 0); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.startCalls != 1 {
					t.Errorf("the start was sent %d times, want once", w.startCalls)
				}
			})
		})
	}
}

// The leader may order a run again before it has handled its refusal. The next incarnation with
// the same id does not know that the run is blocked, so the order must not reach it.
func TestBlockedRunIsRefusedAgain(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.noCapacity[task] = true
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Second)
		expectRefusals(t, l, task, lwdispatch.RefusedNoCapacity)
		next := newFakeWorker()
		replaceWorker(r, w, next)
		repeated := startOrder(task, 1)
		repeated.Repeated = true
		sendOrders(t.Context(), r, testToken, repeated)
		time.Sleep(time.Second)
		expectStarts(t, next, task, 0)
		expectRefusals(t, l, task, lwdispatch.RefusedNoCapacity, lwdispatch.RefusedStopped)
	})
}

// Lists that a poll returns after the start of a run was sent again may be of an earlier
// incarnation than the one that carries out the copy. They must not release the run.
func TestListsBeforeRepeatedStartAreDropped(t *testing.T) {
	key := runKey{"j.0.0.0", 1}
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		c := Call{testIncarnation, testToken}
		sentAt := r.clock.Now()
		time.Sleep(time.Millisecond)
		if _, ok := r.prepareStart(c, key, true); !ok {
			t.Fatal("the start of a run that no lists have shown is not sent")
		}
		w.mu.Lock()
		lists := RunLists{Clock: w.clock() + 1, StartedAt: testIncarnation.StartedAt, Running: []lwdispatch.RunStatus{{Task: key.task, Run: key.run}}}
		w.mu.Unlock()
		r.applyLists(c, lists, sentAt)
		if r.wasShown(key) {
			t.Error("lists of a poll that was sent before the copy are taken")
		}
		time.Sleep(time.Millisecond)
		r.applyLists(c, lists, r.clock.Now())
		if !r.wasShown(key) {
			t.Error("lists of a poll that was sent after the copy are not taken")
		}
	})
}

// A worker that carries out a start and answers none is sent it again and again. Its lists must
// be taken all the same: its lease would not be renewed, and its ends not be reported.
func TestListsAreTakenWhileStartIsRepeated(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.mu.Lock()
		w.lostStartAnswers = 1000
		w.mu.Unlock()
		sendOrders(t.Context(), r, testToken, startOrder("a.0.0.0", 1), startOrder("b.0.0.0", 1))
		time.Sleep(time.Second)
		if n := len(l.lastReport().Running); !r.wasShown(runKey{"a.0.0.0", 1}) || !r.wasShown(runKey{"b.0.0.0", 1}) {
			t.Errorf("the lists that show the runs are not taken; %d are reported", n)
		}
	})
}

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
		w.reboot(nextIncarnation.StartedAt)
		r.noteAnswer(c, errNoAnswer)
		r.noteAnswer(c, nil)
		r.applyLists(c, lists, sentAt)
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		expectUntouched(t, w)
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
		w.setCalls(unhealthyWorker{w})
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(2500 * time.Millisecond) // a job may have nothing running for 3 s
		if len(l.refusals("j.0.0.0")) == 0 {
			t.Error("the refused start is not reported")
		}
	})
}

// Guards against a refusal that the leader takes for one of all processes of the agent although the
// worker has not blocked the run, and against one that it cannot take for as long as the lease lasts:
// if the start is ordered again, the run is blocked once the worker is healthy.
func TestRunThatUnhealthyWorkerHasNotBlocked(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		last := func() (f lwdispatch.Refusal) {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, m := range l.reports {
				if len(m.Refused) > 0 {
					f = m.Refused[len(m.Refused)-1]
				}
			}
			return f
		}
		w.setCalls(unhealthyWorker{w})
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		if want := (lwdispatch.Refusal{Task: "j.0.0.0", Run: 1, Reason: lwdispatch.RefusedUnhealthy, Unblocked: true}); last() != want {
			t.Errorf("reported %+v, want %+v", last(), want)
		}
		again := startOrder("j.0.0.0", 1)
		again.Repeated = true
		sendOrders(t.Context(), r, testToken, again)
		time.Sleep(time.Second)
		if want := (lwdispatch.Refusal{Task: "j.0.0.0", Run: 1, Reason: lwdispatch.RefusedStopped, Unblocked: true}); last() != want {
			t.Errorf("reported %+v, want %+v", last(), want)
		}
		w.setCalls(nil)
		time.Sleep(time.Second)
		if want := (lwdispatch.Refusal{Task: "j.0.0.0", Run: 1, Reason: lwdispatch.RefusedStopped}); last() != want {
			t.Errorf("reported %+v, want %+v", last(), want)
		}
		expectStarts(t, w, "j.0.0.0", 0)
	})
}

// Guards against tasks that wait until the lease of a worker ends although it has said that it
// leaves, and another one answers in its place: nothing runs on it any more.
func TestDeregisteredWorkerThatWasReplacedHasEnded(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 2)
		time.Sleep(time.Second)
		r.Deregister(testIncarnation)
		w.exit()
		time.Sleep(time.Second)
		next := lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}
		w.reboot(next.StartedAt)
		w.mu.Lock()
		w.answersOnlyAs = next
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if last := l.lastReport(); !last.ProcessEnded || last.Info.Incarnation != testIncarnation {
			t.Errorf("%v is reported, ended %t, want the end of %v", last.Info.Incarnation, last.ProcessEnded, testIncarnation)
		}
		r.Announce(lwdispatch.WorkerInfo{Incarnation: next, Service: "s"}, 1)
		time.Sleep(500 * time.Millisecond)
		if last := l.lastReport(); last.Info.Incarnation != next || len(last.Crashes) > 0 {
			t.Errorf("%v is reported with crashes %v, want %v with none", last.Info.Incarnation, last.Crashes, next)
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

// A start that waits for its next attempt, or that was ordered again, must know what has become of
// the run meanwhile.
func TestStartSentKnowsOtherAttempts(t *testing.T) {
	c, key := Call{testIncarnation, testToken}, runKey{"j.0.0.0", 1}
	withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, _ *fakeLeader) {
		if again, ok := r.prepareStart(c, key, false); again || !ok {
			t.Errorf("the first attempt is sent %t and again %t, want sent for the first time", ok, again)
		}
		if again, ok := r.prepareStart(c, key, false); !again || !ok {
			t.Errorf("the attempt of another copy of the order is sent %t and again %t, want sent again", ok, again)
		}
		r.mu.Lock()
		r.blocked[key] = true
		r.mu.Unlock()
		if _, ok := r.prepareStart(c, key, true); ok {
			t.Error("the start of a run is sent that was blocked while it waited")
		}
	})
}

// slowStartWorker answers no start until release is closed.
type slowStartWorker struct {
	*fakeWorker
	release chan struct{}
}

func (w *slowStartWorker) Start(ctx context.Context, c Call, o lwdispatch.StartRun, until LeaseEnd) error {
	err := w.fakeWorker.Start(ctx, c, o, until)
	select {
	case <-w.release:
	case <-ctx.Done():
	}
	return err
}

// A start may wait for its turn behind others. It must not be sent if its run was blocked
// meanwhile: the leader has started the task elsewhere, and the next incarnation would begin it.
func TestStartThatWaitsForItsTurnIsAskedAgain(t *testing.T) {
	const task = "last.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		slow := &slowStartWorker{w, make(chan struct{})}
		w.setCalls(slow)
		for i := range maxParallelOrders {
			sendOrders(t.Context(), r, testToken, startOrder(lwunit.TaskID(fmt.Sprintf("first.0.0.%d", i)), 1))
		}
		time.Sleep(time.Millisecond)
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Millisecond)
		r.mu.Lock()
		r.blocked[runKey{task, 1}] = true
		r.mu.Unlock()
		close(slow.release)
		time.Sleep(time.Second)
		expectStarts(t, w, task, 0)
	})
}
