package lwdispatch

import (
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

func speculative(n, cores int) lwjob.Step {
	s := tasks(n, cores, time.Second)
	s.Speculative = true
	return s
}

// hangingRun returns a fixture with a speculative task whose first run hangs on w1. The
// run of the other task, on w2, has ended.
func hangingRun(t *testing.T, workers ...string) (*fixture, StartRun) {
	f := newLoadFixture(t, append([]string{"w1", "w2"}, workers...)...)
	f.submit("j", func() lwjob.Step { s := speculative(2, 4); s.MaxPerWorker = 1; return s }())
	first, second := f.startAll("w1"), f.startAll("w2")
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("started %v on w1 and %v on w2, want one each", first, second)
	}
	f.work(time.Second, map[lwunit.WorkerID]int{"w2": 24})
	f.endRun("w2", second[0], lwjob.EndDone)
	return f, first[0]
}

// copied returns the copy that hangingRun's task is given on w2 within 3 s of its start.
func copied(f *fixture) StartRun {
	f.t.Helper()
	for range 2 * time.Second / reportInterval {
		f.work(reportInterval, nil)
		if list := f.startAll("w2"); len(list) == 1 {
			return list[0]
		}
	}
	f.t.Fatal("no copy is started on w2")
	return StartRun{}
}

func expectState(t *testing.T, f *fixture, want lwjob.State) {
	t.Helper()
	if got := f.table.Job("j").State; got != want {
		t.Errorf("the job is %s, want %s", got, want)
	}
}

// expectRuns checks how many runs of a task may exist.
func expectRuns(t *testing.T, f *fixture, s StartRun, want int) {
	t.Helper()
	if got := len(f.core.findTask(s.Task).runs); got != want {
		t.Errorf("%d runs of the task, want %d", got, want)
	}
}

func hasStop(f *fixture, id lwunit.WorkerID, s StartRun) bool {
	return slices.Contains(f.pendingOrders[id], Order(StopRun{s.Task, s.Run}))
}

func TestCopyOfARunThatHangs(t *testing.T) {
	t.Run("the copy ends first", func(t *testing.T) {
		f, first := hangingRun(t)
		f.endRun("w2", copied(f), lwjob.EndDone)
		expectState(t, f, lwjob.Completed)
		if !hasStop(f, "w1", first) {
			t.Error("the first run is not stopped")
		}
	})
	t.Run("the first run ends first after all", func(t *testing.T) {
		f, first := hangingRun(t)
		second := copied(f)
		f.endRun("w1", first, lwjob.EndDone)
		expectState(t, f, lwjob.Completed)
		if !hasStop(f, "w2", second) {
			t.Error("the copy is not stopped")
		}
	})
	t.Run("both end at once", func(t *testing.T) {
		f, first := hangingRun(t)
		second := copied(f)
		done := f.core.runTimesOf(f.core.jobs["j"]).samples
		f.lists["w1"], f.lists["w2"] = nil, nil
		f.report("w1", lwjob.End{Task: first.Task, Run: first.Run, How: lwjob.EndDone})
		f.report("w2", lwjob.End{Task: second.Task, Run: second.Run, How: lwjob.EndDone})
		expectState(t, f, lwjob.Completed)
		f.work(time.Second, nil)
		expectStarts(t, f.takeStarts("w1"))
		expectStarts(t, f.takeStarts("w2"))
		if n := len(f.core.endedJobs["j"].steps[0][0].lengths); n > 2 || done == 0 {
			t.Errorf("%d lengths of 2 tasks are counted", n)
		}
	})
	t.Run("no third run while the answer to the start of the copy is lost", func(t *testing.T) {
		f, first := hangingRun(t, "w3")
		f.work(10*time.Second, nil)
		if n := len(f.takeStarts("w2")) + len(f.takeStarts("w3")); n < 2 { // the start and its repetitions
			t.Errorf("%d starts of the copy were sent, want repetitions", n)
		}
		expectRuns(t, f, first, 2)
	})
	t.Run("without load control there is none", func(t *testing.T) {
		f, first := hangingRun(t)
		f.core.cfg.LoadControl = false
		f.work(10*time.Second, nil)
		expectRuns(t, f, first, 1)
	})
	t.Run("nor for a step without the mark", func(t *testing.T) {
		f, first := hangingRun(t)
		f.core.findTask(first.Task).step.spec.Speculative = false
		f.work(10*time.Second, nil)
		expectRuns(t, f, first, 1)
	})
	t.Run("never in place of a first run that waits", func(t *testing.T) {
		f, first := hangingRun(t)
		f.submit("big", tasks(1, 4, time.Second))
		big := f.startAll("w2")
		f.submit("next", tasks(1, 4, time.Second))
		f.work(6*time.Second, nil)
		f.endRun("w2", big[0], lwjob.EndDone)
		expectStarts(t, f.startAll("w2"), "next.0.0.0/1")
		expectRuns(t, f, first, 1)
	})
	t.Run("nor in place of one that waits for more room than there is", func(t *testing.T) {
		f, first := hangingRun(t)
		f.core.findTask(first.Task).step.spec.Need.Millicores = 1000
		f.submit("small", tasks(1, 1, time.Second))
		f.startAll("w2")
		f.submit("next", tasks(1, 4, time.Second))
		f.work(6*time.Second, nil)
		expectRuns(t, f, first, 1)
	})
	t.Run("in another failure domain where there is one", func(t *testing.T) {
		f, first := hangingRun(t)
		other := workerInfo("w3", 8)
		other.Domain, other.Labels = "b", []string{"x"}
		f.join(other)
		load := tasks(1, 4, time.Hour) // so that it costs more than w2
		load.RequiredLabel = "x"
		f.submit("load", load)
		f.work(6*time.Second, nil)
		if r := f.core.findTask(first.Task).runs; len(r) != 2 || r[1].worker.info.Domain != "b" {
			t.Errorf("%d runs, want a copy in domain b", len(r))
		}
	})
}

