package lwdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	capacityBeat     = 1500 * time.Millisecond // between a worker's statements of its capacity
	capacityStopTime = 900 * time.Millisecond  // that a stop takes
	capacityLate     = 2 * time.Second         // delay of a start that is carried out late
	// capacityGrace is how long a start may rest on the capacity before it has shrunk:
	// until the worker has stated it and its agent has reported it.
	capacityGrace = capacityBeat + 500*time.Millisecond
)

// capacityWorker is a stand-in for a worker that starts whatever it is told to, while
// its capacity changes.
type capacityWorker struct {
	id       lwunit.WorkerID
	capacity lwunit.Resources
	earlier  []pastCapacity
	beatAt   time.Duration
	running  []crashRun
	stopping map[runKey]time.Duration // when the stop is carried out
	blocked  map[lwunit.TaskID]lwjob.RunID
	late     []lateStart
	token    Token // highest that the worker has received
}

// pastCapacity is a capacity that a worker had until a time.
type pastCapacity struct {
	capacity lwunit.Resources
	until    time.Duration
}

// allowed returns the capacity that a start may use: the largest amounts within
// capacityGrace.
func (w *capacityWorker) allowed(now time.Duration) lwunit.Resources {
	largest := w.capacity
	for _, x := range w.earlier {
		if now-x.until < capacityGrace {
			largest = largest.Max(x.capacity)
		}
	}
	return largest
}

// lateStart is a start without an answer that is carried out later.
type lateStart struct {
	start StartRun
	at    time.Duration
	token Token
}

// capacitySimulation plays a core against workers whose capacity changes, and checks
// each start.
type capacitySimulation struct {
	*fixture
	rng       *rand.Rand
	workers   []*capacityWorker
	lateShare float64
}

func newCapacitySimulation(t *testing.T, seed uint64) *capacitySimulation {
	s := &capacitySimulation{fixture: newFixture(t), rng: rand.New(rand.NewPCG(seed, 3)), lateShare: 0.1}
	for i := range 3 {
		info := workerInfo(fmt.Sprint("w", i), 8)
		info.Capacity.Accelerators = 2
		s.infos[info.Incarnation.Worker] = info
		s.workers = append(s.workers, &capacityWorker{
			id: info.Incarnation.Worker, capacity: info.Capacity,
			stopping: make(map[runKey]time.Duration), blocked: make(map[lwunit.TaskID]lwjob.RunID),
		})
		s.join(info)
	}
	return s
}

func (s *capacitySimulation) need(task lwunit.TaskID) lwunit.Resources {
	id, key, _ := lwjob.ParseTaskName(task)
	return s.table.Job(id).Spec.Steps[key.Step].Need
}

// resize changes the capacity of a worker. The worker states it with its next beat.
func (s *capacitySimulation) resize(w *capacityWorker, share float64) {
	full := workerInfo("w", 8).Capacity
	next := lwunit.Resources{Millicores: lwunit.Millicores(share * float64(full.Millicores)), Memory: lwunit.Bytes(share * float64(full.Memory)), Accelerators: lwunit.Accelerators(2 * share)}
	w.earlier = append(w.earlier, pastCapacity{w.capacity, s.now})
	w.capacity = next
}

// start carries out a start and checks that the worker has room for it.
func (s *capacitySimulation) start(w *capacityWorker, r StartRun) {
	if r.Run <= w.blocked[r.Task] || slices.ContainsFunc(w.running, func(x crashRun) bool { return x.start.Task == r.Task && x.start.Run == r.Run }) {
		return
	}
	used := s.need(r.Task)
	for _, x := range w.running {
		used = used.Add(s.need(x.start.Task))
	}
	if allowed := w.allowed(s.now); !used.Fits(allowed) {
		s.t.Errorf("%v: the start of %s/%d brings %s to %+v of %+v", s.now, r.Task, r.Run, w.id, used, allowed)
	}
	w.running = append(w.running, crashRun{r, s.now})
	s.lists[w.id] = append(s.lists[w.id], RunStatus{Task: r.Task, Run: r.Run})
}

