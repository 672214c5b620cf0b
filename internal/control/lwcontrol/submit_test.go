package lwcontrol

import (
	"crypto/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// leadingNode runs a group of one replica and returns its node once it leads. Applied
// receives each command that is applied.
func leadingNode(t *testing.T, applied func(lwstate.Command)) *Node {
	t.Helper()
	r := newSoleVoter(t, lwdisk.NewMemory())
	n := &Node{log: zap.NewNop(), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}, replica: r}
	n.dispatcher = newDispatcher(n)
	r.onApply = func(_ lwunit.Revision, c lwstate.Command) { applied(c) }
	runReplica(t, r)
	eventually(t, "the replica leads", func() bool { return r.stillLeads(r.currentView().term) })
	return n
}

// An entry that does not fit in a message is never replicated. The leader that holds it
// sends no heartbeats either, so the others depose it.
func TestLargeCommandIsRefused(t *testing.T) {
	is := is.New(t)
	n := leadingNode(t, func(lwstate.Command) {})
	source := make([]byte, maxCommandBytes)
	_, _ = rand.Read(source) // cannot be compressed
	_, err := n.commit(t.Context(), n.replica, lwstate.Configure{Document: lwconfig.Document{Version: 1, Source: source}})
	is.Equal(lwfault.KindOf(err), lwfault.TooLarge)
	largest := lwreplica.AppendRequest{Entries: []lwreplica.Entry{{Data: make([]byte, maxCommandBytes)}}}
	earlier := lwreplica.AppendRequest{Entries: []lwreplica.Entry{{Data: make([]byte, maxBatchBytes-1)}}}
	s := &sender{queue: make(chan lwreplica.Envelope, 1)}
	s.queue <- lwreplica.Envelope{Body: largest}
	w, err := encodeBatch(s.gather(lwreplica.Envelope{Body: earlier}))
	is.NoErr(err)
	is.True(len(w.Envelopes)*4/3 < 8<<20) // the frame limit of lwrpc
}

// A committed entry that cannot be decoded ends every replica. The command is refused
// before it is proposed, and its caller is told that it has had no effect.
func TestUndecodableCommandIsRefused(t *testing.T) {
	is := is.New(t)
	n := leadingNode(t, func(lwstate.Command) {})
	undecodable := lwjob.Job{Tasks: map[lwjob.TaskKey]*lwjob.TaskRecord{{Index: -1}: nil}}
	_, err := n.commit(t.Context(), n.replica, lwstate.AcceptQueueJob{Job: undecodable})
	is.Equal(lwfault.KindOf(err), lwfault.Invalid)
	_, err = n.commit(t.Context(), n.replica, lwstate.CancelQueueJob{Job: "j"})
	is.NoErr(err) // the replica goes on
}

// Ends that gather while no quorum answers must be recorded in several commands, since one
// command with all of them may be too large.
func TestManyEndsAreRecordedInParts(t *testing.T) {
	is := is.New(t)
	const count = 2*maxRunsRecorded + 1
	var sizes []int
	next := lwjob.RunID(1)
	done := make(chan struct{})
	n := leadingNode(t, func(c lwstate.Command) {
		x, ok := c.(lwstate.RecordRuns)
		if !ok {
			return
		}
		sizes = append(sizes, len(x.Ends)+len(x.Placements))
		for _, e := range x.Ends {
			if e.Run != next {
				t.Errorf("the end of run %d was recorded instead of that of run %d", e.Run, next)
			}
			next++
		}
		if len(x.Placements) > 0 {
			close(done)
		}
	})
	d := n.dispatcher
	is.NoErr(d.lockAsLeader(n.replica))
	for i := range count {
		d.pendingEnds = append(d.pendingEnds, lwdispatch.WorkerEnd{Numbered: lwdispatch.NumberedEnd{End: lwjob.End{Task: "j.0.0.0", Run: lwjob.RunID(i + 1)}}})
	}
	d.pendingPlacements = []lwjob.Placement{{Task: "j.0.0.0"}}
	d.recordRuns(t.Context(), n.replica)
	d.mu.Unlock()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the placement was not recorded")
	}
	is.Equal(int(next), count+1)
	is.Equal(len(sizes), 3)
}
