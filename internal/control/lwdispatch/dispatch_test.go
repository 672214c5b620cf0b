package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

func TestStepsRunInOrder(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j1", tasks(2, 1, time.Second), tasks(1, 1, time.Second, 0))
	list := f.startAll("w1")
	expectStarts(t, list, "j1.0.0.0/1", "j1.0.0.1/1")
	f.endRun("w1", list[0], lwjob.EndDone)
	expectStarts(t, f.takeStarts("w1"))
	f.endRun("w1", list[1], lwjob.EndDone)
	expectStarts(t, f.takeStarts("w1"), "j1.0.1.0/1")
}

func TestStoppingRunsKeepTheirCapacity(t *testing.T) {
	t.Run("a run that is stopping", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("big", tasks(1, 4, time.Second))
		list := f.startAll("w1")
		f.cancel("big")
		f.submit("next", tasks(1, 4, time.Second))
		expectStarts(t, f.takeStarts("w1"))
		f.endRun("w1", list[0], lwjob.EndStopped)
		expectStarts(t, f.takeStarts("w1"), "next.0.0.0/1")
	})
	t.Run("a run of a cancelled job that a new leader finds", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("big", tasks(1, 4, time.Second))
		list := f.startAll("w1")
		f.cancel("big")
		f.startTerm(testTerm + 1)
		f.join(f.infos["w1"])
		f.submit("next", tasks(1, 4, time.Second))
		expectStarts(t, f.takeStarts("w1"))
		f.endRun("w1", list[0], lwjob.EndStopped)
		expectStarts(t, f.takeStarts("w1"), "next.0.0.0/1")
	})
	t.Run("a run of an unknown job", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.lists["w1"] = []RunStatus{{Task: "gone.0.0.0", Run: 1}}
		f.report("w1")
		f.submit("next", tasks(1, 1, time.Second))
		expectStarts(t, f.takeStarts("w1"))
		f.lists["w1"] = nil
		f.report("w1")
		expectStarts(t, f.takeStarts("w1"), "next.0.0.0/1")
	})
}

func TestNewLeaderWaitsForOldTasks(t *testing.T) {
	before := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.join(workerInfo("w2", 4))
		f.submit("old", tasks(1, 1, time.Second))
		f.takeStarts("w1")
		f.takeStarts("w2")
		f.startTerm(testTerm + 1)
		return f
	}
	t.Run("until every worker has reported its lists", func(t *testing.T) {
		f := before(t)
		f.join(f.infos["w1"])
		expectStarts(t, f.takeStarts("w1"))
		f.join(f.infos["w2"])
		if got := len(f.takeStarts("w1")) + len(f.takeStarts("w2")); got != 1 {
			t.Errorf("%d starts once both have reported, want 1", got)
		}
	})
	t.Run("or its lease has expired", func(t *testing.T) {
		f := before(t)
		f.join(f.infos["w1"])
		for range 50 {
			f.report("w1")
			f.advance(100 * time.Millisecond)
		}
		expectStarts(t, f.takeStarts("w1"), "old.0.0.0/65537")
	})
	t.Run("a worker that reports without its lists just before its lease expires stays on the roster and delays old tasks", func(t *testing.T) {
		f := before(t)
		f.join(f.infos["w1"])
		for range 40 {
			f.report("w1")
			f.advance(100 * time.Millisecond)
		}
		for range 10 { // its lease is renewed, but its lists were not read under the new token
			f.core.Report(Report{Info: f.infos["w2"]})
			f.report("w1")
			f.advance(100 * time.Millisecond)
		}
		expectStarts(t, f.takeStarts("w1"))
		if n := len(f.table.Roster()); n != 2 {
			t.Errorf("%d incarnations on the roster, want 2", n)
		}
		f.join(f.infos["w2"])
		if got := len(f.takeStarts("w1")) + len(f.takeStarts("w2")); got != 1 {
			t.Errorf("%d starts once both have reported, want 1", got)
		}
	})
	t.Run("or a newer incarnation reports from the same agent", func(t *testing.T) {
		f := before(t)
		f.join(f.infos["w1"])
		next := f.infos["w2"]
		next.Incarnation.Worker, next.Incarnation.StartedAt = "w2b", 2
		f.join(next)
		if got := len(f.takeStarts("w1")) + len(f.takeStarts("w2b")); got != 1 {
			t.Errorf("%d starts after the newer incarnation has reported, want 1", got)
		}
	})
	t.Run("new jobs do not wait", func(t *testing.T) {
		f := before(t)
		f.join(f.infos["w1"])
		f.submit("new", tasks(1, 1, time.Second))
		expectStarts(t, f.takeStarts("w1"), "new.0.0.0/1")
	})
	t.Run("a run that a worker lists is adopted", func(t *testing.T) {
		f := before(t)
		f.lists["w2"] = []RunStatus{{Task: "old.0.0.0", Run: 1}}
		f.join(f.infos["w1"])
		f.join(f.infos["w2"])
		expectStarts(t, f.takeStarts("w1"))
		expectStarts(t, f.takeStarts("w2"))
		f.endRun("w2", StartRun{Task: "old.0.0.0", Run: 1}, lwjob.EndDone)
		if got := f.table.Job("old").State; got != lwjob.Completed {
			t.Errorf("the job is %s, want completed", got)
		}
	})
}

