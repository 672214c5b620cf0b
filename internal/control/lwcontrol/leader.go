package lwcontrol

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	decideInterval = 100 * time.Millisecond // while tasks wait
	calmInterval   = 250 * time.Millisecond // while none does
	loseInterval   = 500 * time.Millisecond
	sweepInterval  = time.Minute
	repairInterval = 200 * time.Millisecond
	nudgeTimeout   = time.Second
)

var (
	leaseRenewals = lwmetric.Counter("leases_renewed_total")
	workersLost   = lwmetric.Counter("workers_lost_total")
	decideTime    = lwmetric.NewHistogram("placement_decide_time")
	placements    = lwmetric.Counter("placements_proposed_total")
)

// leader holds the duties of the leading replica: leases, placement and
// housekeeping. It begins afresh with each term.
type leader struct {
	node *Node

	mu       sync.Mutex
	term     lwreplica.Term
	leases   *lwlease.Tracker
	core     *lwplacement.Core
	sessions map[lwunit.WorkerID]*lwrpc.Session
	told     map[lwunit.WorkerID]lwunit.Revision // worker revision last sent or nudged
	nudgedAt lwunit.Revision                     // of the state, when nudges were last sent
}

func newLeader(n *Node) *leader { return &leader{node: n} }

// run performs the duties while this replica leads.
func (l *leader) run(ctx context.Context, r *replica) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	var lastDecide, lastLose time.Time
	lastSweep, lastRepair := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.takeOffice(r) {
			continue
		}
		if time.Since(lastLose) > loseInterval {
			lastLose = time.Now()
			l.loseWorkers(ctx, r)
		}
		if time.Since(lastDecide) > calmInterval || l.tasksWait(r) {
			lastDecide = time.Now()
			l.decide(ctx, r)
		}
		l.nudge(ctx, r)
		if time.Since(lastSweep) > sweepInterval {
			lastSweep = time.Now()
			l.sweep(ctx, r)
		}
		if time.Since(lastRepair) > repairInterval {
			lastRepair = time.Now()
			l.node.repairStep(ctx, r)
		}
	}
}

func (l *leader) tasksWait(r *replica) bool {
	waits := false
	r.read(func(s *lwstate.State) { waits = s.QueuedCount() > 0 })
	return waits
}

// takeOffice reports whether this replica may act as leader now, and starts
// with empty memory in each new term.
func (l *leader) takeOffice(r *replica) bool {
	v := r.current()
	if !r.stillLeads(v.term) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != v.term {
		l.term = v.term
		l.leases = lwlease.NewTracker(l.node.cfg.Lease)
		l.core = lwplacement.New(l.node.cfg.Placement)
		l.sessions = make(map[lwunit.WorkerID]*lwrpc.Session)
		l.told = make(map[lwunit.WorkerID]lwunit.Revision)
	}
	return true
}

// loseWorkers ends the attempts on workers whose leases have surely ended.
func (l *leader) loseWorkers(ctx context.Context, r *replica) {
	var holders []lwlease.Holder
	l.mu.Lock()
	r.read(func(s *lwstate.State) {
		s.EachWorker(func(w *lwstate.Worker) {
			if !w.Lost {
				holders = append(holders, lwlease.Holder{Worker: w.Spec.ID, Registration: w.Registered})
			}
		})
	})
	ended := l.leases.Ended(holders, r.now())
	l.mu.Unlock()
	for _, h := range ended {
		l.node.log.Warn("worker lost: its leases have ended", zap.String("worker", string(h.Worker)))
		workersLost.Add(1)
		l.propose(ctx, r, lwstate.LoseWorker{Worker: h.Worker, Registered: h.Registration})
	}
}

func (l *leader) decide(ctx context.Context, r *replica) {
	began := time.Now()
	var cmds []lwstate.Command
	l.mu.Lock()
	r.read(func(s *lwstate.State) { cmds = l.core.Decide(r.now(), s) })
	l.mu.Unlock()
	decideTime.Observe(time.Since(began))
	for _, c := range cmds {
		if p, ok := c.(lwstate.PlaceTasks); ok {
			placements.Add(int64(len(p.Placements)))
		}
		l.propose(ctx, r, c)
	}
}

func (l *leader) propose(ctx context.Context, r *replica, c lwstate.Command) {
	if _, res, err := r.propose(ctx, c); err != nil || res.Err != nil {
		l.node.log.Debug("leader's command not accepted", zap.Error(err), zap.NamedError("result", res.Err))
	}
}

// nudge tells agents whose tasks changed to sync at once.
func (l *leader) nudge(ctx context.Context, r *replica) {
	l.mu.Lock()
	var due []*lwrpc.Session
	r.read(func(s *lwstate.State) {
		if s.Revision() == l.nudgedAt {
			return
		}
		l.nudgedAt = s.Revision()
		for id, session := range l.sessions {
			if rev := s.WorkerRevision(id); rev > l.told[id] {
				l.told[id] = rev
				due = append(due, session)
			}
		}
	})
	l.mu.Unlock()
	for _, session := range due {
		call, cancel := context.WithTimeout(ctx, nudgeTimeout)
		_ = session.Notify(call, lwlink.MethodNudge, struct{}{}) // the next interval catches up
		cancel()
	}
}

