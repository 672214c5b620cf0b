package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	configBound = 2*time.Second + 5*time.Second // config_apply_ms and max_skew_ms
	ackLimit    = 4 * time.Second               // ack_ms
	cancelLimit = 3 * time.Second               // cancel_ms
	stopLimit   = 900 * time.Millisecond        // stop_ms
)

var errNotRunning = errors.New("the job was not shown as running")

// playCancelAfterRoute removes the route of a job that lasts, and cancels the job. Its tasks must end.
func playCancelAfterRoute(w *world, trouble bool) (held bool, err error) {
	if err := w.start(size{controls: 3, entries: 2, workers: 7}, queueConfig(7, 4)); err != nil {
		return false, err
	}
	j := &job{id: "5c0e7a21d94b36f8", spec: "edition", steps: []step{{count: 6, cpu: 13000, memory: 26000}}}
	if err := w.submit(j); err != nil {
		return false, err
	}
	if !w.awaitState(j, "running", 5*time.Second) {
		return false, errNotRunning
	}
	if trouble {
		next := queueConfig(9, 4)
		next["routes"] = []any{otherRoute()}
		if err := w.configure(next, 5*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(configBound)
	until := time.Now().Add(ackLimit)
	for i := 0; time.Now().Before(until); i++ {
		p := w.entries[i%len(w.entries)]
		status, _ := call(http.MethodDelete, "http://"+p.hosted["callers_address"].(string)+queuePrefix+j.id, queueHost, nil, callerTimeout, map[string]string{"X-Deadline-Ms": "3000"})
		w.note("caller: DELETE of job %s at %s: %d", j.id, p.name, status)
		if status/100 == 2 || status == http.StatusGone {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(cancelLimit + stopLimit)
	n := w.runsOf(j)
	w.note("%d tasks of the job run on", n)
	return n == 0, nil
}