func TestLostWorker(t *testing.T) {
	start := func(t *testing.T) (*fixture, StartRun) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, 30*time.Second))
		list := f.startAll("w1")
		f.join(workerInfo("w2", 4))
		return f, list[0]
	}
	t.Run("its tasks are restarted after its lease has expired", func(t *testing.T) {
		f, _ := start(t)
		for range 38 {
			f.report("w2")
			f.advance(100 * time.Millisecond)
		}
		expectStarts(t, f.takeStarts("w2"))
		for range 10 {
			f.report("w2")
			f.advance(100 * time.Millisecond)
		}
		expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
	})
	t.Run("a newer incarnation with the same agent replaces it at once", func(t *testing.T) {
		f, _ := start(t)
		next := f.infos["w1"]
		next.Incarnation.Worker, next.Incarnation.StartedAt = "w1b", 2
		f.lists["w1b"] = nil
		f.join(next)
		if got := append(f.takeStarts("w2"), f.takeStarts("w1b")...); len(got) != 1 || got[0].Run != 2 {
			t.Errorf("started %v, want run 2 once", got)
		}
	})
	t.Run("it is removed at once when its process has ended", func(t *testing.T) {
		f, _ := start(t)
		f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true})
		f.step()
		expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
		f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true})
		f.step()
		if n := len(f.core.workers); n != 1 {
			t.Errorf("%d workers are known, want the other one", n)
		}
	})
	t.Run("a worker that is removed and reports again at once stays on the roster", func(t *testing.T) {
		f, _ := start(t)
		info := f.infos["w1"]
		f.core.Report(Report{Info: info, ProcessEnded: true, Answered: true})
		f.core.Report(Report{Info: info})
		out := f.core.TakeEffects()
		if len(out.Dismiss) != 0 || len(out.Enrol) != 1 {
			t.Errorf("dismissed %v, enrolled %v; want only the worker enrolled", out.Dismiss, out.Enrol)
		}
	})
	t.Run("the lease of a worker that does not answer its agent is not renewed", func(t *testing.T) {
		f, _ := start(t)
		for range 45 {
			f.core.Report(Report{Info: f.infos["w1"], Unresponsive: true})
			f.report("w2")
			f.advance(100 * time.Millisecond)
		}
		expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
	})
}

