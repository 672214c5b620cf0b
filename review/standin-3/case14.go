package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	otherWriterSeq = 1000 // of the calls of the other writer, which counts its own
	waitForStart   = 25 * time.Second
)

// playForeignPing has another writer send one ping, in the name of one worker, with a service
// that no configuration names. The worker's own pings go on. A job that needs a label of that
// worker must still be run.
func playForeignPing(w *world, trouble bool) (held bool, err error) {
	w.notesPings = true
	if err := w.start(size{controls: 3, entries: 2, workers: 7}, queueConfig(7, 4)); err != nil {
		return false, err
	}
	first := &job{id: "11c0e7a21d94b36f", spec: "before", steps: []step{{count: 2, cpu: 960, memory: 1900, work: 640 * time.Millisecond, requiredLabel: loneRack}}}
	if err := w.submit(first); err != nil {
		return false, err
	}
	if !w.awaitState(first, "completed", waitForStart) {
		return false, fmt.Errorf("the job before the disruption was not completed")
	}
	x := w.workers[6]
	if trouble {
		body := x.ping()
		body["service"], body["seq"] = "nony24", otherWriterSeq
		status, _ := call(http.MethodPost, "http://"+x.agent+"/Instances.Heartbeat/"+x.id(), "", body, time.Second, nil)
		w.note("disruption: another writer sends a ping in the name of worker %s, with the service nony24, which no configuration names: %d", x.id(), status)
	}
	time.Sleep(4 * time.Second) // two of the worker's own pings
	second := &job{id: "22c0e7a21d94b36f", spec: "after", steps: first.steps}
	if err := w.submit(second); err != nil {
		return false, err
	}
	return w.awaitState(second, "completed", waitForStart), nil
}
