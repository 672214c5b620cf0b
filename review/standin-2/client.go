package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host          = "nony24.example"
	prefix        = "/lohu930/"
	budget        = 3 * time.Second // time budget of a consumer's request
	retryPause    = 200 * time.Millisecond
	operatorRetry = 200 * time.Millisecond
)

// client sends requests on new connections and records them.
type client struct {
	sys  *system
	http *http.Client
}

func newClient(s *system) *client {
	return &client{s, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request and leaves after a time; the status is 0 without a response by then.
func (c *client) send(method, address, path string, body any, timeout time.Duration) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, ""
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	began := time.Now()
	res, err := c.http.Do(req)
	status, text := 0, ""
	if err == nil {
		answer, readErr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if readErr == nil {
			status, text = res.StatusCode, strings.TrimSpace(string(answer))
		}
	}
	c.sys.rec.note("%s http://%s%s -> %d %s (%d ms)", method, address, path, status, text, time.Since(began).Milliseconds())
	return status, text
}

// configure sends the first configuration until it is acknowledged.
func (c *client) configure(limit time.Duration) bool {
	route := func(name, path string, maxAttempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0,
			"service": service, "max_attempts": maxAttempts, "stretch": 1.5,
		}
	}
	doc := map[string]any{
		"version": 7, "routes": []any{route("r-3hwrr6x", prefix, 4)},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		if status, _ := c.send(http.MethodPost, addr(c.sys.controlIP(i%len(c.sys.controls)), controlPort), "/Config.Replace", doc, time.Second); status == http.StatusOK {
			return true
		}
		time.Sleep(operatorRetry)
	}
	return false
}

// readConfig asks all control machines for the configuration until one answers with it.
func (c *client) readConfig(limit time.Duration) bool {
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		if status, _ := c.send(http.MethodGet, addr(c.sys.controlIP(i%len(c.sys.controls)), controlPort), "/Config.Read", nil, time.Second); status == http.StatusOK {
			return true
		}
		time.Sleep(operatorRetry)
	}
	return false
}

// job returns a job of one step.
func job(workMS int, step map[string]any) map[string]any {
	spec, err := json.Marshal(taskSpec{WorkMS: workMS})
	if err != nil {
		panic(err)
	}
	return map[string]any{"spec": string(spec), "steps": []any{step}}
}

// submit hands a job in, at other entries after no clear answer, until it is accepted.
func (c *client) submit(id string, body any, limit time.Duration) bool {
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		if status, _ := c.send(http.MethodPost, c.sys.entryAddress(i%controlCount), prefix+id, body, budget); status == http.StatusOK {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// state asks for the state of a job at one entry after the other; "" without an answer.
func (c *client) state(id string) string {
	for i := range controlCount {
		status, text := c.send(http.MethodGet, c.sys.entryAddress(i), prefix+id, nil, budget)
		if status == http.StatusGone {
			return "gone"
		}
		var res struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &res) == nil {
			return res.State
		}
	}
	return ""
}
