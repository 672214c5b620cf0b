package lwrunner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// HandleOrders carries out the leader's orders in the background. Orders for
// another incarnation of the worker, or from an earlier leader, are ignored.
func (r *Runner) HandleOrders(ctx context.Context, m lwlink.AgentOrders) {
	r.mu.Lock()
	if !r.announced || m.Incarnation != r.info.Incarnation || m.Token < r.token {
		r.mu.Unlock()
		return
	}
	r.adoptToken(m.Token, m.Cursor)
	c := Call{m.Incarnation, m.Token}
	r.mu.Unlock()
	for _, encoded := range m.Orders {
		switch o := encoded.Order().(type) {
		case lwdispatch.StartRun:
			go r.start(ctx, c, o, m.Capacity)
		case lwdispatch.StopRun:
			go r.stop(ctx, c, o)
		case lwdispatch.LimitRunCPU:
			go r.limitCPU(ctx, c, o)
		}
	}
}

// isCurrent reports whether a call still addresses the worker's current
// incarnation with the token of the current leader.
func (r *Runner) isCurrent(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced && r.info.Incarnation == c.Incarnation && r.token == c.Token && !r.ended
}

// claimOrder adds a run to a set of orders in progress. It returns false if the
// run is in it already, so that a repeated order is carried out once. The set is
// passed as a function because a new incarnation replaces the maps.
func (r *Runner) claimOrder(set func() map[runKey]bool, key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := set()
	if m[key] {
		return false
	}
	m[key] = true
	return true
}

func (r *Runner) releaseOrder(set func() map[runKey]bool, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(set(), key)
}

func (r *Runner) startsInProgress() map[runKey]bool { return r.starting }

func (r *Runner) stopsInProgress() map[runKey]bool { return r.stopping }

// start sends a start until the worker carries it out or refuses it for another
// reason than an expired lease. Repeating it is safe: the worker does not start a
// run again that is in progress or has ended. assumed is the capacity of the worker on
// which the order rests.
func (r *Runner) start(ctx context.Context, c Call, o lwdispatch.StartRun, assumed lwunit.Resources) {
	key := runKey{o.Task, o.Run}
	if !r.claimOrder(r.startsInProgress, key) {
		return
	}
	defer r.releaseOrder(r.startsInProgress, key)
	mayHaveStarted := o.Repeated // this process or its predecessor may have sent a start that was or will be carried out
	for r.isCurrent(c) && ctx.Err() == nil && !r.stopRequested(key) && !r.wasShown(key) && !r.refuseBlocked(ctx, c, key) {
		if r.isDraining() {
			r.handleRefusal(ctx, c, o, lwdispatch.RefusedDraining, mayHaveStarted)
			return
		}
		if r.isEvacuated() {
			r.handleRefusal(ctx, c, o, lwdispatch.RefusedEvacuated, mayHaveStarted)
			return
		}
		if r.hasShrunk(assumed) {
			r.handleRefusal(ctx, c, o, lwdispatch.RefusedNoCapacity, mayHaveStarted)
			return
		}
		until, ok := r.leaseForStart(c)
		if !ok {
			sleep(ctx, orderRetryPause)
			continue
		}
		err := r.callWorker(ctx, c, func(call context.Context, conn Conn) error {
			var sendable bool
			if mayHaveStarted, sendable = r.prepareStart(c, key, mayHaveStarted); !sendable {
				return errNotSendable
			}
			return conn.Start(call, c, o, until)
		})
		if errors.Is(err, errNotSendable) {
			continue // the conditions of the loop tell why
		}
		r.noteAnswer(c, err)
		_, notSent := errors.AsType[*notSentError](err)
		if !notSent {
			r.startAnswered(c, key, err, mayHaveStarted)
		}
		refused, isRefusal := errors.AsType[*RefusedError](err)
		switch {
		case err == nil:
			r.decisions.Info("start_carried_out", zap.String("task", string(o.Task)), zap.Uint64("run", uint64(o.Run)), zap.Bool("repeated", mayHaveStarted))
			r.limitCPUAtStart(ctx, c, o)
			return
		case isRefusal && refused.Reason == lwdispatch.RefusedLeaseExpired:
			sleep(ctx, orderRetryPause)
		case isRefusal:
			r.handleRefusal(ctx, c, o, refused.Reason, mayHaveStarted)
			return
		case notSent:
			sleep(ctx, orderRetryPause)
		default:
			mayHaveStarted = true
			startsRepeated.Add(1)
			sleep(ctx, orderRetryPause)
		}
	}
}

