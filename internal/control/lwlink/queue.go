package lwlink

import (
	"context"
	"errors"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// Names of the RPC methods about queues and workers that the leader serves, of
// the notification that it sends to agents (MethodOrders), and of the one between
// control processes (MethodAnnounce).
const (
	MethodSubmitQueueJob = "queue.submit"
	MethodShowQueueJob   = "queue.show"
	MethodCancelQueueJob = "queue.cancel"
	MethodConfigure      = "queue.configure"
	MethodConfiguration  = "queue.configuration"
	MethodStartWave      = "queue.start_wave"
	MethodShowWave       = "queue.show_wave"
	MethodReport         = "worker.report"
	MethodOrders         = "agent.orders"
	MethodProbeLeader    = "control.leader"
	MethodAnnounce       = "control.announce"
	MethodEvacuation     = "queue.evacuation"
	MethodSetEvacuation  = "queue.set_evacuation"
)

// QueueMethods are the methods about queues and workers that only the leader serves.
var QueueMethods = []string{
	MethodSubmitQueueJob, MethodShowQueueJob, MethodCancelQueueJob, MethodConfigure, MethodConfiguration, MethodStartWave, MethodShowWave,
	MethodReport, MethodProbeLeader, MethodEvacuation, MethodSetEvacuation,
}

// RequestTarget is the host and the path of a caller's request. The leader maps
// them to a queue, since only it knows the configuration in force.
type RequestTarget struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitQueueJob submits a job. Its id is the part of the path after the queue's
// prefix.
type SubmitQueueJob struct {
	Target RequestTarget `json:"place"`
	Spec   lwjob.Spec    `json:"spec"`
	// Repeated is set if an earlier attempt of the same request may have been carried out. The
	// job is then accepted if it was accepted before, also if its queue has been removed since.
	Repeated bool `json:"again,omitempty"`
}

// noteRepeated sets Repeated.
func (m *SubmitQueueJob) noteRepeated() { m.Repeated = true }

// QueueJobStatus is the status of a job, or of its queue if the path names no job.
type QueueJobStatus struct {
	State   lwjob.State `json:"state,omitempty"`
	Pending int         `json:"pending"`            // jobs of the queue that have not started, without jobs that start at set times
	IsQueue bool        `json:"is_queue,omitempty"` // the path names no job; State is not set
}

// ReportReply answers an agent's report of its worker.
type ReportReply struct {
	Token            lwdispatch.Token `json:"token"`
	Lease            lwunit.Duration  `json:"lease"`                  // counted from when the agent sent the report; 0 grants no lease
	Cursor           int64            `json:"cursor"`                 // ends up to this number are recorded
	FastReports      bool             `json:"fast_reports,omitempty"` // asks the agent to report more often
	Evacuated        bool             `json:"evacuated,omitempty"`    // the domain of the worker is evacuated; the agent starts nothing
	ControlAddresses []string         `json:"control,omitempty"`      // RPC addresses of the replicas

	CrashesRecorded []lwjob.WorkerIncarnation `json:"crashes_recorded,omitempty"` // need not be reported again
}

// AgentOrders holds the leader's orders to one agent. Orders are idempotent, so
// the leader may resend them.
type AgentOrders struct {
	Incarnation lwjob.WorkerIncarnation `json:"life"`
	Token       lwdispatch.Token        `json:"token"`
	Cursor      int64                   `json:"cursor"` // ends up to this number are recorded
	Orders      []WireOrder             `json:"orders,omitempty"`
	// Capacity is the capacity of the worker on which the starts rest; zero from a
	// leader of an older version.
	Capacity lwunit.Resources `json:"capacity,omitzero"`
}

// WireOrder is the encoded form of one lwdispatch.Order. Kind determines which
// fields are used.
type WireOrder struct {
	Kind       string        `json:"k"`
	Task       lwunit.TaskID `json:"t"`
	Run        lwjob.RunID   `json:"r"`
	Text       string        `json:"text,omitempty"`   // of the job's spec
	Checkpoint string        `json:"saved,omitempty"`  // from which the run continues
	Ticket     string        `json:"ticket,omitempty"` // admission ticket from the advice service
	Percent    int           `json:"p,omitempty"`      // of the task's declared processors
	Repeated   bool          `json:"again,omitempty"`  // the order was sent before and may have been carried out
}

const (
	orderStart    = "start"
	orderStop     = "stop"
	orderLimitCPU = "pace"
)

// EncodeOrder returns the encoded form of an order.
func EncodeOrder(o lwdispatch.Order) WireOrder {
	switch o := o.(type) {
	case lwdispatch.StartRun:
		return WireOrder{Kind: orderStart, Task: o.Task, Run: o.Run, Text: o.Text, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Percent: o.CPUPercent, Repeated: o.Repeated}
	case lwdispatch.StopRun:
		return WireOrder{Kind: orderStop, Task: o.Task, Run: o.Run}
	case lwdispatch.LimitRunCPU:
		return WireOrder{Kind: orderLimitCPU, Task: o.Task, Run: o.Run, Percent: o.CPUPercent}
	default:
		return WireOrder{}
	}
}

// Order returns the decoded order, or nil for a kind that this program does not
// know.
func (w WireOrder) Order() lwdispatch.Order {
	switch w.Kind {
	case orderStart:
		return lwdispatch.StartRun{Task: w.Task, Run: w.Run, Text: w.Text, Checkpoint: w.Checkpoint, Ticket: w.Ticket, CPUPercent: w.Percent, Repeated: w.Repeated}
	case orderStop:
		return lwdispatch.StopRun{Task: w.Task, Run: w.Run}
	case orderLimitCPU:
		return lwdispatch.LimitRunCPU{Task: w.Task, Run: w.Run, CPUPercent: w.Percent}
	default:
		return nil
	}
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Completed bool `json:"completed"` // the maintenance of every machine has begun
}

const (
	queueAttemptTimeout = 600 * time.Millisecond  // for the first answer of the leader: a commit on a slow disk and two network crossings
	queueRetryDelay     = 40 * time.Millisecond   // mean delay after the first round
	maxQueueRetryDelay  = 160 * time.Millisecond  // mean delay after a later round
	minAttemptTime      = 150 * time.Millisecond  // time that must be left for a further attempt: a dial, two network crossings and a commit
	lastRoundTime       = 200 * time.Millisecond  // time that must be left for the last round: redirects and an attempt
	noLeaderTimeout     = 1200 * time.Millisecond // longest time that a request waits for a leader
	noLeaderRetryAfter  = time.Second             // an election is over by then
)

// callQueue sends a request to the leader, with retries until ctx ends. While no
// attempt may have been carried out, it gives up earlier: if no attempt has
// succeeded for noLeaderTimeout, or if less than minAttemptTime would be left for
// the next one. The error has kind Unknown if an attempt may have been carried out
// and no later answer settled it.
func (c *Client) callQueue(ctx context.Context, method string, params, result any) error {
	start := time.Now()
	mayHaveRun := false
	if method != MethodProbeLeader && c.leaderlessFor() > noLeaderTimeout {
		return noLeaderFault(nil)
	}
	s := search{client: c, skipsSilent: true, timeout: queueAttemptTimeout, delay: queueRetryDelay, maxDelay: maxQueueRetryDelay}
	for {
		err := s.attempt(ctx, method, params, result)
		if err == nil {
			return nil
		}
		if !isQueueRetryable(err) {
			if mayHaveRun && !settles(method, err) {
				return &lwfault.Fault{Kind: lwfault.Unknown, Detail: "an earlier attempt may have been carried out", Cause: err}
			}
			return err
		}
		if !hadNoEffect(err) {
			mayHaveRun = true
			if m, ok := params.(interface{ noteRepeated() }); ok {
				m.noteRepeated()
			}
		}
		clientRetries.Add(1)
		pause := s.pause(err)
		if !mayHaveRun && time.Since(start) > noLeaderTimeout {
			c.leaderlessSince(start)
			return noLeaderFault(err)
		}
		pause = beforeEnd(ctx, pause)
		if !mayHaveRun && endsWithin(ctx, pause+minAttemptTime) {
			return noLeaderFault(err) // the outcome of an attempt that is cut short would be unknown
		}
		if c.awaitLeader(ctx, pause) {
			continue
		}
		if mayHaveRun {
			return &lwfault.Fault{Kind: lwfault.Unknown, Detail: "the leader did not answer; the request may have been carried out", Cause: err}
		}
		return noLeaderFault(err)
	}
}

// endsWithin reports whether the deadline of ctx is less than d away.
func endsWithin(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < d
}

// beforeEnd shortens a pause so that lastRoundTime is left after it before the deadline
// of ctx. It leaves a pause alone that begins later.
func beforeEnd(ctx context.Context, pause time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if left := time.Until(deadline) - lastRoundTime; ok && left > 0 {
		return min(pause, left)
	}
	return pause
}

func noLeaderFault(cause error) error {
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader is known", RetryAfter: noLeaderRetryAfter, Cause: cause}
}

// leaderlessFor returns the time since the first attempt that reached no leader
// after one was reached, or zero if the last attempt reached it.
func (c *Client) leaderlessFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderLostAt.IsZero() {
		return 0
	}
	return time.Since(c.leaderLostAt)
}

