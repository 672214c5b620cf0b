package lwdispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// interference is the load pattern of filling work beside tasks that serve:
// the load of each serving task swings, half of the pairs of images disturb
// each other, and figures are smoothed over half a second.
type interference struct {
	*fixture
	gains  map[pairKey]float64
	target float64
	runs   map[lwunit.WorkerID]map[lwunit.TaskID]*simulatedRun

	servingTime, overTime time.Duration
	filled                float64 // core seconds that were worked
}

type simulatedRun struct {
	id     lwjob.RunID
	image  string
	fills  bool
	cores  float64
	pace   int
	left   time.Duration // of work
	phase  float64       // of the swing
	figure float64       // tail as the worker smooths it
}

const (
	simulatedTick = 50 * time.Millisecond
	reportEach    = 3 // ticks
	swingPeriod   = 10 * time.Second
	smoothing     = 360 * time.Millisecond
	workerCores   = 16
)

func newInterference(t *testing.T) *interference {
	return &interference{fixture: newFixture(t), gains: make(map[pairKey]float64), target: 24, runs: make(map[lwunit.WorkerID]map[lwunit.TaskID]*simulatedRun)}
}

// obey carries out the orders of a worker.
func (x *interference) obey(id lwunit.WorkerID) {
	list := x.orders[id]
	x.orders[id] = nil
	for _, o := range list {
		switch o := o.(type) {
		case StartRun:
			x.begin(id, o)
		case StopRun:
			if r := x.runs[id][o.Task]; r != nil && r.id == o.Run {
				x.finish(id, o.Task, lwjob.EndStopped)
			}
		case PaceRun:
			if r := x.runs[id][o.Task]; r != nil && r.id == o.Run {
				r.pace = o.Percent
			}
		}
	}
}

func (x *interference) begin(id lwunit.WorkerID, o StartRun) {
	job, key, err := lwjob.ParseTaskName(o.Task)
	if err != nil {
		x.t.Fatal(err)
	}
	s := x.table.Job(job).Spec.Steps[key.Step]
	x.runs[id][o.Task] = &simulatedRun{
		id: o.Run, image: s.Image, fills: s.Filling, cores: float64(s.Need.Millicores) / 1000, pace: o.Percent,
		left: s.Estimate.Std(), phase: float64(len(x.runs[id])) / 7,
	}
}

func (x *interference) finish(id lwunit.WorkerID, task lwunit.TaskID, how lwjob.EndKind) {
	r := x.runs[id][task]
	delete(x.runs[id], task)
	x.list(id)
	x.report(id, lwjob.End{Task: task, Run: r.id, How: how})
}

// list sets the rows that a worker lists.
func (x *interference) list(id lwunit.WorkerID) {
	x.lists[id] = nil
	for task, r := range x.runs[id] {
		row := RunRow{Task: task, Run: r.id, Progress: 100, Gauge: int(math.Round(r.figure))}
		if r.fills {
			row.Progress, row.Gauge = 50, int(r.cores*1000)*r.pace/fullPace
		}
		x.lists[id] = append(x.lists[id], row)
	}
}

// work lets a worker do one tick.
func (x *interference) work(id lwunit.WorkerID) {
	uses := make(map[string]float64)
	for _, r := range x.runs[id] {
		if r.fills {
			uses[r.image] += r.cores * float64(r.pace) / fullPace / workerCores
		}
	}
	for task, r := range x.runs[id] {
		if r.fills {
			x.filled += r.cores * float64(r.pace) / fullPace * simulatedTick.Seconds()
			r.left -= simulatedTick * time.Duration(r.pace) / fullPace
			if r.left <= 0 {
				x.finish(id, task, lwjob.EndDone)
			}
			continue
		}
		tail := 9 * (1 + 0.5*math.Sin(2*math.Pi*(x.now.Seconds()/swingPeriod.Seconds()+r.phase)))
		factor := 1.0
		for fills, share := range uses {
			factor += x.gains[pairKey{fills, r.image}] * share
		}
		tail *= factor
		if r.figure == 0 {
			r.figure = tail
		}
		r.figure += (tail - r.figure) * (1 - math.Exp(-simulatedTick.Seconds()/smoothing.Seconds()))
		x.servingTime += simulatedTick
		if tail > x.target {
			x.overTime += simulatedTick
		}
	}
}

