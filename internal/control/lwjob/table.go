package lwjob

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // through its own fault or the worker's
	EndStopped EndKind = "stopped" // because it was asked to
	EndLapsed  EndKind = "lapsed"  // its lease ended
	EndBroken  EndKind = "broken"  // another member of its gang ended
	EndAlone   EndKind = "alone"   // the rest of its gang did not come
)

// End reports how one run ended.
type End struct {
	Task  lwunit.TaskID `json:"task"`
	Run   RunID         `json:"run"`
	How   EndKind       `json:"how"`
	Saved string        `json:"saved,omitempty"` // newest checkpoint
}

// TaskRecord is what is known for good of one task.
type TaskRecord struct {
	Done   bool    `json:"done,omitempty"`
	Failed []RunID `json:"failed,omitempty"` // runs that failed
	Saved  string  `json:"saved,omitempty"`  // newest checkpoint that was recorded
	Latest RunID   `json:"latest,omitempty"` // highest run that ended
	// Place is the worker life that a task of a job with PlacesRecorded was given
	// to last: no other can be running it.
	Place WorkerLife `json:"place,omitzero"`
}

// Placement says which worker life a task is given to.
type Placement struct {
	Task lwunit.TaskID `json:"task"`
	Life WorkerLife    `json:"life"`
}

// Job is the record of one accepted job.
type Job struct {
	Spec     Spec                    `json:"spec"`
	Queue    lwconfig.Queue          `json:"queue"` // as it was when the job was accepted
	Term     uint64                  `json:"term"`  // of the leader that accepted it
	Accepted lwunit.Millis           `json:"accepted"`
	Started  bool                    `json:"started,omitempty"` // some task of it has ended
	State    State                   `json:"state"`
	Ended    lwunit.Millis           `json:"ended,omitempty"`
	Tasks    map[TaskKey]*TaskRecord `json:"tasks,omitempty"`
	Pending  int                     `json:"pending"` // tasks not yet done, of all occurrences
	// PlacesRecorded is set if the places of its long-running tasks are recorded
	// before they start.
	PlacesRecorded bool `json:"places_recorded,omitempty"`
}

// Task returns the record of a task; what never ended has an empty one.
func (j *Job) Task(k TaskKey) TaskRecord {
	if t := j.Tasks[k]; t != nil {
		return *t
	}
	return TaskRecord{}
}

// WorkerLife names one life of a worker that may hold runs.
type WorkerLife struct {
	Worker lwunit.WorkerID `json:"worker"`
	Born   lwunit.Millis   `json:"born"` // tells lives under one id apart
}

// RosterEntry is a worker life that may hold runs and the agent beside it: a
// newer life at the same agent means that this one is over.
type RosterEntry struct {
	Life  WorkerLife `json:"life"`
	Agent string     `json:"agent"`
}

// Contents is what a snapshot holds.
type Contents struct {
	Config *lwconfig.Document    `json:"config,omitempty"`
	Jobs   map[lwunit.JobID]*Job `json:"jobs"`
	Roster []RosterEntry         `json:"roster,omitempty"`
	Waves  map[WaveID]*Wave      `json:"waves,omitempty"`

	Disturbances []Disturbance `json:"disturbances,omitempty"`
}

// Table is the replicated record of configuration, jobs and worker lives. It
// is not safe for concurrent use.
type Table struct {
	c        Contents
	finished []lwunit.JobID // in order of their end
}

// NewTable returns an empty table.
func NewTable() *Table {
	return Restore(Contents{})
}

// Restore returns the table that a snapshot holds.
func Restore(c Contents) *Table {
	if c.Jobs == nil {
		c.Jobs = make(map[lwunit.JobID]*Job)
	}
	if c.Waves == nil {
		c.Waves = make(map[WaveID]*Wave)
	}
	t := &Table{c: c}
	for id, j := range c.Jobs {
		if j.State.Final() {
			t.finished = append(t.finished, id)
		}
	}
	slices.SortFunc(t.finished, func(a, b lwunit.JobID) int { return int(c.Jobs[a].Ended - c.Jobs[b].Ended) })
	return t
}

// Contents returns what a snapshot must hold. The table goes on owning it.
func (t *Table) Contents() Contents { return t.c }

// Clone returns a copy that later changes leave as it is.
func (t *Table) Clone() *Table {
	c := t.c
	c.Roster = slices.Clone(c.Roster)
	c.Disturbances = slices.Clone(c.Disturbances)
	c.Jobs = make(map[lwunit.JobID]*Job, len(t.c.Jobs))
	for id, j := range t.c.Jobs {
		copied := *j
		copied.Tasks = make(map[TaskKey]*TaskRecord, len(j.Tasks))
		for k, r := range j.Tasks {
			record := *r
			record.Failed = slices.Clone(r.Failed)
			copied.Tasks[k] = &record
		}
		c.Jobs[id] = &copied
	}
	c.Waves = make(map[WaveID]*Wave, len(t.c.Waves))
	for id, w := range t.c.Waves {
		copied := *w
		copied.Begun = slices.Clone(w.Begun)
		c.Waves[id] = &copied
	}
	return &Table{c: c}
}

