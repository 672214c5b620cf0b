package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	crashWorkers = 8 // a crash of one of them is a share of 0.125
	idleCrashes  = 2 // before the job is submitted
	crashes      = 7
	upTime       = 1400 * time.Millisecond // between two crashes
	downTime     = 1400 * time.Millisecond
	crashObserve = 15 * time.Second // after the job was submitted
)

// playCrashes crashes one worker several times, at fixed times that have nothing to do with
// what runs there. A job has a task that lasts for each worker, one on each at most, so the
// task of that worker can run nowhere else. No run ends as failed.
func playCrashes(c *cluster, trouble bool) (string, error) {
	const prefix, id = "/watches/", "5c0e7a21d94b36f8"
	var failedEnds atomic.Int32
	workers := make([]*worker, crashWorkers)
	for i := range workers {
		workers[i] = newWorker(fmt.Sprintf("w%d", i+1), "a", fmt.Sprintf("r%d", i/3))
		workers[i].onEnd = func(_ string, _ int, how string) {
			if how == "failed" {
				failedEnds.Add(1)
			}
		}
	}
	if err := c.start(2, workers, newConfig(1, prefix)); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		go crashRepeatedly(c, workers[crashWorkers-1])
	}
	time.Sleep(idleCrashes * (upTime + downTime))
	err := c.submit(prefix, id, job{behaviour{TailMS: usualTailMS}.spec(), []step{{Count: crashWorkers, CPU: 13000, MemoryMB: 26000, AntiAffinity: 1, LongRunning: true, Image: "watch", TargetMS: 150}}})
	if err != nil {
		return "", err
	}
	for began := time.Now(); time.Since(began) < crashObserve+crashes*(upTime+downTime); time.Sleep(time.Second) {
		if c.state(prefix, id) == "failed" {
			return fmt.Sprintf("LOST: job %s, whose tasks last, is shown as failed after %d ends failed", id, failedEnds.Load()), nil
		}
	}
	return "", nil
}

func crashRepeatedly(c *cluster, w *worker) {
	for range crashes {
		time.Sleep(upTime)
		w.crash()
		time.Sleep(downTime)
		if err := w.boot(); err != nil {
			c.rec.add("worker %s: %v", w.name, err)
			return
		}
	}
}
