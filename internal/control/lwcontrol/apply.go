package lwcontrol

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

// maxLoggedCommandBytes limits the part of a command that is logged when it cannot be
// applied.
const maxLoggedCommandBytes = 512

// apply applies the snapshot and the committed entries of an output to the
// state and finishes their waiters.
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
	close(r.stateChanged)
	r.stateChanged = make(chan struct{})
}

func (r *replica) restore(s lwreplica.Snapshot) {
	state, err := lwstate.Restore(s.Data)
	if err != nil {
		r.log.Fatal("cannot decode snapshot from the leader", zap.Error(err))
	}
	state.SetRevision(lwunit.Revision(s.Index))
	r.state = state
	r.applied, r.lastSnapshot, r.bytesSinceSnapshot = s.Index, s.Index, 0
	r.log.Info("state replaced by a snapshot from the leader", zap.Uint64("index", uint64(s.Index)))
}

func (r *replica) applyEntry(e lwreplica.Entry) {
	if e.Index <= r.applied {
		return
	}
	r.applied = e.Index
	r.bytesSinceSnapshot += lwunit.Bytes(len(e.Data))
	var res lwstate.Result
	if e.Kind == lwreplica.EntryCommand {
		cmd, at, err := lwstate.DecodeCommand(e.Data)
		if err != nil {
			// Skipping a command that the other replicas apply would make the
			// states diverge.
			r.log.Fatal("cannot decode committed command", zap.Uint64("index", uint64(e.Index)), zap.Error(err))
		}
		res = r.applyCommand(e, at, cmd)
	} else {
		r.state.SetRevision(lwunit.Revision(e.Index))
	}
	w := r.waitersByIndex[e.Index]
	if w == nil {
		return
	}
	delete(r.waitersByIndex, e.Index)
	if w.term != e.Term {
		w.finish(lwfault.New(lwfault.Unavailable, "leadership changed; another entry replaced the command in the log"))
		return
	}
	w.res, w.rev = res, lwunit.Revision(e.Index)
	commitLatency.Observe(time.Since(w.start))
	w.finish(nil)
}

// applyCommand applies the command of an entry. If that panics, it logs the entry
// first: every replica ends at the same entry, again after each restart.
func (r *replica) applyCommand(e lwreplica.Entry, at lwunit.Millis, cmd lwstate.Command) lwstate.Result {
	applied := false
	defer func() {
		if applied {
			return
		}
		r.log.Error("cannot apply committed command", zap.Uint64("index", uint64(e.Index)), zap.Uint64("term", uint64(e.Term)),
			zap.Uint64("snapshot", uint64(r.lastSnapshot)), zap.String("kind", fmt.Sprintf("%T", cmd)),
			zap.ByteString("data", e.Data[:min(len(e.Data), maxLoggedCommandBytes)]))
		_ = r.log.Sync() // the process ends
	}()
	res := r.state.Apply(lwunit.Revision(e.Index), at, cmd)
	if r.onApply != nil {
		r.onApply(lwunit.Revision(e.Index), cmd)
	}
	commandsApplied.Add(1)
	applied = true
	return res
}

// snapshotResult is the result of writing a snapshot in the background.
type snapshotResult struct {
	snapshot     lwreplica.Snapshot
	firstSegment uint64 // first log segment that follows the snapshot
	err          error
}

// startSnapshot copies the state, then encodes and writes the copy in the
// background. At the planned state size, encoding and writing take as long as an
// election timeout, and a leader that sent nothing for so long would be replaced.
func (r *replica) startSnapshot() {
	segment, err := r.wal.BeginSnapshot(r.core.EntriesAfter(r.applied))
	if lwwal.IsNoSpace(err) {
		r.postponeSnapshot(err)
		return
	}
	if err != nil {
		r.log.Fatal("cannot begin snapshot", zap.Error(err))
	}
	r.mu.RLock()
	state := r.state.Clone()
	r.mu.RUnlock()
	term, _ := r.core.TermAt(r.applied)
	s := lwreplica.Snapshot{Index: r.applied, Term: term, Membership: r.core.MembershipAt(r.applied)}
	r.lastSnapshot, r.bytesSinceSnapshot = r.applied, 0
	r.snapshotting = true
	go func() {
		var err error
		if s.Data, err = state.Snapshot(); err == nil {
			err = r.wal.WriteSnapshot(s, segment)
		}
		r.snapshotDone <- snapshotResult{s, segment, err}
	}()
}

// postponeSnapshot schedules the next attempt after the disk had no space; the
// log stays uncompacted until then.
func (r *replica) postponeSnapshot(err error) {
	r.nextSnapshotAt = r.now() + snapshotRetryDelay
	r.log.Warn("snapshot postponed", zap.Duration("for", snapshotRetryDelay), zap.Error(err))
}

// finishSnapshot compacts the log once the snapshot is durable.
func (r *replica) finishSnapshot(res snapshotResult) {
	r.snapshotting = false
	if lwwal.IsNoSpace(res.err) {
		r.bytesSinceSnapshot = max(r.bytesSinceSnapshot, r.snapshotSize) // makes the next attempt due by size
		r.postponeSnapshot(res.err)
		return
	}
	if res.err != nil {
		r.log.Fatal("cannot write snapshot", zap.Error(res.err))
	}
	if err := r.wal.EndSnapshot(res.firstSegment); err != nil {
		r.log.Fatal("cannot remove old log segments", zap.Error(err))
	}
	r.core.Step(r.now(), lwreplica.Compact{Snapshot: res.snapshot})
	snapshotsTaken.Add(1)
	r.log.Info("snapshot written", zap.Uint64("index", uint64(res.snapshot.Index)), zap.Int("bytes", len(res.snapshot.Data)))
}
