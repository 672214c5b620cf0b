package lwcontrol

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// placeOf returns the address of the voter whose place a learner may take: its
// own, or the one that an operator named.
func (n *Node) placeOf(v view, l lwreplica.Member) string {
	n.mu.RLock()
	old, ok := n.replacing[l.Address]
	n.mu.RUnlock()
	if ok {
		return old
	}
	if at := lostVoter(v); at != "" && !hasAddress(v.membership.Voters, l.Address) {
		return at
	}
	return l.Address
}

func hasAddress(list []lwreplica.Member, address string) bool {
	return slices.ContainsFunc(list, func(m lwreplica.Member) bool { return m.Address == address })
}

// lostVoter returns the address of the voter that has been silent longest,
// beyond what a restart takes, or "".
func lostVoter(v view) string {
	at, longest := "", lostAfter
	for _, m := range v.matches {
		if v.membership.IsVoter(m.member.ID) && m.member.ID != v.leader && m.since >= longest {
			at, longest = m.member.Address, m.since
		}
	}
	return at
}

// hasPlace reports whether a learner is to become a voter. One that nobody
// asked for stays a learner, so that a group does not grow by accident.
func (n *Node) hasPlace(v view, l lwreplica.Member) bool {
	n.mu.RLock()
	_, named := n.replacing[l.Address]
	started := n.promoting[l.ID]
	n.mu.RUnlock()
	atAddress := hasAddress(v.membership.Voters, l.Address)
	return named || started || atAddress || lostVoter(v) != "" || len(v.membership.Voters) < n.wantedVoters()
}

// wantedVoters returns how many voters the group shall have.
func (n *Node) wantedVoters() int {
	if n.cfg.Voters > 0 {
		return n.cfg.Voters
	}
	return len(n.cfg.Replicas)
}

// repairStep moves the membership one safe step on: a learner that has caught
// up replaces the voter whose place it takes, and is then made a voter.
func (n *Node) repairStep(ctx context.Context, r *replica) {
	v := r.current()
	for _, l := range v.membership.Learners {
		if !caughtUp(v, l) || !n.hasPlace(v, l) {
			continue
		}
		place := n.placeOf(v, l)
		if n.removedFor(l) {
			place = "" // its place is free already
		}
		next, why := nextMembership(v, l, place)
		if err := n.changeMembership(ctx, r, next); err != nil {
			n.log.Warn("membership not changed", zap.Error(err))
			return
		}
		n.noteRemoval(l)
		n.log.Info("membership changed", zap.String("replica", string(l.ID)), zap.String("step", why))
		return
	}
}

// removedFor reports whether a voter was removed to make room for a learner.
func (n *Node) removedFor(l lwreplica.Member) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.promoting[l.ID]
}

func (n *Node) noteRemoval(l lwreplica.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.promoting == nil {
		n.promoting = make(map[lwunit.ReplicaID]bool)
	}
	n.promoting[l.ID] = true
}

// nextMembership returns the membership that brings learner l closer to a
// vote: first the voter at the address whose place it takes is removed, then l
// is promoted.
func nextMembership(v view, l lwreplica.Member, place string) (lwreplica.Membership, string) {
	next := lwreplica.Membership{Voters: slices.Clone(v.membership.Voters), Learners: slices.Clone(v.membership.Learners)}
	for i, m := range next.Voters {
		if m.Address == place {
			next.Voters = slices.Delete(next.Voters, i, i+1)
			return next, "removed the voter at " + place
		}
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(m lwreplica.Member) bool { return m.ID == l.ID })
	next.Voters = append(next.Voters, l)
	return next, "promoted to voter"
}

func caughtUp(v view, l lwreplica.Member) bool {
	for _, m := range v.matches {
		if m.member.ID == l.ID {
			return m.since < time.Second && m.match >= v.commit
		}
	}
	return false
}
