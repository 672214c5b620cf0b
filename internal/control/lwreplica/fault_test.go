package lwreplica_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// fault is a failure that is injected at one member.
type fault struct {
	name         string
	inject       func(c *cluster, x *member)
	needsRunning bool // does nothing at a member that is down
}

// target is the kind of member at which a fault is injected.
type target string

const (
	atLeader target = "leader"
	atOther  target = "other" // a running member that does not lead
	atDown   target = "member that is down"
)

// failDisk returns a function that makes every disk operation of one kind fail at
// a member; written is how many bytes of a failed write reach the file
// nevertheless.
func failDisk(kind string, written int) func(*cluster, *member) {
	return func(_ *cluster, x *member) {
		x.disk.SetFault(func(_ int, got, _ string) lwdisk.Fault {
			if got == kind {
				return lwdisk.Fault{Err: syscall.EIO, WrittenBytes: written}
			}
			return lwdisk.Fault{}
		})
	}
}

func faults() []fault {
	return []fault{
		{"kill", func(c *cluster, x *member) { c.crash(x) }, true},
		{"kill and restart", func(c *cluster, x *member) { c.crash(x); c.start(x) }, true},
		{"lost disk", func(c *cluster, x *member) { c.replaceDisk(x) }, false},
		{"failed sync", failDisk("sync", 0), false},
		{"torn write", failDisk("write", 11), false},
		{"failed write", failDisk("write", 0), false},
		{"cut off both ways", func(c *cluster, x *member) { c.partition(x, true, true) }, false},
		{"receives no messages", func(c *cluster, x *member) { c.partition(x, true, false) }, false},
		{"sent messages are lost", func(c *cluster, x *member) { c.partition(x, false, true) }, false},
		{"pause", func(_ *cluster, x *member) { x.paused = true }, true},
		{"closed connections", func(c *cluster, x *member) {
			for _, other := range c.members {
				c.step(other, lwreplica.Disconnected{ID: x.id})
				c.step(x, lwreplica.Disconnected{ID: other.id})
			}
		}, true},
		{"slow links with loss", func(c *cluster, _ *member) { c.delay, c.loss = 45*time.Millisecond, 0.2 }, false},
		{"duplicated messages", func(c *cluster, _ *member) { c.duplication, c.jitter = 0.5, 40*time.Millisecond }, false},
		{"second member lost right after a disk replacement", func(c *cluster, x *member) {
			c.replaceDisk(x)
			c.crash(c.awaitLeader(10 * time.Second))
		}, false},
	}
}

// operation is what the group does while a fault is injected. It calls at with
// the numbers 0 to 3 at the points at which the fault may be injected.
type operation struct {
	name      string
	size      int // number of members; an operation that stops or removes one needs more to tolerate a fault
	downSteps int // number of the first steps at which a member is down
	run       func(c *cluster, at func(step int))
}

func operations() []operation {
	return []operation{
		{"propose", 3, 0, func(c *cluster, at func(int)) {
			at(0)
			if l := c.leader(); l != nil {
				c.propose(l)
			}
			at(1)
			c.run(tick)
			at(2)
			c.run(tick)
			at(3)
		}},
		{"read", 3, 0, func(c *cluster, at func(int)) {
			at(0)
			if l := c.leader(); l != nil {
				c.read(l)
			}
			at(1)
			c.run(tick)
			at(2)
			c.run(tick)
			at(3)
		}},
		{"snapshot to a follower that missed hundreds of entries", 5, 2, func(c *cluster, at func(int)) {
			l := c.leader()
			behind := c.other(l)
			c.crash(behind)
			for range 300 {
				if l = c.leader(); l != nil {
					c.propose(l)
				}
				if len(c.unanswered) > 20 {
					c.run(tick)
				}
			}
			c.run(500 * time.Millisecond)
			at(0)
			if l = c.leader(); l != nil {
				c.takeSnapshot(l)
			}
			at(1)
			if behind.down && c.byID[behind.id] == behind {
				c.start(behind)
			}
			c.run(100 * time.Millisecond)
			at(2)
			c.run(100 * time.Millisecond)
			at(3)
		}},
		{"leadership transfer", 3, 0, func(c *cluster, at func(int)) {
			at(0)
			if l := c.leader(); l != nil {
				c.step(l, lwreplica.TransferLeadership{To: c.other(l).id})
			}
			at(1)
			c.run(tick)
			at(2)
			c.run(tick)
			at(3)
		}},
		{"membership change", 5, 0, func(c *cluster, at func(int)) {
			at(0)
			if l := c.leader(); l != nil {
				m := l.core.Membership()
				m.Voters = m.Voters[:len(m.Voters)-1]
				removed := l.core.Membership().Voters[len(m.Voters)]
				c.changeMembership(m)
				at(1)
				c.run(tick)
				at(2)
				c.run(300 * time.Millisecond)
				if x := c.byID[removed.ID]; x != nil {
					c.remove(x)
				}
			}
			at(3)
		}},
	}
}

