package lwcontrol

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// statusResult describes this control process to another one.
type statusResult struct {
	Replica lwunit.ReplicaID          `json:"replica"`
	Cluster string                    `json:"cluster"` // empty until the replica has joined a group
	Address string                    `json:"address"`
	Domain  lwunit.FailureDomain      `json:"domain"`
	Applied uint64                    `json:"applied"`
	Hash    string                    `json:"hash,omitempty"`
	Relay   bool                      `json:"relay,omitempty"`   // the process has no replica
	Peers   []string                  `json:"peers,omitempty"`   // RPC addresses of control processes that a relay knows
	Leads   bool                      `json:"leads,omitempty"`   // the replica leads and holds its lease
	Members map[lwunit.ReplicaID]bool `json:"members,omitempty"` // set by the leader

	KnowsEvacuations bool `json:"knows_evacuations,omitempty"` // the replica can apply lwstate.SetEvacuation
}

// initParams bootstraps a group with its first membership.
type initParams struct {
	Cluster    string               `json:"cluster"`
	Membership lwreplica.Membership `json:"membership"`
}

// joinParams asks the leader to add a learner.
type joinParams struct {
	Member lwreplica.Member `json:"member"`
}

type joinResult struct {
	Cluster    string               `json:"cluster"`
	Membership lwreplica.Membership `json:"membership"`
}

// replaceParams names the address of a voter and that of the learner to replace it.
type replaceParams struct {
	Old string `json:"old"`
	New string `json:"new"`
}

