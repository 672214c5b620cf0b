package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Configure sets the configuration of queues if its version is higher than the
// current one.
type Configure struct {
	Document lwconfig.Document `json:"document"`
}

// AcceptQueueJob adds a job of a queue. It has no effect if the job exists, and is
// refused if another queue has a job with its id, or if it has been cancelled before.
type AcceptQueueJob struct {
	Job lwjob.Job `json:"job"`
}

// CancelQueueJob cancels a job of a queue. If the queue has no such job, the cancellation
// is recorded, so that a submission that arrives later is refused. It is refused while too
// many are recorded.
type CancelQueueJob struct {
	Job   lwunit.JobID      `json:"job"`
	Queue lwconfig.QueueKey `json:"queue,omitzero"` // zero in entries of older versions, which name a job that exists
}

// RecordRuns records the ends of runs, and the worker incarnations on which tasks
// are placed.
type RecordRuns struct {
	Ends       []lwjob.End       `json:"ends,omitempty"`
	Placements []lwjob.Placement `json:"places,omitempty"`
}

// ChangeRoster adds worker incarnations that may hold runs to the roster, and then
// removes others.
type ChangeRoster struct {
	Enrol   []lwjob.RosterEntry       `json:"enrol,omitempty"`
	Dismiss []lwjob.WorkerIncarnation `json:"dismiss,omitempty"`
}

// StartWave starts a maintenance wave. It has no effect if the wave exists.
type StartWave struct {
	Wave lwjob.Wave `json:"wave"`
}

// BeginMaintenance records that the maintenance of a machine has begun.
type BeginMaintenance struct {
	Wave    lwjob.WaveID    `json:"wave"`
	Machine lwjob.MachineID `json:"machine"`
}

// RemoveQueueJobs removes the queue jobs that ended, and the cancellations of unknown jobs
// that were recorded, before the given time.
type RemoveQueueJobs struct {
	Before lwunit.Millis `json:"before"`
}

// RecordInterference records the measured interference between pairs of images.
type RecordInterference struct {
	Pairs []lwjob.Interference `json:"pairs"`
}

func (RecordInterference) command() {}
func (Configure) command()          {}
func (AcceptQueueJob) command()     {}
func (CancelQueueJob) command()     {}
func (RecordRuns) command()         {}
func (ChangeRoster) command()       {}
func (StartWave) command()          {}
func (BeginMaintenance) command()   {}
func (RemoveQueueJobs) command()    {}

// applyQueue applies a command that concerns queues. It returns false for any
// other command.
func (s *State) applyQueue(c Command) (Result, bool) {
	var res Result
	switch c := c.(type) {
	case Configure:
		res.Fresh = s.queues.Configure(c.Document)
	case AcceptQueueJob:
		c.Job.Accepted = s.c.Clock
		res.Fresh = s.queues.Accept(c.Job)
		switch kept := s.queues.Job(c.Job.Spec.ID); {
		case kept == nil:
			res.Err = lwfault.New(lwfault.Expired, "job %s was cancelled before it was accepted", c.Job.Spec.ID)
		case kept.Spec.Queue != c.Job.Spec.Queue:
			res.Err = lwfault.New(lwfault.Conflict, "the id %s is taken by a job of another queue", c.Job.Spec.ID)
		}
	case CancelQueueJob:
		res.Fresh, res.Err = s.queues.Cancel(c.Queue, c.Job, s.c.Clock)
	case RecordRuns:
		for _, e := range c.Ends {
			s.queues.RecordEnd(e, s.c.Clock)
		}
		for _, p := range c.Placements {
			s.queues.RecordPlacement(p)
		}
	case ChangeRoster:
		for _, w := range c.Enrol {
			s.queues.Enrol(w)
		}
		for _, w := range c.Dismiss {
			s.queues.Dismiss(w)
		}
	case StartWave:
		c.Wave.StartedAt = s.c.Clock
		s.queues.StartWave(c.Wave)
	case BeginMaintenance:
		s.queues.BeginMaintenance(c.Wave, c.Machine)
	case RecordInterference:
		s.queues.RecordInterference(c.Pairs)
	case RemoveQueueJobs:
		s.queues.RemoveJobs(c.Before)
	default:
		return Result{}, false
	}
	return res, true
}

// Queues returns the table of queues and their jobs.
func (s *State) Queues() *lwjob.Table { return s.queues }