// errNotSendable means that a start was not sent, since something has become known of its run or
// of the worker while it waited for its turn.
var errNotSendable = errors.New("the start must not be sent any more")

const (
	fullCPUPercent   = 100 // of its declared processors, with which a worker begins a run
	cpuLimitAttempts = 3   // to limit a run; after them the worker counts as not answering
)

// limitCPUAtStart limits a run that must not begin with its full CPU share.
func (r *Runner) limitCPUAtStart(ctx context.Context, c Call, o lwdispatch.StartRun) {
	if o.CPUPercent > 0 && o.CPUPercent < fullCPUPercent {
		r.limitCPU(ctx, c, lwdispatch.LimitRunCPU{Task: o.Task, Run: o.Run, CPUPercent: o.CPUPercent})
	}
}

// wasShown reports whether lists of the worker have shown a run, in progress or ended. The
// leader may have released it since, and the next incarnation with the same id would begin it
// anew.
func (r *Runner) wasShown(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown[key]
}

func (r *Runner) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info.Draining
}

// refuseBlocked reports the refusal of a run again if it was reported before, as the leader
// may have ordered it again meanwhile. The next incarnation with the same id would not know
// that it is blocked.
func (r *Runner) refuseBlocked(ctx context.Context, c Call, key runKey) bool {
	r.mu.Lock()
	again, unblocked := r.info.Incarnation == c.Incarnation && r.blocked[key], r.unblocked[key]
	if again {
		r.refusals = append(r.refusals, lwdispatch.Refusal{Task: key.task, Run: key.run, Reason: lwdispatch.RefusedStopped, Unblocked: unblocked})
	}
	r.mu.Unlock()
	if again {
		r.requestReport(false)
	}
	if again && unblocked {
		r.stop(ctx, c, lwdispatch.StopRun{Task: key.task, Run: key.run}) // the leader may not take the refusal
	}
	return again
}

// isEvacuated reports whether the leader has said that the domain of the worker is
// evacuated. An agent that was not told so yet, because its reports are not answered,
// starts nothing once its lease has ended.
func (r *Runner) isEvacuated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evacuated
}

// hasShrunk reports whether the worker has announced less capacity than a leader
// assumed when it ordered a start. The leader will have heard of it when it places the
// task again.
func (r *Runner) hasShrunk(assumed lwunit.Resources) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !assumed.Fits(r.info.Capacity)
}

// stopRequested reports whether a run is being stopped, or its stop was answered
// and no later lists show the outcome yet.
func (r *Runner) stopRequested(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, answered := r.stopAnsweredAt[key]
	return answered || r.stopping[key]
}

// leaseForStart returns the lease to send with a start. It returns false while
// too little is left of it or the worker is unresponsive, and once the lease is that of a later
// token or incarnation.
func (r *Runner) leaseForStart(c Call) (LeaseEnd, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation != c.Incarnation || r.token != c.Token {
		return 0, false
	}
	if r.leaseDeadline-r.clock.Now() < minLeaseForStart || r.failedPolls >= unresponsiveAfterPolls {
		return 0, false
	}
	end := r.workerLeaseEnd()
	return end, end != 0
}

// callWorker makes one call to the incarnation of the worker that c names, bounded in time and in
// the number of parallel calls.
func (r *Runner) callWorker(ctx context.Context, c Call, f func(context.Context, Conn) error) error {
	select {
	case r.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.orderSlots }()
	ordersSent.Add(1)
	began := r.clock.Now()
	err := r.orderConns.withConn(ctx, c, workerCallTimeout, f)
	orderLatency.Observe(r.clock.Now() - began)
	return err
}

