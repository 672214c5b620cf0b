package lwcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	dispatchTickInterval       = 100 * time.Millisecond // between checks of leases and of starts and stops to resend
	queueJobRetention          = 4 * time.Minute        // how long a job of a queue is kept after its end
	jobRemovalInterval         = 20 * time.Second
	interferenceRecordInterval = time.Second
	ordersTimeout              = 500 * time.Millisecond
	maxRunsRecorded            = 4096    // ends and placements in one command
	maxOrderBytes              = 1 << 20 // of the orders in one message, before they are escaped as JSON
	orderOverheadBytes         = 100
)

var (
	dispatchDecideTime = lwmetric.NewHistogram("dispatch_decide_time")
	endsRecorded       = lwmetric.Counter("dispatch_ends_recorded_total")
	ordersSent         = lwmetric.Counter("dispatch_orders_sent_total")
	ordersUnsent       = lwmetric.Counter("dispatch_orders_unsent_total")
	reportsReceived    = lwmetric.Counter("dispatch_reports_total")
)

// queueChange is a committed command that the core must learn of.
type queueChange struct {
	revision lwunit.Revision
	command  lwstate.Command
}

// dispatcher drives a lwdispatch.Core while this replica leads. Each term has a
// new core, built from the replicated state.
type dispatcher struct {
	node      *Node
	wakeups   chan struct{}
	questions chan lwdispatch.Question

	changes struct { // commands committed since the core was last updated; has its own lock so that the replica's driver never waits for mu
		mu   sync.Mutex
		list []queueChange
	}

	mu                     sync.Mutex
	term                   lwreplica.Term
	core                   *lwdispatch.Core // nil before the first term that this replica leads
	startRevision          lwunit.Revision  // revision of the state from which the core was made
	sessions               map[lwjob.WorkerIncarnation]*lwrpc.Session
	pendingEnds            []lwdispatch.WorkerEnd // to be proposed
	pendingPlacements      []lwjob.Placement      // to be proposed
	recordInFlight         bool                   // a proposal of ends and placements is in flight
	pendingRoster          lwstate.ChangeRoster   // to be proposed
	proposedRoster         lwstate.ChangeRoster   // in flight
	rosterInFlight         bool                   // a proposal of roster changes is in flight
	jobsRemovedAt          time.Duration          // on the replica's clock, when removeEndedJobs last looked for jobs to remove
	interferenceInFlight   bool                   // a proposal of interference is in flight
	interferenceRecordedAt time.Duration          // on the replica's clock, when recordInterference last looked for changes
}

func newDispatcher(n *Node) *dispatcher {
	return &dispatcher{node: n, wakeups: make(chan struct{}, 1), questions: make(chan lwdispatch.Question, adviceQueueLength)}
}

// onApplied queues a command that was applied to the state, if the core must learn
// of it. Commands come in log order.
func (d *dispatcher) onApplied(rev lwunit.Revision, c lwstate.Command) {
	switch c.(type) {
	case lwstate.Configure, lwstate.AcceptQueueJob, lwstate.CancelQueueJob, lwstate.RecordRuns, lwstate.ChangeRoster, lwstate.SetEvacuation:
	default:
		return
	}
	d.changes.mu.Lock()
	d.changes.list = append(d.changes.list, queueChange{rev, c})
	d.changes.mu.Unlock()
	d.wake()
}

func (d *dispatcher) wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// lockAsLeader locks the dispatcher and brings its core up to date. It fails,
// without taking the lock, unless this replica leads and holds its lease.
func (d *dispatcher) lockAsLeader(r *replica) error {
	v := r.currentView()
	if !r.stillLeads(v.term) {
		return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
	}
	d.mu.Lock()
	if now := r.currentView(); now.term != v.term {
		d.mu.Unlock()
		return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: now.leaderAddress}
	}
	if d.core == nil || d.term != v.term {
		d.beginTerm(r, v.term)
	}
	d.applyChanges(r)
	d.core.Advance(r.now(), wallClock())
	return nil
}

func wallClock() lwunit.Millis { return lwunit.Millis(time.Now().UnixMilli()) }

