package lwdispatch

import (
	"fmt"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const testTerm = 3

// fixture is a core with a replicated table and workers whose reports the test
// controls.
type fixture struct {
	t             *testing.T
	core          *Core
	table         *lwjob.Table
	now           time.Duration
	wallClock     lwunit.Millis
	queue         lwconfig.Queue
	pendingOrders map[lwunit.WorkerID][]Order
	lastEffects   Effects // of the last call of step
	questions     []Question
	lastEnd       map[lwunit.WorkerID]int64
	infos         map[lwunit.WorkerID]WorkerInfo
	lists         map[lwunit.WorkerID][]RunStatus
	clock         lwunit.Millis
	evacuations   lwevacuation.Table
	config        Config
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, table: lwjob.NewTable(), now: time.Second, wallClock: 1_700_000_000_000,
		queue: lwconfig.Queue{
			Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, Name: "q", Service: "press", Timeout: lwunit.Duration(3 * time.Second),
			TargetLatency: lwunit.Duration(250 * time.Millisecond), Stretch: 1.5, MaxAttempts: 2,
		},
		pendingOrders: make(map[lwunit.WorkerID][]Order), lastEnd: make(map[lwunit.WorkerID]int64),
		infos: make(map[lwunit.WorkerID]WorkerInfo), lists: make(map[lwunit.WorkerID][]RunStatus),
		evacuations: make(lwevacuation.Table), config: DefaultConfig(),
	}
	f.startTerm(testTerm)
	return f
}

// startTerm replaces the core by that of a new leader, made from the table.
func (f *fixture) startTerm(term uint64) {
	in := ReplicatedState{Roster: f.table.Roster(), Evacuations: f.evacuations}
	f.table.EachJob(func(j *lwjob.Job) { in.Jobs = append(in.Jobs, j) })
	f.core = New(f.config, term, f.now, f.wallClock, in)
}

// step lets the core schedule, commits what it proposes and keeps the orders for the
// workers.
func (f *fixture) step() {
	f.core.Advance(f.now, f.wallClock)
	f.core.Schedule()
	f.lastEffects = f.core.TakeEffects()
	f.questions = append(f.questions, f.lastEffects.Questions...)
	for _, e := range f.lastEffects.Enrol {
		f.table.Enrol(e)
		f.core.RosterRecorded(e.Incarnation)
	}
	for _, incarnation := range f.lastEffects.Dismiss {
		f.table.Dismiss(incarnation)
	}
	for _, p := range f.lastEffects.Placements {
		f.table.RecordPlacement(p)
		f.core.PlacementRecorded(p)
	}
	for _, o := range f.lastEffects.Orders {
		f.pendingOrders[o.Incarnation.Worker] = append(f.pendingOrders[o.Incarnation.Worker], o.Orders...)
	}
	for _, e := range f.lastEffects.Ends {
		f.table.RecordEnd(e.Numbered.End, f.wallClock)
		if e.Numbered.End.How == lwjob.EndCrashed {
			f.core.CrashRecorded(e.Incarnation)
		} else {
			f.core.EndsRecorded(e.Incarnation, e.Numbered.Number)
		}
		id, _, _ := lwjob.ParseTaskName(e.Numbered.End.Task)
		if j := f.table.Job(id); j != nil && j.State.Final() {
			f.core.JobEnded(id, string(j.State))
		}
	}
	if len(f.lastEffects.Enrol)+len(f.lastEffects.Ends)+len(f.lastEffects.Placements) > 0 {
		f.step()
	}
}

// advance moves time forward without reports, and lets the core handle the tick.
func (f *fixture) advance(d time.Duration) {
	f.now += d
	f.wallClock = f.wallClock.Add(d)
	f.core.Advance(f.now, f.wallClock)
	f.core.Tick()
	f.step()
}

func workerInfo(id string, cores int) WorkerInfo {
	return WorkerInfo{
		Incarnation: lwjob.WorkerIncarnation{Worker: lwunit.WorkerID(id), StartedAt: 1}, Agent: "agent-" + id, Service: "press", Domain: "a",
		Capacity: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: 64 * lwunit.GiB},
	}
}

// join reports a worker twice, so that it is on the roster with current lists and may
// be given tasks.
func (f *fixture) join(info WorkerInfo) {
	f.infos[info.Incarnation.Worker] = info
	f.core.Advance(f.now, f.wallClock)
	f.core.Report(Report{Info: info, Answered: true})
	f.step()
	f.report(info.Incarnation.Worker)
}

