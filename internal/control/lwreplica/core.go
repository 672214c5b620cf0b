package lwreplica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Role is the part a replica plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config sets the timing of a replica. ElectionTimeout must be several
// heartbeats plus a round trip on the slowest link.
type Config struct {
	ID              lwunit.ReplicaID
	Heartbeat       time.Duration
	ElectionTimeout time.Duration // lower bound; the upper is twice as long
	ClockRate       float64       // largest relative difference of clock rates
	MaxBatchBytes   int           // entries in one AppendRequest
	MaxInFlight     int           // AppendRequests without an answer, a follower
	ChunkBytes      int           // snapshot data in one chunk
	MaxUncommitted  int           // entries a leader accepts ahead of the commit index
	Seed            uint64
}

// DefaultConfig returns settings for links of up to 10 ms one way.
func DefaultConfig(id lwunit.ReplicaID, seed uint64) Config {
	return Config{
		ID: id, Heartbeat: 75 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
		ClockRate: 0.01, MaxBatchBytes: 128 << 10, MaxInFlight: 8, ChunkBytes: 256 << 10,
		MaxUncommitted: 20000, Seed: seed,
	}
}

// Restored is what the disk held when the replica started.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what a leader knows of one other replica.
type progress struct {
	match      Index
	next       Index
	inFlight   int
	ackedRound uint64
	ackedSent  time.Duration // when the last answered message was sent
	acked      bool
	sendingTo  Index // snapshot being sent; 0 for none
	offset     int
}

type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

type memberAt struct {
	index      Index
	membership Membership
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	hard HardState
	role Role

	snap    Snapshot
	entries []Entry // entries[0].Index == snap.Index+1
	commit  Index
	durable Index
	members []memberAt // every membership still in the log, oldest first

	leader       lwunit.ReplicaID
	heardAt      time.Duration
	heard        bool
	electionAt   time.Duration
	votes        map[lwunit.ReplicaID]bool
	transferring bool // this election was asked for by the leader

	peers       map[lwunit.ReplicaID]*progress
	round       uint64
	heartbeatAt time.Duration
	leadSince   time.Duration
	termStart   Index // index of the empty entry of this leader's term
	reads       []pendingRead
	transferTo  lwunit.ReplicaID
	transferEnd time.Duration
	// transferSent is set once TimeoutNow was sent: from then on another
	// replica may be elected at any time.
	transferSent bool

	incoming *Snapshot // snapshot being received
	out      Output
}

// New returns a replica as restored from its disk. A fresh group starts from
// a Snapshot at index 0 that holds its first Membership.
func New(cfg Config, r Restored, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6c77)), now: now, hard: r.HardState, snap: r.Snapshot, entries: r.Entries}
	c.commit = r.Snapshot.Index
	c.durable = c.lastIndex()
	c.rebuildMembers()
	// The vote that keeps a living leader in office may have been forgotten
	// with the process; wait a whole timeout before helping to replace it.
	c.heardAt, c.heard = now, true
	c.resetElection()
	return c
}

// Step handles one event at time now and returns what must be done.
func (c *Core) Step(now time.Duration, e Event) Output {
	c.now = max(c.now, now)
	c.out = Output{}
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Envelope)
	case Propose:
		c.propose(e)
	case Flush:
		c.flush()
	case ReadIndex:
		c.readIndex(e)
	case Persisted:
		c.persisted(e)
	case ChangeMembership:
		c.changeMembership(e)
	case TransferLeadership:
		c.transfer(e)
	case Compact:
		c.compact(e.Snapshot)
	}
	return c.out
}

// Role returns the present role.
func (c *Core) Role() Role { return c.role }

// Term returns the present term.
func (c *Core) Term() Term { return c.hard.Term }

// LeaderID returns the leader of this term if it is known.
func (c *Core) LeaderID() lwunit.ReplicaID { return c.leader }

// CommitIndex returns the last index known to be committed.
func (c *Core) CommitIndex() Index { return c.commit }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() Index { return c.lastIndex() }

// FirstIndex returns the first index still in the log.
func (c *Core) FirstIndex() Index { return c.snap.Index + 1 }

// EntriesAfter returns the entries that follow index i.
func (c *Core) EntriesAfter(i Index) []Entry {
	if i < c.snap.Index {
		i = c.snap.Index
	}
	return append([]Entry(nil), c.entries[i-c.snap.Index:]...)
}

// HardState returns the term and the vote.
func (c *Core) HardState() HardState { return c.hard }

// Match returns how far the leader knows a member's log to agree, and how
// long ago that member last answered.
func (c *Core) Match(id lwunit.ReplicaID) (Index, time.Duration, bool) {
	if id == c.cfg.ID {
		return c.durable, 0, true
	}
	p, ok := c.peers[id]
	if !ok || c.role != Leader {
		return 0, 0, false
	}
	if !p.acked {
		return p.match, c.now - c.leadSince, false
	}
	return p.match, c.now - p.ackedSent, true
}

