package lwdispatch

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	simStep        = 10 * time.Millisecond
	simDetection   = 250 * time.Millisecond // from a crash until the agent knows that the process has ended
	simReportEvery = 400 * time.Millisecond
	simRestart     = 3 * time.Second // from a crash until the worker is back
)

// crashRun is a run on a simulated worker.
type crashRun struct {
	start StartRun
	began time.Duration
}

// crashWorker is a machine whose worker crashes and comes back as a new incarnation.
type crashWorker struct {
	machine   string
	lives     int64
	id        lwunit.WorkerID // of the present incarnation
	runs      []crashRun
	crashedAt time.Duration // 0 while the worker is up
	held      []HeldRun     // when it crashed
	reported  bool          // the agent has reported the crash
	reportAt  time.Duration
}

// crashSimulation plays a core against workers, some of whose tasks crash them.
type crashSimulation struct {
	*fixture
	workers  []*crashWorker
	runTime  func(lwunit.TaskID) time.Duration
	deadly   func(lwunit.TaskID) bool
	deadlyIn time.Duration         // from the start of a deadly task until it crashes its worker
	started  map[lwunit.TaskID]int // starts of each task
	crashes  map[lwunit.TaskID]int // crashes that a deadly task has caused
	silent   bool                  // agents cannot reach the leader

	oldAgents bool // they do not report which runs a worker held when it crashed
}

func newCrashSimulation(t *testing.T, workers, cores int) *crashSimulation {
	s := &crashSimulation{
		fixture: newFixture(t), deadlyIn: simStep, started: make(map[lwunit.TaskID]int), crashes: make(map[lwunit.TaskID]int),
		runTime: func(lwunit.TaskID) time.Duration { return 600 * time.Millisecond },
		deadly:  func(id lwunit.TaskID) bool { return strings.HasPrefix(string(id), "deadly") },
	}
	s.queue.MaxAttempts = 4
	for i := range workers {
		w := &crashWorker{machine: fmt.Sprintf("m%02d", i)}
		s.workers = append(s.workers, w)
		s.boot(w, cores)
	}
	return s
}

// boot starts a new incarnation of a worker.
func (s *crashSimulation) boot(w *crashWorker, cores int) {
	w.lives++
	w.id = lwunit.WorkerID(fmt.Sprintf("%s-%d", w.machine, w.lives))
	w.crashedAt, w.reported, w.reportAt = 0, false, s.now
	info := workerInfo(string(w.id), cores)
	info.Agent, info.Incarnation.StartedAt = "agent-"+w.machine, lwunit.Millis(w.lives)
	s.infos[w.id] = info
}

// crash ends the process of a worker and everything that it runs.
func (s *crashSimulation) crash(w *crashWorker) {
	if w.crashedAt > 0 {
		return
	}
	w.crashedAt = s.now
	s.lists[w.id] = nil
	w.held = nil
	for _, r := range w.runs {
		w.held = append(w.held, HeldRun{Task: r.start.Task, Run: r.start.Run, Age: lwunit.Duration(s.now - r.began)})
	}
	w.runs = nil
}

// run plays for some time.
func (s *crashSimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.wallClock = s.wallClock.Add(simStep)
		for _, w := range s.workers {
			s.stepWorker(w)
		}
		s.core.Advance(s.now, s.wallClock)
		if s.now%(100*time.Millisecond) == 0 {
			s.core.Tick()
		}
		s.step()
	}
}

func (s *crashSimulation) stepWorker(w *crashWorker) {
	if w.crashedAt > 0 {
		s.stepCrashed(w)
		return
	}
	s.carryOutOrders(w)
	for _, r := range slices.Clone(w.runs) {
		switch age := s.now - r.began; {
		case s.deadly(r.start.Task) && age >= s.deadlyIn:
			s.crashes[r.start.Task]++
			s.crash(w)
			return
		case !s.deadly(r.start.Task) && age >= s.runTime(r.start.Task):
			s.dropRun(w, r)
			if !s.silent {
				s.endRun(w.id, r.start, lwjob.EndDone)
			}
		}
	}
	if s.now >= w.reportAt && !s.silent {
		w.reportAt = s.now + simReportEvery
		s.join(s.infos[w.id])
	}
}

