package main

import (
	"fmt"
	"time"
)

const (
	servingTarget = 150 * time.Millisecond
	quietTail     = 40
	busyTail      = 180
)

// playBusyServingTasks has a job with one serving task on each of seven workers. More users come,
// so that the tail latency of each is over its target by itself, without any task that fills. A job
// that fills, for which the workers have room, must be begun all the same.
func playBusyServingTasks(w *world, trouble bool) (held bool, err error) {
	w.tail.Store(quietTail)
	if err := w.start(size{controls: 3, entries: 2, workers: 7}, queueConfig(7, 4)); err != nil {
		return false, err
	}
	serving := &job{id: "5c0e7a21d94b36f8", spec: "edition", steps: []step{{count: 7, cpu: 13000, memory: 26000, antiAffinity: 1, image: "watch-1", target: servingTarget}}}
	if err := w.submit(serving); err != nil {
		return false, err
	}
	filling := func(id string) *job {
		return &job{id: id, spec: "toolpath", steps: []step{{count: 4, cpu: 7000, memory: 13000, work: 1700 * time.Millisecond, checkpointed: true, fills: true, image: "build-1"}}}
	}
	time.Sleep(4 * time.Second)
	before := filling("11c0e7a21d94b36f")
	if err := w.submit(before); err != nil {
		return false, err
	}
	if !w.awaitState(before, "completed", waitForStart) {
		return false, fmt.Errorf("the job before the disruption was not completed")
	}
	if trouble {
		w.note("more users come: the tail latency of each serving task is %d ms, its target %d ms", busyTail, servingTarget.Milliseconds())
		w.tail.Store(busyTail)
	}
	time.Sleep(4 * time.Second)
	after := filling("22c0e7a21d94b36f")
	if err := w.submit(after); err != nil {
		return false, err
	}
	return w.awaitState(after, "completed", waitForStart), nil
}
