package lwscenario

import (
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	stepTime               = 500 * time.Millisecond
	startDelay             = time.Second      // from placement to running
	checkpointTime         = 3 * time.Second  // from a stop order to its confirmation
	autoCheckpointInterval = 2 * time.Minute  // between the platform's own checkpoints
	signalInterval         = 10 * time.Second // length of a signal window
	signalLag              = 10 * time.Second // from the end of a window until control sees its signal
	requestsPerSecond      = 60.0             // of a worker's service at full load
)

// attempt is one attempt of a task on a simulated worker.
type attempt struct {
	task         lwstate.Task
	job          *job
	startAt      time.Duration // when it begins to run; 0 once it runs
	progress     time.Duration // work done, as run time at full speed
	checkpoint   time.Duration // progress at the last checkpoint
	checkpointAt time.Duration // time of the last checkpoint
	stopAt       time.Duration // when a stop is confirmed; 0 for none
}

// worker simulates one worker: its capacity, contention and interference, signals
// that arrive late, failures and the cost of checkpoints.
type worker struct {
	index      int
	id         lwunit.WorkerID
	capacity   lwunit.Resources
	hasService bool
	broken     bool
	lost       bool
	attempts   map[lwunit.TaskID]*attempt
	order      []lwunit.TaskID // ids of the attempts, in the order of placement
	requests   float64         // in the open signal window
	late       float64         // late requests in the open signal window
	signals    []signal        // of closed windows, not visible yet
}

// signal holds the measurements of a worker in one window.
type signal struct {
	at       time.Duration // end of the window
	requests int
	late     int
	usage    map[lwunit.TaskID]lwunit.Resources
}

// contention returns the share of full speed at which tasks run, and the demand
// for processors beyond the worker's as a share of them. The service takes an
// eighth of the processors at full load.
func (w *worker) contention(load float64, cpuShare func(lwunit.TaskID) float64) (float64, float64) {
	used := 0.0
	for _, id := range w.order {
		a := w.attempts[id]
		if a.running() {
			used += a.job.cores * cpuShare(id)
		}
	}
	if w.hasService {
		used += load * float64(w.capacity.Millicores) / 1000 * 0.125
	}
	total := used / (float64(w.capacity.Millicores) / 1000)
	if total <= 1 {
		return 1, 0
	}
	return 1 / total, total - 1
}

func (a *attempt) running() bool { return a.startAt == 0 }

// advance simulates one step and returns the reports to control.
func (w *worker) advance(now time.Duration, load float64, cpuShare func(lwunit.TaskID) float64, t *totals) []lwstate.TaskReport {
	var reports []lwstate.TaskReport
	speed, overload := w.contention(load, cpuShare)
	interference := 0.0
	for _, id := range append([]lwunit.TaskID(nil), w.order...) {
		a := w.attempts[id]
		if a.startAt > 0 {
			if now >= a.startAt {
				a.startAt = 0
				reports = append(reports, lwstate.TaskReport{Task: id, Token: a.task.Token, Event: lwstate.EventRunning})
			}
			continue
		}
		interference += a.job.interference * a.job.cores / (float64(w.capacity.Millicores) / 1000) * cpuShare(id)
		a.progress += time.Duration(float64(stepTime) * speed * cpuShare(id))
		t.workDone += float64(stepTime) * speed * cpuShare(id) * a.job.cores
		if now-a.checkpointAt >= autoCheckpointInterval {
			a.checkpoint, a.checkpointAt = a.progress, now
		}
		if report, ended := w.reportEnd(now, a, t); ended {
			reports = append(reports, report)
			w.remove(id)
		}
	}
	if w.hasService {
		w.countRequests(load, interference, overload, t)
	}
	return reports
}

// reportEnd returns the final report of an attempt, and whether the attempt ends
// now. The report of an attempt that goes on has no event.
func (w *worker) reportEnd(now time.Duration, a *attempt, t *totals) (lwstate.TaskReport, bool) {
	report := lwstate.TaskReport{Task: a.task.ID, Token: a.task.Token}
	switch {
	case w.broken || a.job.fails:
		report.Event, report.Reason = lwstate.EventFailed, "failed"
		t.addLost(a, a.progress)
	case a.progress >= a.job.runTime:
		report.Event = lwstate.EventSucceeded
		t.finished++
		t.finishedWork += float64(a.job.runTime) * a.job.cores
	case a.stopAt > 0 && now >= a.stopAt:
		report.Event, report.Checkpoint = lwstate.EventStopped, a.progress.String()
	default:
		return report, false
	}
	return report, true
}

// countRequests counts the requests of one step. The share of late requests grows
// with the tasks' interference times the service's load, and with overload.
func (w *worker) countRequests(load, interference, overload float64, t *totals) {
	n := requestsPerSecond * load * stepTime.Seconds()
	late := min(1, baseLateShare+interference*load+0.5*overload) * n
	w.requests += n
	w.late += late
	t.requests += n
	t.late += late
}

func (w *worker) remove(id lwunit.TaskID) {
	delete(w.attempts, id)
	for i, x := range w.order {
		if x == id {
			w.order = append(w.order[:i], w.order[i+1:]...)
			return
		}
	}
}

// outOfMemory kills the attempt that exceeds its reserve most if the attempts use
// more memory than the worker has.
func (w *worker) outOfMemory(t *totals) []lwstate.TaskReport {
	var sum lwunit.Bytes
	var worst *attempt
	for _, id := range w.order {
		a := w.attempts[id]
		used := a.job.memoryUsed(a.progress)
		sum += used
		if worst == nil || used-a.task.Reserve.Memory > worst.job.memoryUsed(worst.progress)-worst.task.Reserve.Memory {
			worst = a
		}
	}
	if sum <= w.capacity.Memory || worst == nil {
		return nil
	}
	t.outOfMemory++
	t.addLost(worst, worst.progress-worst.checkpoint)
	w.remove(worst.task.ID)
	return []lwstate.TaskReport{{Task: worst.task.ID, Token: worst.task.Token, Event: lwstate.EventStopped, Checkpoint: worst.checkpoint.String()}}
}

// closeWindow closes the signal window; the signal becomes visible signalLag later.
func (w *worker) closeWindow(now time.Duration, rng *rand.Rand) {
	s := signal{at: now, requests: int(w.requests), usage: make(map[lwunit.TaskID]lwunit.Resources)}
	for range s.requests {
		if rng.Float64() < w.late/max(1, w.requests) {
			s.late++
		}
	}
	for _, id := range w.order {
		a := w.attempts[id]
		if a.running() {
			s.usage[id] = lwunit.Resources{
				Millicores: lwunit.Millicores(a.job.cores * 1000), Memory: a.job.memoryUsed(a.progress), Accelerators: a.job.spec.Needs.Accelerators,
			}
		}
	}
	w.requests, w.late = 0, 0
	w.signals = append(w.signals, s)
}

// takeVisible removes and returns the signals that have become visible.
func (w *worker) takeVisible(now time.Duration) []signal {
	n := 0
	for n < len(w.signals) && now-w.signals[n].at >= signalLag {
		n++
	}
	visible := w.signals[:n]
	w.signals = w.signals[n:]
	return visible
}
