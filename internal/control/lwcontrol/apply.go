package lwcontrol

import (
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
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
	r.applied, r.lastSnap = s.Index, s.Index
	r.log.Info("state replaced by a snapshot", zap.Uint64("index", uint64(s.Index)))
}

func (r *replica) applyEntry(e lwreplica.Entry) {
	if e.Index <= r.applied {
		return
	}
	r.applied = e.Index
	var res lwstate.Result
	if e.Kind == lwreplica.EntryCommand {
		cmd, at, err := lwstate.DecodeCommand(e.Data)
		if err != nil {
			// Every replica must take the same step; one that cannot read a
			// committed command must not guess.
			r.log.Fatal("committed command does not decode", zap.Uint64("index", uint64(e.Index)), zap.Error(err))
		}
		res = r.state.Apply(lwunit.Revision(e.Index), at, cmd)
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

func (r *replica) takeSnapshot() {
	r.mu.RLock()
	data, err := r.state.Snapshot()
	r.mu.RUnlock()
	if err != nil {
		r.log.Error("snapshot failed", zap.Error(err))
		return
	}
	term, _ := r.core.TermAt(r.applied)
	s := lwreplica.Snapshot{Index: r.applied, Term: term, Membership: r.core.MembershipAt(r.applied), Data: data}
	if err := r.wal.SaveSnapshot(s, r.core.EntriesAfter(r.applied)); err != nil {
		r.log.Fatal("snapshot not saved", zap.Error(err))
	}
	r.core.Step(r.now(), lwreplica.Compact{Snapshot: s})
	r.lastSnap = r.applied
	snapshots.Add(1)
}