// Config returns the configuration in force, or nil.
func (t *Table) Config() *lwconfig.Document { return t.c.Config }

// Job returns the record of a job, or nil.
func (t *Table) Job(id lwunit.JobID) *Job { return t.c.Jobs[id] }

// Each calls f with every job.
func (t *Table) Each(f func(*Job)) {
	for _, j := range t.c.Jobs {
		f(j)
	}
}

// Roster returns the worker lives that may hold runs.
func (t *Table) Roster() []RosterEntry { return t.c.Roster }

// Configure puts a document in force if its version is higher.
func (t *Table) Configure(d lwconfig.Document) (changed bool) {
	if t.c.Config != nil && d.Version <= t.c.Config.Version {
		return false
	}
	d.Prepare()
	t.c.Config = &d
	return true
}

// Accept adds a job. A job that is there already stays as it is.
func (t *Table) Accept(j Job) (added bool) {
	if t.c.Jobs[j.Spec.ID] != nil {
		return false
	}
	j.State = Queued
	j.Tasks = make(map[TaskKey]*TaskRecord)
	for _, st := range j.Spec.Steps {
		j.Pending += st.Count * j.Spec.Occurrences()
	}
	t.c.Jobs[j.Spec.ID] = &j
	return true
}

// Cancel ends a job unless it has ended. It reports whether the job exists.
func (t *Table) Cancel(id lwunit.JobID, at lwunit.Millis) bool {
	j := t.c.Jobs[id]
	if j == nil {
		return false
	}
	if !j.State.Final() {
		t.finish(j, Cancelled, at)
	}
	return true
}

// Record notes how a run ended. Noting the same end twice changes nothing.
func (t *Table) Record(e End, at lwunit.Millis) {
	id, key, err := ParseTaskName(e.Task)
	if err != nil {
		return // the name is checked before an end is proposed
	}
	j := t.c.Jobs[id]
	if j == nil || !j.has(key) {
		return
	}
	r := j.record(key)
	if e.Saved != "" && e.Run >= r.Latest {
		r.Saved = e.Saved
	}
	r.Latest = max(r.Latest, e.Run)
	j.Started = true
	switch e.How {
	case EndDone:
		t.recordDone(j, key, at)
	case EndFailed:
		if !slices.Contains(r.Failed, e.Run) {
			r.Failed = append(r.Failed, e.Run)
		}
		step := j.Spec.Steps[key.Step]
		if !step.LongRunning && !r.Done && len(r.Failed) >= max(1, j.Queue.MaxAttempts) && !j.State.Final() {
			t.finish(j, Failed, at)
		}
	}
	if j.State == Queued {
		j.State = Running
	}
}

// Place notes which worker life a task is given to.
func (t *Table) Place(p Placement) {
	id, key, err := ParseTaskName(p.Task)
	if err != nil {
		return // the name is the leader's own
	}
	if j := t.c.Jobs[id]; j != nil && j.has(key) {
		j.record(key).Place = p.Life
	}
}

// record returns the record of a task, made if there is none.
func (j *Job) record(key TaskKey) *TaskRecord {
	r := j.Tasks[key]
	if r == nil {
		r = &TaskRecord{}
		j.Tasks[key] = r
	}
	return r
}

// recordDone marks a task done; the members of a gang end together, so the end
// of one is the end of all.
func (t *Table) recordDone(j *Job, key TaskKey, at lwunit.Millis) {
	step := j.Spec.Steps[key.Step]
	first, last := key.Index, key.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		r := j.record(TaskKey{key.Occurrence, key.Step, i})
		if !r.Done {
			r.Done = true
			j.Pending--
		}
	}
	if j.Pending == 0 && !j.State.Final() {
		t.finish(j, Completed, at)
	}
}

func (j *Job) has(k TaskKey) bool {
	return k.Step < len(j.Spec.Steps) && k.Index < j.Spec.Steps[k.Step].Count && int(k.Occurrence) < j.Spec.Occurrences()
}

func (t *Table) finish(j *Job, s State, at lwunit.Millis) {
	j.State, j.Ended = s, at
	t.finished = append(t.finished, j.Spec.ID)
}

// Forget drops jobs that ended before the given time.
func (t *Table) Forget(before lwunit.Millis) {
	n := 0
	for n < len(t.finished) {
		j := t.c.Jobs[t.finished[n]]
		if j != nil && j.Ended >= before {
			break
		}
		delete(t.c.Jobs, t.finished[n])
		n++
	}
	t.finished = t.finished[n:]
}

// Enrol notes that a worker life may hold runs.
func (t *Table) Enrol(w RosterEntry) {
	if !slices.Contains(t.c.Roster, w) {
		t.c.Roster = append(t.c.Roster, w)
	}
}

// Dismiss notes that a worker life holds no runs any more.
func (t *Table) Dismiss(w WorkerLife) {
	t.c.Roster = slices.DeleteFunc(t.c.Roster, func(o RosterEntry) bool { return o.Life == w })
}
