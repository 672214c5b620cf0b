package lwstate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// A replica encodes a clone while it applies further commands, which must not write what
// the clone shares with the state. The race detector finds what does.
func TestCloneIsEncodedWhileStateChanges(t *testing.T) {
	is := is.New(t)
	d := claimDriver(is)
	incarnations := []lwjob.WorkerIncarnation{{Worker: "w", StartedAt: 1}, {Worker: "v", StartedAt: 1}}
	for i := range 8 {
		job := queueJob(lwunit.JobID(fmt.Sprint("q", i)), 2)
		spec := lwstate.JobSpec{ID: lwunit.JobID(fmt.Sprint("j", i)), Team: "t", Program: "p", Tasks: 2, Needs: lwunit.Resources{Millicores: 1, Memory: 1}}
		clone := d.s.Clone()
		before, err := clone.Snapshot()
		is.NoErr(err)
		encoded := make(chan []byte)
		go func() {
			data, _ := clone.Snapshot()
			encoded <- data
		}()
		for _, c := range []lwstate.Command{
			lwstate.Configure{Document: lwconfig.Document{Version: lwconfig.Version(i + 1), Queues: []lwconfig.Queue{{Name: "n"}}}},
			lwstate.AcceptQueueJob{Job: job},
			lwstate.RecordRuns{Ends: []lwjob.End{{Task: "q0.0.0.0", Run: lwjob.RunID(i), How: lwjob.EndFailed}, {Task: "q0.0.0.0", Run: lwjob.RunID(i), How: lwjob.EndCrashed, Crash: &lwjob.Crash{Run: lwjob.RunID(i)}}}, Placements: []lwjob.Placement{{Task: "q0.0.1.0", Incarnation: incarnations[0]}}},
			lwstate.ChangeRoster{Enrol: []lwjob.RosterEntry{{Incarnation: incarnations[0]}, {Incarnation: incarnations[1]}}},
			lwstate.ChangeRoster{Dismiss: []lwjob.WorkerIncarnation{incarnations[i%2]}},
			lwstate.StartWave{Wave: lwjob.Wave{ID: 1, Machines: []lwjob.MachineID{"m", "n"}}},
			lwstate.BeginMaintenance{Wave: 1, Machine: lwjob.MachineID(fmt.Sprint("m", i))},
			lwstate.RecordInterference{Pairs: []lwjob.Interference{{FillingImage: "f", Gain: float64(i)}, {FillingImage: "g", Gain: 1}}},
			lwstate.CancelQueueJob{Job: job.Spec.ID},
			lwstate.CancelQueueJob{Queue: lwconfig.QueueKey{Prefix: "/a/"}, Job: lwunit.JobID(fmt.Sprint("u", i))},
			setEvacuation(d, "a", i%2 == 0),
			ticket(i+2, "aiko", service("s", 8+i)),
			lwstate.SubmitJob{Spec: spec},
			lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: lwunit.TaskID(spec.ID + "/0"), Worker: "w"}}},
			lwstate.DrainWorker{Worker: "w", Drain: i%2 == 0},
			d.bind(),
			lwstate.CloseClaim{Key: d.bind().Key, Token: lwunit.FencingToken(i), Phase: lwstate.ClaimReleased, Answer: &lwstate.Answer{Body: []byte("a")}},
			lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: "b", Service: "s", Worker: "w", Incarnation: "i1", Leaving: i%2 == 1}},
		} {
			d.apply(c)
		}
		is.Equal(string(<-encoded), string(before))
	}
}
