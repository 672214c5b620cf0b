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
	workerCount  = 12
	serviceCount = 8 // workers that carry the service
	teamCount    = 4
	faultFrom    = 40 * time.Minute
	faultFor     = 20 * time.Minute
	secondFault  = 110 * time.Minute
	leaseEnd     = 12 * time.Second
	epoch        = lwunit.Millis(1_000_000_000_000)
	memoryRamp   = 2 * time.Minute // in which a task's memory grows to its size
)

// job is a submitted job and what it really needs.
type job struct {
	spec    lwstate.JobSpec
	arrives time.Duration
	cores   float64
	memory  lwunit.Bytes
	run     time.Duration
	disturb float64
	fails   bool
	urgent  bool
	never   bool
}

func (j *job) memoryAt(done time.Duration) lwunit.Bytes {
	grown := min(1, 0.3+0.7*float64(done)/float64(memoryRamp))
	return lwunit.Bytes(float64(j.memory) * grown)
}

// book counts what the run was worth.
type book struct {
	requests, late float64
	workDone       float64 // core-nanoseconds, lost work included
	useful         float64 // of finished tasks
	lost           float64
	finished       int
	evictions      int
	outOfMemory    int
	overcommit     int
	doubled        int
	urgent         []time.Duration
}

func (b *book) lose(r *run, work time.Duration) { b.lost += float64(work) * r.job.cores }

// drive is one run of a variant through a scenario.
type drive struct {
	sc      Scenario
	mix     mix
	core    *lwplacement.Core
	state   *lwstate.State
	rev     lwunit.Revision
	now     time.Duration
	rng     *rand.Rand
	workers []*worker
	jobs    []*job
	byID    map[lwunit.JobID]*job
	next    int
	book    book
	waits   map[lwunit.JobID]bool // urgent jobs not started yet
	lostAt  map[lwunit.WorkerID]time.Duration
	spent   time.Duration
}

// Run runs a variant through a scenario on a deployment's mix.
func Run(sc Scenario, deployment string, v Variant, seed uint64) (Result, error) {
	var m mix
	for _, x := range mixes() {
		if x.name == deployment {
			m = x
		}
	}
	d := &drive{
		sc: sc, mix: m, core: lwplacement.New(v.Config), state: lwstate.New(), rng: rand.New(rand.NewPCG(seed, 3)),
		byID: make(map[lwunit.JobID]*job), waits: make(map[lwunit.JobID]bool), lostAt: make(map[lwunit.WorkerID]time.Duration),
	}
	if err := d.setUp(); err != nil {
		return Result{}, err
	}
	for d.now = 0; d.now < sc.Horizon; d.now += step {
		d.tick()
	}
	return d.result(v), nil
}

func (d *drive) apply(c lwstate.Command) lwstate.Result {
	d.rev++
	return d.state.Apply(d.rev, epoch.Add(d.now), c)
}

func (d *drive) setUp() error {
	objects := ""
	for i := range teamCount {
		objects += fmt.Sprintf(`{"kind": "team", "name": "team-%d", "spec": {"quota": {"millicores": %d, "memory": %q, "accelerators": 6}}},`,
			i, int(d.mix.capacity.Millicores)*workerCount/teamCount, (d.mix.capacity.Memory * workerCount / teamCount).String())
	}
	text := fmt.Sprintf(`{"number": 1, "author": "bench", "objects": [%s
		{"kind": "service", "name": %q, "spec": {"team": "team-0", "reserve": {"millicores": %d, "memory": %q}}},
		{"kind": "deployment", "name": %q, "spec": {%s}}]}`,
		objects, d.mix.service, d.mix.reserve.Millicores, d.mix.reserve.Memory.String(), d.mix.name, d.mix.weights)
	t, err := lwticket.Decode([]byte(text))
	if err != nil {
		return fmt.Errorf("scenario ticket: %w", err)
	}
	data, err := t.Canonical()
	if err != nil {
		return err
	}
	if res := d.apply(lwstate.ApplyTicket{Ticket: data}); res.Err != nil {
		return res.Err
	}
	for i := range workerCount {
		w := &worker{index: i, id: lwunit.WorkerID(fmt.Sprintf("w%02d", i)), capacity: d.mix.capacity, service: i < serviceCount, runs: make(map[lwunit.TaskID]*run)}
		d.workers = append(d.workers, w)
		d.register(w)
	}
	d.drawJobs()
	return nil
}

func (d *drive) register(w *worker) {
	spec := lwstate.WorkerSpec{
		ID: w.id, Region: d.mix.region, Domain: lwunit.FailureDomain(fmt.Sprintf("d%d", w.index%3)),
		Rack: lwunit.Rack(fmt.Sprintf("r%d", w.index/3)), Capacity: w.capacity,
	}
	d.apply(lwstate.RegisterWorker{Spec: spec, Incarnation: "i"})
	if w.service {
		d.apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: lwunit.BackendServerID("b-" + string(w.id)), Service: d.mix.service, Worker: w.id, Incarnation: "i"}})
	}
}

