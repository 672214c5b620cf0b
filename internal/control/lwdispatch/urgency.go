package lwdispatch

import "time"

// candidate is a step that may start now.
type candidate struct {
	step  *step
	slack time.Duration // until its job would miss its objective
	delay lateness
	worth float64 // of starting it, against others of its priority
}

// lateness says what a job can still be.
type lateness uint8

const (
	onTime    lateness = iota
	late               // after its objective, and still worth something
	worthless          // it would take lateFactor times its objective or more
)

// lateFactor is how many times its objective a job may take to be worth
// something.
const lateFactor = 3

// compareUrgency orders steps: by how late their jobs must be, then by the
// queue's priority, then by what they are worth.
func compareUrgency(a, b candidate) int {
	if d := int(a.delay) - int(b.delay); d != 0 {
		return d
	}
	if d := int(a.step.job.queue.Priority) - int(b.step.job.queue.Priority); d != 0 {
		return d
	}
	switch {
	case a.worth > b.worth:
		return -1
	case a.worth < b.worth:
		return 1
	default:
		return 0
	}
}

const (
	fixedWorth  = 0.3 // of a job of mean size, whatever its size
	workMemory  = 0.1 // weight of a new job in the mean
	leastChain  = 100 * time.Millisecond
	leastRemain = 0.05 // share of a job counted as left to do at least
)

// worthOf returns what finishing a job yields for the work that is left, more
// for one that may wait less.
func (c *Core) worthOf(j *job, slack time.Duration) float64 {
	mean := max(1, c.meanWork[j.queue.Key])
	left := max(j.workLeft(c), leastRemain*j.work)
	yield := (fixedWorth + (1-fixedWorth)*j.work/mean) / max(left/mean, leastRemain)
	wait := float64(max(0, slack)) / float64(max(j.chain, leastChain))
	return yield / (1 + wait)
}

// workLeft returns the work of a job's tasks that are not done, in millicore
// seconds.
func (j *job) workLeft(c *Core) float64 {
	sum := 0.0
	for _, steps := range j.steps {
		for _, s := range steps {
			sum += float64(s.left) * c.taskWork(j, s)
		}
	}
	return sum
}

func (c *Core) taskWork(j *job, s *step) float64 {
	return float64(s.spec.Need.Millicores) * c.expected(j, s.spec).Seconds()
}

// noteWork takes the work of a new job into the mean of its queue.
func (c *Core) noteWork(j *job) {
	j.work = j.workLeft(c)
	mean, ok := c.meanWork[j.queue.Key]
	if !ok {
		mean = j.work
	}
	c.meanWork[j.queue.Key] = mean + workMemory*(j.work-mean)
}

// begins returns when the time of a step's job begins to count, and the time
// within which the job must have ended to be on time.
func (c *Core) begins(s *step) (start, objective time.Duration) {
	j := s.job
	start = j.accepted
	if j.spec.Timed() {
		start = c.now - time.Duration(max(0, c.wall-j.spec.Due(s.occ)))*time.Millisecond
	}
	return start, time.Duration(max(1, j.queue.Stretch)*float64(j.chain)) + j.queue.Target.Std()
}

// urgency rates a step against others.
func (c *Core) urgency(s *step) candidate {
	start, objective := c.begins(s)
	x := candidate{step: s, slack: start + objective - c.now - s.tail}
	switch {
	case x.slack >= 0:
		x.delay = onTime
	case x.slack+(lateFactor-1)*objective >= 0:
		x.delay = late
	default:
		x.delay = worthless
	}
	x.worth = c.worthOf(s.job, x.slack)
	return x
}
