// Package lwlink defines the messages that entries, agents and operators exchange
// with control, and a client that finds the leader. It is separate so that no
// role imports the implementation of another.
package lwlink

import (
	"encoding/json"
	"fmt"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// Names of the RPC methods that control serves, and of the notification that
// it sends to agents.
const (
	MethodPropose = "control.propose"
	MethodWatch   = "control.watch"
	MethodSync    = "control.sync"
	MethodQuery   = "control.query"
	MethodReplace = "control.replace"
	MethodNudge   = "agent.nudge"
)

// NodeRole is the role of a process.
type NodeRole string

// The roles of a process.
const (
	RoleEntry   NodeRole = "entry"
	RoleAgent   NodeRole = "agent"
	RoleControl NodeRole = "control"
)

// Watch is a long poll for changes after the given revisions. It is answered as
// soon as there is a change, at the latest after MaxWait or control's own
// limit, whichever is shorter.
type Watch struct {
	Node            string          `json:"node"`
	Role            NodeRole        `json:"role"`
	PolicyRevision  lwunit.Revision `json:"policy"`   // revision of the objects that the node has applied
	BackendRevision lwunit.Revision `json:"backends"` // revision of the backend servers that it has applied; used only for entries
	MaxWait         lwunit.Duration `json:"max_wait"`
	// ObeysEvacuations says that the node applies WatchReply.Evacuated, which entries of
	// older versions ignore.
	ObeysEvacuations bool `json:"obeys_evacuations,omitempty"`
}

// WatchReply answers a Watch. It includes everything that was committed when the
// wait ended, as confirmed by a quorum.
type WatchReply struct {
	Revision        lwunit.Revision         `json:"revision"`          // of the objects
	Objects         []lwstate.ObjectRecord  `json:"objects,omitempty"` // changed after the watch's revision
	Clock           lwunit.Millis           `json:"clock"`             // replicated clock
	BackendRevision lwunit.Revision         `json:"backend_revision"`
	Backends        []lwstate.BackendServer `json:"backends,omitempty"`  // all of them, if any changed
	Workers         []WorkerAddress         `json:"workers,omitempty"`   // workers of these backend servers
	Evacuated       []lwunit.FailureDomain  `json:"evacuated,omitempty"` // all evacuated failure domains, if Backends is sent
}

// WorkerAddress is the address at which entries reach the agent of a worker.
type WorkerAddress struct {
	Worker      lwunit.WorkerID      `json:"worker"`
	Domain      lwunit.FailureDomain `json:"domain"`
	GateAddress string               `json:"gate"`
}

// Usage is the resource use of a task, as measured by the platform.
type Usage struct {
	Task lwunit.TaskID    `json:"task,omitempty"`
	Used lwunit.Resources `json:"used"`
	Age  lwunit.Duration  `json:"age"` // of the measurement
}

// ServiceSignal holds an agent's measurements of one backend server of a service
// on its worker.
type ServiceSignal struct {
	Service  lwunit.ServiceName `json:"service"`
	Requests int                `json:"requests"` // finished since the last signal
	Late     int                `json:"late"`     // of these, slower than the service's tail latency target
	Busy     int                `json:"busy"`     // slots in use
	Queued   int                `json:"queued"`   // queued requests
	Window   lwunit.Duration    `json:"window"`   // length of the measured interval, which ends when the agent sends the signal; 0 for the first signal
}

// Sync is the report that an agent sends to the leader at each interval. It also
// renews the leases of the worker's tasks, which run from the time at which the
// agent sent it.
type Sync struct {
	Worker        lwunit.WorkerID      `json:"worker"`
	Incarnation   lwunit.Incarnation   `json:"incarnation"`
	KnownRevision lwunit.Revision      `json:"known"` // worker revision that the agent has
	Reports       []lwstate.TaskReport `json:"reports,omitempty"`
	Usage         []Usage              `json:"usage,omitempty"`
	Signals       []ServiceSignal      `json:"signals,omitempty"`
}

// Assignment is one task that control has placed on a worker.
type Assignment struct {
	Task       lwunit.TaskID       `json:"task"`
	Token      lwunit.FencingToken `json:"token"`
	Program    string              `json:"program"`
	Reserve    lwunit.Resources    `json:"reserve"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	Stop       lwstate.StopReason  `json:"stop,omitempty"`    // set if the task must be stopped
	Running    bool                `json:"running,omitempty"` // an agent has reported that the task runs
}

// SyncReply answers a Sync.
type SyncReply struct {
	Register    bool            `json:"register,omitempty"`    // the worker must register first; no lease is granted
	Lease       lwunit.Duration `json:"lease,omitempty"`       // counted from when the agent sent the sync
	Revision    lwunit.Revision `json:"revision"`              // worker revision of the assignments
	Changed     bool            `json:"changed,omitempty"`     // Assignments is set
	Assignments []Assignment    `json:"assignments,omitempty"` // every task of the worker
	Throttles   []Throttle      `json:"throttles,omitempty"`
}

// Throttle limits the CPU share of a task, in percent of its processors.
type Throttle struct {
	Task    lwunit.TaskID `json:"task"`
	Percent int           `json:"percent"`
}

// QueryKind selects what a Query reads.
type QueryKind string

// The kinds of query.
const (
	QueryJobs     QueryKind = "jobs"
	QueryJob      QueryKind = "job"
	QueryTasks    QueryKind = "tasks"
	QueryWorkers  QueryKind = "workers"
	QueryDomains  QueryKind = "domains"
	QueryBackends QueryKind = "backend_servers"
	QueryObjects  QueryKind = "objects"
	QueryTickets  QueryKind = "tickets"
	QueryTicket   QueryKind = "ticket"
	QueryClaim    QueryKind = "claim"
	QueryStatus   QueryKind = "status"
)

// Query reads state that is confirmed by a quorum.
type Query struct {
	Kind   QueryKind         `json:"kind"`
	Team   lwunit.TeamName   `json:"team,omitempty"` // if set, only jobs and tasks of this team
	Job    lwunit.JobID      `json:"job,omitempty"`
	Ticket lwticket.Number   `json:"ticket,omitempty"`
	Claim  *lwstate.ClaimKey `json:"claim,omitempty"`
	Limit  int               `json:"limit,omitempty"` // of the tickets returned; 0 means the default of control
}

// QueryReply answers a Query. Only the fields that belong to its kind are set.
type QueryReply struct {
	Revision lwunit.Revision         `json:"revision"`
	Clock    lwunit.Millis           `json:"clock"`
	Jobs     []lwstate.Job           `json:"jobs,omitempty"`
	Tasks    []lwstate.Task          `json:"tasks,omitempty"`
	Workers  []WorkerStatus          `json:"workers,omitempty"`
	Domains  []DomainStatus          `json:"domains,omitempty"`
	Backends []lwstate.BackendServer `json:"backend_servers,omitempty"`
	Objects  []lwstate.ObjectRecord  `json:"objects,omitempty"`
	Tickets  []lwstate.TicketRecord  `json:"tickets,omitempty"`
	Claim    *lwstate.Claim          `json:"claim,omitempty"`
	// ClaimFloor is the time up to which claims like the one asked for may have been
	// removed, by the creation of their keys.
	ClaimFloor lwunit.Millis   `json:"claim_floor,omitempty"`
	Nodes      []NodeStatus    `json:"nodes,omitempty"`
	Replicas   []ReplicaStatus `json:"replicas,omitempty"`
}

// WorkerStatus is a worker with its free resources and its number of tasks.
type WorkerStatus struct {
	lwstate.Worker
	Free  lwunit.Resources `json:"free"`
	Tasks int              `json:"tasks"`
}

// DomainStatus is a failure domain with the record of its last evacuation or restoring.
type DomainStatus struct {
	Name lwunit.FailureDomain `json:"name"`
	lwevacuation.Record
	Workers  int `json:"workers"`         // registered, the lost ones included
	Backends int `json:"backend_servers"` // announced on them
	Tasks    int `json:"tasks"`           // of teams' jobs that hold resources on them
}

// NodeStatus is the policy revision that a process last reported.
type NodeStatus struct {
	Node    string          `json:"node"`
	Role    NodeRole        `json:"role"`
	Applied lwunit.Revision `json:"applied"`
	Age     lwunit.Duration `json:"seen"` // time since that report
}

// ReplicaStatus is the leader's record of one control replica.
type ReplicaStatus struct {
	ID          lwunit.ReplicaID     `json:"id"`
	Address     string               `json:"address"`
	Domain      lwunit.FailureDomain `json:"domain"`
	Role        string               `json:"role"`
	MatchIndex  uint64               `json:"match"`  // log index up to which it is known to match the leader
	LastIndex   uint64               `json:"last"`   // last log index of the leader
	SinceAnswer lwunit.Duration      `json:"answer"` // time since it last answered
	Hash        string               `json:"hash,omitempty"`
}

// Outcome is the result of a command.
type Outcome struct {
	Revision lwunit.Revision
	Ticket   lwstate.TicketRecord
	Job      lwstate.Job
	Claim    lwstate.Claim
	Fresh    bool
}

type proposeParams struct {
	Command json.RawMessage `json:"command"`
}

type proposeResult struct {
	Revision lwunit.Revision       `json:"revision"`
	Fault    *wireFault            `json:"fault,omitempty"`
	Ticket   *lwstate.TicketRecord `json:"ticket,omitempty"`
	Job      *lwstate.Job          `json:"job,omitempty"`
	Claim    *lwstate.Claim        `json:"claim,omitempty"`
	Fresh    bool                  `json:"fresh,omitempty"`
}

type wireFault struct {
	Kind       lwfault.Kind  `json:"kind"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// EncodeProposal returns the parameters of MethodPropose. The time in the encoded
// command is 0, as the leader proposes it with its own.
func EncodeProposal(c lwstate.Command) (json.RawMessage, error) {
	data, err := lwstate.EncodeCommand(c, 0)
	if err != nil {
		return nil, err
	}
	return json.Marshal(proposeParams{data})
}

// DecodeProposal returns the command in the parameters of MethodPropose.
func DecodeProposal(params json.RawMessage) (lwstate.Command, error) {
	var p proposeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "propose", Cause: err}
	}
	c, _, err := lwstate.DecodeCommand(p.Command)
	if err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "propose", Cause: err}
	}
	return c, nil
}

