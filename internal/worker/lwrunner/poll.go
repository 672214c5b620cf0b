package lwrunner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// workerLeaseEnd converts the end of the granted lease to the worker's clock.
// On the worker the lease ends no later than leaseDeadline. Zero means that no
// lease is left to renew, or that the worker's clock is not known yet. The caller
// holds mu.
func (r *Runner) workerLeaseEnd() LeaseEnd {
	remaining := r.leaseDeadline - r.clock.Now()
	if r.clockReceivedAt == 0 || remaining <= 0 {
		return 0
	}
	span := time.Duration(float64(r.leaseDeadline-r.clockReceivedAt) * minWorkerClockRate)
	return LeaseEnd(r.lists.Clock.Add(span))
}

// pollLoop polls the worker until ctx ends. Each poll reads its lists and renews
// its lease.
func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready := r.announced && r.token != 0
		r.mu.Unlock()
		if !ready {
			sleep(ctx, pollPause)
			continue
		}
		newEnd, err := r.poll(ctx, r.pollWait())
		switch {
		case err != nil:
			r.askAgain()
			sleep(ctx, orderRetryPause)
		case !newEnd:
			sleep(ctx, pollPause)
		}
	}
}

// pollWait returns how long the worker may wait for an end before it answers.
func (r *Runner) pollWait() time.Duration {
	if r.interval() == fastReportInterval {
		return fastReportInterval
	}
	return maxPollWait
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// poll makes one long poll and applies the lists that it returns. It reports
// whether they hold an end that was not known.
func (r *Runner) poll(ctx context.Context, wait time.Duration) (newEnd bool, err error) {
	r.mu.Lock()
	c := Call{r.info.Incarnation, r.token}
	r.mu.Unlock()
	connect, cancel := context.WithTimeout(ctx, workerCallTimeout)
	conn, err := r.pollConns.acquire(connect, c)
	cancel()
	pollsDone.Add(1)
	if err != nil {
		return false, r.pollFailed(c, err)
	}
	lists, sentAt, err := r.pollOn(ctx, conn.Conn, c, wait)
	r.pollConns.release(conn, err)
	if err != nil {
		return false, r.pollFailed(c, err)
	}
	r.noteAnswer(c, nil)
	newEnd = r.applyLists(c, lists, sentAt)
	open, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	r.orderConns.ensureOpen(open, c)
	return newEnd, nil
}

// pollOn makes one long poll on a connection of the incarnation of c, and returns when it was
// sent.
func (r *Runner) pollOn(ctx context.Context, conn Conn, c Call, wait time.Duration) (lists RunLists, sentAt time.Duration, err error) {
	r.mu.Lock()
	until, cursor := r.workerLeaseEnd(), r.cursor
	if r.failedPolls >= unresponsiveAfterPolls {
		until = 0 // the leader counts the lease of an unresponsive worker as not renewed
	}
	if r.listsToken != r.token {
		wait = 0 // a new leader needs the lists at once
	}
	if r.hasRecentRepeats() {
		wait = 0 // a start that is sent again while the poll waits would make its lists useless
	}
	if r.info.Incarnation != c.Incarnation || r.token != c.Token {
		until, cursor, wait = 0, 0, 0 // they belong to the next incarnation or a later leader
	}
	sentAt = r.clock.Now()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, wait+workerCallTimeout)
	defer cancel()
	lists, err = conn.Poll(call, c, until, cursor, wait)
	if err == nil && lists.ofOther(c.Incarnation) {
		err = errOtherIncarnation
	}
	if err == nil && wait == 0 {
		pollLatency.Observe(r.clock.Now() - sentAt)
	}
	return lists, sentAt, err
}

// pollFailed notes that a poll has failed, and returns the error.
func (r *Runner) pollFailed(c Call, err error) error {
	pollsFailed.Add(1)
	r.noteAnswer(c, err)
	r.recordPollFailure(c, err)
	return err
}

