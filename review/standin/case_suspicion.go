package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	greyWorkers  = 12 // one of them is a share of 0.083
	greyTime     = 6500 * time.Millisecond
	greyJobs     = 16
	afterLastRun = 6 * time.Second  // from which a task that lasts has to run
	idleTime     = 3 * time.Second  // for which it may have nothing running
	calmTime     = 4 * time.Second  // before that
	observeTime  = 25 * time.Second // after the disruption
)

// playSuspicion lets one worker fail all that it starts for a while. Each job has a task that
// lasts for each worker, one on each at most, so the tasks of that worker can run nowhere
// else.
func playSuspicion(c *cluster, trouble bool) (string, error) {
	const prefix = "/watches/"
	workers := make([]*worker, greyWorkers)
	for i := range workers {
		workers[i] = newWorker(fmt.Sprintf("w%d", i+1), "a", fmt.Sprintf("r%d", i/3))
	}
	special := workers[greyWorkers-1]
	h := history{runs: make(map[string][]span)}
	for _, w := range workers {
		w.onStart = func(task string, _ int) { h.began(task, c.rec.now()) }
		w.onEnd = func(task string, _ int, _ string) { h.ended(task, c.rec.now()) }
	}
	if err := c.start(2, workers, newConfig(1, prefix)); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	special.setFailed(trouble)
	c.rec.add("worker %s fails all that it starts: %v", special.name, trouble)
	began := time.Now()
	for i := range greyJobs {
		id := fmt.Sprintf("%016x", 0xa0+i)
		err := c.submit(prefix, id, job{behaviour{TailMS: usualTailMS}.spec(), []step{{Count: greyWorkers, CPU: 1000, MemoryMB: 2000, AntiAffinity: 1, LongRunning: true, Image: "watch", TargetMS: 150}}})
		if err != nil {
			return "", err
		}
	}
	time.Sleep(greyTime - time.Since(began))
	special.setFailed(false)
	c.rec.add("worker %s is sound again", special.name)
	calm := c.rec.now()
	time.Sleep(observeTime)
	idle := h.idle(calm+calmTime, c.rec.now())
	if len(idle) == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of the %d tasks of the worker had nothing running for %s, more than %s after their last run and after %s of calm; it was sound and had room for all: %s", len(idle), greyJobs, idleTime, afterLastRun, calmTime, strings.Join(idle, ", ")), nil
}

// span is when a run was in progress. The end is 0 while it is.
type span struct{ began, ended time.Duration }

// history holds the runs of tasks.
type history struct {
	mu   sync.Mutex
	runs map[string][]span
}

func (h *history) began(task string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[task] = append(h.runs[task], span{began: at})
}

func (h *history) ended(task string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.runs[task]; len(list) > 0 {
		list[len(list)-1].ended = at
	}
}

// idle returns the tasks that had nothing running for idleTime in a span of time, from
// afterLastRun after their last run on.
func (h *history) idle(from, until time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for task, runs := range h.runs {
		for i, r := range runs {
			next := until
			if i+1 < len(runs) {
				next = runs[i+1].began
			}
			if r.ended > 0 && next-max(from, r.ended+afterLastRun) >= idleTime {
				list = append(list, fmt.Sprintf("%s from %.1f s to %.1f s", task, r.ended.Seconds(), next.Seconds()))
				break
			}
		}
	}
	return list
}
