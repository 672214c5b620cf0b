package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// newLoadFixture returns a fixture with load control and workers of 4 cores.
func newLoadFixture(t *testing.T, workers ...string) *fixture {
	f := newFixture(t)
	f.controlLoad()
	for _, id := range workers {
		f.join(workerInfo(id, 4))
	}
	return f
}

func (f *fixture) controlLoad() {
	f.core.cfg.LoadControl, f.core.cfg.InterruptionLoss = true, 400*time.Millisecond
}

const reportInterval = 250 * time.Millisecond

// work lets time pass. All runs of a worker progress at its rate, in percent in a
// reportInterval; those on workers without a rate stand still.
func (f *fixture) work(d time.Duration, rates map[lwunit.WorkerID]int) {
	for range d / reportInterval {
		f.advance(reportInterval)
		for id := range f.infos {
			for i := range f.lists[id] {
				f.lists[id][i].Progress = min(99, f.lists[id][i].Progress+rates[id])
			}
			f.report(id)
		}
	}
}

// begin submits a job with one task for each of two workers, and returns the starts.
func (f *fixture) begin(job string, spec lwjob.Step) (first, second StartRun) {
	f.t.Helper()
	spec.Count, spec.MaxPerWorker = 2, 1
	f.submit(job, spec)
	a, b := f.startAll("w1"), f.startAll("w2")
	if len(a) != 1 || len(b) != 1 {
		f.t.Fatalf("started %v on w1 and %v on w2, want one each", a, b)
	}
	return a[0], b[0]
}

// slowDown lets w1 take 4 times as long as w2 for tasks of several jobs of 1 s.
func (f *fixture) slowDown(spec lwjob.Step) {
	for _, job := range []string{"s1", "s2", "s3", "s4"} {
		first, second := f.begin(job, spec)
		f.work(time.Second, map[lwunit.WorkerID]int{"w1": 6, "w2": 24})
		f.endRun("w2", second, lwjob.EndDone)
		f.work(3*time.Second, map[lwunit.WorkerID]int{"w1": 6})
		f.endRun("w1", first, lwjob.EndDone)
	}
}

func (f *fixture) slowness(id lwunit.WorkerID) float64 {
	return f.core.workers[f.infos[id].Incarnation].speed.Slowness()
}

func expectSlowness(t *testing.T, f *fixture, id lwunit.WorkerID, least, most float64) {
	t.Helper()
	if got := f.slowness(id); got < least || got > most {
		t.Errorf("worker %s is %.2f times as slow as typical, want %.2f to %.2f", id, got, least, most)
	}
}

func TestWorkerThatIsSlowWhileHealthyIsUsedLess(t *testing.T) {
	spec := tasks(1, 1, time.Second)
	t.Run("with load control", func(t *testing.T) {
		f := newLoadFixture(t, "w1", "w2")
		f.slowDown(spec)
		expectSlowness(t, f, "w1", 2, 6)
		f.submit("next", tasks(3, 1, time.Second))
		expectStarts(t, f.takeStarts("w1"))
		expectStarts(t, f.takeStarts("w2"), "next.0.0.0/1", "next.0.0.1/1", "next.0.0.2/1")
	})
	t.Run("it is given only a part of its capacity when the others are full", func(t *testing.T) {
		f := newLoadFixture(t, "w1", "w2")
		f.slowDown(spec)
		f.submit("next", tasks(8, 1, time.Second))
		expectStarts(t, f.takeStarts("w1"), "next.0.0.4/1")
	})
	t.Run("without load control it is used as before", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.join(workerInfo("w2", 4))
		f.slowDown(spec)
		f.submit("next", tasks(3, 1, time.Second))
		expectStarts(t, f.takeStarts("w1"), "next.0.0.0/1", "next.0.0.2/1")
		if len(f.core.speeds.workers) > 0 {
			t.Error("speeds were learned")
		}
	})
	t.Run("a new leader learns anew", func(t *testing.T) {
		f := newLoadFixture(t, "w1", "w2")
		f.slowDown(spec)
		f.startTerm(testTerm + 1)
		f.controlLoad()
		f.join(f.infos["w1"])
		f.join(f.infos["w2"])
		expectSlowness(t, f, "w1", 0.9, 1.1)
	})
}

