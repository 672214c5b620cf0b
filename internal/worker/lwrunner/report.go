package lwrunner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// requestReport makes a report due at once.
func (r *Runner) requestReport(full bool) {
	r.mu.Lock()
	r.fullReportDue = r.fullReportDue || full
	r.mu.Unlock()
	select {
	case r.reportDue <- struct{}{}:
	default:
	}
}

func (r *Runner) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	lastFullDue := r.clock.Now() // when the interval last made a full report due; requested reports, which restart the timer, do not count
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.mu.Lock()
			r.fullReportDue = true
			r.mu.Unlock()
		case <-r.reportDue:
		}
		if r.clock.Now()-lastFullDue >= r.interval() {
			r.mu.Lock()
			r.fullReportDue = true
			r.mu.Unlock()
			lastFullDue = r.clock.Now()
		}
		pause := r.interval()
		if !r.sendReport(ctx) {
			pause = reportRetryPause
		}
		timer.Reset(pause)
	}
}

// interval returns the time between full reports.
func (r *Runner) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fastReports {
		return fastReportInterval
	}
	return reportInterval
}

// sendReport sends one report to the leader and applies the reply. It returns
// false if the report must be repeated soon.
func (r *Runner) sendReport(ctx context.Context) bool {
	r.mu.Lock()
	if !r.announced {
		r.mu.Unlock()
		return true
	}
	m, newest := r.buildReport()
	sentAt := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, r.reportTimeout)
	r.mu.Unlock()
	res, err := r.leader.Report(call, m)
	cancel()
	reportsSent.Add(1)
	r.adjustReportTimeout(r.clock.Now()-sentAt, err)
	if err != nil {
		reportsFailed.Add(1)
		r.decisions.Info("report_unanswered", zap.String("worker", string(m.Info.Incarnation.Worker)), zap.Error(err))
		r.mu.Lock()
		r.refusals = append(m.Refused, r.refusals...)
		r.fullReportDue = r.fullReportDue || m.Complete
		r.mu.Unlock()
		return lwfault.KindOf(err) != lwfault.NotLeader && ctx.Err() != nil
	}
	r.applyReply(m, res, sentAt, newest)
	return true
}

// adjustReportTimeout sets the timeout of the next report to twice the time of the
// last reply, or doubles it if there was none in time. A leader with too much to do
// thus gets the time that it needs, and less to do than if reports were given up and
// sent again.
func (r *Runner) adjustReportTimeout(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.reportTimeout = 2 * took
	case lwfault.KindOf(err) == lwfault.Timeout:
		r.reportTimeout *= 2
	}
	r.reportTimeout = min(max(r.reportTimeout, minReportTimeout), maxReportTimeout)
}

// buildReport returns the report that is due; newest is the number of the
// highest end that the leader has once it receives the report. The caller holds
// mu.
func (r *Runner) buildReport() (m lwdispatch.Report, newest int64) {
	m = lwdispatch.Report{Info: r.info, Token: r.listsToken, Refused: r.refusals, Unresponsive: r.failedPolls >= unresponsiveAfterPolls || r.ended, ProcessEnded: r.replacedByOtherID, Fenced: r.fenced, Answered: r.answered, KnowsCrashes: true, Crashes: slices.Clone(r.crashes)}
	newest = r.reportedEnd
	if r.listsToken != 0 {
		m.Complete = r.fullReportDue
		m.ListsAge = lwunit.Duration(r.clock.Now() - r.listsRequestedAt)
	}
	m.Clock = r.lists.Clock
	if m.Complete {
		m.Running = r.lists.Running
	}
	for _, e := range r.lists.Ends {
		if m.Complete || e.Number > r.reportedEnd {
			m.Ends = append(m.Ends, e)
			newest = max(newest, e.Number)
		}
	}
	r.refusals = nil
	r.fullReportDue = false
	return m, newest
}

// applyReply applies the leader's reply to a report; sentAt is when the report
// was sent. The lease counts from then, so it ends here no later than at the
// leader.
func (r *Runner) applyReply(m lwdispatch.Report, res lwlink.ReportReply, sentAt time.Duration, newest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropRecorded(res.CrashesRecorded)
	if !r.announced || r.info.Incarnation != m.Info.Incarnation || res.Token < r.token {
		return
	}
	if m.Token == res.Token {
		r.reportedEnd = max(r.reportedEnd, newest)
	}
	r.adoptToken(res.Token, res.Cursor)
	r.fastReports = res.FastReports
	if r.evacuated != res.Evacuated {
		r.evacuated = res.Evacuated
		r.log.Info("domain of the worker", zap.String("worker", string(r.info.Incarnation.Worker)), zap.String("domain", string(r.info.Domain)), zap.Bool("evacuated", r.evacuated))
	}
	if res.Lease > 0 && !m.Unresponsive {
		r.leaseDeadline = max(r.leaseDeadline, sentAt+res.Lease.Std())
	}
}

// adoptToken applies the token and cursor of a leader's message. A higher token
// comes from a new leader, or from one that had given the worker up. Neither
// holds the runs and ends reported before, so all of them are reported again. The
// caller holds mu.
func (r *Runner) adoptToken(token lwdispatch.Token, cursor int64) {
	if token > r.token {
		r.token = token
		r.maxToken = max(r.maxToken, token)
		r.reportedEnd = 0
		r.fullReportDue = true
	}
	r.cursor = max(r.cursor, cursor)
}
