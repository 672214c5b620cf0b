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

// member is one replica: its core, its log on a fake disk and its clock.
type member struct {
	id      lwunit.ReplicaID
	name    string // address; survives a lost disk
	disk    *lwdisk.Memory
	log     *lwwal.Log
	core    *lwreplica.Core
	down    bool
	paused  bool
	rate    float64 // of its clock
	applied lwreplica.Index
	started int
}

// delivery is a message on its way.
type delivery struct {
	at       time.Duration
	seq      int
	envelope lwreplica.Envelope
}

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

type link struct{ from, to string }

// cluster drives real cores on fake disks and a fake network in virtual time,
// and checks what must hold after every step.
type cluster struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	members []*member
	byID    map[lwunit.ReplicaID]*member
	flight  deliveries
	seq     int
	delay   time.Duration
	jitter  time.Duration
	loss    float64
	double  float64
	cut     map[link]bool
	chunk   int
	nextID  uint64

	committed map[lwreplica.Index]lwreplica.Entry // by any replica
	highest   lwreplica.Index
	acked     map[lwreplica.Index]string    // proposals that were answered as accepted
	waiting   map[uint64]string             // proposals without an answer
	placed    map[uint64]lwreplica.Appended // where they stand
	reads     map[uint64]lwreplica.Index    // floor that a read must not go below
	confirmed int
	snapshots int
}

func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), byID: make(map[lwunit.ReplicaID]*member), delay: 4500 * time.Microsecond,
		jitter: 2 * time.Millisecond, loss: 0.02, double: 0.01, cut: make(map[link]bool), chunk: 64,
		committed: make(map[lwreplica.Index]lwreplica.Entry), acked: make(map[lwreplica.Index]string),
		waiting: make(map[uint64]string), placed: make(map[uint64]lwreplica.Appended), reads: make(map[uint64]lwreplica.Index),
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

// add starts a replica with an empty disk under a new identity.
func (c *cluster) add(id lwunit.ReplicaID, name string, m lwreplica.Membership) *member {
	x := &member{id: id, name: name, disk: lwdisk.NewMemory(), rate: 1 + (c.rng.Float64()-0.5)*0.01}
	log, _, err := lwwal.Open(x.disk, lwwal.Identity{Replica: id})
	c.noErr(err)
	c.noErr(log.SaveSnapshot(lwreplica.Snapshot{Membership: m}, nil))
	c.members = append(c.members, x)
	c.byID[id] = x
	c.open(x)
	return x
}

func (c *cluster) noErr(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatalf("at %s: %v", c.now, err)
	}
}

// local returns the member's own clock.
func (c *cluster) local(x *member) time.Duration {
	return time.Duration(float64(c.now)*x.rate) + time.Hour
}

func (c *cluster) open(x *member) {
	log, contents, err := lwwal.Open(x.disk, lwwal.Identity{Replica: x.id})
	if err != nil {
		c.crash(x) // the disk still fails; the process does not start
		return
	}
	log.SetSegmentBytes(2000)
	x.started++
	cfg := lwreplica.DefaultConfig(x.id, c.rng.Uint64())
	cfg.ChunkBytes = c.chunk
	cfg.MaxInFlight = 4
	cfg.MaxBatchBytes = 200
	x.log, x.down, x.paused = log, false, false
	x.applied = contents.Restored.Snapshot.Index
	x.core = lwreplica.New(cfg, contents.Restored, c.local(x))
}

// crash stops a member and drops what its disk had not synced, but for a torn
// tail of random length.
func (c *cluster) crash(x *member) {
	x.down = true
	x.disk.Crash(func(_ string, unsynced int) int { return c.rng.IntN(unsynced + 1) })
}

