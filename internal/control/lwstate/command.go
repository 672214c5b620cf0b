package lwstate

import (
	"encoding/json"
	"fmt"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// Command is a change to the state.
type Command interface{ command() }

// ApplyTicket puts a ticket in force.
type ApplyTicket struct {
	Ticket json.RawMessage `json:"ticket"` // canonical form
}

// SubmitJob adds a job. A resend with the same spec gets the first answer.
type SubmitJob struct {
	Spec JobSpec `json:"spec"`
}

// CancelJob stops a job. Team is empty for operators.
type CancelJob struct {
	Job  lwunit.JobID    `json:"job"`
	Team lwunit.TeamName `json:"team,omitempty"`
}

// RejectJob ends a job that no worker could ever hold.
type RejectJob struct {
	Job    lwunit.JobID `json:"job"`
	Reason string       `json:"reason"`
}

// RegisterWorker adds a worker or renews its description.
type RegisterWorker struct {
	Spec        WorkerSpec         `json:"spec"`
	Incarnation lwunit.Incarnation `json:"incarnation"`
}

// DrainWorker sets whether a worker takes new tasks.
type DrainWorker struct {
	Worker lwunit.WorkerID `json:"worker"`
	Drain  bool            `json:"drain"`
}

// SuspectWorker sets why a worker takes no new tasks, or clears it.
type SuspectWorker struct {
	Worker lwunit.WorkerID `json:"worker"`
	Reason string          `json:"reason"`
}

// LoseWorker ends every attempt on a worker. The leader proposes it only when
// the leases there have surely ended. It has no effect on a worker that has
// registered again meanwhile, since that one may hold new leases.
type LoseWorker struct {
	Worker     lwunit.WorkerID `json:"worker"`
	Registered lwunit.Revision `json:"registered"`
}

// Placement puts one queued task on a worker.
type Placement struct {
	Task    lwunit.TaskID    `json:"task"`
	Worker  lwunit.WorkerID  `json:"worker"`
	Reserve lwunit.Resources `json:"reserve"`
}

// PlaceTasks starts attempts. A placement that no longer fits is skipped.
type PlaceTasks struct {
	Placements []Placement `json:"placements"`
}

// Resize changes what a task holds on its worker.
type Resize struct {
	Task    lwunit.TaskID       `json:"task"`
	Token   lwunit.FencingToken `json:"token"`
	Reserve lwunit.Resources    `json:"reserve"`
}

// ResizeTasks changes reserves to what tasks really use. A growth that does
// not fit is skipped.
type ResizeTasks struct {
	Resizes []Resize `json:"resizes"`
}

// StopTasks asks for tasks to be stopped.
type StopTasks struct {
	Tasks  []lwunit.TaskID `json:"tasks"`
	Reason StopReason      `json:"reason"`
}

// TaskEvent is what an agent reports of one attempt.
type TaskEvent string

// The events.
const (
	EventRunning      TaskEvent = "running"
	EventCheckpointed TaskEvent = "checkpointed"
	EventSucceeded    TaskEvent = "succeeded"
	EventFailed       TaskEvent = "failed"
	EventStopped      TaskEvent = "stopped" // ended because it was asked to, or its lease did
)

// TaskReport reports one attempt. A report with another token than the task's
// present one is ignored.
type TaskReport struct {
	Task       lwunit.TaskID       `json:"task"`
	Token      lwunit.FencingToken `json:"token"`
	Event      TaskEvent           `json:"event"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	Reason     string              `json:"reason,omitempty"`
}

// ReportTasks records what agents reported.
type ReportTasks struct {
	Reports []TaskReport `json:"reports"`
}

// AnnounceBackend adds a backend server or renews its description.
type AnnounceBackend struct {
	Server BackendServer `json:"server"`
}

// WithdrawBackend removes a backend server. An older incarnation cannot
// withdraw what a newer one announced.
type WithdrawBackend struct {
	ID          lwunit.BackendServerID `json:"id"`
	Incarnation lwunit.Incarnation     `json:"incarnation"`
}

// BindClaim claims a non-idempotent request for one backend server.
type BindClaim struct {
	Key       ClaimKey               `json:"key"`
	Request   string                 `json:"request"`
	Created   lwunit.Millis          `json:"created"` // from the key itself
	Retention lwunit.Duration        `json:"retention"`
	Backend   lwunit.BackendServerID `json:"backend"`
}

// CloseClaim records how a bound claim ended.
type CloseClaim struct {
	Key    ClaimKey            `json:"key"`
	Token  lwunit.FencingToken `json:"token"`
	Phase  ClaimPhase          `json:"phase"`
	Answer *Answer             `json:"answer,omitempty"`
}

// Sweep removes records whose retention has ended.
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

func kindOf(c Command) string {
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
	case AcceptJob:
		return "accept_job"
	case CancelSteps:
		return "cancel_steps"
	case RecordRuns:
		return "record_runs"
	case ChangeRoster:
		return "change_roster"
	case StartWave:
		return "start_wave"
	case BeginUpkeep:
		return "begin_upkeep"
	case ForgetJobs:
		return "forget_jobs"
	case LearnDisturbances:
		return "learn_disturbances"
	default:
		return ""
	}
}

// EncodeCommand returns the log entry for c, proposed when the leader's clock
// read at.
func EncodeCommand(c Command, at lwunit.Millis) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	data, err := json.Marshal(wireCommand{kindOf(c), at, body})
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand reads a log entry.
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
		return decodeAs[AcceptJob](w.Body)
	case "cancel_steps":
		return decodeAs[CancelSteps](w.Body)
	case "record_runs", "record_ends": // the second from before places were recorded
		return decodeAs[RecordRuns](w.Body)
	case "change_roster":
		return decodeAs[ChangeRoster](w.Body)
	case "start_wave":
		return decodeAs[StartWave](w.Body)
	case "begin_upkeep":
		return decodeAs[BeginUpkeep](w.Body)
	case "learn_disturbances":
		return decodeAs[LearnDisturbances](w.Body)
	case "forget_jobs":
		return decodeAs[ForgetJobs](w.Body)
	default:
		return nil, lwfault.New(lwfault.Invalid, "unknown kind; this program knows version %d", Version)
	}
}

func decodeAs[C Command](body json.RawMessage) (Command, error) {
	var c C
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	return c, nil
}

// Result is what a command answers. Err is a fault of the command itself, the
// same on every replica; the other fields depend on the command.
type Result struct {
	Err     error
	Ticket  TicketRecord
	Job     Job
	Claim   Claim
	Fresh   bool               // BindClaim: this command made the binding
	Skipped []SkippedPlacement // PlaceTasks
	Number  lwticket.Number    // ApplyTicket: the newest ticket that stands in the way
}

// SkippedPlacement is a placement that was not made.
type SkippedPlacement struct {
	Task   lwunit.TaskID
	Reason string
}