func TestAttempts(t *testing.T) {
	t.Run("a task that fails max_attempts times fails its job", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, time.Second))
		f.endRun("w1", f.startAll("w1")[0], lwjob.EndFailed)
		second := f.startAll("w1")
		expectStarts(t, second, "j.0.0.0/2")
		f.endRun("w1", second[0], lwjob.EndFailed)
		expectStarts(t, f.takeStarts("w1"))
		if got := f.table.Job("j").State; got != lwjob.Failed {
			t.Errorf("the job is %s, want failed", got)
		}
	})
	t.Run("an end that is reported again to a new leader counts once", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, time.Second))
		failed := f.startAll("w1")[0]
		f.endRun("w1", failed, lwjob.EndFailed)
		f.takeStarts("w1")
		f.startTerm(testTerm + 1)
		f.lastEnd["w1"] = 0 // the worker still lists it
		f.core.Report(Report{Info: f.infos["w1"]})
		f.step()
		f.report("w1", lwjob.End{Task: failed.Task, Run: failed.Run, How: lwjob.EndFailed})
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/65537")
	})
	t.Run("long-running tasks have no limit of attempts", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		s := tasks(1, 1, 0)
		s.LongRunning = true
		f.submit("j", s)
		for range 5 {
			f.endRun("w1", f.startAll("w1")[0], lwjob.EndFailed)
		}
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/6")
	})
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Second))
	s := f.takeStarts("w1")[0]
	f.core.Report(Report{Info: f.infos["w1"], Token: tokenOf(testTerm) + 1, Refused: []Refusal{{Task: s.Task, Run: s.Run, Reason: RefusedLeaseExpired}}})
	f.step()
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/2")
}

// A job is pending until a worker lists a run of it: a start order may be lost or
// refused.
func TestJobIsPendingUntilListed(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Second))
	expectPending(t, f, 1) // ordered, but not listed by the worker
	f.startAll("w1")
	expectPending(t, f, 0)
}

func expectPending(t *testing.T, f *fixture, want int) {
	t.Helper()
	if got := f.core.PendingJobs(f.queue.Key); got != want {
		t.Errorf("%d jobs are pending, want %d", got, want)
	}
}

func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	info := f.infos["w1"]
	info.Draining = true
	f.infos["w1"] = info
	f.report("w1")
	f.submit("j", tasks(1, 1, time.Second))
	expectStarts(t, f.takeStarts("w1"))
}

func TestGang(t *testing.T) {
	gang := tasks(3, 2, time.Second)
	gang.Gang = true
	t.Run("all members are started or none", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", gang)
		expectStarts(t, f.takeStarts("w1"))
		f.join(workerInfo("w2", 4))
		if got := len(f.takeStarts("w1")) + len(f.takeStarts("w2")); got != 3 {
			t.Errorf("%d members started, want 3", got)
		}
	})
	t.Run("it ends when one member ends", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 8))
		f.submit("j", gang)
		f.endRun("w1", f.startAll("w1")[0], lwjob.EndDone)
		if got := f.table.Job("j").State; got != lwjob.Completed {
			t.Errorf("the job is %s, want completed", got)
		}
	})
}

func TestRecurringJob(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	j := lwjob.Job{
		Spec:  lwjob.Spec{ID: "j", Queue: f.queue.Key, Steps: []lwjob.Step{tasks(1, 1, time.Second)}, Repeats: 2, First: f.wallClock + 1000, Interval: 500},
		Queue: f.queue, Term: testTerm,
	}
	f.table.Accept(j)
	f.core.JobAccepted(f.table.Job("j"))
	f.advance(900 * time.Millisecond)
	expectStarts(t, f.takeStarts("w1"))
	f.advance(110 * time.Millisecond)
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.advance(500 * time.Millisecond)
	expectStarts(t, f.takeStarts("w1"), "j.1.0.0/1")
}

