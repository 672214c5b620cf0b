package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// claim is a report of an incarnation that is not known, while a task may still run on w1.
type claim struct {
	incarnation lwjob.WorkerIncarnation
	agent       string
	answered    bool
	ended       bool // the report says that the process of the incarnation has ended
}

// unprovenClaims are reports that do not show that w1 has ended.
var unprovenClaims = map[string]claim{
	"a later incarnation that has not answered its agent":        {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 2}, "agent-w1", false, false},
	"another worker that has not answered its agent":             {lwjob.WorkerIncarnation{Worker: "w1b", StartedAt: 2}, "agent-w1", false, false},
	"a later incarnation at another agent":                       {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 2}, "agent-w3", true, false},
	"a later incarnation at another agent, which did not answer": {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 2}, "agent-w3", false, false},
	"an earlier incarnation of its agent":                        {lwjob.WorkerIncarnation{Worker: "w0", StartedAt: 0}, "agent-w1", true, false},
	"the same incarnation at another agent":                      {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, "agent-w3", true, false},
	"the end of its process by an agent that it never answered":  {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, "agent-w1", false, true},
	"the end of its process by another agent":                    {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, "agent-w3", true, true},
}

// claim makes the report of a claim.
func (f *fixture) claim(x claim) Grant {
	info := workerInfo(string(x.incarnation.Worker), 4)
	info.Incarnation, info.Agent = x.incarnation, x.agent
	f.core.Advance(f.now, f.wallClock)
	g := f.core.Report(Report{Info: info, KnowsCrashes: true, Answered: x.answered, ProcessEnded: x.ended, Crashes: nil})
	f.step()
	return g
}

// expectNoSecondRun fails if a task is ordered anywhere, a crash is counted against it, or the
// incarnation on which it runs is off the roster.
func expectNoSecondRun(t *testing.T, f *fixture, running lwjob.WorkerIncarnation) {
	t.Helper()
	for id, orders := range f.pendingOrders {
		for _, o := range orders {
			if s, ok := o.(StartRun); ok {
				t.Errorf("%s/%d is ordered from %s while the first run may go on", s.Task, s.Run, id)
			}
		}
	}
	if crashes := f.table.Job("j").Task(lwjob.TaskKey{}).Crashes; len(crashes) > 0 {
		t.Errorf("crashes %v are counted", crashes)
	}
	for _, e := range f.table.Roster() {
		if e.Incarnation == running && e.Agent == "agent-w1" {
			return
		}
	}
	t.Errorf("%v is not on the roster any more", running)
}

// Guards against two runs of a task: the leader releases the runs of a worker since a report names
// another incarnation, though nobody has found that the earlier one has ended.
func TestUnprovenClaimEndsNoWorker(t *testing.T) {
	for name, x := range unprovenClaims {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, time.Minute))
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			f.claim(x)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
			f.report("w1")
			f.advance(time.Second)
			f.claim(x)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
		})
	}
}

// Guards against two runs of a task: a new leader does not wait for an incarnation on its roster
// since a report names another one, though nobody has found that the awaited one has ended.
func TestUnprovenClaimEndsNoAwaitedWorker(t *testing.T) {
	for name, x := range unprovenClaims {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, time.Minute))
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			f.startTerm(testTerm + 1)
			f.join(f.infos["w2"])
			f.claim(x)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
			f.advance(time.Second)
			f.claim(x)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
		})
	}
}

// Guards against a worker that is never used: it is kept out by an earlier incarnation, which has not
// been found to have ended, also once the lease of that one has ended.
func TestWorkerIsAddedOnceEarlierLeaseHasEnded(t *testing.T) {
	for name, x := range unprovenClaims {
		if x.ended || x.incarnation.Worker == "w1" && x.incarnation.StartedAt == 1 {
			continue // they name the earlier incarnation itself
		}
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, time.Minute))
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			addedAfter := time.Duration(0)
			for ; f.core.workers[x.incarnation] == nil && addedAfter < 20*time.Second; addedAfter += 100 * time.Millisecond {
				f.advance(100 * time.Millisecond)
				f.claim(x)
			}
			if lease := f.config.Lease; addedAfter < lease || addedAfter > lease+time.Second {
				t.Errorf("it is added after %s, want a little more than %s", addedAfter, lease)
			}
		})
	}
}

