package lwcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

// A job that is committed just before the leader's lease lapses is known to its
// dispatcher once the lease is renewed in the same term.
func TestDispatcherMissesNothingWhileItsLeaseLapses(t *testing.T) {
	is := is.New(t)
	wal, contents, err := lwwal.Open(lwdisk.NewMemory(), lwwal.Identity{Replica: "r"})
	is.NoErr(err)
	contents.Restored.Snapshot.Membership = lwreplica.Membership{Voters: []lwreplica.Member{{ID: "r"}}}
	r, err := newReplica(zap.NewNop(), wal, contents, nil, func() (lwunit.Bytes, error) { return leastFree, nil }, lwreplica.DefaultConfig("r", 1))
	is.NoErr(err)
	n := &Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}}
	d := newDispatcher(n)
	r.observer = d.applied
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	eventually(t, "the dispatcher begins", func() bool {
		if d.enter(r) != nil {
			return false
		}
		d.mu.Unlock()
		return true
	})
	queue := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}}
	_, _, err = r.propose(ctx, lwstate.AcceptJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: "j", Queue: queue.Key, Steps: []lwjob.Step{{Count: 1}}}, Queue: queue, Term: 1}})
	is.NoErr(err)
	cancel()
	is.NoErr(<-ended)
	lease := r.view.leaseUntil
	r.view.leaseUntil = 0
	is.True(d.enter(r) != nil)
	d.discard(r)
	r.view.leaseUntil = lease + r.now()
	is.NoErr(d.enter(r))
	defer d.mu.Unlock()
	is.Equal(d.core.Pending(queue.Key), 1)
}

// A term that begins while a replica drops what it need not remember misses
// nothing that is committed afterwards.
func TestTermThatBeginsWhileChangesAreDropped(t *testing.T) {
	is := is.New(t)
	r := &replica{state: lwstate.New(), view: view{role: lwreplica.Leader, term: 2}}
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	d.queue.mu.Lock()
	dropped, began := make(chan struct{}), make(chan struct{})
	go func() {
		d.discard(r)
		close(dropped)
	}()
	time.Sleep(20 * time.Millisecond) // until it waits for the list
	go func() {
		d.mu.Lock()
		d.begin(r, 2)
		d.mu.Unlock()
		close(began)
	}()
	accepted := change{1, lwstate.AcceptJob{}}
	select {
	case <-began:
		d.queue.list = append(d.queue.list, accepted)
		d.queue.mu.Unlock()
	case <-time.After(20 * time.Millisecond):
		d.queue.mu.Unlock()
		<-began
		d.applied(accepted.revision, accepted.command)
	}
	<-dropped
	is.Equal(len(d.queue.list), 1)
}

// Of the changes to one worker life the last counts, whatever became of the
// proposals before: a life that runs tasks must stay on the roster.
func TestLastRosterChangeCounts(t *testing.T) {
	is := is.New(t)
	a := lwjob.RosterEntry{Life: lwjob.WorkerLife{Worker: "a", Born: 1}}
	c := mergeRoster(lwstate.ChangeRoster{}, []lwjob.RosterEntry{a}, nil)
	c = mergeRoster(c, nil, []lwjob.WorkerLife{a.Life})
	is.Equal(len(c.Enrol), 0)
	is.Equal(len(c.Dismiss), 1)
	c = mergeRoster(c, []lwjob.RosterEntry{a}, nil)
	is.Equal(len(c.Enrol), 1)
	is.Equal(len(c.Dismiss), 0)
}
