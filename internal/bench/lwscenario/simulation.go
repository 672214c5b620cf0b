package lwscenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

const (
	workerCount        = 12
	serviceWorkerCount = 8 // workers with a backend server of the service
	teamCount          = 4
	firstFaultAt       = 40 * time.Minute
	faultDuration      = 20 * time.Minute
	secondFaultAt      = 110 * time.Minute
	leaseDuration      = 12 * time.Second
	epoch              = lwunit.Millis(1_000_000_000_000) // the replicated clock at the start
	memoryRamp         = 2 * time.Minute                  // run time in which a task's memory grows to its size
)

// job is a job with the actual needs of each of its tasks.
type job struct {
	spec         lwstate.JobSpec
	arrival      time.Duration
	cores        float64
	memory       lwunit.Bytes
	runTime      time.Duration
	interference float64
	fails        bool // each attempt fails; no scenario sets it
	urgent       bool
	unrunnable   bool
}

// memoryUsed returns the memory that a task uses after the given run time.
func (j *job) memoryUsed(progress time.Duration) lwunit.Bytes {
	grown := min(1, 0.3+0.7*float64(progress)/float64(memoryRamp))
	return lwunit.Bytes(float64(j.memory) * grown)
}

// totals are the sums from which the result is computed.
type totals struct {
	requests, late float64
	workDone       float64 // core-nanoseconds, including lost work
	finishedWork   float64 // core-nanoseconds of tasks that succeeded
	lostWork       float64 // core-nanoseconds
	finished       int     // tasks that succeeded
	evictions      int
	outOfMemory    int
	overcommit     int             // as in Result
	doubled        int             // as in Result
	urgentWaits    []time.Duration // of urgent jobs, from arrival until the first task runs
}

func (t *totals) addLost(a *attempt, work time.Duration) { t.lostWork += float64(work) * a.job.cores }

// simulation is the simulation of one variant in one scenario.
type simulation struct {
	scenario Scenario
	workload workload
	core     *lwplacement.Core
	state    *lwstate.State
	rev      lwunit.Revision
	now      time.Duration
	rng      *rand.Rand
	workers  []*worker
	jobs     []*job
	jobByID  map[lwunit.JobID]*job
	nextJob  int
	totals   totals
	waiting  map[lwunit.JobID]bool             // urgent jobs that have not started yet
	lostAt   map[lwunit.WorkerID]time.Duration // time of a worker's last failure
	spent    time.Duration
}

// Run simulates a variant in a scenario with a deployment's workload. The seed only
// draws the late requests of the signals; the jobs are the same for every seed.
func Run(sc Scenario, deployment string, v Variant, seed uint64) (Result, error) {
	var wl workload
	for _, x := range workloads() {
		if x.name == deployment {
			wl = x
		}
	}
	sim := &simulation{
		scenario: sc, workload: wl, core: lwplacement.New(v.Config), state: lwstate.New(), rng: rand.New(rand.NewPCG(seed, 3)),
		jobByID: make(map[lwunit.JobID]*job), waiting: make(map[lwunit.JobID]bool), lostAt: make(map[lwunit.WorkerID]time.Duration),
	}
	if err := sim.setUp(); err != nil {
		return Result{}, err
	}
	for sim.now = 0; sim.now < sc.Horizon; sim.now += stepTime {
		sim.tick()
	}
	return sim.result(v), nil
}

func (sim *simulation) apply(c lwstate.Command) lwstate.Result {
	sim.rev++
	return sim.state.Apply(sim.rev, epoch.Add(sim.now), c)
}

