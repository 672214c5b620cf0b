package lwscenario

import (
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	step           = 500 * time.Millisecond
	startDelay     = time.Second     // from placement to running
	checkpointTime = 3 * time.Second // from the eviction to the confirmed stop
	autoCheckpoint = 2 * time.Minute // the platform's own checkpoints
	signalEvery    = 10 * time.Second
	signalLag      = 10 * time.Second
	requestsPerSec = 60.0 // of a service at full load, a worker
)

// run is one attempt on a fake worker.
type run struct {
	task    lwstate.Task
	job     *job
	starts  time.Duration
	done    time.Duration // work done at full speed
	saved   time.Duration // at the last checkpoint
	savedAt time.Duration
	stopAt  time.Duration // when a stop is confirmed; 0 for none
}

// worker is a fake of one worker's interface: capacity, lagged usage, pairwise
// slow-down by load, failures and the cost of checkpoints.
type worker struct {
	index    int
	id       lwunit.WorkerID
	capacity lwunit.Resources
	service  bool
	broken   bool
	lost     bool
	runs     map[lwunit.TaskID]*run
	order    []lwunit.TaskID
	requests float64
	late     float64
	window   []signal
}

type signal struct {
	at       time.Duration
	requests int
	late     int
	usage    map[lwunit.TaskID]lwunit.Resources
}

// speedOf returns the share of full speed that contention leaves to batch.
func (w *worker) speedOf(load float64, throttle func(lwunit.TaskID) float64) (float64, float64) {
	used := 0.0
	for _, id := range w.order {
		r := w.runs[id]
		if r.running() {
			used += r.job.cores * throttle(id)
		}
	}
	if w.service {
		used += load * float64(w.capacity.Millicores) / 1000 * 0.125
	}
	total := used / (float64(w.capacity.Millicores) / 1000)
	if total <= 1 {
		return 1, 0
	}
	return 1 / total, total - 1
}

func (r *run) running() bool { return r.starts == 0 }

// advance lets one step pass and returns the reports for control.
func (w *worker) advance(now time.Duration, load float64, throttle func(lwunit.TaskID) float64, book *book) []lwstate.TaskReport {
	var reports []lwstate.TaskReport
	speed, over := w.speedOf(load, throttle)
	disturb := 0.0
	for _, id := range append([]lwunit.TaskID(nil), w.order...) {
		r := w.runs[id]
		if r.starts > 0 {
			if now >= r.starts {
				r.starts = 0
				reports = append(reports, lwstate.TaskReport{Task: id, Token: r.task.Token, Event: lwstate.EventRunning})
			}
			continue
		}
		disturb += r.job.disturb * r.job.cores / (float64(w.capacity.Millicores) / 1000) * throttle(id)
		r.done += time.Duration(float64(step) * speed * throttle(id))
		book.workDone += float64(step) * speed * throttle(id) * r.job.cores
		if now-r.savedAt >= autoCheckpoint {
			r.saved, r.savedAt = r.done, now
		}
		if rep, ended := w.end(now, r, book); ended {
			reports = append(reports, rep)
			w.remove(id)
		}
	}
	if w.service {
		w.serve(load, disturb, over, book)
	}
	return reports
}

// end returns the report of an attempt that ends now.
func (w *worker) end(now time.Duration, r *run, book *book) (lwstate.TaskReport, bool) {
	rep := lwstate.TaskReport{Task: r.task.ID, Token: r.task.Token}
	switch {
	case w.broken || r.job.fails:
		rep.Event, rep.Reason = lwstate.EventFailed, "failed"
		book.lose(r, r.done)
	case r.done >= r.job.run:
		rep.Event = lwstate.EventSucceeded
		book.finished++
		book.useful += float64(r.job.run) * r.job.cores
	case r.stopAt > 0 && now >= r.stopAt:
		rep.Event, rep.Checkpoint = lwstate.EventStopped, r.done.String()
	default:
		return rep, false
	}
	return rep, true
}

// serve counts a step's requests; how many are late depends on what runs
// beside the service and on its load.
func (w *worker) serve(load, disturb, over float64, book *book) {
	n := requestsPerSec * load * step.Seconds()
	late := min(1, baseLate+disturb*load+0.5*over) * n
	w.requests += n
	w.late += late
	book.requests += n
	book.late += late
}

func (w *worker) remove(id lwunit.TaskID) {
	delete(w.runs, id)
	for i, x := range w.order {
		if x == id {
			w.order = append(w.order[:i], w.order[i+1:]...)
			return
		}
	}
}

// outOfMemory kills the attempt that uses most beyond its reserve when the
// worker's memory is full.
func (w *worker) outOfMemory(book *book) []lwstate.TaskReport {
	var sum lwunit.Bytes
	var worst *run
	for _, id := range w.order {
		r := w.runs[id]
		used := r.job.memoryAt(r.done)
		sum += used
		if worst == nil || used-r.task.Reserve.Memory > worst.job.memoryAt(worst.done)-worst.task.Reserve.Memory {
			worst = r
		}
	}
	if sum <= w.capacity.Memory || worst == nil {
		return nil
	}
	book.outOfMemory++
	book.lose(worst, worst.done-worst.saved)
	w.remove(worst.task.ID)
	return []lwstate.TaskReport{{Task: worst.task.ID, Token: worst.task.Token, Event: lwstate.EventStopped, Checkpoint: worst.saved.String()}}
}

// measure closes a signal window; it becomes visible signalLag later.
func (w *worker) measure(now time.Duration, rng *rand.Rand) {
	s := signal{at: now, requests: int(w.requests), usage: make(map[lwunit.TaskID]lwunit.Resources)}
	for range s.requests {
		if rng.Float64() < w.late/max(1, w.requests) {
			s.late++
		}
	}
	for _, id := range w.order {
		r := w.runs[id]
		if r.running() {
			s.usage[id] = lwunit.Resources{
				Millicores: lwunit.Millicores(r.job.cores * 1000), Memory: r.job.memoryAt(r.done), Accelerators: r.job.spec.Needs.Accelerators,
			}
		}
	}
	w.requests, w.late = 0, 0
	w.window = append(w.window, s)
}

// visible returns the signals that are old enough to be seen.
func (w *worker) visible(now time.Duration) []signal {
	n := 0
	for n < len(w.window) && now-w.window[n].at >= signalLag {
		n++
	}
	seen := w.window[:n]
	w.window = w.window[n:]
	return seen
}
