package lwcontrol

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	decideInterval          = 100 * time.Millisecond // while tasks are queued
	idleDecideInterval      = 250 * time.Millisecond // while no task is queued
	lostWorkerCheckInterval = 500 * time.Millisecond
	sweepInterval           = time.Minute
	repairInterval          = 200 * time.Millisecond
	nudgeTimeout            = time.Second
)

var (
	leaseRenewals       = lwmetric.Counter("leases_renewed_total")
	workersLost         = lwmetric.Counter("workers_lost_total")
	placementDecideTime = lwmetric.NewHistogram("placement_decide_time")
	placementsProposed  = lwmetric.Counter("placements_proposed_total")
)

// leader does the work of the leading replica for the jobs of teams (leases,
// placement and removal of expired state) and repairs the membership. The dispatcher
// does the work for the jobs of queues. Each term starts with new leases and a new
// placement core.
type leader struct {
	node *Node

	mu             sync.Mutex
	term           lwreplica.Term
	leases         *lwlease.Tracker
	core           *lwplacement.Core
	sessions       map[lwunit.WorkerID]*lwrpc.Session
	sentRevisions  map[lwunit.WorkerID]lwunit.Revision // worker revision last sent to the agent or announced by a nudge
	nudgedRevision lwunit.Revision                     // state revision at which nudge last looked for changed workers
}

func newLeader(n *Node) *leader { return &leader{node: n} }

// run does the work of the leader while this replica leads.
func (l *leader) run(ctx context.Context, r *replica) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	var lastDecide, lastLostCheck time.Time
	lastSweep, lastRepair := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.ensureTerm(r) {
			continue
		}
		if time.Since(lastLostCheck) > lostWorkerCheckInterval {
			lastLostCheck = time.Now()
			l.declareLostWorkers(ctx, r)
		}
		if time.Since(lastDecide) > idleDecideInterval || l.hasQueuedTasks(r) {
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

func (l *leader) hasQueuedTasks(r *replica) bool {
	queued := false
	r.read(func(s *lwstate.State) { queued = s.QueuedCount() > 0 })
	return queued
}

// ensureTerm reports whether this replica may act as leader now. In a new term it
// first replaces the leases, the placement core and the sessions by empty ones.
func (l *leader) ensureTerm(r *replica) bool {
	v := r.currentView()
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
		l.sentRevisions = make(map[lwunit.WorkerID]lwunit.Revision)
	}
	return true
}

// declareLostWorkers proposes the loss of workers whose leases have certainly
// expired, which ends the attempts on them. A leader in between may have renewed the
// leases, so the loss is proposed in the term in which they have expired or not at all.
func (l *leader) declareLostWorkers(ctx context.Context, r *replica) {
	var holders []lwlease.Holder
	l.mu.Lock()
	r.read(func(s *lwstate.State) {
		s.EachWorker(func(w *lwstate.Worker) {
			if !w.Lost {
				holders = append(holders, lwlease.Holder{Worker: w.Spec.ID, Registration: w.Registered})
			}
		})
	})
	expired, term := l.leases.Expired(holders, r.now()), l.term
	l.mu.Unlock()
	for _, h := range expired {
		l.node.log.Warn("worker lost: its leases have expired", zap.String("worker", string(h.Worker)))
		workersLost.Add(1)
		var lost []lwstate.LostAttempt
		l.mu.Lock()
		r.read(func(s *lwstate.State) {
			lost = l.core.WeighLoss(s, lwplacement.Loss{Worker: h.Worker, Attempts: s.TasksOnWorker(h.Worker), At: wallClock().Add(-l.node.cfg.Lease.ExpiryDelay())})
		})
		l.mu.Unlock()
		l.logLosses(lost)
		l.proposeIn(ctx, r, term, lwstate.LoseWorker{Worker: h.Worker, Registered: h.Registration, Lost: lost})
	}
}

// logLosses logs the attempts that ended with a worker, and what their tasks are
// suspected of.
func (l *leader) logLosses(lost []lwstate.LostAttempt) {
	for _, x := range lost {
		l.node.decisionLog.Info("attempt lost with its worker", zap.String("task", string(x.Task)), zap.Uint64("token", uint64(x.Crash.Token)), zap.String("worker", string(x.Crash.Worker)),
			zap.Duration("age", x.Crash.Age.Std()), zap.Float64("evidence", float64(x.Crash.Evidence)), zap.String("blame", x.Blame))
	}
}

// weighLostAttempts adds what it says of their tasks to the reports of attempts that a
// platform no longer has though nobody has told them to stop: the platform has crashed.
func (l *leader) weighLostAttempts(r *replica, m lwlink.Sync) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := lwplacement.Loss{Worker: m.Worker}
	goneFor := time.Duration(0)
	reports := make(map[lwunit.TaskID]*lwstate.TaskReport)
	var lost []lwstate.LostAttempt
	r.read(func(s *lwstate.State) {
		for i := range m.Reports {
			x := &m.Reports[i]
			x.Lost = nil
			if t, ok := s.Task(x.Task); ok && x.Gone && t.Token == x.Token && t.Phase.HoldsResources() && t.Stop == "" {
				loss.Attempts = append(loss.Attempts, t)
				reports[t.ID] = x
				goneFor = max(goneFor, x.GoneFor.Std())
			}
		}
		loss.At = wallClock().Add(-goneFor)
		if len(loss.Attempts) > 0 {
			lost = l.core.WeighLoss(s, loss)
		}
	})
	l.logLosses(lost)
	for i := range lost {
		reports[lost[i].Task].Lost = &lost[i]
	}
}