func (sim *simulation) setUp() error {
	objects := ""
	for i := range teamCount {
		objects += fmt.Sprintf(`{"kind": "team", "name": "team-%d", "spec": {"quota": {"millicores": %d, "memory": %q, "accelerators": 6}}},`,
			i, int(sim.workload.capacity.Millicores)*workerCount/teamCount, (sim.workload.capacity.Memory * workerCount / teamCount).String())
	}
	text := fmt.Sprintf(`{"number": 1, "author": "bench", "objects": [%s
		{"kind": "service", "name": %q, "spec": {"team": "team-0", "reserve": {"millicores": %d, "memory": %q}}},
		{"kind": "deployment", "name": %q, "spec": {%s}}]}`,
		objects, sim.workload.service, sim.workload.reserve.Millicores, sim.workload.reserve.Memory.String(), sim.workload.name, sim.workload.deploymentFields)
	t, err := lwticket.Decode([]byte(text))
	if err != nil {
		return fmt.Errorf("decode scenario ticket: %w", err)
	}
	data, err := t.Canonical()
	if err != nil {
		return err
	}
	if res := sim.apply(lwstate.ApplyTicket{Ticket: data}); res.Err != nil {
		return res.Err
	}
	for i := range workerCount {
		w := &worker{index: i, id: lwunit.WorkerID(fmt.Sprintf("w%02d", i)), capacity: sim.workload.capacity, hasService: i < serviceWorkerCount, attempts: make(map[lwunit.TaskID]*attempt)}
		sim.workers = append(sim.workers, w)
		sim.registerWorker(w)
	}
	sim.drawJobs()
	return nil
}

func (sim *simulation) registerWorker(w *worker) {
	spec := lwstate.WorkerSpec{
		ID: w.id, Region: sim.workload.region, Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", w.index%3)),
		Rack: lwunit.Rack(fmt.Sprintf("r%d", w.index/3)), Capacity: w.capacity,
	}
	sim.apply(lwstate.RegisterWorker{Spec: spec, Incarnation: "i"})
	if w.hasService {
		sim.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: lwunit.BackendServerID("b-" + string(w.id)), Service: sim.workload.service, Worker: w.id, Incarnation: "i"}})
	}
}

// drawJobs draws all jobs from a fixed seed, so that every variant gets the same
// input.
func (sim *simulation) drawJobs() {
	total := sim.scenario.Demand * float64(sim.workload.capacity.Millicores) / 1000 * workerCount * float64(sim.scenario.Horizon)
	rng := rand.New(rand.NewPCG(17, 23))
	work := 0.0
	for n := 0; work < total; n++ {
		p := sim.workload.programs[rng.IntN(len(sim.workload.programs))]
		arrival := time.Duration(rng.Float64() * float64(sim.scenario.Horizon) * 0.9)
		if sim.scenario.HeavyWaves && p.interference > 0.1 {
			arrival = arrival.Truncate(30*time.Minute) + time.Duration(rng.IntN(60))*time.Second
		}
		sizeError := drawSizeError(rng, sim.scenario.SizeSpread)
		tasks := 1 + rng.IntN(4)
		j := &job{
			arrival: arrival, cores: p.cores, memory: p.memory, runTime: time.Duration(float64(p.runTime) * (0.5 + rng.Float64())),
			interference: p.interference, urgent: p.class == lwstate.ClassUrgent,
		}
		j.spec = lwstate.JobSpec{
			ID: lwunit.JobID(fmt.Sprintf("%s-%05d", p.name, n)), Team: lwunit.TeamName(fmt.Sprintf("team-%d", rng.IntN(teamCount))),
			Class: p.class, Program: p.name, Tasks: tasks, RunTime: lwunit.Duration(float64(j.runTime) * drawSizeError(rng, max(1, sim.scenario.SizeSpread))),
			Needs: lwunit.Resources{Millicores: lwunit.Millicores(p.cores * 1000 * sizeError), Memory: lwunit.Bytes(float64(p.memory) * sizeError), Accelerators: p.accelerators},
		}
		if sim.scenario.UnrunnableJobs && rng.IntN(20) == 0 {
			j.unrunnable = true
			j.spec.Needs.Millicores = sim.workload.capacity.Millicores * 3
		}
		if !j.unrunnable {
			work += p.cores * float64(j.runTime) * float64(tasks)
		}
		sim.jobs = append(sim.jobs, j)
		sim.jobByID[j.spec.ID] = j
	}
	sort.SliceStable(sim.jobs, func(i, k int) bool { return sim.jobs[i].arrival < sim.jobs[k].arrival })
}

func (sim *simulation) tick() {
	sim.injectFaults()
	sim.submitArrivals()
	sim.cancelJobs()
	sim.advanceWorkers()
	sim.observeSignals()
	for _, c := range sim.core.Decide(sim.now, sim.state) {
		sim.apply(c)
	}
	sim.carryOut()
	sim.checkInvariants()
}

// inFault reports whether this is the time of the first fault or, with twice, of the
// second.
func (sim *simulation) inFault(twice bool) bool {
	in := func(from time.Duration) bool { return sim.now >= from && sim.now < from+faultDuration }
	return in(firstFaultAt) || (twice && in(secondFaultAt))
}

