package lwrunner_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/worker/lwrunner"
)

const (
	maxHold           = 10000 // longest lease that a worker accepts, in milliseconds
	heartbeatInterval = 500 * time.Millisecond
	maxStopTime       = 300 * time.Millisecond
)

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// machine has an agent and a worker whose incarnations follow each other. All machines
// share the lock of the schedule.
type machine struct {
	s            *schedule
	name         string
	agent        *agent
	worker       *incarnation // nil while none is up
	incarnations int
	refusesConns bool // connections to its worker are refused
	dark         bool // it has no power: calls time out
	refusal      lwdispatch.RefusalReason
	lateCalls    bool
	slowAnswers  bool
	cutOff       bool // its agent from the leader
	millicores   lwunit.Millicores
	lives        []lwjob.WorkerIncarnation // all incarnations, the newest last
	silentUntil  time.Time                 // its worker answers no call
	defersCalls  bool                      // while it is silent
	withoutBeats bool                      // its worker sends no heartbeat
}

// incarnation is a worker that follows the worker protocol.
type incarnation struct {
	m        *machine
	id       lwjob.WorkerIncarnation
	booted   time.Time
	offset   lwunit.Millis
	rate     float64
	up       bool
	silent   bool // its end closes no connection
	draining bool
	seq      int64
	token    lwdispatch.Token
	until    lwunit.Millis
	lapses   int // rises while the lease has ended
	running  map[runKey]*activeRun
	ends     []lwdispatch.NumberedEnd
	lastEnd  int64
	blocked  map[lwunit.TaskID]lwjob.RunID // highest run that was stopped or has ended
}

type activeRun struct {
	begunAt  time.Time
	endsAt   time.Time
	how      lwjob.EndKind
	stopping bool
}

// boot starts an incarnation. The caller holds the lock.
func (m *machine) boot(id lwunit.WorkerID) {
	m.incarnations++
	rng := m.s.rng("boot", m.name)
	w := &incarnation{
		m: m, booted: time.Now(), offset: lwunit.Millis(rng.IntN(200)), rate: 0.98 + 0.02*rng.Float64(), up: true,
		running: make(map[runKey]*activeRun), blocked: make(map[lwunit.TaskID]lwjob.RunID),
		id: lwjob.WorkerIncarnation{Worker: id, StartedAt: lwunit.Millis(time.Now().UnixMilli())},
	}
	m.worker, m.lives = w, append(m.lives, w.id)
	m.s.logf("%s: worker %v is up", m.name, w.id)
	firstBeat := between(rng, time.Millisecond, 10*time.Millisecond)
	if m.s.on(lateHeartbeats) {
		firstBeat = between(rng, time.Millisecond, time.Second)
	}
	m.s.after(firstBeat, w.heartbeat)
}

func (w *incarnation) heartbeat() {
	w.m.s.mu.Lock()
	if !w.up {
		w.m.s.mu.Unlock()
		return
	}
	w.seq++
	seq, info := w.seq, w.info()
	a := w.m.agent
	if w.m.withoutBeats {
		a = nil
	}
	rng := w.m.s.rng("heartbeat", w.m.name)
	w.m.s.mu.Unlock()
	if a != nil {
		a.announce(info, seq)
	}
	w.m.s.after(between(rng, heartbeatInterval*9/10, heartbeatInterval*11/10), w.heartbeat)
}

func (w *incarnation) info() lwdispatch.WorkerInfo {
	return lwdispatch.WorkerInfo{
		Incarnation: w.id, Service: "press", Domain: "a", Draining: w.draining, DrainTimeLeft: lwunit.Duration(2 * time.Second),
		Capacity: lwunit.Resources{Millicores: w.m.millicores, Memory: 64 * lwunit.GiB},
	}
}

func (w *incarnation) clock() lwunit.Millis {
	return w.offset + lwunit.Millis(float64(time.Since(w.booted))*w.rate/float64(time.Millisecond))
}

// settle ends the runs that have ended by now. The caller holds the lock.
func (w *incarnation) settle() {
	if w.clock() >= w.until {
		w.lapses++
		for key, r := range w.running {
			w.m.s.logf("%s: %s/%d lapses", w.id.Worker, key.task, key.run)
			r.how, r.endsAt = lwjob.EndLeaseExpired, time.Now()
		}
	}
	for key, r := range w.running {
		if r.how != "" && !time.Now().Before(r.endsAt) {
			w.end(key, r.how)
		}
	}
}

func (w *incarnation) end(key runKey, how lwjob.EndKind) {
	w.m.s.logf("%s: %s/%d ends %s", w.id.Worker, key.task, key.run, how)
	delete(w.running, key)
	w.lastEnd++
	w.blocked[key.task] = max(w.blocked[key.task], key.run)
	w.ends = append(w.ends, lwdispatch.NumberedEnd{Number: w.lastEnd, End: lwjob.End{Task: key.task, Run: key.run, How: how}})
	if how == lwjob.EndDone {
		w.m.s.tasks[key.task].done(w, w.lastEnd)
	}
}

func (w *incarnation) renew(until lwrunner.LeaseEnd) {
	w.until = max(w.until, min(lwunit.Millis(until), w.clock()+maxHold))
}