// Membership returns the membership in force, committed or not.
func (c *Core) Membership() Membership { return c.members[len(c.members)-1].membership }

// MembershipAt returns the membership that held after the entry at i.
func (c *Core) MembershipAt(i Index) Membership {
	m := c.members[0].membership
	for _, at := range c.members {
		if at.index <= i {
			m = at.membership
		}
	}
	return m
}

// TermAt returns the term of the entry at i, if it is in the log.
func (c *Core) TermAt(i Index) (Term, bool) { return c.termAt(i) }

// HoldsLease reports whether no other replica can have been elected by now: a
// quorum answered a message sent less than an election timeout ago, less the
// bound on clock rates. A leader acts for others only while this holds.
func (c *Core) HoldsLease(now time.Duration) bool { return now < c.LeaseEnd() }

// LeaseEnd returns the time until which no other replica can be elected, as
// far as is known now; zero when this replica does not lead.
func (c *Core) LeaseEnd() time.Duration {
	if c.role != Leader || c.commit < c.termStart || c.transferTo != "" {
		return 0
	}
	bound := time.Duration(float64(c.cfg.ElectionTimeout) * (1 - 2*c.cfg.ClockRate))
	return c.quorumContact() + bound
}

func (c *Core) lastIndex() Index { return c.snap.Index + Index(len(c.entries)) }

func (c *Core) lastTerm() Term {
	t, _ := c.termAt(c.lastIndex())
	return t
}

func (c *Core) termAt(i Index) (Term, bool) {
	switch {
	case i == c.snap.Index:
		return c.snap.Term, true
	case i < c.snap.Index || i > c.lastIndex():
		return 0, false
	default:
		return c.entries[i-c.snap.Index-1].Term, true
	}
}

func (c *Core) rebuildMembers() {
	c.members = []memberAt{{c.snap.Index, c.snap.Membership}}
	for _, e := range c.entries {
		c.noteMembership(e)
	}
}

func (c *Core) noteMembership(e Entry) {
	if e.Kind != EntryMembership {
		return
	}
	var m Membership
	if err := json.Unmarshal(e.Data, &m); err != nil {
		panic(fmt.Sprintf("membership entry %d does not decode: %v", e.Index, err))
	}
	c.members = append(c.members, memberAt{e.Index, m})
}

func (c *Core) send(to lwunit.ReplicaID, m Message) {
	c.out.Messages = append(c.out.Messages, Envelope{c.cfg.ID, to, m})
}

func (c *Core) sendAfterSync(to lwunit.ReplicaID, m Message) {
	c.out.AfterSync = append(c.out.AfterSync, Envelope{c.cfg.ID, to, m})
}

func (c *Core) saveHardState() {
	hard := c.hard
	c.out.HardState = &hard
}

// appendEntries puts entries at the end of the log, cutting what they replace.
func (c *Core) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= c.commit {
		panic(fmt.Sprintf("entry %d would replace a committed one; the commit index is %d", first, c.commit))
	}
	if first <= c.lastIndex() {
		c.entries = append([]Entry(nil), c.entries[:first-c.snap.Index-1]...)
		c.durable = min(c.durable, first-1)
		for len(c.members) > 1 && c.members[len(c.members)-1].index >= first {
			c.members = c.members[:len(c.members)-1]
		}
	}
	c.entries = append(c.entries, entries...)
	for _, e := range entries {
		c.noteMembership(e)
	}
	c.out.Entries = append(c.out.Entries, entries...)
}

// advanceCommit moves the commit index and hands out what it passed.
func (c *Core) advanceCommit(to Index) {
	to = min(to, c.lastIndex())
	if to <= c.commit {
		return
	}
	from := c.commit
	c.commit = to
	c.out.Committed = append(c.out.Committed, c.entries[from-c.snap.Index:to-c.snap.Index]...)
}

func (c *Core) persisted(e Persisted) {
	if t, ok := c.termAt(e.Index); !ok || t != e.Term {
		return // the entry was replaced meanwhile
	}
	c.durable = max(c.durable, e.Index)
	if c.role == Leader {
		c.advanceLeaderCommit()
	}
}

func (c *Core) compact(s Snapshot) {
	if s.Index <= c.snap.Index || s.Index > c.commit {
		return
	}
	keep := c.entries[s.Index-c.snap.Index:]
	c.entries = append([]Entry(nil), keep...)
	c.snap = s
	c.rebuildMembers()
}

func errNotLeader() error {
	return lwfault.New(lwfault.NotLeader, "this replica does not lead")
}
