// Package lwjob holds jobs of steps: what callers submit, and the replicated
// record of what has become of each task. Where tasks run right now is not
// recorded here; the workers themselves know that.
package lwjob

import (
	"fmt"
	"strconv"
	"strings"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// RunID numbers the starts of one task. A gang's tasks share it.
type RunID uint64

// Occurrence numbers the repetitions of a recurring job, from 0.
type Occurrence int

// Step is a set of like tasks.
type Step struct {
	Count         int              `json:"count"`
	Need          lwunit.Resources `json:"need"`
	Estimate      lwunit.Duration  `json:"estimate"` // rough run time of a task
	DependsOn     []int            `json:"depends_on,omitempty"`
	Checkpointed  bool             `json:"checkpointed,omitempty"`
	Gang          bool             `json:"gang,omitempty"`
	RackSensitive bool             `json:"rack_sensitive,omitempty"` // slower when on several racks
	RequiredLabel string           `json:"required_label,omitempty"`
	PreferredRack lwunit.Rack      `json:"preferred_rack,omitempty"` // where its data is
	MaxPerWorker  int              `json:"max_per_worker,omitempty"` // 0 is no limit
	Speculative   bool             `json:"speculative,omitempty"`    // copies may run side by side
	LongRunning   bool             `json:"long_running,omitempty"`   // runs until the job is cancelled
	Image         string           `json:"image,omitempty"`          // tasks of one image behave alike
	TailTarget    lwunit.Duration  `json:"tail_target,omitempty"`    // of the requests that the task serves
	Filling       bool             `json:"filling,omitempty"`        // uses processors that others leave unused
	MayMiss       int              `json:"may_miss,omitempty"`       // tasks that may be away by our doing; 0 is no limit
}

// Spec is a job as its caller submitted it.
type Spec struct {
	ID       lwunit.JobID      `json:"id"`
	Queue    lwconfig.QueueKey `json:"queue"`
	Text     string            `json:"text"` // passed to the workers as it is
	Steps    []Step            `json:"steps"`
	Repeats  int               `json:"repeats,omitempty"`  // 0 runs the job once, at once
	First    lwunit.Millis     `json:"first,omitempty"`    // wall clock time of occurrence 0
	Interval lwunit.Millis     `json:"interval,omitempty"` // between occurrences
}

const (
	maxTextBytes = 4000 // of a spec's text
	maxSteps     = 256
	maxTasks     = 20000 // of one occurrence
)

// Check returns why a job can never be taken.
func (s *Spec) Check() error {
	switch {
	case s.ID == "" || strings.ContainsAny(string(s.ID), "./"):
		return lwfault.New(lwfault.Invalid, "job id %q is empty or holds a dot or slash", s.ID)
	case len(s.Text) > maxTextBytes:
		return lwfault.New(lwfault.Invalid, "the spec has %d bytes; the limit is %d", len(s.Text), maxTextBytes)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return lwfault.New(lwfault.Invalid, "a job has 1 to %d steps", maxSteps)
	case s.Repeats > 0 && s.Interval <= 0 && s.Repeats > 1:
		return lwfault.New(lwfault.Invalid, "a recurring job needs an interval")
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count <= 0 || st.Need.Negative() || st.Estimate < 0 || st.MaxPerWorker < 0 {
			return lwfault.New(lwfault.Invalid, "step %d needs a count over 0 and no negative amounts", i)
		}
		tasks += st.Count
		for _, d := range st.DependsOn {
			if d < 0 || d >= i {
				return lwfault.New(lwfault.Invalid, "step %d may only depend on earlier steps", i)
			}
		}
	}
	if tasks > maxTasks {
		return lwfault.New(lwfault.Invalid, "the job has %d tasks; the limit is %d", tasks, maxTasks)
	}
	return nil
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// Timed reports whether the job waits for set times.
func (s *Spec) Timed() bool { return s.Repeats > 0 }

// Due returns the wall clock time of an occurrence.
func (s *Spec) Due(k Occurrence) lwunit.Millis { return s.First + lwunit.Millis(k)*s.Interval }

// TaskKey names one task of a job.
type TaskKey struct {
	Occurrence Occurrence
	Step       int
	Index      int
}

// String returns the key as text, which MarshalText uses.
func (k TaskKey) String() string { return fmt.Sprintf("%d.%d.%d", k.Occurrence, k.Step, k.Index) }

// MarshalText lets the key stand in JSON.
func (k TaskKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (k *TaskKey) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 3 {
		return lwfault.New(lwfault.Invalid, "task key %q", text)
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return lwfault.New(lwfault.Invalid, "task key %q", text)
		}
		n[i] = v
	}
	*k = TaskKey{Occurrence(n[0]), n[1], n[2]}
	return nil
}

// TaskName names one task of any job: job, occurrence, step and index.
func TaskName(job lwunit.JobID, k TaskKey) lwunit.TaskID {
	return lwunit.TaskID(string(job) + "." + k.String())
}

// ParseTaskName splits a task's name.
func ParseTaskName(name lwunit.TaskID) (lwunit.JobID, TaskKey, error) {
	job, rest, ok := strings.Cut(string(name), ".")
	if !ok {
		return "", TaskKey{}, lwfault.New(lwfault.Invalid, "task name %q", name)
	}
	var k TaskKey
	if err := k.UnmarshalText([]byte(rest)); err != nil {
		return "", TaskKey{}, err
	}
	return lwunit.JobID(job), k, nil
}
