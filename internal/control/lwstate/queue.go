package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Configure puts a configuration of queues in force if its version is the
// highest so far.
type Configure struct {
	Document lwconfig.Document `json:"document"`
}

// AcceptJob adds a job of steps. A resend changes nothing.
type AcceptJob struct {
	Job lwjob.Job `json:"job"`
}

// CancelSteps ends a job of steps.
type CancelSteps struct {
	Job lwunit.JobID `json:"job"`
}

// RecordRuns notes how runs ended and to which workers tasks are given.
type RecordRuns struct {
	Ends   []lwjob.End       `json:"ends,omitempty"`
	Places []lwjob.Placement `json:"places,omitempty"`
}

// ChangeRoster adds and removes worker lives that may hold runs.
type ChangeRoster struct {
	Enrol   []lwjob.RosterEntry `json:"enrol,omitempty"`
	Dismiss []lwjob.WorkerLife  `json:"dismiss,omitempty"`
}

// StartWave begins an upkeep wave. The same number again changes nothing.
type StartWave struct {
	Wave lwjob.Wave `json:"wave"`
}

// BeginUpkeep notes that the upkeep of a machine has begun.
type BeginUpkeep struct {
	Wave    lwjob.WaveID    `json:"wave"`
	Machine lwjob.MachineID `json:"machine"`
}

// ForgetJobs drops jobs of steps that ended before a time.
type ForgetJobs struct {
	Before lwunit.Millis `json:"before"`
}

// LearnDisturbances records which images disturb which.
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

// applyQueue changes the record of queues; false means that c is no command
// about them.
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

// Queues returns the record of queues and their jobs.
func (s *State) Queues() *lwjob.Table { return s.queues }