// step feeds one event to a member and carries out its output.
func (c *cluster) step(x *member, e lwreplica.Event) {
	if x.down || x.paused {
		return
	}
	out := x.core.Step(c.local(x), e)
	for {
		c.post(out.Messages)
		if !c.persist(x, out) {
			return
		}
		c.post(out.AfterSync)
		c.note(x, out)
		if len(out.Entries) == 0 {
			break
		}
		last := x.core.LastIndex()
		term, _ := x.core.TermAt(last)
		out = x.core.Step(c.local(x), lwreplica.Persisted{Index: last, Term: term})
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

func (c *cluster) post(list []lwreplica.Envelope) {
	for _, e := range list {
		copies := 1
		if c.rng.Float64() < c.double {
			copies = 2
		}
		for range copies {
			if c.rng.Float64() < c.loss {
				continue
			}
			c.seq++
			at := c.now + c.delay + time.Duration(c.rng.Int64N(int64(c.jitter)+1))
			heap.Push(&c.flight, delivery{at, c.seq, e})
		}
	}
}

// note checks what a member learned: no committed entry ever differs, nothing
// answered is lost, a confirmed read includes everything answered before it.
func (c *cluster) note(x *member, out lwreplica.Output) {
	if out.Snapshot != nil {
		c.snapshots++
		x.applied = out.Snapshot.Index
	}
	for _, a := range out.Appended {
		c.placed[a.ID] = a
	}
	for _, e := range out.Committed {
		if e.Index != x.applied+1 {
			c.t.Fatalf("at %s: %s applied %d after %d", c.now, x.id, e.Index, x.applied)
		}
		x.applied = e.Index
		c.noteCommitted(x, e)
	}
	for _, r := range out.Confirmed {
		c.confirmed++
		if r.Index < c.reads[r.ID] {
			c.t.Fatalf("at %s: %s confirmed a read at %d; %d was answered before it", c.now, x.id, r.Index, c.reads[r.ID])
		}
	}
}

func (c *cluster) noteCommitted(x *member, e lwreplica.Entry) {
	first, ok := c.committed[e.Index]
	if ok && (first.Term != e.Term || first.Kind != e.Kind || string(first.Data) != string(e.Data)) {
		c.t.Fatalf("at %s: %s committed %+v at %d; %+v was committed there before", c.now, x.id, e, e.Index, first)
	}
	c.committed[e.Index] = e
	c.highest = max(c.highest, e.Index)
	// The leader answers a proposal when it applies the entry.
	for id, a := range c.placed {
		if a.Index == e.Index && a.Term == e.Term && x.core.Role() == lwreplica.Leader {
			if text, ok := c.waiting[id]; ok { // not a membership change
				c.acked[e.Index] = text
			}
			delete(c.placed, id)
			delete(c.waiting, id)
		}
	}
}

// checkLease fails if two members hold the leader's lease at one moment.
func (c *cluster) checkLease() {
	var holder *member
	for _, x := range c.members {
		if x.down || !x.core.HoldsLease(c.local(x)) {
			continue
		}
		if holder != nil {
			c.t.Fatalf("at %s: %s (term %d) and %s (term %d) both hold the lease", c.now, holder.id, holder.core.Term(), x.id, x.core.Term())
		}
		holder = x
	}
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for c.now < end {
		next := c.now + tick
		for len(c.flight) > 0 && c.flight[0].at <= next {
			d := heap.Pop(&c.flight).(delivery)
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
	if to == nil || from == nil || c.cut[link{from.name, to.name}] {
		return
	}
	if to.paused {
		c.seq++
		heap.Push(&c.flight, delivery{c.now + 50*time.Millisecond, c.seq, e}) // waits in its socket
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
		if l := c.leader(); l != nil && l.core.HoldsLease(c.local(l)) {
			return l
		}
	}
	c.t.Fatalf("at %s: no leader within %s", c.now, within)
	return nil
}

// propose sends a command to a member; it may be refused.
func (c *cluster) propose(x *member) uint64 {
	c.nextID++
	c.waiting[c.nextID] = fmt.Sprintf("command %d", c.nextID)
	c.step(x, lwreplica.Propose{ID: c.nextID, Data: []byte(c.waiting[c.nextID])})
	c.step(x, lwreplica.Flush{})
	return c.nextID
}

// read asks a member for a confirmed index.
func (c *cluster) read(x *member) {
	c.nextID++
	floor := lwreplica.Index(0)
	for i := range c.acked {
		floor = max(floor, i)
	}
	c.reads[c.nextID] = floor
	c.step(x, lwreplica.ReadIndex{ID: c.nextID})
}

// mustCommit proposes until a new command is answered as accepted.
func (c *cluster) mustCommit(within time.Duration) {
	c.t.Helper()
	before := len(c.acked)
	for end := c.now + within; c.now < end; c.run(5 * tick) {
		if len(c.acked) > before {
			return
		}
		if l := c.leader(); l != nil {
			c.propose(l)
		}
	}
	c.t.Fatalf("at %s: nothing committed within %s", c.now, within)
}

// compact takes a snapshot of a member's applied state.
func (c *cluster) compact(x *member) {
	if x.down || x.paused || x.applied < x.core.FirstIndex() {
		return
	}
	term, _ := x.core.TermAt(x.applied)
	data := make([]byte, 300) // several chunks
	s := lwreplica.Snapshot{Index: x.applied, Term: term, Membership: x.core.MembershipAt(x.applied), Data: data}
	if err := x.log.SaveSnapshot(s, x.core.EntriesAfter(x.applied)); err != nil {
		c.crash(x)
		return
	}
	c.step(x, lwreplica.Compact{Snapshot: s})
}

func (c *cluster) partition(x *member, in, out bool) {
	for _, y := range c.members {
		if y.name != x.name {
			c.cut[link{y.name, x.name}] = in
			c.cut[link{x.name, y.name}] = out
		}
	}
}

func (c *cluster) heal() {
	c.cut = make(map[link]bool)
	c.loss, c.double = 0.02, 0.01
	c.delay = 4500 * time.Microsecond
	for _, x := range c.members {
		x.paused = false
		if x.down {
			c.open(x)
		}
	}
}

// change proposes a membership to the leader.
func (c *cluster) change(m lwreplica.Membership) {
	l := c.leader()
	if l == nil {
		return
	}
	c.nextID++
	c.step(l, lwreplica.ChangeMembership{ID: c.nextID, Membership: m})
}

// replaceDisk brings a member back with an empty disk, as a new replica, and
// walks the membership to include it in place of its former self.
func (c *cluster) replaceDisk(x *member) {
	c.t.Helper()
	c.remove(x)
	id := lwunit.ReplicaID(fmt.Sprintf("%s%d", x.name, x.started+10))
	l := c.awaitLeader(10 * time.Second)
	me := lwreplica.Member{ID: id, Address: x.name}
	y := c.add(id, x.name, repairStep(l.core.Membership(), me, x.id))
	y.started = x.started + 10
	c.settle(func(m lwreplica.Membership) bool { return m.IsVoter(id) && !m.IsVoter(x.id) }, me, x.id)
}

// settle repeats the repair steps until the membership is as wanted.
func (c *cluster) settle(done func(lwreplica.Membership) bool, me lwreplica.Member, old lwunit.ReplicaID) {
	c.t.Helper()
	for end := c.now + 30*time.Second; c.now < end; c.run(200 * time.Millisecond) {
		l := c.leader()
		if l == nil {
			continue
		}
		m := l.core.Membership()
		if done(m) {
			return
		}
		c.change(repairStep(m, me, old))
	}
	c.t.Fatalf("at %s: the membership did not settle", c.now)
}

// repairStep returns the membership one change closer to me in place of old.
func repairStep(m lwreplica.Membership, me lwreplica.Member, old lwunit.ReplicaID) lwreplica.Membership {
	next := lwreplica.Membership{Learners: append([]lwreplica.Member(nil), m.Learners...)}
	for _, v := range m.Voters {
		if v.ID != old || !m.IsLearner(me.ID) {
			next.Voters = append(next.Voters, v)
		}
	}
	switch {
	case !m.IsLearner(me.ID):
		next.Learners = append(next.Learners, me)
	case !m.IsVoter(old):
		next.Learners = nil
		next.Voters = append(next.Voters, me)
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

// checkEnd heals everything and checks that all replicas agree and that every
// answered proposal is in the log.
func (c *cluster) checkEnd() {
	c.t.Helper()
	c.heal()
	c.mustCommit(10 * time.Second)
	c.run(3 * time.Second)
	for i, text := range c.acked {
		if got := c.committed[i]; string(got.Data) != text {
			c.t.Fatalf("answered proposal %q at %d is lost; %q is there", text, i, got.Data)
		}
	}
	l := c.leader()
	for _, x := range c.members {
		if x.applied != l.applied {
			c.t.Fatalf("%s applied %d, the leader %d", x.id, x.applied, l.applied)
		}
		if !reflect.DeepEqual(x.core.Membership(), l.core.Membership()) {
			c.t.Fatalf("%s and the leader disagree on the membership", x.id)
		}
	}
}
