package lwjob

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state has ended, so that its state never changes.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // by a fault of the program or the worker
	EndStopped        EndKind = "stopped" // by an order of the leader
	EndLeaseExpired   EndKind = "lapsed"  // the lease of its worker expired
	EndGangBroken     EndKind = "broken"  // another member of its gang ended
	EndGangIncomplete EndKind = "alone"   // the other members of its gang did not start
	EndCrashed        EndKind = "crashed" // its worker crashed
)

// End reports how one run ended.
type End struct {
	Task       lwunit.TaskID `json:"task"`
	Run        RunID         `json:"run"`
	How        EndKind       `json:"how"`
	Checkpoint string        `json:"saved,omitempty"` // newest checkpoint
	Crash      *Crash        `json:"crash,omitempty"` // set for EndCrashed
	// GiveUp is set if the task is not to run again, because it is to blame for the
	// crashes under it. It says why.
	GiveUp string `json:"give_up,omitempty"`
}

// Crash is a crash of a worker under one of the runs that it held.
type Crash struct {
	Run      RunID             `json:"run"`
	Worker   WorkerIncarnation `json:"life"`
	Age      lwunit.Duration   `json:"age"`               // of the run
	AtMost   bool              `json:"at_most,omitempty"` // the worker may have crashed earlier
	Evidence lwblame.Evidence  `json:"evidence"`          // against the task of the run
}

// TaskRecord is the replicated record of one task.
type TaskRecord struct {
	Done       bool    `json:"done,omitempty"`
	FailedRuns []RunID `json:"failed,omitempty"`   // runs that failed, each once
	Checkpoint string  `json:"saved,omitempty"`    // newest recorded checkpoint
	HighestRun RunID   `json:"latest,omitempty"`   // highest run whose end is recorded
	Crashes    []Crash `json:"crashes,omitempty"`  // of workers under the task, each run once; the newest ones
	GivenUp    string  `json:"given_up,omitempty"` // why the task does not run again; empty if it may
	// PlacedOn is the last worker incarnation on which a long-running task of a job
	// with PlacementsRecorded was placed. No other one can be running the task.
	PlacedOn WorkerIncarnation `json:"place,omitzero"`
}

// Placement is the decision to run a task on a worker incarnation.
type Placement struct {
	Task        lwunit.TaskID     `json:"task"`
	Incarnation WorkerIncarnation `json:"life"`
}

// Job is the record of one accepted job.
type Job struct {
	Spec      Spec                    `json:"spec"`
	Queue     lwconfig.Queue          `json:"queue"` // settings when the job was accepted
	Term      uint64                  `json:"term"`  // term of the leader that accepted the job
	Accepted  lwunit.Millis           `json:"accepted"`
	Started   bool                    `json:"started,omitempty"` // the end of a run is recorded
	State     State                   `json:"state"`
	Ended     lwunit.Millis           `json:"ended,omitempty"`
	Tasks     map[TaskKey]*TaskRecord `json:"tasks,omitempty"`
	TasksLeft int                     `json:"pending"` // tasks of all occurrences that are not done
	// PlacementsRecorded is set if the placements of its long-running tasks are
	// recorded before they start.
	PlacementsRecorded bool `json:"places_recorded,omitempty"`
}

// Task returns the record of a task, which is empty if nothing is recorded.
func (j *Job) Task(k TaskKey) TaskRecord {
	if t := j.Tasks[k]; t != nil {
		return *t
	}
	return TaskRecord{}
}

// WorkerIncarnation identifies one incarnation of a worker.
type WorkerIncarnation struct {
	Worker    lwunit.WorkerID `json:"worker"`
	StartedAt lwunit.Millis   `json:"born"` // start time; distinguishes incarnations with the same id
}

// RosterEntry is a worker incarnation that may hold runs, and its agent. A newer
// incarnation with the same agent means that this one has ended.
type RosterEntry struct {
	Incarnation WorkerIncarnation `json:"life"`
	Agent       string            `json:"agent"`
	// LongLease is set while its lease may last as long as a worker accepts, whatever a leader
	// has granted: a call for an earlier incarnation with its id may have set it, by the time of
	// another clock.
	LongLease bool `json:"long_lease,omitempty"`
}

// Contents is the state of a table as a snapshot stores it.
type Contents struct {
	Config *lwconfig.Document    `json:"config,omitempty"`
	Jobs   map[lwunit.JobID]*Job `json:"jobs"`
	Roster []RosterEntry         `json:"roster,omitempty"`
	Waves  map[WaveID]*Wave      `json:"waves,omitempty"`

	Interference []Interference `json:"disturbances,omitempty"`

	Cancellations []Cancellation `json:"cancellations,omitempty"` // the oldest first
}

