package lwlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// Names of the RPC methods about queues that the leader serves, and of the
// notification that it sends to agents.
const (
	MethodSubmitSteps   = "queue.submit"
	MethodShowSteps     = "queue.show"
	MethodCancelSteps   = "queue.cancel"
	MethodConfigure     = "queue.configure"
	MethodConfiguration = "queue.configuration"
	MethodStartWave     = "queue.start_wave"
	MethodShowWave      = "queue.show_wave"
	MethodReport        = "worker.report"
	MethodOrders        = "agent.orders"
	MethodLeader        = "control.leader"
	MethodAnnounce      = "control.announce"
)

// QueueMethods are the methods that only the leader serves.
var QueueMethods = []string{
	MethodSubmitSteps, MethodShowSteps, MethodCancelSteps, MethodConfigure, MethodConfiguration, MethodStartWave, MethodShowWave,
	MethodReport, MethodLeader,
}

// Place is where a caller's request is directed: the leader finds the queue,
// since only it knows the configuration in force.
type Place struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitSteps hands in a job; its id is what follows the queue's prefix.
type SubmitSteps struct {
	Place Place      `json:"place"`
	Spec  lwjob.Spec `json:"spec"`
}

// StepsStatus answers a question about a job, or about its queue if the path
// names no job.
type StepsStatus struct {
	State   lwjob.State `json:"state,omitempty"`
	Pending int         `json:"pending"`
	IsQueue bool        `json:"is_queue,omitempty"`
}

// ReportReply answers a worker's report.
type ReportReply struct {
	Token       lwdispatch.Token `json:"token"`
	Lease       lwunit.Duration  `json:"lease"`
	Cursor      int64            `json:"cursor"`
	FastReports bool             `json:"fast_reports,omitempty"` // report more often
	Control     []string         `json:"control,omitempty"`      // RPC addresses of the replicas
}

// AgentOrders are the leader's orders to one agent. Orders are idempotent, so
// that the leader may repeat them.
type AgentOrders struct {
	Life   lwjob.WorkerLife `json:"life"`
	Token  lwdispatch.Token `json:"token"`
	Cursor int64            `json:"cursor"`
	Orders []WireOrder      `json:"orders,omitempty"`
}