// injectFaults breaks the last worker and fails a third of the workers if the
// scenario says so. With both faults, both occur twice.
func (sim *simulation) injectFaults() {
	twice := sim.scenario.BadWorker && sim.scenario.DomainLoss
	sim.workers[workerCount-1].broken = sim.scenario.BadWorker && sim.inFault(twice)
	if !sim.scenario.DomainLoss {
		return
	}
	for _, w := range sim.workers {
		if w.index%3 == 1 {
			sim.setLost(w, sim.inFault(twice))
		}
	}
}

// setLost makes a worker fail or return. The attempts of a worker that fails end at
// once; control is informed when the worker's lease has expired.
func (sim *simulation) setLost(w *worker, lost bool) {
	switch {
	case lost && !w.lost:
		w.lost = true
		sim.lostAt[w.id] = sim.now
		for _, a := range w.attempts {
			sim.totals.addLost(a, a.progress-a.checkpoint)
		}
		w.attempts, w.order, w.signals = make(map[lwunit.TaskID]*attempt), nil, nil
	case !lost && w.lost:
		w.lost = false
		sim.registerWorker(w)
	case w.lost && sim.now-sim.lostAt[w.id] == leaseDuration:
		known, _ := sim.state.Worker(w.id)
		sim.apply(lwstate.LoseWorker{Worker: w.id, Registered: known.Registered})
	}
}

func (sim *simulation) submitArrivals() {
	for sim.nextJob < len(sim.jobs) && sim.jobs[sim.nextJob].arrival <= sim.now {
		j := sim.jobs[sim.nextJob]
		sim.nextJob++
		sim.apply(lwstate.SubmitJob{Spec: j.spec})
		if j.urgent && !j.unrunnable {
			sim.waiting[j.spec.ID] = true
		}
	}
}

// cancelJobs cancels a third of the active jobs at once.
func (sim *simulation) cancelJobs() {
	if !sim.scenario.CancelWave || sim.now != firstFaultAt {
		return
	}
	for i, j := range sim.state.Jobs() {
		if !j.Phase.Final() && i%3 == 0 {
			sim.apply(lwstate.CancelJob{Job: j.Spec.ID})
			delete(sim.waiting, j.Spec.ID)
		}
	}
}

// cpuShares returns a function from a task on w to the CPU share that the core allows
// it, 1 without a limit.
func (sim *simulation) cpuShares(w *worker) func(lwunit.TaskID) float64 {
	limits := sim.core.Throttles(w.id)
	return func(id lwunit.TaskID) float64 {
		if p, ok := limits[id]; ok {
			return float64(p) / 100
		}
		return 1
	}
}

func (sim *simulation) advanceWorkers() {
	for _, w := range sim.workers {
		if w.lost {
			continue
		}
		reports := w.advance(sim.now, serviceLoad(w.index, sim.now, sim.scenario.ShiftingLoad), sim.cpuShares(w), &sim.totals)
		reports = append(reports, w.outOfMemory(&sim.totals)...)
		if len(reports) == 0 {
			continue
		}
		sim.apply(lwstate.ReportTasks{Reports: reports})
		for _, r := range reports {
			if r.Event == lwstate.EventSucceeded || r.Event == lwstate.EventFailed {
				sim.core.Observe(sim.now, sim.state, lwplacement.AttemptEnded{Worker: w.id, Task: r.Task, Failed: r.Event == lwstate.EventFailed})
			}
		}
	}
}

func (sim *simulation) observeSignals() {
	if sim.now%signalInterval != 0 {
		return
	}
	for _, w := range sim.workers {
		if w.lost {
			continue
		}
		w.closeWindow(sim.now, sim.rng)
		for _, s := range w.takeVisible(sim.now) {
			sim.observeSignal(w, s)
		}
	}
}

func (sim *simulation) observeSignal(w *worker, s signal) {
	ids := make([]lwunit.TaskID, 0, len(s.usage))
	for id := range s.usage {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		sim.core.Observe(sim.now, sim.state, lwplacement.UsageSample{Task: id, Used: s.usage[id], Age: signalLag})
	}
	if w.hasService {
		sim.core.Observe(sim.now, sim.state, lwplacement.SignalSample{Worker: w.id, Service: sim.workload.service, Requests: s.requests, Late: s.late, Slots: 8, Window: signalInterval, Age: sim.now - s.at})
	}
}

