package lwrunner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// otherIncarnations are incarnations that an announcement may name though another one runs, by
// what they are.
var otherIncarnations = map[string]lwjob.WorkerIncarnation{
	"of another id":               {Worker: "w2", StartedAt: 9},
	"with a later time of start":  {Worker: testIncarnation.Worker, StartedAt: 9},
	"with an earlier one":         {Worker: testIncarnation.Worker, StartedAt: 1},
	"without a time of start":     {Worker: testIncarnation.Worker},
	"of another id, much later":   {Worker: "w9", StartedAt: 1 << 53},
	"of another id, without time": {Worker: "w9"},
}

// setUnresponsive has the worker answer no call while its runs go on.
func (w *fakeWorker) setUnresponsive(unresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = unresponsive
}

// expectServed fails unless all reports since from name an incarnation and no crash.
func expectServed(t *testing.T, l *fakeLeader, from int, want lwjob.WorkerIncarnation) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.reports[from:] {
		if m.Info.Incarnation != want || m.ProcessEnded || len(m.Crashes) > 0 {
			t.Errorf("%v is reported, ended %t, with crashes %v; want %v, which runs on", m.Info.Incarnation, m.ProcessEnded, m.Crashes, want)
			return
		}
	}
	if len(l.reports) == from {
		t.Error("nothing is reported")
	}
}

func (l *fakeLeader) reportCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reports)
}

// Guards against two runs of a task: while a worker is silent for a moment its runs are given
// up, and a crash is counted against their tasks, since its agent believes that another incarnation
// has begun.
func TestAnnouncementEndsNoSilentWorker(t *testing.T) {
	const task = "j.0.0.0"
	for name, other := range otherIncarnations {
		t.Run("one "+name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				sendOrders(t.Context(), r, testToken, startOrder(task, 1))
				time.Sleep(time.Second)
				from := l.reportCount()
				w.setUnresponsive(true)
				time.Sleep(30 * time.Millisecond)
				r.Announce(lwdispatch.WorkerInfo{Incarnation: other, Service: "unknown"}, 1)
				w.setUnresponsive(false)
				time.Sleep(2 * time.Second)
				expectServed(t, l, from, testIncarnation)
				expectStarts(t, w, task, 1)
				if m := l.lastReport(); m.Unresponsive {
					t.Error("the worker is still reported as unresponsive")
				}
			})
		})
	}
}

// Guards against two runs of a task: a deregistration that is not the worker's own, beside
// a listener that refuses connections for a while, is taken for the end of its process.
func TestDeregistrationEndsNoWorker(t *testing.T) {
	for name, i := range map[string]lwjob.WorkerIncarnation{
		"with its time of start": testIncarnation,
		"without one":            {Worker: testIncarnation.Worker},
	} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
				time.Sleep(time.Second)
				from := l.reportCount()
				r.Deregister(i)
				w.exit()
				time.Sleep(testLease - 500*time.Millisecond)
				expectServed(t, l, from, testIncarnation)
			})
		})
	}
}

// Guards against a leader that takes the first announcement which an agent hears after its restart for
// that of a worker that answers.
func TestReportSaysWhetherIncarnationHasAnswered(t *testing.T) {
	expectAnswered := func(t *testing.T, l *fakeLeader, want bool) {
		t.Helper()
		if got := l.lastReport(); got.Answered != want {
			t.Errorf("the report of %v says answered %t, want %t", got.Info.Incarnation, got.Answered, want)
		}
	}
	t.Run("not before it does", func(t *testing.T) {
		withAgent(t, func(_ *testing.T, w *fakeWorker) { w.unresponsive = true }, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1)
			time.Sleep(time.Second)
			expectAnswered(t, l, false)
			w.setUnresponsive(false)
			time.Sleep(time.Second)
			expectAnswered(t, l, true)
		})
	})
	t.Run("not if the lists state no time of start", func(t *testing.T) {
		withAgent(t, func(_ *testing.T, w *fakeWorker) { w.startedAt = 0 }, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1)
			time.Sleep(time.Second)
			expectAnswered(t, l, false)
		})
	})
	t.Run("not if another one answers", func(t *testing.T) {
		withAgent(t, func(_ *testing.T, w *fakeWorker) { w.unresponsive = true }, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: 9}, Service: "s"}, 1)
			w.setUnresponsive(false)
			time.Sleep(time.Second)
			expectAnswered(t, l, false)
		})
	})
}

