package lwrunner_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/worker/lwrunner"
)

// agent is one process of an agent.
type agent struct {
	m      *machine
	runner *lwrunner.Runner
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	session     *session
	frozenUntil time.Time // it handles nothing
}

// session is a connection of an agent process.
type session struct{ a *agent }

// reconnect replaces the connection. Messages on the earlier one may still arrive.
func (a *agent) reconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.session = &session{a}
}

func (a *agent) currentSession() *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}

// Report sends a report to the leader. It may arrive after the agent has given it up.
func (a *agent) Report(ctx context.Context, m lwdispatch.Report) (lwlink.ReportReply, error) {
	type answer struct {
		reply lwlink.ReportReply
		err   error
	}
	s := a.m.s
	a.awaitThaw("report")
	from := a.currentSession()
	result := make(chan answer, 1)
	there, back := s.crossing("report", a.m.name), s.crossing("reply", a.m.name)
	if there.arrives && !s.isCutOff(a.m) {
		s.after(there.after, func() {
			var x answer
			x.reply, x.err = s.currentLeader().report(from, m)
			if back.arrives && !s.isCutOff(a.m) {
				s.after(back.after, func() { result <- x })
			}
		})
	}
	x := await(ctx, a, "report", result, func() answer {
		return answer{err: &lwfault.Fault{Kind: lwfault.Timeout, Cause: ctx.Err()}}
	})
	return x.reply, x.err
}

// rosterChange is a proposal to change the roster.
type rosterChange struct {
	enrol   []lwjob.RosterEntry
	dismiss []lwjob.WorkerIncarnation
}

// merge adds changes as the control replica does: a later change of an incarnation
// removes an earlier opposite one.
func (c *rosterChange) merge(enrol []lwjob.RosterEntry, dismiss []lwjob.WorkerIncarnation) {
	for _, i := range dismiss {
		c.enrol = slices.DeleteFunc(c.enrol, func(e lwjob.RosterEntry) bool { return e.Incarnation == i })
	}
	c.dismiss = append(c.dismiss, dismiss...)
	for _, e := range enrol {
		c.dismiss = slices.DeleteFunc(c.dismiss, func(i lwjob.WorkerIncarnation) bool { return i == e.Incarnation })
	}
	c.enrol = append(c.enrol, enrol...)
}

// leader drives the core of one term like the dispatcher of a control replica.
type leader struct {
	s       *schedule
	term    uint64
	wakeups chan struct{}

	mu             sync.Mutex
	core           *lwdispatch.Core
	deposed        bool
	sessions       map[lwjob.WorkerIncarnation]*session
	ends           []lwdispatch.WorkerEnd
	placements     []lwjob.Placement
	recordInFlight bool
	roster         rosterChange
	rosterInFlight bool
	proposals      []*proposal // in flight; a later leader may commit the first of them
}

// newLeader begins a term with what is committed.
func newLeader(s *schedule, term uint64) *leader {
	l := &leader{s: s, term: term, wakeups: make(chan struct{}, 1), sessions: make(map[lwjob.WorkerIncarnation]*session)}
	in := lwdispatch.ReplicatedState{Roster: slices.Clone(s.table.Roster())}
	s.table.EachJob(func(j *lwjob.Job) { in.Jobs = append(in.Jobs, j) })
	cfg := lwdispatch.DefaultConfig()
	cfg.MaxWorkerLease = maxHold * time.Millisecond
	l.core = lwdispatch.New(cfg, term, s.now(), s.wallClock(), in)
	go l.run(s.ctx)
	return l
}

func (l *leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// depose ends the term. The proposals that a later leader commits are taken from those in
// flight in their order.
func (l *leader) depose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deposed = true
	if n := len(l.proposals); n > 0 {
		n = l.s.rng("depose").IntN(n + 1)
		for _, p := range l.proposals[:n] {
			p.commit()
		}
	}
	l.proposals = nil
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick = true
		case <-l.wakeups:
		}
		l.mu.Lock()
		if l.deposed {
			l.mu.Unlock()
			return
		}
		l.core.Advance(l.s.now(), l.s.wallClock())
		if tick {
			l.core.Tick()
		}
		l.core.Schedule()
		l.perform(l.core.TakeEffects())
		l.mu.Unlock()
	}
}

// perform carries out the effects of the core. The caller holds mu.
func (l *leader) perform(out lwdispatch.Effects) {
	for _, d := range out.Decisions {
		l.s.logf("leader %d: %s %s/%d %s: %s", l.term, d.Kind, d.Task, d.Run, d.Worker, d.Reason)
	}
	l.roster.merge(out.Enrol, out.Dismiss)
	l.changeRoster()
	for _, i := range out.Dismiss {
		delete(l.sessions, i)
	}
	l.ends = append(l.ends, out.Ends...)
	l.placements = append(l.placements, out.Placements...)
	l.recordRuns()
	for _, o := range out.Orders {
		l.send(o)
	}
}

// proposal is a change that is to be committed.
type proposal struct {
	commit    func()
	committed func() // tells the core
	ready     bool   // it is committed once all earlier ones are
}

// propose commits a change after a while, unless the term has ended by then. The caller
// holds mu.
func (l *leader) propose(commit, committed func()) {
	p := &proposal{commit: commit, committed: committed}
	l.proposals = append(l.proposals, p)
	l.s.after(l.s.commitTime(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		p.ready = true
		l.core.Advance(l.s.now(), l.s.wallClock())
		for !l.deposed && len(l.proposals) > 0 && l.proposals[0].ready {
			first := l.proposals[0]
			l.proposals = l.proposals[1:]
			first.commit()
			first.committed()
		}
		l.wake()
	})
}

