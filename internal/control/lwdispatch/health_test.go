package lwdispatch

import (
	"fmt"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// longRunning returns a step of n long-running tasks of one core.
func longRunning(n int) lwjob.Step {
	s := tasks(n, 1, 0)
	s.LongRunning = true
	return s
}

// failStarts fails the runs that a worker is ordered to start, after they have run for age.
func (f *fixture) failStarts(id lwunit.WorkerID, age time.Duration) {
	list := f.startAll(id)
	f.advance(age)
	for _, s := range list {
		f.endRun(id, s, lwjob.EndFailed)
	}
}

// setProgress sets the progress of all runs in the list of a worker.
func (f *fixture) setProgress(id lwunit.WorkerID, percent int) {
	for i := range f.lists[id] {
		f.lists[id][i].Progress = percent
	}
}

// suspectedFixture returns a core whose only worker has failed the long-running tasks of four
// jobs, each after it had run for age, and now runs a probe of one of them.
func suspectedFixture(t *testing.T, cfg Config, age time.Duration) *fixture {
	t.Helper()
	f := newFixture(t)
	f.config = cfg
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 64))
	for i := range 4 {
		f.submit(fmt.Sprint("j", i), longRunning(6))
	}
	for range 8 {
		f.failStarts("w1", age)
	}
	if w := f.core.workers[f.infos["w1"].Incarnation]; w.health.suspicions == 0 || len(w.runs) > 0 {
		t.Fatalf("the worker has failed what it started: %d suspicions, %d runs", w.health.suspicions, len(w.runs))
	}
	for range 20 {
		f.advance(100 * time.Millisecond)
		if list := f.startAll("w1"); len(list) > 0 {
			if len(list) > 1 {
				t.Fatalf("%d tasks are started on a suspected worker", len(list))
			}
			return f
		}
	}
	t.Fatal("the worker is not probed")
	return nil
}

// running returns the tasks that a worker lists after some time with a report every half second.
func (f *fixture) running(id lwunit.WorkerID, after time.Duration) int {
	for range after / (500 * time.Millisecond) {
		f.advance(500 * time.Millisecond)
		f.startAll(id)
		f.setProgress(id, fullPercent)
	}
	f.startAll(id)
	return len(f.lists[id])
}

// Guards against long-running tasks that are started one a second on a worker that is sound again,
// since only the end of a task took it back.
func TestLongRunningTaskThatStaysAtWorkEndsProbes(t *testing.T) {
	t.Run("without load control", func(t *testing.T) {
		f := suspectedFixture(t, DefaultConfig(), 100*time.Millisecond)
		f.setProgress("w1", fullPercent)
		if n := f.running("w1", 3*time.Second); n != 24 {
			t.Errorf("3 s after the probe began %d of 24 tasks run", n)
		}
	})
	t.Run("with load control", func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.LoadControl = true
		f := suspectedFixture(t, cfg, 100*time.Millisecond)
		f.setProgress("w1", fullPercent)
		if n := f.running("w1", 7*time.Second); n != 24 {
			t.Errorf("7 s after the probe began %d of 24 tasks run", n)
		}
	})
}

// Guards against a worker that is taken back by runs that tell nothing of it.
func TestRunThatProvesNothingLeavesItsWorkerOnProbes(t *testing.T) {
	suspected := func(f *fixture) bool { return !f.core.workers[f.infos["w1"].Incarnation].health.runsLongRunning }
	t.Run("one that has run no longer than those that failed", func(t *testing.T) {
		f := suspectedFixture(t, DefaultConfig(), 900*time.Millisecond)
		f.setProgress("w1", fullPercent)
		f.advance(1500 * time.Millisecond)
		f.report("w1")
		if !suspected(f) {
			t.Error("a probe of 1.5 s takes back a worker that fails runs after 0.9 s")
		}
	})
	t.Run("one that is not at work", func(t *testing.T) {
		f := suspectedFixture(t, DefaultConfig(), 100*time.Millisecond)
		f.setProgress("w1", fullPercent-1)
		f.advance(4 * time.Second)
		f.report("w1")
		if !suspected(f) {
			t.Error("a run that is not at work takes its worker back")
		}
	})
	t.Run("one from before the suspicion", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 64))
		f.submit("old", longRunning(1))
		f.startAll("w1")
		f.setProgress("w1", fullPercent)
		for i := range 3 {
			f.submit(fmt.Sprint("j", i), tasks(1, 1, time.Second))
		}
		f.failStarts("w1", 100*time.Millisecond)
		f.advance(4 * time.Second)
		f.report("w1")
		if !suspected(f) {
			t.Error("a run from before the suspicion takes the worker back")
		}
	})
}

// Guards against a worker that is given all tasks again because its long-running ones stay at work, while
// it fails those that end.
func TestLongRunningTaskProvesNothingForTasksThatEnd(t *testing.T) {
	t.Run("on a suspected worker", func(t *testing.T) {
		f := suspectedFixture(t, DefaultConfig(), 100*time.Millisecond)
		f.setProgress("w1", fullPercent)
		f.running("w1", 3*time.Second)
		f.submit("ends", tasks(4, 1, time.Second))
		if n := len(f.startAll("w1")); n != 1 {
			t.Errorf("%d tasks that end are started at once, want one as a probe", n)
		}
	})
	t.Run("on a worker that has begun to fail", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 64))
		for i := range 2 {
			f.submit(fmt.Sprint("j", i), tasks(1, 1, time.Second))
		}
		f.submit("old", longRunning(1))
		for _, s := range f.startAll("w1") {
			if s.Task != "old.0.0.0" {
				f.endRun("w1", s, lwjob.EndFailed)
			}
		}
		f.setProgress("w1", fullPercent)
		f.advance(2 * time.Second)
		f.report("w1")
		if n := len(f.core.workers[f.infos["w1"].Incarnation].health.failedJobs); n != 2 {
			t.Errorf("%d failed jobs are counted after a long-running task has stayed at work, want 2", n)
		}
	})
}