// Guards against tasks that wait for a lease although the next incarnation of their worker has
// answered its agent.
func TestAnsweringIncarnationReplacesEarlierOne(t *testing.T) {
	for name, next := range map[string]lwjob.WorkerIncarnation{
		"with another id":  {Worker: "w1b", StartedAt: 2},
		"with the same id": {Worker: "w1", StartedAt: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, time.Minute))
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			f.claim(claim{next, "agent-w1", true, false})
			expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
		})
	}
}

// Guards against a worker that is not used for the time of a lease, since an announcement that was not its own
// came first: nothing runs on an incarnation that has never answered.
func TestNeverUsedIncarnationIsReplaced(t *testing.T) {
	for name, x := range map[string]claim{
		"at the same agent":  {lwjob.WorkerIncarnation{Worker: "w9", StartedAt: 9}, "agent-w1", false, false},
		"with the same id":   {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 9}, "agent-w1", false, false},
		"at another agent":   {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 9}, "agent-w3", false, false},
		"earlier, elsewhere": {lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 0}, "agent-w3", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.claim(x)
			f.submit("j", tasks(1, 1, time.Minute))
			f.join(workerInfo("w1", 4))
			expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
		})
	}
}

// Guards against a crash that is counted against the tasks of a worker which was told to leave, when its
// successor answers.
func TestSuccessorOfDrainingWorkerIsNoCrash(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Second))
	expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
	info := f.infos["w1"]
	info.Draining, info.DrainTimeLeft = true, lwunit.Duration(time.Minute)
	f.infos["w1"] = info
	f.report("w1")
	f.claim(claim{lwjob.WorkerIncarnation{Worker: "w1b", StartedAt: 2}, "agent-w1", true, false})
	if crashes := f.table.Job("j").Task(lwjob.TaskKey{}).Crashes; len(crashes) > 0 {
		t.Errorf("crashes %v are counted", crashes)
	}
	if f.core.workers[info.Incarnation] != nil {
		t.Error("the earlier incarnation is still known")
	}
}

// Guards against runs that are lost with a worker which has said that it ends, though it may still be told to save
// their checkpoints and stop them.
func TestRunsOfLeavingWorkerAreStopped(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Second))
	run := f.startAll("w1")
	expectStarts(t, run, "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	info := f.infos["w1"]
	info.Draining, info.DrainTimeLeft = true, lwunit.Duration(time.Minute)
	f.infos["w1"] = info
	f.report("w1")
	if stops := ordered[StopRun](f, "w1"); len(stops) > 0 {
		t.Errorf("stops of %v were ordered while there is time for them to end", stops)
	}
	info.Leaving = true
	f.infos["w1"] = info
	f.report("w1")
	if stops := ordered[StopRun](f, "w1"); len(stops) != 1 {
		t.Errorf("stops of %v were ordered, want one", stops)
	}
	expectStarts(t, f.takeStarts("w2"))
	f.endRun("w1", run[0], lwjob.EndStopped)
	expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
}

// Guards against two runs of a task: a report of an earlier incarnation, which arrives late, takes the place of
// the one that has followed, since the clock of their machine was set back between the two.
func TestLateReportOfEarlierIncarnationEndsNoWorker(t *testing.T) {
	for name, earlier := range map[string]lwjob.WorkerIncarnation{
		"with the same id":  {Worker: "w1", StartedAt: 9},
		"with another id":   {Worker: "w0", StartedAt: 9},
		"by a higher clock": {Worker: "w0", StartedAt: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			info := workerInfo("w1", 4)
			info.Incarnation = earlier
			f.join(info)
			f.advance(f.config.Lease + time.Second)
			f.join(workerInfo("w1", 4))
			if f.core.workers[f.infos["w1"].Incarnation] == nil {
				f.advance(f.config.Lease * 20)
				f.join(workerInfo("w1", 4))
			}
			f.submit("j", tasks(1, 1, time.Minute))
			f.report("w1")
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			f.claim(claim{earlier, "agent-w1", true, false})
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
			f.advance(time.Second)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
		})
	}
}

