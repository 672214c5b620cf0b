package lwreplica

// readIndex starts a read: the present commit index is confirmed once a
// quorum answers a message that was sent after the read arrived.
func (c *Core) readIndex(e ReadIndex) {
	if c.role != Leader {
		c.out.Refused = append(c.out.Refused, Refused{e.ID, errNotLeader()})
		return
	}
	c.reads = append(c.reads, pendingRead{e.ID, max(c.commit, c.termStart), c.round + 1})
	if len(c.reads) == 1 || c.reads[len(c.reads)-2].round <= c.round {
		c.broadcast()
	}
}

// confirmReads answers the reads whose round a quorum has acknowledged. A new
// leader's reads also wait until it has committed an entry of its own term.
func (c *Core) confirmReads() {
	if c.role != Leader || c.commit < c.termStart {
		return
	}
	n := 0
	for n < len(c.reads) && c.roundConfirmed(c.reads[n].round) {
		c.out.Confirmed = append(c.out.Confirmed, Confirmed{c.reads[n].id, c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}

func (c *Core) roundConfirmed(round uint64) bool {
	if c.round < round {
		return false
	}
	agreed := 0
	for _, m := range c.Membership().Voters {
		if m.ID == c.cfg.ID {
			agreed++
			continue
		}
		if p := c.peers[m.ID]; p != nil && p.ackedRound >= round {
			agreed++
		}
	}
	return agreed >= c.Membership().Quorum()
}

func (c *Core) refuseReads() {
	for _, r := range c.reads {
		c.out.Refused = append(c.out.Refused, Refused{r.id, errNotLeader()})
	}
	c.reads = nil
}
