// Package lwcontrol runs one control replica. It drives the cores for
// replication, placement and dispatch, which do no I/O themselves, writes their
// output to disk and to the network, and serves entries, agents and operators.
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
	tickInterval          = 50 * time.Millisecond
	eventQueueLength      = 8192
	maxEventBatch         = 2048
	snapshotEntries       = 20000           // entries applied since the last snapshot, from which the next one is due
	defaultSnapshotSize   = 4 * lwunit.MiB  // size of such entries from which the next snapshot is due; bounds the log that a new replica is sent after the snapshot
	snapshotRetryDelay    = 5 * time.Second // after a full disk prevented one
	commandTimeout        = 5 * time.Second
	diskCheckInterval     = time.Second
	fullDiskRetryInterval = 250 * time.Millisecond // between attempts to write
	maxCommandBytes       = 4 << 20                // of an encoded command; a message with one must fit in a frame
	minFreeDisk           = 8 * lwunit.MiB         // free space below which commands are refused
)

var (
	commitLatency   = lwmetric.NewHistogram("control_commit_latency")
	diskSyncLatency = lwmetric.NewHistogram("control_disk_sync_latency")
	commandsApplied = lwmetric.Counter("control_commands_applied_total")
	leadershipsWon  = lwmetric.Counter("control_leaderships_won_total")
	snapshotsTaken  = lwmetric.Counter("control_snapshots_total")
)

// waiter receives the outcome of one proposal, membership change or read.
type waiter struct {
	done  chan struct{}
	index lwreplica.Index // of the appended entry, or confirmed for the read
	term  lwreplica.Term  // of the appended entry
	res   lwstate.Result  // of the command
	rev   lwunit.Revision // at which the command was applied
	err   error
	start time.Time
}

func newWaiter() *waiter { return &waiter{done: make(chan struct{}), start: time.Now()} }

func (w *waiter) finish(err error) {
	w.err = err
	close(w.done)
}

// event is an event for the core, with the waiter for its outcome if any.
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
	// snapshotSize is the size of applied entries from which the next snapshot is due.
	snapshotSize lwunit.Bytes
	onApply      func(lwunit.Revision, lwstate.Command) // called for each command applied
	freeSpace    func() (lwunit.Bytes, error)           // on the disk of the data folder
	diskLow      atomic.Bool                            // commands are refused, since free space is below minFreeDisk
	diskFull     atomic.Bool                            // the last write found no space; the driver waits until one succeeds

	// Written by the driver goroutine only. Other goroutines read applied under mu;
	// the rest belongs to the driver.
	core               *lwreplica.Core
	waiters            map[uint64]*waiter          // by event id: proposals and membership changes not yet in the log, and reads not yet confirmed
	waitersByIndex     map[lwreplica.Index]*waiter // proposals and membership changes in the log, not yet applied
	senders            map[lwunit.ReplicaID]*sender
	applied            lwreplica.Index
	lastSnapshot       lwreplica.Index
	bytesSinceSnapshot lwunit.Bytes // of entries applied since the last snapshot
	wasLeader          bool

	snapshotting   bool                // a snapshot is being written in the background
	nextSnapshotAt time.Duration       // earliest time of the next attempt
	snapshotDone   chan snapshotResult // receives the result of the background write

	mu           sync.RWMutex // guards the fields below
	state        *lwstate.State
	view         view
	stateChanged chan struct{} // closed and replaced after each change of state
	nextID       uint64
}

// view is a copy of the core's status for the other goroutines, made after each
// step.
type view struct {
	role          lwreplica.Role
	term          lwreplica.Term
	leader        lwunit.ReplicaID
	leaderAddress string
	holdsLease    bool          // HoldsLease at the last step
	leaseEnd      time.Duration // on the replica's clock
	applied       lwreplica.Index
	commit        lwreplica.Index
	last          lwreplica.Index
	membership    lwreplica.Membership
	progress      []memberProgress // of each member; empty unless this replica leads
}

// memberProgress is the replication progress of one member, as the leader knows it.
type memberProgress struct {
	member      lwreplica.Member
	match       lwreplica.Index // up to which its log is known to match the leader's
	sinceAnswer time.Duration   // counted from when the last answered message was sent, or from the start of the leadership
}

