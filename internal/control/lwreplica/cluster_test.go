package lwreplica_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

const tick = 10 * time.Millisecond

// member is one replica: its core, its log on an in-memory disk and its clock.
type member struct {
	id           lwunit.ReplicaID
	name         string // address; kept when the disk, and so the ID, is replaced
	disk         *lwdisk.Memory
	log          *lwwal.Log
	core         *lwreplica.Core
	down         bool
	paused       bool
	clockRate    float64       // local time per cluster time
	startedAt    time.Duration // cluster time of the last start, at which its clock was 0
	appliedIndex lwreplica.Index
	starts       int
}

// delivery is a message in flight.
type delivery struct {
	at       time.Duration
	seq      int
	envelope lwreplica.Envelope
}

// deliveries is a heap of messages by time of arrival.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].seq < d[j].seq)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// link is one direction of a connection between two addresses.
type link struct{ from, to string }

// cluster runs real cores on in-memory disks and a simulated network in virtual
// time, and checks the safety invariants after every step.
type cluster struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	members     []*member
	byID        map[lwunit.ReplicaID]*member
	inFlight    deliveries
	seq         int
	delay       time.Duration
	jitter      time.Duration
	loss        float64
	duplication float64
	lateShare   float64 // share of the messages that arrive up to lateBy later
	lateBy      time.Duration
	blocked     map[link]bool
	chunkBytes  int
	nextID      uint64

	committed          map[lwreplica.Index]lwreplica.Entry // by any member
	highestCommitted   lwreplica.Index
	accepted           map[lwreplica.Index]string            // commands reported to their proposers as committed
	unanswered         map[uint64]string                     // commands not reported yet, by proposal
	appended           map[uint64]lwreplica.AppendedProposal // log entries of proposals
	readFloors         map[uint64]lwreplica.Index            // least index that each read must return
	confirmedReads     int
	installedSnapshots int
}

func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), byID: make(map[lwunit.ReplicaID]*member), delay: 4500 * time.Microsecond,
		jitter: 2 * time.Millisecond, loss: 0.02, duplication: 0.01, blocked: make(map[link]bool), chunkBytes: 64,
		committed: make(map[lwreplica.Index]lwreplica.Entry), accepted: make(map[lwreplica.Index]string),
		unanswered: make(map[uint64]string), appended: make(map[uint64]lwreplica.AppendedProposal), readFloors: make(map[uint64]lwreplica.Index),
	}
	var voters []lwreplica.Member
	for i := range n {
		name := string(rune('a' + i))
		voters = append(voters, lwreplica.Member{ID: lwunit.ReplicaID(name + "1"), Address: name})
	}
	for _, v := range voters {
		c.add(v.ID, v.Address, lwreplica.Membership{Voters: voters})
	}
	return c
}

// add starts a replica with a new ID and an empty disk.
func (c *cluster) add(id lwunit.ReplicaID, name string, m lwreplica.Membership) *member {
	x := &member{id: id, name: name, disk: lwdisk.NewMemory(), clockRate: 1 + (c.rng.Float64()-0.5)*0.01}
	log, _, err := lwwal.Open(x.disk, lwwal.Identity{Replica: id})
	c.noErr(err)
	c.noErr(log.SaveSnapshot(lwreplica.Snapshot{Membership: m}, nil))
	c.members = append(c.members, x)
	c.byID[id] = x
	c.start(x)
	return x
}

func (c *cluster) noErr(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatalf("at %s: %v", c.now, err)
	}
}

// localTime returns the time on the member's own clock, which starts anew with
// its process.
func (c *cluster) localTime(x *member) time.Duration {
	return time.Duration(float64(c.now-x.startedAt) * x.clockRate)
}

func (c *cluster) start(x *member) {
	log, contents, err := lwwal.Open(x.disk, lwwal.Identity{Replica: x.id})
	if err != nil {
		c.crash(x) // the disk still fails, so the process does not start
		return
	}
	log.SetSegmentBytes(2000)
	x.starts++
	x.startedAt = c.now
	cfg := lwreplica.DefaultConfig(x.id, c.rng.Uint64())
	cfg.ChunkBytes = c.chunkBytes
	cfg.MaxInFlight = 4
	cfg.MaxBatchBytes = 200
	x.log, x.down, x.paused = log, false, false
	x.appliedIndex = contents.State.Snapshot.Index
	x.core = lwreplica.New(cfg, contents.State, c.localTime(x))
}

