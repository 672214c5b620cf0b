package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	cutTime        = 1200 * time.Millisecond
	configCommit   = 150 * time.Millisecond // after the job was sent, when the operator changes the configuration
	droppedWorkers = 3
	droppedEntries = 3 // one of the 9 machines of the system is a share of 0.111
)

// playDropped cuts an entry off as it has sent a job to the leader. Meanwhile the operator
// removes the job's route.
func playDropped(c *cluster, trouble bool) (string, error) {
	const prefix, other, id = "/renders/", "/proofs/", "5c0e7a21d94b36f8"
	var started atomic.Int32
	workers := make([]*worker, droppedWorkers)
	for i := range workers {
		workers[i] = newWorker(fmt.Sprintf("w%d", i+1), "a", "r0")
		workers[i].onStart = func(task string, _ int) {
			if strings.HasPrefix(task, id) {
				started.Add(1)
			}
		}
	}
	entry := newPartition(`"queue.submit"`) // only entries send such messages
	if err := c.launchBehindProxies(entry); err != nil {
		return "", err
	}
	if err := c.startRest(droppedEntries, workers, newConfig(1, prefix, other)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		entry.arm()
	}
	answer := make(chan int, 1)
	go func() {
		answer <- c.post(1, prefix, id, job{behaviour{WorkMS: 1700}.spec(), []step{{Count: 4, CPU: 1000, MemoryMB: 1000, EstimateMS: 1700}}})
	}()
	if trouble {
		select {
		case <-entry.trigger:
		case <-time.After(deadline):
			return "", errors.New("no job was sent to the leader")
		}
		c.rec.add("entry-1 is cut off from the control machines for %s", cutTime)
	}
	healed := time.After(cutTime)
	time.Sleep(configCommit)
	if err := c.replaceConfig(newConfig(2, other), cutTime); err != nil {
		return "", err
	}
	<-healed
	entry.heal()
	c.rec.add("entry-1 is connected")
	status := <-answer
	time.Sleep(4 * time.Second)
	c.rec.add("the only attempt was answered %d; %d tasks of the job have started", status, started.Load())
	if rejected := status == 404 || status == 429 || status == 503; rejected && started.Load() > 0 {
		return fmt.Sprintf("REFUSED: the only attempt to hand job %s in was answered %d, and %d of its tasks have started", id, status, started.Load()), nil
	}
	return "", nil
}
