// Package lwstate is the replicated state machine: tickets, services, teams,
// workers, jobs, tasks, backend servers, the claims of non-idempotent requests,
// the evacuated failure domains (package lwevacuation) and the table of queues and
// their jobs (package lwjob). Every replica applies the same commands in the same
// order and reaches the same state, so nothing here reads a clock or does I/O.
package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// Version is the format version of snapshots. Commands carry no version; the error
// about an unknown kind of command names this one.
const Version = 1

// JobClass is the scheduling class of a job.
type JobClass string

// The job classes.
const (
	ClassLatencyCritical JobClass = "latency_critical"
	ClassUrgent          JobClass = "urgent" // batch work that must start within seconds
	ClassBatch           JobClass = "batch"
)

// JobPhase is the phase of a job's life cycle.
type JobPhase string

// The phases of a job. The last four are final.
const (
	JobActive     JobPhase = "active"
	JobCancelling JobPhase = "cancelling"
	JobSucceeded  JobPhase = "succeeded"
	JobFailed     JobPhase = "failed"
	JobCancelled  JobPhase = "cancelled"
	JobUnrunnable JobPhase = "unrunnable" // no worker of the deployment could ever run its tasks
)

// Final reports whether a job in this phase never changes its phase again.
func (p JobPhase) Final() bool { return p != JobActive && p != JobCancelling }

// TaskPhase is the phase of a task's life cycle.
type TaskPhase string

// The phases of a task. A task that is placed, running or stopping holds
// resources on a worker; the last three phases are final.
const (
	TaskQueued    TaskPhase = "queued"
	TaskPlaced    TaskPhase = "placed"
	TaskRunning   TaskPhase = "running"
	TaskStopping  TaskPhase = "stopping"
	TaskSucceeded TaskPhase = "succeeded"
	TaskFailed    TaskPhase = "failed"
	TaskCancelled TaskPhase = "cancelled"
)

// HoldsResources reports whether a task in this phase holds resources on a worker.
func (p TaskPhase) HoldsResources() bool {
	return p == TaskPlaced || p == TaskRunning || p == TaskStopping
}

// Final reports whether a task in this phase never changes its phase again.
func (p TaskPhase) Final() bool {
	return p == TaskSucceeded || p == TaskFailed || p == TaskCancelled
}

// StopReason says why a task is being stopped.
type StopReason string

// The reasons for stopping a task.
const (
	StopEvict  StopReason = "evict"  // checkpoint, stop and queue the task again
	StopCancel StopReason = "cancel" // end the task without another attempt
)

// JobSpec describes a job of a team as its submitter requested it. A job of a
// queue is described by lwjob.Spec.
type JobSpec struct {
	ID          lwunit.JobID     `json:"id"`
	Team        lwunit.TeamName  `json:"team"`
	Class       JobClass         `json:"class"`
	Program     string           `json:"program"` // passed to the platform; programs that are equal up to the first colon share their measured estimates
	Tasks       int              `json:"tasks"`
	Needs       lwunit.Resources `json:"needs"`               // declared by the submitter, per task
	RunTime     lwunit.Duration  `json:"run_time,omitempty"`  // expected run time of a task, declared by the submitter
	FinishIn    lwunit.Duration  `json:"finish_in,omitempty"` // deadline, counted from submission; 0 means none
	Domain      string           `json:"domain,omitempty"`    // failure domain that tasks must run in; empty means any
	MaxFailures int              `json:"max_failures"`        // failed attempts after which a task fails
}

// Job is the record of a submitted job.
type Job struct {
	Spec      JobSpec       `json:"spec"`
	Phase     JobPhase      `json:"phase"`
	Reason    string        `json:"reason,omitempty"`
	Submitted lwunit.Millis `json:"submitted"`
	Finished  lwunit.Millis `json:"finished,omitempty"`
	TasksLeft int           `json:"left"` // tasks whose phase is not final

	// Folded is set once the records of the tasks have been removed; the fields
	// below hold the totals over all tasks.
	Folded       bool `json:"folded,omitempty"`
	Attempts     int  `json:"attempts,omitempty"`
	Failures     int  `json:"failures,omitempty"`
	Evictions    int  `json:"evictions,omitempty"`
	LostAttempts int  `json:"losses,omitempty"`
}

