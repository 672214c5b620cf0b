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

func withoutVoter(m lwreplica.Membership, id lwunit.ReplicaID) lwreplica.Membership {
	isID := func(x lwreplica.Member) bool { return x.ID == id }
	m.Voters = slices.DeleteFunc(slices.Clone(m.Voters), isID)
	return m
}
