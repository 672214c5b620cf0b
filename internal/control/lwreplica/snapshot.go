package lwreplica

import "lavenderweir.example/lavenderweir/internal/base/lwunit"

// sendChunk sends the next chunk of the snapshot. One chunk is outstanding at
// a time; a lost one is sent again with the next heartbeat.
func (c *Core) sendChunk(to lwunit.ReplicaID, p *progress, again bool) {
	if p.sendingTo != c.snap.Index {
		p.sendingTo, p.offset = c.snap.Index, 0
	} else if !again {
		return
	}
	end := min(len(c.snap.Data), p.offset+c.cfg.ChunkBytes)
	c.send(to, SnapshotChunk{
		Term: c.hard.Term, Index: c.snap.Index, LogTerm: c.snap.Term, Membership: c.snap.Membership,
		Offset: p.offset, Total: len(c.snap.Data), Data: c.snap.Data[p.offset:end], Round: c.round, SentAt: c.now,
	})
}

func (c *Core) incomingReset(leader lwunit.ReplicaID) {
	if leader == "" {
		c.incoming = nil
	}
}

func (c *Core) onSnapshotChunk(from lwunit.ReplicaID, m SnapshotChunk) {
	if !c.heardFromLeader(from, m.Term) {
		c.sendAfterSync(from, AppendResponse{Term: c.hard.Term, Reject: true, Round: m.Round, SentAt: m.SentAt})
		return
	}
	if m.Index <= c.commit {
		c.sendAfterSync(from, AppendResponse{Term: c.hard.Term, Match: c.commit, Round: m.Round, SentAt: m.SentAt})
		return
	}
	if c.incoming == nil || c.incoming.Index != m.Index || c.incoming.Term != m.LogTerm {
		c.incoming = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership}
	}
	if m.Offset == len(c.incoming.Data) {
		c.incoming.Data = append(c.incoming.Data, m.Data...)
	}
	if len(c.incoming.Data) < m.Total {
		c.sendAfterSync(from, SnapshotAck{Term: c.hard.Term, Index: m.Index, Offset: len(c.incoming.Data), Round: m.Round, SentAt: m.SentAt})
		return
	}
	c.install()
	c.sendAfterSync(from, AppendResponse{Term: c.hard.Term, Match: c.snap.Index, Round: m.Round, SentAt: m.SentAt})
}

// install replaces state and log by the received snapshot, keeping entries
// that follow it if the log agrees with it there.
func (c *Core) install() {
	s := *c.incoming
	c.incoming = nil
	keep := []Entry(nil)
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		keep = append(keep, c.entries[s.Index-c.snap.Index:]...)
	}
	c.snap = s
	c.entries = keep
	c.commit = s.Index
	c.durable = c.lastIndex()
	c.rebuildMembers()
	c.out.Snapshot = &s
	c.out.Entries = append([]Entry(nil), keep...)
	c.out.Committed = nil
}

func (c *Core) onSnapshotAck(from lwunit.ReplicaID, m SnapshotAck) {
	p := c.acknowledge(from, m.Term, m.Round, m.SentAt)
	if p == nil || m.Index != p.sendingTo || p.sendingTo != c.snap.Index || m.Offset == p.offset {
		return
	}
	p.offset = min(m.Offset, len(c.snap.Data))
	c.confirmReads()
	c.sendChunk(from, p, true)
}
