// Package lwreplica implements the replicated log of the control replicas as a
// variant of the Raft consensus algorithm: elections with a pre-vote, log
// replication, membership changes of one voter at a time, leadership transfer,
// a leader lease and reads that a quorum confirms. It does no I/O and reads no
// clock: the caller passes in events with the time, makes the outputs durable
// and sends the messages. The same events and seed always give the same outputs.
package lwreplica

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Term is the number of an election term. A term has at most one leader.
type Term uint64

// Index is the position of an entry in the log, counted from 1.
type Index uint64

// EntryKind is the type of an entry's payload.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryNoop                        // no data; the first entry of each leader
	EntryMembership                  // a Membership as JSON
)

// Entry is one log entry.
type Entry struct {
	Index Index     `json:"i"`
	Term  Term      `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is the election state that must survive a restart: the current
// term and the replica voted for in it, empty for none.
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

// Membership lists the replicas of the group. Learners receive the log but
// have no vote.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id lwunit.ReplicaID) bool { return containsMember(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id lwunit.ReplicaID) bool { return containsMember(m.Learners, id) }

// Quorum returns how many voters make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Members returns the voters, then the learners.
func (m Membership) Members() []Member { return slices.Concat(m.Voters, m.Learners) }

func containsMember(list []Member, id lwunit.ReplicaID) bool {
	return slices.ContainsFunc(list, func(x Member) bool { return x.ID == id })
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index      Index      `json:"index"`
	Term       Term       `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// Message is the body of an Envelope: one of the requests and responses below.
type Message interface{ message() }

// VoteRequest asks for a vote in Term. With Pre set it only asks whether the
// vote would be granted; the recipient then changes neither its term nor its vote.
type VoteRequest struct {
	Term      Term  `json:"term"`
	LastIndex Index `json:"last_index"`
	LastTerm  Term  `json:"last_term"`
	Pre       bool  `json:"pre,omitempty"`
	Transfer  bool  `json:"transfer,omitempty"` // the leader requested this election with TimeoutNow
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Term    Term `json:"term"`
	Granted bool `json:"granted"`
	Pre     bool `json:"pre,omitempty"`
}

// AppendRequest carries entries that follow PrevIndex. It carries none if it is
// only a heartbeat.
type AppendRequest struct {
	Term      Term          `json:"term"`
	PrevIndex Index         `json:"prev_index"`
	PrevTerm  Term          `json:"prev_term"`
	Entries   []Entry       `json:"entries,omitempty"`
	Commit    Index         `json:"commit"`
	Round     uint64        `json:"round"`   // latest heartbeat round of the leader; the response returns it
	SentAt    time.Duration `json:"sent_at"` // on the leader's clock; the response returns it
}

// AppendResponse answers an AppendRequest. It also answers a SnapshotChunk that
// completes its snapshot, that is not needed or that is of an earlier term. Match
// is the last index up to which the log is known to equal the leader's; with
// Reject set it is a hint: the last index at which the logs may agree, or 0 if the
// request was of an earlier term. Round and SentAt are then 0, too.
type AppendResponse struct {
	Term   Term          `json:"term"`
	Reject bool          `json:"reject,omitempty"`
	Match  Index         `json:"match"`
	Round  uint64        `json:"round"`
	SentAt time.Duration `json:"sent_at"`
}

// SnapshotChunk carries the part of a snapshot's data that starts at Offset.
// Total is the length of all the data.
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

// SnapshotAck reports the offset of the snapshot data that the follower needs next.
type SnapshotAck struct {
	Term   Term          `json:"term"`
	Index  Index         `json:"index"`
	Offset int           `json:"offset"`
	Round  uint64        `json:"round"`
	SentAt time.Duration `json:"sent_at"`
}

// TimeoutNow tells a follower that has the leader's whole log to start an
// election at once. The leader sends it to transfer its leadership.
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

// Envelope is a message with its sender and recipient. A replica drops
// envelopes for another ID. A replica that lost its disk restarts under a new
// ID, so it never answers for the log that it lost.
type Envelope struct {
	From lwunit.ReplicaID
	To   lwunit.ReplicaID
	Body Message
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick lets the core check its timers against the time passed to Step.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Envelope Envelope }

// Propose appends a command to the log of a leader. Output.Appended returns
// the ID with the index of the entry. The entry is not sent before the next Flush,
// heartbeat or response of a follower, so that proposals which arrive together
// share a message.
type Propose struct {
	ID   uint64
	Data []byte
	Term Term // in which the command holds; 0 if in any
}

// Flush makes a leader send the entries that it has not sent yet, to each member
// within the limit Config.MaxInFlight.
type Flush struct{}

// ReadIndex requests an index that a linearizable read must have applied. It is
// returned in Output.Confirmed once a quorum has confirmed the leadership.
type ReadIndex struct{ ID uint64 }

// Persisted reports that the log is durable up to the entry at Index, which is of
// term Term.
type Persisted struct {
	Index Index
	Term  Term
}

// ChangeMembership proposes a new membership. It may add or remove at most one
// voter; a new voter must be a learner that has caught up.
type ChangeMembership struct {
	ID         uint64
	Membership Membership
}

// TransferLeadership makes a leader transfer its leadership to another voter.
type TransferLeadership struct{ To lwunit.ReplicaID }

// Compact replaces log entries by a snapshot of this replica's state machine that
// covers them.
type Compact struct{ Snapshot Snapshot }

// Disconnected reports that the connection to another replica has closed, perhaps
// because its process has ended.
type Disconnected struct{ ID lwunit.ReplicaID }

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Flush) event()              {}
func (ReadIndex) event()          {}
func (Persisted) event()          {}
func (ChangeMembership) event()   {}
func (TransferLeadership) event() {}
func (Compact) event()            {}
func (Disconnected) event()       {}

