package lwcontrol

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	longestWatch    = 10 * time.Second
	confirmTimeout  = 3 * time.Second
	nodeForgetAfter = 5 * time.Minute
	defaultLimit    = 100
	methodConfirm   = "replica.confirm"
	methodNodes     = "replica.nodes"
)

func (n *Node) handle() {
	n.endpoint.Handle(methodReplica, n.onMessages)
	n.endpoint.Handle(methodStatus, func(_ context.Context, _ *lwrpc.Session, p json.RawMessage) (any, error) { return n.status(p) })
	n.endpoint.Handle(methodInit, func(_ context.Context, _ *lwrpc.Session, p json.RawMessage) (any, error) {
		params, err := lwlink.Decode[initParams](p)
		if err != nil {
			return nil, err
		}
		return struct{}{}, n.onInit(params)
	})
	n.endpoint.Handle(methodJoin, func(ctx context.Context, _ *lwrpc.Session, p json.RawMessage) (any, error) {
		params, err := lwlink.Decode[joinParams](p)
		if err != nil {
			return nil, err
		}
		return n.onJoin(ctx, params)
	})
	n.endpoint.Handle(methodConfirm, n.onConfirm)
	n.endpoint.Handle(methodNodes, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) { return n.watchers.list(), nil })
	n.endpoint.Handle(lwlink.MethodReplace, func(_ context.Context, _ *lwrpc.Session, p json.RawMessage) (any, error) {
		params, err := lwlink.Decode[replaceParams](p)
		if err != nil {
			return nil, err
		}
		return struct{}{}, n.onReplace(params)
	})
	n.endpoint.Handle(lwlink.MethodPropose, n.onPropose)
	n.endpoint.Handle(lwlink.MethodSync, n.onSync)
	n.endpoint.Handle(lwlink.MethodWatch, n.onWatch)
	n.endpoint.Handle(lwlink.MethodQuery, n.onQuery)
}

func (n *Node) member() (*replica, error) {
	r := n.current()
	if r == nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this replica has not joined a group", RetryAfter: time.Second}
	}
	return r, nil
}

func (n *Node) onMessages(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	w, err := lwlink.Decode[wireBatch](params)
	if err != nil {
		return nil, err
	}
	batch, err := decodeBatch(w)
	if err != nil {
		return nil, err
	}
	for _, e := range batch {
		select {
		case r.events <- event{body: lwreplica.Receive{Envelope: e}}:
		default:
			replicaDropped.Add(1)
		}
	}
	return nil, nil
}

func (n *Node) onConfirm(ctx context.Context, _ *lwrpc.Session, _ json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	return r.confirm(ctx)
}

func (n *Node) onPropose(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	cmd, err := lwlink.DecodePropose(params)
	if err != nil {
		return nil, err
	}
	rev, res, err := r.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return lwlink.EncodeResult(rev, res), nil
}

func (n *Node) onSync(ctx context.Context, s *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	m, err := lwlink.Decode[lwlink.Sync](params)
	if err != nil {
		return nil, err
	}
	return n.leader.sync(ctx, r, s, m)
}

// onWatch answers when something changed after what the node has, or after
// its longest wait. A process with no memory asks from revision 0 and so
// gets the state itself, however many changes it missed.
func (n *Node) onWatch(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	w, err := lwlink.Decode[lwlink.Watch](params)
	if err != nil {
		return nil, err
	}
	n.watchers.saw(w)
	n.waitChange(ctx, r, w)
	if err := n.confirmer.confirmed(ctx, r); err != nil {
		return nil, err
	}
	var p lwlink.Policy
	r.read(func(s *lwstate.State) { p = policySince(s, w) })
	return p, nil
}