// carryOut makes the workers that are not lost start and stop tasks as the state
// demands.
func (sim *simulation) carryOut() {
	for _, w := range sim.workers {
		if w.lost {
			continue
		}
		for _, t := range sim.state.TasksOnWorker(w.id) {
			sim.carryOutTask(w, t)
		}
	}
}

func (sim *simulation) carryOutTask(w *worker, t lwstate.Task) {
	a := w.attempts[t.ID]
	switch {
	case a == nil && t.Phase == lwstate.TaskPlaced:
		progress, _ := time.ParseDuration(t.Checkpoint)
		w.attempts[t.ID] = &attempt{task: t, job: sim.jobByID[t.Job], startAt: sim.now + startDelay, progress: progress, checkpoint: progress, checkpointAt: sim.now}
		w.order = append(w.order, t.ID)
		sim.recordStart(t)
	case a == nil:
		sim.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: t.ID, Token: t.Token, Event: lwstate.EventStopped}}})
	case t.Phase == lwstate.TaskStopping && a.stopAt == 0:
		a.stopAt = sim.now + checkpointTime
		if t.Stop == lwstate.StopEvict {
			sim.totals.evictions++
			sim.totals.lostWork += float64(checkpointTime) * a.job.cores
		}
	default:
		a.task.Reserve = t.Reserve
	}
}

func (sim *simulation) recordStart(t lwstate.Task) {
	if sim.waiting[t.Job] {
		delete(sim.waiting, t.Job)
		sim.totals.urgentWaits = append(sim.totals.urgentWaits, sim.now+startDelay-sim.jobByID[t.Job].arrival)
	}
}

// checkInvariants counts tasks on two workers and overcommitted workers, neither of
// which may happen.
func (sim *simulation) checkInvariants() {
	seen := make(map[lwunit.TaskID]bool)
	for _, w := range sim.workers {
		for _, id := range w.order {
			if seen[id] {
				sim.totals.doubled++
			}
			seen[id] = true
		}
		if sim.state.Free(w.id).Negative() {
			sim.totals.overcommit++
		}
	}
}

// workBound returns the most work that a clairvoyant scheduler could finish, in
// core-nanoseconds: the jobs that can end in time, or the capacity beside the
// service's reserves if that is less.
func (sim *simulation) workBound() float64 {
	submitted, capacity := 0.0, 0.0
	for _, j := range sim.jobs {
		if !j.unrunnable {
			remaining := sim.scenario.Horizon - j.arrival
			if j.runTime < remaining {
				submitted += j.cores * float64(j.runTime) * float64(j.spec.Tasks)
			}
		}
	}
	for _, w := range sim.workers {
		cores := float64(w.capacity.Millicores) / 1000
		if w.hasService {
			cores -= float64(sim.workload.reserve.Millicores) / 1000
		}
		capacity += cores * float64(sim.scenario.Horizon)
	}
	return min(submitted, capacity)
}

func (sim *simulation) result(v Variant) Result {
	sort.Slice(sim.totals.urgentWaits, func(i, k int) bool { return sim.totals.urgentWaits[i] < sim.totals.urgentWaits[k] })
	for id := range sim.waiting {
		sim.totals.urgentWaits = append(sim.totals.urgentWaits, sim.now-sim.jobByID[id].arrival) // never started, so the time waited until the end
	}
	sort.Slice(sim.totals.urgentWaits, func(i, k int) bool { return sim.totals.urgentWaits[i] < sim.totals.urgentWaits[k] })
	res := Result{
		Deployment: sim.workload.name, Scenario: sim.scenario.Name, Variant: v.Name, LatePercent: 100 * sim.totals.late / sim.totals.requests,
		Throughput: sim.totals.finishedWork / sim.workBound(), Evictions: sim.totals.evictions, LostWork: sim.totals.lostWork / max(1, sim.totals.workDone),
		Overcommit: sim.totals.overcommit, OutOfMemory: sim.totals.outOfMemory, Finished: sim.totals.finished, Doubled: sim.totals.doubled,
	}
	if n := len(sim.totals.urgentWaits); n > 0 {
		res.UrgentP99, res.UrgentWorst = sim.totals.urgentWaits[n*99/100], sim.totals.urgentWaits[n-1]
	}
	return res
}
