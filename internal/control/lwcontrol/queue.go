package lwcontrol

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

var (
	jobsAccepted           = lwmetric.Counter("queue_jobs_accepted_total")
	jobsResent             = lwmetric.Counter("queue_jobs_resent_total")
	jobsRefused            = lwmetric.Counter("queue_jobs_refused_total")
	configurationsAccepted = lwmetric.Counter("queue_configurations_total")
	unknownJobsCancelled   = lwmetric.Counter("queue_unknown_jobs_cancelled_total")
)

func (n *Node) registerQueueHandlers() {
	serve(n, lwlink.MethodSubmitQueueJob, n.submitQueueJob)
	serve(n, lwlink.MethodShowQueueJob, n.showQueueJob)
	serve(n, lwlink.MethodCancelQueueJob, n.cancelQueueJob)
	serve(n, lwlink.MethodConfigure, n.configure)
	serve(n, lwlink.MethodConfiguration, n.configuration)
	serve(n, lwlink.MethodStartWave, n.startWave)
	serve(n, lwlink.MethodShowWave, n.showWave)
	serve(n, lwlink.MethodReport, n.report)
	serve(n, lwlink.MethodProbeLeader, n.leaderProbe)
	serve(n, lwlink.MethodEvacuation, n.evacuation)
	serve(n, lwlink.MethodSetEvacuation, n.setEvacuation)
}

// serve registers a handler that needs a replica in a group. Until there is one,
// calls are refused with kind NotLeader, so that clients ask another replica.
func serve[P, R any](n *Node, method string, f func(context.Context, *replica, *lwrpc.Session, P) (R, error)) {
	n.endpoint.Handle(method, func(ctx context.Context, s *lwrpc.Session, params json.RawMessage) (any, error) {
		r := n.currentReplica()
		if r == nil {
			return nil, lwfault.New(lwfault.NotLeader, "this replica has not joined a group")
		}
		p, err := lwlink.Decode[P](params)
		if err != nil {
			return nil, err
		}
		return f(ctx, r, s, p)
	})
}

// empty is the parameters or the result of a method that has none.
type empty struct{}

// commit proposes a command. An error of the proposal gets kind Unknown, since the
// command may still take effect, unless it is a refusal with kind NotLeader,
// Overloaded, TooLarge or Invalid.
func (n *Node) commit(ctx context.Context, r *replica, c lwstate.Command) (lwstate.Result, error) {
	_, res, err := r.propose(ctx, c)
	switch lwfault.KindOf(err) {
	case lwfault.NotLeader, lwfault.Overloaded, lwfault.TooLarge, lwfault.Invalid:
		return res, err
	}
	if err != nil {
		return res, &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no quorum answered in time", Cause: err}
	}
	return res, res.Err
}

// findQueue returns the queue that a request is for, and the job id that follows
// the queue's prefix in the path.
func findQueue(doc *lwconfig.Document, target lwlink.RequestTarget) (lwconfig.Queue, lwunit.JobID, error) {
	if doc == nil {
		return lwconfig.Queue{}, "", &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "there is no configuration yet", RetryAfter: time.Second}
	}
	q, ok := doc.Find(target.Host, target.Path)
	if !ok {
		return q, "", lwfault.New(lwfault.NotFound, "no queue for host %q and path %q", lwlog.Shorten(target.Host), lwlog.Shorten(target.Path))
	}
	return q, lwunit.JobID(target.Path[len(q.Key.Prefix):]), nil
}

