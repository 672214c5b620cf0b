package lwcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// replacement is an operator's command that a learner is to replace a voter. It
// holds only in the term in which it was given: the leader of a later term may have
// carried it out.
type replacement struct {
	old  string // address of the voter
	term lwreplica.Term
}

// removal records that the leader of a term has removed voters, so that the group
// is short until learners are promoted.
type removal struct {
	term   lwreplica.Term
	voters int // before the removals
}

// replacedAddress returns the address of the voter that a learner may replace:
// the one that an operator named, else that of a lost voter unless a voter has
// the learner's own address, else the learner's own address. While a removal is
// pending it is the learner's own, whose voter is an earlier identity.
func (n *Node) replacedAddress(v view, l lwreplica.Member) string {
	if n.removalPending(v) {
		return l.Address
	}
	if old := n.namedVoter(v, l); hasAddress(v.membership.Voters, old) {
		return old
	}
	if lost := lostVoter(v); lost != "" && !hasAddress(v.membership.Voters, l.Address) {
		return lost
	}
	return l.Address
}

// namedVoter returns the address of the voter that an operator named for a
// learner, or "".
func (n *Node) namedVoter(v view, l lwreplica.Member) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if x := n.replacements[l.Address]; x.term == v.term {
		return x.old
	}
	return ""
}

// dropReplacements deletes the replacements that an operator has to repeat and
// those that have been carried out.
func (n *Node) dropReplacements(v view) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.replacements, func(learner string, x replacement) bool {
		return x.term != v.term || !hasAddress(v.membership.Learners, learner)
	})
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

// targetVoters returns how many voters the group is to have.
func (n *Node) targetVoters() int {
	if n.cfg.Voters > 0 {
		return n.cfg.Voters
	}
	return len(n.cfg.Seeds)
}

// removalPending reports whether a voter has been removed for a learner that is not
// promoted yet. A new leader tells so from the membership, since a group has an odd
// number of voters otherwise.
func (n *Node) removalPending(v view) bool {
	n.mu.RLock()
	last := n.lastRemoval
	n.mu.RUnlock()
	voters := len(v.membership.Voters)
	return voters%2 == 0 && voters < n.targetVoters() || last.term == v.term && voters < last.voters
}

func (n *Node) recordRemoval(v view) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastRemoval.term != v.term {
		n.lastRemoval = removal{term: v.term}
	}
	n.lastRemoval.voters = max(n.lastRemoval.voters, len(v.membership.Voters))
}

// needsVoter reports whether a learner that replaces no voter is to become one. The
// seeds of a replica that was added later also name itself, so an even target does
// not let an odd group grow, except for a learner that an operator named.
func (n *Node) needsVoter(v view, l lwreplica.Member) bool {
	target := n.targetVoters()
	short := len(v.membership.Voters) < target
	return n.removalPending(v) || short && (target%2 == 1 || n.namedVoter(v, l) != "")
}

// repairStep makes at most one change of the membership. For a learner that has
// caught up, the first step removes the voter that it replaces, if there is one,
// and the next promotes it.
func (n *Node) repairStep(ctx context.Context, r *replica) {
	v := r.currentView()
	n.dropReplacements(v)
	for _, l := range n.learnersInOrder(v) {
		if !caughtUp(v, l) {
			continue
		}
		next, step, ok := n.nextMembership(v, l)
		if !ok {
			continue
		}
		if len(next.Voters) < len(v.membership.Voters) {
			n.recordRemoval(v)
		}
		if err := n.changeMembership(ctx, r, next); err != nil {
			n.log.Warn("cannot change the membership of the control group", zap.Error(err))
			return
		}
		n.log.Info("membership changed", zap.String("replica", string(l.ID)), zap.String("step", step))
		return
	}
}

// learnersInOrder returns the learners, first those for which the voter that an
// operator named has been removed, and last those for which it has not: while
// another removal is pending, they must not be promoted in the place of others.
func (n *Node) learnersInOrder(v view) []lwreplica.Member {
	rank := func(l lwreplica.Member) int {
		switch named := n.namedVoter(v, l); {
		case named == "":
			return 1
		case hasAddress(v.membership.Voters, named):
			return 2
		default:
			return 0
		}
	}
	list := slices.Clone(v.membership.Learners)
	slices.SortStableFunc(list, func(a, b lwreplica.Member) int { return rank(a) - rank(b) })
	return list
}

// nextMembership returns the membership after the next step for learner l, and
// the name of the step: it removes the voter that l replaces or, if there is none,
// promotes l. It reports false if l stays a learner, so that the group does not grow
// by accident.
func (n *Node) nextMembership(v view, l lwreplica.Member) (next lwreplica.Membership, step string, ok bool) {
	next = lwreplica.Membership{Voters: slices.Clone(v.membership.Voters), Learners: slices.Clone(v.membership.Learners)}
	replaced := n.replacedAddress(v, l)
	if i := slices.IndexFunc(next.Voters, func(m lwreplica.Member) bool { return m.Address == replaced }); i >= 0 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
		return next, "removed the voter at " + replaced, true
	}
	if !n.needsVoter(v, l) {
		return next, "", false
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(m lwreplica.Member) bool { return m.ID == l.ID })
	next.Voters = append(next.Voters, l)
	return next, "promoted to voter", true
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
