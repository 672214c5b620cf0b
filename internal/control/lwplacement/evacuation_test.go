package lwplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// setEvacuation carries out the order of an operator who has read the domain's record.
func (f *fixture) setEvacuation(d lwunit.FailureDomain, evacuate bool) {
	f.apply(lwstate.SetEvacuation{Order: lwevacuation.Order{Domain: d, Evacuate: evacuate, Expected: f.s.Evacuations()[d].Revision}})
}

// holdingIn returns how many tasks of a job hold resources on workers of a domain.
func (f *fixture) holdingIn(job string, d lwunit.FailureDomain) int {
	n := 0
	for _, t := range f.s.TasksHoldingResources(lwunit.JobID(job)) {
		if w, _ := f.s.Worker(t.Worker); w.Spec.Domain == d {
			n++
		}
	}
	return n
}

// submitBound submits a job of one task that must run in a domain.
func (f *fixture) submitBound(is *is.I, id, domain string, cores int) {
	is.Helper()
	is.NoErr(f.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: lwunit.JobID(id), Team: "t", Class: lwstate.ClassBatch, Program: id, Tasks: 1, MaxFailures: 1, Domain: domain,
		Needs: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: lwunit.GiB},
	}}).Err)
}

// decideFor decides for a time.
func (f *fixture) decideFor(d time.Duration) {
	for range d / tick {
		f.decide()
	}
}

func (f *fixture) phase(job string) lwstate.JobPhase {
	j, _ := f.s.Job(lwunit.JobID(job))
	return j.Phase
}

func TestNoTaskIsPlacedInEvacuatedDomain(t *testing.T) {
	for _, class := range []lwstate.JobClass{lwstate.ClassBatch, lwstate.ClassUrgent, lwstate.ClassLatencyCritical} {
		t.Run(string(class), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(3, "t") // one worker of 8 cores in each of d0, d1 and d2
			f.setEvacuation("d0", true)
			f.submit(is, "j", "t", class, 24, 1)
			f.decideFor(time.Second)
			is.Equal(f.holding("j"), 16)
			is.Equal(f.holdingIn("j", "d0"), 0)
			f.setEvacuation("d0", false)
			f.decideFor(time.Second)
			is.Equal(f.holdingIn("j", "d0"), 8)
		})
	}
}

// Guards against evictions because of an evacuation: what runs must finish there.
func TestRunningTasksStayInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, "t")
	f.submit(is, "j", "t", lwstate.ClassBatch, 24, 1)
	f.decideFor(time.Second)
	f.report("j", lwstate.TaskPlaced, lwstate.EventRunning)
	f.setEvacuation("d0", true)
	f.decideFor(time.Minute)
	is.Equal(f.holdingIn("j", "d0"), 8)
	for _, task := range f.s.TasksHoldingResources("j") {
		is.Equal(task.Phase, lwstate.TaskRunning)
	}
}

// A job that only an evacuated domain could run must wait for it. To reject it as
// unrunnable would be final.
func TestJobsWaitForEvacuatedDomains(t *testing.T) {
	t.Run("a job bound to the domain", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.setEvacuation("d0", true)
		f.submitBound(is, "bound", "d0", 1)
		f.decideFor(10 * time.Second)
		is.Equal(f.holding("bound"), 0)
		is.Equal(f.phase("bound"), lwstate.JobActive)
		f.setEvacuation("d0", false)
		f.decide()
		is.Equal(f.holding("bound"), 1)
	})
	t.Run("all jobs while all domains are evacuated", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		for _, d := range []lwunit.FailureDomain{"d0", "d1", "d2"} {
			f.setEvacuation(d, true)
		}
		f.submit(is, "j", "t", lwstate.ClassUrgent, 3, 1)
		f.decideFor(10 * time.Second)
		is.Equal(f.holding("j"), 0)
		is.Equal(f.phase("j"), lwstate.JobActive)
		f.setEvacuation("d1", false)
		f.decide()
		is.Equal(f.holdingIn("j", "d1"), 3)
	})
}

