// Package lwblame tells tasks that crash the workers that start them from tasks that
// only ran beside one, or on a worker that crashed for another reason.
//
// Each crash of a worker has one cause: one of the tasks that ran there, or something
// else. A task of the first kind crashes every worker, most likely soon after its
// start; other causes strike at any time, at a rate that is estimated from the crashes
// that no task explains. Bayes' theorem turns this into odds for each task. They grow
// fast for a task that is lost again and again shortly after its start, with few
// other suspects beside it, and hardly for one that is lost late or in company.
//
// The package does no I/O and reads no clock.
package lwblame

import (
	"math"
	"time"
)

// Odds are the odds that a task crashes each worker that starts it.
type Odds float64

// PriorOdds are the odds for a task under which no worker has crashed.
const PriorOdds Odds = 1e-4

const maxOdds Odds = 1e6

// Probability returns the probability that the odds stand for, from 0 to 1.
func (o Odds) Probability() float64 { return float64(o / (1 + o)) }

// Evidence is the factor by which one crash changes the odds for a task.
type Evidence float64

// Crash is one crash of a worker from the point of view of a task that ran there.
type Crash struct {
	Age      time.Duration // of the task's run when the worker crashed
	AtMost   bool          // the worker may have crashed earlier
	Evidence Evidence
}

// Weigh returns the odds for a task that is lost in these crashes, in the order in
// which they happened. A crash much later after the start than the ones before shows
// that the task did not cause those: it has outlived them.
func Weigh(crashes []Crash) Odds {
	odds, oldest := PriorOdds, time.Duration(0)
	for i, x := range crashes {
		if i > 0 && !x.AtMost && x.Age > OutlivedAfter(oldest) {
			odds, oldest = PriorOdds, 0
		}
		odds *= Odds(x.Evidence)
		oldest = max(oldest, x.Age)
	}
	return min(max(odds, PriorOdds), maxOdds)
}

const (
	outlivedFactor = 2
	outlivedMargin = 500 * time.Millisecond
)

// OutlivedAfter returns how long a run must last to show that its task did not cause
// crashes at the given age.
func OutlivedAfter(age time.Duration) time.Duration { return outlivedFactor*age + outlivedMargin }

const (
	ageResolution = 20 * time.Millisecond // error of an age: a start takes time to be carried out, and a crash to be seen
	maxCrashAge   = 10 * time.Minute      // later crashes are hardly the fault of a task
)

// crashDensity returns the probability density, for each second, that a task that
// crashes its workers does so at an age. It is inversely proportional to the age,
// since nothing is known of the scale.
func crashDensity(age time.Duration) float64 {
	return 1 / ((age + ageResolution).Seconds() * math.Log(float64(maxCrashAge/ageResolution)))
}

const (
	initialCrashes  = 0.5             // with initialExposure the rate that is assumed before any crash was seen
	initialExposure = 100.0           // seconds that workers ran
	exposureMemory  = 2 * time.Minute // after which an observed crash or span counts 1/e
)

// Background estimates the rate of crashes that no task causes. Its zero value is
// ready for use; it is not safe for concurrent use.
type Background struct {
	crashes  float64
	exposure float64 // seconds that workers ran
}

// Observe adds a span of time in which a number of workers ran.
func (b *Background) Observe(span time.Duration, workers int) {
	decay := math.Exp(-float64(span) / float64(exposureMemory))
	b.crashes *= decay
	b.exposure = b.exposure*decay + span.Seconds()*float64(workers)
}

// rateWithout returns the expected crashes of one worker in a second, without a number
// of observed ones.
func (b *Background) rateWithout(crashes int) float64 {
	return (initialCrashes + max(0, b.crashes-float64(crashes))) / (initialExposure + b.exposure)
}

// Suspect is a task, or a gang, that ran on a worker when it crashed.
type Suspect struct {
	Odds    Odds
	Age     time.Duration // of its run
	Crashes int           // of other workers under it
}

// Explain returns the evidence of one crash against each of the suspects, and counts
// the crash as a background crash as far as none of them explains it. The evidence
// against a suspect rests on a rate without the crashes under the suspect itself, which
// would otherwise excuse it.
func (b *Background) Explain(suspects []Suspect) []Evidence {
	sum := 0.0
	for _, s := range suspects {
		sum += s.weight()
	}
	list := make([]Evidence, len(suspects))
	for i, s := range suspects {
		others := max(0, sum-s.weight()) // rounding may leave less than nothing
		list[i] = Evidence(crashDensity(s.Age) / (b.rateWithout(s.Crashes) + others))
	}
	rate := b.rateWithout(0)
	b.crashes += rate / (rate + sum)
	return list
}

// weight returns how likely the suspect causes a crash now, for each second.
func (s Suspect) weight() float64 { return float64(s.Odds) * crashDensity(s.Age) }

const (
	minCrashes        = 2              // under which a task is not given up
	giveUpProbability = 0.98           // from which a task is given up
	maxCrashes        = 5              // after which a task that is more likely to blame than not is given up
	apartOdds         = 0.05           // from which a task is kept apart from other tasks when it starts
	suspiciousOdds    = 30 * PriorOdds // from which it matters where a task starts next
)

// GiveUp reports whether a task under which a number of workers have crashed is to be
// given up.
func GiveUp(o Odds, crashes int) bool {
	switch p := o.Probability(); {
	case crashes < minCrashes:
		return false
	case crashes >= maxCrashes:
		return p >= 0.5
	default:
		return p >= giveUpProbability
	}
}

// Suspicious reports whether a task is to start where few other suspicious ones have just
// started, so that a crash tells them apart.
func Suspicious(o Odds) bool { return o >= suspiciousOdds }

// Apart reports whether a task is to start while no other task starts on its worker,
// so that a crash shows whether it is to blame.
func Apart(o Odds) bool { return o >= apartOdds }
