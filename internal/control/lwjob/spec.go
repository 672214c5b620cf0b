// Package lwjob holds the jobs of queues, which consist of steps: the specification
// that callers submit, and the replicated record of the results of each task. Which
// tasks are running is not recorded; the workers report that to the leader.
package lwjob

import (
	"fmt"
	"strconv"
	"strings"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// RunID numbers the starts of one task. The tasks of a gang start with the same one.
type RunID uint64

// Occurrence numbers the repetitions of a recurring job, from 0.
type Occurrence int

// Step is a set of identical tasks.
type Step struct {
	Count          int              `json:"count"`
	Need           lwunit.Resources `json:"need"`
	Estimate       lwunit.Duration  `json:"estimate"` // approximate run time of a task
	DependsOn      []int            `json:"depends_on,omitempty"`
	Checkpointed   bool             `json:"checkpointed,omitempty"`
	Gang           bool             `json:"gang,omitempty"`
	RackSensitive  bool             `json:"rack_sensitive,omitempty"` // its gang is slower on several racks
	RequiredLabel  string           `json:"required_label,omitempty"`
	PreferredRack  lwunit.Rack      `json:"preferred_rack,omitempty"` // rack that holds its data
	MaxPerWorker   int              `json:"max_per_worker,omitempty"` // 0 is no limit
	Speculative    bool             `json:"speculative,omitempty"`    // copies of a task may run at the same time
	LongRunning    bool             `json:"long_running,omitempty"`   // runs until the job is cancelled
	Image          string           `json:"image,omitempty"`          // tasks of one image are expected to behave alike
	TailTarget     lwunit.Duration  `json:"tail_target,omitempty"`    // target of the tail latency of the requests that a task serves
	Filling        bool             `json:"filling,omitempty"`        // best-effort work on processors that other tasks leave idle
	MaxUnavailable int              `json:"may_miss,omitempty"`       // while this many tasks are down, no further one is moved; 0 is no limit
}

// Spec is a job as its caller submitted it.
type Spec struct {
	ID       lwunit.JobID      `json:"id"`
	Queue    lwconfig.QueueKey `json:"queue"`
	Text     string            `json:"text"` // passed to the workers unchanged
	Steps    []Step            `json:"steps"`
	Repeats  int               `json:"repeats,omitempty"`  // number of occurrences; 0 runs the job once, immediately
	First    lwunit.Millis     `json:"first,omitempty"`    // wall clock time of occurrence 0
	Interval lwunit.Millis     `json:"interval,omitempty"` // time between occurrences
}

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 256

const (
	maxTextBytes = 4000 // of Spec.Text
	maxIDBytes   = 128
	maxTasks     = 20000 // of one occurrence
	maxAllTasks  = 50000 // of all occurrences; each leader keeps them in memory
)

// ValidID reports whether a job may have the id.
func ValidID(id lwunit.JobID) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(string(id), "./")
}

// Check returns an error if the job can never be accepted.
func (s *Spec) Check() error {
	switch {
	case !ValidID(s.ID):
		return lwfault.New(lwfault.Invalid, "job id %.*q is empty, contains a dot or a slash, or has more than %d bytes", maxIDBytes, s.ID, maxIDBytes)
	case len(s.Text) > maxTextBytes:
		return lwfault.New(lwfault.Invalid, "the specification has %d bytes; the limit is %d", len(s.Text), maxTextBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return lwfault.New(lwfault.Invalid, "a job must have 1 to %d steps", MaxSteps)
	case s.Repeats > 0 && s.Interval <= 0 && s.Repeats > 1:
		return lwfault.New(lwfault.Invalid, "a recurring job must have an interval greater than 0")
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count <= 0 || st.Need.Negative() || st.Estimate < 0 || st.MaxPerWorker < 0 {
			return lwfault.New(lwfault.Invalid, "step %d must have a count greater than 0 and no negative amounts", i)
		}
		if st.Count > maxTasks-tasks {
			return lwfault.New(lwfault.Invalid, "the job has more than %d tasks", maxTasks)
		}
		tasks += st.Count
		for _, d := range st.DependsOn {
			if d < 0 || d >= i {
				return lwfault.New(lwfault.Invalid, "step %d may only depend on earlier steps", i)
			}
		}
	}
	if s.Occurrences() > maxAllTasks/tasks {
		return lwfault.New(lwfault.Invalid, "the job has %d tasks %d times; the limit is %d in all", tasks, s.Occurrences(), maxAllTasks)
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// Timed reports whether the job starts at set times.
func (s *Spec) Timed() bool { return s.Repeats > 0 }

// Due returns the wall clock time at which an occurrence starts.
func (s *Spec) Due(k Occurrence) lwunit.Millis { return s.First + lwunit.Millis(k)*s.Interval }

// TaskKey identifies a task within its job.
type TaskKey struct {
	Occurrence Occurrence
	Step       int
	Index      int
}

// String returns the key as occurrence.step.index, the form that MarshalText uses.
func (k TaskKey) String() string { return fmt.Sprintf("%d.%d.%d", k.Occurrence, k.Step, k.Index) }

// MarshalText encodes the key as text, so that it can be a key of a JSON object.
func (k TaskKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the form that MarshalText writes.
func (k *TaskKey) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 3 {
		return lwfault.New(lwfault.Invalid, "task key %q is not of the form occurrence.step.index", text)
	}
	var n [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return lwfault.New(lwfault.Invalid, "task key %q is not of the form occurrence.step.index", text)
		}
		n[i] = v
	}
	*k = TaskKey{Occurrence(n[0]), n[1], n[2]}
	return nil
}

// TaskName returns the id of a task: job, occurrence, step and index.
func TaskName(job lwunit.JobID, k TaskKey) lwunit.TaskID {
	return lwunit.TaskID(string(job) + "." + k.String())
}

// ParseTaskName splits the id of a task into job and key.
func ParseTaskName(name lwunit.TaskID) (lwunit.JobID, TaskKey, error) {
	job, rest, ok := strings.Cut(string(name), ".")
	if !ok {
		return "", TaskKey{}, lwfault.New(lwfault.Invalid, "task name %q has no task key", name)
	}
	var k TaskKey
	if err := k.UnmarshalText([]byte(rest)); err != nil {
		return "", TaskKey{}, err
	}
	return lwunit.JobID(job), k, nil
}
