package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

func fillingTasks(n, cores int, estimate time.Duration) lwjob.Step {
	s := tasks(n, cores, estimate)
	s.Filling, s.Checkpointed, s.Image = true, true, "batch"
	return s
}

// admits asks whether a job of the given steps would be accepted.
func (f *fixture) admits(id string, steps ...lwjob.Step) bool {
	spec := &lwjob.Spec{ID: lwunit.JobID(id), Queue: f.queue.Key, Steps: steps}
	return !f.core.Admit(spec, f.queue).Refused
}

// saturate fills a worker of 8 cores with filling jobs that it works on for 4 s.
func saturate(t *testing.T, admission bool) *fixture {
	f := newFixture(t)
	f.core.cfg.Admission = admission
	f.join(workerInfo("w1", 8))
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f.submit(id, fillingTasks(8, 1, 4*time.Second))
	}
	f.startAll("w1")
	for range 20 {
		f.advance(200 * time.Millisecond)
		f.report("w1")
	}
	return f
}

// A burst of filling jobs on a full worker: those that could end only after their
// objective are refused at submission, and counted if the estimate was wrong.
func TestBurstOfFillingJobs(t *testing.T) {
	t.Run("a job that would be late is refused", func(t *testing.T) {
		if f := saturate(t, true); f.admits("next", fillingTasks(8, 1, 4*time.Second)) {
			t.Error("accepted behind 20 s of work")
		}
	})
	t.Run("but not without admission control", func(t *testing.T) {
		if f := saturate(t, false); !f.admits("next", fillingTasks(8, 1, 4*time.Second)) {
			t.Error("refused")
		}
	})
	t.Run("work with reserved processors is not", func(t *testing.T) {
		if f := saturate(t, true); !f.admits("next", tasks(8, 1, 4*time.Second)) {
			t.Error("refused")
		}
	})
	t.Run("a pool without jobs refuses nothing", func(t *testing.T) {
		f := saturate(t, true)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			f.cancel(id)
		}
		f.advance(200 * time.Millisecond)
		if !f.admits("next", fillingTasks(8, 1, 4*time.Second)) {
			t.Error("refused for work that was cancelled")
		}
	})
	t.Run("a new leader refuses nothing", func(t *testing.T) {
		f := saturate(t, true)
		f.startTerm(testTerm + 1)
		f.core.cfg.Admission = true
		f.join(f.infos["w1"])
		if !f.admits("next", fillingTasks(8, 1, 4*time.Second)) {
			t.Error("refused without a measured rate")
		}
	})
	t.Run("a refusal counts as wrong if there is room in time", func(t *testing.T) {
		f := saturate(t, true)
		f.admits("next", fillingTasks(8, 1, 4*time.Second))
		pool := f.core.fillingPool("press")
		if len(pool.refusals) != 1 {
			t.Fatal("the refusal is not kept")
		}
		pool.pool.Waiting = false
		f.core.findWrongRefusals("press", pool)
		if len(pool.refusals) != 0 {
			t.Error("it still counts as right")
		}
	})
}
