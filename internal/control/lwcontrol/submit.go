package lwcontrol

import (
	"context"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// submit queues an event for the driver and waits for its outcome.
func (r *replica) submit(ctx context.Context, build func(id uint64) lwreplica.Event) (*waiter, error) {
	w := newWaiter()
	r.mu.Lock()
	r.nextID++
	id := r.nextID
	r.mu.Unlock()
	select {
	case r.events <- event{build(id), id, w}:
	default:
		return nil, &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the control replica's event queue is full", RetryAfter: time.Second}
	}
	select {
	case <-w.done:
		return w, w.err
	case <-ctx.Done():
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no quorum answered in time; the command may or may not be committed", Cause: ctx.Err()}
	}
}

// propose commits a command and returns the revision at which it was applied and
// its result.
func (r *replica) propose(ctx context.Context, c lwstate.Command) (lwunit.Revision, lwstate.Result, error) {
	return r.proposeIn(ctx, 0, c)
}

// proposeIn is propose for a command that follows from what this replica knows as the
// leader of a term. It is refused in another term, 0 being any, since another leader
// may have acted in between.
func (r *replica) proposeIn(ctx context.Context, term lwreplica.Term, c lwstate.Command) (lwunit.Revision, lwstate.Result, error) {
	if r.diskLow.Load() {
		return 0, lwstate.Result{}, &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "the control replica's disk is nearly full", RetryAfter: time.Minute}
	}
	if r.diskFull.Load() {
		return 0, lwstate.Result{}, lwfault.New(lwfault.NotLeader, "the disk of this replica is full; another replica will be elected")
	}
	data, err := lwstate.EncodeCommand(c, lwunit.Millis(time.Now().UnixMilli()))
	if err != nil {
		return 0, lwstate.Result{}, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "the command cannot be recorded", Cause: err}
	}
	if len(data) > maxCommandBytes {
		return 0, lwstate.Result{}, lwfault.New(lwfault.TooLarge, "the command has %d bytes; the limit is %d", len(data), maxCommandBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	w, err := r.submit(ctx, func(id uint64) lwreplica.Event { return lwreplica.Propose{ID: id, Data: data, Term: term} })
	if err != nil {
		return 0, lwstate.Result{}, err
	}
	return w.rev, w.res, nil
}

// confirm returns the commit index, as confirmed by a quorum.
func (r *replica) confirm(ctx context.Context) (lwreplica.Index, error) {
	w, err := r.submit(ctx, func(id uint64) lwreplica.Event { return lwreplica.ReadIndex{ID: id} })
	if err != nil {
		return 0, err
	}
	return w.index, nil
}

// waitApplied waits until the state includes index i.
func (r *replica) waitApplied(ctx context.Context, i lwreplica.Index) error {
	for {
		r.mu.RLock()
		applied, changed := r.applied, r.stateChanged
		r.mu.RUnlock()
		if applied >= i {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "this replica has not applied the confirmed index in time", Cause: ctx.Err()}
		}
	}
}

func (r *replica) currentView() view {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view
}

// read runs f on the state under the read lock.
func (r *replica) read(f func(*lwstate.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}