func (l *leader) sweep(ctx context.Context, r *replica) {
	due := false
	r.read(func(s *lwstate.State) { due = s.NeedsSweep() })
	if due {
		l.propose(ctx, r, lwstate.Sweep{})
	}
}

// sync renews a worker's leases and tells its agent what should run there.
func (l *leader) sync(ctx context.Context, r *replica, session *lwrpc.Session, m lwlink.Sync) (lwlink.SyncReply, error) {
	if !l.takeOffice(r) {
		return lwlink.SyncReply{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: r.current().leaderAddr}
	}
	if _, ok := r.holder(m); !ok {
		return lwlink.SyncReply{Register: true}, nil
	}
	if len(m.Reports) > 0 {
		if _, _, err := r.propose(ctx, lwstate.ReportTasks{Reports: m.Reports}); err != nil {
			return lwlink.SyncReply{}, err
		}
	}
	return l.grant(r, session, m)
}

// grant renews the leases and lists the assignments if they changed. A lease
// is granted only while no other replica can have been elected.
func (l *leader) grant(r *replica, session *lwrpc.Session, m lwlink.Sync) (lwlink.SyncReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := r.now()
	r.read(func(s *lwstate.State) { l.observe(now, s, m) })
	l.sessions[m.Worker] = session
	h, ok := r.holder(m)
	var lease time.Duration
	if ok {
		lease, ok = l.leases.Renew(h, now)
	}
	if !ok {
		return lwlink.SyncReply{Register: true}, nil
	}
	leaseRenewals.Add(1)
	res := lwlink.SyncReply{Lease: lwunit.Duration(lease), Throttles: l.throttles(m.Worker)}
	r.read(func(s *lwstate.State) {
		res.Revision = s.WorkerRevision(m.Worker)
		if res.Revision != m.Known || m.Known == 0 {
			res.Changed = true
			res.Assignments = assignments(s, m.Worker)
		}
	})
	l.told[m.Worker] = res.Revision
	if !r.stillLeads(l.term) {
		return lwlink.SyncReply{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "leadership was lost"}
	}
	return res, nil
}

// observe gives the placement core what an agent saw.
func (l *leader) observe(now time.Duration, s *lwstate.State, m lwlink.Sync) {
	for _, u := range m.Usage {
		l.core.Observe(now, s, lwplacement.UsageSeen{Task: u.Task, Used: u.Used, Age: u.Age.Std()})
	}
	w, _ := s.Worker(m.Worker)
	for _, g := range m.Signals {
		spec, _ := s.Service(w.Spec.Region, g.Service)
		l.core.Observe(now, s, lwplacement.SignalSeen{
			Worker: m.Worker, Service: g.Service, Requests: g.Requests, Late: g.Late, Busy: g.Busy, Queued: g.Queued, Slots: spec.Slots, Window: g.Window.Std(),
		})
	}
	for _, t := range m.Reports {
		if t.Event == lwstate.EventSucceeded || t.Event == lwstate.EventFailed {
			l.core.Observe(now, s, lwplacement.AttemptEnded{Worker: m.Worker, Task: t.Task, Failed: t.Event == lwstate.EventFailed})
		}
	}
}

// throttles lists the limits in force on a worker, in the order of the tasks.
func (l *leader) throttles(w lwunit.WorkerID) []lwlink.Throttle {
	var list []lwlink.Throttle
	for id, percent := range l.core.Throttles(w) {
		list = append(list, lwlink.Throttle{Task: id, Percent: percent})
	}
	slices.SortFunc(list, func(a, b lwlink.Throttle) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return list
}

func assignments(s *lwstate.State, w lwunit.WorkerID) []lwlink.Assignment {
	var list []lwlink.Assignment
	for _, t := range s.TasksOnWorker(w) {
		j, _ := s.Job(t.Job)
		list = append(list, lwlink.Assignment{
			Task: t.ID, Token: t.Token, Program: j.Spec.Program, Reserve: t.Reserve, Checkpoint: t.Checkpoint, Stop: t.Stop,
			Running: t.Phase == lwstate.TaskRunning,
		})
	}
	return list
}

// holder returns the registration under which an agent may hold leases; an agent
// that has none must register first.
func (r *replica) holder(m lwlink.Sync) (lwlease.Holder, bool) {
	var h lwlease.Holder
	known := false
	r.read(func(s *lwstate.State) {
		w, ok := s.Worker(m.Worker)
		known = ok && !w.Lost && w.Incarnation == m.Incarnation
		h = lwlease.Holder{Worker: m.Worker, Registration: w.Registered}
	})
	return h, known
}