func (s *crashSimulation) dropRun(w *crashWorker, r crashRun) {
	w.runs = slices.DeleteFunc(w.runs, func(o crashRun) bool { return o.start.Task == r.start.Task && o.start.Run == r.start.Run })
}

// stepCrashed reports a crash once the agent knows of it, and boots the worker again.
func (s *crashSimulation) stepCrashed(w *crashWorker) {
	s.pendingOrders[w.id] = nil
	if !w.reported && s.now-w.crashedAt >= simDetection && !s.silent {
		w.reported = true
		s.reportCrash(w)
	}
	if s.now-w.crashedAt >= simRestart {
		s.boot(w, int(s.infos[w.id].Capacity.Millicores)/1000)
	}
}

// reportCrash lets the agent of a worker report that its process has ended.
func (s *crashSimulation) reportCrash(w *crashWorker) {
	s.core.Advance(s.now, s.wallClock)
	m := Report{Info: s.infos[w.id], ProcessEnded: true, Answered: true}
	if !s.oldAgents {
		m.KnowsCrashes, m.Crashes = true, []Crash{{m.Info.Incarnation, w.held}}
	}
	s.core.Report(m)
	s.step()
}

func (s *crashSimulation) carryOutOrders(w *crashWorker) {
	orders := s.pendingOrders[w.id]
	s.pendingOrders[w.id] = nil
	for _, o := range orders {
		switch o := o.(type) {
		case StartRun:
			if slices.ContainsFunc(w.runs, func(r crashRun) bool { return r.start.Task == o.Task && r.start.Run == o.Run }) {
				continue // a repeated order
			}
			s.started[o.Task]++
			w.runs = append(w.runs, crashRun{o, s.now})
			s.lists[w.id] = append(s.lists[w.id], RunStatus{Task: o.Task, Run: o.Run})
		case StopRun:
			s.dropRun(w, crashRun{start: StartRun{Task: o.Task, Run: o.Run}})
			s.endRun(w.id, StartRun{Task: o.Task, Run: o.Run}, lwjob.EndStopped)
		}
	}
}

// changeLeader replaces the core by that of a new leader, made from a snapshot. Crashes
// that were not reported to the old one are reported to the new one.
func (s *crashSimulation) changeLeader() {
	data, err := json.Marshal(s.table.Contents())
	if err != nil {
		s.t.Fatal(err)
	}
	var contents lwjob.Contents
	if err := json.Unmarshal(data, &contents); err != nil {
		s.t.Fatal(err)
	}
	s.table = lwjob.Restore(contents)
	s.startTerm(s.core.term + 1)
	for _, w := range s.workers {
		s.pendingOrders[w.id] = nil
		w.reportAt = s.now
	}
}

// maxDeadlyStarts is how often a task that crashes its workers may be started: two
// times more after three workers have crashed under it.
const maxDeadlyStarts = 5

func (s *crashSimulation) expectState(id string, want lwjob.State) {
	s.t.Helper()
	if got := s.table.Job(lwunit.JobID(id)).State; got != want {
		s.t.Errorf("job %s is %s, want %s", id, got, want)
	}
}

func (s *crashSimulation) expectFewDeadlyStarts() {
	s.t.Helper()
	for id, n := range s.started {
		if s.deadly(id) && n > maxDeadlyStarts {
			s.t.Errorf("deadly task %s was started %d times, want at most %d", id, n, maxDeadlyStarts)
		}
	}
}

// submitMix submits good jobs for some seconds, every fourth together with a deadly one.
func (s *crashSimulation) submitMix(jobs int) {
	for i := range jobs {
		s.submit(fmt.Sprintf("good%d", i), tasks(6, 1, 600*time.Millisecond))
		if i%4 == 0 {
			s.submit(fmt.Sprintf("deadly%d", i), tasks(1, 1, 600*time.Millisecond))
		}
		s.run(200 * time.Millisecond)
	}
}

func (s *crashSimulation) expectMix(jobs int) {
	s.t.Helper()
	s.expectFewDeadlyStarts()
	for i := range jobs {
		s.expectState(fmt.Sprintf("good%d", i), lwjob.Completed)
		if i%4 == 0 {
			s.expectState(fmt.Sprintf("deadly%d", i), lwjob.Failed)
		}
	}
}