// Guards against two runs of a task: an agent that has just been started hears of the worker of another machine, finds
// that another one answers, and reports the end of one that runs on elsewhere.
func TestIncarnationThatNeverAnsweredIsNotReportedAsEnded(t *testing.T) {
	other := lwjob.WorkerIncarnation{Worker: "w9", StartedAt: 7}
	withAgent(t, func(_ *testing.T, w *fakeWorker) { w.answersOnlyAs = testIncarnation }, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		r.mu.Lock()
		r.announced, r.info = true, lwdispatch.WorkerInfo{Incarnation: other, Service: "s"} // announced while nobody answered
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		if m := l.lastReport(); m.ProcessEnded || m.Info.Incarnation != other || !m.Unresponsive {
			t.Errorf("%v is reported, ended %t, unresponsive %t; want %v as unresponsive", m.Info.Incarnation, m.ProcessEnded, m.Unresponsive, other)
		}
	})
}

// Guards against a worker that is never used: its agent has heard of it, as the first one since its start, before it
// answered, and another one has answered in its place meanwhile.
func TestIncarnationThatComesUpLateIsUsed(t *testing.T) {
	for name, before := range map[string]lwjob.WorkerIncarnation{
		"after one with the same id": {Worker: nextIncarnation.Worker, StartedAt: 1},
		"after one with another id":  {Worker: "w9", StartedAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			withAgent(t, func(_ *testing.T, w *fakeWorker) { w.unresponsive, w.answersOnlyAs = true, before }, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				w.mu.Lock()
				w.answersOnlyAs = lwjob.WorkerIncarnation{}
				w.mu.Unlock()
				r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s"}, 1)
				w.mu.Lock()
				w.unresponsive, w.answersOnlyAs = false, before
				w.mu.Unlock()
				time.Sleep(2 * time.Second)
				if m := l.lastReport(); m.ProcessEnded || !m.Unresponsive {
					t.Errorf("%v is reported, ended %t, unresponsive %t; want it unresponsive", m.Info.Incarnation, m.ProcessEnded, m.Unresponsive)
				}
				w.mu.Lock()
				w.answersOnlyAs = lwjob.WorkerIncarnation{}
				w.mu.Unlock()
				w.reboot(nextIncarnation.StartedAt)
				time.Sleep(2 * time.Second)
				if m := l.lastReport(); m.Info.Incarnation != nextIncarnation || m.Unresponsive || m.ProcessEnded || !m.Answered {
					t.Errorf("%v is reported, ended %t, unresponsive %t, answered %t; want %v in use", m.Info.Incarnation, m.ProcessEnded, m.Unresponsive, m.Answered, nextIncarnation)
				}
				c := Call{nextIncarnation, testToken}
				r.start(t.Context(), c, startOrder("j.0.0.0", 1), lwdispatch.WorkerInfo{}.Capacity)
				expectStarts(t, w, "j.0.0.0", 1)
			})
		})
	}
}

// Guards against a worker that is kept out by an announcement which another one has contradicted at once.
func TestContradictedFirstAnnouncementIsIgnored(t *testing.T) {
	withAgent(t, func(_ *testing.T, w *fakeWorker) { w.answersOnlyAs = testIncarnation }, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w9", StartedAt: 9}, Service: "s"}, 1)
		time.Sleep(time.Second)
		if n := l.reportCount(); n != 0 {
			t.Errorf("%d reports name %v", n, l.lastReport().Info.Incarnation)
		}
	})
}

// Guards against a worker that is never used again: the first announcement that its agent hears after
// a restart is not its own, and the worker has received a token, so that it fences the agent's probe.
func TestFencedWorkerIsServedInPlaceOfOneThatNeverAnswered(t *testing.T) {
	fenced := func(_ *testing.T, w *fakeWorker) {
		w.token = testToken
		w.answersOnlyAs = testIncarnation
		w.calls = fencingWorker{w}
	}
	withAgent(t, fenced, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}, Service: "unknown"}, 1)
		l.mu.Lock()
		l.unknown = map[lwunit.WorkerID]bool{"w2": true}
		l.mu.Unlock()
		for seq := range int64(5) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s"}, 1+seq)
			time.Sleep(time.Second)
		}
		if m := l.lastReport(); m.Info.Incarnation != testIncarnation || m.Unresponsive || !m.Answered {
			t.Errorf("%v is reported, unresponsive %t, answered %t; want %v, which answers", m.Info.Incarnation, m.Unresponsive, m.Answered, testIncarnation)
		}
	})
}