func (n *Node) submitQueueJob(ctx context.Context, r *replica, _ *lwrpc.Session, p lwlink.SubmitQueueJob) (empty, error) {
	defer n.submissions.begin(p.Target)()
	job, known, err := n.admitJob(r, p)
	if err != nil {
		return empty{}, n.refuseJob(r, p.Target, err)
	}
	if known {
		jobsResent.Add(1)
		return empty{}, nil
	}
	res, err := n.commit(ctx, r, lwstate.AcceptQueueJob{Job: job})
	switch {
	case res.Err != nil:
		return empty{}, n.refuseJob(r, p.Target, res.Err)
	case lwfault.KindOf(err) == lwfault.Overloaded:
		return empty{}, n.refuseJob(r, p.Target, err)
	case err != nil:
		n.decisionLog.Info(string(lwdispatch.DecidedAdmission), zap.String("job", string(job.Spec.ID)), zap.String("outcome", "unknown"), zap.Error(err))
		return empty{}, err
	case !res.Fresh: // another submission of the job was committed meanwhile
		jobsResent.Add(1)
		return empty{}, nil
	}
	jobsAccepted.Add(1)
	n.decisionLog.Info(string(lwdispatch.DecidedAdmission), zap.String("job", string(job.Spec.ID)), zap.String("queue", job.Queue.Name), zap.String("outcome", "accepted"))
	return empty{}, nil
}

// refuseJob counts and logs a submission that is refused, and returns its error. A refusal for lack
// of room says that the job never runs, which another attempt in progress may prove wrong, or one
// that has been carried out since.
func (n *Node) refuseJob(r *replica, target lwlink.RequestTarget, err error) error {
	if lwfault.KindOf(err) == lwfault.Overloaded {
		hasOthers, accepted := n.submissions.hasOthers(target), false
		r.read(func(s *lwstate.State) { accepted = findAccepted(s, target) != nil })
		switch {
		case accepted:
			jobsResent.Add(1)
			return nil
		case hasOthers:
			err = &lwfault.Fault{Kind: lwfault.Unknown, Detail: "another attempt to submit the job is in progress", Cause: err}
		}
	}
	jobsRefused.Add(1)
	f := lwfault.As(err)
	n.decisionLog.Info(string(lwdispatch.DecidedAdmission), zap.String("path", lwlog.Shorten(target.Path)), zap.String("outcome", string(f.Kind)), zap.String("reason", f.Detail))
	return err
}

// submissions counts the attempts to submit a job that are in progress, by their target.
type submissions struct {
	mu       sync.Mutex
	attempts map[lwlink.RequestTarget]int
}

// begin counts an attempt until the function that it returns is called.
func (x *submissions) begin(target lwlink.RequestTarget) (end func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempts == nil {
		x.attempts = make(map[lwlink.RequestTarget]int)
	}
	x.attempts[target]++
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.attempts[target]--; x.attempts[target] == 0 {
			delete(x.attempts, target)
		}
	}
}

// hasOthers reports whether more than one attempt is in progress.
func (x *submissions) hasOthers(target lwlink.RequestTarget) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempts[target] > 1
}

// findAccepted returns the job that a request submits if it was accepted before and is still kept,
// or nil. Its queue need not exist any more.
func findAccepted(s *lwstate.State, target lwlink.RequestTarget) *lwjob.Job {
	for i := range target.Path {
		key := lwconfig.QueueKey{Host: target.Host, Prefix: target.Path[:i]}
		if j := s.Queues().Job(lwunit.JobID(target.Path[i:])); j != nil && j.Spec.Queue == key {
			return j
		}
	}
	return nil
}

// admitJob checks a job and returns its record. Known is set if the queue has
// accepted a job with this id before and still keeps it.
func (n *Node) admitJob(r *replica, p lwlink.SubmitQueueJob) (job lwjob.Job, known bool, err error) {
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return job, false, err
	}
	defer n.dispatcher.mu.Unlock()
	r.read(func(s *lwstate.State) {
		var q lwconfig.Queue
		if q, p.Spec.ID, err = findQueue(s.Queues().Config(), p.Target); err != nil {
			if p.Repeated && findAccepted(s, p.Target) != nil {
				known, err = true, nil
			}
			return
		}
		p.Spec.Queue = q.Key
		job = lwjob.Job{Spec: p.Spec, Queue: q, Term: uint64(n.dispatcher.term), PlacementsRecorded: true}
		old := s.Queues().Job(p.Spec.ID)
		known = old != nil && old.Spec.Queue == q.Key
		if old == nil && s.Queues().CancelledBefore(q.Key, p.Spec.ID) {
			err = lwfault.New(lwfault.Expired, "job %s was cancelled before it was accepted", p.Spec.ID)
		}
	})
	if err != nil || known {
		return job, known, err
	}
	if err := job.Spec.Check(); err != nil {
		return job, false, err
	}
	if a := n.dispatcher.core.Admit(&job.Spec, job.Queue); a.Refused {
		n.dispatcher.wake() // it logs the decision
		return job, false, &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the job would end after its objective", RetryAfter: max(time.Second, a.RetryAfter)}
	}
	return job, false, nil
}