// Task is the record of one task of a job.
type Task struct {
	ID           lwunit.TaskID       `json:"id"`
	Job          lwunit.JobID        `json:"job"`
	Phase        TaskPhase           `json:"phase"`
	Token        lwunit.FencingToken `json:"token,omitempty"` // of the latest attempt
	Worker       lwunit.WorkerID     `json:"worker,omitempty"`
	Reserve      lwunit.Resources    `json:"reserve"` // resources held on the worker; once the task has ended, those of its last attempt
	Checkpoint   string              `json:"checkpoint,omitempty"`
	Stop         StopReason          `json:"stop,omitempty"`
	Attempts     int                 `json:"attempts"`
	Failures     int                 `json:"failures,omitempty"`
	Evictions    int                 `json:"evictions,omitempty"`
	LostAttempts int                 `json:"losses,omitempty"` // attempts that ended with their worker or lease
	Queued       lwunit.Millis       `json:"queued"`           // time at which it was last queued
	Started      lwunit.Millis       `json:"started,omitempty"`
	Ended        lwunit.Millis       `json:"ended,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	Crashes      []AttemptCrash      `json:"crashes,omitempty"` // the newest, maxCrashesKept at most
}

// AttemptCrash is the crash of a worker under an attempt.
type AttemptCrash struct {
	Worker   lwunit.WorkerID     `json:"worker"`
	Token    lwunit.FencingToken `json:"token"`
	Age      lwunit.Duration     `json:"age"` // of the attempt
	Evidence lwblame.Evidence    `json:"evidence"`
}

const maxCrashesKept = 8

// WorkerSpec describes a worker as registered by its agent.
type WorkerSpec struct {
	ID          lwunit.WorkerID      `json:"id"`
	Region      lwunit.Region        `json:"region"`
	Domain      lwunit.FailureDomain `json:"domain"`
	Rack        lwunit.Rack          `json:"rack"`
	Capacity    lwunit.Resources     `json:"capacity"`
	GateAddress string               `json:"gate"` // address at which the agent accepts requests for its backend servers
}

// Worker is the record of a registered worker.
type Worker struct {
	Spec        WorkerSpec         `json:"spec"`
	Incarnation lwunit.Incarnation `json:"incarnation"` // of its agent
	Registered  lwunit.Revision    `json:"registered"`  // revision of the last registration
	Drain       bool               `json:"drain,omitempty"`
	Suspect     string             `json:"suspect,omitempty"` // reason why no task is placed on it; empty if not suspect
	Lost        bool               `json:"lost,omitempty"`    // its leases have certainly expired
}

// BackendServer is the record of an announced backend server.
type BackendServer struct {
	ID          lwunit.BackendServerID `json:"id"`
	Service     lwunit.ServiceName     `json:"service"`
	Worker      lwunit.WorkerID        `json:"worker"`
	Incarnation lwunit.Incarnation     `json:"incarnation"`       // of the agent that announced it
	Leaving     bool                   `json:"leaving,omitempty"` // takes no new requests
}

// ClaimKey identifies a non-idempotent request across its retries.
type ClaimKey struct {
	Team    lwunit.TeamName    `json:"team"`
	Service lwunit.ServiceName `json:"service"`
	Key     string             `json:"key"`
}

// ClaimPhase is the phase of the claim of a non-idempotent request.
type ClaimPhase string

// The phases of a claim. Only a released claim may be bound again.
const (
	ClaimBound    ClaimPhase = "bound"    // one agent may run the request once
	ClaimReleased ClaimPhase = "released" // the request certainly did not run
	ClaimDone     ClaimPhase = "done"     // the request ran and its answer is known
	ClaimUnknown  ClaimPhase = "unknown"  // the request may have run and is not run again
)

// Claim is the record of one non-idempotent request.
type Claim struct {
	Key         ClaimKey               `json:"key"`
	Request     string                 `json:"request"` // digest of method, path and body
	Phase       ClaimPhase             `json:"phase"`
	Token       lwunit.FencingToken    `json:"token"` // of the latest binding
	Backend     lwunit.BackendServerID `json:"backend"`
	Worker      lwunit.WorkerID        `json:"worker"`
	Incarnation lwunit.Incarnation     `json:"incarnation"`
	Answer      *Answer                `json:"answer,omitempty"`
	Created     lwunit.Millis          `json:"created,omitempty"` // time of creation encoded in the key; 0 if an older version bound it
	Bound       lwunit.Millis          `json:"bound"`
	Expires     lwunit.Millis          `json:"expires"`
}

// Answer is the recorded answer to a non-idempotent request. Of a body larger
// than MaxAnswerBytes only the digest and the size are kept.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Digest      string `json:"digest"`
	Size        int64  `json:"size"`
	Whole       bool   `json:"whole"` // Body holds the complete body
}

// MaxAnswerBytes is the largest body that is kept with a claim.
const MaxAnswerBytes = 16 << 10

// TicketRecord records an accepted ticket.
type TicketRecord struct {
	Number   lwticket.Number `json:"number"`
	Digest   lwticket.Digest `json:"digest"`
	Author   string          `json:"author"`
	Comment  string          `json:"comment,omitempty"`
	Objects  []lwticket.Key  `json:"objects"`
	Revision lwunit.Revision `json:"revision"` // revision at which it took effect
	Accepted lwunit.Millis   `json:"accepted"`
}

// ObjectRecord is the current state of an object and the ticket that set it. A
// removed object stays as a tombstone, so that an older ticket cannot restore it.
type ObjectRecord struct {
	Object   lwticket.Object `json:"object"`
	Ticket   lwticket.Number `json:"ticket"`
	Revision lwunit.Revision `json:"revision"`
}
