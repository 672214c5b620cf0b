package lwspeed

import (
	"math"
	"time"
)

const (
	slownessSteps   = 15    // of binWidth
	fastest         = -0.75 // LogRatio of the first step; the last one is 16 times as slow as typical
	typicalShare    = 0.99  // of workers whose slowness is within typicalStdDev; at 0.95 one task of 7 times the length made its worker 2.5 times as slow
	typicalStdDev   = 0.15
	speedMemory     = 30 * time.Second // after which an estimate has returned towards typical by 1-1/e
	failurePrior    = 0.05             // failure rate of a worker without samples
	failureWeight   = 2                // of failurePrior, in samples
	failureCost     = 3                // of a failed run, in run times: it is repeated, and an attempt of its task is lost
	outcomeFading   = 0.7              // weight of the earlier outcomes after each new one, so that a worker that was good for long is found out as soon
	hungSlowness    = 1.75             // LogRatio from which a worker is of no use: 6 times as slow as typical
	hungProbability = 0.9
	unfitFailures   = 0.5  // failure rate from which a worker is of no use; three failures of a new worker, five of a proven one
	fitFailures     = 0.33 // failure rate up to which it is used again, after two good probes
)

// Sample is the time that one run takes, compared with the expected run time.
type Sample struct {
	Ratio   LogRatio
	Running bool    // the run has not ended; Ratio is what its progress so far suggests
	AtLeast bool    // it takes at least this long; its progress suggests nothing
	Stalled bool    // its progress stands still; Ratio says nothing
	Weight  float64 // from 0 to 1; less for a run whose task resembles one that was counted
	Lengths *Lengths
}

// Worker is what is known of one worker. The zero value is a worker without samples. It
// is not safe for concurrent use.
type Worker struct {
	slowness     distribution
	known        bool    // slowness is set
	failed, done float64 // runs, fading
	updatedAt    time.Duration
}

// distribution holds the probability of each step of slowness.
type distribution [slownessSteps]float64

var slownessPrior = func() (p distribution) {
	for i := range p {
		p[i] = typicalShare*gauss(float64(stepRatio(i)), typicalStdDev) + (1-typicalShare)/slownessSteps
	}
	p.normalize()
	return p
}()

func stepRatio(i int) LogRatio { return LogRatio(fastest + binWidth*float64(i)) }

func (p *distribution) normalize() {
	sum := 0.0
	for _, x := range p {
		sum += x
	}
	for i := range p {
		p[i] /= sum
	}
}

// update takes in one sample.
func (p *distribution) update(s Sample) {
	s.Ratio = min(s.Ratio, stepRatio(slownessSteps-1)) // beyond it all steps would be as unlikely
	for i := range p {
		x := s.Lengths.likelihood(s, stepRatio(i))
		if s.Weight != 1 {
			x = math.Pow(x, s.Weight)
		}
		p[i] *= x
	}
	p.normalize()
}

// advance lets the estimates return towards typical values.
func (w *Worker) advance(now time.Duration) {
	if !w.known {
		w.slowness, w.known, w.updatedAt = slownessPrior, true, now
	}
	kept := math.Exp(-float64(max(0, now-w.updatedAt)) / float64(speedMemory))
	w.updatedAt = max(w.updatedAt, now)
	for i := range w.slowness {
		w.slowness[i] = kept*w.slowness[i] + (1-kept)*slownessPrior[i]
	}
	w.failed *= kept
	w.done *= kept
}

// AddRun takes in the time of a run that has ended.
func (w *Worker) AddRun(now time.Duration, s Sample) {
	w.advance(now)
	w.slowness.update(s)
}

// AddOutcome takes in whether a run failed. The weight, from 0 to 1, is the probability
// that the worker decided it rather than the task.
func (w *Worker) AddOutcome(now time.Duration, failed bool, weight float64) {
	w.advance(now)
	fading := math.Pow(outcomeFading, weight)
	w.failed *= fading
	w.done *= fading
	if failed {
		w.failed += weight
	} else {
		w.done += weight
	}
}

// UpdatedAt returns when the worker was last observed.
func (w *Worker) UpdatedAt() time.Duration { return w.updatedAt }

// Estimate returns the estimate at a time, given runs that have not ended. These are not
// kept, since they are added once they end.
func (w *Worker) Estimate(now time.Duration, running []Sample) Estimate {
	w.advance(now)
	e := Estimate{slowness: w.slowness, FailureRate: (w.failed + failurePrior*failureWeight) / (w.failed + w.done + failureWeight)}
	for _, s := range running {
		e.slowness.update(s)
	}
	for i, p := range e.slowness {
		r := float64(stepRatio(i))
		e.Mean += LogRatio(p * r)
		e.Variance += p * r * r
		if stepRatio(i) >= hungSlowness {
			e.hung += p
		}
	}
	e.Variance -= float64(e.Mean * e.Mean)
	return e
}

// Estimate is an estimate of the speed and the failure rate of a worker. The zero value
// is that of a typical worker.
type Estimate struct {
	Mean        LogRatio // of its slowness; positive if it takes longer than typical workers
	Variance    float64  // of the logarithm
	FailureRate float64  // of the runs that it starts, from 0 to 1
	slowness    distribution
	hung        float64 // probability that it hardly works at all
}

// Slowness returns the factor by which the worker takes longer than a typical one.
func (e Estimate) Slowness() float64 { return e.Mean.Factor() }

// ExtraTime returns the expected time that a task takes longer than on a typical worker,
// in run times.
func (e Estimate) ExtraTime() float64 {
	return e.Slowness()*(1+failureCost*max(0, e.FailureRate-failurePrior)) - 1
}

// Hung reports whether the worker hardly works at all.
func (e Estimate) Hung() bool { return e.hung >= hungProbability }

// Unfit reports whether the worker is of no use, so that it is only to be probed.
func (e Estimate) Unfit() bool { return e.Hung() || e.FailureRate >= unfitFailures }

// Fit reports whether a worker that was of no use can be used again.
func (e Estimate) Fit() bool { return !e.Hung() && e.FailureRate <= fitFailures }

// EachSlowness calls f with each slowness and its probability.
func (e Estimate) EachSlowness(f func(slowness LogRatio, probability float64)) {
	p := e.slowness
	if p == (distribution{}) {
		p = slownessPrior
	}
	for i, x := range p {
		f(stepRatio(i), x)
	}
}