func (n *Node) waitChange(ctx context.Context, r *replica, w lwlink.Watch) {
	timeout := time.NewTimer(min(w.MaxWait.Std(), longestWatch))
	defer timeout.Stop()
	for {
		r.mu.RLock()
		newer := r.state.PolicyRevision() > w.Policy || (w.Role == lwlink.RoleEntry && r.state.BackendRevision() > w.Backends)
		changed := r.changed
		r.mu.RUnlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func policySince(s *lwstate.State, w lwlink.Watch) lwlink.Policy {
	p := lwlink.Policy{Revision: s.PolicyRevision(), Clock: s.Clock(), BackendRevision: s.BackendRevision()}
	if s.PolicyRevision() != w.Policy {
		p.Objects = s.ObjectsSince(w.Policy)
	}
	if w.Role != lwlink.RoleEntry || s.BackendRevision() == w.Backends {
		return p
	}
	p.Backends = s.Backends()
	seen := make(map[lwunit.WorkerID]bool)
	for _, b := range p.Backends {
		if worker, ok := s.Worker(b.Worker); ok && !seen[b.Worker] {
			seen[b.Worker] = true
			p.Workers = append(p.Workers, lwlink.WorkerAddress{Worker: b.Worker, Domain: worker.Spec.Domain, Gate: worker.Spec.Gate})
		}
	}
	return p
}

func (n *Node) onQuery(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.member()
	if err != nil {
		return nil, err
	}
	q, err := lwlink.Decode[lwlink.Query](params)
	if err != nil {
		return nil, err
	}
	if v := r.current(); v.role != lwreplica.Leader {
		return nil, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddr}
	}
	if err := n.confirmer.confirmed(ctx, r); err != nil {
		return nil, err
	}
	var res lwlink.QueryReply
	r.read(func(s *lwstate.State) { res, err = answerQuery(s, q) })
	if err != nil {
		return nil, err
	}
	if q.Kind == lwlink.QueryStatus || q.Kind == lwlink.QueryTicket {
		res.Replicas = n.replicaStatuses(r)
		res.Nodes = n.allNodes(ctx, r)
	}
	return res, nil
}

func answerQuery(s *lwstate.State, q lwlink.Query) (lwlink.QueryReply, error) {
	res := lwlink.QueryReply{Revision: s.Revision(), Clock: s.Clock()}
	limit := q.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	switch q.Kind {
	case lwlink.QueryJobs:
		res.Jobs = slices.DeleteFunc(s.Jobs(), func(j lwstate.Job) bool { return q.Team != "" && j.Spec.Team != q.Team })
	case lwlink.QueryJob, lwlink.QueryTasks:
		j, ok := s.Job(q.Job)
		if !ok || (q.Team != "" && j.Spec.Team != q.Team) {
			return res, lwfault.New(lwfault.NotFound, "job %s does not exist", q.Job)
		}
		res.Jobs, res.Tasks = []lwstate.Job{j}, s.TasksOfJob(q.Job)
	case lwlink.QueryWorkers:
		for _, w := range s.Workers() {
			res.Workers = append(res.Workers, lwlink.WorkerStatus{Worker: w, Free: s.Free(w.Spec.ID), Tasks: len(s.TasksOnWorker(w.Spec.ID))})
		}
	case lwlink.QueryBackends:
		res.Backends = s.Backends()
	case lwlink.QueryObjects:
		res.Objects = s.ObjectsSince(0)
	case lwlink.QueryTickets:
		res.Tickets = s.Tickets(limit)
	case lwlink.QueryTicket:
		rec, ok := s.Ticket(q.Ticket)
		if !ok {
			return res, lwfault.New(lwfault.NotFound, "ticket %d was not accepted, or its record is gone", q.Ticket)
		}
		res.Tickets = []lwstate.TicketRecord{rec}
	case lwlink.QueryClaim:
		if q.Claim != nil {
			if claim, ok := s.Claim(*q.Claim); ok {
				res.Claim = &claim
			}
		}
	case lwlink.QueryStatus:
		res.Revision = s.Revision()
	default:
		return res, lwfault.New(lwfault.Invalid, "unknown query %q", q.Kind)
	}
	return res, nil
}

// watchers remembers what each process last reported to this replica.
type watchers struct {
	mu    sync.Mutex
	nodes map[string]watcher
}

type watcher struct {
	role    lwlink.NodeRole
	applied lwunit.Revision
	at      time.Time
}

func newWatchers() *watchers { return &watchers{nodes: make(map[string]watcher)} }

func (w *watchers) saw(m lwlink.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[m.Node] = watcher{m.Role, m.Policy, time.Now()}
}

func (w *watchers) list() []lwlink.NodeStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []lwlink.NodeStatus
	for name, node := range w.nodes {
		age := time.Since(node.at)
		if age > nodeForgetAfter {
			delete(w.nodes, name)
			continue
		}
		list = append(list, lwlink.NodeStatus{Node: name, Role: node.role, Applied: node.applied, Seen: lwunit.Duration(age)})
	}
	return list
}

// allNodes gathers from every replica what its watchers reported; of several
// reports of one node the latest counts.
func (n *Node) allNodes(ctx context.Context, r *replica) []lwlink.NodeStatus {
	latest := make(map[string]lwlink.NodeStatus)
	merge := func(list []lwlink.NodeStatus) {
		for _, s := range list {
			if old, ok := latest[s.Node]; !ok || s.Seen < old.Seen {
				latest[s.Node] = s
			}
		}
	}
	merge(n.watchers.list())
	for _, m := range r.current().membership.Members() {
		if m.ID == r.id {
			continue
		}
		call, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		var list []lwlink.NodeStatus
		if n.endpoint.Peer(m.Address).Call(call, methodNodes, struct{}{}, &list) == nil {
			merge(list)
		}
		cancel()
	}
	all := make([]lwlink.NodeStatus, 0, len(latest))
	for _, s := range latest {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b lwlink.NodeStatus) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return all
}

// stillLeads reports whether the replica leads in the given term and holds its
// lease at this moment.
func (r *replica) stillLeads(term lwreplica.Term) bool {
	v := r.current()
	return v.leads && v.term == term && r.now() < v.leaseUntil
}
