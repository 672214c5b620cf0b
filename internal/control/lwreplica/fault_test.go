package lwreplica_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// fault is something that goes wrong with one member.
type fault struct {
	name string
	hit  func(c *cluster, x *member)
}

func failDisk(kind string, keep int) func(*cluster, *member) {
	return func(_ *cluster, x *member) {
		x.disk.SetFault(func(_ int, k, _ string) lwdisk.Fault {
			if k == kind {
				return lwdisk.Fault{Err: syscall.EIO, Keep: keep}
			}
			return lwdisk.Fault{}
		})
	}
}

func faults() []fault {
	return []fault{
		{"kill", func(c *cluster, x *member) { c.crash(x) }},
		{"kill and restart", func(c *cluster, x *member) { c.crash(x); c.open(x) }},
		{"lost disk", func(c *cluster, x *member) { c.replaceDisk(x) }},
		{"failed sync", failDisk("sync", 0)},
		{"torn write", failDisk("write", 11)},
		{"disk full", failDisk("write", 0)},
		{"cut off both ways", func(c *cluster, x *member) { c.partition(x, true, true) }},
		{"hears nothing", func(c *cluster, x *member) { c.partition(x, true, false) }},
		{"is not heard", func(c *cluster, x *member) { c.partition(x, false, true) }},
		{"pause", func(_ *cluster, x *member) { x.paused = true }},
		{"slow links with loss", func(c *cluster, _ *member) { c.delay, c.loss = 45*time.Millisecond, 0.2 }},
		{"doubled messages", func(c *cluster, _ *member) { c.double, c.jitter = 0.5, 40*time.Millisecond }},
		{"second member lost right after a repair", func(c *cluster, x *member) {
			c.replaceDisk(x)
			if l := c.leader(); l != nil {
				c.crash(l)
			}
		}},
	}
}

// operation is what the group is doing when the fault hits; steps is the
// number of moments within it at which the fault is tried.
type operation struct {
	name string
	size int // members; a membership change leaves one less to lose
	run  func(c *cluster, at func(step int))
}

func operations() []operation {
	return []operation{
		{"propose", 3, func(c *cluster, at func(int)) {
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
		{"read", 3, func(c *cluster, at func(int)) {
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
		{"snapshot to a follower that missed hundreds of entries", 5, func(c *cluster, at func(int)) {
			l := c.leader()
			behind := c.other(l)
			c.crash(behind)
			for range 300 {
				if l = c.leader(); l != nil {
					c.propose(l)
				}
				if len(c.waiting) > 20 {
					c.run(tick)
				}
			}
			c.run(500 * time.Millisecond)
			at(0)
			if l = c.leader(); l != nil {
				c.compact(l)
			}
			at(1)
			if behind.down && c.byID[behind.id] == behind {
				c.open(behind)
			}
			c.run(100 * time.Millisecond)
			at(2)
			c.run(100 * time.Millisecond)
			at(3)
		}},
		{"hand-over", 3, func(c *cluster, at func(int)) {
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
		{"membership change", 5, func(c *cluster, at func(int)) {
			at(0)
			if l := c.leader(); l != nil {
				m := l.core.Membership()
				m.Voters = m.Voters[:len(m.Voters)-1]
				removed := l.core.Membership().Voters[len(m.Voters)]
				c.change(m)
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

// TestFaultMatrix brings about every fault, at the leader and at a follower,
// at every step of every operation.
func TestFaultMatrix(t *testing.T) {
	cells := 0
	for _, op := range operations() {
		for _, f := range faults() {
			for step := range 4 {
				for _, atLeader := range []bool{true, false} {
					name := fmt.Sprintf("%s/%s/step %d/leader %t", op.name, f.name, step, atLeader)
					cells++
					t.Run(name, func(t *testing.T) { runCell(t, op, f, step, atLeader, uint64(cells)) })
				}
			}
		}
	}
	t.Logf("%d cells", cells)
}

func runCell(t *testing.T, op operation, f fault, step int, atLeader bool, seed uint64) {
	c := newCluster(t, op.size, seed)
	c.awaitLeader(5 * time.Second)
	c.mustCommit(5 * time.Second)
	op.run(c, func(now int) {
		if now != step {
			return
		}
		x := c.leader()
		if x != nil && !atLeader {
			x = c.other(x)
		}
		if x != nil {
			f.hit(c, x)
		}
	})
	c.run(3 * time.Second)
	if l := c.leader(); l != nil {
		c.propose(l)
		c.read(l)
		c.run(200 * time.Millisecond)
	}
	c.checkEnd()
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
			if len(c.acked) == 0 || c.confirmed == 0 {
				t.Fatalf("%d proposals accepted and %d reads confirmed: the run shows nothing", len(c.acked), c.confirmed)
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
			c.open(x)
		}
	case 3:
		c.partition(x, c.rng.IntN(2) == 0, c.rng.IntN(2) == 0)
	case 4, 5:
		c.cut = make(map[link]bool)
	case 6:
		x.paused = !x.paused
	case 7:
		c.compact(x)
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

// TestLeaderLossToNextCommit checks the stated target: the next commit comes
// within 2 s of virtual time on links of 4.5 ms with 2% loss.
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
		t.Fatalf("worst %s is over 2 s", worst)
	}
}

// TestSilentPartitionEndsLease checks that a leader that nobody hears grants
// nothing by the time others can elect.
func TestSilentPartitionEndsLease(t *testing.T) {
	c := newCluster(t, 3, 9)
	old := c.awaitLeader(5 * time.Second)
	c.partition(old, true, true)
	for range 500 {
		c.run(tick) // checkLease fails on two holders
		if l := c.leader(); l != nil && l != old && l.core.HoldsLease(c.local(l)) {
			if old.core.HoldsLease(c.local(old)) {
				t.Fatal("the cut-off leader still holds its lease")
			}
			return
		}
	}
	t.Fatal("no new leader was elected")
}

// TestIsolatedReplicaDoesNotDepose checks the pre-vote: a replica that returns
// from a long partition leaves term and leader as they are.
func TestIsolatedReplicaDoesNotDepose(t *testing.T) {
	c := newCluster(t, 3, 11)
	c.loss, c.double = 0, 0
	l := c.awaitLeader(5 * time.Second)
	x := c.other(l)
	c.partition(x, true, true)
	c.run(10 * time.Second)
	term := l.core.Term()
	c.cut = make(map[link]bool)
	c.run(5 * time.Second)
	if c.leader() != l || l.core.Term() != term {
		t.Fatalf("term went from %d to %d", term, l.core.Term())
	}
}

// TestFormerIdentityIsNotAnswered checks that a replica with a new identity
// drops what is meant for its former self.
func TestFormerIdentityIsNotAnswered(t *testing.T) {
	c := newCluster(t, 3, 13)
	l := c.awaitLeader(5 * time.Second)
	x := c.other(l)
	request := lwreplica.VoteRequest{Term: 99, LastIndex: 99, LastTerm: 99, Transfer: true}
	out := x.core.Step(c.local(x), lwreplica.Receive{Envelope: lwreplica.Envelope{From: l.id, To: "former", Body: request}})
	if len(out.AfterSync)+len(out.Messages) > 0 || out.HardState != nil {
		t.Fatalf("answered for another identity: %+v", out)
	}
}
