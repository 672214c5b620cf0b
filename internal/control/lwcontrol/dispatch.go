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
	dispatchTick   = 100 * time.Millisecond // between looks at leases and repeated orders
	jobRetention   = 4 * time.Minute        // of an ended job's state
	forgetInterval = 20 * time.Second
	learnInterval  = time.Second
	ordersTimeout  = 500 * time.Millisecond
)

var (
	dispatchTime  = lwmetric.NewHistogram("dispatch_decide_time")
	endsRecorded  = lwmetric.Counter("dispatch_ends_recorded_total")
	ordersSent    = lwmetric.Counter("dispatch_orders_sent_total")
	ordersLost    = lwmetric.Counter("dispatch_orders_unsent_total")
	reportsServed = lwmetric.Counter("dispatch_reports_total")
)

// change is a committed command about queues.
type change struct {
	revision lwunit.Revision
	command  lwstate.Command
}

// dispatcher drives a lwdispatch.Core while this replica leads. It begins
// afresh with each term.
type dispatcher struct {
	node      *Node
	kick      chan struct{}
	questions chan lwdispatch.Question

	queue struct { // filled by the replica's driver, which must not wait
		mu   sync.Mutex
		list []change
	}

	mu        sync.Mutex
	term      lwreplica.Term
	core      *lwdispatch.Core // nil before the first term that this replica leads
	since     lwunit.Revision  // what the core was made from
	sessions  map[lwjob.WorkerLife]*lwrpc.Session
	ends      []lwdispatch.WorkerEnd // to be proposed
	places    []lwjob.Placement      // the same
	recording bool                   // a proposal of ends and places is under way
	roster    lwstate.ChangeRoster   // to be proposed
	changing  bool                   // a proposal about the roster is under way
	forgot    time.Duration
	learned   time.Duration
}

func newDispatcher(n *Node) *dispatcher {
	return &dispatcher{node: n, kick: make(chan struct{}, 1), questions: make(chan lwdispatch.Question, questionsWaiting)}
}

// applied is told of each committed command, in order.
func (d *dispatcher) applied(rev lwunit.Revision, c lwstate.Command) {
	switch c.(type) {
	case lwstate.Configure, lwstate.AcceptJob, lwstate.CancelSteps, lwstate.RecordRuns, lwstate.ChangeRoster:
	default:
		return
	}
	d.queue.mu.Lock()
	d.queue.list = append(d.queue.list, change{rev, c})
	d.queue.mu.Unlock()
	d.wake()
}

func (d *dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// enter locks the dispatcher and brings its core up to date. It fails, with
// the lock released, unless this replica leads and holds its lease.
func (d *dispatcher) enter(r *replica) error {
	v := r.current()
	if !r.stillLeads(v.term) {
		return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddr}
	}
	d.mu.Lock()
	if d.core == nil || d.term != v.term {
		d.begin(r, v.term)
	}
	d.drain(r)
	d.core.Advance(r.now(), wallClock())
	return nil
}

func wallClock() lwunit.Millis { return lwunit.Millis(time.Now().UnixMilli()) }

// begin makes the core of a new term from the replicated record.
func (d *dispatcher) begin(r *replica, term lwreplica.Term) {
	d.term = term
	d.sessions = make(map[lwjob.WorkerLife]*lwrpc.Session)
	d.ends, d.places, d.recording = nil, nil, false
	d.roster, d.changing = lwstate.ChangeRoster{}, false
	roster, jobs := 0, 0
	r.read(func(s *lwstate.State) {
		d.since = s.Revision()
		in := lwdispatch.Inherited{Config: s.Queues().Config(), Roster: s.Queues().Roster(), Pairs: s.Queues().Disturbances()}
		s.Queues().Each(func(j *lwjob.Job) { in.Jobs = append(in.Jobs, j) })
		d.core = lwdispatch.New(d.node.cfg.Dispatch, uint64(term), r.now(), wallClock(), in)
		roster, jobs = len(in.Roster), len(in.Jobs)
	})
	d.node.log.Info("dispatch began", zap.Uint64("term", uint64(term)), zap.Uint64("revision", uint64(d.since)), zap.Int("roster", roster), zap.Int("jobs", jobs))
}