func newReplica(log *zap.Logger, wal *lwwal.Log, c lwwal.Contents, e *lwrpc.Endpoint, free func() (lwunit.Bytes, error), cfg lwreplica.Config) (*replica, error) {
	state, err := lwstate.Restore(c.State.Snapshot.Data)
	if err != nil {
		return nil, fmt.Errorf("restore state: %w", err)
	}
	state.SetRevision(lwunit.Revision(c.State.Snapshot.Index))
	r := &replica{
		log: log, wal: wal, endpoint: e, id: c.Identity.Replica, events: make(chan event, eventQueueLength), clock: lwclock.New(), freeSpace: free,
		waiters: make(map[uint64]*waiter), waitersByIndex: make(map[lwreplica.Index]*waiter), senders: make(map[lwunit.ReplicaID]*sender),
		applied: c.State.Snapshot.Index, lastSnapshot: c.State.Snapshot.Index, state: state, stateChanged: make(chan struct{}),
		snapshotDone: make(chan snapshotResult, 1), snapshotSize: defaultSnapshotSize,
	}
	r.core = lwreplica.New(cfg, c.State, 0)
	log.Info("state restored", zap.Uint64("snapshot", uint64(r.lastSnapshot)), zap.Uint64("last", uint64(r.core.LastIndex())),
		zap.Uint64("term", uint64(r.core.Term())), zap.Int("jobs", state.Queues().Len()))
	r.publish()
	return r, nil
}

func (r *replica) now() time.Duration { return r.clock.Now() }

// run drives the core until ctx ends or a write to disk fails for another reason
// than a lack of space.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	diskCheckedAt := time.Time{}
	for {
		if time.Since(diskCheckedAt) > diskCheckInterval {
			diskCheckedAt = time.Now()
			r.checkDisk()
		}
		var batch []event
		select {
		case <-ctx.Done():
			r.end(ctx.Err())
			return nil
		case <-ticker.C:
			batch = append(batch, event{body: lwreplica.Tick{}})
		case res := <-r.snapshotDone:
			r.finishSnapshot(res)
			continue
		case e := <-r.events:
			batch = append(batch, e)
		}
		batch = append(r.gather(batch), event{body: lwreplica.Flush{}})
		if err := r.step(ctx, batch); ctx.Err() == nil && err != nil {
			r.end(err)
			return fmt.Errorf("control replica: %w", err)
		}
	}
}

// end fails the waiters and waits for a snapshot that is being written to the data
// folder, which the owner closes next.
func (r *replica) end(cause error) {
	r.failWaiters(cause)
	if r.snapshotting {
		<-r.snapshotDone
	}
}

// checkDisk makes the replica refuse commands while free space is below minFreeDisk,
// which is left for commands accepted earlier, and accept them again afterwards.
func (r *replica) checkDisk() {
	free, err := r.freeSpace()
	low := err == nil && free < minFreeDisk
	if low == r.diskLow.Load() {
		return
	}
	r.diskLow.Store(low)
	r.log.Warn("free disk space crossed the limit", zap.Bool("accepting", !low), zap.Stringer("free", free))
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

// step passes a batch of events to the core and performs the merged output, so
// that one disk sync serves the whole batch.
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

// perform carries out one output, in the order that lwreplica.Output asks for.
// More is set if entries became durable; the core then needs a Persisted event.
func (r *replica) perform(ctx context.Context, out lwreplica.Output) (more bool, err error) {
	r.withdrawLease()
	r.sendAll(ctx, out.Messages)
	if err := r.persistWithRetry(ctx, out); err != nil {
		return false, err
	}
	r.sendAll(ctx, out.MessagesAfterSync)
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
			w.finish(r.addLeaderAddress(f.Err))
		}
	}
	return len(out.Entries) > 0, nil
}

// replaceWaiter registers the waiter of the entry appended at index i. An earlier
// waiter there belongs to an entry that a new leader has overwritten.
func (r *replica) replaceWaiter(i lwreplica.Index, w *waiter) {
	if old := r.waitersByIndex[i]; old != nil {
		old.finish(lwfault.New(lwfault.Unavailable, "leadership changed; the command may or may not be committed"))
	}
	r.waitersByIndex[i] = w
}

