package lwrunner

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

const (
	testToken = 7 << 16
	testLease = 4 * time.Second
)

var testIncarnation = lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 5}

// withRunner calls f with a runner that serves an announced worker and has been
// granted a lease for it.
func withRunner(t *testing.T, f func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader)) {
	withAgent(t, func(*testing.T, *fakeWorker) {}, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1)
		time.Sleep(time.Second)
		f(t, r, w, l)
	})
}

// withAgent calls f with a runner that has just been started beside a worker, which prepare has
// changed, and has heard no announcement.
func withAgent(t *testing.T, prepare func(t *testing.T, w *fakeWorker), f func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader)) {
	synctest.Test(t, func(t *testing.T) {
		w, l := newFakeWorker(), &fakeLeader{token: testToken, lease: testLease}
		prepare(t, w)
		r := New("agent-1", w, l, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(ended)
		}()
		f(t, r, w, l)
		cancel()
		<-ended
		synctest.Wait()
	})
}

func sendOrders(ctx context.Context, r *Runner, token lwdispatch.Token, list ...lwdispatch.Order) {
	m := lwlink.AgentOrders{Incarnation: testIncarnation, Token: token}
	for _, o := range list {
		m.Orders = append(m.Orders, lwlink.EncodeOrder(o))
	}
	r.HandleOrders(ctx, m)
}

func startOrder(task lwunit.TaskID, run lwjob.RunID) lwdispatch.StartRun {
	return lwdispatch.StartRun{Task: task, Run: run, Text: "x"}
}

func expectStarts(t *testing.T, w *fakeWorker, task lwunit.TaskID, want int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := w.starts[task]; got != want {
		t.Errorf("%s started %d times, want %d", task, got, want)
	}
}

func expectRefusals(t *testing.T, l *fakeLeader, task lwunit.TaskID, want ...lwdispatch.RefusalReason) {
	t.Helper()
	got := l.refusals(task)
	if len(got) != len(want) || (len(got) > 0 && got[0] != want[0]) {
		t.Errorf("refusals of %s are %v, want %v", task, got, want)
	}
}

func TestStarts(t *testing.T) {
	t.Run("a start whose answer is lost is repeated and runs once", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.lostStartAnswers = 2
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 1)
			expectRefusals(t, l, "j.0.0.0")
		})
	})
	t.Run("a start that is carried out late does not run a second time", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			w.delayStarts = 1
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			w.endRun("j.0.0.0", 1)
			w.runDelayedStarts()
			expectStarts(t, w, "j.0.0.0", 1)
		})
	})
	t.Run("a start refused after an attempt without an answer is stopped before it is reported", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.delayStarts = 1
			w.noCapacity["j.0.0.0"] = true
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			w.mu.Lock()
			w.noCapacity["j.0.0.0"] = false
			w.mu.Unlock()
			w.runDelayedStarts()
			expectStarts(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedStopped)
		})
	})
	t.Run("a start refused at the first attempt is reported at once", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.noCapacity["j.0.0.0"] = true
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(50 * time.Millisecond)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedNoCapacity)
		})
	})
	t.Run("a repeated start is not refused while the run may be in progress", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			first := startOrder("j.0.0.0", 1)
			sendOrders(t.Context(), r, testToken, first)
			time.Sleep(time.Millisecond) // carried out, and not listed yet
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 2)
			first.Repeated = true
			sendOrders(t.Context(), r, testToken, first)
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 1)
			expectRefusals(t, l, "j.0.0.0")
		})
	})
	t.Run("an order with an earlier leader's token is not carried out", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			sendOrders(t.Context(), r, testToken-1, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 0)
		})
	})
	t.Run("nothing starts on a draining worker", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 2)
			sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectStarts(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedDraining)
		})
	})
}