// crash stops a member. Of the data that its disk had not synced, a prefix of
// random length survives.
func (c *cluster) crash(x *member) {
	x.down = true
	x.disk.Crash(func(_ string, unsynced int) int { return c.rng.IntN(unsynced + 1) })
}

// step passes one event to a member and carries out its output.
func (c *cluster) step(x *member, e lwreplica.Event) {
	if x.down || x.paused {
		return
	}
	out := x.core.Step(c.localTime(x), e)
	for {
		c.sendAll(out.Messages)
		if !c.persist(x, out) {
			return
		}
		c.sendAll(out.MessagesAfterSync)
		c.checkOutput(x, out)
		if len(out.Entries) == 0 {
			break
		}
		last := x.core.LastIndex()
		term, _ := x.core.TermAt(last)
		out = x.core.Step(c.localTime(x), lwreplica.Persisted{Index: last, Term: term})
	}
	c.checkLease()
}

func (c *cluster) persist(x *member, out lwreplica.Output) bool {
	var err error
	if out.Snapshot != nil {
		err = x.log.SaveSnapshot(*out.Snapshot, out.Entries)
		out.Entries = nil
	}
	if err == nil {
		err = x.log.Save(out.HardState, out.Entries)
	}
	if err != nil {
		c.crash(x) // a failed disk ends the process
	}
	return err == nil
}

func (c *cluster) sendAll(list []lwreplica.Envelope) {
	for _, e := range list {
		copies := 1
		if c.rng.Float64() < c.duplication {
			copies = 2
		}
		for range copies {
			if c.rng.Float64() < c.loss {
				continue
			}
			c.seq++
			at := c.now + c.delay + time.Duration(c.rng.Int64N(int64(c.jitter)+1))
			if c.lateShare > 0 && c.rng.Float64() < c.lateShare {
				at += time.Duration(c.rng.Int64N(int64(c.lateBy) + 1))
			}
			heap.Push(&c.inFlight, delivery{at, c.seq, e})
		}
	}
}

// checkOutput checks that the member applies entries in order, that no two
// members commit different entries at one index and that a confirmed read covers
// all commands that were accepted before it.
func (c *cluster) checkOutput(x *member, out lwreplica.Output) {
	if out.Snapshot != nil {
		c.installedSnapshots++
		x.appliedIndex = out.Snapshot.Index
	}
	for _, a := range out.Appended {
		c.appended[a.ID] = a
	}
	for _, e := range out.Committed {
		if e.Index != x.appliedIndex+1 {
			c.t.Fatalf("at %s: %s applied entry %d after entry %d", c.now, x.id, e.Index, x.appliedIndex)
		}
		x.appliedIndex = e.Index
		c.checkCommitted(x, e)
	}
	for _, r := range out.Confirmed {
		c.confirmedReads++
		if r.Index < c.readFloors[r.ID] {
			c.t.Fatalf("at %s: %s confirmed a read at index %d; index %d was accepted before it", c.now, x.id, r.Index, c.readFloors[r.ID])
		}
	}
}

func (c *cluster) checkCommitted(x *member, e lwreplica.Entry) {
	first, ok := c.committed[e.Index]
	if ok && (first.Term != e.Term || first.Kind != e.Kind || string(first.Data) != string(e.Data)) {
		c.t.Fatalf("at %s: %s committed %+v at index %d; %+v was committed there before", c.now, x.id, e, e.Index, first)
	}
	c.committed[e.Index] = e
	c.highestCommitted = max(c.highestCommitted, e.Index)
	// The leader reports a proposal as accepted when it applies the entry.
	for id, a := range c.appended {
		if a.Index == e.Index && a.Term == e.Term && x.core.Role() == lwreplica.Leader {
			if text, ok := c.unanswered[id]; ok { // not a membership change
				c.accepted[e.Index] = text
			}
			delete(c.appended, id)
			delete(c.unanswered, id)
		}
	}
}