// A worker that is kept free for a large job is no use to it once its domain is
// evacuated. Another must be kept free then.
func TestReservationMovesFromEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submit(is, "filler", "t", lwstate.ClassBatch, 2, 5)
	f.decide()
	f.report("filler", lwstate.TaskPlaced, lwstate.EventRunning)
	f.submit(is, "big", "t", lwstate.ClassBatch, 1, 8)
	f.decideFor(6 * time.Minute)
	f.submit(is, "small", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	small := f.s.TasksHoldingResources("small")
	is.Equal(len(small), 1)
	kept := lwunit.FailureDomain("d0") // that of the worker without the small task
	if f.holdingIn("small", "d0") == 1 {
		kept = "d1"
	}
	f.setEvacuation(kept, true)
	f.decideFor(2 * time.Second)
	f.submit(is, "later", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	is.Equal(f.holding("later"), 0) // the only worker that is left is kept free for the large job
}

// Batch tasks were evicted for an urgent job when the domain of their worker is
// evacuated. The job must get room elsewhere, without a wait for the earmark to expire.
func TestEarmarkInEvacuatedDomainIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "a", "b")
	f.submit(is, "batch", "a", lwstate.ClassBatch, 4, 4)
	f.decide()
	f.report("batch", lwstate.TaskPlaced, lwstate.EventRunning)
	is.Equal(f.holding("batch"), 4)
	f.submit(is, "urgent", "b", lwstate.ClassUrgent, 1, 4)
	stopping := func() (domains []lwunit.FailureDomain) {
		for _, task := range f.s.TasksHoldingResources("batch") {
			if w, _ := f.s.Worker(task.Worker); task.Phase == lwstate.TaskStopping {
				domains = append(domains, w.Spec.Domain)
			}
		}
		return domains
	}
	for len(stopping()) == 0 && f.now < 10*time.Second {
		f.decide()
	}
	first := stopping()
	is.Equal(len(first), 1)
	f.setEvacuation(first[0], true)
	f.decideFor(time.Second)
	is.Equal(len(stopping()), 2) // the second one on the other worker
	f.report("batch", lwstate.TaskStopping, lwstate.EventStopped)
	f.decideFor(time.Second)
	is.Equal(f.holding("urgent"), 1)
	is.Equal(f.holdingIn("urgent", first[0]), 0)
}

// A suspect worker must not be probed while its domain is evacuated, but after it.
func TestSuspectWorkerIsNotProbedInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, "t")
	f.makeSuspect(is)
	f.setEvacuation("d0", true)
	f.submit(is, "later", "t", lwstate.ClassBatch, 5, 1)
	f.decideFor(5 * time.Minute)
	is.Equal(f.holding("later"), 0)
	f.setEvacuation("d0", false)
	f.decideFor(time.Second)
	is.Equal(f.holding("later"), 1) // the probe
}

// submitSuspects submits a job whose tasks are queued again after workers have crashed
// under them.
func (f *fixture) submitSuspects(is *is.I, job string, tasks int) {
	is.Helper()
	f.submit(is, job, "t", lwstate.ClassBatch, tasks, 1)
	f.decide()
	f.report(job, lwstate.TaskPlaced, lwstate.EventRunning)
	for _, task := range f.s.TasksHoldingResources(lwunit.JobID(job)) {
		crash := lwstate.AttemptCrash{Worker: task.Worker, Token: task.Token, Age: lwunit.Duration(2 * time.Second), Evidence: 1000}
		is.True(lwblame.Suspicious(lwblame.Weigh([]lwblame.Crash{{Age: crash.Age.Std(), Evidence: crash.Evidence}})))
		lost := lwstate.LostAttempt{Task: task.ID, Crash: crash}
		f.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: task.ID, Token: task.Token, Event: lwstate.EventStopped, Gone: true, Lost: &lost}}})
		requeued, _ := f.s.Task(task.ID)
		is.Equal(requeued.Phase, lwstate.TaskQueued)
		is.Equal(len(requeued.Crashes), 1)
	}
}

// A task that is suspected of crashing workers takes another path to a worker.
func TestSuspectTaskIsNotPlacedInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submitSuspects(is, "j", 1)
	f.setEvacuation("d0", true)
	f.setEvacuation("d1", true)
	f.decideFor(time.Minute)
	is.Equal(f.holding("j"), 0)
	f.setEvacuation("d1", false)
	f.decideFor(time.Second)
	is.Equal(f.holdingIn("j", "d1"), 1)
}