func TestFillingIsThrottledNearTailTarget(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	serving := tasks(1, 2, 0)
	serving.LongRunning, serving.TailTarget = true, f.queue.TargetLatency
	filling := tasks(1, 4, 30*time.Second)
	filling.Filling = true
	f.submit("serve", serving)
	f.submit("fill", filling)
	f.startAll("w1")
	f.lists["w1"][0].Gauge = 240 // of a target of 250 ms
	f.advance(time.Second)
	f.report("w1")
	var percents []int
	for _, o := range f.pendingOrders["w1"] {
		if p, ok := o.(LimitRunCPU); ok && p.Task == "fill.0.0.0" {
			percents = append(percents, p.CPUPercent)
		}
	}
	if len(percents) != 1 || percents[0] >= fullPercent {
		t.Errorf("CPU shares %v were ordered, want one below 100 percent", percents)
	}
}

// A report that timed out at its agent may arrive after the next one.
func TestReportsOutOfOrder(t *testing.T) {
	late := func(f *fixture, running []RunStatus) Report {
		f.clock++
		token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
		return Report{Info: f.infos["w1"], Token: token, Complete: true, Running: running, Clock: f.clock}
	}
	t.Run("a run that has ended is not adopted again", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, time.Second))
		s := f.startAll("w1")[0]
		old := late(f, f.lists["w1"])
		f.endRun("w1", s, lwjob.EndLeaseExpired)
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/2")
		f.core.Report(old)
		f.step()
		if n := len(f.core.workers[f.infos["w1"].Incarnation].runs); n != 1 {
			t.Errorf("%d runs are counted, want only the new one", n)
		}
	})
	t.Run("a run that began after the older report is kept", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		old := late(f, nil)
		f.submit("j", tasks(1, 1, time.Second))
		f.startAll("w1")
		f.core.Report(old)
		f.step()
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("a task whose run is no longer listed is started again", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 4))
		f.submit("j", tasks(1, 1, time.Second))
		f.startAll("w1")
		f.lists["w1"] = nil
		f.report("w1")
		if stops := ordered[StopRun](f, "w1"); len(stops) != 1 || stops[0].Task != "j.0.0.0" {
			t.Errorf("stops of %v were ordered, want one of j.0.0.0", stops)
		}
		expectStarts(t, f.takeStarts("w1"))
		f.refuse("w1", "j.0.0.0", 1, RefusedStopped)
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/2")
	})
}

// A job must not be left without any run because other filling work uses all idle
// processors, while much capacity is unreserved.
func TestStarvedJobGetsARun(t *testing.T) {
	filling := func(n int) lwjob.Step {
		s := tasks(n, 4, 30*time.Second)
		s.Filling = true
		return s
	}
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	f.submit("first", filling(2))
	f.submit("second", filling(3))
	expectStarts(t, f.startAll("w1"), "first.0.0.0/1", "first.0.0.1/1")
	f.advance(1100 * time.Millisecond)
	expectStarts(t, f.takeStarts("w1"), "second.0.0.0/1")
}

// A tail latency that stays over its target pauses all filling work on the worker,
// and no more is placed there.
func TestFillingIsPausedOverTailTarget(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 16))
	serving := tasks(1, 2, 0)
	serving.LongRunning, serving.TailTarget, serving.Image = true, f.queue.TargetLatency, "web"
	f.submit("serve", serving)
	for _, image := range []string{"a", "b"} {
		s := tasks(1, 1, 60*time.Second)
		s.Filling, s.Image = true, image
		f.submit("fill-"+image, s)
	}
	f.startAll("w1")
	f.lists["w1"][0].Gauge = 260
	for range 6 {
		f.advance(400 * time.Millisecond)
		f.report("w1")
	}
	percents := make(map[string]int)
	for _, o := range f.pendingOrders["w1"] {
		if p, ok := o.(LimitRunCPU); ok {
			percents[string(p.Task)] = p.CPUPercent
		}
	}
	if percents["fill-a.0.0.0"] != 0 || percents["fill-b.0.0.0"] != 0 || len(percents) != 2 {
		t.Errorf("CPU shares are %v, want 0 for both tasks", percents)
	}
	s := tasks(1, 1, time.Second)
	s.Filling = true
	f.takeStarts("w1")
	f.submit("more", s)
	expectStarts(t, f.takeStarts("w1"))
}