func (r *Runner) recordPollFailure(c Call, err error) {
	refused, ok := errors.AsType[*RefusedError](err)
	r.mu.Lock()
	if ok && refused.Reason == lwdispatch.RefusedFence && r.token == c.Token {
		r.fullReportDue = true
	}
	if r.info.Incarnation != c.Incarnation {
		r.mu.Unlock()
		return
	}
	r.failedPolls++
	nowUnresponsive := r.failedPolls == unresponsiveAfterPolls
	r.fenced = ok && refused.Reason == lwdispatch.RefusedFence
	if _, connRefused := errors.AsType[*ConnRefusedError](err); connRefused {
		r.refusedConns++
	} else {
		r.refusedConns = 0
	}
	nowGone := r.refusedConns == goneAfterRefusals
	nowEnded := r.holdsNothing() && !r.endNoted
	if nowEnded {
		r.noteCrash("its runs have ended and it does not answer")
	}
	contact := r.lastContact()
	r.mu.Unlock()
	if nowGone {
		r.log.Warn("worker is gone", append(contact, zap.Error(err))...)
	}
	if nowEnded {
		r.requestReport(true)
	}
	if nowUnresponsive {
		r.log.Warn("worker does not answer", append(contact, zap.Error(err))...)
		r.requestReport(true)
	}
}

// holdsNothing reports whether nothing runs on a worker that cannot be reached. Refused
// connections show that nothing listens, not that nothing runs, so unless a worker with another
// id answers at its address its lease must have ended. The caller holds mu.
func (r *Runner) holdsNothing() bool {
	return r.replacedByOtherID || (r.refusedConns >= goneAfterRefusals && r.leaseDeadline > 0 && r.clock.Now() >= r.leaseDeadline)
}

// lastContact returns the fields of a log line about a worker that cannot be reached: the
// time since its last answer, what is left of its lease and how many runs it last listed.
// The caller holds mu.
func (r *Runner) lastContact() []zap.Field {
	now := r.clock.Now()
	return []zap.Field{
		zap.String("worker", string(r.info.Incarnation.Worker)), zap.Duration("last_answer", now-r.answeredAt),
		zap.Duration("lease_left", max(0, r.leaseDeadline-now)), zap.Int("runs", len(r.lists.Running)),
	}
}

// applyLists applies the lists that a poll returned; sentAt is when the poll was
// sent.
func (r *Runner) applyLists(c Call, lists RunLists, sentAt time.Duration) (newEnd bool) {
	r.mu.Lock()
	if c.Incarnation != r.info.Incarnation || lists.ofOther(c.Incarnation) || r.mayBeOlder(lists, sentAt) || r.precedesRepeat(lists, sentAt) {
		r.mu.Unlock()
		return false
	}
	wasUnresponsive, wasGone := r.failedPolls >= unresponsiveAfterPolls, r.refusedConns >= goneAfterRefusals
	r.failedPolls, r.refusedConns, r.endNoted, r.fenced = 0, 0, false, false
	r.answered, r.unanswered = r.answered || lists.StartedAt == c.Incarnation.StartedAt, nil
	for _, e := range lists.Ends {
		key := runKey{e.End.Task, e.End.Run}
		if !r.knownEnds[key] {
			r.knownEnds[key] = true
			newEnd = true
		}
	}
	newToken := r.listsToken != c.Token
	r.lists, r.listsToken, r.listsRequestedAt, r.clockReceivedAt = lists, c.Token, sentAt, r.clock.Now()
	r.updateHeld()
	r.noteShown()
	foundRefusal := r.findBlocked(sentAt)
	leaseLeft, cursor := max(0, r.leaseDeadline-r.clock.Now()), r.cursor
	r.mu.Unlock()
	if newToken {
		first, last := endNumbers(lists.Ends)
		r.log.Info("worker lists read", zap.String("worker", string(c.Incarnation.Worker)), zap.Uint64("token", uint64(c.Token)), zap.Duration("lease_left", leaseLeft),
			zap.Int("runs", len(lists.Running)), zap.Int("ends", len(lists.Ends)), zap.Int64("first_end", first), zap.Int64("last_end", last), zap.Int64("cursor", cursor))
	}
	if wasUnresponsive {
		r.log.Info("worker answers again", zap.String("worker", string(c.Incarnation.Worker)), zap.Bool("was_gone", wasGone), zap.Int("runs", len(lists.Running)))
	}
	if newEnd || newToken || foundRefusal || wasUnresponsive {
		r.requestReport(newToken || wasUnresponsive)
	}
	return newEnd
}

