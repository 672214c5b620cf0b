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
		f.core.Report(Report{Info: info, Answered: true, KnowsCrashes: true, Crashes: []Crash{{Incarnation: lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, Runs: []HeldRun{{Task: list[0].Task, Run: list[0].Run}}}}})
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
		f.core.Report(Report{Info: info, Answered: true})
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
			f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true})
			f.core.Report(Report{Info: f.infos["w1"]}) // it answers again
		}},
		{"by a refusal", func(f *fixture, s StartRun) {
			token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
			f.core.Report(Report{Info: f.infos["w1"], Token: token, Refused: []Refusal{{Task: s.Task, Run: s.Run, Reason: RefusedNoCapacity}}})
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

// Guards against a worker that never answers again and is taken on and given up in turn, each
// time with two changes of the roster.
func TestDeadWorkerIsEnrolledOnce(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	enrolled := 0
	for range 60 * 10 {
		f.advance(100 * time.Millisecond)
		f.core.Report(Report{Info: f.infos["w1"], Unresponsive: true, KnowsCrashes: true})
		f.core.Schedule()
		enrolled += len(f.core.effects.Enrol)
		f.step()
	}
	if enrolled > 0 {
		t.Errorf("the worker is enrolled %d times in a minute, though it does not answer", enrolled)
	}
}

// Guards against a gang whose members wait for one that has not begun on the next incarnation.
func TestGangOfUnconfirmedStartIsStopped(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 1))
	f.join(workerInfo("w2", 1))
	step := tasks(2, 1, testEstimate)
	step.Gang = true
	f.submit("j", step)
	if n := len(f.takeStarts("w1")); n != 1 {
		t.Fatalf("%d starts on w1, want 1", n)
	}
	f.startAll("w2")
	f.restart("w1")
	f.report("w1")
	for _, o := range f.pendingOrders["w2"] {
		if _, ok := o.(StopRun); ok {
			return
		}
	}
	t.Errorf("the other member is not stopped: orders %v", f.pendingOrders["w2"])
}

// Guards against a new leader that looks for a long-running task only at the incarnation on which
// it was placed, while it runs on the next one with the same id.
func TestLongRunningTaskOnNextIncarnationIsAwaited(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	step := tasks(1, 1, testEstimate)
	step.LongRunning = true
	f.submit("j", step)
	list := f.takeStarts("w1")
	expectStarts(t, list, "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1") // it carries the start out
	f.lists["w1"] = []RunStatus{{Task: list[0].Task, Run: list[0].Run}}
	f.report("w1")
	expectStarts(t, append(f.takeStarts("w1"), f.takeStarts("w2")...))
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.advance(reportGracePeriod + 1)
	expectStarts(t, f.takeStarts("w2"))
}

// Guards against a new leader that counts the usual lease for the next incarnation of a worker on
// its roster, which may hold the longest one by a start of the earlier leader.
func TestNextIncarnationOfMissingWorkerMayHoldLongestLease(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.restart("w1") // it has carried the start out, and is lost before it reports its lists
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor < 10*time.Second {
		t.Errorf("the task is started elsewhere after %s, want at least 10s", lostFor)
	}
}

// Guards against a start of an earlier term that begins on the next incarnation with the same id
// after the earlier one had reported to the new leader.
func TestOldStartMayBeginOnNextIncarnationOfReportedWorker(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, testEstimate))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.core.Report(Report{Info: f.infos["w1"], Unresponsive: true}) // no lists under the new token yet
	f.step()
	expectStarts(t, f.takeStarts("w2"))
	f.restart("w1")
	expectStarts(t, f.takeStarts("w2"))
}

// A report without lists of runs may overtake one with them. A run that has ended by it must not
// be taken for one in progress: it would be stopped for ever, and its task not start again.
func TestEndedRunIsNotAdoptedFromOvertakenReport(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, testEstimate))
	list := f.takeStarts("w1")
	token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
	ended := NumberedEnd{1, lwjob.End{Task: list[0].Task, Run: list[0].Run, How: lwjob.EndFailed}}
	f.core.Report(Report{Info: f.infos["w1"], Token: token, Clock: f.clock + 2, Ends: []NumberedEnd{ended}})
	f.core.Report(Report{Info: f.infos["w1"], Token: token, Clock: f.clock + 1, Complete: true, Running: []RunStatus{{Task: list[0].Task, Run: list[0].Run}}})
	f.step()
	if runs := f.core.workers[f.infos["w1"].Incarnation].runs; len(runs) != 1 || runs[runKey{list[0].Task, list[0].Run + 1}] == nil {
		t.Errorf("the runs %v are counted, want the second one only", runs)
	}
}

// Guards against a new leader that counts the usual lease for an incarnation on its roster which
// may hold the longest one, by a start that was meant for an earlier incarnation with its id.
func TestLongestLeaseIsCountedByNextLeader(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1") // it has carried the start out, and is lost before it reports its lists
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor < 10*time.Second {
		t.Errorf("the task is started elsewhere after %s, want at least 10s", lostFor)
	}
}

// A worker that has received a higher token than its leader's refuses all calls. It must get a
// higher one, also after it was given up: it would never be given tasks again.
func TestFencedWorkerGetsHigherToken(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	fenced := Report{Info: f.infos["w1"], Unresponsive: true, Fenced: true, KnowsCrashes: true}
	before, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
	for name, wait := range map[string]time.Duration{"while it is known": 0, "after it was given up": 10 * time.Second} {
		f.advance(wait)
		if g := f.core.Report(fenced); g.Token <= before {
			t.Errorf("%s it gets token %d, want one over %d", name, g.Token, before)
		}
	}
}

