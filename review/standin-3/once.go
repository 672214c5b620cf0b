package main

import "time"

// doneRun is a run that has ended as done.
type doneRun struct {
	life  *life
	run   int
	at    time.Time
	taken bool   // its end was taken note of, and the lease has not lapsed between the two
	again string // a start of the task after it
}

// noteStart records the start of a run.
func (w *world) noteStart(l *life, x *workerRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts++; w.starts == 1 {
		w.firstStart = time.Now()
	}
	w.noteLocked("worker %s starts task %s run %d", l.id, x.task, x.id)
	for _, d := range w.done[x.task] {
		if d.again == "" {
			d.again = l.id
			w.noteLocked("task %s run %d starts on worker %s after run %d has ended as done on worker %s, taken note of: %v", x.task, x.id, l.id, d.run, d.life.id, d.taken)
		}
	}
}

// noteEnd records the end of a run.
func (w *world) noteEnd(l *life, x *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("worker %s ends task %s run %d: %s", l.id, x.task, x.id, how)
	if how == "done" {
		w.done[x.task] = append(w.done[x.task], &doneRun{life: l, run: x.id, at: time.Now()})
	}
}

// noteTaken records that ack_cursor has reached an end.
func (w *world) noteTaken(l *life, e workerEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.done[e.task] {
		if d.life == l && d.run == e.run {
			d.taken = !l.lapsedAt.After(d.at)
		}
	}
}

// startedAgain returns the number of tasks of which a run was started after one that has ended as
// done, whose end was taken note of then or later.
func (w *world) startedAgain() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, list := range w.done {
		for _, d := range list {
			if d.taken && d.again != "" {
				n++
				break
			}
		}
	}
	return n
}

// awaitStarts waits until a number of runs have started, and returns when the first one was.
func (w *world) awaitStarts(n int, limit time.Duration) (first time.Time, all bool) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		first, all = w.firstStart, w.starts >= n
		w.mu.Unlock()
		if all {
			return first, true
		}
	}
	return first, false
}
