package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	tailWorkers  = 7
	usualTailMS  = 25
	tailTargetMS = 40
	finishTime   = 14 * time.Second // finish_s
)

// playTail lets the load of serving tasks rise, so that their tail latencies are over the
// target though nothing runs beside them. Then a job that fills is submitted.
func playTail(c *cluster, trouble bool) (string, error) {
	const prefix, serving, filling = "/builds/", "a1b2c3d4e5f60718", "5c0e7a21d94b36f8"
	var started atomic.Int32
	workers := make([]*worker, tailWorkers)
	for i := range workers {
		workers[i] = newWorker(fmt.Sprintf("w%d", i+1), "a", fmt.Sprintf("r%d", i/3))
		workers[i].onStart = func(task string, _ int) {
			if strings.HasPrefix(task, filling) {
				started.Add(1)
			}
		}
	}
	if err := c.start(2, workers, newConfig(1, prefix)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	err := c.submit(prefix, serving, job{behaviour{TailMS: usualTailMS}.spec(), []step{{Count: tailWorkers, CPU: 13000, MemoryMB: 26000, AntiAffinity: 1, LongRunning: true, Image: "watch", TargetMS: tailTargetMS}}})
	if err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		c.rec.add("the load of the serving tasks rises: their tail latency is %d ms, the target %d ms", usualTailMS*busyPercent/fullPercent, tailTargetMS)
		for _, w := range workers {
			w.setLoaded(true)
		}
	}
	time.Sleep(2 * time.Second)
	err = c.submit(prefix, filling, job{behaviour{WorkMS: 1700}.spec(), []step{{Count: 4, CPU: 7000, MemoryMB: 13000, EstimateMS: 1700, Fills: true, Image: "build"}}})
	if err != nil {
		return "", err
	}
	trafficEnds := time.Now()
	time.Sleep(finishTime)
	before := started.Load()
	state := c.state(prefix, filling)
	time.Sleep(4 * time.Second)
	state2 := c.state(prefix, filling)
	c.rec.add("%s after the traffic: the filling job is %s, then %s; %d of its tasks had started, then %d", time.Since(trafficEnds).Round(time.Second), state, state2, before, started.Load())
	if state == "queued" && state2 == "queued" && started.Load() == 0 {
		return fmt.Sprintf("LOST: for 4 s, from finish_s after the traffic, job %s has nothing running; its processors aren't counted, 90%% of the memory and 79%% of the processors of each worker are free", filling), nil
	}
	return "", nil
}
