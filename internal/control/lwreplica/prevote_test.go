package lwreplica_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// threeVoters starts the replicas with the given IDs of a group a, b and c.
func threeVoters(ids ...lwunit.ReplicaID) map[lwunit.ReplicaID]*lwreplica.Core {
	m := lwreplica.Membership{Voters: []lwreplica.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}}
	cores := make(map[lwunit.ReplicaID]*lwreplica.Core)
	for i, id := range ids {
		cores[id] = lwreplica.New(lwreplica.DefaultConfig(id, uint64(i)), lwreplica.PersistedState{Snapshot: lwreplica.Snapshot{Membership: m}}, 0)
	}
	return cores
}

// heartbeat passes a heartbeat of leader a in term 1 to a replica.
func heartbeat(c *lwreplica.Core, id lwunit.ReplicaID, now time.Duration) {
	c.Step(now, lwreplica.Receive{Envelope: lwreplica.Envelope{From: "a", To: id, Body: lwreplica.AppendRequest{Term: 1}}})
}

// electedAt returns when the replicas b and c elect one of them, from time now on.
func electedAt(cores map[lwunit.ReplicaID]*lwreplica.Core, now time.Duration) time.Duration {
	for ; cores["b"].Role() != lwreplica.Leader && cores["c"].Role() != lwreplica.Leader; now += 10 * time.Millisecond {
		for _, id := range []lwunit.ReplicaID{"b", "c"} {
			deliver(cores, now, cores[id].Step(now, lwreplica.Tick{}).MessagesAfterSync)
		}
	}
	return now
}

// deliver passes messages to the running replicas, and their answers, until there
// are no more.
func deliver(cores map[lwunit.ReplicaID]*lwreplica.Core, now time.Duration, list []lwreplica.Envelope) {
	for len(list) > 0 {
		e := list[0]
		list = list[1:]
		if c := cores[e.To]; c != nil {
			out := c.Step(now, lwreplica.Receive{Envelope: e})
			list = append(list, slices.Concat(out.Messages, out.MessagesAfterSync)...)
		}
	}
}

// The two followers of a lost leader begin their pre-votes at the same moment. If
// both became candidates, they would split the vote and wait another election timeout.
func TestSimultaneousPreVotesElectOne(t *testing.T) {
	is := is.New(t)
	cores := threeVoters("b", "c")
	now := 2 * time.Second
	var list []lwreplica.Envelope
	for _, id := range []lwunit.ReplicaID{"b", "c"} {
		list = append(list, cores[id].Step(now, lwreplica.Tick{}).MessagesAfterSync...)
	}
	deliver(cores, now, list)
	is.Equal(cores["b"].Role(), lwreplica.Follower)
	is.Equal(cores["c"].Role(), lwreplica.Leader)
	is.Equal(cores["c"].Term(), lwreplica.Term(1))
}

// A replica whose pre-vote gets no answers must not keep another one from being
// elected.
func TestUnansweredPreVoteDoesNotBlock(t *testing.T) {
	is := is.New(t)
	cores := threeVoters("b", "c")
	now := 2 * time.Second
	_ = cores["c"].Step(now, lwreplica.Tick{}) // its messages are lost
	now += 150 * time.Millisecond
	deliver(cores, now, cores["b"].Step(now, lwreplica.Tick{}).MessagesAfterSync)
	is.Equal(cores["b"].Role(), lwreplica.Leader)
}

// Without message loss a split vote must not delay the first commit after the loss of
// the leader beyond the longest election deadline.
func TestLeaderLossWithoutSplitVote(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(400) {
		c := newCluster(t, 3, 5000+seed)
		c.loss = 0
		l := c.awaitLeader(5 * time.Second)
		c.mustCommit(5 * time.Second)
		c.crash(l)
		began := c.now
		c.mustCommit(10 * time.Second)
		times = append(times, c.now-began)
	}
	slices.Sort(times)
	n := len(times)
	t.Logf("median %s, 90%% %s, 99%% %s, max %s of %d", times[n/2], times[n*9/10], times[n*99/100], times[n-1], n)
	if times[n-1] > 1100*time.Millisecond {
		t.Errorf("the slowest commit took %s", times[n-1])
	}
}

// One follower had contact with the lost leader a heartbeat later than the other and
// refuses its first pre-vote. The pre-vote must be repeated once that contact has
// aged, not after another election timeout.
func TestPreVoteIsRepeatedAfterRecentContact(t *testing.T) {
	cfg := lwreplica.DefaultConfig("", 0)
	var worst time.Duration
	for seed := range uint64(300) {
		cores := threeVoters("b", "c")
		early, late := lwunit.ReplicaID("b"), lwunit.ReplicaID("c")
		if seed%2 == 1 {
			early, late = late, early
		}
		for i := range seed { // draws another deadline each time
			heartbeat(cores[early], early, time.Duration(i))
			heartbeat(cores[late], late, time.Duration(i))
		}
		began := time.Second
		heartbeat(cores[early], early, began)
		heartbeat(cores[late], late, began+cfg.Heartbeat)
		worst = max(worst, electedAt(cores, began)-began)
	}
	t.Logf("worst %s", worst)
	if limit := 2*cfg.ElectionTimeout + cfg.Heartbeat; worst > limit {
		t.Errorf("elected %s after the last contact; the limit is %s", worst, limit)
	}
}

// The process of the leader has ended and its connections are closed: its followers
// must not wait for a random deadline, but still for an election timeout.
func TestElectionAfterDisconnect(t *testing.T) {
	cfg := lwreplica.DefaultConfig("", 0)
	least, worst := time.Hour, time.Duration(0)
	for seed := range uint64(100) {
		cores := threeVoters("b", "c")
		for _, id := range []lwunit.ReplicaID{"b", "c"} {
			for i := range seed + 1 {
				heartbeat(cores[id], id, time.Duration(i))
			}
			cores[id].Step(time.Millisecond, lwreplica.Disconnected{ID: "a"})
		}
		took := electedAt(cores, time.Millisecond)
		least, worst = min(least, took), max(worst, took)
	}
	t.Logf("elected %s to %s after the last contact", least, worst)
	if least < cfg.ElectionTimeout || worst > cfg.ElectionTimeout+cfg.ElectionTimeout/4 {
		t.Errorf("elected %s to %s after the last contact; the election timeout is %s", least, worst, cfg.ElectionTimeout)
	}
}

// A leader whose connections were reset still leads: with its next heartbeat the
// followers must wait as long as before.
func TestDisconnectDoesNotDepose(t *testing.T) {
	is := is.New(t)
	cfg := lwreplica.DefaultConfig("", 0)
	cores := threeVoters("b")
	heartbeat(cores["b"], "b", 0)
	cores["b"].Step(time.Millisecond, lwreplica.Disconnected{ID: "c"}) // another follower
	cores["b"].Step(time.Millisecond, lwreplica.Disconnected{ID: "a"})
	for now := cfg.Heartbeat; now < 3*time.Second; now += cfg.Heartbeat {
		is.Equal(len(cores["b"].Step(now, lwreplica.Tick{}).MessagesAfterSync), 0)
		heartbeat(cores["b"], "b", now)
	}
	is.Equal(cores["b"].Role(), lwreplica.Follower)
	is.Equal(cores["b"].LeaderID(), lwunit.ReplicaID("a"))
}
