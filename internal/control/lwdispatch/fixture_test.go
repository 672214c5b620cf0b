package lwdispatch

import (
	"fmt"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const testTerm = 3

// fixture is a core with a replicated record beside it and workers that are
// driven by hand.
type fixture struct {
	t      *testing.T
	core   *Core
	table  *lwjob.Table
	now    time.Duration
	wall   lwunit.Millis
	queue  lwconfig.Queue
	orders map[lwunit.WorkerID][]Order
	out    Effects // of the last step
	asked  []Question
	number map[lwunit.WorkerID]int64
	infos  map[lwunit.WorkerID]WorkerInfo
	lists  map[lwunit.WorkerID][]RunRow
	clock  lwunit.Millis
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, table: lwjob.NewTable(), now: time.Second, wall: 1_700_000_000_000,
		queue: lwconfig.Queue{
			Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, Name: "q", Service: "press", Timeout: lwunit.Duration(3 * time.Second),
			Target: lwunit.Duration(250 * time.Millisecond), Stretch: 1.5, MaxAttempts: 2,
		},
		orders: make(map[lwunit.WorkerID][]Order), number: make(map[lwunit.WorkerID]int64),
		infos: make(map[lwunit.WorkerID]WorkerInfo), lists: make(map[lwunit.WorkerID][]RunRow),
	}
	f.begin(testTerm)
	return f
}

// begin makes a new leader from the record.
func (f *fixture) begin(term uint64) {
	in := Inherited{Roster: f.table.Roster()}
	f.table.Each(func(j *lwjob.Job) { in.Jobs = append(in.Jobs, j) })
	f.core = New(DefaultConfig(), term, f.now, f.wall, in)
}

// step lets the core decide and carries out what needs no worker.
func (f *fixture) step() {
	f.core.Advance(f.now, f.wall)
	f.core.Schedule()
	f.out = f.core.Take()
	f.asked = append(f.asked, f.out.Questions...)
	for _, e := range f.out.Enrol {
		f.table.Enrol(e)
		f.core.Enrolled(e.Life)
	}
	for _, life := range f.out.Dismiss {
		f.table.Dismiss(life)
	}
	for _, p := range f.out.Places {
		f.table.Place(p)
		f.core.PlaceRecorded(p)
	}
	for _, o := range f.out.Orders {
		f.orders[o.Life.Worker] = append(f.orders[o.Life.Worker], o.Orders...)
	}
	for _, e := range f.out.Ends {
		f.table.Record(e.Row.End, f.wall)
		f.core.EndsRecorded(e.Life, e.Row.Number)
		id, _, _ := lwjob.ParseTaskName(e.Row.End.Task)
		if j := f.table.Job(id); j != nil && j.State.Final() {
			f.core.JobEnded(id, string(j.State))
		}
	}
	if len(f.out.Enrol)+len(f.out.Ends)+len(f.out.Places) > 0 {
		f.step()
	}
}

// pass lets time go by, with a report of every worker.
func (f *fixture) pass(d time.Duration) {
	f.now += d
	f.wall = f.wall.Add(d)
	f.core.Advance(f.now, f.wall)
	f.core.Tick()
	f.step()
}

func workerInfo(id string, cores int) WorkerInfo {
	return WorkerInfo{
		Life: lwjob.WorkerLife{Worker: lwunit.WorkerID(id), Born: 1}, Agent: "agent-" + id, Service: "press", Domain: "a",
		Capacity: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: 64 * lwunit.GiB},
	}
}

// join reports a worker until it may be given tasks.
func (f *fixture) join(info WorkerInfo) {
	f.infos[info.Life.Worker] = info
	f.core.Advance(f.now, f.wall)
	f.core.Report(Report{Info: info})
	f.step()
	f.report(info.Life.Worker)
}

// report sends the whole lists of a worker, with ends if there are any.
func (f *fixture) report(id lwunit.WorkerID, ends ...lwjob.End) {
	info := f.infos[id]
	token, _ := f.core.CursorOf(info.Life)
	f.clock++
	m := Report{Info: info, Token: token, Full: true, Running: f.lists[id], Clock: f.clock}
	for _, e := range ends {
		f.number[id]++
		m.Ends = append(m.Ends, EndRow{f.number[id], e})
	}
	f.core.Advance(f.now, f.wall)
	f.core.Report(m)
	f.step()
}

// submit hands in a job of the given steps.
func (f *fixture) submit(id string, steps ...lwjob.Step) {
	j := lwjob.Job{Spec: lwjob.Spec{ID: lwunit.JobID(id), Queue: f.queue.Key, Steps: steps}, Queue: f.queue, Term: f.core.term, Accepted: f.wall, PlacesRecorded: true}
	f.table.Accept(j)
	f.core.Advance(f.now, f.wall)
	f.core.JobAccepted(f.table.Job(j.Spec.ID))
	f.step()
}

func (f *fixture) cancel(id string) {
	f.table.Cancel(lwunit.JobID(id), f.wall)
	f.core.JobEnded(lwunit.JobID(id), "cancelled")
	f.step()
}

// starts returns the starts that a worker was ordered since the last call.
func (f *fixture) starts(id lwunit.WorkerID) []StartRun {
	var list []StartRun
	for _, o := range f.orders[id] {
		if s, ok := o.(StartRun); ok {
			list = append(list, s)
		}
	}
	f.orders[id] = nil
	return list
}

// run makes a worker list what it was ordered to start.
func (f *fixture) run(id lwunit.WorkerID) []StartRun {
	list := f.starts(id)
	for _, s := range list {
		f.lists[id] = append(f.lists[id], RunRow{Task: s.Task, Run: s.Run})
	}
	f.report(id)
	return list
}

// end makes a run of a worker end.
func (f *fixture) end(id lwunit.WorkerID, s StartRun, how lwjob.EndKind) {
	var rest []RunRow
	for _, row := range f.lists[id] {
		if row.Task != s.Task || row.Run != s.Run {
			rest = append(rest, row)
		}
	}
	f.lists[id] = rest
	f.report(id, lwjob.End{Task: s.Task, Run: s.Run, How: how})
}

func tasks(n, cores int, took time.Duration, depends ...int) lwjob.Step {
	return lwjob.Step{
		Count: n, Need: lwunit.Resources{Millicores: lwunit.Millicores(cores * 1000), Memory: lwunit.GiB},
		Estimate: lwunit.Duration(took), DependsOn: depends,
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
