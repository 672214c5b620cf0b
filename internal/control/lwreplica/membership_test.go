package lwreplica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// Guards against a replica that is no voter, such as a learner or the earlier identity of a voter
// that lost its disk, electing a leader, committing an entry or extending a leader's lease.
func TestOnlyVotersCount(t *testing.T) {
	is := is.New(t)
	m := lwreplica.Membership{
		Voters:   []lwreplica.Member{{ID: "a", Address: "1"}, {ID: "b", Address: "2"}, {ID: "c", Address: "3"}},
		Learners: []lwreplica.Member{{ID: "learner", Address: "4"}},
	}
	others := []lwunit.ReplicaID{"learner", "former-b"}
	c := lwreplica.New(lwreplica.DefaultConfig("a", 1), lwreplica.PersistedState{Snapshot: lwreplica.Snapshot{Membership: m}}, 0)
	now := time.Duration(0)
	receive := func(from lwunit.ReplicaID, body lwreplica.Message) {
		c.Step(now, lwreplica.Receive{Envelope: lwreplica.Envelope{From: from, To: "a", Body: body}})
	}
	for ; c.Role() != lwreplica.PreCandidate; now += 10 * time.Millisecond {
		c.Step(now, lwreplica.Tick{})
	}
	for _, id := range others {
		receive(id, lwreplica.VoteResponse{Term: 1, Granted: true, Pre: true})
		is.Equal(c.Role(), lwreplica.PreCandidate)
	}
	receive("b", lwreplica.VoteResponse{Term: 1, Granted: true, Pre: true})
	is.Equal(c.Role(), lwreplica.Candidate)
	for _, id := range others {
		receive(id, lwreplica.VoteResponse{Term: 1, Granted: true})
		is.Equal(c.Role(), lwreplica.Candidate)
	}
	receive("b", lwreplica.VoteResponse{Term: 1, Granted: true})
	is.Equal(c.Role(), lwreplica.Leader)

	c.Step(now, lwreplica.Persisted{Index: 1, Term: 1})
	for _, id := range others {
		receive(id, lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
		is.Equal(c.CommitIndex(), lwreplica.Index(0))
	}
	receive("b", lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
	is.Equal(c.CommitIndex(), lwreplica.Index(1))
	end := c.LeaseEnd()
	is.True(c.HoldsLease(now))
	now += 100 * time.Millisecond
	for _, id := range others {
		receive(id, lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
		is.Equal(c.LeaseEnd(), end)
	}
	receive("b", lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
	is.True(c.LeaseEnd() > end)
}

// Guards against an answer to a message of an earlier leadership, by whose clock it was sent,
// counting as contact with this one.
func TestAnswerToEarlierLeadershipDoesNotCount(t *testing.T) {
	is := is.New(t)
	c := threeVoters("a")["a"]
	now := time.Duration(0)
	receive := func(body lwreplica.Message) {
		c.Step(now, lwreplica.Receive{Envelope: lwreplica.Envelope{From: "b", To: "a", Body: body}})
	}
	for ; c.Role() != lwreplica.PreCandidate; now += 10 * time.Millisecond {
		c.Step(now, lwreplica.Tick{})
	}
	receive(lwreplica.VoteResponse{Term: 1, Granted: true, Pre: true})
	receive(lwreplica.VoteResponse{Term: 1, Granted: true})
	is.Equal(c.Role(), lwreplica.Leader)
	c.Step(now, lwreplica.Persisted{Index: 1, Term: 1})
	receive(lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now - 1})
	is.Equal(c.CommitIndex(), lwreplica.Index(0))
	receive(lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
	is.Equal(c.CommitIndex(), lwreplica.Index(1))
}

// Guards against changes of the membership after which two quorums have no voter in common: of two
// voters at once, before the one before is committed, or by a leader that does not know yet whether
// an earlier leader's change is.
func TestChangedMembershipsOverlap(t *testing.T) {
	is := is.New(t)
	member := func(id lwunit.ReplicaID) lwreplica.Member { return lwreplica.Member{ID: id, Address: string(id)} }
	before := lwreplica.Membership{Voters: []lwreplica.Member{member("a"), member("b"), member("c")}}
	c := lwreplica.New(lwreplica.DefaultConfig("a", 1), lwreplica.PersistedState{Snapshot: lwreplica.Snapshot{Membership: before}}, 0)
	now := time.Duration(0)
	receive := func(body lwreplica.Message) {
		c.Step(now, lwreplica.Receive{Envelope: lwreplica.Envelope{From: "b", To: "a", Body: body}})
	}
	refusal := func(voters ...lwreplica.Member) lwfault.Kind {
		out := c.Step(now, lwreplica.ChangeMembership{ID: 1, Membership: lwreplica.Membership{Voters: voters}})
		if len(out.Refused) == 0 {
			return ""
		}
		return lwfault.KindOf(out.Refused[0].Err)
	}
	for ; c.Role() != lwreplica.PreCandidate; now += 10 * time.Millisecond {
		c.Step(now, lwreplica.Tick{})
	}
	receive(lwreplica.VoteResponse{Term: 1, Granted: true, Pre: true})
	receive(lwreplica.VoteResponse{Term: 1, Granted: true})
	is.Equal(c.Role(), lwreplica.Leader)
	is.Equal(refusal(member("a"), member("b")), lwfault.Unavailable) // no entry of its term is committed

	c.Step(now, lwreplica.Persisted{Index: 1, Term: 1})
	receive(lwreplica.AppendResponse{Term: 1, Match: 1, SentAt: now})
	is.Equal(c.CommitIndex(), lwreplica.Index(1))
	is.Equal(refusal(member("a")), lwfault.Invalid)                                        // two voters at once
	is.Equal(refusal(member("a"), member("b"), member("c"), member("d")), lwfault.Invalid) // no learner
	is.Equal(refusal(member("a"), member("b")), lwfault.Kind(""))                          // taken
	is.Equal(refusal(member("a")), lwfault.Conflict)                                       // the change before is not committed
}