func (n *Node) status(_ json.RawMessage) (statusResult, error) {
	res := statusResult{
		Replica: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain, KnowsEvacuations: true,
	}
	n.mu.RLock()
	res.Cluster = n.contents.Identity.Cluster
	n.mu.RUnlock()
	if r := n.currentReplica(); r != nil {
		v := r.currentView()
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

// join blocks until this node belongs to a group or ctx ends. A replica that lost
// its disk must not bootstrap a second group: it joins the existing one under its
// new identity as soon as a first member reports its group. Without a configured
// number of voters, a group is bootstrapped only when every first member has
// answered that it is new.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case m := <-n.initialMembership:
			return n.saveMembership(m, "") // no effect, since onInit has saved it with the cluster name
		case <-ctx.Done():
			return nil
		case <-time.After(joinRetryInterval):
		}
		if err := n.tryJoin(ctx); err != nil {
			n.log.Debug("cannot join a control group yet", zap.Error(err))
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

// tryJoin asks the first members for their status and joins the group that any
// of them belongs to. Otherwise, a JoinOnly node tries the control processes that
// relays among them know. Any other node submits its replica as a candidate if the
// number of voters is configured, or else bootstraps a group of all first members
// if it has the lowest id and each of them has answered that it is new. A member
// that accepted the same group in an earlier attempt counts as new until the group
// has a leader.
func (n *Node) tryJoin(ctx context.Context) error {
	statuses, err := n.firstMemberStatuses(ctx)
	first := firstMembership(statuses)
	resumable := !n.cfg.JoinOnly && n.cfg.Voters == 0 && err == nil
	var peers []string
	for _, st := range statuses {
		if st.Cluster != "" && (st.Leads || !resumable || st.Cluster != clusterName(first)) {
			return n.requestJoin(ctx, n.cfg.Seeds)
		}
		peers = append(peers, st.Peers...)
	}
	switch {
	case n.cfg.JoinOnly && len(peers) > 0:
		return n.requestJoin(ctx, peers)
	case !n.cfg.JoinOnly && n.cfg.Voters > 0:
		return n.submitCandidate(ctx)
	}
	if err != nil {
		return err
	}
	if n.cfg.JoinOnly {
		return lwfault.New(lwfault.Unavailable, "no replica belongs to a group yet")
	}
	if first.Voters[0].ID != n.id {
		return nil // the member with the lowest id sends methodInit
	}
	return n.bootstrapGroup(ctx, first)
}

// firstMembership returns the membership of a group whose voters are the first
// members, by id.
func firstMembership(statuses []statusResult) lwreplica.Membership {
	var m lwreplica.Membership
	for _, st := range statuses {
		m.Voters = append(m.Voters, lwreplica.Member{ID: st.Replica, Address: st.Address, Domain: st.Domain})
	}
	slices.SortFunc(m.Voters, func(a, b lwreplica.Member) int { return compareIDs(a.ID, b.ID) })
	return m
}

// clusterName derives the name of a group from the ids of its first voters, so that
// every attempt to bootstrap it uses the same name, also after a restart. A replica
// that lost its disk has a new id, which makes it another group.
func clusterName(m lwreplica.Membership) string {
	h := sha256.New()
	for _, v := range m.Voters {
		fmt.Fprintf(h, "%s\n", v.ID)
	}
	return hex.EncodeToString(h.Sum(nil)[:replicaIDBytes])
}

// memberStatuses returns the statuses of the seeds and of the members in a
// view, without those that do not answer.
func (n *Node) memberStatuses(ctx context.Context, v view) []statusResult {
	addresses := slices.Clone(n.cfg.Seeds)
	for _, m := range v.membership.Members() {
		if !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	statuses, err := n.statusesOf(ctx, addresses)
	if err != nil {
		n.log.Debug("cannot read the status of some members", zap.Error(err))
	}
	return statuses
}

// firstMemberStatuses returns the statuses of the first members; the error is
// of one that did not answer.
func (n *Node) firstMemberStatuses(ctx context.Context) ([]statusResult, error) {
	return n.statusesOf(ctx, n.cfg.Seeds)
}

// statusesOf asks several processes concurrently for their statuses; the error
// is of one that did not answer.
func (n *Node) statusesOf(ctx context.Context, addresses []string) ([]statusResult, error) {
	type answer struct {
		status statusResult
		err    error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			st, err := n.statusOf(ctx, address)
			st.Address = address
			answers <- answer{st, err}
		}()
	}
	var list []statusResult
	var lastErr error
	for range addresses {
		a := <-answers
		if a.err != nil {
			lastErr = a.err
			continue
		}
		list = append(list, a.status)
	}
	return list, lastErr
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

func (n *Node) statusOf(ctx context.Context, address string) (statusResult, error) {
	if address == n.cfg.Address {
		return n.status(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var st statusResult
	if err := n.endpoint.Peer(address).Call(ctx, methodStatus, struct{}{}, &st); err != nil {
		return st, fmt.Errorf("read status of %s: %w", address, err)
	}
	return st, nil
}

// bootstrapGroup sends the membership to every other first member and then
// saves it. A member accepts only if the membership names its identity, so a
// replica whose disk was lost since it answered refuses.
func (n *Node) bootstrapGroup(ctx context.Context, m lwreplica.Membership) error {
	params := initParams{clusterName(m), m}
	for _, member := range m.Voters {
		if member.ID == n.id {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := n.endpoint.Peer(member.Address).Call(call, methodInit, params, nil)
		cancel()
		if err != nil {
			return fmt.Errorf("bootstrap member %s: %w", member.Address, err)
		}
	}
	return n.saveMembership(m, params.Cluster)
}

// onInit accepts the first membership of a group if this node is new and the
// membership names it as a voter.
func (n *Node) onInit(p initParams) error {
	n.mu.RLock()
	cluster := n.contents.Identity.Cluster
	n.mu.RUnlock()
	if cluster != "" {
		if cluster == p.Cluster {
			return nil
		}
		return lwfault.New(lwfault.Conflict, "this replica already belongs to a group")
	}
	if !p.Membership.IsVoter(n.id) {
		return lwfault.New(lwfault.Fenced, "the membership names another identity at this address")
	}
	if err := n.saveMembership(p.Membership, p.Cluster); err != nil {
		return err
	}
	select {
	case n.initialMembership <- p.Membership:
	default:
	}
	return nil
}

// saveMembership makes the membership that this node starts from durable:
// first the snapshot at index 0, then the identity with the cluster name, which
// marks the snapshot as valid.
func (n *Node) saveMembership(m lwreplica.Membership, cluster string) error {
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
	n.contents.State.Snapshot = snap
	n.log.Info("joined a control group", zap.String("cluster", cluster), zap.Int("voters", len(m.Voters)))
	return nil
}

// requestJoin asks the leader to add this replica as a learner, starting at the
// given addresses and following one redirect each, and saves the membership unless
// this node belongs to a group already.
// The leader promotes the learner once it has caught up and the group needs a voter.
func (n *Node) requestJoin(ctx context.Context, addresses []string) error {
	self := lwreplica.Member{ID: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain}
	var lastErr error
	for _, address := range addresses {
		if address == n.cfg.Address {
			continue
		}
		res, err := n.requestJoinAt(ctx, address, self)
		if f := lwfault.As(err); err != nil && f.Kind == lwfault.NotLeader && f.Leader != "" {
			res, err = n.requestJoinAt(ctx, f.Leader, self)
		}
		if err == nil {
			return n.saveMembership(lwreplica.Membership{Voters: res.Membership.Voters, Learners: res.Membership.Learners}, res.Cluster)
		}
		lastErr = err
	}
	return lastErr
}

func (n *Node) requestJoinAt(ctx context.Context, address string, self lwreplica.Member) (joinResult, error) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var res joinResult
	err := n.endpoint.Peer(address).Call(call, methodJoin, joinParams{self}, &res)
	return res, err
}

// rejoinIfRemoved asks the leader to add this replica again if the group removed
// it, for example while it was down. A removed replica receives no messages from
// the leader, so it asks the members after it has known no leader for some
// intervals.
func (n *Node) rejoinIfRemoved(ctx context.Context, r *replica) {
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for leaderless := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.currentView().leader != "" {
			leaderless = 0
			continue
		}
		if leaderless++; leaderless < rejoinAfterIntervals {
			continue
		}
		statuses := n.memberStatuses(ctx, r.currentView())
		for _, st := range statuses {
			if st.Leads && !st.Members[n.id] {
				n.log.Info("this replica was removed from its group; requesting to join again")
				if err := n.requestJoin(ctx, []string{st.Address}); err != nil {
					n.log.Warn("cannot join the control group again yet", zap.Error(err))
				}
				break
			}
		}
	}
}

// onJoin adds a learner, or returns the membership if the replica is a member
// already.
func (n *Node) onJoin(ctx context.Context, p joinParams) (joinResult, error) {
	r := n.currentReplica()
	if r == nil {
		return joinResult{}, lwfault.New(lwfault.Unavailable, "this replica has not joined a group")
	}
	v := r.currentView()
	if v.role != lwreplica.Leader {
		return joinResult{}, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
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

// onReplace records that the learner at one address is to replace the voter at
// another. The record is only in the leader's memory: after a change of leader the
// operator repeats the command, which does nothing if the learner has replaced
// the voter already.
func (n *Node) onReplace(p replaceParams) error {
	r, err := n.requireReplica()
	if err != nil {
		return err
	}
	v := r.currentView()
	if v.role != lwreplica.Leader {
		return &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "ask the leader", Leader: v.leaderAddress}
	}
	switch {
	case hasAddress(v.membership.Voters, p.New) && !hasAddress(v.membership.Voters, p.Old):
		return nil
	case !hasAddress(v.membership.Learners, p.New):
		return lwfault.New(lwfault.NotFound, "no replica at %s has joined as a learner; start one there first", p.New)
	case !hasAddress(v.membership.Voters, p.Old) && !n.removalPending(v) && len(v.membership.Voters) >= n.targetVoters():
		return lwfault.New(lwfault.NotFound, "no voter is at %s", p.Old)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replacements == nil {
		n.replacements = make(map[string]replacement)
	}
	n.replacements[p.New] = replacement{p.Old, v.term}
	return nil
}

// replicaStatuses returns the status of each member, for operators. The list is
// empty unless this replica leads.
func (n *Node) replicaStatuses(r *replica) []lwlink.ReplicaStatus {
	v := r.currentView()
	var list []lwlink.ReplicaStatus
	for _, m := range v.progress {
		role := "learner"
		switch {
		case m.member.ID == v.leader:
			role = "leader"
		case v.membership.IsVoter(m.member.ID):
			role = "voter"
		}
		list = append(list, lwlink.ReplicaStatus{
			ID: m.member.ID, Address: m.member.Address, Domain: m.member.Domain, Role: role,
			MatchIndex: uint64(m.match), LastIndex: uint64(v.last), SinceAnswer: lwunit.Duration(m.sinceAnswer),
		})
	}
	return list
}