// Table is the replicated record of the configuration, jobs, roster, waves and
// interference. It is not safe for concurrent use.
type Table struct {
	contents  Contents
	finished  []lwunit.JobID        // final jobs in the order of their end
	cancelled map[cancelledKey]bool // the keys of contents.Cancellations
}

// NewTable returns an empty table.
func NewTable() *Table {
	return Restore(Contents{})
}

// Restore returns the table that a snapshot stores.
func Restore(c Contents) *Table {
	if c.Jobs == nil {
		c.Jobs = make(map[lwunit.JobID]*Job)
	}
	if c.Waves == nil {
		c.Waves = make(map[WaveID]*Wave)
	}
	t := &Table{contents: c, cancelled: make(map[cancelledKey]bool, len(c.Cancellations))}
	for _, x := range c.Cancellations {
		t.cancelled[x.key()] = true
	}
	for id, j := range c.Jobs {
		if j.State.Final() {
			t.finished = append(t.finished, id)
		}
	}
	slices.SortFunc(t.finished, func(a, b lwunit.JobID) int { return int(c.Jobs[a].Ended - c.Jobs[b].Ended) })
	return t
}

// Contents returns the state to store in a snapshot. It shares memory with the table.
func (t *Table) Contents() Contents { return t.contents }

// Clone returns a copy of the contents, which later changes of the table do not
// affect. The copy is for writing a snapshot: it lacks what Restore derives.
func (t *Table) Clone() *Table {
	c := t.contents
	c.Roster = slices.Clone(c.Roster)
	c.Interference = slices.Clone(c.Interference)
	c.Cancellations = slices.Clone(c.Cancellations)
	c.Jobs = make(map[lwunit.JobID]*Job, len(t.contents.Jobs))
	for id, j := range t.contents.Jobs {
		copied := *j
		copied.Tasks = make(map[TaskKey]*TaskRecord, len(j.Tasks))
		for k, r := range j.Tasks {
			record := *r
			record.FailedRuns = slices.Clone(r.FailedRuns)
			record.Crashes = slices.Clone(r.Crashes)
			copied.Tasks[k] = &record
		}
		c.Jobs[id] = &copied
	}
	c.Waves = make(map[WaveID]*Wave, len(t.contents.Waves))
	for id, w := range t.contents.Waves {
		copied := *w
		copied.MaintenanceBegun = slices.Clone(w.MaintenanceBegun)
		c.Waves[id] = &copied
	}
	return &Table{contents: c}
}

// Config returns the configuration in force, or nil.
func (t *Table) Config() *lwconfig.Document { return t.contents.Config }

// Job returns the record of a job, or nil.
func (t *Table) Job(id lwunit.JobID) *Job { return t.contents.Jobs[id] }

// Len returns the number of jobs, ended ones included.
func (t *Table) Len() int { return len(t.contents.Jobs) }

// EachJob calls f with every job.
func (t *Table) EachJob(f func(*Job)) {
	for _, j := range t.contents.Jobs {
		f(j)
	}
}

// Roster returns the worker incarnations that may hold runs.
func (t *Table) Roster() []RosterEntry { return t.contents.Roster }

// Configure puts a document in force if its version is higher than the current one.
func (t *Table) Configure(d lwconfig.Document) (changed bool) {
	if t.contents.Config != nil && d.Version <= t.contents.Config.Version {
		return false
	}
	d.Prepare()
	t.contents.Config = &d
	return true
}

// Accept adds a job. It does not change a job that exists, and does not add one that
// was cancelled before it was accepted.
func (t *Table) Accept(j Job) (added bool) {
	if t.contents.Jobs[j.Spec.ID] != nil || t.CancelledBefore(j.Spec.Queue, j.Spec.ID) {
		return false
	}
	j.State = Queued
	j.Tasks = nil
	for _, st := range j.Spec.Steps {
		j.TasksLeft += st.Count * j.Spec.Occurrences()
	}
	t.contents.Jobs[j.Spec.ID] = &j
	return true
}

