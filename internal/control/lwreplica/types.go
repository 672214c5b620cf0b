// Package lwreplica is the core of one control replica: elections, log
// replication, membership change and quorum-confirmed reads. It does no I/O
// and reads no clock: events go in with the time, outputs come out, and the
// same events and seed always give the same outputs. The caller makes the
// outputs durable and sends the messages.
package lwreplica

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Term numbers the periods of leadership.
type Term uint64

// Index numbers the entries of the log, from 1.
type Index uint64

// EntryKind says what an entry carries.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryEmpty                       // marks the start of a term
	EntryMembership                  // a Membership as JSON
)

// Entry is one log entry.
type Entry struct {
	Index Index     `json:"i"`
	Term  Term      `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is what a replica must not forget: the term it is in and the
// replica it voted for there.
type HardState struct {
	Term  Term             `json:"term"`
	Voted lwunit.ReplicaID `json:"voted"`
}

// Member is one replica of the group.
type Member struct {
	ID      lwunit.ReplicaID     `json:"id"`
	Address string               `json:"address"`
	Domain  lwunit.FailureDomain `json:"domain"`
}

// Membership lists the replicas of the group.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// IsVoter reports whether id may vote.
func (m Membership) IsVoter(id lwunit.ReplicaID) bool { return contains(m.Voters, id) }

// IsLearner reports whether id receives the log without a vote.
func (m Membership) IsLearner(id lwunit.ReplicaID) bool { return contains(m.Learners, id) }

// Quorum returns the number of voters that decide.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Members returns voters and learners.
func (m Membership) Members() []Member { return slices.Concat(m.Voters, m.Learners) }

func contains(list []Member, id lwunit.ReplicaID) bool {
	return slices.ContainsFunc(list, func(x Member) bool { return x.ID == id })
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index      Index      `json:"index"`
	Term       Term       `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// Message is sent between replicas.
type Message interface{ message() }

// VoteRequest asks for a vote; with Pre set, whether a vote would be given.
type VoteRequest struct {
	Term      Term  `json:"term"`
	LastIndex Index `json:"last_index"`
	LastTerm  Term  `json:"last_term"`
	Pre       bool  `json:"pre,omitempty"`
	Transfer  bool  `json:"transfer,omitempty"` // the leader itself asked for this election
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Term    Term `json:"term"`
	Granted bool `json:"granted"`
	Pre     bool `json:"pre,omitempty"`
}

// AppendRequest carries entries, or none as a heartbeat.
type AppendRequest struct {
	Term      Term          `json:"term"`
	PrevIndex Index         `json:"prev_index"`
	PrevTerm  Term          `json:"prev_term"`
	Entries   []Entry       `json:"entries,omitempty"`
	Commit    Index         `json:"commit"`
	Round     uint64        `json:"round"`
	SentAt    time.Duration `json:"sent_at"` // leader's clock, echoed
}

// AppendResponse answers an AppendRequest. Match is the last entry known to
// agree with the leader; on a rejection it is a hint where to try next.
type AppendResponse struct {
	Term   Term          `json:"term"`
	Reject bool          `json:"reject,omitempty"`
	Match  Index         `json:"match"`
	Round  uint64        `json:"round"`
	SentAt time.Duration `json:"sent_at"`
}

// SnapshotChunk carries part of a snapshot.
type SnapshotChunk struct {
	Term       Term          `json:"term"`
	Index      Index         `json:"index"`
	LogTerm    Term          `json:"log_term"`
	Membership Membership    `json:"membership"`
	Offset     int           `json:"offset"`
	Total      int           `json:"total"`
	Data       []byte        `json:"data"`
	Round      uint64        `json:"round"`
	SentAt     time.Duration `json:"sent_at"`
}

// SnapshotAck tells the leader the next offset the follower wants.
type SnapshotAck struct {
	Term   Term          `json:"term"`
	Index  Index         `json:"index"`
	Offset int           `json:"offset"`
	Round  uint64        `json:"round"`
	SentAt time.Duration `json:"sent_at"`
}

// TimeoutNow asks a caught-up follower to stand for election at once.
type TimeoutNow struct {
	Term Term `json:"term"`
}

func (VoteRequest) message()    {}
func (VoteResponse) message()   {}
func (AppendRequest) message()  {}
func (AppendResponse) message() {}
func (SnapshotChunk) message()  {}
func (SnapshotAck) message()    {}
func (TimeoutNow) message()     {}

// Envelope addresses a message. A replica drops envelopes for another
// identity, so a replica that lost its disk never answers for its former self.
type Envelope struct {
	From lwunit.ReplicaID
	To   lwunit.ReplicaID
	Body Message
}

// Event is an input of the core.
type Event interface{ event() }

// Tick tells the core that time has passed.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Envelope Envelope }

// Propose appends a command to the log of a leader. The ID comes back in
// Output.Appended with its index. The entry is sent with the next Flush or
// heartbeat.
type Propose struct {
	ID   uint64
	Data []byte
}

// Flush sends the entries proposed since the last one.
type Flush struct{}

// ReadIndex asks for a commit index that a quorum has confirmed.
type ReadIndex struct{ ID uint64 }

// Persisted tells the core that its log is durable up to Index of Term.
type Persisted struct {
	Index Index
	Term  Term
}

// ChangeMembership proposes a new membership that differs by one replica.
type ChangeMembership struct {
	ID         uint64
	Membership Membership
}

// TransferLeadership asks the leader to hand over to another voter.
type TransferLeadership struct{ To lwunit.ReplicaID }

// Compact tells the core that the state machine has a snapshot.
type Compact struct{ Snapshot Snapshot }

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Flush) event()              {}
func (ReadIndex) event()          {}
func (Persisted) event()          {}
func (ChangeMembership) event()   {}
func (TransferLeadership) event() {}
func (Compact) event()            {}

// Appended reports where a proposal stands in the log.
type Appended struct {
	ID    uint64
	Index Index
	Term  Term
}

// Refused reports a proposal or read that was not taken; nothing was appended.
type Refused struct {
	ID  uint64
	Err error
}

// Confirmed reports a read index.
type Confirmed struct {
	ID    uint64
	Index Index
}

// Output is what the caller must do after a Step, in this order: send
// Messages, make Snapshot, HardState and Entries durable, send AfterSync,
// restore Snapshot and apply Committed, answer the rest.
type Output struct {
	Messages  []Envelope
	HardState *HardState
	Entries   []Entry   // replace the log from the first one's index on
	Snapshot  *Snapshot // received from the leader; replaces log and state
	AfterSync []Envelope
	Committed []Entry
	Appended  []Appended
	Confirmed []Confirmed
	Refused   []Refused
}

// Merge appends the work of o, which follows out.
func (out *Output) Merge(o Output) {
	out.Messages = append(out.Messages, o.Messages...)
	if o.HardState != nil {
		out.HardState = o.HardState
	}
	if o.Snapshot != nil {
		out.Snapshot = o.Snapshot
		out.Entries = nil
		out.Committed = nil
	}
	out.Entries = append(out.Entries, o.Entries...)
	out.AfterSync = append(out.AfterSync, o.AfterSync...)
	out.Committed = append(out.Committed, o.Committed...)
	out.Appended = append(out.Appended, o.Appended...)
	out.Confirmed = append(out.Confirmed, o.Confirmed...)
	out.Refused = append(out.Refused, o.Refused...)
}
