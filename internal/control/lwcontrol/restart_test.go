package lwcontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// groupHistory makes changes in a control group and knows what was acknowledged.
type groupHistory struct {
	client  *lwlink.Client
	rng     *rand.Rand
	version lwconfig.Version // of the newest configuration
	jobs    []lwunit.JobID
	ends    map[lwunit.JobID]int // recorded ends of tasks
}

const tasksOfHistoryJob = 2

var historyQueue = lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/"}, Name: "q", Service: "s", Timeout: lwunit.Duration(time.Minute), MaxAttempts: 1}

// change makes one acknowledged change: a new configuration, a new job, or the end of a
// task of a job, which is often the first record of a job that a snapshot already holds.
func (h *groupHistory) change(ctx context.Context) error {
	switch h.rng.IntN(4) {
	case 0:
		h.version++
		return h.client.Configure(ctx, lwconfig.Document{Version: h.version, Queues: []lwconfig.Queue{historyQueue}, Services: []lwconfig.Service{{Name: "s"}}})
	case 1, 2:
		id := lwunit.JobID(fmt.Sprintf("j%d", len(h.jobs)))
		h.jobs = append(h.jobs, id)
		spec := lwjob.Spec{ID: id, Queue: historyQueue.Key, Steps: []lwjob.Step{{Count: tasksOfHistoryJob}}}
		_, err := h.client.Propose(ctx, lwstate.AcceptQueueJob{Job: lwjob.Job{Spec: spec, Queue: historyQueue}})
		return err
	default:
		if len(h.jobs) == 0 {
			return nil
		}
		id := h.jobs[h.rng.IntN(len(h.jobs))]
		if h.ends[id] == tasksOfHistoryJob {
			return nil
		}
		name := lwjob.TaskName(id, lwjob.TaskKey{Index: h.ends[id]})
		h.ends[id]++
		_, err := h.client.Propose(ctx, lwstate.RecordRuns{Ends: []lwjob.End{{Task: name, Run: 1, How: lwjob.EndDone}}})
		return err
	}
}

// expect checks that the group shows what was acknowledged.
func (h *groupHistory) expect(ctx context.Context, is *is.I) {
	is.Helper()
	d, err := h.client.Configuration(ctx)
	is.NoErr(err)
	is.Equal(d.Version, h.version)
	want := map[int]lwjob.State{0: lwjob.Queued, 1: lwjob.Running, tasksOfHistoryJob: lwjob.Completed}
	for _, id := range h.jobs {
		status, err := h.client.ShowQueueJob(ctx, lwlink.RequestTarget{Host: historyQueue.Key.Host, Path: historyQueue.Key.Prefix + string(id)})
		is.NoErr(err)
		is.Equal(status.State, want[h.ends[id]])
	}
}

// All replicas end at the same moment, and each restarts from a snapshot. Guards against a
// group that does not come back, or not with all that was acknowledged: its replicas then
// end one after the other at an entry that a restored state cannot apply, and callers read
// no configuration.
func TestGroupRestartsFromSnapshots(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := lwrig.Start(lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b", "c"}, Service: "s", Replicas: 3, Entries: 1, Folder: t.TempDir(), SnapshotSize: 4 * lwunit.KiB,
	}, zap.NewNop())
	is.NoErr(err)
	t.Cleanup(s.Stop)
	h := &groupHistory{client: newClient(t, s), rng: rand.New(rand.NewPCG(1, 1)), ends: make(map[lwunit.JobID]int)}
	for range 3 {
		for range 80 {
			is.NoErr(h.change(ctx))
		}
		for _, n := range s.Control {
			n.Kill()
		}
		for i := range s.Control {
			is.NoErr(s.StartControl(i))
		}
		h.expect(ctx, is)
	}
}
