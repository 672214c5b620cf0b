// Package lwstate is the replicated state machine: tickets, services, teams,
// workers, jobs, tasks, backend servers and the claims of non-idempotent
// requests. Every replica applies the same commands in the same order and
// reaches the same state; nothing here reads a clock or does I/O.
package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// Version is the format of snapshots and commands.
const Version = 1

// JobClass says what a job is for.
type JobClass string

// The classes of job.
const (
	ClassLatencyCritical JobClass = "latency_critical"
	ClassUrgent          JobClass = "urgent" // batch that must start within seconds
	ClassBatch           JobClass = "batch"
)

// JobPhase is where a job stands.
type JobPhase string

// The phases of a job. The last four are final.
const (
	JobActive     JobPhase = "active"
	JobCancelling JobPhase = "cancelling"
	JobSucceeded  JobPhase = "succeeded"
	JobFailed     JobPhase = "failed"
	JobCancelled  JobPhase = "cancelled"
	JobUnrunnable JobPhase = "unrunnable" // no worker of the deployment could ever hold a task
)

// Final reports whether the phase never changes again.
func (p JobPhase) Final() bool { return p != JobActive && p != JobCancelling }

// TaskPhase is where a task stands.
type TaskPhase string

// The phases of a task. A task in placed, running or stopping holds its
// resources on a worker.
const (
	TaskQueued    TaskPhase = "queued"
	TaskPlaced    TaskPhase = "placed"
	TaskRunning   TaskPhase = "running"
	TaskStopping  TaskPhase = "stopping"
	TaskSucceeded TaskPhase = "succeeded"
	TaskFailed    TaskPhase = "failed"
	TaskCancelled TaskPhase = "cancelled"
)

// Held reports whether a task in this phase holds resources on a worker.
func (p TaskPhase) Held() bool { return p == TaskPlaced || p == TaskRunning || p == TaskStopping }

// Final reports whether the phase never changes again.
func (p TaskPhase) Final() bool {
	return p == TaskSucceeded || p == TaskFailed || p == TaskCancelled
}

// StopReason says why a task is being stopped.
type StopReason string

// The reasons.
const (
	StopEvict  StopReason = "evict"  // checkpoint, stop, queue again
	StopCancel StopReason = "cancel" // stop for good
)

// JobSpec is what a submitter asks for.
type JobSpec struct {
	ID          lwunit.JobID     `json:"id"`
	Team        lwunit.TeamName  `json:"team"`
	Class       JobClass         `json:"class"`
	Program     string           `json:"program"` // passed to the platform; also the class for learning
	Tasks       int              `json:"tasks"`
	Needs       lwunit.Resources `json:"needs"` // of each task, as declared
	RunTime     lwunit.Duration  `json:"run_time,omitempty"`
	FinishIn    lwunit.Duration  `json:"finish_in,omitempty"` // deadline from submission; 0 is none
	Domain      string           `json:"domain,omitempty"`    // only in this failure domain
	MaxFailures int              `json:"max_failures"`        // of one task
}

// Job is a submitted job.
type Job struct {
	Spec      JobSpec       `json:"spec"`
	Phase     JobPhase      `json:"phase"`
	Reason    string        `json:"reason,omitempty"`
	Submitted lwunit.Millis `json:"submitted"`
	Finished  lwunit.Millis `json:"finished,omitempty"`
	Left      int           `json:"left"` // tasks that are not final

	// Folded is set once the tasks are no longer listed one by one; the sums
	// below are over all of them.
	Folded    bool `json:"folded,omitempty"`
	Attempts  int  `json:"attempts,omitempty"`
	Failures  int  `json:"failures,omitempty"`
	Evictions int  `json:"evictions,omitempty"`
	Losses    int  `json:"losses,omitempty"`
}

// Task is one task of a job.
type Task struct {
	ID         lwunit.TaskID       `json:"id"`
	Job        lwunit.JobID        `json:"job"`
	Phase      TaskPhase           `json:"phase"`
	Token      lwunit.FencingToken `json:"token,omitempty"` // of the last attempt
	Worker     lwunit.WorkerID     `json:"worker,omitempty"`
	Reserve    lwunit.Resources    `json:"reserve"` // held on the worker
	Checkpoint string              `json:"checkpoint,omitempty"`
	Stop       StopReason          `json:"stop,omitempty"`
	Attempts   int                 `json:"attempts"`
	Failures   int                 `json:"failures,omitempty"`
	Evictions  int                 `json:"evictions,omitempty"`
	Losses     int                 `json:"losses,omitempty"` // attempts that ended with their worker
	Queued     lwunit.Millis       `json:"queued"`           // when it was last queued
	Started    lwunit.Millis       `json:"started,omitempty"`
	Ended      lwunit.Millis       `json:"ended,omitempty"`
	Reason     string              `json:"reason,omitempty"`
}

