package lwrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

const (
	reportInterval = 400 * time.Millisecond // between whole reports; a tenth of the usual lease
	briskInterval  = 150 * time.Millisecond // the same while the leader watches tails
	reportTimeout  = 600 * time.Millisecond // for the leader's answer; several round trips
	retryPause     = 50 * time.Millisecond  // after a report that found no leader
	callTimeout    = 300 * time.Millisecond // for an answer of the worker, which is on the same machine
	holdWait       = 500 * time.Millisecond // for an end; short, since it also delays the cursor
	holdPause      = 25 * time.Millisecond  // between holds that bring nothing new
	orderPause     = 100 * time.Millisecond // before an order without an answer is repeated
	leastLease     = 150 * time.Millisecond // left of the lease for a start to be worth sending
	silentAfter    = 3                      // holds without an answer until the worker counts as silent
	workerRate     = 0.98                   // least rate of the worker's clock against this one
	linesPerSecond = 200                    // of one kind in the decision log
	parallelOrders = 6                      // calls to the worker at one time, beside the hold
)

var (
	reportsSent   = lwmetric.Counter("runner_reports_total")
	reportsFailed = lwmetric.Counter("runner_reports_failed_total")
	holdsDone     = lwmetric.Counter("runner_holds_total")
	holdsFailed   = lwmetric.Counter("runner_holds_failed_total")
	startsSent    = lwmetric.Counter("runner_starts_total")
	startsRepeat  = lwmetric.Counter("runner_starts_repeated_total")
	startLatency  = lwmetric.NewHistogram("runner_start_latency")
	holdLatency   = lwmetric.NewHistogram("runner_hold_latency")
)

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// Runner serves one worker at a time.
type Runner struct {
	name      string
	worker    Worker
	leader    Leader
	log       *zap.Logger
	decisions *lwlog.Limited
	clock     lwclock.Clock
	wake      chan struct{} // a report is due
	slots     chan struct{} // bounds parallel orders

	mu       sync.Mutex
	info     lwdispatch.WorkerInfo
	past     map[lwjob.WorkerLife]bool // lives that are over
	known    bool                      // a worker has announced itself
	seq      int64                     // of its newest announcement
	token    lwdispatch.Token          // of the leader that answered last
	deadline time.Duration             // end of the lease that the leader granted
	cursor   int64
	lists    Lists
	listed   lwdispatch.Token // token under which lists was read; 0 before
	listedAt time.Duration
	clockAt  time.Duration // when lists.Clock was received
	failed   int           // holds in a row without an answer
	reported int64         // highest end that the leader has been told of
	ended    map[runKey]bool
	refused  []lwdispatch.Refusal
	starting map[runKey]bool          // orders being carried out
	stopping map[runKey]bool          // the same for stops
	blocked  map[runKey]time.Duration // stops that were answered, and when
	full     bool                     // the next report must be whole
	brisk    bool                     // the leader wants figures sooner
}

// New returns a runner for the agent of that name.
func New(name string, w Worker, l Leader, log *zap.Logger) *Runner {
	r := &Runner{
		name: name, worker: w, leader: l, log: log, decisions: lwlog.Limit(log, linesPerSecond), clock: lwclock.New(),
		wake: make(chan struct{}, 1), slots: make(chan struct{}, parallelOrders), past: make(map[lwjob.WorkerLife]bool),
	}
	r.reset()
	return r
}

// reset forgets everything about the worker life before.
func (r *Runner) reset() {
	r.token, r.deadline, r.cursor, r.failed, r.reported = 0, 0, 0, 0, 0
	r.lists, r.listed, r.listedAt, r.clockAt = Lists{}, 0, 0, 0
	r.ended = make(map[runKey]bool)
	r.refused = nil
	r.starting = make(map[runKey]bool)
	r.stopping = make(map[runKey]bool)
	r.blocked = make(map[runKey]time.Duration)
}

// Run serves until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { r.holdLoop(ctx) })
	done.Go(func() { r.reportLoop(ctx) })
	done.Wait()
}

// Announce takes what a worker says of itself; seq rises with each
// announcement of a life. An older life or announcement changes nothing.
func (r *Runner) Announce(info lwdispatch.WorkerInfo, seq int64) {
	info.Agent = r.name
	r.mu.Lock()
	switch {
	case !r.known || info.Life != r.info.Life:
		if r.past[info.Life] || (r.known && info.Life.Born < r.info.Life.Born) {
			r.mu.Unlock()
			return
		}
		if r.known {
			r.past[r.info.Life] = true
		}
		r.reset()
		r.known, r.info, r.seq = true, info, seq
		r.log.Info("worker announced", zap.String("worker", string(info.Life.Worker)), zap.Int64("born", int64(info.Life.Born)))
	case seq <= r.seq:
		r.mu.Unlock()
		return
	default:
		if info.Draining != r.info.Draining {
			r.log.Info("worker drains", zap.String("worker", string(info.Life.Worker)), zap.Bool("draining", info.Draining))
		}
		info.Draining = info.Draining || r.info.Draining
		r.info, r.seq = info, seq
	}
	r.mu.Unlock()
	r.report(true)
}

// Leave notes that the worker has ended.
func (r *Runner) Leave(id lwunit.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && r.info.Life.Worker == id {
		r.info.Draining = true
		r.log.Info("worker left", zap.String("worker", string(id)))
	}
}

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
	if r.brisk {
		return briskInterval
	}
	return reportInterval
}

// holdWait returns how long the worker may wait for an end before it answers.
func (r *Runner) holdWait() time.Duration {
	if r.interval() == briskInterval {
		return briskInterval
	}
	return holdWait
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
	m = lwdispatch.Report{Info: r.info, Token: r.listed, Refused: r.refused, Silent: r.failed >= silentAfter}
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
	r.brisk = res.Brisk
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
	r.mu.Unlock()
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
	r.failed = 0
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
func (r *Runner) stopSet() map[runKey]bool  { return r.stopping }

// start sends a start until the worker answers. Repeating it is safe: a run
// that is there, or has ended, is not started again.
func (r *Runner) start(ctx context.Context, c Call, o lwdispatch.StartRun) {
	key := runKey{o.Task, o.Run}
	if !r.begin(r.startSet, key) {
		return
	}
	defer r.end(r.startSet, key)
	maybe := false
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
func (r *Runner) pace(ctx context.Context, c Call, o lwdispatch.PaceRun) {
	if !r.valid(c) {
		return
	}
	if err := r.call(ctx, func(call context.Context) error { return r.worker.Pace(call, c, o) }); err != nil {
		r.decisions.Line("pace_unconfirmed", zap.String("task", string(o.Task)), zap.Int("percent", o.Percent), zap.Error(err))
	}
}

// Announced reports whether a worker has announced itself.
func (r *Runner) Announced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}
