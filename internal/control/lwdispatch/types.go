// Package lwdispatch decides which worker runs which task of the accepted
// jobs, and when. It does no I/O and reads no clock: reports of agents and
// changes of the replicated record go in with the time, orders for agents and
// ends to be recorded come out. It keeps nothing that must survive: a new
// leader learns from the workers themselves what they run.
package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Config holds the bounds of a deployment.
type Config struct {
	Lease        time.Duration // granted to a worker with each report
	ClockRate    float64       // by which a worker's clock may be slow
	LeaseSlack   time.Duration // beyond the lease until a silent worker is given up
	Resend       time.Duration // until an order that no report shows is sent again
	SpreadFactor float64       // how much slower work is off its rack
	Suspicion    time.Duration // for which a worker that failed is left alone first
	HarmTime     time.Duration // for which a tail may miss its target by what fills beside it
}

// DefaultConfig returns bounds for a deployment that states none.
func DefaultConfig() Config {
	return Config{
		Lease: 4 * time.Second, ClockRate: 0.02, LeaseSlack: 100 * time.Millisecond,
		Resend: time.Second, SpreadFactor: 1.5, Suspicion: time.Second, HarmTime: 4 * time.Second,
	}
}

// WorkerInfo describes one life of a worker.
type WorkerInfo struct {
	Life      lwjob.WorkerLife     `json:"life"`
	Agent     string               `json:"agent"` // process beside it
	Machine   lwjob.MachineID      `json:"machine,omitempty"`
	Service   lwunit.ServiceName   `json:"service"`
	Domain    lwunit.FailureDomain `json:"domain"`
	Labels    []string             `json:"labels,omitempty"`
	Capacity  lwunit.Resources     `json:"capacity"`
	Draining  bool                 `json:"draining,omitempty"`
	Remaining lwunit.Duration      `json:"remaining,omitempty"` // least time left while it drains
	Cold      lwunit.Duration      `json:"cold,omitempty"`      // for which it stays slow after its start
}

// RunRow is one run that a worker lists.
type RunRow struct {
	Task  lwunit.TaskID `json:"t"`
	Run   lwjob.RunID   `json:"r"`
	Saved string        `json:"s,omitempty"` // newest checkpoint
	// Progress is how much of its work is done, in percent; a long-running task
	// is at work at 100.
	Progress int `json:"p"`
	// Gauge is, for a task with a tail target, its tail latency in
	// milliseconds, otherwise the processors in use in millicores.
	Gauge int `json:"g,omitempty"`
}

// EndRow is one end that a worker lists; Number rises within a life.
type EndRow struct {
	Number int64     `json:"n"`
	End    lwjob.End `json:"e"`
}

// RefusalReason says why a start was not carried out.
type RefusalReason string

// The reasons for which a run surely does not exist on a worker.
const (
	RefusedFence    RefusalReason = "fence"    // the worker has seen a higher token
	RefusedOld      RefusalReason = "old"      // a run as high has ended there
	RefusedLate     RefusalReason = "late"     // the lease had ended
	RefusedRoom     RefusalReason = "room"     // it does not fit
	RefusedTicket   RefusalReason = "ticket"   // no valid admission ticket
	RefusedInvalid  RefusalReason = "invalid"  // the worker could not read it
	RefusedSick     RefusalReason = "sick"     // the worker is unhealthy
	RefusedBlocked  RefusalReason = "blocked"  // it was stopped before it began
	RefusedDraining RefusalReason = "draining" // its agent knows that the worker leaves
)

// Refusal reports that a run surely does not exist on a worker and never will.
type Refusal struct {
	Task   lwunit.TaskID `json:"t"`
	Run    lwjob.RunID   `json:"r"`
	Reason RefusalReason `json:"why"`
}