// handleRefusal stops a run whose start was refused, which keeps it from beginning by
// another copy of the order: the leader starts the task elsewhere once it learns of the
// refusal. The lists read after the stop show how the run ended, or that it never began,
// which is then reported with the reason. A worker that has received a higher token takes
// no stop either; the leader keeps the run and raises its token. A start that was tried
// before is reported as stopped, whatever the reason of the last refusal.
func (r *Runner) handleRefusal(ctx context.Context, c Call, o lwdispatch.StartRun, reason lwdispatch.RefusalReason, mayHaveStarted bool) {
	r.decisions.Info("start_refused", zap.String("task", string(o.Task)), zap.Uint64("run", uint64(o.Run)), zap.String("reason", string(reason)), zap.Bool("tried_before", mayHaveStarted))
	r.mu.Lock()
	current := r.info.Incarnation == c.Incarnation
	switch {
	case !current:
	case reason == lwdispatch.RefusedFence && mayHaveStarted:
		// A leader of an older version would release the run.
	case reason == lwdispatch.RefusedFence:
		r.refusals = append(r.refusals, lwdispatch.Refusal{Task: o.Task, Run: o.Run, Reason: reason})
	case !mayHaveStarted && reason != lwdispatch.RefusedSuperseded:
		r.refusalReasons[runKey{o.Task, o.Run}] = reason
	}
	r.mu.Unlock()
	if reason == lwdispatch.RefusedFence {
		r.requestReport(false)
		return
	}
	r.stop(ctx, c, lwdispatch.StopRun{Task: o.Task, Run: o.Run})
}

// stop sends a stop until the worker answers. A worker that is unhealthy may refuse it for
// a while. Unless the worker refused it, stop then reads the worker's lists, which show
// whether the run had begun at all.
func (r *Runner) stop(ctx context.Context, c Call, o lwdispatch.StopRun) {
	key := runKey{o.Task, o.Run}
	if !r.claimOrder(r.stopsInProgress, key) {
		return
	}
	defer r.releaseOrder(r.stopsInProgress, key)
	for r.isCurrent(c) && ctx.Err() == nil {
		err := r.callWorker(ctx, c, func(call context.Context, conn Conn) error { return conn.Stop(call, c, o) })
		r.noteAnswer(c, err)
		if refused, ok := errors.AsType[*RefusedError](err); ok && (refused.Reason != lwdispatch.RefusedUnhealthy || refused.OtherIncarnation || r.refuseUnblocked(c, key)) {
			return
		}
		if err != nil {
			sleep(ctx, orderRetryPause)
			continue
		}
		r.mu.Lock()
		current := r.info.Incarnation == c.Incarnation
		if current {
			r.stopAnsweredAt[key] = r.clock.Now()
		}
		r.mu.Unlock()
		if !current {
			return // the stop has blocked the run on an earlier incarnation only
		}
		if _, err := r.poll(ctx, 0); err != nil {
			r.decisions.Info("stop_unconfirmed", zap.String("task", string(o.Task)), zap.Error(err)) // the next poll settles it
		}
		return
	}
}

// refuseUnblocked reports a run as refused that an unhealthy worker neither starts nor stops.
// Its start was sent once and refused, and this process sends no copy of it. It returns false
// for a run that may have begun, which must be stopped.
func (r *Runner) refuseUnblocked(c Call, key runKey) bool {
	r.mu.Lock()
	reason, ok := r.refusalReasons[key]
	ok = ok && r.info.Incarnation == c.Incarnation
	if ok {
		delete(r.refusalReasons, key)
		r.blocked[key], r.unblocked[key] = true, true
		r.refusals = append(r.refusals, lwdispatch.Refusal{Task: key.task, Run: key.run, Reason: reason, Unblocked: true})
	}
	r.mu.Unlock()
	if ok {
		r.requestReport(false)
	}
	return ok
}

// limitCPU limits a run to a percentage of its declared processors. It repeats a
// call without an answer, unless a newer limit was ordered for the run.
func (r *Runner) limitCPU(ctx context.Context, c Call, o lwdispatch.LimitRunCPU) {
	key := runKey{o.Task, o.Run}
	r.mu.Lock()
	r.limitOrders++
	order := r.limitOrders
	r.newestLimit[key] = order
	r.mu.Unlock()
	for range cpuLimitAttempts {
		if !r.isCurrent(c) || !r.isNewestLimit(key, order) {
			return
		}
		err := r.callWorker(ctx, c, func(call context.Context, conn Conn) error { return conn.LimitCPU(call, c, o) })
		r.noteAnswer(c, err)
		if err == nil {
			break
		}
		r.decisions.Info("pace_unconfirmed", zap.String("task", string(o.Task)), zap.Int("percent", o.CPUPercent), zap.Error(err))
		sleep(ctx, orderRetryPause)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestLimit[key] == order {
		delete(r.newestLimit, key)
	}
}

func (r *Runner) isNewestLimit(key runKey, order int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestLimit[key] == order
}
