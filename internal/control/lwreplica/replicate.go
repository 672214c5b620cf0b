package lwreplica

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func (c *Core) propose(e Propose) {
	if c.role != Leader {
		c.out.Refused = append(c.out.Refused, Refused{e.ID, errNotLeader()})
		return
	}
	if c.transferTo != "" {
		err := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "leadership is being handed over", RetryAfter: c.cfg.ElectionTimeout}
		c.out.Refused = append(c.out.Refused, Refused{e.ID, err})
		return
	}
	if int(c.lastIndex()-c.commit) >= c.cfg.MaxUncommitted {
		err := &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "too many commands wait for a quorum", RetryAfter: time.Second}
		c.out.Refused = append(c.out.Refused, Refused{e.ID, err})
		return
	}
	c.appendOwn(e.ID, EntryCommand, e.Data)
}

func (c *Core) appendOwn(id uint64, kind EntryKind, data []byte) {
	entry := Entry{Index: c.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.appendEntries([]Entry{entry})
	c.out.Appended = append(c.out.Appended, Appended{id, entry.Index, entry.Term})
	if kind == EntryMembership {
		c.syncPeers()
		c.flush()
	}
}

// flush sends what was appended since the last flush, so that proposals that
// arrive together travel in one message.
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
	if c.now-c.quorumContact() >= 2*c.cfg.ElectionTimeout {
		c.becomeFollower(c.hard.Term, "")
		return
	}
	if c.transferTo != "" && c.now >= c.transferEnd {
		c.endTransfer()
		return
	}
	if c.now >= c.heartbeatAt {
		c.broadcast()
	}
}

// endTransfer gives up a hand-over. A leader that has sent TimeoutNow cannot
// take it back, so it steps down rather than lead without a lease.
func (c *Core) endTransfer() {
	if c.transferSent {
		c.becomeFollower(c.hard.Term, "")
		return
	}
	c.transferTo = ""
}

// broadcast starts a new round: every member is sent a message whose answer
// proves that this replica still led when it was sent.
func (c *Core) broadcast() {
	c.round++
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	for _, m := range c.Membership().Members() {
		if m.ID != c.cfg.ID {
			c.replicate(m.ID, true)
		}
	}
	c.tryTransfer()
	c.confirmReads()
}

// replicate sends a follower what it lacks; with beat set, at least an empty
// message.
func (c *Core) replicate(to lwunit.ReplicaID, beat bool) {
	p := c.peers[to]
	if p == nil {
		return
	}
	if beat {
		// The heartbeat's answer shows whether what was in flight arrived.
		p.inFlight = 0
	}
	if p.next <= c.snap.Index {
		c.sendChunk(to, p, beat)
		return
	}
	for p.inFlight < c.cfg.MaxInFlight && (beat || p.next <= c.lastIndex()) {
		c.sendAppend(to, p)
		beat = false
	}
}

func (c *Core) sendAppend(to lwunit.ReplicaID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := c.termAt(prev)
	entries := c.batchFrom(p.next)
	p.next += Index(len(entries))
	p.inFlight++
	c.send(to, AppendRequest{
		Term: c.hard.Term, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries,
		Commit: c.commit, Round: c.round, SentAt: c.now,
	})
}

func (c *Core) batchFrom(first Index) []Entry {
	if first > c.lastIndex() {
		return nil
	}
	all := c.entries[first-c.snap.Index-1:]
	size, n := 0, 0
	for n < len(all) && (n == 0 || size+len(all[n].Data) <= c.cfg.MaxBatchBytes) {
		size += len(all[n].Data)
		n++
	}
	return slices.Clone(all[:n])
}

// heardFromLeader accepts the sender as leader of the message's term; false
// means that the message is from an older term.
func (c *Core) heardFromLeader(from lwunit.ReplicaID, term Term) bool {
	if term < c.hard.Term {
		return false
	}
	if term > c.hard.Term || c.role != Follower || c.leader != from {
		c.becomeFollower(term, from)
	}
	c.heardAt, c.heard = c.now, true
	c.resetElection()
	return true
}