// Guards against a worker that is not used for the time of a lease, since an agent that does not serve it was
// first to report it.
func TestIncarnationNamedByAnotherAgentFirstIsUsed(t *testing.T) {
	f := newFixture(t)
	f.claim(claim{lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 1}, "agent-w3", false, false})
	f.submit("j", tasks(1, 1, time.Minute))
	f.join(workerInfo("w1", 4))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
}

// Guards against two runs of a task: a report of an earlier incarnation, which arrives late, takes the place of
// the one that has followed at the next leader, since the clock of their machine was set back between the two.
func TestLateReportOfEarlierIncarnationEndsNoAwaitedWorker(t *testing.T) {
	for name, earlier := range map[string]lwjob.WorkerIncarnation{
		"with the same id":  {Worker: "w1", StartedAt: 9},
		"with another id":   {Worker: "w0", StartedAt: 9},
		"by a higher clock": {Worker: "w0", StartedAt: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			info := workerInfo("w1", 4)
			info.Incarnation = earlier
			f.join(info)
			f.advance(f.config.Lease + time.Second)
			f.join(workerInfo("w1", 4))
			if f.core.workers[f.infos["w1"].Incarnation] == nil {
				f.advance(f.config.Lease * 20)
				f.join(workerInfo("w1", 4))
			}
			f.submit("j", tasks(1, 1, time.Minute))
			f.report("w1")
			expectStarts(t, f.startAll("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			f.startTerm(testTerm + 1)
			f.join(f.infos["w2"])
			f.claim(claim{earlier, "agent-w1", true, false})
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
			f.advance(time.Second)
			expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
		})
	}
}

// Guards against two runs of a task with agents of an older version: a start that no list has shown is carried out by
// the next incarnation with the id, which is not added, under the longest lease.
func TestStartMayBeginOnIncarnationThatIsNotAdded(t *testing.T) {
	for name, newLeader := range map[string]bool{"under its leader": false, "under the next leader": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.config.MaxWorkerLease = 10 * time.Second
			f.startTerm(testTerm)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(1, 1, time.Minute))
			expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
			f.join(workerInfo("w2", 4))
			if newLeader {
				f.startTerm(testTerm + 1)
				f.join(f.infos["w2"])
			}
			lostFor := time.Duration(0)
			for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
				if lostFor < time.Second {
					f.claim(claim{lwjob.WorkerIncarnation{Worker: "w1", StartedAt: 2}, "agent-w1", false, false})
				}
				f.advance(100 * time.Millisecond)
				f.report("w2")
			}
			if lostFor < 10*time.Second || lostFor > 12*time.Second {
				t.Errorf("the task is started elsewhere after %s, want a little more than 10s", lostFor)
			}
		})
	}
}

// Guards against a crash that is counted against the tasks of a worker which runs on, since an agent of an older version has
// believed an announcement.
func TestCrashOfWorkerThatMayRunIsNotCounted(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	run := f.startAll("w1")
	expectStarts(t, run, "j.0.0.0/1")
	next := f.infos["w1"]
	next.Incarnation.StartedAt++
	crashed := Report{Info: next, KnowsCrashes: true, Crashes: []Crash{{f.infos["w1"].Incarnation, []HeldRun{{Task: run[0].Task, Run: run[0].Run}}}}}
	f.core.Report(crashed)
	f.step()
	expectNoSecondRun(t, f, f.infos["w1"].Incarnation)
	f.advance(f.config.Lease + time.Second)
	f.core.Report(crashed)
	f.step()
	if crashes := f.table.Job("j").Task(lwjob.TaskKey{}).Crashes; len(crashes) != 1 {
		t.Errorf("crashes %v are counted once the lease has ended, want one", crashes)
	}
}
