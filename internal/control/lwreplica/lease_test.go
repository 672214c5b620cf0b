package lwreplica_test

import (
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// TestRemovedTransferTargetEndsLease guards against a leader that holds the lease
// again after it sent TimeoutNow, because the target was removed meanwhile.
func TestRemovedTransferTargetEndsLease(t *testing.T) {
	c := newCluster(t, 3, 21)
	c.delay, c.jitter, c.loss, c.duplication = 6*time.Millisecond, 0, 0, 0
	l := c.awaitLeader(5 * time.Second)
	c.run(200 * time.Millisecond)
	target := c.other(l)
	c.step(l, lwreplica.TransferLeadership{To: target.id})
	c.run(tick) // TimeoutNow arrives; the vote requests are on their way
	c.partition(l, true, true)
	c.changeMembership(withoutVoter(l.core.Membership(), target.id))
	c.run(200 * time.Millisecond) // checkLease fails if both hold the lease
	if !target.core.HoldsLease(c.localTime(target)) {
		t.Fatal("the target of the transfer was not elected")
	}
}

// TestAnswerToFormerTermDoesNotExtendLease guards against a lease that counts the
// answer to a message which the leader sent in an earlier term, before a restart
// of its process and so on another clock.
func TestAnswerToFormerTermDoesNotExtendLease(t *testing.T) {
	c := newCluster(t, 3, 22)
	c.loss, c.duplication = 0, 0
	l := c.awaitLeader(5 * time.Second)
	c.run(30 * time.Second)
	late := c.awaitAppendRequests(l)
	c.crash(l)
	c.start(l)
	for i := 0; c.leader() != l; i++ {
		if i == 10 {
			t.Fatal("the restarted member was not elected again")
		}
		c.step(c.awaitLeader(5*time.Second), lwreplica.TransferLeadership{To: l.id})
		c.run(500 * time.Millisecond)
	}
	c.awaitLeader(5 * time.Second)
	for _, e := range late {
		c.deliver(e)
	}
	c.run(2 * tick)
	c.partition(l, true, true)
	confirmed := c.confirmedReads
	if c.read(l); c.confirmedReads != confirmed {
		t.Error("the cut-off leader confirmed a read")
	}
	c.run(5 * time.Second) // checkLease fails if both hold the lease
	if c.leader() == l {
		t.Fatal("no other member was elected")
	}
}

// TestVoterListedTwiceIsRefused guards against a membership that lists one voter
// so often that it commits entries and holds the leader lease on its own.
func TestVoterListedTwiceIsRefused(t *testing.T) {
	c := newCluster(t, 3, 23)
	c.loss, c.duplication = 0, 0
	l := c.awaitLeader(5 * time.Second)
	c.run(200 * time.Millisecond)
	c.partition(l, true, true)
	m := l.core.Membership()
	own := m.Voters[slices.IndexFunc(m.Voters, func(x lwreplica.Member) bool { return x.ID == l.id })]
	m.Voters = append(slices.Clone(m.Voters), own, own)
	c.changeMembership(m)
	c.run(5 * time.Second) // checkCommitted and checkLease fail if both lead
	if c.leader() == l {
		t.Fatal("no other member was elected")
	}
}

// awaitAppendRequests returns the AppendRequests of a member that are in flight.
func (c *cluster) awaitAppendRequests(x *member) []lwreplica.Envelope {
	for {
		c.run(tick)
		var list []lwreplica.Envelope
		for _, d := range c.inFlight {
			if _, ok := d.envelope.Body.(lwreplica.AppendRequest); ok && d.envelope.From == x.id {
				list = append(list, d.envelope)
			}
		}
		if len(list) > 0 {
			return list
		}
	}
}

func withoutVoter(m lwreplica.Membership, id lwunit.ReplicaID) lwreplica.Membership {
	isID := func(x lwreplica.Member) bool { return x.ID == id }
	m.Voters = slices.DeleteFunc(slices.Clone(m.Voters), isID)
	return m
}