// AppendedProposal reports the log entry of a proposal. The entry may still be
// replaced by a later leader until it is committed.
type AppendedProposal struct {
	ID    uint64
	Index Index
	Term  Term
}

// RefusedRequest reports a command or membership change that was not appended, or
// a read that failed.
type RefusedRequest struct {
	ID  uint64
	Err error
}

// ConfirmedRead reports the index that a read must have applied.
type ConfirmedRead struct {
	ID    uint64
	Index Index
}

// Output is what the caller must do after a Step, in this order: send Messages;
// make Snapshot, HardState and Entries durable; send MessagesAfterSync; record
// Appended; restore Snapshot and apply Committed; answer Confirmed and Refused. If
// there were Entries, the caller then passes a Persisted event to Step.
type Output struct {
	Messages          []Envelope
	HardState         *HardState
	Entries           []Entry   // replace the log from the index of the first one
	Snapshot          *Snapshot // received from the leader; replaces log and state
	MessagesAfterSync []Envelope
	Committed         []Entry
	Appended          []AppendedProposal
	Confirmed         []ConfirmedRead
	Refused           []RefusedRequest
}

// Merge adds the output o of a later Step to out. A Snapshot in o supersedes the
// Entries and the Committed entries of out.
func (out *Output) Merge(o Output) {
	out.Messages = append(out.Messages, o.Messages...)
	out.holdMessages()
	if o.HardState != nil {
		out.HardState = o.HardState
	}
	if o.Snapshot != nil {
		out.Snapshot = o.Snapshot
		out.Entries = nil
		out.Committed = nil
	}
	out.Entries = append(out.Entries, o.Entries...)
	out.MessagesAfterSync = append(out.MessagesAfterSync, o.MessagesAfterSync...)
	out.Committed = append(out.Committed, o.Committed...)
	out.Appended = append(out.Appended, o.Appended...)
	out.Confirmed = append(out.Confirmed, o.Confirmed...)
	out.Refused = append(out.Refused, o.Refused...)
}

// holdMessages makes the Messages wait for the sync if it also makes a new term or
// vote durable: a leader that sent entries and then lost its term with a crash could
// lead the same term again with other entries.
func (out *Output) holdMessages() {
	if out.HardState != nil {
		out.MessagesAfterSync = append(out.MessagesAfterSync, out.Messages...)
		out.Messages = nil
	}
}
