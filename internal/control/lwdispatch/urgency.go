package lwdispatch

import "time"

// candidate is a step with its urgency.
type candidate struct {
	step     *step
	slack    time.Duration // until its job would miss its latency objective
	lateness lateness
	value    float64 // of starting it, compared with steps of the same lateness and priority
}

// lateness classifies a job by when it can end at the earliest.
type lateness uint8

const (
	onTime    lateness = iota
	late               // after its objective, but still of value
	worthless          // later than worthlessFactor times its objective
)

// worthlessFactor is the multiple of its objective within which a job must end to be
// of any value.
const worthlessFactor = 3

// compareUrgency orders steps by the lateness of their jobs, then by the priority of
// the queue, then by value, the highest first.
func compareUrgency(a, b candidate) int {
	if d := int(a.lateness) - int(b.lateness); d != 0 {
		return d
	}
	if d := int(a.step.job.queue.Priority) - int(b.step.job.queue.Priority); d != 0 {
		return d
	}
	switch {
	case a.value > b.value:
		return -1
	case a.value < b.value:
		return 1
	default:
		return 0
	}
}

const (
	fixedValueShare  = 0.3                    // part of a job's value that does not depend on its size, for a job of mean size
	workSampleWeight = 0.1                    // weight of a new job in the mean work of its queue
	minCriticalPath  = 100 * time.Millisecond // least critical path to which the slack of a job is compared
	minWorkLeftShare = 0.05                   // least fraction of a job's work that counts as left
)

// valueOf returns the value of completing a job in relation to the work that is
// left, lower for a job with more slack.
func (c *Core) valueOf(j *job, slack time.Duration) float64 {
	mean := max(1, c.meanJobWork[j.queue.Key])
	left := max(j.workLeft(c), minWorkLeftShare*j.initialWork)
	value := (fixedValueShare + (1-fixedValueShare)*j.initialWork/mean) / max(left/mean, minWorkLeftShare)
	waitRatio := float64(max(0, slack)) / float64(max(j.criticalPath, minCriticalPath))
	return value / (1 + waitRatio)
}

// workLeft returns the expected work of a job's tasks that are not done, in millicore
// seconds.
func (j *job) workLeft(c *Core) float64 {
	sum := 0.0
	for _, steps := range j.steps {
		for _, s := range steps {
			sum += float64(s.tasksLeft) * c.taskWork(j, s)
		}
	}
	return sum
}

func (c *Core) taskWork(j *job, s *step) float64 {
	return float64(s.spec.Need.Millicores) * c.expectedRunTime(j, s.spec).Seconds()
}

// recordWork adds the work of a new job to the mean of its queue.
func (c *Core) recordWork(j *job) {
	j.initialWork = j.workLeft(c)
	mean, ok := c.meanJobWork[j.queue.Key]
	if !ok {
		mean = j.initialWork
	}
	c.meanJobWork[j.queue.Key] = mean + workSampleWeight*(j.initialWork-mean)
}

// startAndObjective returns the time from which the latency of a step's job counts,
// and the latency objective of the job.
func (c *Core) startAndObjective(s *step) (start, objective time.Duration) {
	j := s.job
	start = j.acceptedAt
	if j.spec.Timed() {
		start = c.now - time.Duration(max(0, c.wallClock-j.spec.Due(s.occurrence)))*time.Millisecond
	}
	return start, time.Duration(max(1, j.queue.Stretch)*float64(j.criticalPath)) + j.queue.TargetLatency.Std()
}

// rateUrgency computes the urgency of a step.
func (c *Core) rateUrgency(s *step) candidate {
	start, objective := c.startAndObjective(s)
	x := candidate{step: s, slack: start + objective - c.now - s.remainingPath}
	switch {
	case x.slack >= 0:
		x.lateness = onTime
	case x.slack+(worthlessFactor-1)*objective >= 0:
		x.lateness = late
	default:
		x.lateness = worthless
	}
	x.value = c.valueOf(s.job, x.slack)
	return x
}
