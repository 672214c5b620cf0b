// Package lwspeculation decides when a second run of a task pays, which of two runs to
// stop, and when it pays to stop a run and resume it elsewhere.
//
// A run takes the length of its task times the slowness of its worker. Only the second
// part is better elsewhere. A forecast therefore weighs all combinations of both that
// agree with what is known of the run: a long task on a typical worker gains nothing by a
// copy, and a run whose progress shows when it ends, at a typical speed, neither.
//
// The package does no I/O and reads no clock.
package lwspeculation

import (
	"math"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwspeed"
)

const (
	fullProgress = 100                    // percent
	minGain      = 150 * time.Millisecond // below it, delays of orders and reports outweigh the gain
	minGainRatio = 0.25                   // of the gain to the time for which the copy uses capacity, also where that is idle
	startDelay   = 50 * time.Millisecond  // from the decision to the beginning of a run
	stopDelay    = 200 * time.Millisecond // from the decision to stop a run until its end is known
	clearlyLater = 2                      // ratio of two forecasts from which one of two runs is not worth its capacity
	copiesShare  = 0.25                   // copies for each run, at most
	minCopies    = 2                      // that are always allowed
)

// Run is what is known of a run that has not ended.
type Run struct {
	Age      time.Duration    // since its start; less if a leader has adopted it
	Expected time.Duration    // run time of tasks of its kind on a typical worker
	Total    time.Duration    // time that all of its work takes at its speed so far, without standstills; 0 if unknown
	Percent  int              // of the work of its task that is done
	Since    time.Duration    // since Percent was reported
	Stalled  time.Duration    // for which it has stood still, if nothing else explains that
	Resumes  time.Duration    // mean loss of a new run that resumes from its checkpoint; 0 if it cannot
	Worker   lwspeed.Estimate // of its worker, without this run
	Lengths  *lwspeed.Lengths // of the tasks of its queue
}

// hypothesis is a combination of length and slowness that agrees with what is known.
type hypothesis struct {
	weight float64
	left   time.Duration // until the run ends
	again  time.Duration // that a new run takes on a typical worker
}

// Forecast is the expected course of a run, and of a new run of the same task.
type Forecast struct{ hypotheses []hypothesis }

// Forecast returns the forecast of a run.
func (r Run) Forecast() Forecast {
	var f Forecast
	r.Worker.EachSlowness(func(slowness lwspeed.LogRatio, p float64) {
		if r.Total > 0 {
			length := lwspeed.LogRatioOf(r.Total, r.Expected) - slowness
			f.add(p*r.Lengths.Probability(length), r.leftByProgress(), r.again(length))
			return
		}
		r.Lengths.Each(func(length lwspeed.LogRatio, q float64) {
			total := scale(r.Expected, slowness+length)
			switch {
			case r.Stalled > 0:
				f.add(p*q, r.Stalled+total, r.again(length))
			case total > r.Age:
				f.add(p*q, total-r.Age, r.again(length))
			}
		})
	})
	f.normalize()
	if len(f.hypotheses) == 0 { // older than any run is expected to get
		f.add(1, r.Age, r.again(0))
	}
	return f
}

// leftByProgress returns the time left of a run whose progress is known. One that stands
// still is expected to do so for as long again as it has.
func (r Run) leftByProgress() time.Duration {
	left := r.Total * time.Duration(fullProgress-r.Percent) / fullProgress
	if r.Stalled > 0 {
		return left + r.Stalled
	}
	return max(0, left-r.Since)
}

// again returns the time that a new run of a task of some length takes on a typical worker.
func (r Run) again(length lwspeed.LogRatio) time.Duration {
	whole := scale(r.Expected, length)
	if r.Resumes <= 0 {
		return whole
	}
	return min(whole, whole*time.Duration(fullProgress-r.Percent)/fullProgress+r.Resumes)
}

func scale(t time.Duration, r lwspeed.LogRatio) time.Duration {
	return time.Duration(float64(t) * r.Factor())
}

func (f *Forecast) add(weight float64, left, again time.Duration) {
	if weight > 0 {
		f.hypotheses = append(f.hypotheses, hypothesis{weight, left, again})
	}
}

func (f *Forecast) normalize() {
	sum := 0.0
	for _, h := range f.hypotheses {
		sum += h.weight
	}
	for i := range f.hypotheses {
		f.hypotheses[i].weight /= sum
	}
}

// mean returns the mean of a time over the hypotheses.
func (f Forecast) mean(of func(hypothesis) time.Duration) time.Duration {
	sum := 0.0
	for _, h := range f.hypotheses {
		sum += h.weight * float64(of(h))
	}
	return time.Duration(math.Round(sum))
}

// Left returns the expected time until the run ends.
func (f Forecast) Left() time.Duration {
	return f.mean(func(h hypothesis) time.Duration { return h.left })
}

// Again returns the expected time that a new run takes on a typical worker.
func (f Forecast) Again() time.Duration {
	return f.mean(func(h hypothesis) time.Duration { return h.again })
}

// Copy returns the expected time that a copy on a worker of some slowness saves, and the
// time for which it uses capacity. The first of the two runs to end counts.
func (f Forecast) Copy(slowness float64) (gain, use time.Duration) {
	again := func(h hypothesis) time.Duration {
		return time.Duration(float64(h.again)*slowness) + startDelay
	}
	gain = f.mean(func(h hypothesis) time.Duration { return max(0, h.left-again(h)) })
	use = f.mean(func(h hypothesis) time.Duration { return min(h.left, again(h)) })
	return gain, use
}

// CopyPays reports whether a copy is worth its capacity, of which a share from 0 to 1 is in
// use. Idle capacity costs little; where all of it is used, a copy must save as much
// time as it uses.
func CopyPays(gain, use time.Duration, busy float64) bool {
	return gain >= minGain && float64(gain) >= max(minGainRatio, busy)*float64(use)
}

// RestartPays reports whether a run should be stopped and resumed on a worker of some
// slowness, given the mean loss of an interruption, which is 0 if unknown. The loss is part of
// Again if the run has a checkpoint.
func RestartPays(f Forecast, slowness float64, loss time.Duration) bool {
	if loss <= 0 {
		return false
	}
	again := time.Duration(float64(f.Again())*slowness) + startDelay + stopDelay
	gain := f.Left() - again
	return gain >= max(minGain, loss) && float64(gain) >= minGainRatio*float64(again)
}

// Decision says what to do with two runs of a task while another task waits.
type Decision uint8

// The decisions.
const (
	KeepBoth Decision = iota
	StopFirst
	StopSecond
)

// Weaker decides which of two runs is not worth the capacity that another task waits for:
// the one that is expected to end clearly later.
func Weaker(first, second Forecast) Decision {
	a, b := first.Left(), second.Left()
	switch {
	case a >= clearlyLater*b+minGain:
		return StopFirst
	case b >= clearlyLater*a+minGain:
		return StopSecond
	default:
		return KeepBoth
	}
}

// MaxCopies returns how many copies may run beside a number of runs. If many workers stall
// at once, copies of all their runs would leave no room for what comes next.
func MaxCopies(runs int) int { return max(minCopies, int(copiesShare*float64(runs))) }

// AttemptsAllow reports whether a second run may start for a task whose failed runs count
// up to a limit: both of them may fail.
func AttemptsAllow(failed, limit int) bool { return failed+2 <= limit }
