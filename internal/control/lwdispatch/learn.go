package lwdispatch

import (
	"math"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	learnWeight   = 0.1                    // of a new sample, once several are known
	shortestChain = 50 * time.Millisecond  // assumed of a step that declares no time
	estimateTrust = 0.35                   // weight of a declared time against the learned mean
	typicalSpread = 500 * time.Millisecond // assumed run time while nothing is known
)

// durations is what is known of the run times in one queue, as logarithms of
// seconds, since they spread over orders of magnitude.
type durations struct {
	samples int
	mean    float64
	square  float64
}

func (d *durations) add(took time.Duration) {
	x := math.Log(max(took.Seconds(), 0.001))
	d.samples++
	weight := max(learnWeight, 1/float64(d.samples))
	d.mean += weight * (x - d.mean)
	d.square += weight * (x*x - d.square)
}

// spread returns the standard deviation of the logarithm.
func (d *durations) spread() float64 { return math.Sqrt(max(0, d.square-d.mean*d.mean)) }

func (c *Core) durationsOf(j *job) *durations {
	d := c.learned[j.queue.Key]
	if d == nil {
		d = &durations{}
		c.learned[j.queue.Key] = d
	}
	return d
}

// expected returns the run time to expect of a step's tasks: a mix of what
// the job declares and of what the queue's tasks have taken.
func (c *Core) expected(j *job, s *lwjob.Step) time.Duration {
	declared := s.Estimate.Std()
	if s.LongRunning {
		return 0
	}
	d := c.durationsOf(j)
	if d.samples == 0 {
		if declared <= 0 {
			return typicalSpread
		}
		return declared
	}
	if declared <= 0 {
		return seconds(math.Exp(d.mean))
	}
	x := estimateTrust*math.Log(declared.Seconds()) + (1-estimateTrust)*d.mean
	return seconds(math.Exp(x))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// expect computes for each step the time from its start to the job's end.
func (c *Core) expect(j *job) {
	j.chain = 0
	for _, steps := range j.steps {
		for i := len(steps) - 1; i >= 0; i-- {
			s := steps[i]
			var after time.Duration
			for _, f := range s.feeds {
				after = max(after, f.tail)
			}
			s.tail = max(c.expected(j, s.spec), shortestChain) + after
			j.chain = max(j.chain, s.tail)
		}
	}
}
