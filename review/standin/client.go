package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	host        = "desk.example"
	service     = "desk"
	deadline    = 3 * time.Second // of a client's request
	maxAttempts = 4
)

// config is a configuration as the operator sends it.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// newConfig returns a configuration with one route for each prefix.
func newConfig(version int, prefixes ...string) config {
	cfg := config{
		Version:  version,
		Routes:   []map[string]any{},
		Services: []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for _, prefix := range prefixes {
		cfg.Routes = append(cfg.Routes, map[string]any{
			"name": "r" + prefix, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": 0, "service": service, "max_attempts": maxAttempts, "stretch": 2.0,
		})
	}
	return cfg
}

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemoryMB      int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	RequiredLabel string `json:"required_label,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int    `json:"target_ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
}

// job is a job as clients send it. The workers read what its tasks do from its spec.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// behaviour is what the tasks of a job do; it is the spec of the job.
type behaviour struct {
	WorkMS int `json:"work_ms,omitempty"` // 0 lasts until it is stopped
	TailMS int `json:"tail_ms,omitempty"` // tail latency that a serving task shows
}

func (b behaviour) spec() string {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// call makes one HTTP request. The status is 0 without a whole response.
func call(method, url, hostHeader string, body any, limit time.Duration) (status int, response []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if hostHeader != "" {
		req.Host = hostHeader
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	response, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, response
}

// replaceConfig sends a configuration to one control process after the other until it is
// acknowledged.
func (c *cluster) replaceConfig(cfg config, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for i := 1; i <= controls; i++ {
			status, _ := call("POST", "http://"+c.address(controlMachine, i, controlPort)+"/Config.Replace", "", cfg, time.Second)
			if status == http.StatusOK {
				c.rec.add("config %d acknowledged by control-%d", cfg.Version, i)
				return nil
			}
		}
	}
	return errors.New("no config was acknowledged")
}

func (c *cluster) jobURL(entry int, prefix, id string) string {
	return "http://" + c.address(entryMachine, entry, callersPort) + prefix + id
}

// post sends a job once.
func (c *cluster) post(entry int, prefix, id string, j job) int {
	c.rec.add("client: POST %s%s at entry-%d", prefix, id, entry)
	status, response := call("POST", c.jobURL(entry, prefix, id), host, j, deadline)
	c.rec.add("client: POST %s%s answered %d %s", prefix, id, status, bytes.TrimSpace(response))
	return status
}

// submit sends a job until it is accepted, each refusal being followed by a new attempt
// with the same id.
func (c *cluster) submit(prefix, id string, j job) error {
	for attempt := range 10 {
		if status := c.post(1+attempt%2, prefix, id, j); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("job " + id + " was not accepted")
}

// state asks for the state of a job. It returns the status if there is no state.
func (c *cluster) state(prefix, id string) string {
	status, response := call("GET", c.jobURL(1, prefix, id), host, nil, deadline)
	var body struct {
		State string `json:"state"`
	}
	state := strconv.Itoa(status)
	if status == http.StatusOK && json.Unmarshal(response, &body) == nil {
		state = body.State
	}
	c.rec.add("client: GET %s%s answered %s", prefix, id, state)
	return state
}

// awaitCompleted waits until a job is completed.
func (c *cluster) awaitCompleted(prefix, id string, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if c.state(prefix, id) == "completed" {
			return nil
		}
	}
	return errors.New("job " + id + " is not completed")
}
