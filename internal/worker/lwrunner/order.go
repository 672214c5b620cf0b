package lwrunner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// Orders carries out what the leader orders. It does not wait.
func (r *Runner) Orders(ctx context.Context, m lwlink.AgentOrders) {
	r.mu.Lock()
	if !r.known || m.Life != r.info.Life || m.Token < r.token {
		r.mu.Unlock()
		return
	}
	r.adopt(m.Token, m.Cursor)
	c := Call{m.Life, m.Token}
	r.mu.Unlock()
	for _, w := range m.Orders {
		switch o := w.Order().(type) {
		case lwdispatch.StartRun:
			go r.start(ctx, c, o)
		case lwdispatch.StopRun:
			go r.stop(ctx, c, o)
		case lwdispatch.PaceRun:
			go r.pace(ctx, c, o)
		}
	}
}

// valid reports whether orders under a call's token still count.
func (r *Runner) valid(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known && r.info.Life == c.Life && r.token == c.Token
}

// begin claims an order; a repetition of one under way does nothing.
func (r *Runner) begin(set func() map[runKey]bool, key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := set()
	if m[key] {
		return false
	}
	m[key] = true
	return true
}

func (r *Runner) end(set func() map[runKey]bool, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(set(), key)
}

func (r *Runner) startSet() map[runKey]bool { return r.starting }

func (r *Runner) stopSet() map[runKey]bool { return r.stopping }

// start sends a start until the worker answers. Repeating it is safe: a run
// that is there, or has ended, is not started again.
func (r *Runner) start(ctx context.Context, c Call, o lwdispatch.StartRun) {
	key := runKey{o.Task, o.Run}
	if !r.begin(r.startSet, key) {
		return
	}
	defer r.end(r.startSet, key)
	maybe := o.Repeated // an earlier order may have been carried out, by this process or the one before
	if r.runs(key) {
		return
	}
	for r.valid(c) && ctx.Err() == nil && !r.isStopping(key) {
		if r.draining() {
			r.refuse(ctx, c, o, lwdispatch.RefusedDraining, maybe)
			return
		}
		until, ok := r.leaseForStart()
		if !ok {
			sleep(ctx, orderPause)
			continue
		}
		err := r.call(ctx, func(call context.Context) error { return r.worker.Start(call, c, o, until) })
		refused, isRefusal := errors.AsType[*RefusedError](err)
		switch {
		case err == nil:
			r.decisions.Line("start_carried_out", zap.String("task", string(o.Task)), zap.Uint64("run", uint64(o.Run)), zap.Bool("repeated", maybe))
			r.firstPace(ctx, c, o)
			return
		case isRefusal && refused.Reason == lwdispatch.RefusedLate:
			sleep(ctx, orderPause)
		case isRefusal:
			r.refuse(ctx, c, o, refused.Reason, maybe)
			return
		default:
			maybe = true
			startsRepeat.Add(1)
			sleep(ctx, orderPause)
		}
	}
}

const (
	workerPace   = 100 // percent at which a worker begins a run
	paceAttempts = 3   // to set the pace of a run that has begun
)

// firstPace slows a run that must not begin at full pace.
func (r *Runner) firstPace(ctx context.Context, c Call, o lwdispatch.StartRun) {
	if o.Percent <= 0 || o.Percent >= workerPace {
		return
	}
	for range paceAttempts {
		if r.pace(ctx, c, lwdispatch.PaceRun{Task: o.Task, Run: o.Run, Percent: o.Percent}) {
			return
		}
		sleep(ctx, orderPause)
	}
}

// runs reports whether the worker lists a run.
func (r *Runner) runs(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.lists.Running {
		if row.Task == key.task && row.Run == key.run {
			return true
		}
	}
	return false
}

func (r *Runner) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info.Draining
}

func (r *Runner) isStopping(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, blocked := r.blocked[key]
	return blocked || r.stopping[key]
}

// leaseForStart returns the lease to send with a start, if enough is left.
func (r *Runner) leaseForStart() (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline-r.clock.Now() < leastLease || r.failed >= silentAfter {
		return 0, false
	}
	u := r.until()
	return u, u != 0
}

// call makes one call to the worker within the bounds on time and number.
func (r *Runner) call(ctx context.Context, f func(context.Context) error) error {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.slots }()
	startsSent.Add(1)
	began := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(call)
	startLatency.Observe(r.clock.Now() - began)
	return err
}

// refuse reports that a run was refused. If an earlier try got no answer, that
// one may still be carried out, so the run is blocked first.
func (r *Runner) refuse(ctx context.Context, c Call, o lwdispatch.StartRun, why lwdispatch.RefusalReason, maybe bool) {
	r.decisions.Line("start_refused", zap.String("task", string(o.Task)), zap.Uint64("run", uint64(o.Run)), zap.String("reason", string(why)), zap.Bool("tried_before", maybe))
	if maybe || why == lwdispatch.RefusedOld {
		r.stop(ctx, c, lwdispatch.StopRun{Task: o.Task, Run: o.Run})
		return
	}
	r.mu.Lock()
	if r.info.Life == c.Life {
		r.refused = append(r.refused, lwdispatch.Refusal{Task: o.Task, Run: o.Run, Reason: why})
	}
	r.mu.Unlock()
	r.report(false)
}

// stop sends a stop until the worker answers, and then looks whether the run
// was there at all.
func (r *Runner) stop(ctx context.Context, c Call, o lwdispatch.StopRun) {
	key := runKey{o.Task, o.Run}
	if !r.begin(r.stopSet, key) {
		return
	}
	defer r.end(r.stopSet, key)
	for r.valid(c) && ctx.Err() == nil {
		err := r.call(ctx, func(call context.Context) error { return r.worker.Stop(call, c, o) })
		if _, refused := errors.AsType[*RefusedError](err); refused {
			return
		}
		if err != nil {
			sleep(ctx, orderPause)
			continue
		}
		r.mu.Lock()
		r.blocked[key] = r.clock.Now()
		r.mu.Unlock()
		if _, err := r.hold(ctx, 0); err != nil {
			r.decisions.Line("stop_unconfirmed", zap.String("task", string(o.Task)), zap.Error(err)) // the next hold tells
		}
		return
	}
}

// pace limits a run. A pace that is lost is ordered again by the next report
// that shows another.
func (r *Runner) pace(ctx context.Context, c Call, o lwdispatch.PaceRun) (done bool) {
	if !r.valid(c) {
		return true // another leader's affair
	}
	if err := r.call(ctx, func(call context.Context) error { return r.worker.Pace(call, c, o) }); err != nil {
		r.decisions.Line("pace_unconfirmed", zap.String("task", string(o.Task)), zap.Int("percent", o.Percent), zap.Error(err))
		return false
	}
	return true
}