// Guards against a lost worker whose tasks wait for the longest lease for as long as it has an id
// that was used before: a call for the earlier incarnation can no longer have set its lease.
func TestLongLeaseEnds(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.join(workerInfo("w2", 4))
	f.restart("w1")
	f.report("w1")
	reportFor := func(d time.Duration) {
		for ; d > 0; d -= time.Second {
			f.advance(time.Second)
			f.report("w1")
			f.report("w2")
		}
	}
	expectLongLease := func(want bool) {
		t.Helper()
		for _, e := range f.table.Roster() {
			if e.Incarnation.Worker == "w1" && e.LongLease != want {
				t.Errorf("the roster has a long lease %t for the incarnation at %s, want %t", e.LongLease, f.now, want)
			}
		}
	}
	expectLongLease(true)
	reportFor(9 * time.Second)
	expectLongLease(true)
	reportFor(3 * time.Second)
	expectLongLease(false)
	f.submit("j", tasks(8, 1, time.Minute))
	f.startAll("w2")
	if list := f.startAll("w1"); len(list) == 0 {
		t.Fatal("no task was placed on the worker")
	}
	full := f.infos["w2"]
	full.Capacity = full.Capacity.Add(full.Capacity)
	full.Seq++
	f.infos["w2"] = full
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor > 5*time.Second {
		t.Errorf("the task is started elsewhere after %s, want its granted lease to count", lostFor)
	}
}

// Guards against a long lease that is counted from the first report of an incarnation: a call for
// the earlier one may set it until the worker has received its own token.
func TestLongLeaseCountsFromFirstLists(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1")
	for range 3 { // its agent has received no token yet
		f.advance(time.Second)
		f.core.Report(Report{Info: f.infos["w1"], KnowsCrashes: true})
		f.report("w2")
	}
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor < 10*time.Second {
		t.Errorf("the task is started elsewhere %s after the last report, want at least 10s", lostFor)
	}
}

// Guards against a next leader that counts the granted lease for an incarnation as soon as that one
// has reported, although it has not received its token yet.
func TestLongLeaseIsCountedAfterReportToNextLeader(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1")
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.core.Report(Report{Info: f.infos["w1"], KnowsCrashes: true})
	f.step()
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor < 10*time.Second {
		t.Errorf("the task is started elsewhere after %s, want at least 10s", lostFor)
	}
}

// Guards against a start that goes out although its task is known to be done: the agent of the
// other worker has reconnected, so the start waits to be sent again as the end arrives.
func TestStoppedRunIsNotOrdered(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, testEstimate))
	first := f.startAll("w1")
	expectStarts(t, first, "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true})
	f.step()
	expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")

	f.lists["w1"] = nil
	f.join(f.infos["w1"]) // it answers again
	f.core.AgentReconnected(f.infos["w2"].Incarnation)
	f.endRun("w1", first[0], lwjob.EndDone)
	if stops := ordered[StopRun](f, "w2"); len(stops) != 1 {
		t.Errorf("stops of %v were ordered, want one", stops)
	}
	expectStarts(t, f.takeStarts("w2"))
}

// Guards against an end that is passed over because one with a higher number is listed before it:
// its worker would forget it as recorded, its run would count as lost, and the task would run again.
func TestEndsAreTakenInAnyOrder(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(2, 1, testEstimate))
	started := f.startAll("w1")
	expectStarts(t, started, "j.0.0.0/1", "j.0.0.1/1")
	f.lists["w1"] = nil
	token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
	f.clock++
	f.core.Report(Report{Info: f.infos["w1"], Token: token, Complete: true, Clock: f.clock, Ends: []NumberedEnd{
		{2, lwjob.End{Task: started[1].Task, Run: 1, How: lwjob.EndDone}},
		{1, lwjob.End{Task: started[0].Task, Run: 1, How: lwjob.EndDone}},
	}})
	f.step()
	if got := f.table.Job("j").State; got != lwjob.Completed {
		t.Errorf("the job is %s, want completed: both of its tasks are done", got)
	}
	if stops := ordered[StopRun](f, "w1"); len(stops) > 0 {
		t.Errorf("stops of %v were ordered, want none", stops)
	}
}

// Guards against a run that is released by the late refusal of an agent's process that has ended:
// the worker has not blocked the run, and the next process has carried out the order, which was sent
// to it again.
func TestRefusalOfUnblockedRunHoldsForItsProcessOnly(t *testing.T) {
	for _, x := range []struct {
		name      string
		reconnect bool
		unblocked bool
		released  bool
	}{
		{"of the process that got the order", false, true, true},
		{"of an earlier process", true, true, false},
		{"of a run that its worker has blocked", true, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, testEstimate))
			expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			if x.reconnect {
				f.core.AgentReconnected(f.infos["w1"].Incarnation)
				f.step()
				expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
			}
			token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
			f.core.Report(Report{Info: f.infos["w1"], Token: token, Refused: []Refusal{{Task: "j.0.0.0", Run: 1, Reason: RefusedUnhealthy, Unblocked: x.unblocked}}})
			f.step()
			if x.released {
				expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
			} else {
				expectStarts(t, f.takeStarts("w2"))
			}
		})
	}
}
