package lwcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// A job is committed just before the leader's lease expires. The dispatcher must
// know it once the lease is renewed in the same term.
func TestDispatcherKeepsChangesWhileLeaseIsExpired(t *testing.T) {
	is := is.New(t)
	r := newSoleVoter(t, lwdisk.NewMemory())
	n := &Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}}
	d := newDispatcher(n)
	r.onApply = d.onApplied
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	eventually(t, "the dispatcher has begun a term", func() bool {
		if d.lockAsLeader(r) != nil {
			return false
		}
		d.mu.Unlock()
		return true
	})
	queue := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}}
	_, _, err := r.propose(ctx, lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: "j", Queue: queue.Key, Steps: []lwjob.Step{{Count: 1}}}, Queue: queue, Term: 1}})
	is.NoErr(err)
	cancel()
	is.NoErr(<-ended)
	lease := r.view.leaseEnd
	r.view.leaseEnd = 0
	is.True(d.lockAsLeader(r) != nil)
	d.discardChanges(r)
	r.view.leaseEnd = lease + r.now()
	is.NoErr(d.lockAsLeader(r))
	defer d.mu.Unlock()
	is.Equal(d.core.PendingJobs(queue.Key), 1)
}

// A term begins while discardChanges runs. A change that is committed after the
// new core was made must not be dropped with the old ones.
func TestTermBeginsWhileChangesAreDiscarded(t *testing.T) {
	is := is.New(t)
	r := &replica{state: lwstate.New(), view: view{role: lwreplica.Leader, term: 2}}
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	d.changes.mu.Lock()
	discarded, began := make(chan struct{}), make(chan struct{})
	go func() {
		d.discardChanges(r)
		close(discarded)
	}()
	time.Sleep(20 * time.Millisecond) // until discardChanges waits for the lock of the list
	go func() {
		d.mu.Lock()
		d.beginTerm(r, 2)
		d.mu.Unlock()
		close(began)
	}()
	accepted := queueChange{1, lwstate.AcceptQueueJob{}}
	select {
	case <-began:
		d.changes.list = append(d.changes.list, accepted)
		d.changes.mu.Unlock()
	case <-time.After(20 * time.Millisecond):
		d.changes.mu.Unlock()
		<-began
		d.onApplied(accepted.revision, accepted.command)
	}
	<-discarded
	is.Equal(len(d.changes.list), 1)
}

// Of two opposite changes of a worker incarnation only the last is kept, whether or
// not earlier proposals were accepted: an incarnation that runs tasks must stay on
// the roster.
func TestLastRosterChangeIsKept(t *testing.T) {
	is := is.New(t)
	a := lwjob.RosterEntry{Incarnation: lwjob.WorkerIncarnation{Worker: "a", StartedAt: 1}}
	c := mergeRoster(lwstate.ChangeRoster{}, []lwjob.RosterEntry{a}, nil)
	c = mergeRoster(c, nil, []lwjob.WorkerIncarnation{a.Incarnation})
	is.Equal(len(c.Enrol), 0)
	is.Equal(len(c.Dismiss), 1)
	c = mergeRoster(c, []lwjob.RosterEntry{a}, nil)
	is.Equal(len(c.Enrol), 1)
	is.Equal(len(c.Dismiss), 0)
}

// learnInterference lets the core of a dispatcher learn the interference of a filling
// task with a serving one, both of which a worker lists as running.
func learnInterference(t *testing.T, d *dispatcher) {
	t.Helper()
	info := lwdispatch.WorkerInfo{
		Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 1}, Agent: "a", Service: "s",
		Capacity: lwunit.Resources{Millicores: 4000, Memory: lwunit.MiB},
	}
	m := lwdispatch.Report{
		Info: info, Complete: true, Token: d.core.Report(lwdispatch.Report{Info: info}).Token,
		Running: []lwdispatch.RunStatus{{Task: "fill.0.0.0", Run: 1, Progress: 50, Gauge: 3000}, {Task: "serve.0.0.0", Run: 1, Progress: 100, Gauge: 30}},
	}
	for i := range 10 {
		d.core.Advance(time.Duration(i+1)*time.Second, lwunit.Millis(i))
		m.Clock = lwunit.Millis(i + 1)
		d.core.Report(m)
		d.core.Tick()
		d.core.Schedule()
	}
}

