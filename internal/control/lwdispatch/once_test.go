package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// A call names a worker by its id only. A start that was ordered from an incarnation may be
// carried out by the next one with the same id, until that one has received a higher token
// than the start has. The task must not be started elsewhere before lists of the next
// incarnation, read under such a token, show whether it has begun.
func TestOrderedStartMayBeginOnNextIncarnationWithSameID(t *testing.T) {
	restarted := func(t *testing.T) (f *fixture, ordered StartRun) {
		f = newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, testEstimate))
		list := f.takeStarts("w1")
		expectStarts(t, list, "j.0.0.0/1")
		f.join(workerInfo("w2", 4))
		before, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
		info := f.infos["w1"]
		info.Incarnation.StartedAt++
		f.infos["w1"] = info
		f.core.Report(Report{Info: info, KnowsCrashes: true, Crashes: []Crash{{Incarnation: lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, Runs: []HeldRun{{Task: list[0].Task, Run: list[0].Run}}}}})
		f.step()
		if after, _ := f.core.TokenAndCursor(info.Incarnation); after <= before {
			t.Errorf("the next incarnation has token %d, which starts with token %d pass", after, before)
		}
		expectStarts(t, f.takeStarts("w2"))
		return f, list[0]
	}
	t.Run("and has", func(t *testing.T) {
		f, ordered := restarted(t)
		f.lists["w1"] = []RunStatus{{Task: ordered.Task, Run: ordered.Run}}
		f.report("w1")
		expectStarts(t, f.takeStarts("w2"))
	})
	t.Run("and has not", func(t *testing.T) {
		f, _ := restarted(t)
		f.report("w1")
		if starts := append(f.takeStarts("w1"), f.takeStarts("w2")...); len(starts) != 1 {
			t.Errorf("ordered %v once the lists show that the run has not begun, want one start", starts)
		}
	})
	t.Run("under a new leader", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, testEstimate))
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
		f.join(workerInfo("w2", 4))
		f.startTerm(testTerm + 1)
		f.join(f.infos["w2"])
		info := f.infos["w1"]
		info.Incarnation.StartedAt++
		f.infos["w1"] = info
		f.core.Report(Report{Info: info})
		f.step()
		expectStarts(t, f.takeStarts("w2"))
	})
}

const testEstimate = time.Second

// Orders are sent after the report that caused them, under the token of that moment. An order
// that waits must not be sent once its run was released, since the task is started again.
func TestReleasedRunIsNotOrdered(t *testing.T) {
	for _, x := range []struct {
		name    string
		release func(f *fixture, s StartRun)
	}{
		{"by the end of its worker's process", func(f *fixture, _ StartRun) {
			f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, KnowsCrashes: true})
			f.core.Report(Report{Info: f.infos["w1"]}) // it answers again
		}},
		{"by a refusal", func(f *fixture, s StartRun) {
			token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
			f.core.Report(Report{Info: f.infos["w1"], Token: token, Refused: []Refusal{{s.Task, s.Run, RefusedNoCapacity}}})
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, testEstimate))
			first := f.takeStarts("w1")
			expectStarts(t, first, "j.0.0.0/1")
			f.core.AgentReconnected(f.infos["w1"].Incarnation)
			x.release(f, first[0])
			f.step()
			for _, s := range f.takeStarts("w1") {
				if s.Run == first[0].Run {
					t.Errorf("%s/%d is ordered again after it was released", s.Task, s.Run)
				}
			}
		})
	}
}

// Reports may arrive out of order. Lists of the same millisecond as the newest ones must not
// make a run look lost: the task would be started elsewhere while the run is in progress.
func TestReportOfSameMillisecondKeepsRun(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, testEstimate))
	expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
	f.lists["w1"] = nil
	f.clock-- // report raises it again
	f.report("w1")
	if orders := f.pendingOrders["w1"]; len(orders) > 0 {
		t.Errorf("ordered %v, want none", orders)
	}
}

// A call that was meant for an earlier incarnation carries a lease on its clock, which the next
// one with the same id takes for the longest that it accepts. If the next one is lost soon
// after, its tasks must not be started elsewhere before that lease has ended.
func TestLostIncarnationMayHoldLeaseOfEarlierClock(t *testing.T) {
	for _, x := range []struct {
		name string
		next lwjob.WorkerIncarnation
		held time.Duration
	}{
		{"with the same id", lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 2}, 10 * time.Second},
		{"with another id", lwjob.WorkerIncarnation{Worker: "w1b", StartedAt: 2}, 4 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t)
			f.config.MaxWorkerLease = 10 * time.Second
			f.startTerm(testTerm)
			f.join(workerInfo("w1", 4))
			next := f.infos["w1"]
			next.Incarnation = x.next
			f.join(next)
			f.submit("j", tasks(1, 1, time.Minute))
			f.startAll(x.next.Worker)
			f.join(workerInfo("w2", 4))
			lostFor := time.Duration(0)
			for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
				f.advance(100 * time.Millisecond)
				f.report("w2")
			}
			if lostFor < x.held || lostFor > x.held+time.Second {
				t.Errorf("the task is started elsewhere after %s, want a little more than %s", lostFor, x.held)
			}
		})
	}
}
