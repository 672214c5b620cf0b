package lwplacement_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

const tick = 200 * time.Millisecond

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// fixture is a core, the state that it decides on and the time.
type fixture struct {
	core *lwplacement.Core
	s    *lwstate.State
	rev  lwunit.Revision
	now  time.Duration
}

func newFixture(workers int, teams ...string) *fixture {
	f := &fixture{core: lwplacement.New(lwplacement.DefaultConfig()), s: lwstate.New()}
	objects := `{"kind": "service", "name": "s", "spec": {"team": "t"}}`
	for _, t := range teams {
		objects += fmt.Sprintf(`, {"kind": "team", "name": %q, "spec": {"quota": {"millicores": 8000, "memory": "16GiB", "accelerators": 1}}}`, t)
	}
	t, err := lwticket.Decode(fmt.Appendf(nil, `{"number": 1, "author": "test", "objects": [%s]}`, objects))
	if err != nil {
		panic(err)
	}
	data, err := t.Canonical()
	if err != nil {
		panic(err)
	}
	f.apply(lwstate.ApplyTicket{Ticket: data})
	for i := range workers {
		f.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{
			ID: worker(i), Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", i%3)), Capacity: lwunit.Resources{Millicores: 8000, Memory: 16 * lwunit.GiB, Accelerators: 1},
		}})
	}
	return f
}

func worker(i int) lwunit.WorkerID { return lwunit.WorkerID(fmt.Sprintf("w%d", i)) }

func (f *fixture) apply(c lwstate.Command) lwstate.Result {
	f.rev++
	return f.s.Apply(f.rev, lwunit.Millis(1_000_000).Add(f.now), c)
}

func (f *fixture) decide() []lwstate.Command {
	f.now += tick
	cmds := f.core.Decide(f.now, f.s)
	for _, c := range cmds {
		f.apply(c)
	}
	return cmds
}

func (f *fixture) submit(is *is.I, id, team string, class lwstate.JobClass, tasks, cores int) {
	is.Helper()
	res := f.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: lwunit.JobID(id), Team: lwunit.TeamName(team), Class: class, Program: id, Tasks: tasks, MaxFailures: 100,
		Needs: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: lwunit.GiB},
	}})
	is.NoErr(res.Err)
}

// holding returns how many tasks of a job hold resources.
func (f *fixture) holding(job string) int { return len(f.s.TasksHoldingResources(lwunit.JobID(job))) }

// report applies an event to every task of a job in the given phase, and reports
// the ends of attempts to the core.
func (f *fixture) report(job string, phase lwstate.TaskPhase, e lwstate.TaskEvent) {
	for _, t := range f.s.TasksOfJob(lwunit.JobID(job)) {
		if t.Phase != phase {
			continue
		}
		f.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: t.ID, Token: t.Token, Event: e}}})
		if e == lwstate.EventFailed || e == lwstate.EventSucceeded {
			f.core.Observe(f.now, f.s, lwplacement.AttemptEnded{Worker: t.Worker, Task: t.ID, Failed: e == lwstate.EventFailed})
		}
	}
}

func TestUnrunnableJobIsRejectedAndBlocksNoOther(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submit(is, "huge", "t", lwstate.ClassBatch, 1, 9)
	f.submit(is, "small", "t", lwstate.ClassBatch, 1, 1)
	f.decide()
	is.Equal(f.holding("small"), 1) // starts at once
	j, _ := f.s.Job("huge")
	is.Equal(j.Phase, lwstate.JobActive) // a worker that it fits may still be registering
	for range 2 * time.Second / tick {
		f.decide()
	}
	j, _ = f.s.Job("huge")
	is.Equal(j.Phase, lwstate.JobUnrunnable)
	is.True(j.Reason != "")
	is.Equal(f.holding("small"), 1)
}

func TestJobWaitsForAWorkerThatRegistersLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submit(is, "huge", "t", lwstate.ClassBatch, 1, 9)
	f.decide()
	f.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{ID: "large", Capacity: lwunit.Resources{Millicores: 16000, Memory: 32 * lwunit.GiB}}})
	f.decide()
	is.Equal(f.holding("huge"), 1)
}

func TestOversizedJobBlocksNoOtherAndIsNotStarved(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, "t")
	f.submit(is, "filler", "t", lwstate.ClassBatch, 4, 3)
	f.decide()
	f.report("filler", lwstate.TaskPlaced, lwstate.EventRunning)
	f.submit(is, "big", "t", lwstate.ClassBatch, 1, 8)
	f.submit(is, "small", "t", lwstate.ClassBatch, 2, 1)
	f.decide()
	is.Equal(f.holding("big"), 0)
	is.Equal(f.holding("small"), 2)
	// More small jobs arrive; after ReserveWorkerAfter a worker is kept free for big.
	for n := range 3000 {
		if n%10 == 0 {
			f.submit(is, fmt.Sprintf("more-%d", n), "t", lwstate.ClassBatch, 1, 3)
		}
		if n%5 == 0 {
			for _, j := range f.s.Jobs() {
				f.report(string(j.Spec.ID), lwstate.TaskPlaced, lwstate.EventRunning)
				if j.Spec.ID != "big" {
					f.report(string(j.Spec.ID), lwstate.TaskRunning, lwstate.EventSucceeded)
				}
			}
		}
		f.decide()
		if f.holding("big") == 1 {
			return
		}
	}
	t.Fatal("the big job never started")
}