// persistWithRetry makes an output durable, and retries while the disk is full.
// Meanwhile the replica sends nothing, so that a replica with free space is elected
// in its place.
func (r *replica) persistWithRetry(ctx context.Context, out lwreplica.Output) error {
	for {
		err := r.persist(out)
		if !lwwal.IsNoSpace(err) {
			r.setDiskFull(false, nil)
			return err
		}
		r.setDiskFull(true, err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

func (r *replica) setDiskFull(full bool, cause error) {
	if r.diskFull.Swap(full) != full {
		r.log.Warn("disk takes bytes", zap.Bool("ok", !full), zap.Error(cause))
	}
}

func (r *replica) persist(out lwreplica.Output) error {
	start := time.Now()
	if out.Snapshot != nil {
		if r.snapshotting {
			r.finishSnapshot(<-r.snapshotDone) // two snapshots must not be written at the same time
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
	diskSyncLatency.Observe(time.Since(start))
	return nil
}

func (r *replica) sendAll(ctx context.Context, list []lwreplica.Envelope) {
	for _, e := range list {
		if s := r.senderFor(ctx, e.To); s != nil {
			s.enqueue(e)
		}
	}
}

func (r *replica) senderFor(ctx context.Context, id lwunit.ReplicaID) *sender {
	if s := r.senders[id]; s != nil {
		return s
	}
	for _, m := range r.core.Membership().Members() {
		if m.ID == id {
			s := newSender(ctx, r.endpoint.Peer(m.Address), func() {
				select {
				case r.events <- event{body: lwreplica.Disconnected{ID: id}}:
				default: // the election deadline remains
				}
			})
			r.senders[id] = s
			return s
		}
	}
	return nil
}

// publish updates the view, and starts a snapshot when snapshotEntries or
// snapshotSize have been applied since the last one.
func (r *replica) publish() {
	v := view{
		role: r.core.Role(), term: r.core.Term(), leader: r.core.LeaderID(), holdsLease: r.core.HoldsLease(r.now()),
		leaseEnd: r.core.LeaseEnd(),
		applied:  r.applied, commit: r.core.CommitIndex(), last: r.core.LastIndex(), membership: r.core.Membership(),
	}
	for _, m := range v.membership.Members() {
		if m.ID == v.leader {
			v.leaderAddress = m.Address
		}
		if v.role == lwreplica.Leader {
			match, since, _ := r.core.ReplicationProgress(m.ID)
			v.progress = append(v.progress, memberProgress{m, match, since})
		}
	}
	r.mu.Lock()
	r.view = v
	r.mu.Unlock()
	r.trackRole(v)
	if (r.applied-r.lastSnapshot >= snapshotEntries || r.bytesSinceSnapshot >= r.snapshotSize) && !r.snapshotting && r.now() >= r.nextSnapshotAt {
		r.startSnapshot()
	}
}

// withdrawLease removes the leader lease from the view if the core has given it up.
// This must happen before the messages are sent: with one of them, another replica
// may be elected at once.
func (r *replica) withdrawLease() {
	if r.core.LeaseEnd() > 0 {
		return
	}
	r.mu.Lock()
	r.view.holdsLease, r.view.leaseEnd = false, 0
	r.mu.Unlock()
}

// trackRole logs a change of leadership, and fails the waiters of appended entries
// when leadership is lost.
func (r *replica) trackRole(v view) {
	leads := v.role == lwreplica.Leader
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	if leads {
		leadershipsWon.Add(1)
		r.log.Info("leadership won", zap.Uint64("term", uint64(v.term)))
		return
	}
	r.log.Info("leadership lost", zap.Uint64("term", uint64(v.term)))
	for i, w := range r.waitersByIndex {
		delete(r.waitersByIndex, i)
		w.finish(lwfault.New(lwfault.Unavailable, "leadership was lost; the command may or may not be committed"))
	}
}

func (r *replica) failWaiters(err error) {
	fault := &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this control replica is stopping", Cause: err}
	for _, w := range r.waiters {
		w.finish(fault)
	}
	for _, w := range r.waitersByIndex {
		w.finish(fault)
	}
	r.waiters, r.waitersByIndex = make(map[uint64]*waiter), make(map[lwreplica.Index]*waiter)
}

// addLeaderAddress adds the leader's address to a NotLeader fault, unless this
// replica is the leader.
func (r *replica) addLeaderAddress(err error) error {
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
