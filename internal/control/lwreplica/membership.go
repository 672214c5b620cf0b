package lwreplica

import (
	"encoding/json"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// changeMembership appends a new membership. It is in force once appended, so a
// second change is refused until the first is committed: quorums of memberships
// that are two changes apart need not overlap. A new leader first commits an entry
// of its own term, as other logs may hold a change that an earlier leader made.
func (c *Core) changeMembership(e ChangeMembership) {
	if err := c.checkMembershipChange(e.Membership); err != nil {
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, err})
		return
	}
	data, err := json.Marshal(e.Membership)
	if err != nil {
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, err})
		return
	}
	c.appendAsLeader(e.ID, EntryMembership, data)
}

func (c *Core) checkMembershipChange(next Membership) error {
	current := c.Membership()
	switch {
	case c.role != Leader:
		return errNotLeader()
	case c.memberships[len(c.memberships)-1].index > c.commit:
		return lwfault.New(lwfault.Conflict, "the previous membership change is not committed yet")
	case c.commit < c.termStartIndex:
		return lwfault.New(lwfault.Unavailable, "the leader has not committed an entry of its term yet")
	case len(next.Voters) == 0:
		return lwfault.New(lwfault.Invalid, "a membership must have at least one voter")
	case countMissing(current.Voters, next.Voters)+countMissing(next.Voters, current.Voters) > 1:
		return lwfault.New(lwfault.Invalid, "a membership change may add or remove at most one voter")
	}
	listed := make(map[lwunit.ReplicaID]bool)
	for _, m := range next.Members() {
		if listed[m.ID] {
			return lwfault.New(lwfault.Invalid, "a membership may list replica %s only once", m.ID)
		}
		listed[m.ID] = true
	}
	for _, m := range next.Voters {
		if current.IsVoter(m.ID) {
			continue
		}
		if !current.IsLearner(m.ID) {
			return lwfault.New(lwfault.Invalid, "replica %s must be a learner before it becomes a voter", m.ID)
		}
		if p := c.peers[m.ID]; p == nil || p.match < c.commit {
			return lwfault.New(lwfault.Unavailable, "learner %s has not caught up with the log yet", m.ID)
		}
	}
	return nil
}

// countMissing returns how many members of a are not in b.
func countMissing(a, b []Member) int {
	n := 0
	for _, m := range a {
		if !containsMember(b, m.ID) {
			n++
		}
	}
	return n
}