func TestLongTaskDoesNotMakeItsWorkerSlow(t *testing.T) {
	f := newLoadFixture(t, "w1", "w2")
	first, second := f.begin("long", tasks(1, 1, time.Second))
	f.work(time.Second, map[lwunit.WorkerID]int{"w1": 4, "w2": 24})
	f.endRun("w2", second, lwjob.EndDone)
	f.work(6*time.Second, map[lwunit.WorkerID]int{"w1": 4})
	f.endRun("w1", first, lwjob.EndDone)
	expectSlowness(t, f, "w1", 0.8, slowFrom)
}

func TestLongTasksThatRunAtATimeDoNotMakeTheirWorkerSlow(t *testing.T) {
	f := newLoadFixture(t, "w1", "w2")
	for _, job := range []string{"a", "b", "c", "d"} {
		first, second := f.begin(job, tasks(1, 1, time.Second))
		f.work(time.Second, map[lwunit.WorkerID]int{"w1": 24, "w2": 24})
		f.endRun("w1", first, lwjob.EndDone)
		f.endRun("w2", second, lwjob.EndDone)
	}
	for _, job := range []string{"long1", "long2"} {
		_, second := f.begin(job, tasks(1, 1, time.Second))
		f.endRun("w2", second, lwjob.EndDone)
	}
	f.work(4*time.Second, map[lwunit.WorkerID]int{"w1": 4})
	expectSlowness(t, f, "w1", 0.8, slowFrom)
}

func TestWrongDeclaredTimesOfOneStepDoNotMakeAWorkerSlow(t *testing.T) {
	f := newLoadFixture(t, "w1")
	f.submit("j", tasks(4, 1, time.Second))
	list := f.startAll("w1")
	f.work(2500*time.Millisecond, map[lwunit.WorkerID]int{"w1": 9})
	for _, s := range list {
		f.endRun("w1", s, lwjob.EndDone)
	}
	expectSlowness(t, f, "w1", 0.8, slowFrom)
}

func TestRunsThatDoNotTellTheSpeed(t *testing.T) {
	filling := tasks(1, 1, time.Second)
	filling.Filling, filling.Checkpointed = true, true
	for _, x := range []struct {
		name   string
		spec   lwjob.Step
		change func(f *fixture, r *run)
	}{
		{"a filling run that was throttled", filling, func(f *fixture, r *run) { f.core.setCPUPercent(r, 50, "test") }},
		{"a filling run that gets few processors", filling, func(_ *fixture, r *run) { r.task.step.maxCPURatio = 1 }},
		{"an adopted run", tasks(1, 1, time.Second), func(_ *fixture, r *run) { r.adopted = true }},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newLoadFixture(t, "w1", "w2")
			for _, job := range []string{"j1", "j2", "j3", "j4", "j5"} {
				first, second := f.begin(job, x.spec)
				x.change(f, f.core.findTask(first.Task).runs[0])
				f.work(time.Second, map[lwunit.WorkerID]int{"w1": 5, "w2": 24})
				f.endRun("w2", second, lwjob.EndDone)
				f.work(3*time.Second, map[lwunit.WorkerID]int{"w1": 5})
				f.endRun("w1", first, lwjob.EndDone)
			}
			expectSlowness(t, f, "w1", 0.8, 1.2)
		})
	}
	t.Run("a resumed run", func(t *testing.T) {
		f := newLoadFixture(t, "w1")
		spec := tasks(1, 1, time.Second)
		spec.Checkpointed = true
		f.submit("j", spec)
		first := f.startAll("w1")[0]
		f.lists["w1"][0].Checkpoint = "c"
		f.report("w1")
		f.endRun("w1", first, lwjob.EndLeaseExpired)
		if r := f.core.findTask(first.Task).runs[0]; f.core.isComparable(r) {
			t.Error("the run counts although it resumes from a checkpoint")
		}
	})
}