func TestCheckpointOfTheRunThatHasDoneMoreIsKept(t *testing.T) {
	f, first := hangingRun(t)
	copied(f)
	f.lists["w1"][0].Progress, f.lists["w1"][0].Checkpoint = 40, "far"
	f.lists["w2"][0].Progress, f.lists["w2"][0].Checkpoint = 10, "near"
	f.report("w1")
	f.report("w2")
	if got := f.core.findTask(first.Task).checkpoint; got != "far" {
		t.Errorf("checkpoint %q is kept, want far", got)
	}
}

func TestWorkerWhoseRunsWereStoppedStaysSlow(t *testing.T) {
	f, _ := hangingRun(t)
	f.endRun("w2", copied(f), lwjob.EndDone)
	f.lists["w1"] = nil
	f.report("w1")
	expectSlowness(t, f, "w1", 1.3, 20) // one run is one sample
}

func TestLongTaskIsNotCopied(t *testing.T) {
	f := newLoadFixture(t, "w1", "w2")
	first, second := f.begin("j", speculative(2, 1))
	f.work(time.Second, map[lwunit.WorkerID]int{"w1": 4, "w2": 24})
	f.endRun("w2", second, lwjob.EndDone)
	f.work(5500*time.Millisecond, map[lwunit.WorkerID]int{"w1": 4})
	expectRuns(t, f, first, 1)
}

func TestRunOnASlowWorkerIsCopiedEarly(t *testing.T) {
	f := newLoadFixture(t, "w1", "w2")
	f.slowDown(tasks(1, 1, time.Second))
	first, second := f.begin("j", speculative(2, 1))
	f.core.findTask(first.Task).step.spec.MaxPerWorker = 0
	f.work(time.Second, map[lwunit.WorkerID]int{"w1": 6, "w2": 24})
	f.endRun("w2", second, lwjob.EndDone)
	f.work(500*time.Millisecond, map[lwunit.WorkerID]int{"w1": 6})
	expectRuns(t, f, first, 2)
}

func TestAttemptsOfTwoRunsCountOnce(t *testing.T) {
	t.Run("no copy if the failures of both would exceed the limit", func(t *testing.T) {
		f, first := hangingRun(t)
		f.core.findTask(first.Task).failedRuns = []lwjob.RunID{77}
		f.work(10*time.Second, nil)
		expectRuns(t, f, first, 1)
	})
	t.Run("one of two runs fails, the other goes on alone", func(t *testing.T) {
		f, first := hangingRun(t)
		f.endRun("w2", copied(f), lwjob.EndFailed)
		f.work(2*time.Second, nil)
		expectRuns(t, f, first, 1)
		expectState(t, f, lwjob.Running)
		f.endRun("w1", first, lwjob.EndDone)
		expectState(t, f, lwjob.Completed)
	})
	t.Run("both fail at the limit", func(t *testing.T) {
		f, first := hangingRun(t)
		f.endRun("w2", copied(f), lwjob.EndFailed)
		f.endRun("w1", first, lwjob.EndFailed)
		expectState(t, f, lwjob.Failed)
		if n := len(f.table.Job("j").Tasks[lwjob.TaskKey{}].FailedRuns); n != f.queue.MaxAttempts {
			t.Errorf("%d failed attempts are recorded, want %d", n, f.queue.MaxAttempts)
		}
	})
}

