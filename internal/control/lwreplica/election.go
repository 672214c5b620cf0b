package lwreplica

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func (c *Core) resetElection() {
	spread := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.electionAt = c.now + c.cfg.ElectionTimeout + time.Duration(spread)
}

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionAt {
		return
	}
	c.resetElection()
	if c.Membership().IsVoter(c.cfg.ID) {
		c.startElection(true)
	}
}

// startElection asks for votes. The pre-vote leaves the term as it is, so a
// replica that was cut off cannot depose a leader by returning with a high
// term.
func (c *Core) startElection(pre bool) {
	c.votes = map[lwunit.ReplicaID]bool{c.cfg.ID: true}
	c.leader = ""
	term := c.hard.Term + 1
	if pre {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.hard = HardState{Term: term, Voted: c.cfg.ID}
		c.saveHardState()
	}
	c.resetElection()
	req := VoteRequest{Term: term, LastIndex: c.lastIndex(), LastTerm: c.lastTerm(), Pre: pre, Transfer: c.transferring}
	c.transferring = false // the leader asked for this one election only
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
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
		c.saveHardState()
	}
	if c.role == Leader {
		c.refuseReads()
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.transferTo = ""
	c.transferSent = false
	c.transferring = false
	c.incomingReset(leader)
	c.resetElection()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.leadSince = c.now
	c.transferring = false
	c.peers = make(map[lwunit.ReplicaID]*progress)
	c.reads = nil
	c.syncPeers()
	c.termStart = c.lastIndex() + 1
	c.appendEntries([]Entry{{Index: c.termStart, Term: c.hard.Term, Kind: EntryEmpty}})
	c.broadcast()
}

// syncPeers makes the progress table follow the membership.
func (c *Core) syncPeers() {
	keep := make(map[lwunit.ReplicaID]*progress)
	for _, m := range c.Membership().Members() {
		if m.ID == c.cfg.ID {
			continue
		}
		p, ok := c.peers[m.ID]
		if !ok {
			p = &progress{next: c.lastIndex() + 1}
		}
		keep[m.ID] = p
	}
	c.peers = keep
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

// leaderAlive reports whether this replica heard from a leader so recently
// that it must not help to elect another: the leader's lease counts on it.
func (c *Core) leaderAlive() bool {
	if c.role == Leader {
		return c.now-c.quorumContact() < c.cfg.ElectionTimeout
	}
	return c.heard && c.now-c.heardAt < c.cfg.ElectionTimeout
}

func (c *Core) onVoteRequest(from lwunit.ReplicaID, m VoteRequest) {
	if !m.Transfer && c.leaderAlive() {
		return
	}
	current := m.LastTerm > c.lastTerm() || (m.LastTerm == c.lastTerm() && m.LastIndex >= c.lastIndex())
	if m.Pre {
		granted := current && m.Term > c.hard.Term
		term := m.Term
		if !granted {
			term = c.hard.Term
		}
		c.sendAfterSync(from, VoteResponse{Term: term, Granted: granted, Pre: true})
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, "")
	}
	granted := current && m.Term == c.hard.Term && c.role == Follower && (c.hard.Voted == "" || c.hard.Voted == from)
	if granted {
		c.hard.Voted = from
		c.saveHardState()
		c.resetElection()
	}
	c.sendAfterSync(from, VoteResponse{Term: c.hard.Term, Granted: granted})
}

func (c *Core) onVoteResponse(from lwunit.ReplicaID, m VoteResponse) {
	if m.Pre {
		c.onPreVoteResponse(from, m)
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role != Candidate || m.Term != c.hard.Term {
		return
	}
	if m.Granted {
		c.votes[from] = true
	}
	c.countVotes()
}

func (c *Core) onPreVoteResponse(from lwunit.ReplicaID, m VoteResponse) {
	if !m.Granted {
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	if c.role != PreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[from] = true
	c.countVotes()
}

func (c *Core) transfer(e TransferLeadership) {
	if c.role != Leader || !c.Membership().IsVoter(e.To) || e.To == c.cfg.ID {
		return
	}
	c.transferTo = e.To
	c.transferEnd = c.now + c.cfg.ElectionTimeout
	c.tryTransfer()
}

// tryTransfer sends TimeoutNow once the target has the whole log.
func (c *Core) tryTransfer() {
	if c.transferTo == "" {
		return
	}
	p, ok := c.peers[c.transferTo]
	if !ok {
		c.transferTo = ""
		return
	}
	if p.match == c.lastIndex() {
		c.transferSent = true
		c.send(c.transferTo, TimeoutNow{Term: c.hard.Term})
	}
}

func (c *Core) onTimeoutNow(m TimeoutNow) {
	if m.Term != c.hard.Term || c.role == Leader || !c.Membership().IsVoter(c.cfg.ID) {
		return
	}
	c.transferring = true
	c.startElection(false)
}
