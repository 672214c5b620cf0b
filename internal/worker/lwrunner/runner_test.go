package lwrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

const (
	testToken = 7 << 16
	testLease = 4 * time.Second
)

var testLife = lwjob.WorkerLife{Worker: "w1", Born: 5}

// served runs f with a runner that serves a worker and has its lease.
func served(t *testing.T, f func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader)) {
	synctest.Test(t, func(t *testing.T) {
		w, l := newFakeWorker(), &fakeLeader{token: testToken, lease: testLease}
		r := New("agent-1", w, l, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(ended)
		}()
		r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s"}, 1)
		time.Sleep(time.Second)
		f(t, r, w, l)
		cancel()
		<-ended
		synctest.Wait()
	})
}

func order(ctx context.Context, r *Runner, token lwdispatch.Token, list ...lwdispatch.Order) {
	m := lwlink.AgentOrders{Life: testLife, Token: token}
	for _, o := range list {
		m.Orders = append(m.Orders, lwlink.EncodeOrder(o))
	}
	r.Orders(ctx, m)
}

func start(task lwunit.TaskID, run lwjob.RunID) lwdispatch.StartRun {
	return lwdispatch.StartRun{Task: task, Run: run, Text: "x"}
}

func expectBegun(t *testing.T, w *fakeWorker, task lwunit.TaskID, want int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := w.starts[task]; got != want {
		t.Errorf("%s began %d times, want %d", task, got, want)
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
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.loseStarts = 2
			order(t.Context(), r, testToken, start("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectBegun(t, w, "j.0.0.0", 1)
			expectRefusals(t, l, "j.0.0.0")
		})
	})
	t.Run("one that is carried out late does not run a second time", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			w.dropStarts = 1
			order(t.Context(), r, testToken, start("j.0.0.0", 1))
			time.Sleep(time.Second)
			w.end("j.0.0.0", 1)
			w.carryOutLate()
			expectBegun(t, w, "j.0.0.0", 1)
		})
	})
	t.Run("refused after a try without an answer, it is blocked first", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.dropStarts = 1
			w.refuse["j.0.0.0"] = true
			order(t.Context(), r, testToken, start("j.0.0.0", 1))
			time.Sleep(time.Second)
			w.refuse["j.0.0.0"] = false
			w.carryOutLate()
			expectBegun(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedBlocked)
		})
	})
	t.Run("refused at once, it is reported at once", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			w.refuse["j.0.0.0"] = true
			order(t.Context(), r, testToken, start("j.0.0.0", 1))
			time.Sleep(50 * time.Millisecond)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedRoom)
		})
	})
	t.Run("one that was ordered before is not refused while it may run", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			first := start("j.0.0.0", 1)
			order(t.Context(), r, testToken, first)
			time.Sleep(time.Millisecond) // carried out, and not listed yet
			r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s", Draining: true}, 2)
			first.Repeated = true
			order(t.Context(), r, testToken, first)
			time.Sleep(time.Second)
			expectBegun(t, w, "j.0.0.0", 1)
			expectRefusals(t, l, "j.0.0.0")
		})
	})
	t.Run("an order of an earlier leader is not carried out", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
			order(t.Context(), r, testToken-1, start("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectBegun(t, w, "j.0.0.0", 0)
		})
	})
	t.Run("nothing starts on a worker that leaves", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s", Draining: true}, 2)
			order(t.Context(), r, testToken, start("j.0.0.0", 1))
			time.Sleep(time.Second)
			expectBegun(t, w, "j.0.0.0", 0)
			expectRefusals(t, l, "j.0.0.0", lwdispatch.RefusedDraining)
		})
	})
}

func TestEndsAreReportedAtOnce(t *testing.T) {
	served(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		order(t.Context(), r, testToken, start("j.0.0.0", 1))
		time.Sleep(time.Second)
		w.end("j.0.0.0", 1)
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		found := false
		l.mu.Lock()
		for i, m := range l.reports {
			for _, e := range m.Ends {
				found = found || (e.End.Task == "j.0.0.0" && l.at[i].Sub(began) < 50*time.Millisecond)
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
	t.Run("ends no later than the leader counts", func(t *testing.T) {
		served(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			time.Sleep(3 * time.Second)
			l.mu.Lock()
			l.gone = true
			last := l.at[len(l.at)-1]
			l.mu.Unlock()
			time.Sleep(time.Until(last.Add(testLease + testLease/50 + 50*time.Millisecond)))
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.clock() < w.lease {
				t.Errorf("at %d on its clock the worker has a lease until %d", w.clock(), w.lease)
			}
			if w.lease < 2000 {
				t.Errorf("the lease was renewed to %d only", w.lease)
			}
		})
	})
	t.Run("is not renewed for a worker that does not answer", func(t *testing.T) {
		served(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
			w.mu.Lock()
			w.silent = true
			w.mu.Unlock()
			time.Sleep(5 * time.Second)
			if !l.newest().Silent {
				t.Error("the leader was not told")
			}
			w.mu.Lock()
			before := w.lease
			w.silent = false
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			if w.lease > before {
				t.Error("a lease was renewed that the leader counts as ended")
			}
			w.mu.Unlock()
			time.Sleep(2 * time.Second)
			if l.newest().Silent {
				t.Error("the leader was not told that the worker is back")
			}
		})
	})
}

// A machine that refuses connections runs no worker; a worker that answers
// again was only starting to listen.
func TestEndOfTheWorkersProcessIsReported(t *testing.T) {
	served(t, func(t *testing.T, _ *Runner, w *fakeWorker, l *fakeLeader) {
		set := func(gone bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.gone = gone
		}
		last := func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.reports[len(l.reports)-1].Gone
		}
		set(true)
		time.Sleep(150 * time.Millisecond)
		if last() {
			t.Error("reported after one refused connection")
		}
		time.Sleep(450 * time.Millisecond)
		if !last() {
			t.Error("not reported after half a second")
		}
		set(false)
		time.Sleep(time.Second)
		if last() {
			t.Error("still reported of a worker that answers")
		}
	})
}

func TestAnnouncements(t *testing.T) {
	t.Run("a newer life replaces an older one", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
			next := lwjob.WorkerLife{Worker: "w2", Born: 9}
			r.Announce(lwdispatch.WorkerInfo{Life: next, Service: "s"}, 1)
			r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s"}, 99)
			time.Sleep(time.Second)
			if got := l.newest().Info.Life; got != next {
				t.Errorf("%v is reported, want %v", got, next)
			}
		})
	})
	t.Run("a late announcement does not undo a drain", func(t *testing.T) {
		served(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s", Draining: true}, 5)
			r.Announce(lwdispatch.WorkerInfo{Life: testLife, Service: "s"}, 4)
			time.Sleep(time.Second)
			if !l.newest().Info.Draining {
				t.Error("the worker is no longer reported as draining")
			}
		})
	})
}