func refuse(reason lwdispatch.RefusalReason) error { return &lwrunner.RefusedError{Reason: reason} }

func (w *incarnation) start(c lwrunner.Call, o lwdispatch.StartRun, until lwrunner.LeaseEnd) error {
	key := runKey{o.Task, o.Run}
	switch {
	case w.m.refusal == lwdispatch.RefusedUnhealthy:
		return refuse(lwdispatch.RefusedUnhealthy)
	case c.Token < w.token:
		return refuse(lwdispatch.RefusedFence)
	}
	w.token = c.Token
	if lwunit.Millis(until) <= w.clock() {
		return refuse(lwdispatch.RefusedLeaseExpired)
	}
	w.renew(until)
	switch {
	case w.running[key] != nil:
		return nil
	case o.Run <= w.blocked[o.Task]:
		return refuse(lwdispatch.RefusedSuperseded)
	case w.m.refusal != "":
		return refuse(w.m.refusal)
	}
	r := &activeRun{begunAt: time.Now()}
	if t := w.m.s.tasks[o.Task]; t.length > 0 {
		r.how, r.endsAt = lwjob.EndDone, time.Now().Add(t.length)
	}
	w.running[key] = r
	w.m.s.checkStart(w, key)
	return nil
}

func (w *incarnation) stop(c lwrunner.Call, o lwdispatch.StopRun) error {
	switch {
	case w.m.refusal == lwdispatch.RefusedUnhealthy:
		return refuse(lwdispatch.RefusedUnhealthy)
	case c.Token < w.token:
		return refuse(lwdispatch.RefusedFence)
	}
	w.token = c.Token
	w.blocked[o.Task] = max(w.blocked[o.Task], o.Run)
	if r := w.running[runKey{o.Task, o.Run}]; r != nil && !r.stopping {
		end := time.Now().Add(between(w.m.s.rng("stop", w.m.name), 0, maxStopTime))
		if r.how == "" || end.Before(r.endsAt) {
			r.stopping, r.how, r.endsAt = true, lwjob.EndStopped, end
		}
	}
	return nil
}

// lists returns the lists of the worker; no order of their rows is promised.
func (w *incarnation) lists() lwrunner.RunLists {
	l := lwrunner.RunLists{Clock: w.clock(), StartedAt: w.id.StartedAt, Ends: slices.Clone(w.ends)}
	for key := range w.running {
		l.Running = append(l.Running, lwdispatch.RunStatus{Task: key.task, Run: key.run})
	}
	w.m.s.rng("ends", w.m.name).Shuffle(len(l.Ends), func(i, j int) { l.Ends[i], l.Ends[j] = l.Ends[j], l.Ends[i] })
	return l
}

// client connects one agent process to the worker on its machine.
type client struct {
	m *machine
	a *agent
}

// conn is a connection that an incarnation has accepted, or none because the machine had no power.
type conn struct {
	m *machine
	a *agent
	w *incarnation
}

