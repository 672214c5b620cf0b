package lwreplica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Role is the role of a replica in its current term.
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

// Config holds the timing and the limits of a replica. ElectionTimeout must be
// longer than several heartbeats plus a round trip on the slowest link.
type Config struct {
	ID              lwunit.ReplicaID
	Heartbeat       time.Duration
	ElectionTimeout time.Duration // shortest time without a leader before an election; the longest is twice that
	MaxClockDrift   float64       // bound on the relative difference of clock rates; shortens the leader lease
	MaxBatchBytes   int           // entry data in one AppendRequest; a larger entry is sent alone
	MaxInFlight     int           // unanswered AppendRequests per follower
	ChunkBytes      int           // snapshot data in one chunk
	MaxUncommitted  int           // a leader with this many entries after the commit index refuses proposals
	Seed            uint64
}

// DefaultConfig returns settings for links with up to 10 ms of one-way latency.
func DefaultConfig(id lwunit.ReplicaID, seed uint64) Config {
	return Config{
		ID: id, Heartbeat: 75 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
		MaxClockDrift: 0.01, MaxBatchBytes: 128 << 10, MaxInFlight: 8, ChunkBytes: 256 << 10,
		MaxUncommitted: 20000, Seed: seed,
	}
}

// PersistedState is the state that a replica reads from its disk when it starts.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is the replication state of one other replica, kept by the leader.
type progress struct {
	match           Index         // last index known to be durable there and equal to the leader's log
	next            Index         // next index to send
	inFlight        int           // AppendRequests without a response, counted from the last forced one
	ackedRound      uint64        // latest heartbeat round that was answered
	lastAckedSentAt time.Duration // when the latest answered message was sent
	responded       bool          // has answered in this term
	snapshotIndex   Index         // index of the snapshot being sent; 0 for none
	snapshotOffset  int           // offset up to which the follower has its data; the next chunk starts there
}

// pendingRead is a read that is confirmed once a quorum acknowledges its heartbeat
// round.
type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      Index
	membership Membership
}

// Core is the state machine of one replica. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	hardState HardState
	role      Role

	snap        Snapshot
	entries     []Entry        // entries[0].Index == snap.Index+1
	commit      Index          // last committed index
	durable     Index          // last index known to be synced to this replica's disk
	memberships []membershipAt // of the snapshot and of each membership entry in the log, oldest first

	leader             lwunit.ReplicaID
	leaderContactAt    time.Duration // when the last message of a leader arrived or, without one, the start
	hasLeaderContact   bool
	electionDeadline   time.Duration
	preVoteAt          time.Duration // when the last pre-vote of this replica began
	votes              map[lwunit.ReplicaID]bool
	electionByTransfer bool // the leader requested the election that starts next

	peers            map[lwunit.ReplicaID]*progress
	round            uint64 // number of the latest heartbeat round
	nextHeartbeatAt  time.Duration
	leaderSince      time.Duration
	termStartIndex   Index // index of the no-op entry that starts the leader's term
	pendingReads     []pendingRead
	transferTarget   lwunit.ReplicaID
	transferDeadline time.Duration
	// timeoutNowSent is set once TimeoutNow was sent: from then on another
	// replica may be elected at any time.
	timeoutNowSent bool

	incomingSnapshot *Snapshot        // snapshot being received
	incomingFrom     lwunit.ReplicaID // leader that sends it
	incomingTerm     Term             // term of that leader
	out              Output
}

// New returns a replica with the state that was read from its disk. A new group
// starts from a Snapshot at index 0 that holds its first Membership.
func New(cfg Config, state PersistedState, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6c77)), now: now, hardState: state.HardState, snap: state.Snapshot, entries: state.Entries}
	c.commit = state.Snapshot.Index
	c.durable = c.lastIndex()
	c.rebuildMemberships()
	// The time of the last message from a leader is not durable. The replica may
	// have answered a leader just before it restarted, and that leader's lease
	// relies on the answer. So for a whole election timeout the replica takes part
	// in no election other than that of a leadership transfer.
	c.leaderContactAt, c.hasLeaderContact = now, true
	c.resetElectionDeadline()
	return c
}

// Step handles one event at time now and returns what the caller must do. A
// smaller now than that of an earlier step counts as the earlier one.
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
	case Disconnected:
		c.disconnected(e)
	}
	c.out.holdMessages()
	return c.out
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.hardState.Term }

// LeaderID returns the leader of the current term, or "" if it is unknown.
func (c *Core) LeaderID() lwunit.ReplicaID { return c.leader }

// CommitIndex returns the last index known to be committed.
func (c *Core) CommitIndex() Index { return c.commit }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() Index { return c.lastIndex() }

