package lwreplica

// readIndex queues a read. Its index is the commit index, or the start of the
// leader's term if that is higher. It is confirmed once a quorum acknowledges a
// heartbeat round that began after the read arrived.
func (c *Core) readIndex(e ReadIndex) {
	if c.role != Leader {
		c.out.Refused = append(c.out.Refused, RefusedRequest{e.ID, errNotLeader()})
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{e.ID, max(c.commit, c.termStartIndex), c.round + 1})
	if len(c.pendingReads) == 1 || c.pendingReads[len(c.pendingReads)-2].round <= c.round {
		c.broadcast()
	}
}

// confirmReads answers the reads whose round a quorum has acknowledged. The
// reads of a new leader also wait until it has committed an entry of its own
// term: before that its commit index may be older than that of its predecessor.
func (c *Core) confirmReads() {
	if c.role != Leader || c.commit < c.termStartIndex {
		return
	}
	n := 0
	for n < len(c.pendingReads) && c.roundConfirmed(c.pendingReads[n].round) {
		c.out.Confirmed = append(c.out.Confirmed, ConfirmedRead{c.pendingReads[n].id, c.pendingReads[n].index})
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}

func (c *Core) roundConfirmed(round uint64) bool {
	if c.round < round {
		return false
	}
	acked := 0
	for _, m := range c.Membership().Voters {
		if m.ID == c.cfg.ID {
			acked++
			continue
		}
		if p := c.peers[m.ID]; p != nil && p.ackedRound >= round {
			acked++
		}
	}
	return acked >= c.Membership().Quorum()
}

func (c *Core) refuseReads() {
	for _, r := range c.pendingReads {
		c.out.Refused = append(c.out.Refused, RefusedRequest{r.id, errNotLeader()})
	}
	c.pendingReads = nil
}