// leaderlessSince records that a request found no leader from start until now, so
// that the next one is refused at once.
func (c *Client) leaderlessSince(start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leaderLostAt.IsZero() && start.Before(c.leaderLostAt) {
		c.leaderLostAt = start
	}
}

// settles reports whether the error of an attempt says that no earlier attempt of the request was
// carried out, either. What has refused this one may have come up since, like the removal of a
// queue.
func settles(method string, err error) bool {
	switch lwfault.KindOf(err) {
	case lwfault.Invalid, lwfault.TooLarge, lwfault.Unauthorized, lwfault.Forbidden, lwfault.Conflict, lwfault.Expired:
		return true
	case lwfault.NotFound:
		return slices.Contains(readMethods, method)
	default:
		return false
	}
}

// readMethods change nothing, so that the last answer counts.
var readMethods = []string{MethodShowQueueJob, MethodConfiguration, MethodShowWave, MethodProbeLeader, MethodEvacuation}

// isQueueRetryable reports whether another attempt can succeed. A fault with a
// RetryAfter is passed on to the caller instead, unless it is a redirect.
func isQueueRetryable(err error) bool {
	switch lwfault.KindOf(err) {
	case lwfault.NotLeader, lwfault.Unavailable, lwfault.Timeout, lwfault.Unknown:
		return lwfault.As(err).RetryAfter == 0 || lwfault.KindOf(err) == lwfault.NotLeader
	default:
		return false
	}
}