// Guards against a next incarnation that is not used before its next announcement because it
// answered the first one late.
func TestIncarnationThatAnswersLateIsServed(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.setDark()
		time.Sleep(800 * time.Millisecond)
		w.reboot(nextIncarnation.StartedAt)
		w.setUnresponsive(true)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s"}, 1)
		time.Sleep(time.Second)
		if m := l.lastReport(); m.Info.Incarnation != testIncarnation {
			t.Errorf("%v is reported before it has answered", m.Info.Incarnation)
		}
		w.setUnresponsive(false)
		time.Sleep(time.Second)
		if m := l.lastReport(); m.Info.Incarnation != nextIncarnation || !m.Answered {
			t.Errorf("%v is reported, answered %t, want %v", m.Info.Incarnation, m.Answered, nextIncarnation)
		}
	})
}

// Guards against two runs of a task: a refusal that does not say which incarnation answers is taken for the
// answer of the announced one.
func TestFencedProbeEndsNoWorker(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		from := l.reportCount()
		w.mu.Lock()
		w.token++ // by a leader of which the agent does not know
		w.mu.Unlock()
		r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s"}, 1)
		time.Sleep(time.Second)
		expectServed(t, l, from, testIncarnation)
	})
}

// Guards against a crash that is counted against the tasks of a worker whose connections are refused while
// its runs go on.
func TestRefusedConnectionsCountNoCrashBeforeLeaseHasEnded(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder("j.0.0.0", 1))
		time.Sleep(time.Second)
		from := l.reportCount()
		w.exit()
		time.Sleep(testLease - 500*time.Millisecond)
		expectServed(t, l, from, testIncarnation)
		time.Sleep(2 * time.Second)
		if c := l.lastReport().Crashes; len(c) != 1 || len(c[0].Runs) != 1 {
			t.Errorf("crashes %v are reported once the lease has ended, want one with one run", c)
		}
	})
}

// Guards against a worker that is told to end while its runs are being stopped, and against one that is kept waiting
// after that, or by runs that do not stop.
func TestDeregistrationIsAnsweredOnceRunsHaveStopped(t *testing.T) {
	deregister := func(t *testing.T, runs int, stop bool) (took time.Duration) {
		withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
			for i := range runs {
				sendOrders(t.Context(), r, testToken, startOrder(lwunit.TaskID(fmt.Sprintf("j.0.0.%d", i)), 1))
			}
			time.Sleep(time.Second)
			if stop {
				time.AfterFunc(200*time.Millisecond, func() {
					if !l.lastReport().Info.Leaving {
						t.Error("the leader is not told that the worker leaves")
					}
					sendOrders(t.Context(), r, testToken, lwdispatch.StopRun{Task: "j.0.0.0", Run: 1})
				})
			}
			began := time.Now()
			r.Deregister(testIncarnation)
			took = time.Since(began)
		})
		return took
	}
	for _, x := range []struct {
		name     string
		runs     int
		stop     bool
		min, max time.Duration
	}{
		{"no runs", 0, false, 0, time.Millisecond},
		{"a run that is stopped", 1, true, 200 * time.Millisecond, 300 * time.Millisecond},
		{"a run that is not stopped", 1, false, maxLeaveTime, maxLeaveTime + 50*time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			if took := deregister(t, x.runs, x.stop); took < x.min || took > x.max {
				t.Errorf("answered after %s, want %s to %s", took, x.min, x.max)
			}
		})
	}
}

// Guards against tasks that wait longer than a lease for a worker without power: announcements of others
// keep its agent from finding out that it does not answer.
func TestAnnouncementsDelayNoReportOfSilence(t *testing.T) {
	for name, n := range map[string]int{"none": 0, "one": 1, "many": 60} {
		t.Run(name, func(t *testing.T) {
			withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
				w.setDark()
				for i := range n {
					go r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w9", StartedAt: lwunit.Millis(10 + i)}, Service: "s"}, 1)
				}
				began := time.Now()
				for !l.lastReport().Unresponsive && time.Since(began) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				if d := time.Since(began); d > 3*time.Second {
					t.Errorf("the worker is reported as unresponsive after %s", d)
				}
				time.Sleep(time.Minute) // until all are asked about
			})
		})
	}
}