// Report is what an agent tells the leader of its worker.
type Report struct {
	Info    WorkerInfo      `json:"info"`
	Token   Token           `json:"token"`            // under which the lists were read
	Silent  bool            `json:"silent,omitempty"` // the worker does not answer; its lease is not renewed
	Gone    bool            `json:"gone,omitempty"`   // its process has ended, with all that it ran
	Full    bool            `json:"full,omitempty"`   // Running is the whole list
	Clock   lwunit.Millis   `json:"clock,omitempty"`  // of the worker when it made the lists; reports may overtake each other
	Running []RunRow        `json:"running,omitempty"`
	Ends    []EndRow        `json:"ends,omitempty"`
	Refused []Refusal       `json:"refused,omitempty"`
	Age     lwunit.Duration `json:"age,omitempty"` // of the lists
}

// Token fences orders: a worker refuses those with a lower one than it has
// seen. It holds the leader's term and a count within the term.
type Token uint64

// tokensPerTerm is how many tokens one term may use for one worker.
const tokensPerTerm = 1 << 16

func tokenOf(term uint64) Token { return Token(term * tokensPerTerm) }

// Order is something that an agent must do with its worker.
type Order interface{ order() }

// StartRun starts a run.
type StartRun struct {
	Task       lwunit.TaskID
	Run        lwjob.RunID
	Text       string
	Checkpoint string
	Ticket     string
	Percent    int  // of its processors that it may use at first; 0 is all
	Repeated   bool // it was ordered before, and may have been carried out
}

// StopRun stops a run, or keeps it from starting.
type StopRun struct {
	Task lwunit.TaskID
	Run  lwjob.RunID
}

// PaceRun limits a run to a share of its processors.
type PaceRun struct {
	Task    lwunit.TaskID
	Run     lwjob.RunID
	Percent int
}

func (StartRun) order() {}
func (StopRun) order()  {}
func (PaceRun) order()  {}

// WorkerOrders are the orders for one worker.
type WorkerOrders struct {
	Life   lwjob.WorkerLife
	Agent  string
	Token  Token
	Orders []Order
}

// Grant answers a report.
type Grant struct {
	Token       Token         // for the worker's next calls
	Lease       time.Duration // from when the agent sent the report; zero grants nothing
	Cursor      int64         // ends up to here are recorded
	FastReports bool          // the worker's figures are wanted sooner
}

// DecisionKind names what was decided or noticed.
type DecisionKind string

// The kinds of decision.
const (
	DecidedStart     DecisionKind = "task_started"
	DecidedStop      DecisionKind = "task_stop_ordered"
	DecidedEnd       DecisionKind = "task_ended"
	DecidedRefusal   DecisionKind = "task_start_refused"
	DecidedLost      DecisionKind = "task_lost"
	DecidedAdopt     DecisionKind = "task_adopted"
	DecidedPace      DecisionKind = "task_paced"
	DecidedWorker    DecisionKind = "worker_known"
	DecidedWorkerGo  DecisionKind = "worker_given_up"
	DecidedSuspect   DecisionKind = "worker_suspected"
	DecidedDrain     DecisionKind = "worker_draining"
	DecidedAdmission DecisionKind = "job_admission"
	DecidedAsk       DecisionKind = "advice_asked"
)

// Decision is one line for the decision log.
type Decision struct {
	Kind    DecisionKind
	Job     lwunit.JobID
	Task    lwunit.TaskID
	Run     lwjob.RunID
	Worker  lwunit.WorkerID
	Reason  string
	Age     time.Duration // of the input that decided
	Slack   time.Duration // until the job would miss its objective
	Percent int           // of its processors that a paced run may use
}

// Effects are what the caller must carry out.
type Effects struct {
	Orders    []WorkerOrders
	Ends      []WorkerEnd         // to be recorded, in order
	Places    []lwjob.Placement   // to be recorded; the starts follow then
	Enrol     []lwjob.RosterEntry // to be added to the roster
	Dismiss   []lwjob.WorkerLife  // to be taken off it
	Decisions []Decision
	Questions []Question // to the advice service
}

// WorkerEnd is an end and where it was listed.
type WorkerEnd struct {
	Life lwjob.WorkerLife
	Row  EndRow
}

// Inherited is what a new leader reads from the replicated record.
type Inherited struct {
	Config *lwconfig.Document
	Jobs   []*lwjob.Job
	Roster []lwjob.RosterEntry
	Pairs  []lwjob.Disturbance
}
