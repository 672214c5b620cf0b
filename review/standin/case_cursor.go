package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	cursorWorkers = 8                      // one of them is a share of 0.125
	cursorRounds  = 3                      // at most, until the rule is broken
	cursorJobs    = 8                      // each with as many tasks as there are workers
	cursorGap     = 40 * time.Millisecond  // between two jobs
	cursorWork    = 120 * time.Millisecond // of each task
	cursorSubmit  = 50 * time.Millisecond  // after the worker has lost power
	cursorDown    = 800 * time.Millisecond
	cursorSilence = time.Second // from its start until its first heartbeat
)

// playCursor has a worker lose power and start again under its id. Whether a start reaches
// it before its agent polls it is a matter of chance, so it is played on several workers,
// one after the other.
func playCursor(c *cluster, trouble bool) (string, error) {
	const prefix = "/proofs/"
	n := notes{noted: make(map[string]string)}
	workers := make([]*worker, cursorWorkers)
	for i := range workers {
		w := newWorker(fmt.Sprintf("w%d", i+1), "a", fmt.Sprintf("r%d", i/3))
		w.onStart = func(task string, run int) { n.started(c.rec, task, fmt.Sprintf("run %d on %s", run, w.name)) }
		w.onNoted = func(task string, run int, how string) {
			if how == "done" {
				n.note(task, fmt.Sprintf("run %d on %s", run, w.name))
			}
		}
		workers[i] = w
	}
	if err := c.start(2, workers, newConfig(1, prefix)); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if err := c.playProofs(prefix, 0); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	for i := range cursorRounds {
		w := workers[i]
		if trouble {
			w.setSameID()
			w.silence = cursorSilence
			w.darken()
			time.AfterFunc(cursorDown, func() {
				if err := w.boot(); err != nil {
					c.rec.add("worker %s: %v", w.name, err)
				}
			})
			time.Sleep(cursorSubmit)
		}
		if err := c.playProofs(prefix, i+1); err != nil {
			return "", err
		}
		if broken := n.result(); broken != "" || !trouble {
			return broken, nil
		}
		time.Sleep(3 * time.Second)
	}
	return "", nil
}

// playProofs submits jobs and waits until they are completed.
func (c *cluster) playProofs(prefix string, round int) error {
	id := func(i int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b3600+16*round+i) }
	for i := range cursorJobs {
		if err := c.submit(prefix, id(i), job{behaviour{WorkMS: int(cursorWork.Milliseconds())}.spec(), []step{{Count: cursorWorkers, CPU: 960, MemoryMB: 1900, EstimateMS: int(cursorWork.Milliseconds())}}}); err != nil {
			return err
		}
		time.Sleep(cursorGap)
	}
	for i := range cursorJobs {
		if err := c.awaitCompleted(prefix, id(i), time.Minute); err != nil {
			return err
		}
	}
	return nil
}

// notes finds starts of tasks whose end as done was taken note of.
type notes struct {
	mu    sync.Mutex
	noted map[string]string // run that ended as done, by task
	found []string
}

func (n *notes) note(task, run string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noted[task] = run
}

func (n *notes) started(rec *recorder, task, run string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if done := n.noted[task]; done != "" {
		n.found = append(n.found, fmt.Sprintf("%s: %s began at %.1f s after %s had ended done and ack_cursor had reached the end", task, run, rec.now().Seconds(), done))
	}
}

func (n *notes) result() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.found) == 0 {
		return ""
	}
	return "TWICE: " + strings.Join(n.found, "; ")
}