// WireOrder is one order on the wire; Kind tells which fields count.
type WireOrder struct {
	Kind       string        `json:"k"`
	Task       lwunit.TaskID `json:"t"`
	Run        lwjob.RunID   `json:"r"`
	Text       string        `json:"text,omitempty"`
	Checkpoint string        `json:"saved,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
	Percent    int           `json:"p,omitempty"`
	Repeated   bool          `json:"again,omitempty"`
}

const (
	orderStart = "start"
	orderStop  = "stop"
	orderPace  = "pace"
)

// EncodeOrder returns an order as it goes on the wire.
func EncodeOrder(o lwdispatch.Order) WireOrder {
	switch o := o.(type) {
	case lwdispatch.StartRun:
		return WireOrder{Kind: orderStart, Task: o.Task, Run: o.Run, Text: o.Text, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Percent: o.Percent, Repeated: o.Repeated}
	case lwdispatch.StopRun:
		return WireOrder{Kind: orderStop, Task: o.Task, Run: o.Run}
	case lwdispatch.PaceRun:
		return WireOrder{Kind: orderPace, Task: o.Task, Run: o.Run, Percent: o.Percent}
	default:
		return WireOrder{}
	}
}

// Order returns the order that a message carries, or nil for a kind that this
// program does not know.
func (w WireOrder) Order() lwdispatch.Order {
	switch w.Kind {
	case orderStart:
		return lwdispatch.StartRun{Task: w.Task, Run: w.Run, Text: w.Text, Checkpoint: w.Checkpoint, Ticket: w.Ticket, Percent: w.Percent, Repeated: w.Repeated}
	case orderStop:
		return lwdispatch.StopRun{Task: w.Task, Run: w.Run}
	case orderPace:
		return lwdispatch.PaceRun{Task: w.Task, Run: w.Run, Percent: w.Percent}
	default:
		return nil
	}
}

// WaveStatus tells how far an upkeep wave is.
type WaveStatus struct {
	Completed bool `json:"completed"`
}

const (
	queueAttempt  = 600 * time.Millisecond // for one answer of the leader: a commit on a slow disk, and two crossings
	queuePause    = 40 * time.Millisecond  // before the next attempt
	queueAnswer   = 150 * time.Millisecond // shortest time that a further attempt is worth: dial, two crossings and a commit
	noLeaderHold  = 1200 * time.Millisecond
	noLeaderRetry = time.Second // an election is over by then
)

// callQueue asks the leader until ctx ends. Where it gives up, the error says
// whether the request may have been carried out: kind Unknown if it may.
func (c *Client) callQueue(ctx context.Context, method string, params, result any) error {
	began := time.Now()
	maybe := false
	if method != MethodLeader && c.lostFor() > noLeaderHold {
		return noLeader(nil)
	}
	for {
		address := c.target()
		attempt, cancel := context.WithTimeout(ctx, queueAttempt)
		err := c.endpoint.Peer(address).Call(attempt, method, params, result)
		cancel()
		c.learn(address, err)
		if err == nil {
			return nil
		}
		if !mayRepeat(err) {
			if maybe && refuses(err) {
				return &lwfault.Fault{Kind: lwfault.Unknown, Detail: "an earlier attempt may have been carried out", Cause: err}
			}
			return err
		}
		if !surelyNotRun(err) {
			maybe = true
		}
		if lwfault.KindOf(err) == lwfault.Timeout {
			c.endpoint.Peer(address).Reset() // a silent connection never closes by itself
		}
		linkRetries.Add(1)
		pause := queuePause/2 + rand.N(queuePause)
		if !maybe && (time.Since(began) > noLeaderHold || endsWithin(ctx, pause+queueAnswer)) {
			return noLeader(err) // an attempt cut short would leave the caller without knowing
		}
		select {
		case <-ctx.Done():
			if maybe {
				return &lwfault.Fault{Kind: lwfault.Unknown, Detail: "the leader did not answer; the request may have been carried out", Cause: err}
			}
			return noLeader(err)
		case <-time.After(pause):
		}
	}
}

func endsWithin(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < d
}

func noLeader(cause error) error {
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no control leader is known", RetryAfter: noLeaderRetry, Cause: cause}
}

// lostFor returns for how long no leader has answered; zero while one does.
func (c *Client) lostFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost.IsZero() {
		return 0
	}
	return time.Since(c.lost)
}

// refuses reports whether an error says that the request was not taken.
func refuses(err error) bool {
	k := lwfault.KindOf(err)
	return k == lwfault.Overloaded || k == lwfault.Unavailable
}

func mayRepeat(err error) bool {
	switch lwfault.KindOf(err) {
	case lwfault.NotLeader, lwfault.Unavailable, lwfault.Timeout, lwfault.Unknown:
		return lwfault.As(err).RetryAfter == 0 || lwfault.KindOf(err) == lwfault.NotLeader
	default:
		return false
	}
}

// surelyNotRun reports whether an attempt has had no effect and will have none.
func surelyNotRun(err error) bool {
	if _, ok := errors.AsType[*lwrpc.NotSentError](err); ok {
		return true
	}
	return lwfault.KindOf(err) == lwfault.NotLeader
}

// SubmitSteps hands in a job of steps. It is accepted once this returns nil.
func (c *Client) SubmitSteps(ctx context.Context, p Place, s lwjob.Spec) error {
	return c.callQueue(ctx, MethodSubmitSteps, SubmitSteps{p, s}, nil)
}

// ShowSteps returns the state of a job or queue.
func (c *Client) ShowSteps(ctx context.Context, p Place) (StepsStatus, error) {
	var res StepsStatus
	err := c.callQueue(ctx, MethodShowSteps, p, &res)
	return res, err
}

// CancelSteps cancels a job.
func (c *Client) CancelSteps(ctx context.Context, p Place) error {
	return c.callQueue(ctx, MethodCancelSteps, p, nil)
}

// Configure puts a configuration of queues in force unless a higher version is.
func (c *Client) Configure(ctx context.Context, d lwconfig.Document) error {
	return c.callQueue(ctx, MethodConfigure, d, nil)
}

// Configuration returns the configuration in force, as a quorum confirms.
func (c *Client) Configuration(ctx context.Context) (lwconfig.Document, error) {
	var d lwconfig.Document
	err := c.callQueue(ctx, MethodConfiguration, struct{}{}, &d)
	return d, err
}

// StartWave begins an upkeep wave.
func (c *Client) StartWave(ctx context.Context, w lwjob.Wave) error {
	return c.callQueue(ctx, MethodStartWave, w, nil)
}

// ShowWave tells how far an upkeep wave is.
func (c *Client) ShowWave(ctx context.Context, id lwjob.WaveID) (WaveStatus, error) {
	var res WaveStatus
	err := c.callQueue(ctx, MethodShowWave, id, &res)
	return res, err
}

// Report tells the leader of a worker. It makes one attempt, since the next
// report is fresher.
func (c *Client) Report(ctx context.Context, m lwdispatch.Report) (ReportReply, error) {
	address := c.target()
	var res ReportReply
	err := c.endpoint.Peer(address).Call(ctx, MethodReport, m, &res)
	c.learn(address, err)
	if err == nil {
		c.addMembers(res.Control)
		return res, nil
	}
	if lwfault.KindOf(err) == lwfault.Timeout {
		c.endpoint.Peer(address).Reset()
	}
	return res, err
}

// ProbeLeader checks that a leader answers, and learns of the replicas.
func (c *Client) ProbeLeader(ctx context.Context) error {
	var res ReportReply
	if err := c.callQueue(ctx, MethodLeader, struct{}{}, &res); err != nil {
		return err
	}
	c.addMembers(res.Control)
	return nil
}

// addMembers adds replicas that were not known from the settings.
func (c *Client) addMembers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// Announcement says which replicas there are.
type Announcement struct {
	Control []string `json:"control"` // RPC addresses
	Leader  string   `json:"leader,omitempty"`
}

// Hear takes in an announcement. The leader that it names is tried first
// unless one has answered.
func (c *Client) Hear(m Announcement) {
	c.addMembers(m.Control)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = m.Leader
	}
}

// Addresses returns the RPC addresses of the replicas that are known.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// Leader returns the RPC address of the last known leader, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// SetSeeds adds replicas that reloaded settings name.
func (c *Client) SetSeeds(addresses []string) { c.addMembers(addresses) }
