package lwreplica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// TestRandomLease guards against two leader leases at once: it mixes transfers,
// membership changes, restarts, partitions and messages that arrive late or twice,
// on clocks whose rates differ by the configured bound.
func TestRandomLease(t *testing.T) {
	const runs, steps = 400, 150
	holds := 0
	for seed := range uint64(runs) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCluster(t, 3+int(seed%3), 9000+seed)
			for i, x := range c.members {
				x.clockRate = 1 + 0.005*float64(i%2*2-1)
			}
			c.lateShare, c.lateBy = 0.1, 2*time.Second
			if seed%2 == 1 {
				c.delay, c.jitter = 100*time.Microsecond, 0
			}
			for range steps {
				c.randomLeaseStep(seed%2 == 1)
				if l := c.leader(); l != nil && l.core.HoldsLease(c.localTime(l)) {
					holds++
				}
			}
		})
	}
	t.Logf("a leader held the lease after %d of %d steps", holds, runs*steps)
	if holds < runs*steps/4 {
		t.Fatal("a leader held the lease too seldom for the test to show anything")
	}
}

// randomLeaseStep takes one step of TestRandomLease. With cuts set, most steps cut
// the links between the leader and one other member for long.
func (c *cluster) randomLeaseStep(cuts bool) {
	x := c.members[c.rng.IntN(len(c.members))]
	l := c.leader()
	kinds := 16
	if cuts {
		kinds = 40
	}
	switch c.rng.IntN(kinds) {
	case 0, 1, 2:
		if !x.down {
			c.crash(x)
		}
		c.run(time.Duration(c.rng.IntN(100)) * time.Millisecond)
		c.start(x)
	case 3, 4:
		c.partition(x, c.rng.IntN(2) == 0, c.rng.IntN(2) == 0)
	case 5:
		c.blocked[link{x.name, c.members[c.rng.IntN(len(c.members))].name}] = true
	case 6, 7:
		c.reconnect()
	case 8:
		x.paused = !x.paused
	case 9:
		c.takeSnapshot(x)
	case 10, 11, 12:
		if l == nil {
			break
		}
		c.step(l, lwreplica.TransferLeadership{To: x.id})
		c.run(time.Duration(c.rng.IntN(3)) * tick)
		if c.rng.IntN(2) == 0 {
			c.changeMembership(c.randomMembership(l.core.Membership(), x))
		}
		if c.rng.IntN(2) == 0 {
			c.partition(l, true, true)
		}
	case 13, 14:
		if l != nil {
			c.changeMembership(c.randomMembership(l.core.Membership(), x))
		}
	case 15:
		if l != nil {
			c.propose(l)
			c.read(l)
		}
	default:
		if l == nil {
			break
		}
		c.reconnect()
		c.blocked[link{l.name, x.name}] = true
		c.blocked[link{x.name, l.name}] = c.rng.IntN(4) > 0
		c.run(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
	}
	c.run(time.Duration(c.rng.IntN(400)) * time.Millisecond)
}

// randomMembership returns m with x turned from a voter into a learner or the
// other way.
func (c *cluster) randomMembership(m lwreplica.Membership, x *member) lwreplica.Membership {
	is := func(y lwreplica.Member) bool { return y.ID == x.id }
	next := lwreplica.Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	switch i := slices.IndexFunc(m.Voters, is); {
	case i >= 0:
		next.Voters = slices.Delete(next.Voters, i, i+1)
		if c.rng.IntN(2) == 0 {
			next.Learners = append(next.Learners, m.Voters[i])
		}
	case m.IsLearner(x.id):
		next.Voters = append(next.Voters, m.Learners[slices.IndexFunc(m.Learners, is)])
		next.Learners = slices.DeleteFunc(next.Learners, is)
	default:
		next.Learners = append(next.Learners, lwreplica.Member{ID: x.id, Address: x.name})
	}
	return next
}

// TestLeaseEndsOnSlowClock guards against a lease that outlasts the refusal of
// votes, because the leader's clock is slower than those of the others by the
// configured bound. It needs an election that starts at the earliest time.
func TestLeaseEndsOnSlowClock(t *testing.T) {
	for seed := range uint64(600) {
		c := newCluster(t, 3, 12000+seed)
		c.delay, c.jitter, c.loss, c.duplication = 50*time.Microsecond, 0, 0, 0
		slow := c.members[0]
		for _, x := range c.members {
			x.clockRate = 1.005
		}
		slow.clockRate = 0.995
		if l := c.awaitLeader(5 * time.Second); l != slow {
			c.run(200 * time.Millisecond)
			c.step(l, lwreplica.TransferLeadership{To: slow.id})
			c.run(200 * time.Millisecond)
		}
		if c.awaitLeader(5*time.Second) != slow {
			t.Fatalf("seed %d: the member with the slow clock was not elected", seed)
		}
		c.partition(slow, true, true)
		c.run(600 * time.Millisecond) // checkLease fails if both hold the lease
	}
}

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
