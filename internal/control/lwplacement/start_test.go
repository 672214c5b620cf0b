package lwplacement_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// makeSuspect lets a task of each of three jobs fail on a fixture's only worker.
func (f *fixture) makeSuspect(is *is.I) {
	is.Helper()
	for _, id := range []string{"f0", "f1", "f2"} {
		f.submit(is, id, "t", lwstate.ClassBatch, 1, 1)
		f.decide()
		f.report(id, lwstate.TaskPlaced, lwstate.EventFailed)
		f.apply(lwstate.CancelJob{Job: lwunit.JobID(id)})
	}
	f.decide()
	w, _ := f.s.Worker("w0")
	is.True(w.Suspect != "")
}

// A probe that ends neither well nor badly says nothing about the worker, which must
// then be probed by another task.
func TestProbeIsRepeatedAfterItWasCancelled(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, "t")
	f.makeSuspect(is)
	f.now += time.Minute
	f.submit(is, "probe", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	f.decide()
	is.Equal(f.holding("probe"), 1)
	f.apply(lwstate.CancelJob{Job: "probe"})
	f.report("probe", lwstate.TaskStopping, lwstate.EventStopped)
	is.Equal(f.holding("probe"), 0)
	f.submit(is, "next", "t", lwstate.ClassBatch, 2, 1)
	f.decide()
	f.decide()
	is.Equal(f.holding("next"), 1) // one task: the next probe
}

// Tasks that are placed in one round spread over the failure domains too.
func TestTasksOfOneRoundSpreadOverDomains(t *testing.T) {
	is := is.New(t)
	f := newFixture(9, "t") // three workers in each of three domains
	f.submit(is, "proofs", "t", lwstate.ClassLatencyCritical, 6, 1)
	f.decide()
	perDomain := make(map[lwunit.FailureDomain]int)
	for _, task := range f.s.TasksHoldingResources("proofs") {
		w, _ := f.s.Worker(task.Worker)
		perDomain[w.Spec.Domain]++
	}
	for domain, n := range perDomain {
		if n != 2 {
			t.Errorf("%d of 6 tasks are in domain %s, want 2", n, domain)
		}
	}
}

// The memory that an attempt used before it was stopped does not count for the next
// attempt, which would be stopped for it at once.
func TestUseOfStoppedAttemptDoesNotCount(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, "t")
	f.submit(is, "a", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	f.report("a", lwstate.TaskPlaced, lwstate.EventRunning)
	observe := func(memory lwunit.Bytes) {
		f.now += 2 * time.Second
		task := f.s.TasksHoldingResources("a")[0]
		f.core.Observe(f.now, f.s, lwplacement.UsageSample{Task: task.ID, Used: lwunit.Resources{Millicores: 1000, Memory: memory}})
		f.decide()
	}
	observe(8 * lwunit.GiB)
	observe(16 * lwunit.GiB)
	is.Equal(f.s.TasksHoldingResources("a")[0].Phase, lwstate.TaskStopping) // it uses all memory
	f.report("a", lwstate.TaskStopping, lwstate.EventStopped)
	f.decide()
	f.report("a", lwstate.TaskPlaced, lwstate.EventRunning)
	for range 5 {
		f.now += 2 * time.Second
		f.decide()
		is.Equal(f.s.TasksHoldingResources("a")[0].Phase, lwstate.TaskRunning)
	}
}

// A worker that is kept free for a large job is no use to it once it drains. Another
// must be kept free then.
func TestReservationMovesFromDrainedWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submit(is, "filler", "t", lwstate.ClassBatch, 2, 5)
	f.decide()
	f.report("filler", lwstate.TaskPlaced, lwstate.EventRunning)
	f.submit(is, "big", "t", lwstate.ClassBatch, 1, 8)
	for range 6 * time.Minute / tick {
		f.decide()
	}
	f.submit(is, "small", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	small := f.s.TasksHoldingResources("small")
	is.Equal(len(small), 1)
	other := small[0].Worker // the other worker is kept free
	kept := worker(0)
	if other == kept {
		kept = worker(1)
	}
	f.apply(lwstate.DrainWorker{Worker: kept, Drain: true})
	for range 10 {
		f.decide()
	}
	f.submit(is, "later", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	is.Equal(f.holding("later"), 0) // the only worker that is left is kept free for the large job
}

// The reason why a job can never run speaks of the workers that it may use.
func TestReasonOfJobBoundToDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t") // 8 cores each, in d0 and d1
	f.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{
		ID: "large", Domain: "d2", Capacity: lwunit.Resources{Millicores: 64000, Memory: 64 * lwunit.GiB},
	}})
	res := f.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: "bound", Team: "t", Class: lwstate.ClassBatch, Program: "p", Tasks: 1, MaxFailures: 1, Domain: "d0",
		Needs: lwunit.Resources{Millicores: 16000, Memory: lwunit.GiB},
	}})
	is.NoErr(res.Err)
	for range 3 * time.Second / tick {
		f.decide()
	}
	j, _ := f.s.Job("bound")
	is.Equal(j.Phase, lwstate.JobUnrunnable)
	is.True(strings.Contains(j.Reason, "d0"))
	is.True(strings.Contains(j.Reason, "8000"))   // the largest amount in its domain
	is.True(!strings.Contains(j.Reason, "64000")) // not that of another domain
}