// beginTerm makes the core of a new term from the replicated state.
func (d *dispatcher) beginTerm(r *replica, term lwreplica.Term) {
	d.term = term
	d.sessions = make(map[lwjob.WorkerIncarnation]*lwrpc.Session)
	d.pendingEnds, d.pendingPlacements, d.recordInFlight = nil, nil, false
	d.pendingRoster, d.proposedRoster, d.rosterInFlight = lwstate.ChangeRoster{}, lwstate.ChangeRoster{}, false
	d.interferenceInFlight = false
	roster, jobs := 0, 0
	r.read(func(s *lwstate.State) {
		d.startRevision = s.Revision()
		replicated := lwdispatch.ReplicatedState{Config: s.Queues().Config(), Roster: s.Queues().Roster(), Interference: s.Queues().Interference(), Evacuations: s.Evacuations()}
		s.Queues().EachJob(func(j *lwjob.Job) { replicated.Jobs = append(replicated.Jobs, j) })
		d.core = lwdispatch.New(d.node.cfg.Dispatch, uint64(term), r.now(), wallClock(), replicated)
		roster, jobs = len(replicated.Roster), len(replicated.Jobs)
		d.noteEvacuations(s.Evacuations())
	})
	d.node.log.Info("dispatch began", zap.Uint64("term", uint64(term)), zap.Uint64("revision", uint64(d.startRevision)), zap.Int("roster", roster), zap.Int("jobs", jobs))
}

// discardChanges drops the queued changes while this replica does not lead: the
// core of its next term is made from the state as it is then. It keeps them for
// a leader whose lease has expired, since the lease may be renewed in the same
// term and the core must not miss a change. The dispatcher stays locked, so
// that no term begins between the check and the drop.
func (d *dispatcher) discardChanges(r *replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := r.currentView(); v.role == lwreplica.Leader && v.term == d.term {
		return
	}
	d.changes.mu.Lock()
	defer d.changes.mu.Unlock()
	d.changes.list = nil
}

// applyChanges passes the queued changes to the core, except changes that the state
// from which the core was made includes already.
func (d *dispatcher) applyChanges(r *replica) {
	d.changes.mu.Lock()
	list := d.changes.list
	d.changes.list = nil
	d.changes.mu.Unlock()
	if len(list) == 0 {
		return
	}
	r.read(func(s *lwstate.State) {
		for _, ch := range list {
			if ch.revision > d.startRevision {
				d.applyChange(s, ch.command)
			}
		}
	})
}

func (d *dispatcher) applyChange(s *lwstate.State, c lwstate.Command) {
	t := s.Queues()
	switch c := c.(type) {
	case lwstate.Configure:
		d.core.Configure(t.Config())
	case lwstate.AcceptQueueJob:
		if j := t.Job(c.Job.Spec.ID); j != nil {
			d.core.JobAccepted(j)
		}
	case lwstate.CancelQueueJob:
		d.applyJobEnd(t, c.Job)
	case lwstate.RecordRuns:
		for _, e := range c.Ends {
			if id, _, err := lwjob.ParseTaskName(e.Task); err == nil {
				d.applyJobEnd(t, id)
			}
		}
		for _, p := range c.Placements {
			d.core.PlacementRecorded(p)
		}
	case lwstate.ChangeRoster:
		for _, w := range c.Enrol {
			if d.isEnrolled(w.Incarnation) {
				d.core.RosterRecorded(w.Incarnation)
			}
		}
		for _, incarnation := range c.Dismiss {
			d.core.DismissalRecorded(incarnation)
		}
	case lwstate.SetEvacuation:
		d.applyEvacuation(s, c.Order.Domain)
	}
}

// applyJobEnd tells the core that a job has ended, if it has, so that the core
// stops the job's runs.
func (d *dispatcher) applyJobEnd(t *lwjob.Table, id lwunit.JobID) {
	if j := t.Job(id); j != nil && j.State.Final() {
		d.core.JobEnded(id, "the job is "+string(j.State))
	}
}

