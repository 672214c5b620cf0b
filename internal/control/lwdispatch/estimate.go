package lwdispatch

import (
	"math"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	sampleWeight   = 0.1                    // least weight of a new sample in the mean
	minStepTime    = 50 * time.Millisecond  // least time that a step adds to a path
	estimateWeight = 0.35                   // weight of a declared time against the measured mean
	defaultRunTime = 500 * time.Millisecond // of a task without an estimate while no samples exist
)

// runTimeStats holds statistics of the run times in one queue, as logarithms of
// seconds because run times span orders of magnitude.
type runTimeStats struct {
	samples    int
	mean       float64
	meanSquare float64
}

func (s *runTimeStats) add(runTime time.Duration) {
	x := math.Log(max(runTime.Seconds(), 0.001))
	s.samples++
	weight := max(sampleWeight, 1/float64(s.samples))
	s.mean += weight * (x - s.mean)
	s.meanSquare += weight * (x*x - s.meanSquare)
}

// stdDev returns the standard deviation of the logarithm.
func (s *runTimeStats) stdDev() float64 { return math.Sqrt(max(0, s.meanSquare-s.mean*s.mean)) }

func (c *Core) runTimesOf(j *job) *runTimeStats {
	stats := c.runTimes[j.queue.Key]
	if stats == nil {
		stats = &runTimeStats{}
		c.runTimes[j.queue.Key] = stats
	}
	return stats
}

// expectedRunTime returns the expected run time of a step's tasks: the weighted
// geometric mean of the declared time and the measured times of the queue. It is
// 0 for long-running tasks.
func (c *Core) expectedRunTime(j *job, s *lwjob.Step) time.Duration {
	declared := s.Estimate.Std()
	if s.LongRunning {
		return 0
	}
	stats := c.runTimesOf(j)
	if stats.samples == 0 {
		if declared <= 0 {
			return defaultRunTime
		}
		return declared
	}
	if declared <= 0 {
		return seconds(math.Exp(stats.mean))
	}
	x := estimateWeight*math.Log(declared.Seconds()) + (1-estimateWeight)*stats.mean
	return seconds(math.Exp(x))
}

// expectedTimeLeft returns the expected time until a run ends. For an adopted run, whose
// start is unknown, it rests on the progress that the worker reports.
func (c *Core) expectedTimeLeft(r *run) time.Duration {
	total := c.expectedRunTimeOn(r.worker, r.task.step)
	left := total - (c.now - r.orderedAt)
	if r.adopted {
		left = min(left, total/fullPercent*time.Duration(fullPercent-r.status.Progress))
	}
	return left
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// computePaths computes the expected time from the start of each step to the end
// of the job, and the critical path.
func (c *Core) computePaths(j *job) {
	j.criticalPath = 0
	for _, steps := range j.steps {
		for i := len(steps) - 1; i >= 0; i-- {
			s := steps[i]
			var after time.Duration
			for _, d := range s.dependents {
				after = max(after, d.remainingPath)
			}
			s.remainingPath = max(c.expectedRunTime(j, s.spec), minStepTime) + after
			j.criticalPath = max(j.criticalPath, s.remainingPath)
		}
	}
}