// EncodeResult returns the answer of MethodPropose.
func EncodeResult(rev lwunit.Revision, r lwstate.Result) any {
	out := proposeResult{Revision: rev, Fresh: r.Fresh}
	if r.Err != nil {
		f := lwfault.As(r.Err)
		detail := f.Detail
		if f.Cause != nil {
			detail += ": " + f.Cause.Error()
		}
		out.Fault = &wireFault{f.Kind, detail, f.RetryAfter}
	}
	if r.Ticket.Number != 0 {
		out.Ticket = &r.Ticket
	}
	if r.Job.Spec.ID != "" {
		out.Job = &r.Job
	}
	if r.Claim.Key.Key != "" {
		out.Claim = &r.Claim
	}
	return out
}

func (p proposeResult) outcome() (Outcome, error) {
	o := Outcome{Revision: p.Revision, Fresh: p.Fresh}
	if p.Ticket != nil {
		o.Ticket = *p.Ticket
	}
	if p.Job != nil {
		o.Job = *p.Job
	}
	if p.Claim != nil {
		o.Claim = *p.Claim
	}
	if p.Fault != nil {
		return o, &lwfault.Fault{Kind: p.Fault.Kind, Detail: p.Fault.Detail, RetryAfter: p.Fault.RetryAfter}
	}
	return o, nil
}

// Decode decodes RPC parameters. Its error is of kind Invalid and says what is
// wrong with them.
func Decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "parameters", Cause: fmt.Errorf("decode: %w", err)}
	}
	return v, nil
}
