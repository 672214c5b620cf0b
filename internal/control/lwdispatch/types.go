// Package lwdispatch assigns the tasks of queue jobs (package lwjob) to workers. It
// does no I/O and reads no clock: the caller passes in the time, reports of agents
// and changes of the replicated state, and gets back orders for agents and commands
// to propose. Its state is in memory only; a new leader rebuilds it from the
// replicated state and the reports of the workers.
//
// A serving task has a tail latency target (lwjob.Step.TailTarget). A filling task
// does best-effort work on processors that other tasks leave idle
// (lwjob.Step.Filling); its CPU share is limited while it interferes too much with
// the serving tasks on its worker.
package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Config holds the settings of a deployment.
type Config struct {
	Lease             time.Duration // granted to a worker with each report
	MaxWorkerLease    time.Duration // longest lease that a worker takes; 0 is Lease
	MaxClockDrift     float64       // fraction by which a worker's clock may run slow
	LeaseSlack        time.Duration // added to the lease before a worker that does not report is removed
	ResendAfter       time.Duration // a start or stop that no report confirms is ordered again after this time
	OffRackSlowdown   float64       // slowdown of work outside its preferred rack, added to the placement cost there
	SuspicionPause    time.Duration // first pause of a worker that keeps failing tasks; it doubles each time
	MaxTimeOverTarget time.Duration // limit of the time for which filling work may keep a tail latency over its target; it is paused after half of it
	LoadControl       bool          // plan jobs, refuse those that cannot be of use, start copies and learn the speeds of workers
	Admission         bool          // refuse jobs of filling work that would end after their objective
	ColdOverage       float64       // a cold worker in a restored domain may be given at most this multiple of what it bears; 0 is 1
	ColdSlack         int           // and at most this many tasks more
	InterruptionLoss  time.Duration // mean time that a checkpointed run loses when it is stopped and resumed elsewhere; 0 if unknown
}

// DefaultConfig returns the settings of a deployment that states none.
func DefaultConfig() Config {
	return Config{
		Lease: 4 * time.Second, MaxClockDrift: 0.02, LeaseSlack: 100 * time.Millisecond,
		ResendAfter: time.Second, OffRackSlowdown: 1.5, SuspicionPause: time.Second, MaxTimeOverTarget: 4 * time.Second,
	}
}

// WorkerInfo describes one incarnation of a worker.
type WorkerInfo struct {
	Incarnation    lwjob.WorkerIncarnation `json:"life"`
	Agent          string                  `json:"agent"` // agent process that manages the worker
	Machine        lwjob.MachineID         `json:"machine,omitempty"`
	Service        lwunit.ServiceName      `json:"service"`
	Domain         lwunit.FailureDomain    `json:"domain"`
	Labels         []string                `json:"labels,omitempty"`
	Capacity       lwunit.Resources        `json:"capacity"`
	Draining       bool                    `json:"draining,omitempty"`
	DrainTimeLeft  lwunit.Duration         `json:"remaining,omitempty"` // least time that a draining worker has left
	Leaving        bool                    `json:"leaving,omitempty"`   // it has said that it ends, so it has no time left; whether it has ended is not known
	WarmupTimeLeft lwunit.Duration         `json:"cold,omitempty"`      // time for which the worker is still slow after its start
	Seq            int64                   `json:"seq,omitempty"`       // rises with each announcement of the incarnation; 0 from agents of an older version
}

// RunStatus is one run in the list of a worker.
type RunStatus struct {
	Task       lwunit.TaskID `json:"t"`
	Run        lwjob.RunID   `json:"r"`
	Checkpoint string        `json:"s,omitempty"` // newest checkpoint
	// Progress is the percentage of the work that is done; a long-running task
	// reports 100 while it serves.
	Progress int `json:"p"`
	// Gauge is the tail latency in milliseconds of a task with a tail target,
	// and the CPU use in millicores of any other task.
	Gauge int `json:"g,omitempty"`
}

// NumberedEnd is one ended run in the list of a worker. Number increases within an
// incarnation.
type NumberedEnd struct {
	Number int64     `json:"n"`
	End    lwjob.End `json:"e"`
}

// RefusalReason says why a worker or its agent refused a start.
type RefusalReason string