// checkLease fails if two members hold the leader lease at the same time.
func (c *cluster) checkLease() {
	var holder *member
	for _, x := range c.members {
		if x.down || !x.core.HoldsLease(c.localTime(x)) {
			continue
		}
		if holder != nil {
			c.t.Fatalf("at %s: %s (term %d) and %s (term %d) both hold the leader lease", c.now, holder.id, holder.core.Term(), x.id, x.core.Term())
		}
		holder = x
	}
}

// run advances the virtual time by d.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for c.now < end {
		next := c.now + tick
		for len(c.inFlight) > 0 && c.inFlight[0].at <= next {
			d := heap.Pop(&c.inFlight).(delivery)
			c.now = max(c.now, d.at)
			c.deliver(d.envelope)
		}
		c.now = next
		for _, x := range c.members {
			c.step(x, lwreplica.Tick{})
		}
	}
}

func (c *cluster) deliver(e lwreplica.Envelope) {
	from, to := c.byID[e.From], c.byID[e.To]
	if to == nil || from == nil || c.blocked[link{from.name, to.name}] {
		return
	}
	if to.paused {
		c.seq++
		heap.Push(&c.inFlight, delivery{c.now + 50*time.Millisecond, c.seq, e}) // it stays in the socket buffer
		return
	}
	c.step(to, lwreplica.Receive{Envelope: e})
}

func (c *cluster) leader() *member {
	var best *member
	for _, x := range c.members {
		if !x.down && !x.paused && x.core.Role() == lwreplica.Leader && (best == nil || x.core.Term() > best.core.Term()) {
			best = x
		}
	}
	return best
}

func (c *cluster) awaitLeader(within time.Duration) *member {
	c.t.Helper()
	for end := c.now + within; c.now < end; c.run(tick) {
		if l := c.leader(); l != nil && l.core.HoldsLease(c.localTime(l)) {
			return l
		}
	}
	c.t.Fatalf("at %s: no leader with a lease within %s", c.now, within)
	return nil
}

// propose sends a command to a member, which may refuse it.
func (c *cluster) propose(x *member) uint64 {
	c.nextID++
	c.unanswered[c.nextID] = fmt.Sprintf("command %d", c.nextID)
	c.step(x, lwreplica.Propose{ID: c.nextID, Data: []byte(c.unanswered[c.nextID])})
	c.step(x, lwreplica.Flush{})
	return c.nextID
}

// read requests a confirmed read index from a member.
func (c *cluster) read(x *member) {
	c.nextID++
	floor := lwreplica.Index(0)
	for i := range c.accepted {
		floor = max(floor, i)
	}
	c.readFloors[c.nextID] = floor
	c.step(x, lwreplica.ReadIndex{ID: c.nextID})
}

// mustCommit proposes commands until a new one is accepted.
func (c *cluster) mustCommit(within time.Duration) {
	c.t.Helper()
	before := len(c.accepted)
	for end := c.now + within; c.now < end; c.run(5 * tick) {
		if len(c.accepted) > before {
			return
		}
		if l := c.leader(); l != nil {
			c.propose(l)
		}
	}
	c.t.Fatalf("at %s: no command was accepted within %s", c.now, within)
}

// takeSnapshot replaces a member's applied entries by a snapshot.
func (c *cluster) takeSnapshot(x *member) {
	if x.down || x.paused || x.appliedIndex < x.core.FirstIndex() {
		return
	}
	term, _ := x.core.TermAt(x.appliedIndex)
	data := make([]byte, 300) // several chunks
	s := lwreplica.Snapshot{Index: x.appliedIndex, Term: term, Membership: x.core.MembershipAt(x.appliedIndex), Data: data}
	if err := x.log.SaveSnapshot(s, x.core.EntriesAfter(x.appliedIndex)); err != nil {
		c.crash(x)
		return
	}
	c.step(x, lwreplica.Compact{Snapshot: s})
}

