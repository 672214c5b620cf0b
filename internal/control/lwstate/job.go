package lwstate

import (
	"fmt"
	"slices"
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Limits and defaults of jobs.
const (
	maxTasksPerJob     = 10000
	maxQueuedTasks     = 100000 // over all jobs
	defaultMaxFailures = 3
	maxJobNameBytes    = 128
)

// Check returns the spec with defaults filled in, or an error if it is invalid.
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
		return j, lwfault.New(lwfault.Invalid, "job: needs.millicores and needs.memory must be greater than 0, needs.accelerators must not be negative")
	case j.MaxFailures < 1 || j.RunTime < 0 || j.FinishIn < 0:
		return j, lwfault.New(lwfault.Invalid, "job: max_failures must be greater than 0, run_time and finish_in must not be negative")
	}
	return j, nil
}

func (s *State) submitJob(c SubmitJob) Result {
	spec, err := c.Spec.Check()
	if err != nil {
		return Result{Err: err}
	}
	if existing, ok := s.c.Jobs[spec.ID]; ok {
		if existing.Spec == spec {
			return Result{Job: *existing}
		}
		return Result{Err: lwfault.New(lwfault.Conflict, "job %s was already submitted with a different spec", spec.ID), Job: *existing}
	}
	if _, ok := s.Team(spec.Team); !ok {
		return Result{Err: lwfault.New(lwfault.NotFound, "team %s does not exist", spec.Team)}
	}
	if len(s.queuedTasks)+spec.Tasks > maxQueuedTasks {
		return Result{Err: lwfault.New(lwfault.Overloaded, "%d tasks are queued; the limit is %d", len(s.queuedTasks), maxQueuedTasks)}
	}
	j := &Job{Spec: spec, Phase: JobActive, Submitted: s.c.Clock, TasksLeft: spec.Tasks}
	s.c.Jobs[spec.ID] = j
	s.dropTasks(spec.ID) // earlier versions left some of a removed job with the same id
	for i := range spec.Tasks {
		t := &Task{ID: lwunit.TaskID(fmt.Sprintf("%s/%d", spec.ID, i)), Job: spec.ID, Phase: TaskQueued, Queued: s.c.Clock}
		s.c.Tasks[t.ID] = t
		s.taskIDsByJob[spec.ID] = append(s.taskIDsByJob[spec.ID], t.ID)
		s.addToIndexes(t)
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
	for _, id := range s.taskIDsByJob[c.Job] {
		s.stopTask(s.c.Tasks[id], StopCancel)
	}
	return Result{Job: *j}
}

func (s *State) rejectJob(c RejectJob) Result {
	j, ok := s.c.Jobs[c.Job]
	if !ok || j.Phase != JobActive {
		return Result{Err: lwfault.New(lwfault.NotFound, "job %s is not active", c.Job)}
	}
	for _, id := range s.taskIDsByJob[c.Job] {
		if s.c.Tasks[id].Attempts > 0 {
			return Result{Err: lwfault.New(lwfault.Conflict, "a task of job %s has already been placed", c.Job)}
		}
	}
	// The phase is set before the tasks are ended, because a failed task of an
	// active job cancels the others, and again afterwards, because the end of the
	// last task sets it to JobFailed.
	j.Phase = JobUnrunnable
	for _, id := range s.taskIDsByJob[c.Job] {
		s.endTask(s.c.Tasks[id], TaskFailed, c.Reason)
	}
	j.Phase, j.Reason = JobUnrunnable, c.Reason
	return Result{Job: *j}
}

// stopTask requests that a task stop. A queued task holds no resources: a
// cancellation ends it at once, and an eviction has no effect.
func (s *State) stopTask(t *Task, reason StopReason) {
	switch {
	case t.Phase == TaskQueued && reason == StopCancel:
		s.endTask(t, TaskCancelled, "cancelled")
	case t.Phase == TaskStopping && reason == StopCancel:
		t.Stop = StopCancel
	case t.Phase == TaskPlaced || t.Phase == TaskRunning:
		s.removeFromIndexes(t)
		t.Phase, t.Stop = TaskStopping, reason
		s.addToIndexes(t)
	}
}

// endTask sets the final phase of a task, and ends the job if no other task is left.
func (s *State) endTask(t *Task, phase TaskPhase, reason string) {
	if t.Phase.Final() {
		return
	}
	s.removeFromIndexes(t)
	t.Phase, t.Reason, t.Ended, t.Stop = phase, reason, s.c.Clock, ""
	s.addToIndexes(t)
	j, ok := s.c.Jobs[t.Job]
	if !ok {
		return
	}
	j.TasksLeft--
	if j.TasksLeft == 0 {
		s.endJob(j)
		return
	}
	if phase == TaskFailed && j.Phase == JobActive {
		// A task that has used up its allowed failures fails the job, so the
		// job's other tasks are stopped.
		j.Phase, j.Reason = JobCancelling, reason
		for _, id := range s.taskIDsByJob[t.Job] {
			s.stopTask(s.c.Tasks[id], StopCancel)
		}
	}
}

// endJob sets the final phase of a job: failed if a task failed, else cancelled
// if a task was cancelled, else succeeded.
func (s *State) endJob(j *Job) {
	j.Finished = s.c.Clock
	j.Phase = JobSucceeded
	for _, id := range s.taskIDsByJob[j.Spec.ID] {
		switch s.c.Tasks[id].Phase {
		case TaskFailed:
			j.Phase, j.Reason = JobFailed, s.c.Tasks[id].Reason
			return
		case TaskCancelled:
			j.Phase = JobCancelled
		}
	}
}

// requeue ends the current attempt and queues the task again.
func (s *State) requeue(t *Task) {
	s.removeFromIndexes(t)
	t.Phase, t.Worker, t.Reserve, t.Stop = TaskQueued, "", lwunit.Resources{}, ""
	t.Queued = s.c.Clock
	s.addToIndexes(t)
}

func (s *State) placeTasks(c PlaceTasks) Result {
	var res Result
	for _, p := range c.Placements {
		if reason := s.placeTask(p); reason != "" {
			res.Skipped = append(res.Skipped, SkippedPlacement{p.Task, reason})
		}
	}
	return res
}

// placeTask starts one attempt, or returns why it cannot. It checks the placement
// against the current state, which may differ from the one that the proposer
// used, so that a placement never overcommits a worker.
func (s *State) placeTask(p Placement) string {
	t, ok := s.c.Tasks[p.Task]
	if !ok || t.Phase != TaskQueued {
		return "the task is not queued"
	}
	w, ok := s.c.Workers[p.Worker]
	if !ok || w.Lost || w.Drain || w.Suspect != "" {
		return "the worker does not exist or is lost, draining or suspect"
	}
	if s.c.Evacuations.Evacuated(w.Spec.Domain) {
		return "the worker's failure domain is evacuated"
	}
	if p.Reserve.Negative() || !p.Reserve.Fits(s.Free(p.Worker)) {
		return "the reserve does not fit on the worker"
	}
	s.removeFromIndexes(t)
	s.c.LastToken++
	t.Phase, t.Worker, t.Reserve, t.Token = TaskPlaced, p.Worker, p.Reserve, s.c.LastToken
	t.Attempts++
	t.Started, t.Reason = s.c.Clock, ""
	s.addToIndexes(t)
	return ""
}

func (s *State) resizeTasks(c ResizeTasks) Result {
	var res Result
	for _, r := range c.Resizes {
		t, ok := s.c.Tasks[r.Task]
		if !ok || t.Token != r.Token || !t.Phase.HoldsResources() || r.Reserve.Negative() {
			continue
		}
		available := s.Free(t.Worker).Add(t.Reserve)
		if !r.Reserve.Fits(available) && !r.Reserve.Fits(t.Reserve) {
			res.Skipped = append(res.Skipped, SkippedPlacement{r.Task, "the reserve does not fit on the worker"})
			continue
		}
		s.removeFromIndexes(t)
		t.Reserve = r.Reserve
		s.addToIndexes(t)
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
		if t, ok := s.c.Tasks[r.Task]; ok && t.Phase.HoldsResources() && t.Token == r.Token {
			s.applyReport(t, r)
		}
	}
	return Result{}
}

func (s *State) applyReport(t *Task, r TaskReport) {
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
		s.recordFailure(t, r.Reason)
	case EventStopped:
		if r.Lost != nil {
			s.recordLoss(t, *r.Lost)
			return
		}
		s.recordStop(t)
	case EventCheckpointed:
	}
}

