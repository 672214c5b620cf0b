package lwspeed

import "time"

const (
	minProgress   = 5                       // percent from which progress tells the speed of a run
	fullProgress  = 100                     // percent
	stallMargin   = 1200 * time.Millisecond // two intervals between reports of an agent
	stallFraction = 0.05                    // of the run time without any change of the progress, after which a run has stalled
)

// Progress follows the reported progress of one run, in percent of the work of its task.
// It goes by the progress since its first mark, so that a resumed run is measured by
// what it does itself.
type Progress struct {
	begun        bool
	startedAt    time.Duration
	startPercent int
	percent      int
	changedAt    time.Duration
}

// Begin sets the time and progress from which the run is measured.
func (p *Progress) Begin(at time.Duration, percent int) {
	*p = Progress{begun: true, startedAt: at, changedAt: at, startPercent: percent, percent: percent}
}

// Report takes in the progress as of a time.
func (p *Progress) Report(at time.Duration, percent int) {
	if !p.begun {
		p.Begin(at, percent)
	}
	if percent > p.percent {
		p.percent, p.changedAt = percent, max(at, p.changedAt)
	}
}

// Percent returns the progress that was last reported.
func (p *Progress) Percent() int { return p.percent }

// Speed returns the time that all work of the task takes at the speed of this run until its
// progress last changed, or 0 while too little is known, and the time since then.
func (p *Progress) Speed(now time.Duration) (total, since time.Duration) {
	if done := time.Duration(p.percent - p.startPercent); done >= minProgress {
		total = (p.changedAt - p.startedAt) * fullProgress / done
	}
	return total, now - p.changedAt
}

// StalledFor returns for how long the progress has not changed, or 0 if the steps of the
// progress and the times of the reports explain that. Until the run has made some
// progress, its task is taken to be as long as the tail of the expected time.
func (p *Progress) StalledFor(now, expected time.Duration) time.Duration {
	still := now - p.changedAt
	if !p.begun || p.percent >= fullProgress {
		return 0
	}
	total, _ := p.Speed(now)
	if total == 0 {
		total = tailFactor * expected
	}
	if still <= stallMargin+time.Duration(stallFraction*float64(total)) {
		return 0
	}
	return still
}
