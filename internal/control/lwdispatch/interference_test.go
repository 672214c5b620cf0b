package lwdispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// simulation simulates workers on which filling work interferes with serving tasks.
// The load of each serving task oscillates, a gain is set for each pair of images,
// and tail latencies are smoothed as a worker does it.
type simulation struct {
	*fixture
	gains  map[imagePair]float64
	target float64
	runs   map[lwunit.WorkerID]map[lwunit.TaskID]*simulatedRun

	servingTime, overTime time.Duration
	fillingWork           float64 // core seconds of filling work done
}

type simulatedRun struct {
	id           lwjob.RunID
	image        string
	filling      bool
	cores        float64
	cpuPercent   int
	workLeft     time.Duration // at 100 percent
	loadPhase    float64       // offset of the load oscillation, in periods
	smoothedTail float64       // in milliseconds; 0 for filling runs
}

const (
	tickLength     = 50 * time.Millisecond
	ticksPerReport = 3
	loadPeriod     = 10 * time.Second
	tailSmoothing  = 360 * time.Millisecond
	simulatedCores = 16
)

func newSimulation(t *testing.T) *simulation {
	return &simulation{fixture: newFixture(t), gains: make(map[imagePair]float64), target: 24, runs: make(map[lwunit.WorkerID]map[lwunit.TaskID]*simulatedRun)}
}

// carryOutOrders carries out the orders of a worker.
func (x *simulation) carryOutOrders(id lwunit.WorkerID) {
	list := x.pendingOrders[id]
	x.pendingOrders[id] = nil
	for _, o := range list {
		switch o := o.(type) {
		case StartRun:
			x.startRun(id, o)
		case StopRun:
			if r := x.runs[id][o.Task]; r != nil && r.id == o.Run {
				x.finishRun(id, o.Task, lwjob.EndStopped)
			}
		case LimitRunCPU:
			if r := x.runs[id][o.Task]; r != nil && r.id == o.Run {
				r.cpuPercent = o.CPUPercent
			}
		}
	}
}

func (x *simulation) startRun(id lwunit.WorkerID, o StartRun) {
	job, key, err := lwjob.ParseTaskName(o.Task)
	if err != nil {
		x.t.Fatal(err)
	}
	s := x.table.Job(job).Spec.Steps[key.Step]
	x.runs[id][o.Task] = &simulatedRun{
		id: o.Run, image: s.Image, filling: s.Filling, cores: float64(s.Need.Millicores) / 1000, cpuPercent: o.CPUPercent,
		workLeft: s.Estimate.Std(), loadPhase: float64(len(x.runs[id])) / 7,
	}
}

func (x *simulation) finishRun(id lwunit.WorkerID, task lwunit.TaskID, how lwjob.EndKind) {
	r := x.runs[id][task]
	delete(x.runs[id], task)
	x.updateLists(id)
	x.report(id, lwjob.End{Task: task, Run: r.id, How: how})
}

// updateLists sets the runs that a worker lists.
func (x *simulation) updateLists(id lwunit.WorkerID) {
	x.lists[id] = nil
	for task, r := range x.runs[id] {
		status := RunStatus{Task: task, Run: r.id, Progress: 100, Gauge: int(math.Round(r.smoothedTail))}
		if r.filling {
			status.Progress, status.Gauge = 50, int(r.cores*1000)*r.cpuPercent/fullPercent
		}
		x.lists[id] = append(x.lists[id], status)
	}
}

// tick simulates one tick of a worker.
func (x *simulation) tick(id lwunit.WorkerID) {
	shares := make(map[string]float64)
	for _, r := range x.runs[id] {
		if r.filling {
			shares[r.image] += r.cores * float64(r.cpuPercent) / fullPercent / simulatedCores
		}
	}
	for task, r := range x.runs[id] {
		if r.filling {
			x.fillingWork += r.cores * float64(r.cpuPercent) / fullPercent * tickLength.Seconds()
			r.workLeft -= tickLength * time.Duration(r.cpuPercent) / fullPercent
			if r.workLeft <= 0 {
				x.finishRun(id, task, lwjob.EndDone)
			}
			continue
		}
		tail := 9 * (1 + 0.5*math.Sin(2*math.Pi*(x.now.Seconds()/loadPeriod.Seconds()+r.loadPhase)))
		factor := 1.0
		for filling, share := range shares {
			factor += x.gains[imagePair{filling, r.image}] * share
		}
		tail *= factor
		if r.smoothedTail == 0 {
			r.smoothedTail = tail
		}
		r.smoothedTail += (tail - r.smoothedTail) * (1 - math.Exp(-tickLength.Seconds()/tailSmoothing.Seconds()))
		x.servingTime += tickLength
		if tail > x.target {
			x.overTime += tickLength
		}
	}
}

// simulate runs the simulation for a time. It calls onTick at the start of each tick.
func (x *simulation) simulate(d time.Duration, onTick func(tick int)) {
	for tick := range int(d / tickLength) {
		onTick(tick)
		x.advance(tickLength)
		for id := range x.runs {
			x.carryOutOrders(id)
			x.tick(id)
			if tick%ticksPerReport == 0 {
				x.updateLists(id)
				x.report(id)
			}
		}
	}
}