func (c *cluster) other(x *member) *member {
	for _, y := range c.members {
		if y != x {
			return y
		}
	}
	return nil
}

// TestFaultMatrix injects every fault at every step of every operation, at the
// leader, at another running member and, where an operation has stopped a member,
// at that one. A run that injects nothing fails.
func TestFaultMatrix(t *testing.T) {
	cells := 0
	for _, op := range operations() {
		for _, f := range faults() {
			for step := range 4 {
				for _, at := range []target{atLeader, atOther, atDown} {
					if at == atDown && (step >= op.downSteps || f.needsRunning) {
						continue
					}
					name := fmt.Sprintf("%s/%s/step %d/%s", op.name, f.name, step, at)
					cells++
					t.Run(name, func(t *testing.T) { runCell(t, op, f, step, at, uint64(cells)) })
				}
			}
		}
	}
	t.Logf("%d cells", cells)
}

func runCell(t *testing.T, op operation, f fault, step int, at target, seed uint64) {
	c := newCluster(t, op.size, seed)
	former := c.awaitLeader(5 * time.Second)
	c.mustCommit(5 * time.Second)
	injected := 0
	op.run(c, func(n int) {
		if n != step {
			return
		}
		x := c.faultTarget(at, former)
		f.inject(c, x)
		injected++
	})
	if injected != 1 {
		t.Fatalf("the fault was injected %d times", injected)
	}
	c.run(3 * time.Second)
	if l := c.leader(); l != nil {
		c.propose(l)
		c.read(l)
		c.run(200 * time.Millisecond)
	}
	c.checkEnd()
}

// faultTarget returns a member at which to inject a fault. While no member leads,
// former counts as the leader if it still runs, and the next one otherwise.
func (c *cluster) faultTarget(at target, former *member) *member {
	c.t.Helper()
	l := c.leader()
	switch {
	case l == nil && c.byID[former.id] == former && !former.down:
		l = former
	case l == nil:
		l = c.awaitLeader(5 * time.Second)
	}
	for _, x := range c.members {
		if (at == atLeader && x == l) || (at == atOther && x != l && !x.down && !x.paused) || (at == atDown && x.down) {
			return x
		}
	}
	c.t.Fatalf("at %s: no %s to inject the fault at", c.now, at)
	return nil
}

// TestRandomFaults mixes faults, proposals, reads and snapshots at random.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCluster(t, 3+2*int(seed%2), 1000+seed)
			for range 120 {
				c.randomStep()
			}
			c.checkEnd()
			if len(c.accepted) == 0 || c.confirmedReads == 0 {
				t.Fatalf("%d commands accepted and %d reads confirmed; the run needs at least one of each", len(c.accepted), c.confirmedReads)
			}
		})
	}
}

