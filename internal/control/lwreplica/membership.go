package lwreplica

import (
	"encoding/json"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// changeMembership appends a membership that differs by one replica. It is in
// force once appended, so a second change waits until the first is committed.
func (c *Core) changeMembership(e ChangeMembership) {
	if err := c.checkChange(e.Membership); err != nil {
		c.out.Refused = append(c.out.Refused, Refused{e.ID, err})
		return
	}
	data, err := json.Marshal(e.Membership)
	if err != nil {
		c.out.Refused = append(c.out.Refused, Refused{e.ID, err})
		return
	}
	c.appendOwn(e.ID, EntryMembership, data)
}

func (c *Core) checkChange(next Membership) error {
	now := c.Membership()
	switch {
	case c.role != Leader:
		return errNotLeader()
	case c.members[len(c.members)-1].index > c.commit:
		return lwfault.New(lwfault.Conflict, "the membership change before is not committed yet")
	case c.commit < c.termStart:
		return lwfault.New(lwfault.Unavailable, "the leader has not committed an entry of its term yet")
	case len(next.Voters) == 0:
		return lwfault.New(lwfault.Invalid, "a membership needs a voter")
	case difference(now.Voters, next.Voters)+difference(next.Voters, now.Voters) > 1:
		return lwfault.New(lwfault.Invalid, "a membership change may add or remove one voter")
	}
	for _, m := range next.Voters {
		if now.IsVoter(m.ID) {
			continue
		}
		if !now.IsLearner(m.ID) {
			return lwfault.New(lwfault.Invalid, "replica %s must catch up as a learner first", m.ID)
		}
		if p := c.peers[m.ID]; p == nil || p.match < c.commit {
			return lwfault.New(lwfault.Unavailable, "replica %s has not caught up yet", m.ID)
		}
	}
	return nil
}

// difference counts the members of a that are not in b.
func difference(a, b []Member) int {
	n := 0
	for _, m := range a {
		if !contains(b, m.ID) {
			n++
		}
	}
	return n
}