// run lets the core decide at each wakeup and each tick.
func (d *dispatcher) run(ctx context.Context, r *replica) {
	ticker := time.NewTicker(dispatchTickInterval)
	defer ticker.Stop()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick = true
		case <-d.wakeups:
		}
		if err := d.lockAsLeader(r); err != nil {
			d.discardChanges(r)
			continue
		}
		start := time.Now()
		if tick {
			d.core.Tick()
			d.removeEndedJobs(ctx, r)
			d.recordInterference(ctx, r)
		}
		d.core.Schedule()
		out := d.core.TakeEffects()
		d.perform(ctx, r, out)
		d.mu.Unlock()
		dispatchDecideTime.Observe(time.Since(start))
	}
}

// perform carries out the effects of the core. The caller holds mu.
func (d *dispatcher) perform(ctx context.Context, r *replica, out lwdispatch.Effects) {
	for _, x := range out.Decisions {
		logDecision(d.node.decisionLog, x)
		countDecision(x.Kind)
	}
	d.pendingRoster = mergeRoster(d.pendingRoster, out.Enrol, out.Dismiss)
	d.changeRoster(ctx, r)
	for _, incarnation := range out.Dismiss {
		delete(d.sessions, incarnation)
	}
	d.queueQuestions(out.Questions)
	d.pendingEnds = append(d.pendingEnds, out.Ends...)
	d.pendingPlacements = append(d.pendingPlacements, out.Placements...)
	d.recordRuns(ctx, r)
	for _, o := range out.Orders {
		d.send(ctx, r, o)
	}
}

// send sends orders to an agent if this replica still leads. The core resends
// starts and stops that no report has confirmed. It does not resend a lost CPU
// limit: the run keeps its previous limit until the core orders a new one. The
// caller holds mu.
func (d *dispatcher) send(ctx context.Context, r *replica, o lwdispatch.WorkerOrders) {
	session := d.sessions[o.Incarnation]
	if session == nil || !r.stillLeads(d.term) {
		ordersUnsent.Add(int64(len(o.Orders)))
		return
	}
	token, cursor := d.core.TokenAndCursor(o.Incarnation)
	m := lwlink.AgentOrders{Incarnation: o.Incarnation, Token: token, Cursor: cursor, Capacity: d.core.CapacityOf(o.Incarnation)}
	call, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	for unsent := o.Orders; len(unsent) > 0; {
		m.Orders, unsent = encodeOrders(unsent, maxOrderBytes)
		if err := session.Notify(call, lwlink.MethodOrders, m); err != nil {
			ordersUnsent.Add(int64(len(m.Orders) + len(unsent)))
			return
		}
		ordersSent.Add(int64(len(m.Orders)))
	}
}

// encodeOrders encodes orders for one message until their texts have at least maxBytes, and
// returns the others. A start holds the specification of its job, so that those of a large
// job can exceed the limit of a message together.
func encodeOrders(orders []lwdispatch.Order, maxBytes int) (encoded []lwlink.WireOrder, rest []lwdispatch.Order) {
	size := 0
	for i, x := range orders {
		if size >= maxBytes {
			return encoded, orders[i:]
		}
		w := lwlink.EncodeOrder(x)
		encoded = append(encoded, w)
		size += len(w.Task) + len(w.Text) + len(w.Checkpoint) + len(w.Ticket) + orderOverheadBytes
	}
	return encoded, nil
}

func logDecision(log *lwlog.RateLimitedLogger, x lwdispatch.Decision) {
	fields := []zap.Field{
		zap.String("job", string(x.Job)), zap.String("task", string(x.Task)), zap.Uint64("run", uint64(x.Run)),
		zap.String("worker", string(x.Worker)), zap.String("reason", x.Reason), zap.Duration("age", x.Age), zap.Duration("slack", x.Slack), zap.Int("percent", x.CPUPercent), zap.Float64("suspicion", x.Suspicion), zap.Int("crashes", x.Crashes),
	}
	if x.Kind == lwdispatch.DecidedWorkerRemoved {
		fields = append(fields, zap.Duration("lease_left", x.LeaseLeft), zap.Int("released", x.Released), zap.Int64("born", int64(x.Removed.StartedAt)))
	}
	if next := x.Successor; next.Agent != "" {
		fields = append(fields, zap.Dict("reported", zap.String("worker", string(next.Incarnation.Worker)), zap.Int64("born", int64(next.Incarnation.StartedAt)), zap.String("agent", next.Agent), zap.Bool("answered", next.Answered)))
	}
	log.Info(string(x.Kind), fields...)
}