func (c *cluster) randomStep() {
	x := c.members[c.rng.IntN(len(c.members))]
	switch c.rng.IntN(16) {
	case 0:
		if !x.down {
			c.crash(x)
		}
	case 1, 2:
		if x.down {
			c.start(x)
		}
	case 3:
		c.partition(x, c.rng.IntN(2) == 0, c.rng.IntN(2) == 0)
	case 4, 5:
		c.blocked = make(map[link]bool)
	case 6:
		x.paused = !x.paused
	case 7:
		c.takeSnapshot(x)
	case 8:
		if l := c.leader(); l != nil {
			c.step(l, lwreplica.TransferLeadership{To: x.id})
		}
	case 9:
		c.loss = c.rng.Float64() * 0.3
	case 10:
		c.heal()
	default:
		for _, y := range c.members {
			c.propose(y)
			c.read(y)
		}
	}
	c.run(time.Duration(c.rng.IntN(600)) * time.Millisecond)
}

// TestLeaderLossToNextCommit checks that after the loss of the leader the next
// commit follows within 2 s of virtual time, on links with 4.5 to 6.5 ms latency,
// 2% loss and 1% duplication.
func TestLeaderLossToNextCommit(t *testing.T) {
	var worst, sum time.Duration
	const runs = 50
	for seed := range uint64(runs) {
		c := newCluster(t, 3, 5000+seed)
		l := c.awaitLeader(5 * time.Second)
		c.mustCommit(5 * time.Second)
		c.crash(l)
		began := c.now
		c.mustCommit(10 * time.Second)
		took := c.now - began
		worst = max(worst, took)
		sum += took
	}
	t.Logf("mean %s, worst %s of %d", sum/runs, worst, runs)
	if worst > 2*time.Second {
		t.Fatalf("the slowest commit after the loss of a leader took %s; the limit is 2 s", worst)
	}
}

// TestSilentPartitionEndsLease checks that the lease of a leader that is cut off
// in both directions has expired once another leader holds the lease.
func TestSilentPartitionEndsLease(t *testing.T) {
	c := newCluster(t, 3, 9)
	old := c.awaitLeader(5 * time.Second)
	c.partition(old, true, true)
	for range 500 {
		c.run(tick) // checkLease fails if both hold the lease
		if l := c.leader(); l != nil && l != old && l.core.HoldsLease(c.localTime(l)) {
			if old.core.HoldsLease(c.localTime(old)) {
				t.Fatal("the cut-off leader still holds its lease")
			}
			return
		}
	}
	t.Fatal("no new leader was elected")
}

// TestIsolatedReplicaDoesNotDepose checks that a replica which returns from a long
// partition changes neither term nor leader, because of the pre-vote.
func TestIsolatedReplicaDoesNotDepose(t *testing.T) {
	c := newCluster(t, 3, 11)
	c.loss, c.duplication = 0, 0
	l := c.awaitLeader(5 * time.Second)
	x := c.other(l)
	c.partition(x, true, true)
	c.run(10 * time.Second)
	term := l.core.Term()
	c.blocked = make(map[link]bool)
	c.run(5 * time.Second)
	if c.leader() != l || l.core.Term() != term {
		t.Fatalf("the returning replica deposed the leader or raised its term, which was %d and is %d", term, l.core.Term())
	}
}

// TestFormerIdentityIsNotAnswered checks that a replica drops messages for another
// replica ID, such as the one that it had before it lost its disk.
func TestFormerIdentityIsNotAnswered(t *testing.T) {
	c := newCluster(t, 3, 13)
	l := c.awaitLeader(5 * time.Second)
	x := c.other(l)
	request := lwreplica.VoteRequest{Term: 99, LastIndex: 99, LastTerm: 99, Transfer: true}
	out := x.core.Step(c.localTime(x), lwreplica.Receive{Envelope: lwreplica.Envelope{From: l.id, To: "former", Body: request}})
	if len(out.MessagesAfterSync)+len(out.Messages) > 0 || out.HardState != nil {
		t.Fatalf("answered a message for another replica ID: %+v", out)
	}
}