func (n *Node) showQueueJob(_ context.Context, r *replica, _ *lwrpc.Session, target lwlink.RequestTarget) (lwlink.QueueJobStatus, error) {
	var res lwlink.QueueJobStatus
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return res, err
	}
	defer n.dispatcher.mu.Unlock()
	var err error
	r.read(func(s *lwstate.State) {
		q, id, e := findQueue(s.Queues().Config(), target)
		if e != nil {
			err = e
			return
		}
		if id == "" {
			res.IsQueue = true
			res.Pending = n.dispatcher.core.PendingJobs(q.Key)
			return
		}
		j := s.Queues().Job(id)
		if j == nil || j.Spec.Queue != q.Key {
			err = unknownJob(id)
			return
		}
		res.State = j.State
		if j.State == lwjob.Queued && n.dispatcher.core.Started(id) {
			res.State = lwjob.Running
		}
	})
	if err == nil && !r.stillLeads(n.dispatcher.term) {
		err = lwfault.New(lwfault.NotLeader, "leadership was lost")
	}
	return res, err
}

// cancelQueueJob cancels a job, also one that no submission has reached the log for yet. It fails
// with kind Expired if the queue has no such job; a submission that arrives later is then refused.
func (n *Node) cancelQueueJob(ctx context.Context, r *replica, _ *lwrpc.Session, target lwlink.RequestTarget) (empty, error) {
	c, pending, err := n.planCancellation(r, target)
	if err != nil || !pending {
		return empty{}, err
	}
	res, err := n.commit(ctx, r, c)
	n.decisionLog.Info("job_cancel", zap.String("job", string(c.Job)), zap.Bool("recorded", err == nil), zap.Bool("known", res.Fresh), zap.Error(err))
	switch {
	case err != nil:
		return empty{}, err
	case !res.Fresh:
		unknownJobsCancelled.Add(1)
		return empty{}, unknownJob(c.Job)
	default:
		return empty{}, nil
	}
}

// planCancellation returns the command that cancels a job, and whether it has to be committed: a job
// that has ended, or whose cancellation is recorded, needs none. It fails with kind Expired if no
// such job can ever be accepted.
func (n *Node) planCancellation(r *replica, target lwlink.RequestTarget) (c lwstate.CancelQueueJob, pending bool, err error) {
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return c, false, err
	}
	defer n.dispatcher.mu.Unlock()
	r.read(func(s *lwstate.State) {
		var q lwconfig.Queue
		if q, c.Job, err = findQueue(s.Queues().Config(), target); err != nil {
			return
		}
		c.Queue = q.Key
		j := s.Queues().Job(c.Job)
		switch {
		case j != nil && j.Spec.Queue == q.Key:
			pending = !j.State.Final()
		case !lwjob.ValidID(c.Job), s.Queues().CancelledBefore(q.Key, c.Job):
			err = unknownJob(c.Job)
		default:
			err = s.Queues().CheckCancellations()
			pending = err == nil
		}
	})
	return c, pending, err
}

func unknownJob(id lwunit.JobID) error {
	return lwfault.New(lwfault.Expired, "job %s does not exist", lwlog.Shorten(string(id)))
}