// FirstIndex returns the first index still in the log.
func (c *Core) FirstIndex() Index { return c.snap.Index + 1 }

// EntriesAfter returns the entries after index i, or all of the log if i is
// before it.
func (c *Core) EntriesAfter(i Index) []Entry {
	if i < c.snap.Index {
		i = c.snap.Index
	}
	return append([]Entry(nil), c.entries[i-c.snap.Index:]...)
}

// HardState returns the term and the vote.
func (c *Core) HardState() HardState { return c.hardState }

// ReplicationProgress returns the last index up to which a member is known to
// hold the leader's log, and the age of the member's last answer, counted from
// when the answered message was sent. If the member has not answered in this
// term, the age counts from the start of the leadership and the result is false.
// For the replica itself the index is that of its durable log. A replica that
// does not lead knows nothing of the others and returns zeros.
func (c *Core) ReplicationProgress(id lwunit.ReplicaID) (Index, time.Duration, bool) {
	if id == c.cfg.ID {
		return c.durable, 0, true
	}
	p, ok := c.peers[id]
	if !ok || c.role != Leader {
		return 0, 0, false
	}
	if !p.responded {
		return p.match, c.now - c.leaderSince, false
	}
	return p.match, c.now - p.lastAckedSentAt, true
}

// Membership returns the latest membership in the log, which is in force whether
// it is committed or not.
func (c *Core) Membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// MembershipAt returns the membership in force after the entry at i.
func (c *Core) MembershipAt(i Index) Membership {
	m := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= i {
			m = at.membership
		}
	}
	return m
}

// TermAt returns the term of the entry at i, if it is in the log.
func (c *Core) TermAt(i Index) (Term, bool) { return c.termAt(i) }

// HoldsLease reports whether this replica leads and no other can have been
// elected by now: a quorum has answered messages that were sent within the last
// election timeout, which is shortened by twice the bound on clock drift. A leader
// may act on behalf of the group only while it holds the lease.
func (c *Core) HoldsLease(now time.Duration) bool { return now < c.LeaseEnd() }

// LeaseEnd returns the time until which no other replica can be elected, as
// known from the answers so far. It is zero if this replica does not lead, has
// not committed an entry of its term yet or is transferring its leadership.
func (c *Core) LeaseEnd() time.Duration {
	if c.role != Leader || c.commit < c.termStartIndex || c.transferTarget != "" {
		return 0
	}
	leaseLength := time.Duration(float64(c.cfg.ElectionTimeout) * (1 - 2*c.cfg.MaxClockDrift))
	return c.lastQuorumContact() + leaseLength
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

func (c *Core) rebuildMemberships() {
	c.memberships = []membershipAt{{c.snap.Index, c.snap.Membership}}
	for _, e := range c.entries {
		c.recordMembership(e)
	}
}

func (c *Core) recordMembership(e Entry) {
	if e.Kind != EntryMembership {
		return
	}
	var m Membership
	if err := json.Unmarshal(e.Data, &m); err != nil {
		panic(fmt.Sprintf("cannot decode membership entry %d: %v", e.Index, err))
	}
	c.memberships = append(c.memberships, membershipAt{e.Index, m})
}

func (c *Core) send(to lwunit.ReplicaID, m Message) {
	c.out.Messages = append(c.out.Messages, Envelope{c.cfg.ID, to, m})
}

func (c *Core) sendAfterSync(to lwunit.ReplicaID, m Message) {
	c.out.MessagesAfterSync = append(c.out.MessagesAfterSync, Envelope{c.cfg.ID, to, m})
}

func (c *Core) saveHardState() {
	hard := c.hardState
	c.out.HardState = &hard
}

// appendEntries writes entries to the log at their indexes and cuts off the
// entries that they replace.
func (c *Core) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= c.commit {
		panic(fmt.Sprintf("entry %d would replace a committed entry; the commit index is %d", first, c.commit))
	}
	if first <= c.lastIndex() {
		c.entries = append([]Entry(nil), c.entries[:first-c.snap.Index-1]...)
		c.durable = min(c.durable, first-1)
		for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= first {
			c.memberships = c.memberships[:len(c.memberships)-1]
		}
	}
	c.entries = append(c.entries, entries...)
	for _, e := range entries {
		c.recordMembership(e)
	}
	c.out.Entries = append(c.out.Entries, entries...)
}

// advanceCommit raises the commit index and outputs the newly committed entries.
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
		return // the entry was replaced or compacted meanwhile
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
	c.rebuildMemberships()
}

func errNotLeader() error {
	return lwfault.New(lwfault.NotLeader, "this replica is not the leader")
}