// drawJobs draws the whole input, the same for every variant.
func (d *drive) drawJobs() {
	total := d.sc.Demand * float64(d.mix.capacity.Millicores) / 1000 * workerCount * float64(d.sc.Horizon)
	rng := rand.New(rand.NewPCG(17, 23))
	work := 0.0
	for n := 0; work < total; n++ {
		p := d.mix.programs[rng.IntN(len(d.mix.programs))]
		at := time.Duration(rng.Float64() * float64(d.sc.Horizon) * 0.9)
		if d.sc.Waves && p.disturb > 0.1 {
			at = at.Truncate(30*time.Minute) + time.Duration(rng.IntN(60))*time.Second
		}
		off := drawSize(rng, d.sc.Spread)
		tasks := 1 + rng.IntN(4)
		j := &job{
			arrives: at, cores: p.cores, memory: p.memory, run: time.Duration(float64(p.run) * (0.5 + rng.Float64())),
			disturb: p.disturb, urgent: p.class == lwstate.ClassUrgent,
		}
		j.spec = lwstate.JobSpec{
			ID: lwunit.JobID(fmt.Sprintf("%s-%05d", p.name, n)), Team: lwunit.TeamName(fmt.Sprintf("team-%d", rng.IntN(teamCount))),
			Class: p.class, Program: p.name, Tasks: tasks, RunTime: lwunit.Duration(float64(j.run) * drawSize(rng, max(1, d.sc.Spread))),
			Needs: lwunit.Resources{Millicores: lwunit.Millicores(p.cores * 1000 * off), Memory: lwunit.Bytes(float64(p.memory) * off), Accelerators: p.accel},
		}
		if d.sc.Never && rng.IntN(20) == 0 {
			j.never = true
			j.spec.Needs.Millicores = d.mix.capacity.Millicores * 3
		}
		if !j.never {
			work += p.cores * float64(j.run) * float64(tasks)
		}
		d.jobs = append(d.jobs, j)
		d.byID[j.spec.ID] = j
	}
	sort.SliceStable(d.jobs, func(i, k int) bool { return d.jobs[i].arrives < d.jobs[k].arrives })
}

func (d *drive) tick() {
	d.faults()
	d.arrivals()
	d.cancels()
	d.advance()
	d.observe()
	for _, c := range d.core.Decide(d.now, d.state) {
		d.apply(c)
	}
	d.obey()
	d.check()
}

// inFault reports whether the first or second time of trouble has come.
func (d *drive) inFault(twice bool) bool {
	in := func(from time.Duration) bool { return d.now >= from && d.now < from+faultFor }
	return in(faultFrom) || (twice && in(secondFault))
}

func (d *drive) faults() {
	twice := d.sc.Bad && d.sc.Domain
	d.workers[workerCount-1].broken = d.sc.Bad && d.inFault(twice)
	if !d.sc.Domain {
		return
	}
	for _, w := range d.workers {
		if w.index%3 == 1 {
			d.setLost(w, d.inFault(twice))
		}
	}
}

// setLost takes a worker away or brings it back. Its attempts end at once;
// control learns of it when the leases have ended.
func (d *drive) setLost(w *worker, lost bool) {
	switch {
	case lost && !w.lost:
		w.lost = true
		d.lostAt[w.id] = d.now
		for _, r := range w.runs {
			d.book.lose(r, r.done-r.saved)
		}
		w.runs, w.order, w.window = make(map[lwunit.TaskID]*run), nil, nil
	case !lost && w.lost:
		w.lost = false
		d.register(w)
	case w.lost && d.now-d.lostAt[w.id] == leaseEnd:
		known, _ := d.state.Worker(w.id)
		d.apply(lwstate.LoseWorker{Worker: w.id, Registered: known.Registered})
	}
}

func (d *drive) arrivals() {
	for d.next < len(d.jobs) && d.jobs[d.next].arrives <= d.now {
		j := d.jobs[d.next]
		d.next++
		d.apply(lwstate.SubmitJob{Spec: j.spec})
		if j.urgent && !j.never {
			d.waits[j.spec.ID] = true
		}
	}
}

// cancels cancels a third of the active jobs in one moment.
func (d *drive) cancels() {
	if !d.sc.Cancels || d.now != faultFrom {
		return
	}
	for i, j := range d.state.Jobs() {
		if !j.Phase.Final() && i%3 == 0 {
			d.apply(lwstate.CancelJob{Job: j.Spec.ID})
			delete(d.waits, j.Spec.ID)
		}
	}
}

func (d *drive) throttle(w *worker) func(lwunit.TaskID) float64 {
	limits := d.core.Throttles(w.id)
	return func(id lwunit.TaskID) float64 {
		if p, ok := limits[id]; ok {
			return float64(p) / 100
		}
		return 1
	}
}