// report sends the complete lists of a worker, with ends if there are any.
func (f *fixture) report(id lwunit.WorkerID, ends ...lwjob.End) {
	info := f.infos[id]
	token, _ := f.core.TokenAndCursor(info.Incarnation)
	f.clock++
	m := Report{Info: info, Token: token, Answered: true, Complete: true, Running: f.lists[id], Clock: f.clock}
	for _, e := range ends {
		f.lastEnd[id]++
		m.Ends = append(m.Ends, NumberedEnd{f.lastEnd[id], e})
	}
	f.core.Advance(f.now, f.wallClock)
	f.core.Report(m)
	f.step()
}

// submit submits a job of the given steps.
func (f *fixture) submit(id string, steps ...lwjob.Step) {
	j := lwjob.Job{Spec: lwjob.Spec{ID: lwunit.JobID(id), Queue: f.queue.Key, Steps: steps}, Queue: f.queue, Term: f.core.term, Accepted: f.wallClock, PlacementsRecorded: true}
	f.table.Accept(j)
	f.core.Advance(f.now, f.wallClock)
	f.core.JobAccepted(f.table.Job(j.Spec.ID))
	f.step()
}

// refuse reports the refusal of a start.
func (f *fixture) refuse(id lwunit.WorkerID, task lwunit.TaskID, run lwjob.RunID, reason RefusalReason) {
	token, _ := f.core.TokenAndCursor(f.infos[id].Incarnation)
	f.core.Advance(f.now, f.wallClock)
	f.core.Report(Report{Info: f.infos[id], Token: token, Refused: []Refusal{{Task: task, Run: run, Reason: reason}}})
	f.step()
}

func (f *fixture) cancel(id string) {
	_, _ = f.table.Cancel(lwconfig.QueueKey{}, lwunit.JobID(id), f.wallClock)
	f.core.JobEnded(lwunit.JobID(id), "cancelled")
	f.step()
}

// takeStarts returns the starts that were ordered for a worker, and drops all its
// pending orders.
func (f *fixture) takeStarts(id lwunit.WorkerID) []StartRun {
	var list []StartRun
	for _, o := range f.pendingOrders[id] {
		if s, ok := o.(StartRun); ok {
			list = append(list, s)
		}
	}
	f.pendingOrders[id] = nil
	return list
}

// startAll lets a worker list the runs that it was ordered to start.
func (f *fixture) startAll(id lwunit.WorkerID) []StartRun {
	list := f.takeStarts(id)
	for _, s := range list {
		f.lists[id] = append(f.lists[id], RunStatus{Task: s.Task, Run: s.Run})
	}
	f.report(id)
	return list
}

// endRun ends a run of a worker.
func (f *fixture) endRun(id lwunit.WorkerID, s StartRun, how lwjob.EndKind) {
	var rest []RunStatus
	for _, status := range f.lists[id] {
		if status.Task != s.Task || status.Run != s.Run {
			rest = append(rest, status)
		}
	}
	f.lists[id] = rest
	f.report(id, lwjob.End{Task: s.Task, Run: s.Run, How: how})
}

func tasks(n, cores int, estimate time.Duration, dependsOn ...int) lwjob.Step {
	return lwjob.Step{
		Count: n, Need: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: lwunit.GiB},
		Estimate: lwunit.Duration(estimate), DependsOn: dependsOn,
	}
}

func expectStarts(t *testing.T, got []StartRun, want ...string) {
	t.Helper()
	var names []string
	for _, s := range got {
		names = append(names, fmt.Sprintf("%s/%d", s.Task, s.Run))
	}
	if fmt.Sprint(names) != fmt.Sprint(want) && len(names)+len(want) > 0 {
		t.Errorf("started %v, want %v", names, want)
	}
}

// restart replaces the incarnation of a worker by the next one with the same id, which answers its
// agent, and reports it.
func (f *fixture) restart(id string) {
	info := f.infos[workerInfo(id, 4).Incarnation.Worker]
	info.Incarnation.StartedAt++
	f.infos[info.Incarnation.Worker] = info
	f.core.Advance(f.now, f.wallClock)
	f.core.Report(Report{Info: info, Answered: true, KnowsCrashes: true})
	f.step()
}