// A task that crashes each worker that starts it must be given up after a few crashes,
// and the tasks that stood beside it must not pay: a task that is lost with its worker
// was started again without any count.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	const jobs = 12
	s := newCrashSimulation(t, 6, 16)
	s.submitMix(jobs)
	s.run(40 * time.Second)
	s.expectMix(jobs)
}

// What is known of crashes is recorded: a task is given up after as few crashes under a
// series of leaders, each of which begins with what a snapshot holds, and with agents of
// an older version, which do not report what ran on a crashed worker.
func TestCrashesCountAcrossLeaders(t *testing.T) {
	const jobs = 12
	for _, x := range []struct {
		name      string
		oldAgents bool
		between   time.Duration // leaders
	}{
		{"a new leader each 2.5 s", false, 2500 * time.Millisecond},
		{"agents of an older version", true, time.Hour},
		{"both", true, 2500 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newCrashSimulation(t, 6, 16)
			s.oldAgents = x.oldAgents
			s.submitMix(jobs)
			for i := 0; i < int(40*time.Second/x.between); i++ {
				s.run(x.between)
				s.changeLeader()
			}
			s.run(40 * time.Second)
			s.expectMix(jobs)
		})
	}
}

// Tasks that run on workers which crash for other reasons must not pay, however often
// they are lost.
func TestCrashesWithoutTaskToBlame(t *testing.T) {
	const jobs = 40
	for _, x := range []struct {
		name    string
		runTime time.Duration
		every   time.Duration // between crashes, of two workers each
	}{
		{"short tasks", 600 * time.Millisecond, 1500 * time.Millisecond},
		{"tasks that are lost most times", 4 * time.Second, 2 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newCrashSimulation(t, 8, 16)
			s.runTime = func(lwunit.TaskID) time.Duration { return x.runTime }
			rng := rand.New(rand.NewPCG(1, 2))
			for i := range jobs {
				s.submit(fmt.Sprintf("good%d", i), tasks(6, 1, x.runTime))
				s.run(x.every)
				s.crash(s.workers[rng.IntN(len(s.workers))])
				s.crash(s.workers[rng.IntN(len(s.workers))])
			}
			s.run(30 * time.Second)
			for i := range jobs {
				s.expectState(fmt.Sprintf("good%d", i), lwjob.Completed)
			}
		})
	}
}

// A gang is given up as a whole if a member crashes workers, and so is a job with a
// long-running task that does, and a filling one.
func TestOtherKindsOfTasksThatCrashWorkers(t *testing.T) {
	gang := tasks(4, 2, 600*time.Millisecond)
	gang.Gang = true
	long := tasks(3, 1, 0)
	long.LongRunning = true
	filling := tasks(3, 2, 600*time.Millisecond)
	filling.Filling = true
	checkpointed := tasks(3, 2, 600*time.Millisecond)
	checkpointed.Checkpointed = true
	for name, step := range map[string]lwjob.Step{"gang": gang, "long-running": long, "filling": filling, "checkpointed": checkpointed} {
		t.Run(name, func(t *testing.T) {
			s := newCrashSimulation(t, 6, 16)
			s.deadly = func(id lwunit.TaskID) bool { return id == "bad.0.0.1" }
			s.runTime = func(id lwunit.TaskID) time.Duration {
				if step.LongRunning && (strings.HasPrefix(string(id), "bad") || strings.HasPrefix(string(id), "same")) {
					return time.Hour
				}
				return 600 * time.Millisecond
			}
			s.submit("same", step)
			s.submit("bad", step)
			for i := range 8 {
				s.submit(fmt.Sprintf("good%d", i), tasks(6, 1, 600*time.Millisecond))
				s.run(500 * time.Millisecond)
			}
			s.run(20 * time.Second)
			s.expectFewDeadlyStarts()
			s.expectState("bad", lwjob.Failed)
			for i := range 8 {
				s.expectState(fmt.Sprintf("good%d", i), lwjob.Completed)
			}
			if step.LongRunning {
				s.expectState("same", lwjob.Running)
			} else {
				s.expectState("same", lwjob.Completed)
			}
		})
	}
}