// discard drops what was committed while this replica does not lead: the core
// of its next term is made from the record as it is then. A leader whose lease
// has lapsed may renew it in the same term, and its core must miss nothing; the
// dispatcher stays locked, so that no term begins between the look and the drop.
func (d *dispatcher) discard(r *replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := r.current(); v.role == lwreplica.Leader && v.term == d.term {
		return
	}
	d.queue.mu.Lock()
	defer d.queue.mu.Unlock()
	d.queue.list = nil
}

// drain tells the core of what was committed since.
func (d *dispatcher) drain(r *replica) {
	d.queue.mu.Lock()
	list := d.queue.list
	d.queue.list = nil
	d.queue.mu.Unlock()
	if len(list) == 0 {
		return
	}
	r.read(func(s *lwstate.State) {
		for _, ch := range list {
			if ch.revision > d.since {
				d.note(s.Queues(), ch.command)
			}
		}
	})
}

func (d *dispatcher) note(t *lwjob.Table, c lwstate.Command) {
	switch c := c.(type) {
	case lwstate.Configure:
		d.core.Configure(t.Config())
	case lwstate.AcceptJob:
		if j := t.Job(c.Job.Spec.ID); j != nil {
			d.core.JobAccepted(j)
		}
	case lwstate.CancelSteps:
		d.noteEnded(t, c.Job)
	case lwstate.RecordRuns:
		for _, e := range c.Ends {
			if id, _, err := lwjob.ParseTaskName(e.Task); err == nil {
				d.noteEnded(t, id)
			}
		}
		for _, p := range c.Places {
			d.core.PlaceRecorded(p)
		}
	case lwstate.ChangeRoster:
		for _, w := range c.Enrol {
			d.core.Enrolled(w.Life)
		}
	}
}

func (d *dispatcher) noteEnded(t *lwjob.Table, id lwunit.JobID) {
	if j := t.Job(id); j != nil && j.State.Final() {
		d.core.JobEnded(id, "the job is "+string(j.State))
	}
}

// run decides whenever something changed.
func (d *dispatcher) run(ctx context.Context, r *replica) {
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick = true
		case <-d.kick:
		}
		if err := d.enter(r); err != nil {
			d.discard(r)
			continue
		}
		began := time.Now()
		if tick {
			d.core.Tick()
			d.forget(ctx, r)
			d.learn(ctx, r)
		}
		d.core.Schedule()
		out := d.core.Take()
		d.perform(ctx, r, out)
		d.mu.Unlock()
		dispatchTime.Observe(time.Since(began))
	}
}

// perform carries out effects; the dispatcher is locked.
func (d *dispatcher) perform(ctx context.Context, r *replica, out lwdispatch.Effects) {
	for _, x := range out.Decisions {
		logDecision(d.node.decisions, x)
	}
	d.roster = mergeRoster(d.roster, out.Enrol, out.Dismiss)
	d.changeRoster(ctx, r)
	for _, life := range out.Dismiss {
		delete(d.sessions, life)
	}
	d.ask(out.Questions)
	d.ends = append(d.ends, out.Ends...)
	d.places = append(d.places, out.Places...)
	d.record(ctx, r)
	for _, o := range out.Orders {
		d.send(ctx, r, o)
	}
}

// send passes orders to an agent if this replica still leads. What is lost is
// repeated when no report shows it.
func (d *dispatcher) send(ctx context.Context, r *replica, o lwdispatch.WorkerOrders) {
	session := d.sessions[o.Life]
	if session == nil || !r.stillLeads(d.term) {
		ordersLost.Add(int64(len(o.Orders)))
		return
	}
	token, cursor := d.core.CursorOf(o.Life)
	m := lwlink.AgentOrders{Life: o.Life, Token: token, Cursor: cursor}
	for _, x := range o.Orders {
		m.Orders = append(m.Orders, lwlink.EncodeOrder(x))
	}
	call, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	if err := session.Notify(call, lwlink.MethodOrders, m); err != nil {
		ordersLost.Add(int64(len(o.Orders)))
		return
	}
	ordersSent.Add(int64(len(o.Orders)))
}

func logDecision(log *lwlog.Limited, x lwdispatch.Decision) {
	log.Line(string(x.Kind), zap.String("job", string(x.Job)), zap.String("task", string(x.Task)), zap.Uint64("run", uint64(x.Run)),
		zap.String("worker", string(x.Worker)), zap.String("reason", x.Reason), zap.Duration("age", x.Age), zap.Duration("slack", x.Slack), zap.Int("percent", x.Percent))
}