func TestUrgentWorkPreemptsBorrowedBatchOnly(t *testing.T) {
	for name, c := range map[string]struct {
		tasks   int  // of 4 cores each, of team a, whose quota is 8 cores
		preempt bool // whether the urgent job gets room
	}{
		"borrowed":         {6, true},
		"within the quota": {2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := c.tasks / 2
			f := newFixture(workers, "a", "b")
			f.submit(is, "batch", "a", lwstate.ClassBatch, c.tasks, 4)
			for range c.tasks {
				f.decide()
				f.report("batch", lwstate.TaskPlaced, lwstate.EventRunning)
			}
			is.Equal(f.holding("batch"), c.tasks)
			f.submit(is, "urgent", "b", lwstate.ClassUrgent, 1, 4)
			began := f.now
			for f.now-began < 7500*time.Millisecond && f.holding("urgent") == 0 {
				f.decide()
				f.report("batch", lwstate.TaskStopping, lwstate.EventStopped)
			}
			is.Equal(f.holding("urgent") == 1, c.preempt)
		})
	}
}

func TestBadWorkerIsDistinguishedFromBadJob(t *testing.T) {
	t.Run("a worker on which all jobs fail is suspect until a probe succeeds", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, "t")
		f.makeSuspect(is)
		f.submit(is, "later", "t", lwstate.ClassBatch, 5, 1)
		f.decide()
		is.Equal(f.holding("later"), 0)
		f.now += time.Minute
		f.decide()
		f.decide()
		is.Equal(f.holding("later"), 1) // the probe
		f.report("later", lwstate.TaskPlaced, lwstate.EventSucceeded)
		f.decide()
		is.Equal(f.holding("later"), 4)
	})
	t.Run("a job that fails on all workers makes none of them suspect", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3, "t")
		f.submit(is, "bad", "t", lwstate.ClassBatch, 6, 1)
		for range 20 {
			f.decide()
			f.report("bad", lwstate.TaskPlaced, lwstate.EventFailed)
		}
		for i := range 3 {
			w, _ := f.s.Worker(worker(i))
			is.Equal(w.Suspect, "")
		}
	})
}

func TestGrowingTaskIsStoppedBeforeMemoryIsFull(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, "t")
	f.submit(is, "a", "t", lwstate.ClassBatch, 3, 1)
	f.decide()
	f.report("a", lwstate.TaskPlaced, lwstate.EventRunning)
	for gib := lwunit.Bytes(1); gib <= 6; gib++ {
		f.now += 2 * time.Second
		for _, task := range f.s.TasksHoldingResources("a") {
			f.core.Observe(f.now, f.s, lwplacement.UsageSample{Task: task.ID, Used: lwunit.Resources{Millicores: 1000, Memory: gib * lwunit.GiB}})
		}
		f.decide()
		if gib*3 < 15 {
			continue
		}
		stopping := 0
		for _, task := range f.s.TasksHoldingResources("a") {
			if task.Phase == lwstate.TaskStopping {
				stopping++
			}
		}
		is.True(stopping >= 1)
		return
	}
}

// TestRandomEventsKeepInvariants draws jobs and ends of attempts. No worker may be
// overfilled, and the same input must give the same decisions.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(discard{})
		a, twin := newFixture(3, "a", "b"), newFixture(3, "a", "b")
		for n := range rapid.IntRange(5, 40).Draw(t, "steps") {
			kind := rapid.IntRange(0, 3).Draw(t, "kind")
			job := fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job"))
			class := rapid.SampledFrom([]lwstate.JobClass{lwstate.ClassBatch, lwstate.ClassUrgent}).Draw(t, "class")
			cores := rapid.IntRange(1, 9).Draw(t, "cores")
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			for _, x := range []*fixture{a, twin} {
				switch kind {
				case 0, 1:
					x.submit(is, fmt.Sprintf("j%d", n), team, class, 2, cores)
				case 2:
					x.report(job, lwstate.TaskPlaced, lwstate.EventRunning)
					x.report(job, lwstate.TaskStopping, lwstate.EventStopped)
				default:
					x.report(job, lwstate.TaskRunning, lwstate.EventSucceeded)
				}
				x.decide()
			}
			for i := range 3 {
				if a.s.Free(worker(i)).Negative() {
					t.Fatalf("worker %d is overfilled", i)
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

// discard is a test target that ignores failed checks: submitted jobs are valid.
type discard struct{}

func (discard) Fail()        {}
func (discard) FailNow()     {}
func (discard) Log(...any)   {}
func (discard) Name() string { return "" }
func (discard) Helper()      {}