func TestWorkerThatHangsIsProbedAndTakenBack(t *testing.T) {
	f := newLoadFixture(t, "w1", "w2")
	for _, job := range []string{"j1", "j2", "j3"} {
		_, second := f.begin(job, tasks(1, 1, time.Second))
		f.work(time.Second, map[lwunit.WorkerID]int{"w2": 24})
		f.endRun("w2", second, lwjob.EndDone)
	}
	f.work(3*time.Second, nil)
	w := f.core.workers[f.infos["w1"].Incarnation]
	if !w.speed.Hung() || w.health.suspicions == 0 {
		t.Fatalf("w1 is not suspected: slowness %.1f", w.speed.Slowness())
	}
	f.submit("more", tasks(8, 1, time.Second))
	expectStarts(t, f.startAll("w1")) // its own runs tell whether it works again
	for i := range f.lists["w1"] {    // it works again
		f.lists["w1"][i].Progress = 99
	}
	for len(f.lists["w1"]) > 0 {
		s := f.lists["w1"][0]
		f.endRun("w1", StartRun{Task: s.Task, Run: s.Run}, lwjob.EndDone)
	}
	taken := false
	for i := range 10 {
		f.work(time.Second, nil)
		f.submit("probe"+string(rune('a'+i)), tasks(1, 4, time.Second))
		for _, s := range f.startAll("w1") {
			f.work(time.Second, map[lwunit.WorkerID]int{"w1": 24})
			f.endRun("w1", s, lwjob.EndDone)
		}
		taken = taken || w.health.suspicions == 0
	}
	if !taken {
		t.Errorf("w1 is not taken back: slowness %.1f, %d suspicions", w.speed.Slowness(), w.health.suspicions)
	}
}

func TestWorkerThatFlapsStaysOnProbes(t *testing.T) {
	f := newLoadFixture(t, "w1")
	f.queue.MaxAttempts = 1
	w := f.core.workers[f.infos["w1"].Incarnation]
	end := func(job string, how lwjob.EndKind) bool {
		f.submit(job, tasks(1, 1, time.Second))
		list := f.startAll("w1")
		if len(list) == 0 {
			return false
		}
		f.endRun("w1", list[0], how)
		return true
	}
	for _, job := range []string{"a", "b", "c"} {
		end(job, lwjob.EndFailed)
	}
	if w.health.suspicions == 0 {
		t.Fatalf("w1 is not suspected at a failure rate of %.2f", w.speed.FailureRate)
	}
	f.work(2*time.Second, nil)
	if !end("d", lwjob.EndDone) || w.health.suspicions == 0 {
		t.Error("one good run takes the worker back")
	}
	if !end("e", lwjob.EndFailed) || end("f", lwjob.EndDone) {
		t.Error("after another failure it is not paused")
	}
}

func TestPausesOfAWorkerThatFlapsGrow(t *testing.T) {
	f := newLoadFixture(t, "w1")
	w := f.core.workers[f.infos["w1"].Incarnation]
	cycle := func() time.Duration {
		f.core.suspect(w, "test")
		pause := w.health.pausedUntil - f.now
		f.core.recordSuccess(w)
		f.core.recordSuccess(w) // a run after that it was taken back
		return pause
	}
	if first, second, third := cycle(), cycle(), cycle(); second != 2*first || third != 2*second {
		t.Errorf("the pauses are %v, %v and %v, want doubled ones", first, second, third)
	}
	f.work(flapMemory, nil)
	if got := cycle(); got != f.core.cfg.SuspicionPause {
		t.Errorf("the pause after a long good time is %v, want the first one", got)
	}
}

func TestWorkerThatWasTakenBackIsFilledByAndBy(t *testing.T) {
	f := newLoadFixture(t, "w1")
	w := f.core.workers[f.infos["w1"].Incarnation]
	f.core.suspect(w, "test")
	f.core.recordSuccess(w)
	f.work(time.Second, nil)
	f.submit("j", tasks(4, 1, time.Hour))
	expectStarts(t, f.startAll("w1"), "j.0.0.0/1", "j.0.0.1/1")
	f.work(time.Second, nil)
	expectStarts(t, f.startAll("w1"), "j.0.0.2/1", "j.0.0.3/1")
}

func TestFailuresOfABadJobAreNotBlamedOnTheWorker(t *testing.T) {
	f := newLoadFixture(t, "w1")
	f.queue.MaxAttempts = 5
	f.submit("bad", tasks(4, 1, time.Second))
	for _, s := range f.startAll("w1") {
		f.endRun("w1", s, lwjob.EndFailed)
	}
	if w := f.core.workers[f.infos["w1"].Incarnation]; w.health.suspicions > 0 {
		t.Errorf("w1 is suspected at a failure rate of %.2f", w.speed.FailureRate)
	}
}
