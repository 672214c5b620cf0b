// Package lwcontrol runs one control replica: it drives the pure cores for
// replication and placement, keeps their output on disk and on the wire, and
// serves entries, agents and operators.
package lwcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	tickInterval      = 50 * time.Millisecond
	eventQueueLength  = 8192
	maxEventBatch     = 2048
	snapshotEvery     = 20000           // applied entries
	snapshotBytes     = 4 << 20         // of applied entries: what a new replica is sent beside the state
	snapshotRetry     = 5 * time.Second // after a full disk kept one from being written
	commandTimeout    = 5 * time.Second
	diskCheckInterval = time.Second
	fullDiskPause     = 250 * time.Millisecond // between attempts to write to a full disk
	leastFree         = 8 * lwunit.MiB         // below it nothing new is accepted
)

var (
	commitLatency = lwmetric.NewHistogram("control_commit_latency")
	syncLatency   = lwmetric.NewHistogram("control_disk_sync_latency")
	appliedTotal  = lwmetric.Counter("control_commands_applied_total")
	elections     = lwmetric.Counter("control_leaderships_won_total")
	snapshots     = lwmetric.Counter("control_snapshots_total")
)

// waiter is told what became of one proposal or read.
type waiter struct {
	done  chan struct{}
	index lwreplica.Index
	term  lwreplica.Term
	res   lwstate.Result
	rev   lwunit.Revision
	err   error
	start time.Time
}

func newWaiter() *waiter { return &waiter{done: make(chan struct{}), start: time.Now()} }

func (w *waiter) finish(err error) {
	w.err = err
	close(w.done)
}

// event is an event for the core and the waiter it belongs to, if any.
type event struct {
	body   lwreplica.Event
	id     uint64
	waiter *waiter
}

// replica drives one lwreplica.Core.
type replica struct {
	log      *zap.Logger
	wal      *lwwal.Log
	endpoint *lwrpc.Endpoint
	id       lwunit.ReplicaID
	events   chan event
	clock    lwclock.Clock
	observer func(lwunit.Revision, lwstate.Command) // told of each command that is applied
	free     func() (lwunit.Bytes, error)           // space left on the disk
	full     atomic.Bool                            // too little to accept more
	stuck    atomic.Bool                            // the disk took no bytes; nothing goes on until it does

	// Used by the driver goroutine only.
	core      *lwreplica.Core
	waiters   map[uint64]*waiter          // proposed, not yet in the log
	atIndex   map[lwreplica.Index]*waiter // in the log, not yet applied
	senders   map[lwunit.ReplicaID]*sender
	applied   lwreplica.Index
	lastSnap  lwreplica.Index
	sinceSnap int // bytes of entries applied since
	wasLeader bool

	snapshotting bool                 // one is being written in the background
	snapAfter    time.Duration        // when the next may be begun
	written      chan writtenSnapshot // it was

	mu      sync.RWMutex // guards what follows; the driver writes it
	state   *lwstate.State
	view    view
	changed chan struct{} // closed and replaced when state changes
	nextID  uint64
}

// view is what the rest of the process may know of the core.
type view struct {
	role       lwreplica.Role
	term       lwreplica.Term
	leader     lwunit.ReplicaID
	leaderAddr string
	leads      bool          // HoldsLease at the last step
	leaseUntil time.Duration // on the replica's clock
	applied    lwreplica.Index
	commit     lwreplica.Index
	last       lwreplica.Index
	membership lwreplica.Membership
	matches    []matchOf
}

type matchOf struct {
	member lwreplica.Member
	match  lwreplica.Index
	since  time.Duration
}

