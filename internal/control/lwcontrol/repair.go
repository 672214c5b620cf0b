package lwcontrol

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// replacedAddress returns the address of the voter that a learner may replace:
// the one that an operator named, else that of a lost voter unless a voter has
// the learner's own address, else the learner's own address.
func (n *Node) replacedAddress(v view, l lwreplica.Member) string {
	n.mu.RLock()
	old, ok := n.replacements[l.Address]
	n.mu.RUnlock()
	if ok {
		return old
	}
	if lost := lostVoter(v); lost != "" && !hasAddress(v.membership.Voters, l.Address) {
		return lost
	}
	return l.Address
}

func hasAddress(list []lwreplica.Member, address string) bool {
	return slices.ContainsFunc(list, func(m lwreplica.Member) bool { return m.Address == address })
}

// lostVoter returns the address of the voter that has not answered for the
// longest time, at least voterLostAfter, or "".
func lostVoter(v view) string {
	address, longest := "", voterLostAfter
	for _, m := range v.progress {
		if v.membership.IsVoter(m.member.ID) && m.member.ID != v.leader && m.sinceAnswer >= longest {
			address, longest = m.member.Address, m.sinceAnswer
		}
	}
	return address
}

// shouldPromote reports whether a learner is to become a voter. One that
// replaces no voter stays a learner while the group has enough voters, so that
// the group does not grow by accident.
func (n *Node) shouldPromote(v view, l lwreplica.Member) bool {
	n.mu.RLock()
	_, named := n.replacements[l.Address]
	started := n.promoting[l.ID]
	n.mu.RUnlock()
	atAddress := hasAddress(v.membership.Voters, l.Address)
	return named || started || atAddress || lostVoter(v) != "" || len(v.membership.Voters) < n.targetVoters()
}

// targetVoters returns how many voters the group is to have.
func (n *Node) targetVoters() int {
	if n.cfg.Voters > 0 {
		return n.cfg.Voters
	}
	return len(n.cfg.Seeds)
}

// repairStep makes at most one change of the membership. For a learner that has
// caught up, the first step removes the voter that it replaces, if there is one,
// and the next promotes it.
func (n *Node) repairStep(ctx context.Context, r *replica) {
	v := r.currentView()
	for _, l := range v.membership.Learners {
		if !caughtUp(v, l) || !n.shouldPromote(v, l) {
			continue
		}
		replaced := n.replacedAddress(v, l)
		if n.isPromoting(l) {
			replaced = "" // the voter was removed in an earlier step
		}
		next, step := nextMembership(v, l, replaced)
		if err := n.changeMembership(ctx, r, next); err != nil {
			n.log.Warn("cannot change the membership of the control group", zap.Error(err))
			return
		}
		n.markPromoting(l)
		n.log.Info("membership changed", zap.String("replica", string(l.ID)), zap.String("step", step))
		return
	}
}

// isPromoting reports whether a step for a learner has been made, so that no
// further voter is removed for it.
func (n *Node) isPromoting(l lwreplica.Member) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.promoting[l.ID]
}

func (n *Node) markPromoting(l lwreplica.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.promoting == nil {
		n.promoting = make(map[lwunit.ReplicaID]bool)
	}
	n.promoting[l.ID] = true
}

// nextMembership returns the membership after the next step for learner l, and
// the name of the step: it removes the voter at the address replaced, or promotes
// l if there is no such voter.
func nextMembership(v view, l lwreplica.Member, replaced string) (lwreplica.Membership, string) {
	next := lwreplica.Membership{Voters: slices.Clone(v.membership.Voters), Learners: slices.Clone(v.membership.Learners)}
	for i, m := range next.Voters {
		if m.Address == replaced {
			next.Voters = slices.Delete(next.Voters, i, i+1)
			return next, "removed the voter at " + replaced
		}
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(m lwreplica.Member) bool { return m.ID == l.ID })
	next.Voters = append(next.Voters, l)
	return next, "promoted to voter"
}

// caughtUp reports whether a learner has answered within the last second and
// holds every committed entry.
func caughtUp(v view, l lwreplica.Member) bool {
	for _, m := range v.progress {
		if m.member.ID == l.ID {
			return m.sinceAnswer < time.Second && m.match >= v.commit
		}
	}
	return false
}