func TestLeaderChangesWhileTwoCopiesRun(t *testing.T) {
	change := func(f *fixture) {
		f.startTerm(testTerm + 1)
		f.controlLoad()
	}
	t.Run("both are adopted, and the first end counts", func(t *testing.T) {
		f, first := hangingRun(t)
		second := copied(f)
		change(f)
		f.join(f.infos["w1"])
		f.join(f.infos["w2"])
		f.work(6*time.Second, nil)
		expectRuns(t, f, first, 2)
		if hasStop(f, "w1", first) || hasStop(f, "w2", second) {
			t.Error("one of them is stopped")
		}
		f.endRun("w2", second, lwjob.EndDone)
		expectState(t, f, lwjob.Completed)
		if !hasStop(f, "w1", first) {
			t.Error("the first run is not stopped")
		}
	})
	t.Run("at most two runs of those that workers list are kept", func(t *testing.T) {
		f, first := hangingRun(t, "w3")
		f.startTerm(testTerm + 1)
		f.controlLoad()
		for i, id := range []lwunit.WorkerID{"w1", "w2", "w3"} {
			f.lists[id] = []RunStatus{{Task: first.Task, Run: lwjob.RunID(i + 1)}}
			f.join(f.infos[id])
		}
		if !hasStop(f, "w3", StartRun{Task: first.Task, Run: 3}) || hasStop(f, "w2", StartRun{Task: first.Task, Run: 2}) {
			t.Error("the third run is not stopped, or the second is")
		}
	})
	t.Run("no copy while the other run may be on a worker that has not reported", func(t *testing.T) {
		f, first := hangingRun(t, "w3")
		f.work(5*time.Second, nil)
		change(f)
		f.lists["w1"][0].Progress = 1
		delete(f.infos, "w2")
		delete(f.infos, "w3")
		f.join(f.infos["w1"])
		f.join(workerInfo("w4", 4))
		f.core.speeds.withProgress = map[lwconfig.QueueKey]bool{f.queue.Key: true}
		f.work(3500*time.Millisecond, nil)
		expectRuns(t, f, first, 1)
		f.work(3500*time.Millisecond, nil) // the leases of the others have ended
		expectRuns(t, f, first, 2)
	})
}

func TestWeakerRunYieldsToATaskThatWaits(t *testing.T) {
	f, first := hangingRun(t)
	second := copied(f)
	f.work(time.Second, map[lwunit.WorkerID]int{"w1": 24}) // the first run goes on after all
	if hasStop(f, "w2", second) {
		t.Error("the copy is stopped although nothing waits")
	}
	f.submit("next", tasks(1, 4, time.Second))
	f.work(500*time.Millisecond, nil)
	if !hasStop(f, "w2", second) || hasStop(f, "w1", first) {
		t.Fatal("the copy is not stopped, or the first run is")
	}
	f.takeStarts("w2")
	f.endRun("w2", second, lwjob.EndStopped)
	expectStarts(t, f.takeStarts("w2"), "next.0.0.0/1")
}

func TestCheckpointedRunIsResumedOnAFasterWorker(t *testing.T) {
	spec := tasks(2, 1, 2*time.Second)
	spec.Checkpointed = true
	start := func(t *testing.T) (*fixture, StartRun) {
		f := newLoadFixture(t, "w1", "w2")
		f.slowDown(tasks(1, 1, time.Second))
		first, second := f.begin("j", spec)
		f.core.findTask(first.Task).step.spec.MaxPerWorker = 0
		f.endRun("w2", second, lwjob.EndDone)
		f.lists["w1"][0].Checkpoint = "c"
		return f, first
	}
	t.Run("from a slow worker", func(t *testing.T) {
		f, first := start(t)
		f.work(1500*time.Millisecond, map[lwunit.WorkerID]int{"w1": 3})
		if !hasStop(f, "w1", first) {
			t.Fatal("the run is not stopped")
		}
		f.endRun("w1", first, lwjob.EndStopped)
		if list := f.takeStarts("w2"); len(list) != 1 || list[0].Task != first.Task || list[0].Checkpoint != "c" {
			t.Errorf("started %v on w2, want the task from checkpoint c", list)
		}
	})
	for _, x := range []struct {
		name   string
		change func(f *fixture)
	}{
		{"not if the loss of an interruption is not known", func(f *fixture) { f.core.cfg.InterruptionLoss = 0 }},
		{"not if it costs more than it gains", func(f *fixture) { f.core.cfg.InterruptionLoss = 10 * time.Second }},
		{"not if it is throttled", func(f *fixture) {
			f.core.setCPUPercent(f.core.workers[f.infos["w1"].Incarnation].sortedRuns()[0], 50, "test")
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			f, first := start(t)
			x.change(f)
			f.work(1500*time.Millisecond, map[lwunit.WorkerID]int{"w1": 3})
			if hasStop(f, "w1", first) {
				t.Error("the run is stopped")
			}
		})
	}
	t.Run("not while it is the only task of its kind that is long, on a typical worker", func(t *testing.T) {
		f := newLoadFixture(t, "w1", "w2")
		first, second := f.begin("j", spec)
		f.endRun("w2", second, lwjob.EndDone)
		f.work(6*time.Second, map[lwunit.WorkerID]int{"w1": 2})
		if hasStop(f, "w1", first) {
			t.Error("the run is stopped")
		}
	})
}