// play lets time pass; each tick first hands in what comes then.
func (x *interference) play(d time.Duration, come func(tick int)) {
	for tick := range int(d / simulatedTick) {
		come(tick)
		x.pass(simulatedTick)
		for id := range x.runs {
			x.obey(id)
			x.work(id)
			if tick%reportEach == 0 {
				x.list(id)
				x.report(id)
			}
		}
	}
}

// Filling work is demanded faster than the tails let it be done. Tails are to
// keep their targets for 95 of 100 seconds, while the work that disturbs none
// of them goes on: half of the pairs.
func TestFillingBesideSwingingTails(t *testing.T) {
	x := newInterference(t)
	const workers, images = 6, 4
	for i := range workers {
		id := lwunit.WorkerID(fmt.Sprintf("w%d", i))
		x.runs[id] = make(map[lwunit.TaskID]*simulatedRun)
		x.join(workerInfo(string(id), workerCores))
	}
	for i := range images {
		for j := range images {
			if (i+j)%2 == 0 {
				x.gains[pairKey{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}] = 30
			}
		}
		s := tasks(workers, 2, 0)
		s.LongRunning, s.TailTarget, s.Image = true, lwunit.Duration(time.Duration(x.target)*time.Millisecond), fmt.Sprintf("s%d", i)
		x.submit(fmt.Sprintf("serve%d", i), s)
	}
	n := 0
	x.play(5*time.Second, func(int) {})
	x.overTime, x.servingTime, x.filled = 0, 0, 0
	x.play(30*time.Second, func(tick int) {
		if tick%10 == 0 {
			s := tasks(8, 2, 2*time.Second)
			s.Filling, s.Checkpointed, s.Image = true, true, fmt.Sprintf("f%d", n%images)
			x.submit(fmt.Sprintf("fill%d", n), s)
			n++
		}
	})
	over := x.overTime.Seconds() / x.servingTime.Seconds()
	// Serving tasks leave 8 of 16 cores of each worker; half of them could be
	// filled if each image found the workers that bear it.
	filled := x.filled / (workers * 8 * 30)
	t.Logf("tails over their targets for %.3f of the time; filling work took %.2f of the free processors", over, filled)
	if over > 0.05 {
		t.Errorf("tails missed their targets for %.3f of the time, want 0.05 at most", over)
	}
	if filled < 0.25 {
		t.Errorf("filling work took %.2f of the free processors, want 0.25 at least", filled)
	}
}

// BenchmarkReport measures what one report costs the leader of 64 workers that
// are full, while 100 steps wait.
func BenchmarkReport(b *testing.B) {
	x := newInterference(&testing.T{})
	const workers, images = 64, 10
	for i := range workers {
		id := lwunit.WorkerID(fmt.Sprintf("w%d", i))
		x.runs[id] = make(map[lwunit.TaskID]*simulatedRun)
		x.join(workerInfo(string(id), workerCores))
	}
	for i := range images {
		for j := range images {
			x.gains[pairKey{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}] = float64((i * j) % 7 * 5)
		}
		s := tasks(workers/2, 3, 0)
		s.LongRunning, s.TailTarget, s.Image = true, lwunit.Duration(time.Duration(x.target)*time.Millisecond), fmt.Sprintf("s%d", i)
		x.submit(fmt.Sprintf("serve%d", i), s)
	}
	x.play(3*time.Second, func(int) {})
	n := 0
	x.play(5*time.Second, func(int) {
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

// Runs of a wide step stand still beside a tail that they disturb, and the step
// waits for them: they move to a worker that bears them well before their
// siblings elsewhere are done.
func TestStragglersOfAWideStepMove(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	serving := tasks(1, 2, 0)
	serving.LongRunning, serving.TailTarget, serving.Image = true, f.queue.Target, "web"
	f.submit("serve", serving)
	f.run("w1")
	filling := tasks(2, 1, time.Second)
	filling.Filling, filling.Checkpointed, filling.Image = true, true, "render"
	f.submit("fill", filling)
	f.run("w1")
	f.join(workerInfo("w2", 8))
	f.lists["w1"][0].Gauge = 300 // of a target of 250 ms
	stops := func() int {
		n := 0
		for _, o := range f.orders["w1"] {
			if _, ok := o.(StopRun); ok {
				n++
			}
		}
		return n
	}
	waited := time.Duration(0)
	for ; waited < time.Second && stops() < 2; waited += 50 * time.Millisecond {
		f.pass(50 * time.Millisecond)
		f.report("w1")
		f.report("w2")
	}
	if most := filling.Estimate.Std() / 2; waited > most {
		t.Errorf("runs stood still for %s before they moved, want %s at most", waited, most)
	}
}