func TestEndsAreReportedAtOnce(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		w.endRun("j.0.0.0", 1)
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		found := false
		l.mu.Lock()
		for i, m := range l.reports {
			for _, e := range m.Ends {
				found = found || (e.End.Task == "j.0.0.0" && l.receivedAt[i].Sub(began) < 50*time.Millisecond)
			}
		}
		l.cursor = 1
		l.mu.Unlock()
		if !found {
			t.Error("the end was not reported within 50 ms")
		}
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.ends) != 0 {
			t.Error("the worker still lists an end that is recorded")
		}
	})
}

func TestLease(t *testing.T) {
	t.Run("ends on the worker no later than at the leader", func(t *testing.T) {
		withRunner(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			time.Sleep(3 * time.Second)
			l.mu.Lock()
			l.unavailable = true
			last := l.receivedAt[len(l.receivedAt)-1]
			l.mu.Unlock()
			time.Sleep(time.Until(last.Add(testLease + testLease/50 + 50*time.Millisecond)))
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.clock() < w.leaseEnd {
				t.Errorf("at %d ms on its clock the worker still has a lease until %d ms", w.clock(), w.leaseEnd)
			}
			if w.leaseEnd < 2000 {
				t.Errorf("the lease was renewed only until %d ms on the worker's clock", w.leaseEnd)
			}
		})
	})
	t.Run("is not renewed for a worker that does not answer", func(t *testing.T) {
		withRunner(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			w.mu.Lock()
			w.unresponsive = true
			w.mu.Unlock()
			time.Sleep(5 * time.Second)
			if !l.lastReport().Unresponsive {
				t.Error("the worker was not reported as unresponsive")
			}
			w.mu.Lock()
			before := w.leaseEnd
			w.unresponsive = false
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			if w.leaseEnd > before {
				t.Error("a lease was renewed that has ended at the leader")
			}
			w.mu.Unlock()
			time.Sleep(2 * time.Second)
			if l.lastReport().Unresponsive {
				t.Error("the worker answers again and is still reported as unresponsive")
			}
		})
	})
}

// A worker that refuses connections may run on: a cut that refuses them or a listener that is
// closed for a while look like the end of its process. Guards against tasks that are started
// elsewhere while their runs are in progress, and against a lease that is renewed for ever.
func TestEndOfTheWorkersProcessIsReported(t *testing.T) {
	reportedEnded := func(l *fakeLeader) (ended, unresponsive bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		last := l.reports[len(l.reports)-1]
		return last.ProcessEnded, last.Unresponsive
	}
	t.Run("not because it refuses connections", func(t *testing.T) {
		withRunner(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			setExited := func(exited bool) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.exited = exited
			}
			setExited(true)
			time.Sleep(600 * time.Millisecond)
			for range 60 {
				ended, unresponsive := reportedEnded(l)
				if ended || !unresponsive {
					t.Fatalf("a worker that refuses connections is reported with ended %t and unresponsive %t, want its lease to end", ended, unresponsive)
				}
				time.Sleep(100 * time.Millisecond)
			}
			setExited(false)
			time.Sleep(time.Second)
			if _, unresponsive := reportedEnded(l); unresponsive {
				t.Error("a worker that answers again is still reported as unresponsive")
			}
		})
	})
	t.Run("once a worker with another id answers in its place", func(t *testing.T) {
		withRunner(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			w.mu.Lock()
			w.pollError = &RefusedError{Reason: lwdispatch.RefusedUnhealthy, OtherIncarnation: true}
			w.mu.Unlock()
			time.Sleep(600 * time.Millisecond)
			if ended, _ := reportedEnded(l); !ended {
				t.Error("the end of the worker's process is not reported within 600 ms")
			}
		})
	})
}

