// Package lwplatform defines the interface between an agent and the platform
// that runs tasks on its worker, and an HTTP client for it. The platform itself
// enforces the leases: it stops a task whose lease is not renewed even if the
// agent has failed.
package lwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const callTimeout = 5 * time.Second

// AttemptState is the state of an attempt on the platform.
type AttemptState string

// The states of an attempt.
const (
	StateRunning   AttemptState = "running"
	StateSucceeded AttemptState = "succeeded"
	StateFailed    AttemptState = "failed"
	StateStopped   AttemptState = "stopped" // on request, or because its lease ended
)

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task  lwunit.TaskID       `json:"task"`
	Token lwunit.FencingToken `json:"token"`
}

// AttemptStatus is the status of an attempt. An ended attempt stays listed until
// Forget removes it.
type AttemptStatus struct {
	Attempt
	State      AttemptState     `json:"state"`
	Checkpoint string           `json:"checkpoint,omitempty"` // the newest one
	Reason     string           `json:"reason,omitempty"`
	Reserve    lwunit.Resources `json:"reserve"`
}

// Clock is a reading of the platform's steady clock in milliseconds, from an origin
// of its own. Zero means that the platform tells no clock.
type Clock int64

// Add returns the reading after d.
func (c Clock) Add(d time.Duration) Clock { return c + Clock(d.Milliseconds()) }

// ClockID identifies the origin of a platform's clock. It changes whenever the clock
// begins anew, as when the platform is started again; empty if the platform tells none.
type ClockID string

// Headers in which the platform tells its clock with a list.
const (
	ClockHeader   = "Platform-Clock"
	ClockIDHeader = "Platform-Clock-Id"
)

// Listing holds the attempts that Forget has not removed. Clock was read before the
// platform answered.
type Listing struct {
	Clock    Clock
	ClockID  ClockID
	Attempts []AttemptStatus
}

// Lease is the time for which attempts may run: until Left after the platform has
// received it, and no longer than Until. Without Until, a call that is carried out
// late extends the lease beyond its end. So does an Until that was reckoned by another
// clock, which the platform refuses.
type Lease struct {
	Left    lwunit.Duration `json:"lease"`
	Until   Clock           `json:"until,omitempty"`
	ClockID ClockID         `json:"clock_id,omitempty"` // of the clock of Until
}

// StartRequest is the body of PathStart. It starts an attempt under a lease.
type StartRequest struct {
	Attempt
	Lease
	Program    string           `json:"program"`
	Reserve    lwunit.Resources `json:"reserve"`
	Checkpoint string           `json:"checkpoint,omitempty"`
}

// Usage is the measured resource usage of a task; Age is the age of the
// measurement.
type Usage struct {
	Task lwunit.TaskID    `json:"task"`
	Used lwunit.Resources `json:"used"`
	Age  lwunit.Duration  `json:"age"`
}

// Platform runs tasks on one worker. Start is idempotent for the same token, also
// after Forget: a copy that is carried out late starts nothing. It
// returns a Fenced fault for a token lower than one it has received for the task.
type Platform interface {
	List(ctx context.Context) (Listing, error)
	Start(ctx context.Context, r StartRequest) error
	Renew(ctx context.Context, lease Lease, attempts []Attempt) error
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
	Lease
	Attempts []Attempt `json:"attempts"`
}

// ThrottleRequest is the body of PathThrottle.
type ThrottleRequest struct {
	Attempt
	Percent int `json:"percent"`
}

// CheckpointReply is the body of the answer to PathCheckpoint.
type CheckpointReply struct {
	Checkpoint string `json:"checkpoint"`
}

// Client implements Platform over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the platform at url.
func NewClient(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}}}
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	_, err := c.callForHeader(ctx, path, in, out)
	return err
}

// callForHeader makes a call and returns the header of the answer.
func (c *Client) callForHeader(ctx context.Context, path string, in, out any) (http.Header, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request to %s: %w", path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "platform " + path, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform %s: %w", path, lwhttp.ReadProblem(res))
	}
	if out == nil {
		return res.Header, nil
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return nil, fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return res.Header, nil
}

// List returns the attempts that Forget has not removed.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var l Listing
	header, err := c.callForHeader(ctx, PathList, struct{}{}, &l.Attempts)
	if err != nil {
		return Listing{}, err
	}
	if text := header.Get(ClockHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Listing{}, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "header " + ClockHeader, Cause: err}
		}
		l.Clock = Clock(ms)
	}
	l.ClockID = ClockID(header.Get(ClockIDHeader))
	return l, nil
}

// Start starts an attempt.
func (c *Client) Start(ctx context.Context, r StartRequest) error {
	return c.call(ctx, PathStart, r, nil)
}

// Renew extends the leases of attempts.
func (c *Client) Renew(ctx context.Context, lease Lease, attempts []Attempt) error {
	return c.call(ctx, PathRenew, RenewRequest{lease, attempts}, nil)
}

// Checkpoint saves a running attempt's progress and returns the checkpoint's name.
func (c *Client) Checkpoint(ctx context.Context, a Attempt) (string, error) {
	var r CheckpointReply
	err := c.call(ctx, PathCheckpoint, a, &r)
	return r.Checkpoint, err
}

// Throttle limits an attempt to a percentage of its declared processors.
func (c *Client) Throttle(ctx context.Context, a Attempt, percent int) error {
	return c.call(ctx, PathThrottle, ThrottleRequest{a, percent}, nil)
}

// Stop ends an attempt and returns when no part of it runs any more.
func (c *Client) Stop(ctx context.Context, a Attempt) error {
	return c.call(ctx, PathStop, a, nil)
}

// Forget removes an ended attempt from the list.
func (c *Client) Forget(ctx context.Context, a Attempt) error {
	return c.call(ctx, PathForget, a, nil)
}

// Usage returns the measured usage of the tasks.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var list []Usage
	err := c.call(ctx, PathUsage, struct{}{}, &list)
	return list, err
}
