// Package lwadmission decides whether a pool of capacity can finish a further job in time. It
// does no I/O and reads no clock.
package lwadmission

import "time"

// LateFactor is the multiple of its objective within which a job must end to be of any
// value.
const LateFactor = 3

// Job is what is known of a job.
type Job struct {
	Waited    time.Duration // since its time began to count
	Objective time.Duration // within which it is on time, from when its time began to count
	Work      float64       // expected work that is left, in millicore seconds
	Path      time.Duration // expected time that is left on its longest chain of steps
}

// Pool is capacity that is shared by jobs.
type Pool struct {
	Rate    float64 // at which it works while work waits, in millicores; 0 if it is not measured
	Backlog float64 // work of the jobs that it has accepted, in millicore seconds, without those of no value any more
	Waiting bool    // work has no room
}

// NewPool returns a pool that has accepted jobs. A job that cannot end any more while it
// is of value does not count: it yields to the others.
func NewPool(rate float64, waiting bool, jobs []Job) Pool {
	p := Pool{Rate: rate, Waiting: waiting}
	for _, j := range jobs {
		if j.Waited+j.Path <= LateFactor*j.Objective {
			p.Backlog += j.Work
		}
	}
	return p
}

// Admission is the decision about a job that is submitted.
type Admission struct {
	Refused    bool
	Finish     time.Duration // expected, from now
	RetryAfter time.Duration // after which the job would be expected to end in time; only if it is refused
}

// Admit decides about a job that is submitted. A job that would end after its objective is
// refused: accepted beyond what the pool can do in time, jobs delay each other until none
// ends in time. Nothing is refused while the pool has room or is not measured. margin is
// the part of the time that the job may wait that is kept for the error of estimates; its
// own path is not shortened, since no job could be accepted otherwise.
func (p Pool) Admit(j Job, margin float64) Admission {
	if p.Rate <= 0 {
		return Admission{Finish: j.Path}
	}
	wait := seconds(p.Backlog / p.Rate)
	a := Admission{Finish: wait + max(j.Path, seconds(j.Work/p.Rate))}
	limit := j.Objective - j.Waited - time.Duration(margin*float64(max(0, j.Objective-j.Path)))
	if !p.Waiting || wait == 0 || a.Finish <= limit {
		return a
	}
	a.Refused = true
	a.RetryAfter = min(wait, a.Finish-limit)
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