// hadNoEffect reports whether an attempt certainly had no effect and will have
// none.
func hadNoEffect(err error) bool {
	if _, ok := errors.AsType[*lwrpc.NotSentError](err); ok {
		return true
	}
	return lwfault.KindOf(err) == lwfault.NotLeader
}

// SubmitQueueJob submits a job. The job is accepted if the error is nil.
func (c *Client) SubmitQueueJob(ctx context.Context, target RequestTarget, s lwjob.Spec) error {
	return c.callQueue(ctx, MethodSubmitQueueJob, &SubmitQueueJob{Target: target, Spec: s}, nil)
}

// ShowQueueJob returns the status of a job or of a queue.
func (c *Client) ShowQueueJob(ctx context.Context, target RequestTarget) (QueueJobStatus, error) {
	var res QueueJobStatus
	err := c.callQueue(ctx, MethodShowQueueJob, target, &res)
	return res, err
}

// CancelQueueJob cancels a job.
func (c *Client) CancelQueueJob(ctx context.Context, target RequestTarget) error {
	return c.callQueue(ctx, MethodCancelQueueJob, target, nil)
}

// Configure puts a configuration of queues in force, unless one with the same or
// a higher version is.
func (c *Client) Configure(ctx context.Context, d lwconfig.Document) error {
	return c.callQueue(ctx, MethodConfigure, d, nil)
}

// Configuration returns the configuration in force. The leader answers under its
// lease.
func (c *Client) Configuration(ctx context.Context) (lwconfig.Document, error) {
	var d lwconfig.Document
	err := c.callQueue(ctx, MethodConfiguration, struct{}{}, &d)
	return d, err
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, w lwjob.Wave) error {
	return c.callQueue(ctx, MethodStartWave, w, nil)
}

// ShowWave returns the progress of a maintenance wave.
func (c *Client) ShowWave(ctx context.Context, id lwjob.WaveID) (WaveStatus, error) {
	var res WaveStatus
	err := c.callQueue(ctx, MethodShowWave, id, &res)
	return res, err
}

// Report sends an agent's report of its worker to the leader. It does not retry,
// since the next report is newer.
func (c *Client) Report(ctx context.Context, m lwdispatch.Report) (ReportReply, error) {
	var res ReportReply
	err := c.callLeaderOnce(ctx, MethodReport, m, &res)
	if err == nil {
		c.addAddresses(res.ControlAddresses)
	}
	return res, err
}

// ProbeLeader checks that a leader answers, and adds the replicas that it names.
func (c *Client) ProbeLeader(ctx context.Context) error {
	var res ReportReply
	if err := c.callQueue(ctx, MethodProbeLeader, struct{}{}, &res); err != nil {
		return err
	}
	c.addAddresses(res.ControlAddresses)
	return nil
}

// addAddresses adds the replicas that are not known yet.
func (c *Client) addAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas.add(addresses)
}

// Announcement names the replicas and the leader.
type Announcement struct {
	ControlAddresses []string `json:"control"` // RPC addresses
	Leader           string   `json:"leader,omitempty"`
}

// ApplyAnnouncement adds the replicas in an announcement, and takes over its leader
// if this client knows none.
func (c *Client) ApplyAnnouncement(m Announcement) {
	c.addAddresses(m.ControlAddresses)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicas.leader == "" {
		c.replicas.leader = m.Leader
	}
}

// Addresses returns the RPC addresses of the known replicas, seeds included.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.replicas.addresses)
}

// Leader returns the RPC address of the last known leader, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.leader
}

// AddSeeds adds the addresses of seeds in reloaded settings. It removes none.
func (c *Client) AddSeeds(addresses []string) { c.addAddresses(addresses) }