// A crash is weighed once, however often it is reported, and the agent is told once it is
// recorded.
func TestRepeatedReportOfCrash(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	f.join(workerInfo("w2", 8))
	f.submit("j", tasks(1, 1, time.Second))
	f.startAll("w1")
	f.startAll("w2")
	gone := f.infos["w1"]
	if len(f.lists["w1"]) == 0 {
		gone = f.infos["w2"]
	}
	report := func() Grant {
		f.core.Advance(f.now, f.wallClock)
		run := HeldRun{Task: "j.0.0.0", Run: 1, Age: lwunit.Duration(10 * time.Millisecond)}
		return f.core.Report(Report{Info: gone, ProcessEnded: true, Answered: true, KnowsCrashes: true, Crashes: []Crash{{gone.Incarnation, []HeldRun{run}}}})
	}
	if g := report(); len(g.CrashesRecorded) > 0 {
		t.Error("the crash is said to be recorded before it is committed")
	}
	report()
	f.step()
	if g := report(); len(g.CrashesRecorded) != 1 {
		t.Errorf("crashes of %v are said to be recorded, want one", g.CrashesRecorded)
	}
	f.startTerm(testTerm + 1)
	if g := report(); len(g.CrashesRecorded) != 1 {
		t.Errorf("the next leader says that crashes of %v are recorded, want one", g.CrashesRecorded)
	}
	f.step()
	if crashes := f.table.Job("j").Task(lwjob.TaskKey{}).Crashes; len(crashes) != 1 {
		t.Errorf("crashes %v are recorded, want one", crashes)
	}
}

// A worker crashes under a task that no list has shown yet, and its agent is started again
// meanwhile, so that it reports no crash. Guards against further starts of a task under
// which as many workers have crashed as are allowed: such a crash was not counted.
func TestCrashUnderOrderedRunWithoutItsAgent(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	f.submit("j", tasks(1, 1, time.Second))
	f.step()
	f.now += 500 * time.Millisecond
	f.core.Advance(f.now, f.wallClock)
	next := f.infos["w1"]
	next.Incarnation = lwjob.WorkerIncarnation{Worker: "w1-2", StartedAt: next.Incarnation.StartedAt + 1}
	f.core.Report(Report{Info: next, Answered: true, KnowsCrashes: true})
	f.step()
	crashes := f.table.Job("j").Task(lwjob.TaskKey{}).Crashes
	if len(crashes) != 1 || !crashes[0].AtMost || crashes[0].Age.Std() < 500*time.Millisecond {
		t.Errorf("crashes %+v are recorded, want one at an age of at most 500 ms", crashes)
	}
}

// A run that a new agent process has adopted is old, however short a while it knows it.
func TestAdoptedRunIsNoSuspect(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	f.submit("adopted", tasks(1, 1, time.Minute))
	f.submit("begun", tasks(1, 1, time.Minute))
	f.startAll("w1")
	f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true, Crashes: []Crash{{f.infos["w1"].Incarnation, []HeldRun{
		{Task: "adopted.0.0.0", Run: 1, Age: lwunit.Duration(5 * time.Millisecond), Adopted: true},
		{Task: "begun.0.0.0", Run: 1, Age: lwunit.Duration(5 * time.Millisecond)},
	}}}})
	f.step()
	adopted, begun := f.core.findTask("adopted.0.0.0"), f.core.findTask("begun.0.0.0")
	if a, b := f.core.oddsOf(adopted), f.core.oddsOf(begun); a*10 > b {
		t.Errorf("odds %.3g of the adopted task, %.3g of the other, want a tenth at most", a, b)
	}
}

// When many workers crash at once, as in the loss of a failure domain, the tasks that ran
// there for a while must start again as fast as there is room.
func TestTasksOfManyCrashedWorkersRestartAtOnce(t *testing.T) {
	s := newCrashSimulation(t, 8, 64)
	s.runTime = func(lwunit.TaskID) time.Duration { return 10 * time.Second }
	for i := range 8 {
		s.submit(fmt.Sprintf("good%d", i), tasks(30, 1, 10*time.Second))
	}
	s.run(2 * time.Second)
	for _, w := range s.workers[:4] {
		s.crash(w)
	}
	s.run(simDetection + 2*simReportEvery)
	running := 0
	for _, w := range s.workers {
		running += len(w.runs)
	}
	if running != 240 {
		t.Errorf("%d of 240 tasks run shortly after the crash, want all", running)
	}
}