// Under overload a job that is nearly done goes before a new one of the same size,
// since its remaining work completes a job at lower cost.
func TestOverloadPrefersNearlyDoneJobs(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	fill := func(n int, depends ...int) lwjob.Step {
		s := tasks(n, 4, time.Second, depends...)
		s.Filling = true
		return s
	}
	f.submit("old", fill(1), fill(1, 0))
	first := f.startAll("w1")
	expectStarts(t, first, "old.0.0.0/1")
	f.advance(time.Second)
	f.submit("new", fill(1), fill(1, 0))
	f.endRun("w1", first[0], lwjob.EndDone)
	expectStarts(t, f.takeStarts("w1"), "old.0.1.0/1")
}

// Under overload a late job that still has value goes before one that is so late that
// it has none, although the latter has more value for its work.
func TestOverloadStartsWorthlessJobsLast(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 1))
	f.submit("runs", tasks(1, 1, time.Second))
	s := f.startAll("w1")[0]
	f.submit("worthless", tasks(1, 1, 500*time.Millisecond))
	f.advance(4 * time.Second) // over three times its objective of one second
	f.report("w1")
	f.submit("late", tasks(1, 1, time.Second))
	f.advance(2 * time.Second) // its objective is 1.75 s
	f.cancel("runs")
	f.endRun("w1", s, lwjob.EndStopped)
	expectStarts(t, f.takeStarts("w1"), "late.0.0.0/1")
}

func TestAdvice(t *testing.T) {
	advised := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.queue.Advice = &lwconfig.Advice{CallTime: 1, TimePerWorker: 1, TicketLifetime: lwunit.Duration(3 * time.Second)}
		f.join(workerInfo("w1", 4))
		f.join(workerInfo("w2", 4))
		return f
	}
	takeQuestion := func(t *testing.T, f *fixture) Question {
		t.Helper()
		if len(f.questions) != 1 {
			t.Fatalf("questions %v, want one", f.questions)
		}
		q := f.questions[0]
		f.questions = nil
		return q
	}
	answer := func(f *fixture, q Question, admitted ...AdmissionTicket) {
		f.core.Advance(f.now, f.wallClock)
		f.core.AdviceReceived(q, admitted, f.now)
		f.step()
	}
	t.Run("only admitted workers are given tasks, with their ticket", func(t *testing.T) {
		f := advised(t)
		f.submit("j", tasks(2, 1, time.Second))
		q := takeQuestion(t, f)
		if q.Step != "j.0.0" || len(q.Workers) != 2 {
			t.Errorf("question %+v, want one about step j.0.0 and both workers", q)
		}
		expectStarts(t, append(f.takeStarts("w1"), f.takeStarts("w2")...))
		answer(f, q, AdmissionTicket{"w2", "pass"})
		expectStarts(t, f.takeStarts("w1"))
		list := f.takeStarts("w2")
		expectStarts(t, list, "j.0.0.0/1", "j.0.0.1/1")
		if list[0].Ticket != "pass" {
			t.Errorf("started with ticket %q, want the one of the admission", list[0].Ticket)
		}
	})
	t.Run("no second question while one is open", func(t *testing.T) {
		f := advised(t)
		f.submit("j", tasks(2, 1, time.Second))
		takeQuestion(t, f)
		f.step()
		if len(f.questions) != 0 {
			t.Errorf("questions %v while the first one is open", f.questions)
		}
	})
	t.Run("an expired ticket is not used", func(t *testing.T) {
		f := advised(t)
		f.submit("j", tasks(1, 1, time.Second), tasks(1, 1, time.Second, 0))
		answer(f, takeQuestion(t, f), AdmissionTicket{"w1", "a"})
		list := f.startAll("w1")
		for range 30 {
			f.report("w1")
			f.report("w2")
			f.advance(100 * time.Millisecond)
		}
		f.endRun("w1", list[0], lwjob.EndFailed)
		expectStarts(t, f.takeStarts("w1"))
		takeQuestion(t, f)
	})
	t.Run("a question without an answer is asked again", func(t *testing.T) {
		f := advised(t)
		f.submit("j", tasks(1, 1, time.Second))
		f.core.AdviceFailed(takeQuestion(t, f))
		f.advance(300 * time.Millisecond)
		takeQuestion(t, f)
	})
}