// Connect opens a connection to the incarnation that is up.
func (p client) Connect(ctx context.Context) (lwrunner.Conn, error) {
	s := p.m.s
	p.a.awaitThaw("connect")
	s.mu.Lock()
	rng := s.rng("connect", p.m.name)
	s.mu.Unlock()
	if !sleep(ctx, between(rng, 50*time.Microsecond, time.Millisecond)) {
		return nil, timedOut(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case p.m.dark:
		return &conn{p.m, p.a, nil}, nil
	case p.m.refusesConns || p.m.worker == nil:
		return nil, &lwrunner.ConnRefusedError{Cause: errRefused}
	}
	return &conn{p.m, p.a, p.m.worker}, nil
}

func (p *conn) Usable() bool { return true }

func (p *conn) Close() {}

func timedOut(ctx context.Context) error {
	return &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no answer", Cause: ctx.Err()}
}

var (
	errReset   = lwfault.New(lwfault.Unknown, "connection reset")
	errRefused = lwfault.New(lwfault.Unknown, "connection refused")
)

// call carries out a call, maybe after its caller has given it up, and returns the
// answer.
func (p *conn) call(ctx context.Context, c lwrunner.Call, label string, carryOut func(w *incarnation) error) error {
	p.a.awaitThaw(label)
	if ctx.Err() != nil {
		return timedOut(ctx)
	}
	return await(ctx, p.a, label, p.deliver(c, label, carryOut), func() error { return timedOut(ctx) })
}

// deliver carries out a call and delivers the answer, if there is any. A late call may be carried
// out by a later incarnation with the same id.
func (p *conn) deliver(c lwrunner.Call, label string, carryOut func(w *incarnation) error) <-chan error {
	s := p.m.s
	s.mu.Lock()
	rng := s.rng("call", p.m.name, label)
	arrival, answer := between(rng, 100*time.Microsecond, 2*time.Millisecond), between(rng, 100*time.Microsecond, 2*time.Millisecond)
	late := p.m.lateCalls && rng.IntN(3) == 0
	if late {
		arrival = between(rng, 10*time.Millisecond, 12*time.Second)
	}
	if p.m.slowAnswers && rng.IntN(2) == 0 {
		answer = between(rng, time.Millisecond, 280*time.Millisecond)
	}
	s.mu.Unlock()
	result := make(chan error, 1)
	s.after(arrival, func() {
		s.mu.Lock()
		defers := p.m.defersCalls
		s.mu.Unlock()
		if defers && !s.awaitVoice(s.ctx, p.m, label) {
			return
		}
		s.mu.Lock()
		w := p.m.worker
		var err error
		switch {
		case p.m.dark, p.w == nil && !late:
			s.mu.Unlock()
			return // nothing answers
		case w == nil, !late && (w != p.w || p.m.refusesConns):
			err = errReset
		case w.id.Worker != c.Incarnation.Worker:
			err = &lwrunner.RefusedError{Reason: lwdispatch.RefusedUnhealthy, OtherIncarnation: true}
		default:
			w.settle()
			err = carryOut(w)
		}
		if label != "poll" {
			s.logf("%s: %s under %d for %v: %v", p.m.name, label, c.Token, c.Incarnation, err)
		}
		s.mu.Unlock()
		s.after(answer, func() {
			if s.awaitVoice(s.ctx, p.m, label) {
				result <- err
			}
		})
	})
	return result
}

func (p *conn) Start(ctx context.Context, c lwrunner.Call, o lwdispatch.StartRun, until lwrunner.LeaseEnd) error {
	return p.call(ctx, c, "start "+runName(o.Task, o.Run), func(w *incarnation) error { return w.start(c, o, until) })
}

func (p *conn) Stop(ctx context.Context, c lwrunner.Call, o lwdispatch.StopRun) error {
	return p.call(ctx, c, "stop "+runName(o.Task, o.Run), func(w *incarnation) error { return w.stop(c, o) })
}

func (*conn) LimitCPU(context.Context, lwrunner.Call, lwdispatch.LimitRunCPU) error { return nil }

const listCheckInterval = 5 * time.Millisecond // of a long poll

func (p *conn) Poll(ctx context.Context, c lwrunner.Call, until lwrunner.LeaseEnd, cursor int64, wait time.Duration) (lwrunner.RunLists, error) {
	p.a.awaitThaw("poll")
	if ctx.Err() != nil {
		return lwrunner.RunLists{}, timedOut(ctx)
	}
	l, err := p.pollWorker(ctx, c, until, cursor, wait)
	if p.a.awaitThaw("poll") && ctx.Err() != nil && p.m.s.rng("late answer", p.m.name, "poll").IntN(2) == 0 {
		return lwrunner.RunLists{}, timedOut(ctx)
	}
	return l, err
}

func (p *conn) pollWorker(ctx context.Context, c lwrunner.Call, until lwrunner.LeaseEnd, cursor int64, wait time.Duration) (lwrunner.RunLists, error) {
	var incarnationAsked *incarnation
	var lastEnd int64
	answer := p.deliver(c, "poll", func(w *incarnation) error {
		if c.Token < w.token {
			return refuse(lwdispatch.RefusedFence)
		}
		w.token = c.Token
		w.renew(until)
		for _, e := range w.ends {
			if e.Number <= cursor && e.End.How == lwjob.EndDone {
				p.m.s.checkAcknowledged(w, e)
			}
		}
		w.ends = slices.DeleteFunc(w.ends, func(e lwdispatch.NumberedEnd) bool { return e.Number <= cursor })
		incarnationAsked, lastEnd = w, w.lastEnd
		return nil
	})
	select {
	case err := <-answer:
		if err != nil {
			return lwrunner.RunLists{}, err
		}
	case <-ctx.Done():
		return lwrunner.RunLists{}, timedOut(ctx)
	}
	return p.awaitEnd(ctx, incarnationAsked, lastEnd, wait)
}

// awaitEnd answers a poll at the next end or after wait.
func (p *conn) awaitEnd(ctx context.Context, w *incarnation, lastEnd int64, wait time.Duration) (lwrunner.RunLists, error) {
	s := p.m.s
	for deadline := time.Now().Add(wait); ; {
		s.mu.Lock()
		w.settle()
		if !w.up {
			silent := w.silent
			s.mu.Unlock()
			if silent {
				<-ctx.Done()
				return lwrunner.RunLists{}, timedOut(ctx)
			}
			return lwrunner.RunLists{}, errReset
		}
		if w.lastEnd > lastEnd || !time.Now().Before(deadline) {
			l := w.lists()
			rng := s.rng("answer", p.m.name)
			delay := between(rng, 100*time.Microsecond, 2*time.Millisecond)
			if p.m.slowAnswers && rng.IntN(2) == 0 {
				delay = between(rng, time.Millisecond, 250*time.Millisecond)
			}
			s.mu.Unlock()
			if !sleep(ctx, delay) || !s.awaitVoice(ctx, p.m, "poll") {
				return lwrunner.RunLists{}, timedOut(ctx)
			}
			return l, nil
		}
		s.mu.Unlock()
		if !sleep(ctx, listCheckInterval) {
			return lwrunner.RunLists{}, timedOut(ctx)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
