package lwreplica

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func (c *Core) propose(e Propose) {
	if c.role != Leader || (e.Term != 0 && e.Term != c.hardState.Term) {
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, errNotLeader()})
		return
	}
	if c.transferTarget != "" {
		err := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "leadership is being transferred", RetryAfter: c.cfg.ElectionTimeout}
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, err})
		return
	}
	if int(c.lastIndex()-c.commit) >= c.cfg.MaxUncommitted {
		err := &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "too many commands are not committed yet", RetryAfter: time.Second}
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, err})
		return
	}
	c.appendAsLeader(e.ID, EntryCommand, e.Data)
}

func (c *Core) appendAsLeader(id uint64, kind EntryKind, data []byte) {
	entry := Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.appendEntries([]Entry{entry})
	c.out.Appended = append(c.out.Appended, AppendedProposal{id, entry.Index, entry.Term})
	if kind == EntryMembership {
		c.updatePeers()
		c.flush()
	}
}

// flush sends the entries that were not sent yet, to each member within the limit
// of unanswered requests.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	for _, m := range c.Membership().Members() {
		if m.ID != c.cfg.ID {
			c.replicate(m.ID, false)
		}
	}
}

func (c *Core) tickLeader() {
	if c.now-c.lastQuorumContact() >= 2*c.cfg.ElectionTimeout {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.transferTarget != "" && c.now >= c.transferDeadline {
		c.endTransfer()
		return
	}
	if c.now >= c.nextHeartbeatAt {
		c.broadcast()
	}
}

// endTransfer ends a leadership transfer that did not succeed in time or whose
// target is no longer a member. TimeoutNow cannot be taken back: if it was sent,
// another replica may still be elected, so the leader steps down rather than lead
// without a lease.
func (c *Core) endTransfer() {
	if c.timeoutNowSent {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	c.transferTarget = ""
}

// broadcast starts a new heartbeat round: it sends every other member a message
// whose answer proves that this replica still led when the message was sent.
func (c *Core) broadcast() {
	c.round++
	c.nextHeartbeatAt = c.now + c.cfg.Heartbeat
	for _, m := range c.Membership().Members() {
		if m.ID != c.cfg.ID {
			c.replicate(m.ID, true)
		}
	}
	c.sendTimeoutNowIfCaughtUp()
	c.confirmReads()
}

// replicate sends a follower the entries or the snapshot that it lacks. With force
// set, as for a heartbeat, it sends at least one message, an empty one if need be.
func (c *Core) replicate(to lwunit.ReplicaID, force bool) {
	p := c.peers[to]
	if p == nil {
		return
	}
	if force {
		// Earlier messages in flight may be lost, and the answer to this one shows
		// which entries arrived, so they no longer count against the limit.
		p.inFlight = 0
	}
	if p.next <= c.snap.Index {
		c.sendChunk(to, p, force)
		return
	}
	for p.inFlight < c.cfg.MaxInFlight && (force || p.next <= c.lastIndex()) {
		c.sendAppend(to, p)
		force = false
	}
}

func (c *Core) sendAppend(to lwunit.ReplicaID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := c.termAt(prev)
	entries := c.batchFrom(p.next)
	p.next += Index(len(entries))
	p.inFlight++
	c.send(to, AppendRequest{
		Term: c.hardState.Term, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries,
		Commit: c.commit, Round: c.round, SentAt: c.now,
	})
}

func (c *Core) batchFrom(first Index) []Entry {
	if first > c.lastIndex() {
		return nil
	}
	pending := c.entries[first-c.snap.Index-1:]
	size, n := 0, 0
	for n < len(pending) && (n == 0 || size+len(pending[n].Data) <= c.cfg.MaxBatchBytes) {
		size += len(pending[n].Data)
		n++
	}
	return slices.Clone(pending[:n])
}

// acceptLeader follows the sender as the leader of term. It returns false, and
// changes nothing, if the term is older than the current one.
func (c *Core) acceptLeader(from lwunit.ReplicaID, term Term) bool {
	if term < c.hardState.Term {
		return false
	}
	if term > c.hardState.Term || c.role != Follower || c.leader != from {
		c.becomeFollower(term, from)
	}
	c.leaderContactAt, c.hasLeaderContact = c.now, true
	c.resetElectionDeadline()
	return true
}

// refuseFormerTerm tells the leader of an earlier term the current one. The answer
// is no contact with that leader, and the leader may by now lead the current term
// with another clock, so it returns neither Round nor SentAt.
func (c *Core) refuseFormerTerm(from lwunit.ReplicaID) {
	c.sendAfterSync(from, AppendResponse{Term: c.hardState.Term, Reject: true})
}

func (c *Core) onAppendRequest(from lwunit.ReplicaID, m AppendRequest) {
	if !c.acceptLeader(from, m.Term) {
		c.refuseFormerTerm(from)
		return
	}
	res := AppendResponse{Term: c.hardState.Term, Round: m.Round, SentAt: m.SentAt}
	if !c.matchesEntry(m.PrevIndex, m.PrevTerm) {
		res.Reject = true
		res.Match = c.rejectHint(m.PrevIndex)
		c.sendAfterSync(from, res)
		return
	}
	entries := c.entriesToAppend(m.Entries)
	c.appendEntries(entries)
	res.Match = m.PrevIndex + Index(len(m.Entries))
	c.advanceCommit(min(m.Commit, res.Match))
	c.sendAfterSync(from, res)
}

// matchesEntry reports whether the log holds the entry at i with term t. Entries
// that the snapshot covers are committed and so equal those of every leader.
func (c *Core) matchesEntry(i Index, t Term) bool {
	if i < c.snap.Index {
		return true
	}
	ownTerm, ok := c.termAt(i)
	return ok && ownTerm == t
}

// rejectHint returns the last index at which the logs may agree: the end of a
// shorter log, or the last entry before those of the conflicting term. It does
// not go below the commit index.
func (c *Core) rejectHint(prev Index) Index {
	if prev > c.lastIndex() {
		return c.lastIndex()
	}
	conflictTerm, _ := c.termAt(prev)
	i := prev
	for i > c.commit {
		t, ok := c.termAt(i)
		if !ok || t != conflictTerm {
			break
		}
		i--
	}
	return i
}

// entriesToAppend returns the entries from the first one that the log lacks or
// holds with another term.
func (c *Core) entriesToAppend(entries []Entry) []Entry {
	for n, e := range entries {
		if e.Index <= c.snap.Index {
			continue
		}
		if t, ok := c.termAt(e.Index); ok && t == e.Term {
			continue
		}
		return entries[n:]
	}
	return nil
}

func (c *Core) onAppendResponse(from lwunit.ReplicaID, m AppendResponse) {
	p := c.recordAck(from, m.Term, m.Round, m.SentAt)
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if m.Reject {
		p.next = max(p.match+1, min(p.next-1, m.Match+1))
		c.replicate(from, true)
		return
	}
	p.match = max(p.match, min(m.Match, c.lastIndex()))
	p.next = max(p.next, p.match+1)
	p.snapshotIndex = 0
	c.advanceLeaderCommit()
	c.confirmReads()
	c.sendTimeoutNowIfCaughtUp()
	if c.role == Leader && p.next <= c.lastIndex() {
		c.replicate(from, false)
	}
}

// recordAck records an answer to a message of the current term and returns the
// sender's progress. It returns nil if the answer does not count, because this
// replica does not lead in the answer's term, the answered message is older than
// its leadership or the sender is not a member. An answer of a later term makes
// the replica a follower.
func (c *Core) recordAck(from lwunit.ReplicaID, term Term, round uint64, sentAt time.Duration) *progress {
	if term > c.hardState.Term {
		c.becomeFollower(term, "")
		return nil
	}
	if c.role != Leader || term != c.hardState.Term || sentAt < c.leaderSince {
		return nil
	}
	p := c.peers[from]
	if p == nil {
		return nil
	}
	p.ackedRound = max(p.ackedRound, round)
	p.lastAckedSentAt = max(p.lastAckedSentAt, sentAt)
	p.responded = true
	return p
}

// advanceLeaderCommit commits the entries that a quorum has made durable, if the
// last of them is of the leader's own term. An entry of an earlier term that a
// quorum holds may still be replaced by a later leader.
func (c *Core) advanceLeaderCommit() {
	if c.role != Leader {
		return
	}
	matches := make([]Index, 0, len(c.Membership().Voters))
	for _, m := range c.Membership().Voters {
		switch p := c.peers[m.ID]; {
		case m.ID == c.cfg.ID:
			matches = append(matches, c.durable)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	quorumMatch := matches[len(matches)-c.Membership().Quorum()]
	if t, ok := c.termAt(quorumMatch); !ok || t != c.hardState.Term || quorumMatch <= c.commit {
		return
	}
	c.advanceCommit(quorumMatch)
	if !c.Membership().IsVoter(c.cfg.ID) && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.broadcast() // the others learn that the change which removed this leader is committed
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	c.confirmReads()
}

// lastQuorumContact returns the latest time at which a quorum is known to have
// followed this leader, counted from when the leader sent the messages that the
// quorum answered. A voter that has not answered yet counts from the start of the
// leadership.
func (c *Core) lastQuorumContact() time.Duration {
	times := make([]time.Duration, 0, len(c.Membership().Voters))
	for _, m := range c.Membership().Voters {
		switch p := c.peers[m.ID]; {
		case m.ID == c.cfg.ID:
			times = append(times, c.now)
		case p != nil && p.responded:
			times = append(times, p.lastAckedSentAt)
		default:
			times = append(times, c.leaderSince)
		}
	}
	slices.Sort(times)
	return times[len(times)-c.Membership().Quorum()]
}