// Guards against starts on a worker that drains: what it has announced is lost, since an earlier announcement of
// the same incarnation was being asked about.
func TestAnnouncementThatWaitsDescribesIncarnation(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.setUnresponsive(true)
		go r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w9", StartedAt: 9}, Service: "s"}, 1)
		time.Sleep(10 * time.Millisecond)
		for seq, draining := range []bool{false, true} {
			go r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s", Draining: draining}, int64(seq+1))
			time.Sleep(time.Millisecond)
		}
		restart(w)
		w.setUnresponsive(false)
		time.Sleep(time.Second)
		if m := l.lastReport(); m.Info.Incarnation != nextIncarnation || !m.Info.Draining {
			t.Errorf("%v is reported, draining %t, want that %v drains", m.Info.Incarnation, m.Info.Draining, nextIncarnation)
		}
	})
}

// replacedWorker has the next incarnation served as it answers a stop.
type replacedWorker struct {
	*fakeWorker
	runner *Runner
}

func (w replacedWorker) Stop(context.Context, Call, lwdispatch.StopRun) error {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	w.runner.resetIncarnation()
	w.runner.info.Incarnation = nextIncarnation
	return nil
}

// Guards against a run that is reported as blocked on an incarnation since the one before has answered a stop late.
func TestLateAnswerToStopBlocksNoRunOfNextIncarnation(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		w.setCalls(replacedWorker{w, r})
		r.stop(t.Context(), Call{testIncarnation, testToken}, lwdispatch.StopRun{Task: "j.0.0.0", Run: 1})
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.stopAnsweredAt) > 0 {
			t.Errorf("stops %v count as answered by the next incarnation", r.stopAnsweredAt)
		}
	})
}

// Guards against an older announcement that replaces what a newer one has said of the worker.
func TestOlderAnnouncementDescribesNothing(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, _ *fakeWorker, l *fakeLeader) {
		announce := func(seq int64, millicores lwunit.Millicores) {
			r.Announce(lwdispatch.WorkerInfo{Incarnation: testIncarnation, Service: "s", Capacity: lwunit.Resources{Millicores: millicores}}, seq)
		}
		announce(5, 2000)
		announce(4, 1000)
		time.Sleep(time.Second)
		if got := l.lastReport().Info.Capacity.Millicores; got != 2000 {
			t.Errorf("the worker is reported with %d millicores, want the 2000 of the newer announcement", got)
		}
	})
}

// successiveWorker answers a call for one incarnation late, and one for the next at once.
type successiveWorker struct{ *fakeWorker }

func (w successiveWorker) Poll(_ context.Context, c Call, _ LeaseEnd, _ int64, _ time.Duration) (RunLists, error) {
	if c.Incarnation.StartedAt == nextIncarnation.StartedAt {
		time.Sleep(200 * time.Millisecond)
	}
	return RunLists{Clock: w.clock(), StartedAt: c.Incarnation.StartedAt}, nil
}

// Guards against an incarnation that is served again after the next one has answered, since its own
// answer, which it gave before, takes effect later.
func TestAnswersTakeEffectInTurn(t *testing.T) {
	last := lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: nextIncarnation.StartedAt + 1}
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.setCalls(successiveWorker{w})
		go r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s"}, 1)
		time.Sleep(50 * time.Millisecond)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: last, Service: "s"}, 1)
		time.Sleep(time.Second)
		if got := l.lastReport().Info.Incarnation; got != last {
			t.Errorf("%v is reported, want %v, which has answered last", got, last)
		}
	})
}

// Guards against lists of an earlier incarnation, which arrive late, that are taken for those of the next one.
func TestListsOfEarlierIncarnationAreDropped(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		w.reboot(nextIncarnation.StartedAt)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: nextIncarnation, Service: "s"}, 1)
		time.Sleep(time.Second)
		lists := RunLists{Clock: w.clock() + 1000, Running: []lwdispatch.RunStatus{{Task: "j.0.0.0", Run: 1}}}
		r.applyLists(Call{testIncarnation, testToken}, lists, r.clock.Now())
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.lists.Running) > 0 {
			t.Errorf("runs %v of the earlier incarnation are listed", r.lists.Running)
		}
	})
}