// partition sets whether the traffic to a member (in) and from it (out) is cut off.
func (c *cluster) partition(x *member, in, out bool) {
	for _, y := range c.members {
		if y.name != x.name {
			c.blocked[link{y.name, x.name}] = in
			c.blocked[link{x.name, y.name}] = out
		}
	}
}

// heal restores the links, except for their jitter, and starts or resumes all
// members.
func (c *cluster) heal() {
	c.loss, c.duplication = 0.02, 0.01
	c.delay = 4500 * time.Microsecond
	c.reconnect()
}

// reconnect unblocks the links and starts or resumes all members.
func (c *cluster) reconnect() {
	c.blocked = make(map[link]bool)
	for _, x := range c.members {
		x.paused = false
		if x.down {
			c.start(x)
		}
	}
}

// changeMembership proposes a membership to the leader.
func (c *cluster) changeMembership(m lwreplica.Membership) {
	l := c.leader()
	if l == nil {
		return
	}
	c.nextID++
	c.step(l, lwreplica.ChangeMembership{ID: c.nextID, Membership: m})
}

// replaceDisk stops a member, starts a new replica with an empty disk at its
// address and replaces the old replica by it in the membership.
func (c *cluster) replaceDisk(x *member) {
	c.t.Helper()
	c.remove(x)
	id := lwunit.ReplicaID(fmt.Sprintf("%s%d", x.name, x.starts+10))
	l := c.awaitLeader(10 * time.Second)
	joining := lwreplica.Member{ID: id, Address: x.name}
	y := c.add(id, x.name, repairStep(l.core.Membership(), joining, x.id))
	y.starts = x.starts + 10
	c.awaitMembership(func(m lwreplica.Membership) bool { return m.IsVoter(id) && !m.IsVoter(x.id) }, joining, x.id)
}

// awaitMembership repeats the repair steps until the membership is as wanted.
func (c *cluster) awaitMembership(wanted func(lwreplica.Membership) bool, joining lwreplica.Member, old lwunit.ReplicaID) {
	c.t.Helper()
	for end := c.now + 30*time.Second; c.now < end; c.run(200 * time.Millisecond) {
		l := c.leader()
		if l == nil {
			continue
		}
		m := l.core.Membership()
		if wanted(m) {
			return
		}
		c.changeMembership(repairStep(m, joining, old))
	}
	c.t.Fatalf("at %s: the membership change was not completed", c.now)
}

// repairStep returns the next membership on the way to one in which joining
// replaces old.
func repairStep(m lwreplica.Membership, joining lwreplica.Member, old lwunit.ReplicaID) lwreplica.Membership {
	next := lwreplica.Membership{Learners: append([]lwreplica.Member(nil), m.Learners...)}
	for _, v := range m.Voters {
		if v.ID != old || !m.IsLearner(joining.ID) {
			next.Voters = append(next.Voters, v)
		}
	}
	switch {
	case !m.IsLearner(joining.ID):
		next.Learners = append(next.Learners, joining)
	case !m.IsVoter(old):
		next.Learners = nil
		next.Voters = append(next.Voters, joining)
	}
	return next
}

func (c *cluster) remove(x *member) {
	x.down = true
	delete(c.byID, x.id)
	for i, y := range c.members {
		if y == x {
			c.members = append(c.members[:i], c.members[i+1:]...)
			return
		}
	}
}

// checkEnd ends all faults and checks that the members agree and that every
// accepted command is in the log.
func (c *cluster) checkEnd() {
	c.t.Helper()
	c.heal()
	c.mustCommit(10 * time.Second)
	c.run(3 * time.Second)
	for i, text := range c.accepted {
		if got := c.committed[i]; string(got.Data) != text {
			c.t.Fatalf("accepted command %q at index %d is lost; %q is there", text, i, got.Data)
		}
	}
	l := c.leader()
	for _, x := range c.members {
		if x.appliedIndex != l.appliedIndex {
			c.t.Fatalf("%s applied index %d, the leader %d", x.id, x.appliedIndex, l.appliedIndex)
		}
		if !reflect.DeepEqual(x.core.Membership(), l.core.Membership()) {
			c.t.Fatalf("%s and the leader disagree on the membership", x.id)
		}
	}
}
