package lwrunner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// report makes a report due at once.
func (r *Runner) report(full bool) {
	r.mu.Lock()
	r.full = r.full || full
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	last := r.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.mu.Lock()
			r.full = true
			r.mu.Unlock()
		case <-r.wake:
		}
		if r.clock.Now()-last >= r.interval() {
			r.mu.Lock()
			r.full = true
			r.mu.Unlock()
			last = r.clock.Now()
		}
		pause := r.interval()
		if !r.sendReport(ctx) {
			pause = retryPause
		}
		timer.Reset(pause)
	}
}

// interval returns the time between whole reports.
func (r *Runner) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fast {
		return fastInterval
	}
	return reportInterval
}

// sendReport tells the leader of the worker and takes in what it grants.
func (r *Runner) sendReport(ctx context.Context) bool {
	r.mu.Lock()
	if !r.known {
		r.mu.Unlock()
		return true
	}
	m, newest := r.compose()
	sent := r.clock.Now()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	res, err := r.leader.Report(call, m)
	cancel()
	reportsSent.Add(1)
	if err != nil {
		reportsFailed.Add(1)
		r.decisions.Line("report_unanswered", zap.String("worker", string(m.Info.Life.Worker)), zap.Error(err))
		r.mu.Lock()
		r.refused = append(m.Refused, r.refused...)
		r.full = r.full || m.Full
		r.mu.Unlock()
		return lwfault.KindOf(err) != lwfault.NotLeader && ctx.Err() != nil
	}
	r.grant(m, res, sent, newest)
	return true
}

// compose builds a report; newest is the highest end in it.
func (r *Runner) compose() (m lwdispatch.Report, newest int64) {
	m = lwdispatch.Report{Info: r.info, Token: r.listed, Refused: r.refused, Silent: r.failed >= silentAfter, Gone: r.absent >= goneAfter}
	newest = r.reported
	if r.listed != 0 {
		m.Full = r.full
		m.Age = lwunit.Duration(r.clock.Now() - r.listedAt)
	}
	if m.Full {
		m.Running, m.Clock = r.lists.Running, r.lists.Clock
	}
	for _, e := range r.lists.Ends {
		if m.Full || e.Number > r.reported {
			m.Ends = append(m.Ends, e)
			newest = max(newest, e.Number)
		}
	}
	r.refused = nil
	r.full = false
	return m, newest
}

// grant takes in the leader's answer to a report that was sent at a time.
func (r *Runner) grant(m lwdispatch.Report, res lwlink.ReportReply, sent time.Duration, newest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || r.info.Life != m.Info.Life || res.Token < r.token {
		return
	}
	if m.Token == res.Token {
		r.reported = max(r.reported, newest)
	}
	r.adopt(res.Token, res.Cursor)
	r.fast = res.FastReports
	if res.Lease > 0 && !m.Silent {
		r.deadline = max(r.deadline, sent+res.Lease.Std())
	}
}

// adopt takes in a token and cursor. A higher token comes from a new leader,
// which knows nothing of what the one before was told.
func (r *Runner) adopt(token lwdispatch.Token, cursor int64) {
	if token > r.token {
		r.token = token
		r.reported = 0
		r.full = true
	}
	r.cursor = max(r.cursor, cursor)
}