func (s *capacitySimulation) carryOut(w *capacityWorker) {
	orders := s.pendingOrders[w.id]
	s.pendingOrders[w.id] = nil
	for _, o := range orders {
		switch o := o.(type) {
		case StartRun:
			if s.rng.Float64() < s.lateShare {
				w.late = append(w.late, lateStart{o, s.now + capacityLate, w.token})
				continue
			}
			s.start(w, o)
		case StopRun:
			s.stop(w, o)
		}
	}
	for _, x := range w.late {
		if s.now >= x.at && x.token >= w.token {
			s.start(w, x.start)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(x lateStart) bool { return s.now >= x.at })
}

// stop begins to stop a run, or blocks one that has not begun and refuses it.
func (s *capacitySimulation) stop(w *capacityWorker, o StopRun) {
	key := runKey{o.Task, o.Run}
	w.blocked[o.Task] = max(w.blocked[o.Task], o.Run)
	if !slices.ContainsFunc(w.running, func(x crashRun) bool { return x.start.Task == o.Task && x.start.Run == o.Run }) {
		info := s.infos[w.id]
		token, _ := s.core.TokenAndCursor(info.Incarnation)
		s.core.Report(Report{Info: info, Token: token, Refused: []Refusal{{Task: o.Task, Run: o.Run, Reason: RefusedStopped}}})
		return
	}
	if _, ok := w.stopping[key]; !ok {
		w.stopping[key] = s.now + capacityStopTime
	}
}

func (s *capacitySimulation) stepWorker(w *capacityWorker) {
	s.carryOut(w)
	for _, x := range slices.Clone(w.running) {
		how := lwjob.EndDone
		key := runKey{x.start.Task, x.start.Run}
		stopAt, stopping := w.stopping[key]
		if stopping {
			how = lwjob.EndStopped
		}
		if stopping && s.now < stopAt || !stopping && s.now-x.began < time.Second {
			continue
		}
		w.running = slices.DeleteFunc(w.running, func(y crashRun) bool { return y.start.Task == key.task && y.start.Run == key.run })
		w.blocked[key.task] = max(w.blocked[key.task], key.run)
		s.endRun(w.id, x.start, how)
	}
	if s.now >= w.beatAt {
		w.beatAt = s.now + capacityBeat
		info := s.infos[w.id]
		info.Capacity, info.Seq = w.capacity, info.Seq+1
		s.infos[w.id] = info
	}
	if s.now%simReportEvery == 0 {
		s.core.Report(Report{Info: s.infos[w.id]}) // a new leader's token reaches the worker
		token, _ := s.core.TokenAndCursor(s.infos[w.id].Incarnation)
		w.token = max(w.token, token)
		s.join(s.infos[w.id])
	}
}

func (s *capacitySimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.wallClock = s.wallClock.Add(simStep)
		s.core.Advance(s.now, s.wallClock)
		for _, w := range s.workers {
			s.stepWorker(w)
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.core.Tick()
		}
		s.step()
	}
}

// No start may bring a worker over its capacity while that shrinks under what runs,
// grows again, and shrinks while starts are unanswered or runs are being stopped, under
// changing leaders.
func TestCapacityOfWorkerChanges(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newCapacitySimulation(t, seed)
			shares := []float64{1, 0.75, 0.5, 0.25}
			jobs := 0
			for range 60 {
				step := tasks(1+s.rng.IntN(4), 1+s.rng.IntN(3), time.Second)
				step.Need.Memory = lwunit.Bytes(1+s.rng.IntN(12)) * lwunit.GiB
				step.Need.Accelerators = lwunit.Accelerators(s.rng.IntN(4) / 3)
				s.submit(fmt.Sprint("j", jobs), step)
				jobs++
				s.run(200 * time.Millisecond)
				w := s.workers[s.rng.IntN(len(s.workers))]
				switch s.rng.IntN(6) {
				case 0, 1:
					s.resize(w, shares[s.rng.IntN(len(shares))])
				case 2:
					s.cancel(fmt.Sprint("j", s.rng.IntN(jobs)))
				case 3:
					for _, w := range s.workers {
						s.carryOut(w)
					}
					s.startTerm(s.core.term + 1)
				}
			}
			for _, w := range s.workers {
				s.resize(w, 1)
			}
			s.run(60 * time.Second)
			for i := range jobs {
				if state := s.table.Job(lwunit.JobID(fmt.Sprint("j", i))).State; !state.Final() {
					t.Errorf("job j%d is %s, want an end", i, state)
				}
			}
		})
	}
}

// A report that arrives late must not undo what a newer one has said of the capacity.
func TestLateReportDoesNotRestoreCapacity(t *testing.T) {
	f := newFixture(t)
	info := workerInfo("w1", 8)
	info.Seq = 1
	f.join(info)
	late := info
	info.Seq, info.Capacity.Millicores = 2, 1000
	f.join(info)
	f.core.Report(Report{Info: late})
	f.submit("big", tasks(1, 4, time.Second))
	expectStarts(t, f.takeStarts("w1"))
}

// A start that is not known to be carried out must be withdrawn when its worker has no
// room for it any more: it may still be carried out.
func TestStartIsWithdrawnWhenCapacityShrinks(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	f.submit("runs", tasks(1, 4, time.Second))
	f.startAll("w1")
	f.submit("unanswered", tasks(1, 4, time.Second))
	expectStarts(t, f.takeStarts("w1"), "unanswered.0.0.0/1")
	info := f.infos["w1"]
	info.Capacity.Millicores = 6000
	f.join(info)
	stops := ordered[StopRun](f, "w1")
	if len(stops) != 1 || stops[0].Task != "unanswered.0.0.0" {
		t.Errorf("stops of %v were ordered, want one of unanswered.0.0.0", stops)
	}
}