// The reasons for a refusal. Each but RefusedFence guarantees that the run does not exist
// on the worker and never will.
const (
	RefusedFence        RefusalReason = "fence"     // the worker has received a higher token; the run may exist
	RefusedSuperseded   RefusalReason = "old"       // the same or a later run of the task has ended on the worker
	RefusedLeaseExpired RefusalReason = "late"      // the lease had expired
	RefusedNoCapacity   RefusalReason = "room"      // the worker has too little free capacity
	RefusedTicket       RefusalReason = "ticket"    // no valid admission ticket
	RefusedInvalid      RefusalReason = "invalid"   // the worker could not decode the order
	RefusedUnhealthy    RefusalReason = "sick"      // the worker is unhealthy
	RefusedStopped      RefusalReason = "blocked"   // the run was stopped before it began
	RefusedDraining     RefusalReason = "draining"  // the agent knows that the worker is draining
	RefusedEvacuated    RefusalReason = "evacuated" // the agent knows that the domain of the worker is evacuated
)

// Refusal reports that a start was refused.
type Refusal struct {
	Task   lwunit.TaskID `json:"t"`
	Run    lwjob.RunID   `json:"r"`
	Reason RefusalReason `json:"why"`
	// Unblocked is set if the worker did not take the stop that would keep the run from beginning.
	// The process of the agent that says so sends no copy of the start; a later one may.
	Unblocked bool `json:"unblocked,omitempty"`
}

// Report is the report of an agent to the leader about its worker.
type Report struct {
	Info         WorkerInfo      `json:"info"`
	Token        Token           `json:"token"`                   // under which the agent read the lists
	Unresponsive bool            `json:"silent,omitempty"`        // the worker does not answer its agent; its lease is not renewed
	ProcessEnded bool            `json:"process_ended,omitempty"` // the process of the worker has ended for good, and all its runs with it; it counts only with Answered
	Complete     bool            `json:"full,omitempty"`          // Running is complete
	Clock        lwunit.Millis   `json:"clock,omitempty"`         // clock of the worker when it made the lists; orders reports that arrive out of order; an older agent states it with complete lists only
	Running      []RunStatus     `json:"running,omitempty"`
	Ends         []NumberedEnd   `json:"ends,omitempty"`
	Refused      []Refusal       `json:"refused,omitempty"`
	ListsAge     lwunit.Duration `json:"age,omitempty"`           // age of the lists
	Fenced       bool            `json:"fenced,omitempty"`        // the worker has received a higher token than the agent has
	Answered     bool            `json:"answered,omitempty"`      // the incarnation has answered the agent and stated its start time; agents of older versions never say so
	KnowsCrashes bool            `json:"knows_crashes,omitempty"` // the agent reports the crashes of its worker
	Crashes      []Crash         `json:"crashes,omitempty"`       // that no leader has said to be recorded
}

// Crash is the end of a worker that was not draining, and what ran on it.
type Crash struct {
	Incarnation lwjob.WorkerIncarnation `json:"life"`
	Runs        []HeldRun               `json:"runs"`
}

// HeldRun is a run that a worker held when it crashed, or whose start was sent and not
// answered.
type HeldRun struct {
	Task    lwunit.TaskID   `json:"t"`
	Run     lwjob.RunID     `json:"r"`
	Age     lwunit.Duration `json:"age"`               // since its start was sent
	Adopted bool            `json:"adopted,omitempty"` // the agent did not start it, so it is older than Age
	AtMost  bool            `json:"at_most,omitempty"` // the worker may have crashed earlier, so the run may be younger
}

// Token is a fencing token: a worker refuses orders with a lower token than the
// highest that it has received. It holds the leader's term and a count within
// the term.
type Token uint64

// tokensPerTerm is the number of tokens that one term may use for one worker.
const tokensPerTerm = 1 << 16

func tokenOf(term uint64) Token { return Token(term * tokensPerTerm) }

// Order is an order for an agent about its worker.
type Order interface{ order() }

// StartRun starts a run.
type StartRun struct {
	Task       lwunit.TaskID
	Run        lwjob.RunID
	Text       string
	Checkpoint string
	Ticket     string
	CPUPercent int  // initial CPU share in percent of its declared processors; 0 is no limit
	Repeated   bool // the order was sent before and may have been carried out
}

// StopRun stops a run, or prevents its start.
type StopRun struct {
	Task lwunit.TaskID
	Run  lwjob.RunID
}

// LimitRunCPU limits a run to a percentage of its declared processors.
type LimitRunCPU struct {
	Task       lwunit.TaskID
	Run        lwjob.RunID
	CPUPercent int
}

func (StartRun) order()    {}
func (StopRun) order()     {}
func (LimitRunCPU) order() {}

// WorkerOrders are the orders for one worker.
type WorkerOrders struct {
	Incarnation lwjob.WorkerIncarnation
	Agent       string
	Token       Token
	Orders      []Order
}

