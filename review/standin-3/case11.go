package main

import (
	"errors"
	"sync"
	"time"
)

const (
	wideJobs    = 52
	wideCallers = 24
	wideCount   = 36 // tasks of each job; of all together each of three workers gets over 600, more than its list of ends holds
	wideWork    = 4 * time.Second
	startSpread = 2 * time.Second // from the first start to the last one
	leaderDown  = 3 * time.Second
	settleLimit = 20 * time.Second
)

var errSlowStarts = errors.New("the tasks were not started in time")

// playManyEnds has each worker run many short tasks, and kills the control process that leads just before they
// end. No task may be started again after its end was taken note of.
func playManyEnds(w *world, trouble bool) (held bool, err error) {
	if err := w.start(size{controls: 3, entries: 2, workers: 3}, queueConfig(7, 4)); err != nil {
		return false, err
	}
	jobs := make([]*job, wideJobs)
	next := make(chan *job)
	var callers sync.WaitGroup
	for range wideCallers {
		callers.Go(func() {
			for j := range next {
				if err := w.submit(j); err != nil {
					w.note("caller: %v", err)
				}
			}
		})
	}
	for i := range jobs {
		jobs[i] = &job{id: jobID(i), spec: "toolpath", steps: []step{{count: wideCount, cpu: 100, memory: 250, work: wideWork}}}
		next <- jobs[i]
	}
	close(next)
	callers.Wait()
	first, all := w.awaitStarts(wideJobs*wideCount, startSpread)
	if !all {
		return false, errSlowStarts
	}
	time.Sleep(time.Until(first.Add(wideWork - 100*time.Millisecond)))
	if trouble {
		p := w.leader()
		w.note("disruption: %s, which leads, is killed for %s", p.name, leaderDown)
		p.killFor(leaderDown)
	}
	for _, j := range jobs {
		if !w.awaitState(j, "completed", settleLimit) {
			w.note("caller: the job was not completed in time, which this case does not judge")
		}
	}
	time.Sleep(time.Second)
	broken := w.startedAgain()
	w.note("%d tasks were started again after their end as done was taken note of", broken)
	return broken == 0, nil
}