func TestAnnouncements(t *testing.T) {
	t.Run("a newer incarnation that answers replaces an older one", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			next := lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}
			w.reboot(next.StartedAt)
			r.Announce(lwdispatch.WorkerInfo{Incarnation: next, Service: "s"}, 1)
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 99)
			time.Sleep(time.Second)
			if got := l.lastReport().Info.Incarnation; got != next {
				t.Errorf("%v is reported, want %v", got, next)
			}
		})
	})
	for name, other := range map[string]lwjob.WorkerIncarnation{
		"of another id":              {Worker: "w2", StartedAt: 9},
		"with a later time of start": {Worker: testIncarnation.Worker, StartedAt: 9},
	} {
		t.Run("one that is not of the worker at the address does not replace it: "+name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				w.mu.Lock()
				w.answersOnlyAs = testIncarnation
				w.mu.Unlock()
				r.Announce(lwdispatch.WorkerInfo{Incarnation: other, Service: "unknown"}, 1)
				time.Sleep(time.Second)
				if got := l.lastReport().Info.Incarnation; got != testIncarnation {
					t.Errorf("%v is reported, want %v, which answers", got, testIncarnation)
				}
			})
		})
	}
	t.Run("one that started earlier by its clock replaces one in whose place another has answered", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			earlier := lwjob.WorkerIncarnation{Worker: "w2", StartedAt: testIncarnation.StartedAt - 1}
			w.mu.Lock()
			w.answersOnlyAs, w.startedAt = earlier, earlier.StartedAt
			w.mu.Unlock()
			time.Sleep(time.Second)
			r.Announce(lwdispatch.WorkerInfo{Incarnation: earlier, Service: "s"}, 1)
			time.Sleep(time.Second)
			if got := l.lastReport().Info.Incarnation; got != earlier {
				t.Errorf("%v is reported, want %v, which answers", got, earlier)
			}
		})
	})
	for name, odd := range map[string]lwjob.WorkerIncarnation{
		"of another id":              {Worker: "w2", StartedAt: 9},
		"with a later time of start": {Worker: testIncarnation.Worker, StartedAt: 1 << 53},
	} {
		t.Run("one that nothing contradicts does not keep the worker out for good: "+name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				setDark := func(dark bool) {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.answersOnlyAs, w.startedAt, w.dark = testIncarnation, testIncarnation.StartedAt, dark
				}
				setDark(true)
				r.Announce(lwdispatch.WorkerInfo{Incarnation: odd, Service: "unknown"}, 1)
				setDark(false)
				for seq := range int64(5) { // as often as the worker sends heartbeats
					time.Sleep(time.Second)
					r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 2+seq)
				}
				time.Sleep(time.Second)
				if got := l.lastReport(); got.Info.Incarnation != testIncarnation || got.Unresponsive {
					t.Errorf("%v is reported, unresponsive %t, want %v, which answers", got.Info.Incarnation, got.Unresponsive, testIncarnation)
				}
			})
		})
	}
	t.Run("a late announcement does not undo a drain", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 5)
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 4)
			time.Sleep(time.Second)
			if !l.lastReport().Info.Draining {
				t.Error("the worker is no longer reported as draining")
			}
		})
	})
}

// A leader with too much to do takes 0.8 s for each reply. The worker must keep its
// lease, and the agent must not add to the load by giving up each report.
func TestSlowLeaderRenewsLease(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		l.mu.Lock()
		l.replyTime = 800 * time.Millisecond
		l.mu.Unlock()
		for range 10 {
			time.Sleep(time.Second)
			r.mu.Lock()
			left := r.leaseDeadline - r.clock.Now()
			r.mu.Unlock()
			if left <= testLease/2 {
				t.Errorf("%s of the lease are left", left)
			}
		}
		if l.reportsGivenUp > 1 {
			t.Errorf("%d reports were given up", l.reportsGivenUp)
		}
	})
}

