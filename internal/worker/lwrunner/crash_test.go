package lwrunner

import (
	"fmt"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

func (w *fakeWorker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exited = true
}

func expectCrashes(t *testing.T, l *fakeLeader, want string) {
	t.Helper()
	var got []string
	for _, c := range l.lastReport().Crashes {
		got = append(got, fmt.Sprint(c.Incarnation.Worker, c.Runs))
	}
	if fmt.Sprint(got) != want {
		t.Errorf("crashes %v are reported, want %s", got, want)
	}
}

// A leader can tell which task crashed a worker only if it learns what ran there and
// since when, also if the crash came while no leader answered.
func TestCrashIsReportedWithItsRuns(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("ended.0.0.0", 1), startOrder("old.0.0.0", 3))
		time.Sleep(time.Second)
		w.endRun("ended.0.0.0", 1)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.noCapacity["refused.0.0.0"] = true
		w.mu.Unlock()
		sendOrders(t.Context(), r, testToken, startOrder("new.0.0.0", 1), startOrder("refused.0.0.0", 1))
		time.Sleep(25 * time.Millisecond)
		l.mu.Lock()
		l.unavailable = true
		l.mu.Unlock()
		w.exit()
		time.Sleep(2 * time.Second)
		next := lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}
		w.reboot(next.StartedAt)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: next, Service: "s"}, 1)
		l.mu.Lock()
		l.unavailable = false
		l.mu.Unlock()
		time.Sleep(time.Second)
		runs := l.lastReport().Crashes
		if len(runs) != 1 || len(runs[0].Runs) != 2 || runs[0].Incarnation != testIncarnation {
			t.Fatalf("crashes %v are reported, want that of w1 with two runs", runs)
		}
		newest, oldest := runs[0].Runs[0], runs[0].Runs[1]
		if newest.Task != "new.0.0.0" || newest.Age.Std() > 700*time.Millisecond || oldest.Task != "old.0.0.0" || oldest.Age.Std() < 2*time.Second {
			t.Errorf("the runs %v are reported, want the new one first and the old one with its age", runs[0].Runs)
		}
		l.mu.Lock()
		l.recordsCrashes = true
		l.mu.Unlock()
		time.Sleep(time.Second)
		expectCrashes(t, l, "[]")
	})
}

// The end of a worker that was told to leave is nobody's fault.
func TestEndOfDrainingWorkerIsNoCrash(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("a.0.0.0", 1))
		time.Sleep(time.Second)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Draining: true}, 2)
		w.exit()
		time.Sleep(time.Second)
		expectCrashes(t, l, "[]")
	})
}

// A run that another process of the agent has started is reported as older than known.
func TestAdoptedRunIsReportedAsSuch(t *testing.T) {
	withRunner(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
		w.mu.Lock()
		w.running = append(w.running, lwdispatch.RunStatus{Task: "earlier.0.0.0", Run: 2})
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.exit()
		time.Sleep(testLease + time.Second)
		if c := l.lastReport().Crashes; len(c) != 1 || len(c[0].Runs) != 1 || !c[0].Runs[0].Adopted {
			t.Errorf("crashes %v are reported, want one with an adopted run", c)
		}
	})
}

// A start that was sent after the worker's process had ended cannot have crashed it, nor
// is a run young because the worker did not answer for some time before.
func TestAgesCountUntilTheProcessEnded(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("old.0.0.0", 1))
		time.Sleep(time.Second)
		setUnresponsive := func(unresponsive bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.unresponsive = unresponsive
		}
		setUnresponsive(true)
		time.Sleep(2 * time.Second)
		setUnresponsive(false)
		w.exit()
		time.Sleep(150 * time.Millisecond)
		sendOrders(t.Context(), r, testToken, startOrder("late.0.0.0", 1))
		time.Sleep(testLease + time.Second)
		c := l.lastReport().Crashes
		if len(c) != 1 || len(c[0].Runs) != 1 || c[0].Runs[0].Task != "old.0.0.0" || c[0].Runs[0].Age.Std() < 3*time.Second || !c[0].Runs[0].AtMost {
			t.Errorf("crashes %v are reported, want one of old.0.0.0 after at most 3 s", c)
		}
	})
}

// A worker crashes and is back under another id, and answers a poll that is meant for the
// crashed one before it announces itself. Guards against a task that is started again and
// again: the runs that the crashed one held then seemed to be as old as its restart takes.
func TestNextIncarnationDoesNotAnswerForCrashedOne(t *testing.T) {
	for name, answer := range map[string]error{
		"refuses":         &RefusedError{Reason: lwdispatch.RefusedUnhealthy, OtherIncarnation: true},
		"does not answer": nil,
	} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				setPollError := func(err error) {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.pollError = err
				}
				sendOrders(t.Context(), r, testToken, startOrder("a.0.0.0", 1))
				time.Sleep(20 * time.Millisecond)
				setPollError(errNoAnswer) // the connection is broken
				time.Sleep(time.Second)
				if answer != nil {
					setPollError(answer)
					time.Sleep(200 * time.Millisecond)
				}
				w.reboot(9)
				r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}, Service: "s"}, 1)
				time.Sleep(time.Second)
				c := l.lastReport().Crashes
				if len(c) != 1 || len(c[0].Runs) != 1 || c[0].Runs[0].AtMost || c[0].Runs[0].Age.Std() > 700*time.Millisecond {
					t.Errorf("crashes %v are reported, want one of a run that was young when the connection broke", c)
				}
			})
		})
	}
}

// Guards against crashes that are not reported once refused connections were taken for one.
func TestCrashAfterRefusedConnectionsIsReported(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		l.mu.Lock()
		l.recordsCrashes = true
		l.mu.Unlock()
		sendOrders(t.Context(), r, testToken, startOrder("first.0.0.0", 1))
		time.Sleep(time.Second)
		w.exit()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		w.exited = false
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		sendOrders(t.Context(), r, testToken, startOrder("second.0.0.0", 1))
		time.Sleep(time.Second)
		w.exit()
		time.Sleep(time.Second)
		w.reboot(9)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}, Service: "s"}, 1)
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, m := range l.reports {
			for _, x := range m.Crashes {
				for _, h := range x.Runs {
					if h.Task == "second.0.0.0" {
						return
					}
				}
			}
		}
		t.Error("the crash under the second run is not reported")
	})
}
