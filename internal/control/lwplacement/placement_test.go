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

// bench is a core, a state and the time.
type bench struct {
	core *lwplacement.Core
	s    *lwstate.State
	rev  lwunit.Revision
	now  time.Duration
}

func newBench(workers int, teams ...string) *bench {
	b := &bench{core: lwplacement.New(lwplacement.DefaultConfig()), s: lwstate.New()}
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
	b.apply(lwstate.ApplyTicket{Ticket: data})
	for i := range workers {
		b.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{
			ID: worker(i), Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", i%3)), Capacity: lwunit.Resources{Millicores: 8000, Memory: 16 * lwunit.GiB, Accelerators: 1},
		}})
	}
	return b
}

func worker(i int) lwunit.WorkerID { return lwunit.WorkerID(fmt.Sprintf("w%d", i)) }

func (b *bench) apply(c lwstate.Command) lwstate.Result {
	b.rev++
	return b.s.Apply(b.rev, lwunit.Millis(1_000_000).Add(b.now), c)
}

func (b *bench) decide() []lwstate.Command {
	b.now += tick
	cmds := b.core.Decide(b.now, b.s)
	for _, c := range cmds {
		b.apply(c)
	}
	return cmds
}

func (b *bench) submit(is *is.I, id, team string, class lwstate.JobClass, tasks, cores int) {
	is.Helper()
	res := b.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: lwunit.JobID(id), Team: lwunit.TeamName(team), Class: class, Program: id, Tasks: tasks, MaxFailures: 100,
		Needs: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: lwunit.GiB},
	}})
	is.NoErr(res.Err)
}

func (b *bench) held(job string) int { return len(b.s.HeldTasks(lwunit.JobID(job))) }

// report sends an event of every task of a job in the given phase, and shows
// the core ends of attempts.
func (b *bench) report(job string, phase lwstate.TaskPhase, e lwstate.TaskEvent) {
	for _, t := range b.s.TasksOfJob(lwunit.JobID(job)) {
		if t.Phase != phase {
			continue
		}
		b.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: t.ID, Token: t.Token, Event: e}}})
		if e == lwstate.EventFailed || e == lwstate.EventSucceeded {
			b.core.Observe(b.now, b.s, lwplacement.AttemptEnded{Worker: t.Worker, Task: t.ID, Failed: e == lwstate.EventFailed})
		}
	}
}

func TestJobThatCanNeverRunIsToldAndBlocksNobody(t *testing.T) {
	is := is.New(t)
	b := newBench(2, "t")
	b.submit(is, "huge", "t", lwstate.ClassBatch, 1, 9)
	b.submit(is, "small", "t", lwstate.ClassBatch, 1, 1)
	b.decide()
	is.Equal(b.held("small"), 1) // at once
	j, _ := b.s.Job("huge")
	is.Equal(j.Phase, lwstate.JobActive) // a worker that it fits may be registering
	for range 2 * time.Second / tick {
		b.decide()
	}
	j, _ = b.s.Job("huge")
	is.Equal(j.Phase, lwstate.JobUnrunnable)
	is.True(j.Reason != "")
	is.Equal(b.held("small"), 1)
}

func TestJobWaitsForAWorkerThatRegistersLate(t *testing.T) {
	is := is.New(t)
	b := newBench(2, "t")
	b.submit(is, "huge", "t", lwstate.ClassBatch, 1, 9)
	b.decide()
	b.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{ID: "large", Capacity: lwunit.Resources{Millicores: 16000, Memory: 32 * lwunit.GiB}}})
	b.decide()
	is.Equal(b.held("huge"), 1)
}

func TestOversizedHeadBlocksNobodyAndIsNotStarved(t *testing.T) {
	is := is.New(t)
	b := newBench(2, "t")
	b.submit(is, "filler", "t", lwstate.ClassBatch, 4, 3)
	b.decide()
	b.report("filler", lwstate.TaskPlaced, lwstate.EventRunning)
	b.submit(is, "big", "t", lwstate.ClassBatch, 1, 8)
	b.submit(is, "small", "t", lwstate.ClassBatch, 2, 1)
	b.decide()
	is.Equal(b.held("big"), 0)
	is.Equal(b.held("small"), 2)
	// Small jobs keep coming; after a while a worker is kept free for the big one.
	for n := range 3000 {
		if n%10 == 0 {
			b.submit(is, fmt.Sprintf("more-%d", n), "t", lwstate.ClassBatch, 1, 3)
		}
		if n%5 == 0 {
			for _, j := range b.s.Jobs() {
				b.report(string(j.Spec.ID), lwstate.TaskPlaced, lwstate.EventRunning)
				if j.Spec.ID != "big" {
					b.report(string(j.Spec.ID), lwstate.TaskRunning, lwstate.EventSucceeded)
				}
			}
		}
		b.decide()
		if b.held("big") == 1 {
			return
		}
	}
	t.Fatal("the big job never started")
}