// Grant answers a report.
type Grant struct {
	Token       Token         // for the next calls to the worker
	Lease       time.Duration // from the time the agent sent the report; 0 grants no lease
	Cursor      int64         // ends up to this number are recorded
	FastReports bool          // the agent is to report more often
	Evacuated   bool          // the domain of the worker is evacuated: the agent is to start nothing

	CrashesRecorded []lwjob.WorkerIncarnation // whose reported crashes are recorded
}

// DecisionKind is the event name of a line in the decision log.
type DecisionKind string

// The kinds of decision.
const (
	DecidedStart         DecisionKind = "task_started"
	DecidedStop          DecisionKind = "task_stop_ordered"
	DecidedEnd           DecisionKind = "task_ended"
	DecidedRefusal       DecisionKind = "task_start_refused"
	DecidedLost          DecisionKind = "task_lost"
	DecidedAdopt         DecisionKind = "task_adopted"
	DecidedCPUShare      DecisionKind = "task_paced"
	DecidedWorkerAdded   DecisionKind = "worker_known"
	DecidedWorkerRemoved DecisionKind = "worker_given_up"
	DecidedWorkerKeptOut DecisionKind = "worker_kept_out"
	DecidedSuspect       DecisionKind = "worker_suspected"
	DecidedDrain         DecisionKind = "worker_draining"
	DecidedAdmission     DecisionKind = "job_admission"
	DecidedAdviceRequest DecisionKind = "advice_asked"
	DecidedCapacity      DecisionKind = "worker_capacity_changed"
	DecidedCrash         DecisionKind = "worker_crashed"
	DecidedGiveUp        DecisionKind = "task_given_up"
	DecidedWait          DecisionKind = "task_waits"
	DecidedRefuseJob     DecisionKind = "job_refused"
	DecidedWrongRefusal  DecisionKind = "job_refused_though_servable"
	DecidedLate          DecisionKind = "job_late"
	DecidedSlow          DecisionKind = "worker_slow"
	DecidedTakenBack     DecisionKind = "worker_taken_back"
	DecidedCopy          DecisionKind = "copy_started"
	DecidedCopyWon       DecisionKind = "copy_won"
	DecidedRestart       DecisionKind = "run_restarted"
	DecidedOverlap       DecisionKind = "task_runs_overlap"
	DecidedLateEnd       DecisionKind = "task_done_after_release"
)

// Decision is one line of the decision log.
type Decision struct {
	Kind       DecisionKind
	Job        lwunit.JobID
	Task       lwunit.TaskID
	Run        lwjob.RunID
	Worker     lwunit.WorkerID
	Reason     string
	Age        time.Duration           // age of the report that the decision rests on
	Slack      time.Duration           // until the job would miss its latency objective
	CPUPercent int                     // CPU share in percent of the declared processors, for DecidedCPUShare
	Suspicion  float64                 // probability that the task crashes each worker that starts it, if workers have crashed under it
	Crashes    int                     // of workers under the task
	LeaseLeft  time.Duration           // until all runs of a removed worker would have ended by its lease
	Released   int                     // runs that were released with a removed worker
	Removed    lwjob.WorkerIncarnation // worker that was removed
	Successor  Successor               // incarnation in whose favour a worker was removed, or not added
}

// Successor is an incarnation that a report names while an earlier one with its agent or id is
// known.
type Successor struct {
	Incarnation lwjob.WorkerIncarnation
	Agent       string // that has reported it
	Answered    bool   // it has answered that agent
}

// Effects are the actions that the caller must carry out.
type Effects struct {
	Orders     []WorkerOrders
	Ends       []WorkerEnd               // to record, in order
	Placements []lwjob.Placement         // to record before their starts are ordered
	Enrol      []lwjob.RosterEntry       // to add to the roster
	Dismiss    []lwjob.WorkerIncarnation // to remove from the roster
	Decisions  []Decision
	Questions  []Question // for the advice service
}

// WorkerEnd is an ended run and the worker that listed it, or that crashed under it.
// Ends by crashes have no number.
type WorkerEnd struct {
	Incarnation lwjob.WorkerIncarnation
	Numbered    NumberedEnd
}

// ReplicatedState is the replicated state from which a new leader begins.
type ReplicatedState struct {
	Config       *lwconfig.Document
	Jobs         []*lwjob.Job
	Roster       []lwjob.RosterEntry
	Interference []lwjob.Interference
	Evacuations  lwevacuation.Table
}