// A proposal that records learned interference fails. It must be repeated, or the next
// leader would learn the interference again, and only until it has succeeded.
func TestFailedRecordOfInterferenceIsRepeated(t *testing.T) {
	is := is.New(t)
	state := lwstate.New()
	q := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, Service: "s"}
	state.Apply(1, 1, lwstate.Configure{Document: lwconfig.Document{Version: 1, Queues: []lwconfig.Queue{q}, Services: []lwconfig.Service{{Name: "s"}}}})
	for id, step := range map[lwunit.JobID]lwjob.Step{
		"fill":  {Count: 1, Image: "f", Filling: true, Need: lwunit.Resources{Millicores: 3000}},
		"serve": {Count: 1, Image: "s", LongRunning: true, TailTarget: lwunit.Duration(50 * time.Millisecond), Need: lwunit.Resources{Millicores: 1000}},
	} {
		state.Apply(2, 2, lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: id, Queue: q.Key, Steps: []lwjob.Step{step}}, Queue: q, Term: 1}})
	}
	r := &replica{state: state, clock: lwclock.New(), events: make(chan event, 1)}
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	d.beginTerm(r, 2)
	learnInterference(t, d)

	record := func() *event { // lets the dispatcher look for changes and returns the proposal, if there is one
		d.mu.Lock()
		d.interferenceRecordedAt = r.now() - interferenceRecordInterval
		d.recordInterference(t.Context(), r)
		d.mu.Unlock()
		select {
		case e := <-r.events:
			return &e
		case <-time.After(50 * time.Millisecond):
			return nil
		}
	}
	first := record()
	is.True(first != nil)
	first.waiter.finish(lwfault.New(lwfault.Unavailable, "no quorum"))
	var second *event
	eventually(t, "the proposal is repeated", func() bool { second = record(); return second != nil })
	is.True(record() == nil) // while the second is in flight
	second.waiter.finish(nil)
	time.Sleep(20 * time.Millisecond)
	is.True(record() == nil)
}

// A caller waits for the lock while this replica loses its leadership and wins it again. It
// must not replace the core of the newer term, which would hand out the same tokens and
// run numbers twice.
func TestLateCallerDoesNotReplaceCoreOfNewerTerm(t *testing.T) {
	is := is.New(t)
	leads := func(term lwreplica.Term) view {
		return view{role: lwreplica.Leader, term: term, holdsLease: true, leaseEnd: time.Hour}
	}
	r := &replica{state: lwstate.New(), view: leads(2), clock: lwclock.New()}
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	d.mu.Lock()
	d.beginTerm(r, 2)
	locked := make(chan error)
	go func() { locked <- d.lockAsLeader(r) }()
	time.Sleep(20 * time.Millisecond) // until it waits for the lock
	r.mu.Lock()
	r.view = leads(4)
	r.mu.Unlock()
	d.beginTerm(r, 4)
	core := d.core
	d.mu.Unlock()
	if err := <-locked; err == nil {
		d.mu.Unlock()
	}
	is.NoErr(d.lockAsLeader(r))
	defer d.mu.Unlock()
	is.Equal(d.term, lwreplica.Term(4))
	is.True(d.core == core)
}

// A replica that led is sent a snapshot while it follows, and leads again. The core of the
// new term must know the jobs of the snapshot, and take in no change that it includes.
func TestDispatcherAfterSnapshotFromLeader(t *testing.T) {
	is := is.New(t)
	queue := lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q/"}, MaxAttempts: 1}
	accept := func(id lwunit.JobID) lwstate.AcceptQueueJob {
		return lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: lwjob.Spec{ID: id, Queue: queue.Key, Steps: []lwjob.Step{{Count: 1}}}, Queue: queue, Term: 1}}
	}
	r := newTestReplica(t, lwdisk.NewMemory(), zap.NewNop())
	d := newDispatcher(&Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}})
	r.onApply = d.onApplied
	leads := func(term lwreplica.Term) {
		r.view = view{role: lwreplica.Leader, term: term, holdsLease: true, leaseEnd: time.Hour}
	}
	leader := lwstate.New()
	commit := func(cmd lwstate.Command) lwreplica.Entry {
		t.Helper()
		index := leader.Revision() + 1
		data, err := lwstate.EncodeCommand(cmd, 1)
		is.NoErr(err)
		leader.Apply(index, 1, cmd)
		return lwreplica.Entry{Index: lwreplica.Index(index), Term: 1, Data: data}
	}
	leads(1)
	is.NoErr(d.lockAsLeader(r))
	d.mu.Unlock()
	r.view = view{term: 2} // follows
	r.apply(lwreplica.Output{Committed: []lwreplica.Entry{commit(accept("lost")), commit(accept("kept"))}})
	commit(lwstate.CancelQueueJob{Job: "lost"})
	commit(accept("new"))
	data, err := leader.Snapshot()
	is.NoErr(err)
	r.apply(lwreplica.Output{Snapshot: &lwreplica.Snapshot{Index: lwreplica.Index(leader.Revision()), Data: data}})
	leads(3)
	r.apply(lwreplica.Output{Committed: []lwreplica.Entry{commit(accept("newest"))}})
	is.NoErr(d.lockAsLeader(r))
	defer d.mu.Unlock()
	is.Equal(d.core.PendingJobs(queue.Key), 3)
	r.apply(lwreplica.Output{Committed: []lwreplica.Entry{commit(lwstate.RecordRuns{Ends: []lwjob.End{{Task: "new.0.0.0", Run: 1, How: lwjob.EndFailed}}})}})
	d.applyChanges(r)
	is.Equal(d.core.PendingJobs(queue.Key), 2)
	hash, err := leader.Hash()
	is.NoErr(err)
	own, err := r.state.Hash()
	is.NoErr(err)
	is.Equal(own, hash)
}