// recordFailure counts a failed attempt. It ends the task if the task was
// being cancelled or has used up its allowed failures, and otherwise queues it
// again.
func (s *State) recordFailure(t *Task, reason string) {
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

// recordLoss ends an attempt that ended with its worker. It counts as failed if its task
// is to blame for the crashes under it.
func (s *State) recordLoss(t *Task, x LostAttempt) {
	if x.Crash.Token == t.Token {
		t.Crashes = append(slices.Clone(t.Crashes), x.Crash)
		t.Crashes = t.Crashes[max(0, len(t.Crashes)-maxCrashesKept):]
	}
	if x.Blame != "" && t.Stop == "" {
		s.recordFailure(t, x.Blame)
		return
	}
	s.recordStop(t)
}

// recordStop ends an attempt that was stopped or whose worker was lost. A stop that
// was not requested counts as a lost attempt.
func (s *State) recordStop(t *Task) {
	switch t.Stop {
	case StopCancel:
		s.endTask(t, TaskCancelled, "cancelled")
	case StopEvict:
		t.Evictions++
		s.requeue(t)
	default:
		t.LostAttempts++
		s.requeue(t)
	}
}

// Job returns the job with the given ID.
func (s *State) Job(id lwunit.JobID) (Job, bool) {
	j, ok := s.c.Jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns all jobs, sorted by ID.
func (s *State) Jobs() []Job {
	list := make([]Job, 0, len(s.c.Jobs))
	for _, j := range s.c.Jobs {
		list = append(list, *j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Spec.ID < list[k].Spec.ID })
	return list
}

// Task returns the task with the given ID.
func (s *State) Task(id lwunit.TaskID) (Task, bool) {
	t, ok := s.c.Tasks[id]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// TasksOfJob returns the tasks of a job; there are none once the job is folded.
func (s *State) TasksOfJob(id lwunit.JobID) []Task {
	list := make([]Task, 0, len(s.taskIDsByJob[id]))
	for _, task := range s.taskIDsByJob[id] {
		list = append(list, *s.c.Tasks[task])
	}
	return list
}

// TasksOnWorker returns the tasks that hold resources on a worker, sorted by ID.
func (s *State) TasksOnWorker(id lwunit.WorkerID) []Task {
	list := make([]Task, 0, len(s.tasksByWorker[id]))
	for _, t := range s.tasksByWorker[id] {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// QueuedTasks returns the queued tasks, the longest queued first.
func (s *State) QueuedTasks() []Task {
	list := make([]Task, 0, len(s.queuedTasks))
	for _, t := range s.queuedTasks {
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
func (s *State) QueuedCount() int { return len(s.queuedTasks) }

// UsedByTeam returns the sum of the resources that the tasks of a team hold.
func (s *State) UsedByTeam(team lwunit.TeamName) lwunit.Resources { return s.usedByTeam[team] }

// JobsWithQueuedTasks returns the jobs that have queued tasks, sorted by ID.
func (s *State) JobsWithQueuedTasks() []Job {
	list := make([]Job, 0, len(s.queuedByJob))
	for id := range s.queuedByJob {
		list = append(list, *s.c.Jobs[id])
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Spec.ID < list[j].Spec.ID })
	return list
}

// QueuedTasksOfJob returns up to limit queued tasks of a job: first the tasks with
// earlier attempts, then the others, each sorted by ID.
func (s *State) QueuedTasksOfJob(id lwunit.JobID, limit int) []Task {
	list := make([]Task, 0, len(s.queuedByJob[id]))
	for _, t := range s.queuedByJob[id] {
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

// HasQueuedTasks reports whether a job has queued tasks.
func (s *State) HasQueuedTasks(id lwunit.JobID) bool { return len(s.queuedByJob[id]) > 0 }

// QueuedCountOfJob returns the number of queued tasks of a job.
func (s *State) QueuedCountOfJob(id lwunit.JobID) int { return len(s.queuedByJob[id]) }

// TasksHoldingResources returns the tasks of a job that hold resources on a worker.
func (s *State) TasksHoldingResources(id lwunit.JobID) []Task {
	var list []Task
	for _, task := range s.taskIDsByJob[id] {
		if t := s.c.Tasks[task]; t.Phase.HoldsResources() {
			list = append(list, *t)
		}
	}
	return list
}
