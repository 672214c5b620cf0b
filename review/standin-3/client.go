package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	queueHost   = "desk.example"
	queuePrefix = "/desk/"
	serviceName = "engrave-desk"

	operatorTimeout = time.Second
	callerTimeout   = 3 * time.Second
	callerRetries   = 4
)

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// queueConfig returns a configuration with one queue.
func queueConfig(version, maxAttempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": queueHost, "path_prefix": queuePrefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 2500, "priority": 0, "service": serviceName, "max_attempts": maxAttempts, "stretch": 2.2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// otherRoute returns a route that no caller uses.
func otherRoute() map[string]any {
	return map[string]any{
		"name": "r-2", "host": "other.example", "path_prefix": "/other/", "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 250, "priority": 0, "service": serviceName, "max_attempts": 2, "stretch": 1.5,
	}
}

// call makes one HTTP call and returns the status, or 0 if there was no answer.
func call(method, url, host string, body any, timeout time.Duration, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// configure sends a configuration as an operator does, until it is acknowledged.
func (w *world) configure(c map[string]any, limit time.Duration) error {
	for i, began := 0, time.Now(); time.Since(began) < limit; i++ {
		p := w.controls[i%len(w.controls)]
		status, _ := call(http.MethodPost, "http://"+p.hosted["control_address"].(string)+"/Config.Replace", "", c, operatorTimeout, nil)
		w.note("operator: Config.Replace version %v to %s: %d", c["version"], p.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was acknowledged within %s", limit)
}

// ask sends a caller's request, again at the next entry after no answer, a 502 or a 504.
func (w *world) ask(method, path string, body any) (int, []byte) {
	status, data := 0, []byte(nil)
	for i := range callerRetries + 1 {
		p := w.entries[i%len(w.entries)]
		status, data = call(method, "http://"+p.hosted["callers_address"].(string)+path, queueHost, body, callerTimeout, map[string]string{"X-Deadline-Ms": "3000"})
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
			return status, data
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, data
}

// jobID returns the id of a numbered job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// submit hands a job in.
func (w *world) submit(j *job) error {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	status, _ := w.ask(http.MethodPost, queuePrefix+j.id, j.body())
	w.note("caller: POST of job %s: %d", j.id, status)
	if status/100 != 2 {
		return fmt.Errorf("job %s was not accepted: status %d", j.id, status)
	}
	return nil
}

// stateOf returns the state of a job as a caller sees it, "gone" for a 410, or "" without a
// clear answer.
func (w *world) stateOf(j *job) string {
	status, data := w.ask(http.MethodGet, queuePrefix+j.id, nil)
	var x struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusOK && json.Unmarshal(data, &x) == nil:
		return x.State
	case status == http.StatusGone:
		return "gone"
	default:
		return ""
	}
}

// awaitState reports whether a job is shown in a state within a time.
func (w *world) awaitState(j *job, want string, limit time.Duration) bool {
	last := "none"
	for began := time.Now(); time.Since(began) < limit; time.Sleep(300 * time.Millisecond) {
		state := w.stateOf(j)
		if state != last {
			w.note("caller: job %s is shown as %q", j.id, state)
		}
		if last = state; state == want {
			return true
		}
	}
	w.note("caller: job %s was not shown as %q within %s", j.id, want, limit)
	return false
}