func TestUrgentWorkPreemptsBorrowedBatchOnly(t *testing.T) {
	for name, c := range map[string]struct {
		tasks int  // of 4 cores, of team a, whose quota is 8
		room  bool // whether room is made
	}{
		"borrowed":         {6, true},
		"within the quota": {2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := c.tasks / 2
			b := newBench(workers, "a", "b")
			b.submit(is, "batch", "a", lwstate.ClassBatch, c.tasks, 4)
			for range c.tasks {
				b.decide()
				b.report("batch", lwstate.TaskPlaced, lwstate.EventRunning)
			}
			is.Equal(b.held("batch"), c.tasks)
			b.submit(is, "urgent", "b", lwstate.ClassUrgent, 1, 4)
			began := b.now
			for b.now-began < 7500*time.Millisecond && b.held("urgent") == 0 {
				b.decide()
				b.report("batch", lwstate.TaskStopping, lwstate.EventStopped)
			}
			is.Equal(b.held("urgent") == 1, c.room)
		})
	}
}

func TestBadWorkerIsToldFromBadJob(t *testing.T) {
	t.Run("a worker that fails everything is taken out, probed and let back", func(t *testing.T) {
		is := is.New(t)
		b := newBench(1, "t")
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			b.submit(is, id, "t", lwstate.ClassBatch, 1, 1)
			b.decide()
			b.report(id, lwstate.TaskPlaced, lwstate.EventFailed)
			b.apply(lwstate.CancelJob{Job: lwunit.JobID(id)})
		}
		b.decide()
		w, _ := b.s.Worker("w0")
		is.True(w.Suspect != "")
		b.submit(is, "later", "t", lwstate.ClassBatch, 5, 1)
		b.decide()
		is.Equal(b.held("later"), 0)
		b.now += time.Minute
		b.decide()
		b.decide()
		is.Equal(b.held("later"), 1) // one probe
		b.report("later", lwstate.TaskPlaced, lwstate.EventSucceeded)
		b.decide()
		is.Equal(b.held("later"), 4)
	})
	t.Run("a job that fails everywhere does not take workers out", func(t *testing.T) {
		is := is.New(t)
		b := newBench(3, "t")
		b.submit(is, "bad", "t", lwstate.ClassBatch, 6, 1)
		for range 20 {
			b.decide()
			b.report("bad", lwstate.TaskPlaced, lwstate.EventFailed)
		}
		for i := range 3 {
			w, _ := b.s.Worker(worker(i))
			is.Equal(w.Suspect, "")
		}
	})
}

func TestMemoryGrowthIsActedOnBeforeTheWorkerIsFull(t *testing.T) {
	is := is.New(t)
	b := newBench(1, "t")
	b.submit(is, "a", "t", lwstate.ClassBatch, 3, 1)
	b.decide()
	b.report("a", lwstate.TaskPlaced, lwstate.EventRunning)
	for gib := lwunit.Bytes(1); gib <= 6; gib++ {
		b.now += 2 * time.Second
		for _, task := range b.s.HeldTasks("a") {
			b.core.Observe(b.now, b.s, lwplacement.UsageSeen{Task: task.ID, Used: lwunit.Resources{Millicores: 1000, Memory: gib * lwunit.GiB}})
		}
		b.decide()
		if gib*3 < 15 {
			continue
		}
		stopping := 0
		for _, task := range b.s.HeldTasks("a") {
			if task.Phase == lwstate.TaskStopping {
				stopping++
			}
		}
		is.True(stopping >= 1)
		return
	}
}

// TestRandomEventsKeepTheRules draws jobs and ends of attempts: no worker is
// overfilled, and the same input gives the same decisions.
func TestRandomEventsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(quiet{})
		a, twin := newBench(3, "a", "b"), newBench(3, "a", "b")
		for n := range rapid.IntRange(5, 40).Draw(t, "steps") {
			kind := rapid.IntRange(0, 3).Draw(t, "kind")
			job := fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job"))
			class := rapid.SampledFrom([]lwstate.JobClass{lwstate.ClassBatch, lwstate.ClassUrgent}).Draw(t, "class")
			cores := rapid.IntRange(1, 9).Draw(t, "cores")
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			for _, x := range []*bench{a, twin} {
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
				t.Fatal("the same input gave other decisions")
			}
		}
	})
}

// quiet is a testing target for helpers whose checks cannot fail here.
type quiet struct{}

func (quiet) Fail()        {}
func (quiet) FailNow()     {}
func (quiet) Log(...any)   {}
func (quiet) Name() string { return "" }
func (quiet) Helper()      {}
