package lwcapacity

import (
	"fmt"
	"runtime"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// The planned size.
const (
	PlannedWorkers  = 810
	plannedTasks    = 18300
	plannedTeams    = 290
	plannedStarts   = 390 // a second
	decideInterval  = 100 * time.Millisecond
	decisions       = 60
	accelerated     = 450 // workers with accelerators, four each: 1,800
	startsPerDecide = plannedStarts / 10
	epoch           = lwunit.Millis(1_000_000_000_000)
)

// CoreSample is what the state and the placement core cost at a size.
type CoreSample struct {
	Workers    int           `json:"workers"`
	Tasks      int           `json:"tasks"`
	Decide     time.Duration `json:"decide_ns"`     // mean, with starts at the planned rate
	Idle       time.Duration `json:"idle_ns"`       // mean, nothing waiting
	StartsPerS float64       `json:"starts_per_s"`  // of one core doing nothing else
	Share      float64       `json:"share"`         // of a core at the planned rate of starts
	StateBytes int64         `json:"state_bytes"`   // live heap
	Snapshot   int           `json:"snapshot"`      // encoded bytes
	SnapshotIn time.Duration `json:"snapshot_ns"`   // to encode
	RestoreIn  time.Duration `json:"restore_ns"`    // to decode and index
	ApplyEach  time.Duration `json:"apply_each_ns"` // decode and apply one report
}

// synthetic is a state of the planned shape, scaled by the number of workers.
type synthetic struct {
	s   *lwstate.State
	rev lwunit.Revision
	at  lwunit.Millis
}

func (y *synthetic) apply(c lwstate.Command) lwstate.Result {
	y.rev++
	return y.s.Apply(y.rev, y.at, c)
}

func build(workers int) (*synthetic, error) {
	y := &synthetic{s: lwstate.New(), at: epoch}
	objects := `{"kind": "service", "name": "svc", "spec": {"team": "team-000", "reserve": {"millicores": 8000, "memory": "16GiB"}}}`
	for i := range plannedTeams {
		objects += fmt.Sprintf(`,{"kind": "team", "name": "team-%03d", "spec": {"quota": {"millicores": 200000, "memory": "800GiB", "accelerators": 8}}}`, i)
	}
	t, err := lwticket.Decode([]byte(`{"number": 1, "author": "bench", "objects": [` + objects + `]}`))
	if err != nil {
		return nil, fmt.Errorf("ticket: %w", err)
	}
	data, err := t.Canonical()
	if err != nil {
		return nil, err
	}
	if res := y.apply(lwstate.ApplyTicket{Ticket: data}); res.Err != nil {
		return nil, res.Err
	}
	for i := range workers {
		capacity := lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB}
		if i*PlannedWorkers/workers < accelerated {
			capacity.Accelerators = 4
		}
		id := lwunit.WorkerID(fmt.Sprintf("worker-%04d", i))
		y.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{
			ID: id, Region: "r", Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", i%7)), Rack: lwunit.Rack(fmt.Sprintf("r%d", i/3)), Capacity: capacity, Gate: "10.0.0.1:7000",
		}})
		y.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: lwunit.BackendServerID("b-" + string(id)), Service: "svc", Worker: id, Incarnation: "i"}})
	}
	return y, y.fill(workers)
}

// fill puts the planned share of tasks on the workers.
func (y *synthetic) fill(workers int) error {
	tasks := plannedTasks * workers / PlannedWorkers
	const perJob = 10
	var list []lwstate.Placement
	for n := 0; n < tasks; n += perJob {
		id := lwunit.JobID(fmt.Sprintf("job-%06d", n))
		res := y.submit(id, n, perJob)
		if res.Err != nil {
			return res.Err
		}
		for k := range perJob {
			w := lwunit.WorkerID(fmt.Sprintf("worker-%04d", (n+k)%workers))
			list = append(list, lwstate.Placement{Task: lwunit.TaskID(fmt.Sprintf("%s/%d", id, k)), Worker: w, Reserve: lwunit.Resources{Millicores: 1800, Memory: 8 * lwunit.GiB}})
		}
	}
	y.apply(lwstate.PlaceTasks{Placements: list})
	return nil
}

func (y *synthetic) submit(id lwunit.JobID, n, tasks int) lwstate.Result {
	return y.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: id, Team: lwunit.TeamName(fmt.Sprintf("team-%03d", n%plannedTeams)), Program: fmt.Sprintf("program-%d:1h", n%40), Tasks: tasks,
		Needs: lwunit.Resources{Millicores: 200, Memory: lwunit.GiB},
	}})
}

// MeasureCore measures the cores at a size.
func MeasureCore(workers int) (CoreSample, error) {
	runtime.GC()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	y, err := build(workers)
	if err != nil {
		return CoreSample{}, err
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	out := CoreSample{Workers: workers, Tasks: plannedTasks * workers / PlannedWorkers, StateBytes: int64(m1.HeapAlloc) - int64(m0.HeapAlloc)}
	y.measureDecide(&out)
	return out, y.measureSnapshot(&out)
}

func (y *synthetic) measureDecide(out *CoreSample) {
	core := lwplacement.New(lwplacement.DefaultConfig())
	now := time.Duration(0)
	core.Decide(now, y.s)
	began := time.Now()
	for range decisions {
		now += decideInterval
		core.Decide(now, y.s)
	}
	out.Idle = time.Since(began) / decisions
	started := 0
	var spent time.Duration
	for n := range decisions {
		y.submit(lwunit.JobID(fmt.Sprintf("new-%d", n)), n, startsPerDecide)
		now += decideInterval
		began := time.Now()
		cmds := core.Decide(now, y.s)
		spent += time.Since(began)
		for _, c := range cmds {
			if p, ok := c.(lwstate.PlaceTasks); ok {
				started += len(p.Placements)
			}
			y.apply(c)
		}
	}
	out.Decide = spent / decisions
	out.StartsPerS = float64(started) / spent.Seconds()
	out.Share = out.Decide.Seconds() / decideInterval.Seconds()
}

func (y *synthetic) measureSnapshot(out *CoreSample) error {
	began := time.Now()
	data, err := y.s.Snapshot()
	if err != nil {
		return err
	}
	out.SnapshotIn, out.Snapshot = time.Since(began), len(data)
	began = time.Now()
	if _, err := lwstate.Restore(data); err != nil {
		return err
	}
	out.RestoreIn = time.Since(began)
	report, err := lwstate.EncodeCommand(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: "job-000000/0", Token: 1, Event: lwstate.EventRunning}}}, y.at)
	if err != nil {
		return err
	}
	const reports = 2000
	began = time.Now()
	for range reports {
		c, at, err := lwstate.DecodeCommand(report)
		if err != nil {
			return err
		}
		y.rev++
		y.s.Apply(y.rev, at, c)
	}
	out.ApplyEach = time.Since(began) / reports
	return nil
}
