package lwcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// statusResult tells another replica what this one is.
type statusResult struct {
	Replica lwunit.ReplicaID          `json:"replica"`
	Cluster string                    `json:"cluster"` // empty before it has joined
	Address string                    `json:"address"`
	Domain  lwunit.FailureDomain      `json:"domain"`
	Applied uint64                    `json:"applied"`
	Hash    string                    `json:"hash,omitempty"`
	Relay   bool                      `json:"relay,omitempty"` // it has no replica
	Peers   []string                  `json:"peers,omitempty"` // RPC addresses of others that it knows
	Leads   bool                      `json:"leads,omitempty"`
	Members map[lwunit.ReplicaID]bool `json:"members,omitempty"` // if it leads
}

// initParams founds a group.
type initParams struct {
	Cluster    string               `json:"cluster"`
	Membership lwreplica.Membership `json:"membership"`
}

// joinParams asks the leader for a place in the group.
type joinParams struct {
	Member lwreplica.Member `json:"member"`
}

type joinResult struct {
	Cluster    string               `json:"cluster"`
	Membership lwreplica.Membership `json:"membership"`
}

// replaceParams names the address of a voter and of the learner to follow it.
type replaceParams struct {
	Old string `json:"old"`
	New string `json:"new"`
}

func (n *Node) status(_ json.RawMessage) (statusResult, error) {
	res := statusResult{
		Replica: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain,
	}
	n.mu.RLock()
	res.Cluster = n.contents.Identity.Cluster
	n.mu.RUnlock()
	if r := n.current(); r != nil {
		v := r.current()
		res.Applied = uint64(v.applied)
		if res.Leads = r.stillLeads(v.term); res.Leads {
			res.Members = make(map[lwunit.ReplicaID]bool)
			for _, m := range v.membership.Members() {
				res.Members[m.ID] = true
			}
		}
	}
	return res, nil
}

// join finds this node its group. A new group is founded only when every
// first member says that it is new as well: a replica that lost its disk then
// finds a member that is not new, and joins that one's group under its new
// identity instead of founding a second group.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case m := <-n.initial:
			return n.adopt(m, "")
		case <-ctx.Done():
			return nil
		case <-time.After(bootstrapPause):
		}
		if err := n.tryJoin(ctx); err != nil {
			n.log.Debug("not joined yet", zap.Error(err))
		}
		n.mu.RLock()
		joined := n.contents.Identity.Cluster != ""
		n.mu.RUnlock()
		if joined {
			return nil
		}
	}
	return nil
}

// tryJoin asks the first members what they are. One that belongs to a group is
// enough to join it; to found one, all must have answered that they are new.
func (n *Node) tryJoin(ctx context.Context) error {
	statuses, err := n.askAll(ctx)
	var peers []string
	for _, st := range statuses {
		if st.Cluster != "" {
			return n.askJoin(ctx, n.cfg.Replicas)
		}
		peers = append(peers, st.Peers...)
	}
	switch {
	case n.cfg.JoinOnly && len(peers) > 0:
		return n.askJoin(ctx, peers)
	case !n.cfg.JoinOnly && n.cfg.Voters > 0:
		return n.offer(ctx)
	}
	if err != nil {
		return err
	}
	if n.cfg.JoinOnly {
		return lwfault.New(lwfault.Unavailable, "no replica belongs to a group yet")
	}
	members := make([]lwreplica.Member, 0, len(statuses))
	for _, st := range statuses {
		members = append(members, lwreplica.Member{ID: st.Replica, Address: st.Address, Domain: st.Domain})
	}
	founder := slices.MinFunc(members, func(a, b lwreplica.Member) int {
		return compareIDs(a.ID, b.ID)
	})
	if founder.ID != n.id {
		return nil // the founder will tell this node
	}
	return n.found(ctx, lwreplica.Membership{Voters: members})
}

