package lwrunner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

// until maps the granted lease to the worker's clock: it ends there no later
// than the deadline on this one. Zero means that there is nothing to grant.
func (r *Runner) until() Lease {
	left := r.deadline - r.clock.Now()
	if r.clockAt == 0 || left <= 0 {
		return 0
	}
	span := time.Duration(float64(r.deadline-r.clockAt) * workerRate)
	return Lease(r.lists.Clock.Add(span))
}

// holdLoop keeps asking the worker what it runs, renewing its lease.
func (r *Runner) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready := r.known && r.token != 0
		r.mu.Unlock()
		if !ready {
			sleep(ctx, holdPause)
			continue
		}
		news, err := r.hold(ctx, r.holdWait())
		switch {
		case err != nil:
			sleep(ctx, orderPause)
		case !news:
			sleep(ctx, holdPause)
		}
	}
}

// holdWait returns how long the worker may wait for an end before it answers.
func (r *Runner) holdWait() time.Duration {
	if r.interval() == fastInterval {
		return fastInterval
	}
	return holdWait
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hold makes one hold call and takes in its lists. It reports whether they
// held an end that was not known.
func (r *Runner) hold(ctx context.Context, wait time.Duration) (news bool, err error) {
	r.mu.Lock()
	c := Call{r.info.Life, r.token}
	until, cursor := r.until(), r.cursor
	if r.failed >= silentAfter {
		until = 0 // the leader has been told that the lease is not renewed
	}
	if r.listed != r.token {
		wait = 0 // a new leader waits for the lists
	}
	sent := r.clock.Now()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	lists, err := r.worker.Hold(call, c, until, cursor, wait)
	cancel()
	holdsDone.Add(1)
	if err != nil {
		holdsFailed.Add(1)
		r.noteHoldFailure(c, err)
		return false, err
	}
	if wait == 0 {
		holdLatency.Observe(r.clock.Now() - sent)
	}
	return r.take(c, lists, sent), nil
}

func (r *Runner) noteHoldFailure(c Call, err error) {
	refused, ok := errors.AsType[*RefusedError](err)
	r.mu.Lock()
	if ok && refused.Reason == lwdispatch.RefusedFence && r.token == c.Token {
		r.full = true
	}
	r.failed++
	first := r.failed == silentAfter
	if _, gone := errors.AsType[*GoneError](err); gone && r.info.Life == c.Life {
		r.absent++
	} else {
		r.absent = 0
	}
	gone := r.absent == goneAfter
	r.mu.Unlock()
	if gone {
		r.log.Warn("worker is gone", zap.String("worker", string(c.Life.Worker)), zap.Error(err))
		r.report(true)
	}
	if first {
		r.log.Warn("worker does not answer", zap.String("worker", string(c.Life.Worker)), zap.Error(err))
		r.report(true)
	}
}

// take takes in lists that a call sent at a time returned.
func (r *Runner) take(c Call, lists Lists, sent time.Duration) (news bool) {
	r.mu.Lock()
	if c.Life != r.info.Life || (lists.Born != 0 && lists.Born != c.Life.Born) || lists.Clock < r.lists.Clock {
		r.mu.Unlock()
		return false // of another life, or overtaken by newer lists
	}
	back := r.failed >= silentAfter
	r.failed, r.absent = 0, 0
	for _, e := range lists.Ends {
		key := runKey{e.End.Task, e.End.Run}
		if !r.ended[key] {
			r.ended[key] = true
			news = true
		}
	}
	whole := r.listed != c.Token
	r.lists, r.listed, r.listedAt, r.clockAt = lists, c.Token, sent, r.clock.Now()
	refusals := r.settleBlocked(sent)
	r.mu.Unlock()
	if back {
		r.log.Info("worker answers again", zap.String("worker", string(c.Life.Worker)))
	}
	if news || whole || refusals || back {
		r.report(whole || back)
	}
	return news
}

// settleBlocked finds the stopped runs that never began: a list that was read
// after the stop was answered shows neither them nor their end.
func (r *Runner) settleBlocked(sent time.Duration) bool {
	if len(r.blocked) == 0 {
		return false
	}
	running := make(map[runKey]bool, len(r.lists.Running))
	for _, row := range r.lists.Running {
		running[runKey{row.Task, row.Run}] = true
	}
	found := false
	for key, at := range r.blocked {
		switch {
		case sent < at || running[key]:
		case r.ended[key]:
			delete(r.blocked, key)
		default:
			delete(r.blocked, key)
			r.refused = append(r.refused, lwdispatch.Refusal{Task: key.task, Run: key.run, Reason: lwdispatch.RefusedBlocked})
			found = true
		}
	}
	return found
}
