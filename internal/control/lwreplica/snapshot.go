package lwreplica

import "lavenderweir.example/lavenderweir/internal/base/lwunit"

// sendChunk sends the next chunk of the snapshot. One chunk is outstanding at a
// time: without force, nothing is sent while one is. A heartbeat forces a resend,
// in case the chunk was lost; the acknowledgement of a chunk forces the next one.
func (c *Core) sendChunk(to lwunit.ReplicaID, p *progress, force bool) {
	if p.snapshotIndex != c.snap.Index {
		p.snapshotIndex, p.snapshotOffset = c.snap.Index, 0
	} else if !force {
		return
	}
	end := min(len(c.snap.Data), p.snapshotOffset+c.cfg.ChunkBytes)
	c.send(to, SnapshotChunk{
		Term: c.hardState.Term, Index: c.snap.Index, LogTerm: c.snap.Term, Membership: c.snap.Membership,
		Offset: p.snapshotOffset, Total: len(c.snap.Data), Data: c.snap.Data[p.snapshotOffset:end], Round: c.round, SentAt: c.now,
	})
}

// dropIncomingWithoutLeader discards a partly received snapshot if no leader is
// known that may send the rest.
func (c *Core) dropIncomingWithoutLeader(leader lwunit.ReplicaID) {
	if leader == "" {
		c.incomingSnapshot = nil
	}
}

func (c *Core) onSnapshotChunk(from lwunit.ReplicaID, m SnapshotChunk) {
	if !c.acceptLeader(from, m.Term) {
		c.refuseFormerTerm(from)
		return
	}
	if m.Index <= c.commit {
		c.sendAfterSync(from, AppendResponse{Term: c.hardState.Term, Match: c.commit, Round: m.Round, SentAt: m.SentAt})
		return
	}
	if !c.continuesIncoming(from, m) {
		c.incomingSnapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership}
		c.incomingFrom, c.incomingTerm = from, m.Term
	}
	if m.Offset == len(c.incomingSnapshot.Data) {
		c.incomingSnapshot.Data = append(c.incomingSnapshot.Data, m.Data...)
	}
	if len(c.incomingSnapshot.Data) < m.Total {
		c.sendAfterSync(from, SnapshotAck{Term: c.hardState.Term, Index: m.Index, Offset: len(c.incomingSnapshot.Data), Round: m.Round, SentAt: m.SentAt})
		return
	}
	c.installSnapshot()
	c.sendAfterSync(from, AppendResponse{Term: c.hardState.Term, Match: c.snap.Index, Round: m.Round, SentAt: m.SentAt})
}

// continuesIncoming reports whether a chunk belongs to the snapshot being received.
// Another leader may have encoded the state at the same index differently.
func (c *Core) continuesIncoming(from lwunit.ReplicaID, m SnapshotChunk) bool {
	s := c.incomingSnapshot
	return s != nil && s.Index == m.Index && s.Term == m.LogTerm && c.incomingFrom == from && c.incomingTerm == m.Term
}

// installSnapshot replaces state and log by the received snapshot. It keeps the
// entries after the snapshot if the log holds the last entry that the snapshot covers.
func (c *Core) installSnapshot() {
	s := *c.incomingSnapshot
	c.incomingSnapshot = nil
	keep := []Entry(nil)
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		keep = append(keep, c.entries[s.Index-c.snap.Index:]...)
	}
	c.snap = s
	c.entries = keep
	c.commit = s.Index
	c.durable = c.lastIndex()
	c.rebuildMemberships()
	c.out.Snapshot = &s
	c.out.Entries = append([]Entry(nil), keep...)
	c.out.Committed = nil
}

func (c *Core) onSnapshotAck(from lwunit.ReplicaID, m SnapshotAck) {
	p := c.recordAck(from, m.Term, m.Round, m.SentAt)
	if p == nil || m.Index != p.snapshotIndex || p.snapshotIndex != c.snap.Index || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = min(m.Offset, len(c.snap.Data))
	c.confirmReads()
	c.sendChunk(from, p, true)
}