func (l *leader) changeRoster() {
	if l.rosterInFlight || len(l.roster.enrol)+len(l.roster.dismiss) == 0 {
		return
	}
	c := l.roster
	l.roster, l.rosterInFlight = rosterChange{}, true
	l.propose(func() {
		for _, e := range c.enrol {
			l.s.table.Enrol(e)
		}
		for _, i := range c.dismiss {
			l.s.table.Dismiss(i)
		}
	}, func() {
		for _, e := range c.enrol {
			l.core.RosterRecorded(e.Incarnation)
		}
		for _, i := range c.dismiss {
			l.core.DismissalRecorded(i)
		}
		l.rosterInFlight = false
		l.changeRoster()
	})
}

func (l *leader) recordRuns() {
	if l.recordInFlight || len(l.ends)+len(l.placements) == 0 {
		return
	}
	ends, placements := l.ends, l.placements
	l.ends, l.placements, l.recordInFlight = nil, nil, true
	l.propose(func() {
		for _, e := range ends {
			l.s.table.RecordEnd(e.Numbered.End, l.s.wallClock())
		}
		for _, p := range placements {
			l.s.table.RecordPlacement(p)
		}
	}, func() {
		for _, p := range placements {
			l.core.PlacementRecorded(p)
		}
		for _, e := range ends {
			if id, _, err := lwjob.ParseTaskName(e.Numbered.End.Task); err == nil {
				l.applyJobEnd(id)
			}
		}
		acknowledged := make(map[lwjob.WorkerIncarnation]bool)
		for _, e := range ends {
			if e.Numbered.End.How == lwjob.EndCrashed {
				l.core.CrashRecorded(e.Incarnation)
				continue
			}
			l.core.EndsRecorded(e.Incarnation, e.Numbered.Number)
			acknowledged[e.Incarnation] = true
		}
		for i := range acknowledged {
			l.send(lwdispatch.WorkerOrders{Incarnation: i})
		}
		l.recordInFlight = false
		l.recordRuns()
	})
}

func (l *leader) applyJobEnd(id lwunit.JobID) {
	if j := l.s.table.Job(id); j != nil && j.State.Final() {
		l.core.JobEnded(id, "the job is "+string(j.State))
	}
}

// submit proposes a job.
func (l *leader) submit(j lwjob.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deposed {
		return
	}
	j.Term, j.Accepted = l.term, l.s.wallClock()
	l.propose(func() { l.s.table.Accept(j) }, func() { l.core.JobAccepted(l.s.table.Job(j.Spec.ID)) })
}

func (l *leader) cancelJob(id lwunit.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deposed {
		return
	}
	l.propose(func() { _, _ = l.s.table.Cancel(lwconfig.QueueKey{}, id, l.s.wallClock()) }, func() { l.applyJobEnd(id) })
}

// send sends orders over the connection of an agent, under the token of this moment. The
// caller holds mu.
func (l *leader) send(o lwdispatch.WorkerOrders) {
	c := l.sessions[o.Incarnation]
	if c == nil || l.deposed {
		return
	}
	token, cursor := l.core.TokenAndCursor(o.Incarnation)
	m := lwlink.AgentOrders{Incarnation: o.Incarnation, Token: token, Cursor: cursor, Capacity: l.core.CapacityOf(o.Incarnation)}
	for _, x := range o.Orders {
		l.s.logf("leader %d: sends %T%+v to %v under %d", l.term, x, x, o.Incarnation, token)
		m.Orders = append(m.Orders, lwlink.EncodeOrder(x))
	}
	way := l.s.crossing("orders", string(o.Incarnation.Worker))
	if !way.arrives || l.s.isCutOff(c.a.m) {
		return
	}
	l.s.after(way.after, func() {
		c.a.awaitThaw("orders")
		if c.a.ctx.Err() == nil {
			c.a.runner.HandleOrders(c.a.ctx, m)
		}
	})
}

// report handles an agent's report.
func (l *leader) report(from *session, m lwdispatch.Report) (lwlink.ReportReply, error) {
	if l == nil {
		return lwlink.ReportReply{}, lwfault.New(lwfault.Unavailable, "no leader")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deposed {
		return lwlink.ReportReply{}, lwfault.New(lwfault.NotLeader, "ask the leader")
	}
	l.core.Advance(l.s.now(), l.s.wallClock())
	for _, f := range m.Refused {
		l.s.logf("leader %d: receives the refusal of %s: %s", l.term, runName(f.Task, f.Run), f.Reason)
	}
	g := l.core.Report(m)
	if g.Token != 0 && l.sessions[m.Info.Incarnation] != from {
		l.sessions[m.Info.Incarnation] = from
		l.core.AgentReconnected(m.Info.Incarnation)
	}
	l.wake()
	return lwlink.ReportReply{Token: g.Token, Lease: lwunit.Duration(g.Lease), Cursor: g.Cursor, FastReports: g.FastReports, Evacuated: g.Evacuated, CrashesRecorded: g.CrashesRecorded}, nil
}

// isCutOff reports whether the agent of a machine is cut off from the leader.
func (s *schedule) isCutOff(m *machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.cutOff
}