// askMembers asks the seeds and the members that this replica last knew of;
// those that do not answer cannot help.
func (n *Node) askMembers(ctx context.Context, v view) []statusResult {
	addresses := slices.Clone(n.cfg.Replicas)
	for _, m := range v.membership.Members() {
		if !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	statuses, err := n.askEach(ctx, addresses)
	if err != nil {
		n.log.Debug("some members did not answer", zap.Error(err))
	}
	return statuses
}

// askAll asks every first member.
func (n *Node) askAll(ctx context.Context) ([]statusResult, error) {
	return n.askEach(ctx, n.cfg.Replicas)
}

// askEach asks several processes at the same time; the error is of one that
// did not answer.
func (n *Node) askEach(ctx context.Context, addresses []string) ([]statusResult, error) {
	type answer struct {
		status statusResult
		err    error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			st, err := n.askStatus(ctx, address)
			st.Address = address
			answers <- answer{st, err}
		}()
	}
	var list []statusResult
	var failed error
	for range addresses {
		a := <-answers
		if a.err != nil {
			failed = a.err
			continue
		}
		list = append(list, a.status)
	}
	return list, failed
}

func compareIDs(a, b lwunit.ReplicaID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (n *Node) askStatus(ctx context.Context, address string) (statusResult, error) {
	if address == n.cfg.Address {
		return n.status(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var st statusResult
	if err := n.endpoint.Peer(address).Call(ctx, methodStatus, struct{}{}, &st); err != nil {
		return st, fmt.Errorf("ask %s: %w", address, err)
	}
	return st, nil
}

// found tells every first member the same membership. The members answer for
// it only with the identity they were asked under.
func (n *Node) found(ctx context.Context, m lwreplica.Membership) error {
	id, err := randomID()
	if err != nil {
		return err
	}
	params := initParams{id, m}
	for _, member := range m.Voters {
		if member.ID == n.id {
			continue
		}
		call, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		err := n.endpoint.Peer(member.Address).Call(call, methodInit, params, nil)
		cancel()
		if err != nil {
			return fmt.Errorf("init %s: %w", member.Address, err)
		}
	}
	return n.adopt(m, id)
}

// onInit accepts the founding of a group if this node is new and named in it.
func (n *Node) onInit(p initParams) error {
	n.mu.RLock()
	cluster := n.contents.Identity.Cluster
	n.mu.RUnlock()
	if cluster != "" {
		if cluster == p.Cluster {
			return nil
		}
		return lwfault.New(lwfault.Conflict, "this replica belongs to a group already")
	}
	if !p.Membership.IsVoter(n.id) {
		return lwfault.New(lwfault.Fenced, "the membership names another identity at this address")
	}
	if err := n.adopt(p.Membership, p.Cluster); err != nil {
		return err
	}
	select {
	case n.initial <- p.Membership:
	default:
	}
	return nil
}

// adopt makes the membership this node starts from durable: first the
// snapshot at index 0, then the identity that says it is valid.
func (n *Node) adopt(m lwreplica.Membership, cluster string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.contents.Identity.Cluster != "" {
		return nil
	}
	snap := lwreplica.Snapshot{Membership: m}
	if err := n.wal.SaveSnapshot(snap, nil); err != nil {
		return err
	}
	id := n.contents.Identity
	id.Cluster = cluster
	if err := n.wal.SaveIdentity(id); err != nil {
		return err
	}
	n.contents.Identity = id
	n.contents.Restored.Snapshot = snap
	n.log.Info("joined a control group", zap.String("cluster", cluster), zap.Int("voters", len(m.Voters)))
	return nil
}

// askJoin asks the leader to add this replica as a learner. The leader makes
// it a voter once it has caught up.
func (n *Node) askJoin(ctx context.Context, addresses []string) error {
	me := lwreplica.Member{ID: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain}
	var last error
	for _, address := range addresses {
		if address == n.cfg.Address {
			continue
		}
		res, err := n.joinAt(ctx, address, me)
		if f := lwfault.As(err); err != nil && f.Kind == lwfault.NotLeader && f.Leader != "" {
			res, err = n.joinAt(ctx, f.Leader, me)
		}
		if err == nil {
			return n.adopt(lwreplica.Membership{Voters: res.Membership.Voters, Learners: res.Membership.Learners}, res.Cluster)
		}
		last = err
	}
	return last
}

func (n *Node) joinAt(ctx context.Context, address string, me lwreplica.Member) (joinResult, error) {
	call, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var res joinResult
	err := n.endpoint.Peer(address).Call(call, methodJoin, joinParams{me}, &res)
	return res, err
}

// stayMember asks to be added again when the group has replaced this replica
// while it was away. It knows by hearing from no leader.
func (n *Node) stayMember(ctx context.Context, r *replica) {
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for quiet := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.current().leader != "" {
			quiet = 0
			continue
		}
		if quiet++; quiet < rejoinAfter {
			continue
		}
		statuses := n.askMembers(ctx, r.current())
		for _, st := range statuses {
			if st.Leads && !st.Members[n.id] {
				n.log.Info("this replica was replaced; it asks to join again")
				if err := n.askJoin(ctx, []string{st.Address}); err != nil {
					n.log.Warn("not joined again yet", zap.Error(err))
				}
				break
			}
		}
	}
}

// onJoin adds a learner. It is refused while its address still belongs to a
// voter that answers.
func (n *Node) onJoin(ctx context.Context, p joinParams) (joinResult, error) {
	r := n.current()
	if r == nil {
		return joinResult{}, lwfault.New(lwfault.Unavailable, "this replica has not joined a group")
	}
	v := r.current()
	if v.role != lwreplica.Leader {
		return joinResult{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddr}
	}
	n.mu.RLock()
	cluster := n.contents.Identity.Cluster
	n.mu.RUnlock()
	if v.membership.IsVoter(p.Member.ID) || v.membership.IsLearner(p.Member.ID) {
		return joinResult{cluster, v.membership}, nil
	}
	next := v.membership
	next.Learners = append(slices.Clone(next.Learners), p.Member)
	if err := n.changeMembership(ctx, r, next); err != nil {
		return joinResult{}, err
	}
	n.log.Info("learner added", zap.String("replica", string(p.Member.ID)), zap.String("address", p.Member.Address))
	return joinResult{cluster, next}, nil
}

func (n *Node) changeMembership(ctx context.Context, r *replica, m lwreplica.Membership) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := r.submit(ctx, func(id uint64) lwreplica.Event { return lwreplica.ChangeMembership{ID: id, Membership: m} })
	return err
}

// onReplace notes that the learner at one address shall take the place of the
// voter at another. The leader keeps it in memory: after a change of leader the
// operator repeats the command, which does nothing if it is done.
func (n *Node) onReplace(p replaceParams) error {
	r, err := n.member()
	if err != nil {
		return err
	}
	v := r.current()
	if v.role != lwreplica.Leader {
		return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddr}
	}
	switch {
	case hasAddress(v.membership.Voters, p.New) && !hasAddress(v.membership.Voters, p.Old):
		return nil
	case !hasAddress(v.membership.Learners, p.New):
		return lwfault.New(lwfault.NotFound, "no replica at %s has joined as a learner; start one there first", p.New)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replacing == nil {
		n.replacing = make(map[string]string)
	}
	n.replacing[p.New] = p.Old
	return nil
}

// replicaStatuses describes the members for operators.
func (n *Node) replicaStatuses(r *replica) []lwlink.ReplicaStatus {
	v := r.current()
	var list []lwlink.ReplicaStatus
	for _, m := range v.matches {
		role := "learner"
		switch {
		case m.member.ID == v.leader:
			role = "leader"
		case v.membership.IsVoter(m.member.ID):
			role = "voter"
		}
		list = append(list, lwlink.ReplicaStatus{
			ID: m.member.ID, Address: m.member.Address, Domain: m.member.Domain, Role: role,
			Match: uint64(m.match), Last: uint64(v.last), Answer: lwunit.Duration(m.since),
		})
	}
	return list
}
