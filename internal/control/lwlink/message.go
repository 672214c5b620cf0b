// Package lwlink is the link between the control replicas and the other
// processes: the messages that entries, agents and operators exchange with
// control, and a client that finds the leader. It exists so that no role has
// to know how another one is built.
package lwlink

import (
	"encoding/json"
	"fmt"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
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

// NodeRole is the part a process plays.
type NodeRole string

// The roles of a process.
const (
	RoleEntry   NodeRole = "entry"
	RoleAgent   NodeRole = "agent"
	RoleControl NodeRole = "control"
)

// Watch asks for what changed after the given revisions. The answer comes at
// once if something did, else after MaxWait.
type Watch struct {
	Node     string          `json:"node"`
	Role     NodeRole        `json:"role"`
	Policy   lwunit.Revision `json:"policy"`   // revision of the objects the node has applied
	Backends lwunit.Revision `json:"backends"` // revision of its backend servers; ignored for agents
	MaxWait  lwunit.Duration `json:"max_wait"`
}

// Policy answers a Watch. A quorum confirmed that nothing newer was accepted
// when the answer was made.
type Policy struct {
	Revision        lwunit.Revision         `json:"revision"` // of the objects
	Objects         []lwstate.ObjectRecord  `json:"objects,omitempty"`
	Clock           lwunit.Millis           `json:"clock"`
	BackendRevision lwunit.Revision         `json:"backend_revision"`
	Backends        []lwstate.BackendServer `json:"backends,omitempty"` // the whole list, if it changed
	Workers         []WorkerAddress         `json:"workers,omitempty"`  // those with a backend server
}

// WorkerAddress tells an entry where to reach the agent of a worker.
type WorkerAddress struct {
	Worker lwunit.WorkerID      `json:"worker"`
	Domain lwunit.FailureDomain `json:"domain"`
	Gate   string               `json:"gate"`
}

// Usage is what a task or a worker really uses, as the platform measured it.
type Usage struct {
	Task lwunit.TaskID    `json:"task,omitempty"`
	Used lwunit.Resources `json:"used"`
	Age  lwunit.Duration  `json:"age"` // how old the measurement is
}

// ServiceSignal is what an agent sees of one service beside its tasks.
type ServiceSignal struct {
	Service  lwunit.ServiceName `json:"service"`
	Requests int                `json:"requests"` // finished since the last signal
	Late     int                `json:"late"`     // of these, over the promised tail
	Busy     int                `json:"busy"`     // slots in use
	Queued   int                `json:"queued"`
	Window   lwunit.Duration    `json:"window"` // time it covers, up to now
}

// Sync is what an agent tells the leader at each interval. It also renews the
// leases of the worker's tasks, counted from when the agent sent it.
type Sync struct {
	Worker      lwunit.WorkerID      `json:"worker"`
	Incarnation lwunit.Incarnation   `json:"incarnation"`
	Known       lwunit.Revision      `json:"known"` // worker revision the agent has
	Reports     []lwstate.TaskReport `json:"reports,omitempty"`
	Usage       []Usage              `json:"usage,omitempty"`
	Signals     []ServiceSignal      `json:"signals,omitempty"`
}

// Assignment is one task that control wants on a worker.
type Assignment struct {
	Task       lwunit.TaskID       `json:"task"`
	Token      lwunit.FencingToken `json:"token"`
	Program    string              `json:"program"`
	Reserve    lwunit.Resources    `json:"reserve"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	Stop       lwstate.StopReason  `json:"stop,omitempty"`    // set when the task must end
	Running    bool                `json:"running,omitempty"` // an agent reported that it runs
}

// SyncReply answers a Sync.
type SyncReply struct {
	Register    bool            `json:"register,omitempty"` // the worker must register first; no lease is granted
	Lease       lwunit.Duration `json:"lease,omitempty"`
	Revision    lwunit.Revision `json:"revision"`
	Changed     bool            `json:"changed,omitempty"`     // Assignments is the whole list
	Assignments []Assignment    `json:"assignments,omitempty"` // every task of the worker
	Throttles   []Throttle      `json:"throttles,omitempty"`
}

// Throttle limits a task to a share of its processors, in percent.
type Throttle struct {
	Task    lwunit.TaskID `json:"task"`
	Percent int           `json:"percent"`
}

// QueryKind says what a Query asks for.
type QueryKind string

// The kinds of query.
const (
	QueryJobs     QueryKind = "jobs"
	QueryJob      QueryKind = "job"
	QueryTasks    QueryKind = "tasks"
	QueryWorkers  QueryKind = "workers"
	QueryBackends QueryKind = "backend_servers"
	QueryObjects  QueryKind = "objects"
	QueryTickets  QueryKind = "tickets"
	QueryTicket   QueryKind = "ticket"
	QueryClaim    QueryKind = "claim"
	QueryStatus   QueryKind = "status"
)

// Query reads state that a quorum has confirmed.
type Query struct {
	Kind   QueryKind         `json:"kind"`
	Team   lwunit.TeamName   `json:"team,omitempty"` // limits jobs and tasks to a team
	Job    lwunit.JobID      `json:"job,omitempty"`
	Ticket lwticket.Number   `json:"ticket,omitempty"`
	Claim  *lwstate.ClaimKey `json:"claim,omitempty"`
	Limit  int               `json:"limit,omitempty"`
}

// QueryReply answers a Query; the field of its kind is set.
type QueryReply struct {
	Revision lwunit.Revision         `json:"revision"`
	Clock    lwunit.Millis           `json:"clock"`
	Jobs     []lwstate.Job           `json:"jobs,omitempty"`
	Tasks    []lwstate.Task          `json:"tasks,omitempty"`
	Workers  []WorkerStatus          `json:"workers,omitempty"`
	Backends []lwstate.BackendServer `json:"backend_servers,omitempty"`
	Objects  []lwstate.ObjectRecord  `json:"objects,omitempty"`
	Tickets  []lwstate.TicketRecord  `json:"tickets,omitempty"`
	Claim    *lwstate.Claim          `json:"claim,omitempty"`
	Nodes    []NodeStatus            `json:"nodes,omitempty"`
	Replicas []ReplicaStatus         `json:"replicas,omitempty"`
}

// WorkerStatus is a worker and what is in use on it.
type WorkerStatus struct {
	lwstate.Worker
	Free  lwunit.Resources `json:"free"`
	Tasks int              `json:"tasks"`
}

// NodeStatus is the policy revision that a process last reported.
type NodeStatus struct {
	Node    string          `json:"node"`
	Role    NodeRole        `json:"role"`
	Applied lwunit.Revision `json:"applied"`
	Seen    lwunit.Duration `json:"seen"` // how long ago
}

// ReplicaStatus is one control replica as the leader sees it.
type ReplicaStatus struct {
	ID      lwunit.ReplicaID     `json:"id"`
	Address string               `json:"address"`
	Domain  lwunit.FailureDomain `json:"domain"`
	Role    string               `json:"role"`
	Match   uint64               `json:"match"`
	Last    uint64               `json:"last"`
	Answer  lwunit.Duration      `json:"answer"` // since it last answered
	Hash    string               `json:"hash,omitempty"`
}

// Outcome is what a command answered.
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

// EncodePropose returns the parameters of MethodPropose.
func EncodePropose(c lwstate.Command) (json.RawMessage, error) {
	data, err := lwstate.EncodeCommand(c, 0)
	if err != nil {
		return nil, err
	}
	return json.Marshal(proposeParams{data})
}

// DecodePropose returns the command in the parameters of MethodPropose.
func DecodePropose(params json.RawMessage) (lwstate.Command, error) {
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

// Decode reads RPC parameters strictly enough to name what is wrong.
func Decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "parameters", Cause: fmt.Errorf("decode: %w", err)}
	}
	return v, nil
}