func (n *Node) configure(ctx context.Context, r *replica, _ *lwrpc.Session, d lwconfig.Document) (empty, error) {
	if err := d.Check(); err != nil {
		n.decisionLog.Info("configuration", zap.Int64("version", int64(d.Version)), zap.String("outcome", "invalid"), zap.Error(err))
		return empty{}, err
	}
	current, err := n.configuration(ctx, r, nil, empty{})
	if err != nil && lwfault.KindOf(err) != lwfault.NotFound {
		return empty{}, err
	}
	if err == nil && d.Version <= current.Version {
		n.decisionLog.Info("configuration", zap.Int64("version", int64(d.Version)), zap.String("outcome", "no newer than the one in force"), zap.Int64("in_force", int64(current.Version)))
		return empty{}, nil
	}
	res, err := n.commit(ctx, r, lwstate.Configure{Document: d})
	if err != nil {
		return empty{}, err
	}
	configurationsAccepted.Add(1)
	n.decisionLog.Info("configuration", zap.Int64("version", int64(d.Version)), zap.String("outcome", "in force"), zap.Bool("changed", res.Fresh))
	return empty{}, nil
}

func (n *Node) configuration(_ context.Context, r *replica, _ *lwrpc.Session, _ empty) (lwconfig.Document, error) {
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return lwconfig.Document{}, err
	}
	defer n.dispatcher.mu.Unlock()
	var d *lwconfig.Document
	r.read(func(s *lwstate.State) { d = s.Queues().Config() })
	if !r.stillLeads(n.dispatcher.term) {
		return lwconfig.Document{}, lwfault.New(lwfault.NotLeader, "leadership was lost")
	}
	if d == nil {
		return lwconfig.Document{}, lwfault.New(lwfault.NotFound, "there is no configuration yet")
	}
	return *d, nil
}

func (n *Node) startWave(ctx context.Context, r *replica, _ *lwrpc.Session, w lwjob.Wave) (empty, error) {
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return empty{}, err
	}
	n.dispatcher.mu.Unlock()
	_, err := n.commit(ctx, r, lwstate.StartWave{Wave: w})
	return empty{}, err
}

func (n *Node) showWave(_ context.Context, r *replica, _ *lwrpc.Session, id lwjob.WaveID) (lwlink.WaveStatus, error) {
	var res lwlink.WaveStatus
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return res, err
	}
	defer n.dispatcher.mu.Unlock()
	var err error
	r.read(func(s *lwstate.State) {
		w := s.Queues().Wave(id)
		if w == nil {
			err = lwfault.New(lwfault.NotFound, "wave %d is not known", id)
			return
		}
		res.Completed = len(w.MachinesLeft()) == 0
	})
	return res, err
}

// leaderProbe returns the addresses of the replicas while this replica leads.
func (n *Node) leaderProbe(_ context.Context, r *replica, _ *lwrpc.Session, _ empty) (lwlink.ReportReply, error) {
	v := r.currentView()
	if !r.stillLeads(v.term) {
		return lwlink.ReportReply{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
	}
	return lwlink.ReportReply{ControlAddresses: memberAddresses(v)}, nil
}

func memberAddresses(v view) []string {
	var list []string
	for _, m := range v.membership.Members() {
		list = append(list, m.Address)
	}
	return list
}

// report passes an agent's report to the core and returns the grant. The first report over a
// connection that the core takes, which shows in the token, makes the core resend the starts
// and stops that no report has confirmed, and the CPU limits.
func (n *Node) report(_ context.Context, r *replica, s *lwrpc.Session, m lwdispatch.Report) (lwlink.ReportReply, error) {
	reportsReceived.Add(1)
	d := n.dispatcher
	if err := d.lockAsLeader(r); err != nil {
		return lwlink.ReportReply{}, err
	}
	defer d.mu.Unlock()
	g := d.core.Report(m)
	if g.Token != 0 && d.sessions[m.Info.Incarnation] != s {
		d.sessions[m.Info.Incarnation] = s
		d.core.AgentReconnected(m.Info.Incarnation)
	}
	d.wake()
	if !r.stillLeads(d.term) {
		return lwlink.ReportReply{}, lwfault.New(lwfault.NotLeader, "leadership was lost")
	}
	return lwlink.ReportReply{
		Token: g.Token, Lease: lwunit.Duration(g.Lease), Cursor: g.Cursor, FastReports: g.FastReports, Evacuated: g.Evacuated, CrashesRecorded: g.CrashesRecorded, ControlAddresses: memberAddresses(r.currentView()),
	}, nil
}