func (l *leader) decide(ctx context.Context, r *replica) {
	start := time.Now()
	var cmds []lwstate.Command
	l.mu.Lock()
	r.read(func(s *lwstate.State) { cmds = l.core.Decide(r.now(), s) })
	waits := l.core.TakeEvacuationWaits()
	l.mu.Unlock()
	placementDecideTime.Observe(time.Since(start))
	l.logEvacuationWaits(waits)
	for _, c := range cmds {
		if p, ok := c.(lwstate.PlaceTasks); ok {
			placementsProposed.Add(int64(len(p.Placements)))
		}
		l.propose(ctx, r, c)
	}
}

// logEvacuationWaits logs the tasks that wait for an evacuated domain, in the form that
// the dispatcher uses for the jobs of queues.
func (l *leader) logEvacuationWaits(waits []lwplacement.EvacuationWait) {
	for _, x := range waits {
		logDecision(l.node.decisionLog, lwdispatch.Decision{
			Kind: lwdispatch.DecidedWait, Job: x.Job, Task: x.Task, Worker: x.Worker, Reason: fmt.Sprintf("domain %s is evacuated", x.Domain), Age: x.Waited,
		})
	}
}

func (l *leader) propose(ctx context.Context, r *replica, c lwstate.Command) {
	l.proposeIn(ctx, r, 0, c)
}

func (l *leader) proposeIn(ctx context.Context, r *replica, term lwreplica.Term, c lwstate.Command) {
	if _, res, err := r.proposeIn(ctx, term, c); err != nil || res.Err != nil {
		l.node.log.Debug("leader command failed", zap.Error(err), zap.NamedError("result", res.Err))
	}
}

// nudge asks the agents of workers whose tasks have changed to sync at once.
func (l *leader) nudge(ctx context.Context, r *replica) {
	l.mu.Lock()
	var due []*lwrpc.Session
	r.read(func(s *lwstate.State) {
		if s.Revision() == l.nudgedRevision {
			return
		}
		l.nudgedRevision = s.Revision()
		for id, session := range l.sessions {
			if rev := s.WorkerRevision(id); rev > l.sentRevisions[id] {
				l.sentRevisions[id] = rev
				due = append(due, session)
			}
		}
	})
	l.mu.Unlock()
	for _, session := range due {
		call, cancel := context.WithTimeout(ctx, nudgeTimeout)
		_ = session.Notify(call, lwlink.MethodNudge, struct{}{}) // after an error, the agent learns of the change at its next sync
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

// sync records an agent's reports, renews the leases of its worker and returns the
// worker's assignments and CPU limits.
func (l *leader) sync(ctx context.Context, r *replica, session *lwrpc.Session, m lwlink.Sync) (lwlink.SyncReply, error) {
	if !l.ensureTerm(r) {
		return lwlink.SyncReply{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: r.currentView().leaderAddress}
	}
	if _, ok := r.leaseHolder(m); !ok {
		return lwlink.SyncReply{Register: true}, nil
	}
	if len(m.Reports) > 0 {
		l.weighLostAttempts(r, m)
		if _, _, err := r.propose(ctx, lwstate.ReportTasks{Reports: m.Reports}); err != nil {
			return lwlink.SyncReply{}, err
		}
	}
	return l.grant(r, session, m)
}

// grant renews the leases of a worker and lists its assignments if they have
// changed. A lease is granted only while no other replica can have been elected,
// which is checked last.
func (l *leader) grant(r *replica, session *lwrpc.Session, m lwlink.Sync) (lwlink.SyncReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := r.now()
	r.read(func(s *lwstate.State) { l.observe(now, s, m) })
	l.sessions[m.Worker] = session
	h, ok := r.leaseHolder(m)
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
		if res.Revision != m.KnownRevision || m.KnownRevision == 0 {
			res.Changed = true
			res.Assignments = assignments(s, m.Worker)
		}
	})
	l.sentRevisions[m.Worker] = res.Revision
	if !r.stillLeads(l.term) {
		return lwlink.SyncReply{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "leadership was lost"}
	}
	return res, nil
}

// observe passes an agent's measurements and ended attempts to the placement core.
func (l *leader) observe(now time.Duration, s *lwstate.State, m lwlink.Sync) {
	for _, u := range m.Usage {
		l.core.Observe(now, s, lwplacement.UsageSample{Task: u.Task, Used: u.Used, Age: u.Age.Std()})
	}
	w, _ := s.Worker(m.Worker)
	for _, g := range m.Signals {
		spec, _ := s.Service(w.Spec.Region, g.Service)
		l.core.Observe(now, s, lwplacement.SignalSample{
			Worker: m.Worker, Service: g.Service, Requests: g.Requests, Late: g.Late, Busy: g.Busy, Queued: g.Queued, Slots: spec.Slots, Window: g.Window.Std(),
		})
	}
	for _, t := range m.Reports {
		if t.Event == lwstate.EventSucceeded || t.Event == lwstate.EventFailed {
			l.core.Observe(now, s, lwplacement.AttemptEnded{Worker: m.Worker, Task: t.Task, Failed: t.Event == lwstate.EventFailed})
		}
	}
}

// throttles returns the CPU limits of a worker's tasks, sorted by task.
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

// leaseHolder returns the registration under which an agent may hold leases. It
// reports false if the worker is lost, or not registered under the incarnation of
// this agent; the agent must then register first.
func (r *replica) leaseHolder(m lwlink.Sync) (lwlease.Holder, bool) {
	var h lwlease.Holder
	known := false
	r.read(func(s *lwstate.State) {
		w, ok := s.Worker(m.Worker)
		known = ok && !w.Lost && w.Incarnation == m.Incarnation
		h = lwlease.Holder{Worker: m.Worker, Registration: w.Registered}
	})
	return h, known
}