// The leader counts on each CPU limit, so one without an answer is repeated until a
// newer one takes its place.
func TestUnansweredCPULimitIsRepeated(t *testing.T) {
	limit := func(percent int) lwdispatch.LimitRunCPU {
		return lwdispatch.LimitRunCPU{Task: "j.0.0.0", Run: 1, CPUPercent: percent}
	}
	expectLimits := func(t *testing.T, w *fakeWorker, want ...int) {
		t.Helper()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !slices.Equal(w.limits, want) {
			t.Errorf("limits %v arrived, want %v", w.limits, want)
		}
	}
	t.Run("after a lost answer", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			w.lostLimitAnswers = 1
			sendOrders(t.Context(), r, testToken, limit(40))
			time.Sleep(time.Second)
			expectLimits(t, w, 40, 40)
		})
	})
	t.Run("not once a newer limit was ordered", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			w.lostLimitAnswers = 1
			sendOrders(t.Context(), r, testToken, limit(40))
			time.Sleep(orderRetryPause / 2)
			sendOrders(t.Context(), r, testToken, limit(100))
			time.Sleep(time.Second)
			expectLimits(t, w, 40, 100)
		})
	})
	t.Run("not for ever", func(t *testing.T) {
		withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			w.lostLimitAnswers = 100
			sendOrders(t.Context(), r, testToken, limit(40))
			time.Sleep(10 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			if n := len(w.limits); n > 2*cpuLimitAttempts {
				t.Errorf("%d attempts", n)
			}
		})
	})
}

// A start that rests on more capacity than the worker has announced since must not
// reach the worker, also when it waits for a lease or for an answer meanwhile.
func TestStartOnShrunkWorkerIsRefused(t *testing.T) {
	capacity := func(cores int) lwunit.Resources {
		return lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000)}
	}
	order := func(ctx context.Context, r *Runner, task lwunit.TaskID) {
		r.HandleOrders(ctx, lwlink.AgentOrders{Incarnation: testIncarnation, Token: testToken, Capacity: capacity(8), Orders: []lwlink.WireOrder{lwlink.EncodeOrder(startOrder(task, 1))}})
	}
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Capacity: capacity(8)}, 2)
		order(t.Context(), r, "before.0.0.0")
		time.Sleep(time.Second)
		expectStarts(t, w, "before.0.0.0", 1)
		w.mu.Lock()
		w.delayStarts = 1
		w.mu.Unlock()
		order(t.Context(), r, "unanswered.0.0.0")
		time.Sleep(50 * time.Millisecond)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Capacity: capacity(4)}, 3)
		order(t.Context(), r, "after.0.0.0")
		time.Sleep(time.Second)
		w.runDelayedStarts()
		time.Sleep(time.Second)
		expectStarts(t, w, "unanswered.0.0.0", 0)
		expectStarts(t, w, "after.0.0.0", 0)
		expectRefusals(t, l, "after.0.0.0", lwdispatch.RefusedNoCapacity)
		expectRefusals(t, l, "unanswered.0.0.0", lwdispatch.RefusedStopped)
	})
}

// Guards against logs that do not tell, once an agent has been started again, which ends its worker
// held then: whether a task that runs again was known to be done turns on it.
func TestFirstListsOfTokenAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logged := observer.New(zap.InfoLevel)
		w := newFakeWorker()
		for n := range int64(2) {
			w.ends = append(w.ends, lwdispatch.NumberedEnd{Number: n + 4, End: lwjob.End{Task: "j.0.0.0", Run: lwjob.RunID(n + 1), How: lwjob.EndDone}})
		}
		r := New("agent-1", w, &fakeLeader{token: testToken, lease: testLease}, zap.New(core))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(ended)
		}()
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1)
		time.Sleep(2 * time.Second)
		lines := logged.FilterMessage("worker lists read").All()
		if len(lines) != 1 {
			t.Fatalf("%d lines were logged, want one", len(lines))
		}
		fields := lines[0].ContextMap()
		for name, want := range map[string]any{"token": uint64(testToken), "ends": int64(2), "first_end": int64(4), "last_end": int64(5), "runs": int64(0)} {
			if fields[name] != want {
				t.Errorf("%s is %v, want %v", name, fields[name], want)
			}
		}
		cancel()
		<-ended
	})
}
