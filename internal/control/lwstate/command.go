package lwstate

import (
	"encoding/json"
	"fmt"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// Command is a change to the state, replicated as one log entry.
type Command interface{ command() }

// ApplyTicket sets the objects of a ticket.
type ApplyTicket struct {
	Ticket json.RawMessage `json:"ticket"` // canonical form
}

// SubmitJob adds a job. Submitting the same spec again returns the existing job.
type SubmitJob struct {
	Spec JobSpec `json:"spec"`
}

// CancelJob stops a job. A non-empty Team must own it; operators leave Team empty.
type CancelJob struct {
	Job  lwunit.JobID    `json:"job"`
	Team lwunit.TeamName `json:"team,omitempty"`
}

// RejectJob ends a job that no worker of the deployment could ever run.
type RejectJob struct {
	Job    lwunit.JobID `json:"job"`
	Reason string       `json:"reason"`
}

// RegisterWorker adds a worker or updates its spec and incarnation.
type RegisterWorker struct {
	Spec        WorkerSpec         `json:"spec"`
	Incarnation lwunit.Incarnation `json:"incarnation"`
}

// DrainWorker starts or ends the draining of a worker, during which no task is
// placed on it and the leader evicts its tasks.
type DrainWorker struct {
	Worker lwunit.WorkerID `json:"worker"`
	Drain  bool            `json:"drain"`
}

// SuspectWorker marks a worker as suspect, so that no task is placed on it. An
// empty Reason clears the mark.
type SuspectWorker struct {
	Worker lwunit.WorkerID `json:"worker"`
	Reason string          `json:"reason"`
}

// LoseWorker ends every attempt on a worker. The leader proposes it only after
// every lease of the worker has certainly expired. It has no effect if the worker
// has registered again since revision Registered, because the worker may then hold
// new leases.
type LoseWorker struct {
	Worker     lwunit.WorkerID `json:"worker"`
	Registered lwunit.Revision `json:"registered"`
	Lost       []LostAttempt   `json:"lost,omitempty"` // what the loss says of the tasks on the worker
}

// LostAttempt is an attempt that ended with its worker.
type LostAttempt struct {
	Task  lwunit.TaskID `json:"task"`
	Crash AttemptCrash  `json:"crash"`
	// Blame says why the task is to blame for the crashes under it, in which case the
	// attempt counts as failed; empty if it is not.
	Blame string `json:"blame,omitempty"`
}

// Placement assigns one queued task of a team's job to a worker.
type Placement struct {
	Task    lwunit.TaskID    `json:"task"`
	Worker  lwunit.WorkerID  `json:"worker"`
	Reserve lwunit.Resources `json:"reserve"`
}

// PlaceTasks starts attempts. Placements that are no longer possible are skipped.
type PlaceTasks struct {
	Placements []Placement `json:"placements"`
}

// Resize changes the resources that one attempt reserves on its worker.
type Resize struct {
	Task    lwunit.TaskID       `json:"task"`
	Token   lwunit.FencingToken `json:"token"`
	Reserve lwunit.Resources    `json:"reserve"`
}

// ResizeTasks adjusts reserves to the measured use of tasks. An increase that
// does not fit on the worker is skipped.
type ResizeTasks struct {
	Resizes []Resize `json:"resizes"`
}

// StopTasks requests that tasks be stopped.
type StopTasks struct {
	Tasks  []lwunit.TaskID `json:"tasks"`
	Reason StopReason      `json:"reason"`
}

// TaskEvent is an event of one attempt as reported by an agent.
type TaskEvent string

// The events of an attempt.
const (
	EventRunning      TaskEvent = "running"
	EventCheckpointed TaskEvent = "checkpointed"
	EventSucceeded    TaskEvent = "succeeded"
	EventFailed       TaskEvent = "failed"
	EventStopped      TaskEvent = "stopped" // stopped on request or because its lease expired, or unknown to the platform
)

// TaskReport reports an event of one attempt. It is ignored unless its token is
// that of the task's current attempt.
type TaskReport struct {
	Task       lwunit.TaskID       `json:"task"`
	Token      lwunit.FencingToken `json:"token"`
	Event      TaskEvent           `json:"event"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	Reason     string              `json:"reason,omitempty"`
	Gone       bool                `json:"gone,omitempty"`     // the platform no longer has an attempt that was started and not told to stop
	GoneFor    lwunit.Duration     `json:"gone_for,omitempty"` // since the platform no longer lists it
	Lost       *LostAttempt        `json:"lost,omitempty"`     // what that says of the task; set by the leader
}

// ReportTasks records reports of agents.
type ReportTasks struct {
	Reports []TaskReport `json:"reports"`
}

// AnnounceBackend adds a backend server or updates its description.
type AnnounceBackend struct {
	Server BackendServer `json:"server"`
}

// WithdrawBackend removes a backend server. It has no effect unless Incarnation
// is that of the last announcement, so an older incarnation of the agent cannot
// remove what a newer one announced.
type WithdrawBackend struct {
	ID          lwunit.BackendServerID `json:"id"`
	Incarnation lwunit.Incarnation     `json:"incarnation"`
}

// BindClaim binds a non-idempotent request to one backend server.
type BindClaim struct {
	Key       ClaimKey               `json:"key"`
	Request   string                 `json:"request"`
	Created   lwunit.Millis          `json:"created"` // time of creation encoded in the key
	Retention lwunit.Duration        `json:"retention"`
	Backend   lwunit.BackendServerID `json:"backend"`
}

// CloseClaim records the outcome of a bound claim.
type CloseClaim struct {
	Key    ClaimKey            `json:"key"`
	Token  lwunit.FencingToken `json:"token"`
	Phase  ClaimPhase          `json:"phase"`
	Answer *Answer             `json:"answer,omitempty"`
}

// Sweep removes claims, jobs and tasks whose retention has ended.
type Sweep struct{}

func (ApplyTicket) command()     {}
func (SubmitJob) command()       {}
func (CancelJob) command()       {}
func (RejectJob) command()       {}
func (RegisterWorker) command()  {}
func (DrainWorker) command()     {}
func (SuspectWorker) command()   {}
func (LoseWorker) command()      {}
func (PlaceTasks) command()      {}
func (ResizeTasks) command()     {}
func (StopTasks) command()       {}
func (ReportTasks) command()     {}
func (AnnounceBackend) command() {}
func (WithdrawBackend) command() {}
func (BindClaim) command()       {}
func (CloseClaim) command()      {}
func (Sweep) command()           {}

type wireCommand struct {
	Kind string          `json:"kind"`
	At   lwunit.Millis   `json:"at"`
	Body json.RawMessage `json:"body"`
}

func commandKind(c Command) string {
	switch c.(type) {
	case ApplyTicket:
		return "apply_ticket"
	case SubmitJob:
		return "submit_job"
	case CancelJob:
		return "cancel_job"
	case RejectJob:
		return "reject_job"
	case RegisterWorker:
		return "register_worker"
	case DrainWorker:
		return "drain_worker"
	case SuspectWorker:
		return "suspect_worker"
	case LoseWorker:
		return "lose_worker"
	case PlaceTasks:
		return "place_tasks"
	case ResizeTasks:
		return "resize_tasks"
	case StopTasks:
		return "stop_tasks"
	case ReportTasks:
		return "report_tasks"
	case AnnounceBackend:
		return "announce_backend"
	case WithdrawBackend:
		return "withdraw_backend"
	case BindClaim:
		return "bind_claim"
	case CloseClaim:
		return "close_claim"
	case Sweep:
		return "sweep"
	case Configure:
		return "configure"
	case AcceptQueueJob:
		return "accept_job"
	case CancelQueueJob:
		return "cancel_steps"
	case RecordRuns:
		return "record_runs"
	case ChangeRoster:
		return "change_roster"
	case StartWave:
		return "start_wave"
	case BeginMaintenance:
		return "begin_upkeep"
	case RemoveQueueJobs:
		return "forget_jobs"
	case RecordInterference:
		return "learn_disturbances"
	case SetEvacuation:
		return "set_evacuation"
	default:
		return ""
	}
}

// EncodeCommand returns the log entry for c; at is the time of the leader's clock
// when it proposed c. It fails if the entry cannot be decoded again: committed, such an
// entry would end every replica.
func EncodeCommand(c Command, at lwunit.Millis) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	data, err := json.Marshal(wireCommand{commandKind(c), at, body})
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	if _, _, err := DecodeCommand(data); err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a log entry that EncodeCommand wrote.
func DecodeCommand(data []byte) (Command, lwunit.Millis, error) {
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, 0, fmt.Errorf("decode command: %w", err)
	}
	c, err := decodeBody(w)
	if err != nil {
		return nil, 0, fmt.Errorf("decode command %s: %w", w.Kind, err)
	}
	return c, w.At, nil
}

func decodeBody(w wireCommand) (Command, error) {
	switch w.Kind {
	case "apply_ticket":
		return decodeAs[ApplyTicket](w.Body)
	case "submit_job":
		return decodeAs[SubmitJob](w.Body)
	case "cancel_job":
		return decodeAs[CancelJob](w.Body)
	case "reject_job":
		return decodeAs[RejectJob](w.Body)
	case "register_worker":
		return decodeAs[RegisterWorker](w.Body)
	case "drain_worker":
		return decodeAs[DrainWorker](w.Body)
	case "suspect_worker":
		return decodeAs[SuspectWorker](w.Body)
	case "lose_worker":
		return decodeAs[LoseWorker](w.Body)
	case "place_tasks":
		return decodeAs[PlaceTasks](w.Body)
	case "resize_tasks":
		return decodeAs[ResizeTasks](w.Body)
	case "stop_tasks":
		return decodeAs[StopTasks](w.Body)
	case "report_tasks":
		return decodeAs[ReportTasks](w.Body)
	case "announce_backend":
		return decodeAs[AnnounceBackend](w.Body)
	case "withdraw_backend":
		return decodeAs[WithdrawBackend](w.Body)
	case "bind_claim":
		return decodeAs[BindClaim](w.Body)
	case "close_claim":
		return decodeAs[CloseClaim](w.Body)
	case "sweep":
		return Sweep{}, nil
	case "configure":
		return decodeAs[Configure](w.Body)
	case "accept_job":
		return decodeAs[AcceptQueueJob](w.Body)
	case "cancel_steps":
		return decodeAs[CancelQueueJob](w.Body)
	case "record_runs", "record_ends": // record_ends is the name in logs of versions that did not record placements
		return decodeAs[RecordRuns](w.Body)
	case "change_roster":
		return decodeAs[ChangeRoster](w.Body)
	case "start_wave":
		return decodeAs[StartWave](w.Body)
	case "begin_upkeep":
		return decodeAs[BeginMaintenance](w.Body)
	case "learn_disturbances":
		return decodeAs[RecordInterference](w.Body)
	case "set_evacuation":
		return decodeAs[SetEvacuation](w.Body)
	case "forget_jobs":
		return decodeAs[RemoveQueueJobs](w.Body)
	default:
		return nil, lwfault.New(lwfault.Invalid, "unknown command kind; this program implements format version %d", Version)
	}
}

func decodeAs[C Command](body json.RawMessage) (Command, error) {
	var c C
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	return c, nil
}

// Result is the result of applying a command. Err says why the command was
// refused and is the same on every replica; the other fields depend on the command.
type Result struct {
	Err     error
	Ticket  TicketRecord       // ApplyTicket
	Job     Job                // SubmitJob, CancelJob, RejectJob
	Claim   Claim              // BindClaim, CloseClaim
	Fresh   bool               // BindClaim, Configure, AcceptQueueJob, SetEvacuation: the command took effect; CancelQueueJob: the job exists
	Skipped []SkippedPlacement // PlaceTasks, ResizeTasks
	Number  lwticket.Number    // ApplyTicket: a higher ticket that already set one of the objects

	Evacuation lwevacuation.Record // SetEvacuation: the record now in force
}

// SkippedPlacement is a placement or resize that was not carried out.
type SkippedPlacement struct {
	Task   lwunit.TaskID
	Reason string
}