// TestRandomEvacuations draws jobs, ends of attempts and evacuations. No placement may
// name a worker of an evacuated domain, and the same input must give the same decisions.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(discard{})
		a, twin := newFixture(6, "a", "b"), newFixture(6, "a", "b")
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			kind := rapid.IntRange(0, 4).Draw(t, "kind")
			job := fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job"))
			class := rapid.SampledFrom([]lwstate.JobClass{lwstate.ClassBatch, lwstate.ClassUrgent, lwstate.ClassLatencyCritical}).Draw(t, "class")
			cores := rapid.IntRange(1, 8).Draw(t, "cores")
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			domain := lwunit.FailureDomain(fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")))
			evacuate := rapid.Bool().Draw(t, "evacuate")
			for _, x := range []*fixture{a, twin} {
				switch kind {
				case 0, 1:
					x.submit(is, fmt.Sprintf("j%d", n), team, class, 3, cores)
				case 2:
					x.report(job, lwstate.TaskPlaced, lwstate.EventRunning)
					x.report(job, lwstate.TaskStopping, lwstate.EventStopped)
				case 3:
					x.setEvacuation(domain, evacuate)
				default:
					x.report(job, lwstate.TaskRunning, lwstate.EventSucceeded)
				}
				x.now += time.Second // so that stages with longer intervals run too
				for _, c := range x.decide() {
					placements, _ := c.(lwstate.PlaceTasks)
					for _, p := range placements.Placements {
						if w, _ := x.s.Worker(p.Worker); x.s.Evacuations().Evacuated(w.Spec.Domain) {
							t.Fatalf("task %s was placed in evacuated domain %s", p.Task, w.Spec.Domain)
						}
					}
				}
			}
			ha, _ := a.s.Hash()
			hb, _ := twin.s.Hash()
			if ha != hb {
				t.Fatal("the same events led to different states")
			}
		}
	})
}

// waits decides for a time and returns the tasks that were reported as waiting for an
// evacuated domain.
func (f *fixture) waits(d time.Duration) []lwplacement.EvacuationWait {
	f.decideFor(d)
	return f.core.TakeEvacuationWaits()
}

// The log must say of a task that waits for an evacuated domain that this is the cause,
// and must not say so of others.
func TestEvacuationWaits(t *testing.T) {
	t.Run("each task is reported once for each change of the evacuated domains", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.setEvacuation("d0", true)
		f.submit(is, "j", "t", lwstate.ClassBatch, 18, 1)
		waits := f.waits(3 * time.Second)
		is.Equal(len(waits), 2) // 16 tasks have room in d1 and d2
		for _, w := range waits {
			is.Equal(w.Job, lwunit.JobID("j"))
			is.Equal(w.Worker, worker(0))
			is.Equal(w.Domain, lwunit.FailureDomain("d0"))
			task, _ := f.s.Task(w.Task)
			is.Equal(task.Phase, lwstate.TaskQueued)
		}
		is.Equal(len(f.waits(10*time.Second)), 0)
		f.setEvacuation("d1", true)
		is.Equal(len(f.waits(3*time.Second)), 2)
	})
	t.Run("a job bound to the domain", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.setEvacuation("d0", true)
		f.submitBound(is, "bound", "d0", 1)
		is.Equal(len(f.waits(time.Second)), 1)
	})
	t.Run("a job bound to another domain waits for another cause", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.submitBound(is, "filler", "d1", 8)
		f.decide()
		f.setEvacuation("d0", true)
		f.submitBound(is, "bound", "d1", 1)
		is.Equal(len(f.waits(3*time.Second)), 0)
	})
	t.Run("a task that would have no room there either waits for another cause", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.submit(is, "filler", "t", lwstate.ClassBatch, 3, 8)
		f.decide()
		f.setEvacuation("d0", true)
		f.submit(is, "j", "t", lwstate.ClassBatch, 1, 1)
		is.Equal(len(f.waits(3*time.Second)), 0)
	})
	// Two suspects must not start on the same worker within the trial of the first.
	t.Run("a suspect that would have a worker of its own there", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, "t")
		f.submitSuspects(is, "j", 2)
		f.setEvacuation("d0", true)
		is.Equal(len(f.waits(time.Second)), 1)
		is.Equal(f.holdingIn("j", "d1"), 1)
	})
	t.Run("nothing is reported while nothing is evacuated", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.setEvacuation("d0", true)
		f.setEvacuation("d0", false)
		f.submit(is, "j", "t", lwstate.ClassBatch, 30, 1)
		is.Equal(len(f.waits(3*time.Second)), 0)
	})
}
