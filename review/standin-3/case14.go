package main

import (
	"fmt"
	"time"
)

const (
	greyTime    = 6500 * time.Millisecond
	greyJobs    = 3
	calmJobs    = 8
	longestWork = 4300 * time.Millisecond // of a task of the site's toolpath-build
)

// playSuspectedWorker has a worker fail all that it starts for a while. Some time after that jobs come
// that need its label. It is sound, and has room for all of them, so none may wait for it.
func playSuspectedWorker(w *world, trouble bool) (held bool, err error) {
	if err := w.start(size{controls: 3, entries: 2, workers: 7}, queueConfig(7, 2)); err != nil {
		return false, err
	}
	x := w.workers[2*workersPerRack]
	task := func(work time.Duration) []step {
		return []step{{count: 1, cpu: 3000, memory: 13000, work: work, requiredLabel: loneRack}}
	}
	if trouble {
		w.note("disruption: worker %s fails all that it starts, for %s", x.id(), greyTime)
		x.setFails(true)
	}
	ends := time.Now().Add(greyTime)
	for i := range greyJobs {
		if err := w.submit(&job{id: jobID(i), spec: "toolpath", steps: task(time.Second)}); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ends))
	x.setFails(false)
	w.note("worker %s is sound from now on", x.id())
	for i := range greyJobs {
		w.note("caller: job %s is shown as %q", jobID(i), w.stateOf(w.jobs[jobID(i)]))
	}
	time.Sleep(calmBefore + 500*time.Millisecond)
	var jobs []*job
	for i := range calmJobs {
		j := &job{id: jobID(0x100 + i), spec: "toolpath", steps: task(longestWork)}
		if err := w.submit(j); err != nil {
			return false, err
		}
		jobs = append(jobs, j)
	}
	held = true
	submitted := time.Now()
	for time.Since(submitted) < idleLimit {
		time.Sleep(50 * time.Millisecond)
	}
	for _, j := range jobs {
		if w.runsOf(j) == 0 && w.stateOf(j) != "completed" {
			w.note("job %s has had nothing running for %s since it was accepted", j.id, idleLimit)
			held = false
		}
	}
	for _, j := range jobs {
		if !w.awaitState(j, "completed", settleLimit) {
			return false, fmt.Errorf("job %s was not completed", j.id)
		}
	}
	return held, nil
}