func newReplica(log *zap.Logger, wal *lwwal.Log, c lwwal.Contents, e *lwrpc.Endpoint, free func() (lwunit.Bytes, error), cfg lwreplica.Config) (*replica, error) {
	state, err := lwstate.Restore(c.Restored.Snapshot.Data)
	if err != nil {
		return nil, fmt.Errorf("restore state: %w", err)
	}
	state.SkipTo(lwunit.Revision(c.Restored.Snapshot.Index))
	r := &replica{
		log: log, wal: wal, endpoint: e, id: c.Identity.Replica, events: make(chan event, eventQueueLength), clock: lwclock.New(), free: free,
		waiters: make(map[uint64]*waiter), atIndex: make(map[lwreplica.Index]*waiter), senders: make(map[lwunit.ReplicaID]*sender),
		applied: c.Restored.Snapshot.Index, lastSnap: c.Restored.Snapshot.Index, state: state, changed: make(chan struct{}),
		written: make(chan writtenSnapshot, 1),
	}
	r.core = lwreplica.New(cfg, c.Restored, 0)
	r.publish()
	return r, nil
}

func (r *replica) now() time.Duration { return r.clock.Now() }

// run drives the core until ctx ends or the disk fails.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	checked := time.Time{}
	for {
		if time.Since(checked) > diskCheckInterval {
			checked = time.Now()
			r.checkDisk()
		}
		var batch []event
		select {
		case <-ctx.Done():
			r.abandon(ctx.Err())
			if r.snapshotting {
				<-r.written // it writes to the data folder, which is given up next
			}
			return nil
		case <-ticker.C:
			batch = append(batch, event{body: lwreplica.Tick{}})
		case w := <-r.written:
			r.finishSnapshot(w)
			continue
		case e := <-r.events:
			batch = append(batch, e)
		}
		batch = append(r.gather(batch), event{body: lwreplica.Flush{}})
		if err := r.step(ctx, batch); ctx.Err() == nil && err != nil {
			r.abandon(err)
			return fmt.Errorf("control replica: %w", err)
		}
	}
}

// checkDisk stops accepting commands while there is still room to keep what
// was accepted, and resumes when there is more again.
func (r *replica) checkDisk() {
	free, err := r.free()
	full := err == nil && free < leastFree
	if full == r.full.Load() {
		return
	}
	r.full.Store(full)
	r.log.Warn("disk space", zap.Bool("accepting", !full), zap.Stringer("free", free))
}

