package lwreplica

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	// preVotePrecedence is the part of an election timeout for which a pre-vote
	// precedes equal ones: several crossings of the slowest link.
	preVotePrecedence = 10
	// preVoteRepeat is the part of an election timeout after which a pre-vote is
	// repeated at the earliest.
	preVoteRepeat = 5
)

// preVoteInterval returns the time until a pre-vote that was not granted is repeated.
// Another follower refuses it for an election timeout after its own last contact
// with the leader, which may be a heartbeat later than this replica's.
func (c *Core) preVoteInterval() time.Duration {
	least := c.cfg.ElectionTimeout / preVoteRepeat
	return least + time.Duration(c.rng.Int64N(int64(least)))
}

func (c *Core) resetElectionDeadline() {
	jitter := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + time.Duration(jitter)
}

// disconnected brings the election deadline forward if the connection to the leader
// has closed. It stays beyond an election timeout after the last contact, on which the
// leader's lease relies, and the next message of a leader that is still there sets it
// anew.
func (c *Core) disconnected(e Disconnected) {
	if c.role != Follower || c.leader == "" || e.ID != c.leader {
		return
	}
	jitter := time.Duration(c.rng.Int64N(int64(c.cfg.ElectionTimeout / preVoteRepeat)))
	c.electionDeadline = min(c.electionDeadline, c.leaderContactAt+c.cfg.ElectionTimeout+jitter)
}

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionDeadline()
	if c.Membership().IsVoter(c.cfg.ID) {
		c.startElection(true)
	}
}

// startElection requests votes, or pre-votes if pre is set. A pre-vote leaves
// the term unchanged, so a replica that returns from a network partition does
// not depose the leader with a higher term.
func (c *Core) startElection(pre bool) {
	c.votes = map[lwunit.ReplicaID]bool{c.cfg.ID: true}
	c.leader = ""
	term := c.hardState.Term + 1
	if pre {
		c.role = PreCandidate
		c.preVoteAt = c.now
	} else {
		c.role = Candidate
		c.hardState = HardState{Term: term, Voted: c.cfg.ID}
		c.saveHardState()
	}
	c.resetElectionDeadline()
	if pre {
		c.electionDeadline = min(c.electionDeadline, c.now+c.preVoteInterval())
	}
	req := VoteRequest{Term: term, LastIndex: c.lastIndex(), LastTerm: c.lastTerm(), Pre: pre, Transfer: c.electionByTransfer}
	c.electionByTransfer = false // the leader requested only this one election
	for _, m := range c.Membership().Voters {
		if m.ID != c.cfg.ID {
			c.sendAfterSync(m.ID, req)
		}
	}
	c.countVotes()
}

func (c *Core) countVotes() {
	granted := 0
	for _, m := range c.Membership().Voters {
		if c.votes[m.ID] {
			granted++
		}
	}
	if granted < c.Membership().Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeFollower(term Term, leader lwunit.ReplicaID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
		c.saveHardState()
	}
	if c.role == Leader {
		c.refuseReads()
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.transferTarget = ""
	c.timeoutNowSent = false
	c.electionByTransfer = false
	c.dropIncomingWithoutLeader(leader)
	c.resetElectionDeadline()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.leaderSince = c.now
	c.electionByTransfer = false
	c.peers = make(map[lwunit.ReplicaID]*progress)
	c.pendingReads = nil
	c.updatePeers()
	c.termStartIndex = c.lastIndex() + 1
	c.appendEntries([]Entry{{Index: c.termStartIndex, Term: c.hardState.Term, Kind: EntryNoop}})
	c.broadcast()
}

// updatePeers adds and removes progress records so that they match the membership.
func (c *Core) updatePeers() {
	peers := make(map[lwunit.ReplicaID]*progress)
	for _, m := range c.Membership().Members() {
		if m.ID == c.cfg.ID {
			continue
		}
		p, ok := c.peers[m.ID]
		if !ok {
			p = &progress{next: c.lastIndex() + 1}
		}
		peers[m.ID] = p
	}
	c.peers = peers
}

func (c *Core) receive(e Envelope) {
	if e.To != c.cfg.ID {
		return
	}
	switch m := e.Body.(type) {
	case VoteRequest:
		c.onVoteRequest(e.From, m)
	case VoteResponse:
		c.onVoteResponse(e.From, m)
	case AppendRequest:
		c.onAppendRequest(e.From, m)
	case AppendResponse:
		c.onAppendResponse(e.From, m)
	case SnapshotChunk:
		c.onSnapshotChunk(e.From, m)
	case SnapshotAck:
		c.onSnapshotAck(e.From, m)
	case TimeoutNow:
		c.onTimeoutNow(m)
	}
}

// hasRecentLeader reports whether this replica was in contact with a leader
// within the last election timeout. The replica then ignores vote requests other
// than those of a leadership transfer, because the leader's lease relies on that.
// For a leader, its contact with a quorum counts instead.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return c.now-c.lastQuorumContact() < c.cfg.ElectionTimeout
	}
	return c.hasLeaderContact && c.now-c.leaderContactAt < c.cfg.ElectionTimeout
}