// After a change of the leader while some agents cannot report, serving tasks that
// cannot be running on their workers must be restarted without waiting for the leases
// of these workers.
func TestNewLeaderRestartsServingTasks(t *testing.T) {
	before := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.join(workerInfo("w1", 1))
		f.join(workerInfo("w2", 1))
		serving := tasks(3, 1, 0)
		serving.LongRunning = true
		f.submit("serve", serving)
		if len(f.startAll("w1")) != 1 || len(f.startAll("w2")) != 1 {
			t.Fatal("want one task on each worker and one without room")
		}
		f.startTerm(testTerm + 1)
		return f
	}
	names := func(list []StartRun) map[lwunit.TaskID]bool {
		set := make(map[lwunit.TaskID]bool)
		for _, s := range list {
			set[s.Task] = true
		}
		return set
	}
	t.Run("tasks without a placement or with a worker that has reported start after the grace period", func(t *testing.T) {
		f := before(t)
		lost := f.lists["w1"][0].Task
		f.lists["w1"] = nil // its lease has expired
		f.join(f.infos["w1"])
		f.join(workerInfo("w3", 2))
		f.advance(400 * time.Millisecond)
		expectStarts(t, append(f.takeStarts("w1"), f.takeStarts("w3")...)) // reportGracePeriod has not ended
		f.advance(200 * time.Millisecond)
		started := names(append(f.takeStarts("w1"), f.takeStarts("w3")...))
		if len(started) != 2 || !started[lost] || !started["serve.0.0.2"] {
			t.Errorf("started %v, want %s and serve.0.0.2", started, lost)
		}
	})
	t.Run("tasks that may run on a worker that has not reported wait for its lease", func(t *testing.T) {
		f := before(t)
		f.join(workerInfo("w3", 4))
		f.advance(600 * time.Millisecond)
		expectStarts(t, f.startAll("w3"), "serve.0.0.2/65537")
		for range 32 {
			f.advance(100 * time.Millisecond)
			expectStarts(t, f.startAll("w3"))
		}
		n := 0
		for range 10 {
			f.advance(100 * time.Millisecond)
			n += len(f.startAll("w3"))
		}
		if n != 2 {
			t.Errorf("%d more tasks started after the leases expired, want 2", n)
		}
	})
	t.Run("a start is ordered once its placement is recorded", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInfo("w1", 1))
		serving := tasks(1, 1, 0)
		serving.LongRunning = true
		j := lwjob.Job{Spec: lwjob.Spec{ID: "serve", Queue: f.queue.Key, Steps: []lwjob.Step{serving}}, Queue: f.queue, Term: testTerm, PlacementsRecorded: true}
		f.table.Accept(j)
		f.core.JobAccepted(f.table.Job("serve"))
		f.core.Schedule()
		out := f.core.TakeEffects()
		if len(out.Placements) != 1 || len(out.Orders) != 0 {
			t.Fatalf("placements %v, orders %v, want one placement and no order", out.Placements, out.Orders)
		}
		f.now += 2 * f.core.cfg.ResendAfter
		f.core.Advance(f.now, f.wallClock)
		f.core.Tick()
		if out := f.core.TakeEffects(); len(out.Orders) != 0 {
			t.Errorf("orders %v before the placement is recorded", out.Orders)
		}
		f.core.PlacementRecorded(out.Placements[0])
		if out := f.core.TakeEffects(); len(out.Orders) != 1 {
			t.Errorf("orders %v, want the start", out.Orders)
		}
	})
}