func (r *replica) gather(batch []event) []event {
	for len(batch) < maxEventBatch {
		select {
		case e := <-r.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// step feeds a batch to the core and does what it asks: one disk sync serves
// every event of the batch.
func (r *replica) step(ctx context.Context, batch []event) error {
	var out lwreplica.Output
	for _, e := range batch {
		if e.waiter != nil {
			r.waiters[e.id] = e.waiter
		}
		out.Merge(r.core.Step(r.now(), e.body))
	}
	for rounds := 0; ; rounds++ {
		more, err := r.perform(ctx, out)
		if err != nil {
			return err
		}
		if !more {
			break
		}
		last := r.core.LastIndex()
		term, _ := r.core.TermAt(last)
		out = r.core.Step(r.now(), lwreplica.Persisted{Index: last, Term: term})
	}
	r.publish()
	return nil
}

// perform carries out one output; more is set when entries became durable.
func (r *replica) perform(ctx context.Context, out lwreplica.Output) (more bool, err error) {
	r.sendAll(ctx, out.Messages)
	if err := r.persistWhenPossible(ctx, out); err != nil {
		return false, err
	}
	r.sendAll(ctx, out.AfterSync)
	for _, a := range out.Appended {
		if w := r.waiters[a.ID]; w != nil {
			delete(r.waiters, a.ID)
			w.index, w.term = a.Index, a.Term
			r.replaceWaiter(a.Index, w)
		}
	}
	r.apply(out)
	for _, c := range out.Confirmed {
		if w := r.waiters[c.ID]; w != nil {
			delete(r.waiters, c.ID)
			w.index = c.Index
			w.finish(nil)
		}
	}
	for _, f := range out.Refused {
		if w := r.waiters[f.ID]; w != nil {
			delete(r.waiters, f.ID)
			w.finish(r.redirect(f.Err))
		}
	}
	return len(out.Entries) > 0, nil
}

func (r *replica) replaceWaiter(i lwreplica.Index, w *waiter) {
	if old := r.atIndex[i]; old != nil {
		old.finish(lwfault.New(lwfault.Unavailable, "leadership changed; the command may not have been accepted"))
	}
	r.atIndex[i] = w
}

// persistWhenPossible waits for space while the disk is full. Meanwhile the
// replica is silent, so that one with space is elected in its place.
func (r *replica) persistWhenPossible(ctx context.Context, out lwreplica.Output) error {
	for {
		err := r.persist(out)
		if !lwwal.IsNoSpace(err) {
			r.noteStuck(false, nil)
			return err
		}
		r.noteStuck(true, err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fullDiskPause):
		}
	}
}

func (r *replica) noteStuck(stuck bool, cause error) {
	if r.stuck.Swap(stuck) != stuck {
		r.log.Warn("disk takes bytes", zap.Bool("ok", !stuck), zap.Error(cause))
	}
}

func (r *replica) persist(out lwreplica.Output) error {
	began := time.Now()
	if out.Snapshot != nil {
		if r.snapshotting {
			r.finishSnapshot(<-r.written) // two must not be written at a time
		}
		if err := r.wal.SaveSnapshot(*out.Snapshot, out.Entries); err != nil {
			return err
		}
		if out.HardState != nil {
			return r.wal.Save(out.HardState, nil)
		}
		return nil
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	if err := r.wal.Save(out.HardState, out.Entries); err != nil {
		return err
	}
	syncLatency.Observe(time.Since(began))
	return nil
}

func (r *replica) sendAll(ctx context.Context, list []lwreplica.Envelope) {
	for _, e := range list {
		if s := r.senderFor(ctx, e.To); s != nil {
			s.send(e)
		}
	}
}

func (r *replica) senderFor(ctx context.Context, id lwunit.ReplicaID) *sender {
	if s := r.senders[id]; s != nil {
		return s
	}
	for _, m := range r.core.Membership().Members() {
		if m.ID == id {
			s := newSender(ctx, r.endpoint.Peer(m.Address))
			r.senders[id] = s
			return s
		}
	}
	return nil
}

// publish lets the rest of the process see the core, and takes a snapshot
// when enough was applied.
func (r *replica) publish() {
	v := view{
		role: r.core.Role(), term: r.core.Term(), leader: r.core.LeaderID(), leads: r.core.HoldsLease(r.now()),
		leaseUntil: r.core.LeaseEnd(),
		applied:    r.applied, commit: r.core.CommitIndex(), last: r.core.LastIndex(), membership: r.core.Membership(),
	}
	for _, m := range v.membership.Members() {
		if m.ID == v.leader {
			v.leaderAddr = m.Address
		}
		if v.role == lwreplica.Leader {
			match, since, _ := r.core.Match(m.ID)
			v.matches = append(v.matches, matchOf{m, match, since})
		}
	}
	r.mu.Lock()
	r.view = v
	r.mu.Unlock()
	r.noteRole(v)
	if (r.applied-r.lastSnap >= snapshotEvery || r.sinceSnap >= snapshotBytes) && !r.snapshotting && r.now() >= r.snapAfter {
		r.takeSnapshot()
	}
}

func (r *replica) noteRole(v view) {
	leads := v.role == lwreplica.Leader
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	if leads {
		elections.Add(1)
		r.log.Info("leadership won", zap.Uint64("term", uint64(v.term)))
		return
	}
	r.log.Info("leadership lost", zap.Uint64("term", uint64(v.term)))
	for i, w := range r.atIndex {
		delete(r.atIndex, i)
		w.finish(lwfault.New(lwfault.Unavailable, "leadership was lost; the command may or may not be accepted"))
	}
}

func (r *replica) abandon(err error) {
	fault := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this control replica stops", Cause: err}
	for _, w := range r.waiters {
		w.finish(fault)
	}
	for _, w := range r.atIndex {
		w.finish(fault)
	}
	r.waiters, r.atIndex = make(map[uint64]*waiter), make(map[lwreplica.Index]*waiter)
}

// redirect adds the leader's address to a refusal.
func (r *replica) redirect(err error) error {
	f, ok := errors.AsType[*lwfault.Fault](err)
	if !ok || f.Kind != lwfault.NotLeader {
		return err
	}
	for _, m := range r.core.Membership().Members() {
		if m.ID == r.core.LeaderID() && m.ID != r.id {
			f.Leader = m.Address
		}
	}
	return f
}