func (c *Core) onAppendRequest(from lwunit.ReplicaID, m AppendRequest) {
	if !c.heardFromLeader(from, m.Term) {
		c.sendAfterSync(from, AppendResponse{Term: c.hard.Term, Reject: true, Round: m.Round, SentAt: m.SentAt})
		return
	}
	res := AppendResponse{Term: c.hard.Term, Round: m.Round, SentAt: m.SentAt}
	if !c.agreesAt(m.PrevIndex, m.PrevTerm) {
		res.Reject = true
		res.Match = c.rejectHint(m.PrevIndex)
		c.sendAfterSync(from, res)
		return
	}
	entries := c.newEntries(m.Entries)
	c.appendEntries(entries)
	res.Match = m.PrevIndex + Index(len(m.Entries))
	c.advanceCommit(min(m.Commit, res.Match))
	c.sendAfterSync(from, res)
}

// agreesAt reports whether the log holds the entry at i with term t. What a
// snapshot covers is committed and so agrees with every leader.
func (c *Core) agreesAt(i Index, t Term) bool {
	if i < c.snap.Index {
		return true
	}
	own, ok := c.termAt(i)
	return ok && own == t
}

// rejectHint returns an index where the logs may agree: before all entries of
// the conflicting term.
func (c *Core) rejectHint(prev Index) Index {
	if prev > c.lastIndex() {
		return c.lastIndex()
	}
	conflict, _ := c.termAt(prev)
	i := prev
	for i > c.commit {
		t, ok := c.termAt(i)
		if !ok || t != conflict {
			break
		}
		i--
	}
	return i
}

// newEntries returns the entries that the log lacks or holds with another term.
func (c *Core) newEntries(entries []Entry) []Entry {
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
	p := c.acknowledge(from, m.Term, m.Round, m.SentAt)
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
	p.sendingTo = 0
	c.advanceLeaderCommit()
	c.confirmReads()
	c.tryTransfer()
	if c.role == Leader && p.next <= c.lastIndex() {
		c.replicate(from, false)
	}
}

// acknowledge notes an answer to a message of this term and returns the
// sender's progress, or nil when the answer does not count.
func (c *Core) acknowledge(from lwunit.ReplicaID, term Term, round uint64, sent time.Duration) *progress {
	if term > c.hard.Term {
		c.becomeFollower(term, "")
		return nil
	}
	if c.role != Leader || term != c.hard.Term {
		return nil
	}
	p := c.peers[from]
	if p == nil {
		return nil
	}
	p.ackedRound = max(p.ackedRound, round)
	p.ackedSent = max(p.ackedSent, sent)
	p.acked = true
	return p
}

// advanceLeaderCommit commits what a quorum has made durable, provided the
// entry is of this leader's own term.
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
	agreed := matches[len(matches)-c.Membership().Quorum()]
	if t, ok := c.termAt(agreed); !ok || t != c.hard.Term || agreed <= c.commit {
		return
	}
	c.advanceCommit(agreed)
	if !c.Membership().IsVoter(c.cfg.ID) && c.members[len(c.members)-1].index <= c.commit {
		c.broadcast() // the others learn of the commit that removed this leader
		c.becomeFollower(c.hard.Term, "")
		return
	}
	c.confirmReads()
}

// quorumContact returns the latest time at which a quorum is known to have
// followed this leader.
func (c *Core) quorumContact() time.Duration {
	times := make([]time.Duration, 0, len(c.Membership().Voters))
	for _, m := range c.Membership().Voters {
		switch p := c.peers[m.ID]; {
		case m.ID == c.cfg.ID:
			times = append(times, c.now)
		case p != nil && p.acked:
			times = append(times, p.ackedSent)
		default:
			times = append(times, c.leadSince)
		}
	}
	slices.Sort(times)
	return times[len(times)-c.Membership().Quorum()]
}
