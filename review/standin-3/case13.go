package main

import "time"

const (
	workerDown    = time.Second
	secondLife    = 2 * time.Second
	calmBefore    = 4 * time.Second // before the time in which a job may not have nothing running
	idleLimit     = 3 * time.Second
	observedAfter = 14 * time.Second
)

// playLongestLease has a worker start again under the id that it had and be lost for good soon after.
// A job of which it held a task must go on on the six other workers, which are idle.
func playLongestLease(w *world, trouble bool) (held bool, err error) {
	if err := w.start(size{controls: 3, entries: 2, workers: 7}, queueConfig(7, 4)); err != nil {
		return false, err
	}
	x := w.workers[3]
	id := x.id()
	if trouble {
		w.note("disruption 1: worker %s crashes, and starts again under its id after %s", id, workerDown)
		x.crash()
		time.Sleep(workerDown)
		if err := x.beginAs(id); err != nil {
			return false, err
		}
	}
	lost := time.Now().Add(secondLife)
	time.Sleep(secondLife / 2)
	j := &job{id: "5c0e7a21d94b36f8", spec: "toolpath", steps: []step{{count: 7, cpu: 7000, memory: 13000, work: 1700 * time.Millisecond, antiAffinity: 1}}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	time.Sleep(time.Until(lost))
	if trouble {
		w.note("disruption 2: worker %s crashes, and is lost for good", id)
		x.crash()
	}
	return w.goesOn(j, time.Now()), nil
}

// goesOn reports whether a job is completed before it has had nothing running for idleLimit, of which
// the time until calmBefore after the last disruption does not count.
func (w *world) goesOn(j *job, last time.Time) bool {
	idleSince := last.Add(calmBefore)
	for time.Since(last) < observedAfter {
		time.Sleep(50 * time.Millisecond)
		if w.runsOf(j) > 0 && time.Now().After(idleSince) {
			idleSince = time.Now()
		}
		if w.stateOf(j) == "completed" {
			w.note("caller: the job is shown as \"completed\"")
			return true
		}
		if time.Since(idleSince) > idleLimit {
			w.note("the job has had nothing running for %s, of which nothing is within %s of the last disruption", idleLimit, calmBefore)
			w.awaitState(j, "completed", observedAfter)
			return false
		}
	}
	return true
}