func (c *Core) onVoteRequest(from lwunit.ReplicaID, m VoteRequest) {
	if !m.Transfer && c.hasRecentLeader() {
		return
	}
	upToDate := m.LastTerm > c.lastTerm() || (m.LastTerm == c.lastTerm() && m.LastIndex >= c.lastIndex())
	if m.Pre {
		granted := upToDate && m.Term > c.hardState.Term && !c.precedes(from, m)
		term := m.Term
		if !granted {
			term = c.hardState.Term
		}
		c.sendAfterSync(from, VoteResponse{Term: term, Granted: granted, Pre: true})
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	}
	granted := upToDate && m.Term == c.hardState.Term && c.role == Follower && (c.hardState.Voted == "" || c.hardState.Voted == from)
	if granted {
		c.hardState.Voted = from
		c.saveHardState()
		c.resetElectionDeadline()
	}
	c.sendAfterSync(from, VoteResponse{Term: c.hardState.Term, Granted: granted})
}

// precedes reports whether this replica's own pre-vote goes before an equal one of
// another replica. If both granted the other's, both would become candidates and
// split the vote, which costs another election timeout. The precedence ends after
// preVotePrecedence, so that a replica that cannot win does not keep the other from it.
func (c *Core) precedes(from lwunit.ReplicaID, m VoteRequest) bool {
	return c.role == PreCandidate && c.now-c.preVoteAt < c.cfg.ElectionTimeout/preVotePrecedence &&
		m.LastIndex == c.lastIndex() && m.LastTerm == c.lastTerm() && c.cfg.ID > from
}

func (c *Core) onVoteResponse(from lwunit.ReplicaID, m VoteResponse) {
	if m.Pre {
		c.onPreVoteResponse(from, m)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role != Candidate || m.Term != c.hardState.Term {
		return
	}
	if m.Granted {
		c.votes[from] = true
	}
	c.countVotes()
}

func (c *Core) onPreVoteResponse(from lwunit.ReplicaID, m VoteResponse) {
	if !m.Granted {
		if m.Term > c.hardState.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	if c.role != PreCandidate || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[from] = true
	c.countVotes()
}

func (c *Core) transfer(e TransferLeadership) {
	if c.role != Leader || !c.Membership().IsVoter(e.To) || e.To == c.cfg.ID {
		return
	}
	c.transferTarget = e.To
	c.transferDeadline = c.now + c.cfg.ElectionTimeout
	c.sendTimeoutNowIfCaughtUp()
}

// sendTimeoutNowIfCaughtUp sends TimeoutNow if the target of a transfer has the
// whole log. It ends the transfer if the target is no longer a member.
func (c *Core) sendTimeoutNowIfCaughtUp() {
	if c.transferTarget == "" {
		return
	}
	p, ok := c.peers[c.transferTarget]
	if !ok {
		c.endTransfer()
		return
	}
	if p.match == c.lastIndex() {
		c.timeoutNowSent = true
		c.send(c.transferTarget, TimeoutNow{Term: c.hardState.Term})
	}
}

func (c *Core) onTimeoutNow(m TimeoutNow) {
	if m.Term != c.hardState.Term || c.role == Leader || !c.Membership().IsVoter(c.cfg.ID) {
		return
	}
	c.electionByTransfer = true
	c.startElection(false)
}
