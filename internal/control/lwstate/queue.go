package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Configure sets the configuration of queues if its version is higher than the
// current one.
type Configure struct {
	Document lwconfig.Document `json:"document"`
}

// AcceptJob adds a job of a queue. It has no effect if the job exists.
type AcceptJob struct {
	Job lwjob.Job `json:"job"`
}

// CancelSteps cancels a job of a queue.
type CancelSteps struct {
	Job lwunit.JobID `json:"job"`
}

// RecordRuns records how runs ended and which incarnations of workers tasks are
// assigned to.
type RecordRuns struct {
	Ends   []lwjob.End       `json:"ends,omitempty"`
	Places []lwjob.Placement `json:"places,omitempty"`
}

// ChangeRoster adds and removes incarnations of workers that may hold runs.
type ChangeRoster struct {
	Enrol   []lwjob.RosterEntry `json:"enrol,omitempty"`
	Dismiss []lwjob.WorkerLife  `json:"dismiss,omitempty"`
}

// StartWave starts a maintenance wave. It has no effect if the number is in use.
type StartWave struct {
	Wave lwjob.Wave `json:"wave"`
}

// BeginUpkeep records that the maintenance of a machine has begun.
type BeginUpkeep struct {
	Wave    lwjob.WaveID    `json:"wave"`
	Machine lwjob.MachineID `json:"machine"`
}

// ForgetJobs removes jobs of queues that ended before the given time.
type ForgetJobs struct {
	Before lwunit.Millis `json:"before"`
}

// LearnDisturbances records the measured interference between pairs of images.
type LearnDisturbances struct {
	Pairs []lwjob.Disturbance `json:"pairs"`
}

func (LearnDisturbances) command() {}
func (Configure) command()         {}
func (AcceptJob) command()         {}
func (CancelSteps) command()       {}
func (RecordRuns) command()        {}
func (ChangeRoster) command()      {}
func (StartWave) command()         {}
func (BeginUpkeep) command()       {}
func (ForgetJobs) command()        {}

// applyQueue applies a command that concerns queues. It returns false for any
// other command.
func (s *State) applyQueue(c Command) (Result, bool) {
	var res Result
	switch c := c.(type) {
	case Configure:
		res.Fresh = s.queues.Configure(c.Document)
	case AcceptJob:
		c.Job.Accepted = s.c.Clock
		res.Fresh = s.queues.Accept(c.Job)
	case CancelSteps:
		res.Fresh = s.queues.Cancel(c.Job, s.c.Clock)
	case RecordRuns:
		for _, e := range c.Ends {
			s.queues.Record(e, s.c.Clock)
		}
		for _, p := range c.Places {
			s.queues.Place(p)
		}
	case ChangeRoster:
		for _, w := range c.Enrol {
			s.queues.Enrol(w)
		}
		for _, w := range c.Dismiss {
			s.queues.Dismiss(w)
		}
	case StartWave:
		c.Wave.Began = s.c.Clock
		s.queues.StartWave(c.Wave)
	case BeginUpkeep:
		s.queues.BeginUpkeep(c.Wave, c.Machine)
	case LearnDisturbances:
		s.queues.Learn(c.Pairs)
	case ForgetJobs:
		s.queues.Forget(c.Before)
	default:
		return Result{}, false
	}
	return res, true
}

// Queues returns the table of queues and their jobs.
func (s *State) Queues() *lwjob.Table { return s.queues }
