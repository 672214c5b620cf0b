// Package lwplatform is the port between an agent and the platform that runs
// tasks on its worker. The platform enforces leases by itself: a task whose
// lease is not renewed is stopped even when the agent is gone.
package lwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const callTimeout = 5 * time.Second

// TaskState is where the platform has a task.
type TaskState string

// The states of a task on the platform.
const (
	StateRunning   TaskState = "running"
	StateSucceeded TaskState = "succeeded"
	StateFailed    TaskState = "failed"
	StateStopped   TaskState = "stopped" // stopped on request, or its lease ended
)

// Attempt names one attempt of a task.
type Attempt struct {
	Task  lwunit.TaskID       `json:"task"`
	Token lwunit.FencingToken `json:"token"`
}

// TaskStatus is what the platform reports of an attempt. An ended attempt
// stays listed until it is forgotten.
type TaskStatus struct {
	Attempt
	State      TaskState        `json:"state"`
	Checkpoint string           `json:"checkpoint,omitempty"` // the last one taken
	Reason     string           `json:"reason,omitempty"`
	Reserve    lwunit.Resources `json:"reserve"`
}

// StartRequest starts an attempt under a lease.
type StartRequest struct {
	Attempt
	Program    string           `json:"program"`
	Reserve    lwunit.Resources `json:"reserve"`
	Checkpoint string           `json:"checkpoint,omitempty"`
	Lease      lwunit.Duration  `json:"lease"`
}

// Usage is what a task really uses, measured a while ago.
type Usage struct {
	Task lwunit.TaskID    `json:"task"`
	Used lwunit.Resources `json:"used"`
	Age  lwunit.Duration  `json:"age"`
}

// Platform runs tasks on one worker. Start refuses a token lower than one seen
// for the task with a Fenced fault, and is idempotent for the same token.
type Platform interface {
	List(ctx context.Context) ([]TaskStatus, error)
	Start(ctx context.Context, r StartRequest) error
	Renew(ctx context.Context, lease time.Duration, attempts []Attempt) error
	Checkpoint(ctx context.Context, a Attempt) (string, error)
	Throttle(ctx context.Context, a Attempt, percent int) error
	Stop(ctx context.Context, a Attempt) error
	Forget(ctx context.Context, a Attempt) error
	Usage(ctx context.Context) ([]Usage, error)
}

// Paths of the platform's HTTP interface.
const (
	PathList       = "/platform/v1/list"
	PathStart      = "/platform/v1/start"
	PathRenew      = "/platform/v1/renew"
	PathCheckpoint = "/platform/v1/checkpoint"
	PathThrottle   = "/platform/v1/throttle"
	PathStop       = "/platform/v1/stop"
	PathForget     = "/platform/v1/forget"
	PathUsage      = "/platform/v1/usage"
)

// RenewRequest is the body of PathRenew.
type RenewRequest struct {
	Lease    lwunit.Duration `json:"lease"`
	Attempts []Attempt       `json:"attempts"`
}

// ThrottleRequest is the body of PathThrottle.
type ThrottleRequest struct {
	Attempt
	Percent int `json:"percent"`
}

// CheckpointReply is the answer of PathCheckpoint.
type CheckpointReply struct {
	Checkpoint string `json:"checkpoint"`
}

// Client is a Platform reached over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the platform at url.
func NewClient(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}}}
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "platform " + path, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("platform %s: %w", path, lwhttp.ReadProblem(res))
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// List returns every attempt that was not forgotten.
func (c *Client) List(ctx context.Context) ([]TaskStatus, error) {
	var list []TaskStatus
	err := c.call(ctx, PathList, struct{}{}, &list)
	return list, err
}

// Start starts an attempt.
func (c *Client) Start(ctx context.Context, r StartRequest) error {
	return c.call(ctx, PathStart, r, nil)
}

// Renew extends the leases of attempts to lease from now.
func (c *Client) Renew(ctx context.Context, lease time.Duration, attempts []Attempt) error {
	return c.call(ctx, PathRenew, RenewRequest{lwunit.Duration(lease), attempts}, nil)
}

// Checkpoint saves a running attempt's progress and returns its name.
func (c *Client) Checkpoint(ctx context.Context, a Attempt) (string, error) {
	var r CheckpointReply
	err := c.call(ctx, PathCheckpoint, a, &r)
	return r.Checkpoint, err
}

// Throttle limits an attempt to a share of its processors.
func (c *Client) Throttle(ctx context.Context, a Attempt, percent int) error {
	return c.call(ctx, PathThrottle, ThrottleRequest{a, percent}, nil)
}

// Stop ends an attempt; it returns once nothing of it runs any more.
func (c *Client) Stop(ctx context.Context, a Attempt) error {
	return c.call(ctx, PathStop, a, nil)
}

// Forget removes an ended attempt from the list.
func (c *Client) Forget(ctx context.Context, a Attempt) error {
	return c.call(ctx, PathForget, a, nil)
}

// Usage returns what tasks use.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var list []Usage
	err := c.call(ctx, PathUsage, struct{}{}, &list)
	return list, err
}