func (d *drive) advance() {
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		reports := w.advance(d.now, loadAt(w.index, d.now, d.sc.Shifting), d.throttle(w), &d.book)
		reports = append(reports, w.outOfMemory(&d.book)...)
		if len(reports) == 0 {
			continue
		}
		d.apply(lwstate.ReportTasks{Reports: reports})
		for _, r := range reports {
			if r.Event == lwstate.EventSucceeded || r.Event == lwstate.EventFailed {
				d.core.Observe(d.now, d.state, lwplacement.AttemptEnded{Worker: w.id, Task: r.Task, Failed: r.Event == lwstate.EventFailed})
			}
		}
	}
}

func (d *drive) observe() {
	if d.now%signalEvery != 0 {
		return
	}
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		w.measure(d.now, d.rng)
		for _, s := range w.visible(d.now) {
			d.show(w, s)
		}
	}
}

func (d *drive) show(w *worker, s signal) {
	ids := make([]lwunit.TaskID, 0, len(s.usage))
	for id := range s.usage {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		d.core.Observe(d.now, d.state, lwplacement.UsageSeen{Task: id, Used: s.usage[id], Age: signalLag})
	}
	if w.service {
		d.core.Observe(d.now, d.state, lwplacement.SignalSeen{Worker: w.id, Service: d.mix.service, Requests: s.requests, Late: s.late, Slots: 8, Window: signalEvery, Age: d.now - s.at})
	}
}

// obey makes the fakes do what the state now says.
func (d *drive) obey() {
	for _, w := range d.workers {
		if w.lost {
			continue
		}
		for _, t := range d.state.TasksOnWorker(w.id) {
			d.obeyTask(w, t)
		}
	}
}

func (d *drive) obeyTask(w *worker, t lwstate.Task) {
	r := w.runs[t.ID]
	switch {
	case r == nil && t.Phase == lwstate.TaskPlaced:
		saved, _ := time.ParseDuration(t.Checkpoint)
		w.runs[t.ID] = &run{task: t, job: d.byID[t.Job], starts: d.now + startDelay, done: saved, saved: saved, savedAt: d.now}
		w.order = append(w.order, t.ID)
		d.started(t)
	case r == nil:
		d.apply(lwstate.ReportTasks{Reports: []lwstate.TaskReport{{Task: t.ID, Token: t.Token, Event: lwstate.EventStopped}}})
	case t.Phase == lwstate.TaskStopping && r.stopAt == 0:
		r.stopAt = d.now + checkpointTime
		if t.Stop == lwstate.StopEvict {
			d.book.evictions++
			d.book.lost += float64(checkpointTime) * r.job.cores
		}
	default:
		r.task.Reserve = t.Reserve
	}
}

func (d *drive) started(t lwstate.Task) {
	if d.waits[t.Job] {
		delete(d.waits, t.Job)
		d.book.urgent = append(d.book.urgent, d.now+startDelay-d.byID[t.Job].arrives)
	}
}

// check counts what must never happen.
func (d *drive) check() {
	seen := make(map[lwunit.TaskID]bool)
	for _, w := range d.workers {
		for _, id := range w.order {
			if seen[id] {
				d.book.doubled++
			}
			seen[id] = true
		}
		if d.state.Free(w.id).Negative() {
			d.book.overcommit++
		}
	}
}

// bound is the work that could be finished by a scheduler that knows all: what
// was submitted, or what the workers had beside the services.
func (d *drive) bound() float64 {
	submitted, room := 0.0, 0.0
	for _, j := range d.jobs {
		if !j.never {
			left := d.sc.Horizon - j.arrives
			if j.run < left {
				submitted += j.cores * float64(j.run) * float64(j.spec.Tasks)
			}
		}
	}
	for _, w := range d.workers {
		cores := float64(w.capacity.Millicores) / 1000
		if w.service {
			cores -= float64(d.mix.reserve.Millicores) / 1000
		}
		room += cores * float64(d.sc.Horizon)
	}
	return min(submitted, room)
}

func (d *drive) result(v Variant) Result {
	sort.Slice(d.book.urgent, func(i, k int) bool { return d.book.urgent[i] < d.book.urgent[k] })
	for id := range d.waits {
		d.book.urgent = append(d.book.urgent, d.now-d.byID[id].arrives) // never started
	}
	sort.Slice(d.book.urgent, func(i, k int) bool { return d.book.urgent[i] < d.book.urgent[k] })
	res := Result{
		Deployment: d.mix.name, Scenario: d.sc.Name, Variant: v.Name, Late: 100 * d.book.late / d.book.requests,
		Throughput: d.book.useful / d.bound(), Evictions: d.book.evictions, LostWork: d.book.lost / max(1, d.book.workDone),
		Overcommit: d.book.overcommit, OutOfMemory: d.book.outOfMemory, Finished: d.book.finished, Doubled: d.book.doubled,
	}
	if n := len(d.book.urgent); n > 0 {
		res.UrgentP99, res.UrgentWorst = d.book.urgent[n*99/100], d.book.urgent[n-1]
	}
	return res
}