// WorkerSpec describes a worker as its agent registered it.
type WorkerSpec struct {
	ID       lwunit.WorkerID      `json:"id"`
	Region   lwunit.Region        `json:"region"`
	Domain   lwunit.FailureDomain `json:"domain"`
	Rack     lwunit.Rack          `json:"rack"`
	Capacity lwunit.Resources     `json:"capacity"`
	Gate     string               `json:"gate"` // address where the agent takes requests
}

// Worker is a registered worker.
type Worker struct {
	Spec        WorkerSpec         `json:"spec"`
	Incarnation lwunit.Incarnation `json:"incarnation"` // of its agent
	Registered  lwunit.Revision    `json:"registered"`  // of the last registration
	Drain       bool               `json:"drain,omitempty"`
	Suspect     string             `json:"suspect,omitempty"` // why no task is placed here; empty if healthy
	Lost        bool               `json:"lost,omitempty"`    // its leases have surely ended
}

// BackendServer is one announced backend server.
type BackendServer struct {
	ID          lwunit.BackendServerID `json:"id"`
	Service     lwunit.ServiceName     `json:"service"`
	Worker      lwunit.WorkerID        `json:"worker"`
	Incarnation lwunit.Incarnation     `json:"incarnation"` // of the agent that gates it
	Leaving     bool                   `json:"leaving,omitempty"`
}

// ClaimKey identifies a non-idempotent request across resends.
type ClaimKey struct {
	Team    lwunit.TeamName    `json:"team"`
	Service lwunit.ServiceName `json:"service"`
	Key     string             `json:"key"`
}

// ClaimPhase is where the claim of a non-idempotent request stands.
type ClaimPhase string

// The phases of a claim. A released claim may be bound again; a closed one
// never.
const (
	ClaimBound    ClaimPhase = "bound"    // one agent may run it once
	ClaimReleased ClaimPhase = "released" // it certainly did not run
	ClaimDone     ClaimPhase = "done"     // it ran and its answer is known
	ClaimUnknown  ClaimPhase = "unknown"  // it may have run; it will not run again
)

// Claim is the record of one non-idempotent request.
type Claim struct {
	Key         ClaimKey               `json:"key"`
	Request     string                 `json:"request"` // digest of method, path and body
	Phase       ClaimPhase             `json:"phase"`
	Token       lwunit.FencingToken    `json:"token"` // of the present binding
	Backend     lwunit.BackendServerID `json:"backend"`
	Worker      lwunit.WorkerID        `json:"worker"`
	Incarnation lwunit.Incarnation     `json:"incarnation"`
	Answer      *Answer                `json:"answer,omitempty"`
	Bound       lwunit.Millis          `json:"bound"`
	Expires     lwunit.Millis          `json:"expires"`
}

// Answer is the recorded answer of a non-idempotent request. A body over
// MaxAnswerBytes is kept as its digest only.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Digest      string `json:"digest"`
	Size        int64  `json:"size"`
	Whole       bool   `json:"whole"` // Body is the whole answer
}

// MaxAnswerBytes bounds the body kept with a claim.
const MaxAnswerBytes = 16 << 10

// TicketRecord is the answer that a ticket was given.
type TicketRecord struct {
	Number   lwticket.Number `json:"number"`
	Digest   lwticket.Digest `json:"digest"`
	Author   string          `json:"author"`
	Comment  string          `json:"comment,omitempty"`
	Objects  []lwticket.Key  `json:"objects"`
	Revision lwunit.Revision `json:"revision"` // at which it took effect
	Accepted lwunit.Millis   `json:"accepted"`
}

// ObjectRecord is an object in force and the ticket that set it. A removed
// object stays as a tombstone, so that an older ticket cannot bring it back.
type ObjectRecord struct {
	Object   lwticket.Object `json:"object"`
	Ticket   lwticket.Number `json:"ticket"`
	Revision lwunit.Revision `json:"revision"`
}
