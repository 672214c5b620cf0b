// Package lwspeed learns how fast workers are compared with others, and which part of
// what they start fails.
//
// The time that a run takes is the product of the length of its task and the slowness of
// its worker. Lengths holds the distribution of the lengths of one queue, which has a
// heavy tail; Worker holds a distribution of the slowness of one worker. By Bayes'
// theorem a single run that takes long is most likely a long task, while runs of several
// jobs that take long on one worker show that the worker is slow. Both estimates
// return towards typical values with time.
//
// The package does no I/O and reads no clock.
package lwspeed

import (
	"math"
	"time"
)

// LogRatio is the natural logarithm of a ratio of two times.
type LogRatio float64

// LogRatioOf returns the logarithm of the ratio of a time to the expected one. Times below
// a millisecond count as one.
func LogRatioOf(t, expected time.Duration) LogRatio {
	return LogRatio(math.Log(max(t, time.Millisecond).Seconds() / max(expected, time.Millisecond).Seconds()))
}

// Factor returns the ratio itself.
func (r LogRatio) Factor() float64 { return math.Exp(float64(r)) }

const (
	binWidth     = 0.25 // of a LogRatio
	lengthBins   = 29
	shortest     = -3.0 // LogRatio of the first bin
	priorStdDev  = 0.5  // of the length: declared times are off by half
	tailShare    = 0.03 // tasks in one that are much longer than their kind
	tailFactor   = 7    // by which they are longer
	priorWeight  = 20   // in samples
	maxWeight    = 300  // samples that are remembered
	minDensity   = 1e-3 // of a bin, so that no sample rules out any slowness
	uniformShare = 0.02 // of the prior that is spread over all bins
	stallRate    = 0.02 // of runs that stand still by their own fault, on a worker that does not hang
)

// Lengths is the distribution of the lengths of the tasks of a queue, as LogRatio to
// their expected run times on a typical worker. Old samples fade. It is not safe for concurrent use.
type Lengths struct {
	weights    [lengthBins]float64
	samples    float64
	meanLength float64 // cache of the mean of the lengths themselves; 0 if not computed
}

var lengthPrior = func() (p [lengthBins]float64) {
	sum := 0.0
	for i := range p {
		x := float64(binRatio(i))
		p[i] = (1-tailShare)*gauss(x, priorStdDev) + tailShare*gauss(x-math.Log(tailFactor), priorStdDev) + uniformShare/lengthBins
		sum += p[i]
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}()

// gauss returns the part of a normal distribution that is in the bin around x.
func gauss(x, stdDev float64) float64 {
	return binWidth / (stdDev * math.Sqrt(2*math.Pi)) * math.Exp(-x*x/(2*stdDev*stdDev))
}

func binRatio(i int) LogRatio { return LogRatio(shortest + binWidth*float64(i)) }

func binOf(r LogRatio) int {
	return min(max(int(math.Round((float64(r)-shortest)/binWidth)), 0), lengthBins-1)
}

// Add adds the length of one task.
func (l *Lengths) Add(r LogRatio) {
	if l.samples >= maxWeight {
		for i := range l.weights {
			l.weights[i] *= 1 - 1/float64(maxWeight)
		}
		l.samples -= l.samples / maxWeight
	}
	l.meanLength = 0
	l.weights[binOf(r)]++
	l.samples++
}

// probability returns the probability of a bin.
func (l *Lengths) probability(i int) float64 {
	return (l.weights[i] + priorWeight*lengthPrior[i]) / (l.samples + priorWeight)
}

// Each calls f with each length and its probability.
func (l *Lengths) Each(f func(length LogRatio, probability float64)) {
	for i := range lengthBins {
		f(binRatio(i), l.probability(i))
	}
}

// Probability returns the probability of a length, to the width of a bin.
func (l *Lengths) Probability(r LogRatio) float64 { return max(minDensity, l.probability(binOf(r))) }

// Typical returns the median length.
func (l *Lengths) Typical() LogRatio {
	sum := 0.0
	for i := range lengthBins {
		if sum += l.probability(i); sum >= 0.5 {
			return binRatio(i)
		}
	}
	return 0
}

// likelihood returns how likely a sample is on a worker of a given slowness. Of the runs
// that have not ended at some time, long ones are more than of those that end: a task of
// 7 times the length is seen 7 times as long.
func (l *Lengths) likelihood(s Sample, slowness LogRatio) float64 {
	if s.Stalled {
		if slowness >= hungSlowness {
			return 1
		}
		return stallRate
	}
	i := binOf(s.Ratio - slowness)
	if !s.Running {
		return max(minDensity, l.probability(i))
	}
	if !s.AtLeast {
		return max(minDensity, l.runningProbability(i))
	}
	sum := 0.0
	for ; i < lengthBins; i++ {
		sum += l.runningProbability(i)
	}
	return max(minDensity, sum)
}

// runningProbability returns the probability of a bin among runs that have not ended.
func (l *Lengths) runningProbability(i int) float64 {
	if l.meanLength == 0 {
		for i := range lengthBins {
			l.meanLength += l.probability(i) * binRatio(i).Factor()
		}
	}
	return l.probability(i) * binRatio(i).Factor() / l.meanLength
}
