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
	maxWatchWait        = 10 * time.Second // longest time that a watch waits for a change
	confirmTimeout      = 3 * time.Second  // of one round of confirmer, until the index is applied
	nodeStatusRetention = 5 * time.Minute  // how long a process is listed after its last watch
	defaultTicketLimit  = 100              // ticket records in the answer to a query without a limit
	methodConfirm       = "replica.confirm"
	methodNodes         = "replica.nodes"
)

func (n *Node) registerHandlers() {
	n.endpoint.Handle(methodMessages, n.onMessages)
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

// requireReplica returns the replica, or a fault until the node belongs to a group.
func (n *Node) requireReplica() (*replica, error) {
	r := n.currentReplica()
	if r == nil {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this replica has not joined a group", RetryAfter: time.Second}
	}
	return r, nil
}

func (n *Node) onMessages(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.requireReplica()
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
			messagesDropped.Add(1)
		}
	}
	return nil, nil
}

func (n *Node) onConfirm(ctx context.Context, _ *lwrpc.Session, _ json.RawMessage) (any, error) {
	r, err := n.requireReplica()
	if err != nil {
		return nil, err
	}
	return r.confirm(ctx)
}

func (n *Node) onPropose(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.requireReplica()
	if err != nil {
		return nil, err
	}
	cmd, err := lwlink.DecodeProposal(params)
	if err != nil {
		return nil, err
	}
	term := lwreplica.Term(0)
	if bind, ok := cmd.(lwstate.BindClaim); ok {
		if cmd, term, err = r.limitRetention(bind); err != nil {
			return nil, err
		}
	}
	rev, res, err := r.proposeIn(ctx, term, cmd)
	if err != nil {
		return nil, err
	}
	return lwlink.EncodeResult(rev, res), nil
}

// limitRetention returns a command to bind a claim as the leader proposes it, and the
// term in which it holds. The state of a leader that may act includes all claims that
// earlier leaders have removed.
func (r *replica) limitRetention(c lwstate.BindClaim) (lwstate.Command, lwreplica.Term, error) {
	v := r.currentView()
	if !r.stillLeads(v.term) {
		return nil, 0, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
	}
	var err error
	r.read(func(s *lwstate.State) { c, err = s.LimitRetention(c) })
	return c, v.term, err
}

func (n *Node) onSync(ctx context.Context, s *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.requireReplica()
	if err != nil {
		return nil, err
	}
	m, err := lwlink.Decode[lwlink.Sync](params)
	if err != nil {
		return nil, err
	}
	return n.leader.sync(ctx, r, s, m)
}

// onWatch answers once there is a change after the revisions that the node has, at
// the latest after the MaxWait of the watch or maxWatchWait. A process that has
// just started asks from revision 0 and gets all objects, and an entry all backend
// servers, however many changes it missed.
func (n *Node) onWatch(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.requireReplica()
	if err != nil {
		return nil, err
	}
	w, err := lwlink.Decode[lwlink.Watch](params)
	if err != nil {
		return nil, err
	}
	n.watchers.record(w)
	n.waitForChange(ctx, r, w)
	if err := n.confirmer.waitConfirmed(ctx, r); err != nil {
		return nil, err
	}
	var reply lwlink.WatchReply
	r.read(func(s *lwstate.State) { reply = changesSince(s, w) })
	return reply, nil
}