// Filling work is submitted faster than the tail latency targets allow. The tail
// latencies must be within their targets for 95 percent of the time, while filling
// work continues on the half of the pairs of images that do not interfere.
func TestFillingWithOscillatingLoad(t *testing.T) {
	x := newSimulation(t)
	const workers, images = 6, 4
	for i := range workers {
		id := lwunit.WorkerID(fmt.Sprintf("w%d", i))
		x.runs[id] = make(map[lwunit.TaskID]*simulatedRun)
		x.join(workerInfo(string(id), simulatedCores))
	}
	for i := range images {
		for j := range images {
			if (i+j)%2 == 0 {
				x.gains[imagePair{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}] = 30
			}
		}
		s := tasks(workers, 2, 0)
		s.LongRunning, s.TailTarget, s.Image = true, lwunit.Duration(time.Duration(x.target)*time.Millisecond), fmt.Sprintf("s%d", i)
		x.submit(fmt.Sprintf("serve%d", i), s)
	}
	n := 0
	x.simulate(5*time.Second, func(int) {})
	x.overTime, x.servingTime, x.fillingWork = 0, 0, 0
	x.simulate(30*time.Second, func(tick int) {
		if tick%10 == 0 {
			s := tasks(8, 2, 2*time.Second)
			s.Filling, s.Checkpointed, s.Image = true, true, fmt.Sprintf("f%d", n%images)
			x.submit(fmt.Sprintf("fill%d", n), s)
			n++
		}
	})
	over := x.overTime.Seconds() / x.servingTime.Seconds()
	// Serving tasks leave 8 of 16 cores of each worker. Half of these can be used
	// if each filling image is placed on the workers where it does not interfere.
	filled := x.fillingWork / (workers * 8 * 30)
	t.Logf("tail latencies over their targets for %.3f of the time; filling work used %.2f of the free processors", over, filled)
	if over > 0.05 {
		t.Errorf("tail latencies over their targets for %.3f of the time, want 0.05 at most", over)
	}
	if filled < 0.25 {
		t.Errorf("filling work used %.2f of the free processors, want 0.25 at least", filled)
	}
}

// BenchmarkReport measures the time of one report at the leader of 64 workers that are
// full, while 100 steps wait.
func BenchmarkReport(b *testing.B) {
	x := newSimulation(&testing.T{})
	const workers, images = 64, 10
	for i := range workers {
		id := lwunit.WorkerID(fmt.Sprintf("w%d", i))
		x.runs[id] = make(map[lwunit.TaskID]*simulatedRun)
		x.join(workerInfo(string(id), simulatedCores))
	}
	for i := range images {
		for j := range images {
			x.gains[imagePair{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}] = float64((i * j) % 7 * 5)
		}
		s := tasks(workers/2, 3, 0)
		s.LongRunning, s.TailTarget, s.Image = true, lwunit.Duration(time.Duration(x.target)*time.Millisecond), fmt.Sprintf("s%d", i)
		x.submit(fmt.Sprintf("serve%d", i), s)
	}
	x.simulate(3*time.Second, func(int) {})
	n := 0
	x.simulate(5*time.Second, func(int) {
		s := tasks(20, 2, 20*time.Second)
		s.Filling, s.Image = true, fmt.Sprintf("f%d", n%images)
		x.submit(fmt.Sprintf("fill%d", n), s)
		n++
	})
	ids := make([]lwunit.WorkerID, 0, workers)
	for id := range x.runs {
		ids = append(ids, id)
	}
	b.ResetTimer()
	for i := range b.N {
		x.now += time.Millisecond
		x.report(ids[i%workers])
	}
}

// A step with many tasks ends only when its slowest one does. Runs that are throttled
// for interference must move to a worker without it within half of their run
// time.
func TestThrottledRunsMove(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	serving := tasks(1, 2, 0)
	serving.LongRunning, serving.TailTarget, serving.Image = true, f.queue.TargetLatency, "web"
	f.submit("serve", serving)
	f.startAll("w1")
	filling := tasks(2, 1, time.Second)
	filling.Filling, filling.Checkpointed, filling.Image = true, true, "render"
	f.submit("fill", filling)
	f.startAll("w1")
	f.join(workerInfo("w2", 8))
	f.lists["w1"][0].Gauge = 300 // of a target of 250 ms
	stops := func() int {
		n := 0
		for _, o := range f.pendingOrders["w1"] {
			if _, ok := o.(StopRun); ok {
				n++
			}
		}
		return n
	}
	waited := time.Duration(0)
	for ; waited < time.Second && stops() < 2; waited += 50 * time.Millisecond {
		f.advance(50 * time.Millisecond)
		f.report("w1")
		f.report("w2")
	}
	if most := filling.Estimate.Std() / 2; waited > most {
		t.Errorf("runs were throttled for %s before they moved, want %s at most", waited, most)
	}
}
