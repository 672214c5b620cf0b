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

// The planned size and its load, and the parameters of the measurement.
const (
	PlannedWorkers         = 810
	plannedTasks           = 18300
	plannedTeams           = 290
	plannedStartsPerSecond = 390
	decideInterval         = 100 * time.Millisecond           // between decisions, in simulated time
	decisionRounds         = 60                               // decisions that each mean is taken over
	acceleratedWorkers     = 450                              // with four accelerators each, 1,800 in total
	startsPerDecision      = plannedStartsPerSecond / 10      // in one decideInterval
	epoch                  = lwunit.Millis(1_000_000_000_000) // the replicated clock at the start
)

// CoreSample is the cost of the replicated state and the placement core at a
// number of workers.
type CoreSample struct {
	Workers         int           `json:"workers"`
	Tasks           int           `json:"tasks"`
	DecideMean      time.Duration `json:"decide_ns"`    // with starts at the planned rate
	IdleMean        time.Duration `json:"idle_ns"`      // with no tasks waiting
	StartsPerSecond float64       `json:"starts_per_s"` // starts that one CPU core could decide in a second
	CoreShare       float64       `json:"share"`        // share of a CPU core at the planned rate of starts
	StateBytes      int64         `json:"state_bytes"`  // growth of the live heap by the state
	SnapshotBytes   int           `json:"snapshot"`
	EncodeTime      time.Duration `json:"snapshot_ns"`   // to encode the snapshot
	RestoreTime     time.Duration `json:"restore_ns"`    // to decode and index the snapshot
	ApplyMean       time.Duration `json:"apply_each_ns"` // to decode and apply one report, which after the first changes nothing
}

// syntheticState is a state in the planned proportions, scaled to a number of
// workers.
type syntheticState struct {
	state *lwstate.State
	rev   lwunit.Revision
	at    lwunit.Millis
}

func (s *syntheticState) apply(c lwstate.Command) lwstate.Result {
	s.rev++
	return s.state.Apply(s.rev, s.at, c)
}

// buildState returns a state with the planned teams, one service, and workers with
// their share of the planned tasks. The tasks are placed and do not run yet.
func buildState(workers int) (*syntheticState, error) {
	s := &syntheticState{state: lwstate.New(), at: epoch}
	objects := `{"kind": "service", "name": "svc", "spec": {"team": "team-000", "reserve": {"millicores": 8000, "memory": "16GiB"}}}`
	for i := range plannedTeams {
		objects += fmt.Sprintf(`,{"kind": "team", "name": "team-%03d", "spec": {"quota": {"millicores": 200000, "memory": "800GiB", "accelerators": 8}}}`, i)
	}
	t, err := lwticket.Decode([]byte(`{"number": 1, "author": "bench", "objects": [` + objects + `]}`))
	if err != nil {
		return nil, fmt.Errorf("decode ticket: %w", err)
	}
	data, err := t.Canonical()
	if err != nil {
		return nil, err
	}
	if res := s.apply(lwstate.ApplyTicket{Ticket: data}); res.Err != nil {
		return nil, res.Err
	}
	for i := range workers {
		capacity := lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB}
		if i*PlannedWorkers/workers < acceleratedWorkers {
			capacity.Accelerators = 4
		}
		id := lwunit.WorkerID(fmt.Sprintf("worker-%04d", i))
		s.apply(lwstate.RegisterWorker{Incarnation: "i", Spec: lwstate.WorkerSpec{
			ID: id, Region: "r", Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", i%7)), Rack: lwunit.Rack(fmt.Sprintf("r%d", i/3)), Capacity: capacity, GateAddress: "10.0.0.1:7000",
		}})
		s.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: lwunit.BackendServerID("b-" + string(id)), Service: "svc", Worker: id, Incarnation: "i"}})
	}
	return s, s.placeTasks(workers)
}

// placeTasks places the workers' share of the planned tasks, in jobs of perJob
// tasks, so up to perJob-1 more than the share.
func (s *syntheticState) placeTasks(workers int) error {
	tasks := plannedTasks * workers / PlannedWorkers
	const perJob = 10
	var list []lwstate.Placement
	for n := 0; n < tasks; n += perJob {
		id := lwunit.JobID(fmt.Sprintf("job-%06d", n))
		res := s.submitJob(id, n, perJob)
		if res.Err != nil {
			return res.Err
		}
		for k := range perJob {
			w := lwunit.WorkerID(fmt.Sprintf("worker-%04d", (n+k)%workers))
			list = append(list, lwstate.Placement{Task: lwunit.TaskID(fmt.Sprintf("%s/%d", id, k)), Worker: w, Reserve: lwunit.Resources{Millicores: 1800, Memory: 8 * lwunit.GiB}})
		}
	}
	s.apply(lwstate.PlaceTasks{Placements: list})
	return nil
}

func (s *syntheticState) submitJob(id lwunit.JobID, n, tasks int) lwstate.Result {
	return s.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{
		ID: id, Team: lwunit.TeamName(fmt.Sprintf("team-%03d", n%plannedTeams)), Program: fmt.Sprintf("program-%d:1h", n%40), Tasks: tasks,
		Needs: lwunit.Resources{Millicores: 200, Memory: lwunit.GiB},
	}})
}

// MeasureCore measures the state and the placement core with the given number of
// workers.
func MeasureCore(workers int) (CoreSample, error) {
	runtime.GC()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	s, err := buildState(workers)
	if err != nil {
		return CoreSample{}, err
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	out := CoreSample{Workers: workers, Tasks: plannedTasks * workers / PlannedWorkers, StateBytes: int64(m1.HeapAlloc) - int64(m0.HeapAlloc)}
	s.measureDecide(&out)
	return out, s.measureSnapshot(&out)
}

// measureDecide measures decisions first without and then with new jobs.
func (s *syntheticState) measureDecide(out *CoreSample) {
	core := lwplacement.New(lwplacement.DefaultConfig())
	now := time.Duration(0)
	core.Decide(now, s.state)
	began := time.Now()
	for range decisionRounds {
		now += decideInterval
		core.Decide(now, s.state)
	}
	out.IdleMean = time.Since(began) / decisionRounds
	started := 0
	var spent time.Duration
	for n := range decisionRounds {
		s.submitJob(lwunit.JobID(fmt.Sprintf("new-%d", n)), n, startsPerDecision)
		now += decideInterval
		began := time.Now()
		cmds := core.Decide(now, s.state)
		spent += time.Since(began)
		for _, c := range cmds {
			if p, ok := c.(lwstate.PlaceTasks); ok {
				started += len(p.Placements)
			}
			s.apply(c)
		}
	}
	out.DecideMean = spent / decisionRounds
	out.StartsPerSecond = float64(started) / spent.Seconds()
	out.CoreShare = out.DecideMean.Seconds() / decideInterval.Seconds()
}

// measureSnapshot measures a snapshot, its restore and the application of a report.
func (s *syntheticState) measureSnapshot(out *CoreSample) error {
	began := time.Now()
	data, err := s.state.Snapshot()
	if err != nil {
		return err
	}
	out.EncodeTime, out.SnapshotBytes = time.Since(began), len(data)
	began = time.Now()
	if _, err := lwstate.Restore(data); err != nil {
		return err
	}
	out.RestoreTime = time.Since(began)
	report, err := lwstate.EncodeCommand(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: "job-000000/0", Token: 1, Event: lwstate.EventRunning}}}, s.at)
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
		s.rev++
		s.state.Apply(s.rev, at, c)
	}
	out.ApplyMean = time.Since(began) / reports
	return nil
}