// endNumbers returns the lowest and the highest number of ends, or 0 without any.
func endNumbers(ends []lwdispatch.NumberedEnd) (lowest, highest int64) {
	for i, e := range ends {
		if highest = max(highest, e.Number); i == 0 || e.Number < lowest {
			lowest = e.Number
		}
	}
	return lowest, highest
}

// mayBeOlder reports whether the lists that a poll sent at sentAt has returned may be
// older than the lists at hand. The worker's clock does not order two answers of the same
// millisecond; those to a poll that was sent after the other answer had arrived are
// newer. The caller holds mu.
func (r *Runner) mayBeOlder(lists RunLists, sentAt time.Duration) bool {
	return lists.Clock < r.lists.Clock || (lists.Clock == r.lists.Clock && sentAt < r.clockReceivedAt)
}

// precedesRepeat reports whether lists show a run whose start was sent again after the poll
// that returned them. The copy may have gone to the next incarnation with the same id, and
// the leader would release the run by what the earlier one has listed. The caller holds mu.
func (r *Runner) precedesRepeat(lists RunLists, sentAt time.Duration) bool {
	if len(r.repeatedAt) == 0 {
		return false
	}
	repeatedLater := func(t lwunit.TaskID, run lwjob.RunID) bool {
		at, ok := r.repeatedAt[runKey{t, run}]
		return ok && sentAt < at
	}
	return slices.ContainsFunc(lists.Running, func(s lwdispatch.RunStatus) bool { return repeatedLater(s.Task, s.Run) }) ||
		slices.ContainsFunc(lists.Ends, func(e lwdispatch.NumberedEnd) bool { return repeatedLater(e.End.Task, e.End.Run) })
}

// hasRecentRepeats reports whether a poll in flight may have been sent before a start was sent
// again. It forgets those that no poll in flight can precede. The caller holds mu.
func (r *Runner) hasRecentRepeats() bool {
	now := r.clock.Now()
	maps.DeleteFunc(r.repeatedAt, func(_ runKey, at time.Duration) bool { return now-at > maxPollWait+workerCallTimeout })
	return len(r.repeatedAt) > 0
}

// noteShown notes the runs that the lists show. The caller holds mu.
func (r *Runner) noteShown() {
	for _, s := range r.lists.Running {
		r.shown[runKey{s.Task, s.Run}] = true
		delete(r.repeatedAt, runKey{s.Task, s.Run})
	}
	for _, e := range r.lists.Ends {
		r.shown[runKey{e.End.Task, e.End.Run}] = true
		delete(r.repeatedAt, runKey{e.End.Task, e.End.Run})
	}
}

// findBlocked adds a refusal for each stopped run that is not in progress and never will
// be: lists requested after the stop was answered show neither the run nor its end. The end
// may have been recorded and forgotten, if the leader has taken an earlier report for a later
// one. It reports whether there was one. The caller holds mu.
func (r *Runner) findBlocked(sentAt time.Duration) bool {
	if len(r.stopAnsweredAt) == 0 || r.lists.MoreEnds {
		return false
	}
	running, ended := make(map[runKey]bool, len(r.lists.Running)), make(map[runKey]bool, len(r.lists.Ends))
	for _, s := range r.lists.Running {
		running[runKey{s.Task, s.Run}] = true
	}
	for _, e := range r.lists.Ends {
		ended[runKey{e.End.Task, e.End.Run}] = true
	}
	found := false
	for key, answeredAt := range r.stopAnsweredAt {
		if sentAt < answeredAt || running[key] {
			continue
		}
		delete(r.stopAnsweredAt, key)
		if ended[key] {
			delete(r.refusalReasons, key)
			continue
		}
		r.refusals = append(r.refusals, lwdispatch.Refusal{Task: key.task, Run: key.run, Reason: r.reasonOf(key)})
		r.blocked[key] = true
		delete(r.unblocked, key)
		delete(r.repeatedAt, key)
		found = true
	}
	return found
}

// reasonOf returns, and forgets, why a run was stopped: the reason for which its start was
// refused, or RefusedStopped. The caller holds mu.
func (r *Runner) reasonOf(key runKey) lwdispatch.RefusalReason {
	reason, ok := r.refusalReasons[key]
	if !ok {
		return lwdispatch.RefusedStopped
	}
	delete(r.refusalReasons, key)
	return reason
}
