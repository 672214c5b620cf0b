package lwcontrol

import (
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

// apply changes the state by what was committed and answers those who wait.
func (r *replica) apply(out lwreplica.Output) {
	if out.Snapshot == nil && len(out.Committed) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if out.Snapshot != nil {
		r.restore(*out.Snapshot)
	}
	for _, e := range out.Committed {
		r.applyEntry(e)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *replica) restore(s lwreplica.Snapshot) {
	state, err := lwstate.Restore(s.Data)
	if err != nil {
		r.log.Fatal("snapshot from the leader does not decode", zap.Error(err))
	}
	state.SkipTo(lwunit.Revision(s.Index))
	r.state = state
	r.applied, r.lastSnap, r.sinceSnap = s.Index, s.Index, 0
	r.log.Info("state replaced by a snapshot", zap.Uint64("index", uint64(s.Index)))
}

func (r *replica) applyEntry(e lwreplica.Entry) {
	if e.Index <= r.applied {
		return
	}
	r.applied = e.Index
	r.sinceSnap += len(e.Data)
	var res lwstate.Result
	if e.Kind == lwreplica.EntryCommand {
		cmd, at, err := lwstate.DecodeCommand(e.Data)
		if err != nil {
			// Every replica must take the same step; one that cannot read a
			// committed command must not guess.
			r.log.Fatal("committed command does not decode", zap.Uint64("index", uint64(e.Index)), zap.Error(err))
		}
		res = r.state.Apply(lwunit.Revision(e.Index), at, cmd)
		if r.observer != nil {
			r.observer(lwunit.Revision(e.Index), cmd)
		}
		appliedTotal.Add(1)
	} else {
		r.state.SkipTo(lwunit.Revision(e.Index))
	}
	w := r.atIndex[e.Index]
	if w == nil {
		return
	}
	delete(r.atIndex, e.Index)
	if w.term != e.Term {
		w.finish(lwfault.New(lwfault.Unavailable, "leadership changed; the command was replaced"))
		return
	}
	w.res, w.rev = res, lwunit.Revision(e.Index)
	commitLatency.Observe(time.Since(w.start))
	w.finish(nil)
}

// writtenSnapshot is a snapshot that became durable in the background.
type writtenSnapshot struct {
	snapshot lwreplica.Snapshot
	segment  uint64 // first that counts beside it
	err      error
}

// takeSnapshot copies the state and encodes and writes the copy in the
// background: at the planned size that takes as long as an election timeout,
// in which a leader must not be silent.
func (r *replica) takeSnapshot() {
	segment, err := r.wal.BeginSnapshot(r.core.EntriesAfter(r.applied))
	if lwwal.IsNoSpace(err) {
		r.postponeSnapshot(err)
		return
	}
	if err != nil {
		r.log.Fatal("snapshot not begun", zap.Error(err))
	}
	r.mu.RLock()
	state := r.state.Clone()
	r.mu.RUnlock()
	term, _ := r.core.TermAt(r.applied)
	s := lwreplica.Snapshot{Index: r.applied, Term: term, Membership: r.core.MembershipAt(r.applied)}
	r.lastSnap, r.sinceSnap = r.applied, 0
	r.snapshotting = true
	go func() {
		var err error
		if s.Data, err = state.Snapshot(); err == nil {
			err = r.wal.WriteSnapshot(s, segment)
		}
		r.written <- writtenSnapshot{s, segment, err}
	}()
}

// postponeSnapshot keeps the log uncompacted until the disk has space again.
func (r *replica) postponeSnapshot(err error) {
	r.snapAfter = r.now() + snapshotRetry
	r.log.Warn("snapshot postponed", zap.Duration("for", snapshotRetry), zap.Error(err))
}

// finishSnapshot compacts the log by a snapshot that is durable.
func (r *replica) finishSnapshot(w writtenSnapshot) {
	r.snapshotting = false
	if lwwal.IsNoSpace(w.err) {
		r.sinceSnap = max(r.sinceSnap, snapshotBytes) // due again
		r.postponeSnapshot(w.err)
		return
	}
	if w.err != nil {
		r.log.Fatal("snapshot not written", zap.Error(w.err))
	}
	if err := r.wal.EndSnapshot(w.segment); err != nil {
		r.log.Fatal("old log segments not removed", zap.Error(err))
	}
	r.core.Step(r.now(), lwreplica.Compact{Snapshot: w.snapshot})
	snapshots.Add(1)
}