// RecordEnd records the end of a run. It is idempotent.
func (t *Table) RecordEnd(e End, at lwunit.Millis) {
	id, key, err := ParseTaskName(e.Task)
	if err != nil {
		return // the name is checked before an end is proposed
	}
	j := t.contents.Jobs[id]
	if j == nil || !j.hasTask(key) {
		return
	}
	r := j.taskRecord(key)
	if e.Checkpoint != "" && e.Run >= r.HighestRun {
		r.Checkpoint = e.Checkpoint
	}
	r.HighestRun = max(r.HighestRun, e.Run)
	j.Started = true
	switch e.How {
	case EndDone:
		t.recordTaskDone(j, key, at)
	case EndFailed:
		if !slices.Contains(r.FailedRuns, e.Run) {
			r.FailedRuns = append(r.FailedRuns, e.Run)
		}
		step := j.Spec.Steps[key.Step]
		if !step.LongRunning && !r.Done && len(r.FailedRuns) >= max(1, j.Queue.MaxAttempts) && !j.State.Final() {
			t.endJob(j, Failed, at)
		}
	case EndCrashed:
		t.recordCrash(j, r, e, at)
	}
	if j.State == Queued {
		j.State = Running
	}
}

// recordCrash records a crash under a task, and fails the job if the task is given up.
func (t *Table) recordCrash(j *Job, r *TaskRecord, e End, at lwunit.Millis) {
	if e.Crash != nil && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Run == e.Crash.Run }) {
		r.Crashes = AppendCrash(r.Crashes, *e.Crash)
	}
	if e.GiveUp == "" || r.Done || j.State.Final() {
		return
	}
	r.GivenUp = e.GiveUp
	t.endJob(j, Failed, at)
}

// maxCrashesKept bounds the crashes that are kept of a task. A long-running one may see
// many that are not its fault.
const maxCrashesKept = 16

// AppendCrash returns a list with a crash added, and without the oldest ones if there are
// too many.
func AppendCrash(list []Crash, x Crash) []Crash {
	list = append(list, x)
	return list[max(0, len(list)-maxCrashesKept):]
}

// RecordPlacement records the placement of a task.
func (t *Table) RecordPlacement(p Placement) {
	id, key, err := ParseTaskName(p.Task)
	if err != nil {
		return // the leader proposes only valid names
	}
	if j := t.contents.Jobs[id]; j != nil && j.hasTask(key) {
		j.taskRecord(key).PlacedOn = p.Incarnation
	}
}

// taskRecord returns the record of a task, created if there is none.
func (j *Job) taskRecord(key TaskKey) *TaskRecord {
	if j.Tasks == nil { // nothing is recorded yet; a snapshot leaves the map out
		j.Tasks = make(map[TaskKey]*TaskRecord)
	}
	r := j.Tasks[key]
	if r == nil {
		r = &TaskRecord{}
		j.Tasks[key] = r
	}
	return r
}

// recordTaskDone marks a task done, and with it all members of its gang, which end
// together.
func (t *Table) recordTaskDone(j *Job, key TaskKey, at lwunit.Millis) {
	step := j.Spec.Steps[key.Step]
	first, last := key.Index, key.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		r := j.taskRecord(TaskKey{key.Occurrence, key.Step, i})
		if !r.Done {
			r.Done = true
			j.TasksLeft--
		}
	}
	if j.TasksLeft == 0 && !j.State.Final() {
		t.endJob(j, Completed, at)
	}
}

func (j *Job) hasTask(k TaskKey) bool {
	return k.Step < len(j.Spec.Steps) && k.Index < j.Spec.Steps[k.Step].Count && int(k.Occurrence) < j.Spec.Occurrences()
}

func (t *Table) endJob(j *Job, s State, at lwunit.Millis) {
	j.State, j.Ended = s, at
	t.finished = append(t.finished, j.Spec.ID)
}

// RemoveJobs removes jobs that ended, and cancellations that were recorded, before the
// given time.
func (t *Table) RemoveJobs(before lwunit.Millis) {
	t.removeCancellations(before)
	n := 0
	for n < len(t.finished) {
		j := t.contents.Jobs[t.finished[n]]
		if j != nil && j.Ended >= before {
			break
		}
		delete(t.contents.Jobs, t.finished[n])
		n++
	}
	t.finished = t.finished[n:]
}

// Enrol adds a worker incarnation to the roster, or replaces its entry.
func (t *Table) Enrol(w RosterEntry) {
	i := slices.IndexFunc(t.contents.Roster, func(o RosterEntry) bool { return o.Incarnation == w.Incarnation })
	if i < 0 {
		t.contents.Roster = append(t.contents.Roster, w)
		return
	}
	t.contents.Roster[i] = w
}

// Dismiss removes a worker incarnation that holds no runs from the roster.
func (t *Table) Dismiss(w WorkerIncarnation) {
	t.contents.Roster = slices.DeleteFunc(t.contents.Roster, func(o RosterEntry) bool { return o.Incarnation == w })
}
