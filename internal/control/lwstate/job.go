package lwstate

import (
	"fmt"
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Limits of a job.
const (
	maxTasksPerJob     = 10000
	maxActiveTasks     = 100000
	defaultMaxFailures = 3
	maxJobNameBytes    = 128
)

// Check returns the spec with defaults filled in, or why it is refused.
func (j JobSpec) Check() (JobSpec, error) {
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	if j.Class == "" {
		j.Class = ClassBatch
	}
	if j.MaxFailures == 0 {
		j.MaxFailures = defaultMaxFailures
	}
	switch {
	case j.ID == "" || len(j.ID) > maxJobNameBytes:
		return j, lwfault.New(lwfault.Invalid, "job: id must have 1 to %d bytes", maxJobNameBytes)
	case j.Team == "":
		return j, lwfault.New(lwfault.Invalid, "job: team is required")
	case j.Program == "":
		return j, lwfault.New(lwfault.Invalid, "job: program is required")
	case j.Class != ClassBatch && j.Class != ClassUrgent && j.Class != ClassLatencyCritical:
		return j, lwfault.New(lwfault.Invalid, "job: class must be batch, urgent or latency_critical")
	case j.Tasks < 1 || j.Tasks > maxTasksPerJob:
		return j, lwfault.New(lwfault.Invalid, "job: tasks must be 1 to %d", maxTasksPerJob)
	case j.Needs.Negative() || j.Needs.Millicores == 0 || j.Needs.Memory == 0:
		return j, lwfault.New(lwfault.Invalid, "job: needs.millicores and needs.memory must be over 0, needs.accelerators not negative")
	case j.MaxFailures < 1 || j.RunTime < 0 || j.FinishIn < 0:
		return j, lwfault.New(lwfault.Invalid, "job: max_failures must be over 0, run_time and finish_in not negative")
	}
	return j, nil
}

func (s *State) submitJob(c SubmitJob) Result {
	spec, err := c.Spec.Check()
	if err != nil {
		return Result{Err: err}
	}
	if old, ok := s.c.Jobs[spec.ID]; ok {
		if old.Spec == spec {
			return Result{Job: *old}
		}
		return Result{Err: lwfault.New(lwfault.Conflict, "job %s was submitted before with another content", spec.ID), Job: *old}
	}
	if _, ok := s.Team(spec.Team); !ok {
		return Result{Err: lwfault.New(lwfault.NotFound, "team %s does not exist", spec.Team)}
	}
	if len(s.queued)+spec.Tasks > maxActiveTasks {
		return Result{Err: lwfault.New(lwfault.Overloaded, "%d tasks are queued; the limit is %d", len(s.queued), maxActiveTasks)}
	}
	j := &Job{Spec: spec, Phase: JobActive, Submitted: s.c.Clock, Left: spec.Tasks}
	s.c.Jobs[spec.ID] = j
	for i := range spec.Tasks {
		t := &Task{ID: lwunit.TaskID(fmt.Sprintf("%s/%d", spec.ID, i)), Job: spec.ID, Phase: TaskQueued, Queued: s.c.Clock}
		s.c.Tasks[t.ID] = t
		s.jobTasks[spec.ID] = append(s.jobTasks[spec.ID], t.ID)
		s.enter(t)
	}
	return Result{Job: *j}
}

func (s *State) cancelJob(c CancelJob) Result {
	j, ok := s.c.Jobs[c.Job]
	if !ok || (c.Team != "" && j.Spec.Team != c.Team) {
		return Result{Err: lwfault.New(lwfault.NotFound, "job %s does not exist", c.Job)}
	}
	if j.Phase.Final() {
		return Result{Job: *j}
	}
	j.Phase = JobCancelling
	for _, id := range s.jobTasks[c.Job] {
		s.stopTask(s.c.Tasks[id], StopCancel)
	}
	return Result{Job: *j}
}

func (s *State) rejectJob(c RejectJob) Result {
	j, ok := s.c.Jobs[c.Job]
	if !ok || j.Phase != JobActive {
		return Result{Err: lwfault.New(lwfault.NotFound, "job %s is not active", c.Job)}
	}
	for _, id := range s.jobTasks[c.Job] {
		if s.c.Tasks[id].Attempts > 0 {
			return Result{Err: lwfault.New(lwfault.Conflict, "job %s has run before", c.Job)}
		}
	}
	j.Phase = JobUnrunnable
	for _, id := range s.jobTasks[c.Job] {
		s.endTask(s.c.Tasks[id], TaskFailed, c.Reason)
	}
	j.Phase, j.Reason = JobUnrunnable, c.Reason
	return Result{Job: *j}
}

// stopTask asks for a task to stop; one that holds nothing ends at once.
func (s *State) stopTask(t *Task, why StopReason) {
	switch {
	case t.Phase == TaskQueued && why == StopCancel:
		s.endTask(t, TaskCancelled, "cancelled")
	case t.Phase == TaskStopping && why == StopCancel:
		t.Stop = StopCancel
	case t.Phase == TaskPlaced || t.Phase == TaskRunning:
		s.leave(t)
		t.Phase, t.Stop = TaskStopping, why
		s.enter(t)
	}
}

// endTask makes a task final and ends its job with its last task.
func (s *State) endTask(t *Task, phase TaskPhase, reason string) {
	if t.Phase.Final() {
		return
	}
	s.leave(t)
	t.Phase, t.Reason, t.Ended, t.Stop = phase, reason, s.c.Clock, ""
	s.enter(t)
	j, ok := s.c.Jobs[t.Job]
	if !ok {
		return
	}
	j.Left--
	if j.Left == 0 {
		s.endJob(j)
		return
	}
	if phase == TaskFailed && j.Phase == JobActive {
		// One task out of failures fails the job; the rest is stopped.
		j.Phase, j.Reason = JobCancelling, reason
		for _, id := range s.jobTasks[t.Job] {
			s.stopTask(s.c.Tasks[id], StopCancel)
		}
	}
}

func (s *State) endJob(j *Job) {
	j.Finished = s.c.Clock
	j.Phase = JobSucceeded
	for _, id := range s.jobTasks[j.Spec.ID] {
		switch s.c.Tasks[id].Phase {
		case TaskFailed:
			j.Phase, j.Reason = JobFailed, s.c.Tasks[id].Reason
			return
		case TaskCancelled:
			j.Phase = JobCancelled
		}
	}
}

// requeue ends an attempt without ending its task.
func (s *State) requeue(t *Task) {
	s.leave(t)
	t.Phase, t.Worker, t.Reserve, t.Stop = TaskQueued, "", lwunit.Resources{}, ""
	t.Queued = s.c.Clock
	s.enter(t)
}

func (s *State) placeTasks(c PlaceTasks) Result {
	var res Result
	for _, p := range c.Placements {
		if why := s.place(p); why != "" {
			res.Skipped = append(res.Skipped, SkippedPlacement{p.Task, why})
		}
	}
	return res
}

// place starts one attempt. The state, not the proposer, has the last word on
// whether it fits: a worker is never given more than it has.
func (s *State) place(p Placement) string {
	t, ok := s.c.Tasks[p.Task]
	if !ok || t.Phase != TaskQueued {
		return "the task is not queued"
	}
	w, ok := s.c.Workers[p.Worker]
	if !ok || w.Lost || w.Drain || w.Suspect != "" {
		return "the worker takes no tasks"
	}
	if p.Reserve.Negative() || !p.Reserve.Fits(s.Free(p.Worker)) {
		return "the worker has no room"
	}
	s.leave(t)
	s.c.NextToken++
	t.Phase, t.Worker, t.Reserve, t.Token = TaskPlaced, p.Worker, p.Reserve, s.c.NextToken
	t.Attempts++
	t.Started, t.Reason = s.c.Clock, ""
	s.enter(t)
	return ""
}

func (s *State) resizeTasks(c ResizeTasks) Result {
	var res Result
	for _, r := range c.Resizes {
		t, ok := s.c.Tasks[r.Task]
		if !ok || t.Token != r.Token || !t.Phase.Held() || r.Reserve.Negative() {
			continue
		}
		room := s.Free(t.Worker).Add(t.Reserve)
		if !r.Reserve.Fits(room) && !r.Reserve.Fits(t.Reserve) {
			res.Skipped = append(res.Skipped, SkippedPlacement{r.Task, "the worker has no room"})
			continue
		}
		s.leave(t)
		t.Reserve = r.Reserve
		s.enter(t)
	}
	return res
}

func (s *State) stopTasks(c StopTasks) Result {
	for _, id := range c.Tasks {
		if t, ok := s.c.Tasks[id]; ok {
			s.stopTask(t, c.Reason)
		}
	}
	return Result{}
}

func (s *State) reportTasks(c ReportTasks) Result {
	for _, r := range c.Reports {
		if t, ok := s.c.Tasks[r.Task]; ok && t.Phase.Held() && t.Token == r.Token {
			s.report(t, r)
		}
	}
	return Result{}
}

func (s *State) report(t *Task, r TaskReport) {
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	switch r.Event {
	case EventRunning:
		if t.Phase == TaskPlaced {
			t.Phase = TaskRunning
		}
	case EventSucceeded:
		s.endTask(t, TaskSucceeded, "")
	case EventFailed:
		s.failed(t, r.Reason)
	case EventStopped:
		s.stopped(t)
	case EventCheckpointed:
	}
}

func (s *State) failed(t *Task, reason string) {
	t.Failures++
	t.Reason = reason
	switch {
	case t.Stop == StopCancel:
		s.endTask(t, TaskCancelled, "cancelled")
	case t.Failures >= s.c.Jobs[t.Job].Spec.MaxFailures:
		s.endTask(t, TaskFailed, reason)
	default:
		s.requeue(t)
	}
}

func (s *State) stopped(t *Task) {
	switch t.Stop {
	case StopCancel:
		s.endTask(t, TaskCancelled, "cancelled")
	case StopEvict:
		t.Evictions++
		s.requeue(t)
	default:
		t.Losses++
		s.requeue(t)
	}
}

// Job returns a job.
func (s *State) Job(id lwunit.JobID) (Job, bool) {
	j, ok := s.c.Jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns all jobs in the order of their names.
func (s *State) Jobs() []Job {
	list := make([]Job, 0, len(s.c.Jobs))
	for _, j := range s.c.Jobs {
		list = append(list, *j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Spec.ID < list[k].Spec.ID })
	return list
}

// Task returns a task.
func (s *State) Task(id lwunit.TaskID) (Task, bool) {
	t, ok := s.c.Tasks[id]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// TasksOfJob returns the tasks of a job.
func (s *State) TasksOfJob(id lwunit.JobID) []Task {
	list := make([]Task, 0, len(s.jobTasks[id]))
	for _, task := range s.jobTasks[id] {
		list = append(list, *s.c.Tasks[task])
	}
	return list
}

// TasksOnWorker returns the tasks that hold resources on a worker, in the
// order of their names.
func (s *State) TasksOnWorker(id lwunit.WorkerID) []Task {
	list := make([]Task, 0, len(s.onWorker[id]))
	for _, t := range s.onWorker[id] {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// QueuedTasks returns the queued tasks, oldest first.
func (s *State) QueuedTasks() []Task {
	list := make([]Task, 0, len(s.queued))
	for _, t := range s.queued {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Queued != list[j].Queued {
			return list[i].Queued < list[j].Queued
		}
		return list[i].ID < list[j].ID
	})
	return list
}

// QueuedCount returns the number of queued tasks.
func (s *State) QueuedCount() int { return len(s.queued) }

// TeamUsed returns what the tasks of a team hold.
func (s *State) TeamUsed(team lwunit.TeamName) lwunit.Resources { return s.teamUsed[team] }

// WaitingJobs returns the jobs that have queued tasks, in the order of their
// names.
func (s *State) WaitingJobs() []Job {
	list := make([]Job, 0, len(s.waiting))
	for id := range s.waiting {
		list = append(list, *s.c.Jobs[id])
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Spec.ID < list[j].Spec.ID })
	return list
}

// WaitingTasks returns up to limit queued tasks of a job, those that have run
// before first, then by name.
func (s *State) WaitingTasks(id lwunit.JobID, limit int) []Task {
	list := make([]Task, 0, len(s.waiting[id]))
	for _, t := range s.waiting[id] {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool {
		if (list[i].Attempts > 0) != (list[j].Attempts > 0) {
			return list[i].Attempts > 0
		}
		return list[i].ID < list[j].ID
	})
	return list[:min(limit, len(list))]
}

// Waits reports whether a job has queued tasks.
func (s *State) Waits(id lwunit.JobID) bool { return len(s.waiting[id]) > 0 }

// WaitingCount returns the number of queued tasks of a job.
func (s *State) WaitingCount(id lwunit.JobID) int { return len(s.waiting[id]) }

// HeldTasks returns the tasks of a job that hold resources.
func (s *State) HeldTasks(id lwunit.JobID) []Task {
	var list []Task
	for _, task := range s.jobTasks[id] {
		if t := s.c.Tasks[task]; t.Phase.Held() {
			list = append(list, *t)
		}
	}
	return list
}