func (n *Node) waitForChange(ctx context.Context, r *replica, w lwlink.Watch) {
	timeout := time.NewTimer(min(w.MaxWait.Std(), maxWatchWait))
	defer timeout.Stop()
	for {
		r.mu.RLock()
		hasNewer := r.state.PolicyRevision() > w.PolicyRevision || (w.Role == lwlink.RoleEntry && r.state.BackendRevision() > w.BackendRevision)
		changed := r.stateChanged
		r.mu.RUnlock()
		if hasNewer {
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

// changesSince returns the changes after the revisions that the node has.
func changesSince(s *lwstate.State, w lwlink.Watch) lwlink.WatchReply {
	reply := lwlink.WatchReply{Revision: s.PolicyRevision(), Clock: s.Clock(), BackendRevision: s.BackendRevision()}
	if s.PolicyRevision() != w.PolicyRevision {
		reply.Objects = s.ObjectsSince(w.PolicyRevision)
	}
	if w.Role != lwlink.RoleEntry || s.BackendRevision() == w.BackendRevision {
		return reply
	}
	reply.Backends, reply.Evacuated = s.Backends(), s.Evacuations().Domains()
	seen := make(map[lwunit.WorkerID]bool)
	for i, b := range reply.Backends {
		worker, ok := s.Worker(b.Worker)
		if !w.ObeysEvacuations && s.Evacuations().Evacuated(worker.Spec.Domain) {
			reply.Backends[i].Leaving = true // an entry of an older version sends it no requests for this reason
		}
		if ok && !seen[b.Worker] {
			seen[b.Worker] = true
			reply.Workers = append(reply.Workers, lwlink.WorkerAddress{Worker: b.Worker, Domain: worker.Spec.Domain, GateAddress: worker.Spec.GateAddress})
		}
	}
	return reply
}

func (n *Node) onQuery(ctx context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
	r, err := n.requireReplica()
	if err != nil {
		return nil, err
	}
	q, err := lwlink.Decode[lwlink.Query](params)
	if err != nil {
		return nil, err
	}
	if v := r.currentView(); v.role != lwreplica.Leader {
		return nil, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
	}
	if err := n.confirmer.waitConfirmed(ctx, r); err != nil {
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
		limit = defaultTicketLimit
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
	case lwlink.QueryDomains:
		res.Domains = domainStatuses(s)
	case lwlink.QueryBackends:
		res.Backends = s.Backends()
	case lwlink.QueryObjects:
		res.Objects = s.ObjectsSince(0)
	case lwlink.QueryTickets:
		res.Tickets = s.Tickets(limit)
	case lwlink.QueryTicket:
		rec, ok := s.Ticket(q.Ticket)
		if !ok {
			return res, lwfault.New(lwfault.NotFound, "ticket %d was not accepted, or its record is no longer kept", q.Ticket)
		}
		res.Tickets = []lwstate.TicketRecord{rec}
	case lwlink.QueryClaim:
		if q.Claim != nil {
			res.ClaimFloor = s.ClaimFloor(*q.Claim)
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

// watchers holds the last watch of each process that asked this replica.
type watchers struct {
	mu    sync.Mutex
	nodes map[string]watcher
}

// watcher is the last watch of one process.
type watcher struct {
	role       lwlink.NodeRole
	applied    lwunit.Revision
	reportedAt time.Time
}

func newWatchers() *watchers { return &watchers{nodes: make(map[string]watcher)} }

func (w *watchers) record(m lwlink.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[m.Node] = watcher{m.Role, m.PolicyRevision, time.Now()}
}

func (w *watchers) list() []lwlink.NodeStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []lwlink.NodeStatus
	for name, node := range w.nodes {
		age := time.Since(node.reportedAt)
		if age > nodeStatusRetention {
			delete(w.nodes, name)
			continue
		}
		list = append(list, lwlink.NodeStatus{Node: name, Role: node.role, Applied: node.applied, Age: lwunit.Duration(age)})
	}
	return list
}

// allNodes merges the node statuses of every replica, since a node watches any
// one of them. The latest status of each node is kept.
func (n *Node) allNodes(ctx context.Context, r *replica) []lwlink.NodeStatus {
	latest := make(map[string]lwlink.NodeStatus)
	merge := func(list []lwlink.NodeStatus) {
		for _, s := range list {
			if old, ok := latest[s.Node]; !ok || s.Age < old.Age {
				latest[s.Node] = s
			}
		}
	}
	merge(n.watchers.list())
	for _, m := range r.currentView().membership.Members() {
		if m.ID == r.id {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
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
	v := r.currentView()
	return v.holdsLease && v.term == term && r.now() < v.leaseEnd
}
