package lwstate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// queueJob returns a job of two steps, the second of which is long-running.
func queueJob(id lwunit.JobID, tasks int) lwjob.Job {
	steps := []lwjob.Step{{Count: tasks}, {Count: tasks, LongRunning: true}}
	return lwjob.Job{Spec: lwjob.Spec{ID: id, Steps: steps}, Queue: lwconfig.Queue{MaxAttempts: 2}, Term: 1, PlacementsRecorded: true}
}

// A replica that restarts from a snapshot must apply the first record of a job that
// was accepted before the snapshot.
func TestFirstRecordOfJobAfterRestore(t *testing.T) {
	end := lwjob.End{Task: "j.0.0.0", Run: 1, How: lwjob.EndDone}
	placement := lwjob.Placement{Task: "j.0.1.0", Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 1}}
	for name, c := range map[string]lwstate.RecordRuns{
		"the end of a run":          {Ends: []lwjob.End{end}},
		"the placement of a task":   {Placements: []lwjob.Placement{placement}},
		"the end of a gang's run":   {Ends: []lwjob.End{{Task: "g.0.0.0", Run: 1, How: lwjob.EndDone}}},
		"an end with a checkpoint":  {Ends: []lwjob.End{{Task: "j.0.0.0", Run: 1, How: lwjob.EndStopped, Checkpoint: "c"}}},
		"an end and then placement": {Ends: []lwjob.End{end}, Placements: []lwjob.Placement{placement}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.apply(lwstate.AcceptQueueJob{Job: queueJob("j", 1)})
			gang := queueJob("g", 3)
			gang.Spec.Steps[0].Gang = true
			d.apply(lwstate.AcceptQueueJob{Job: gang})
			is.NoErr(d.reload())
			d.apply(c)
			expectEqualReplica(t, d)
		})
	}
}

// Every entry that can be encoded must be decoded again: replicas end at a committed entry
// that they cannot decode.
func TestCommandWithNegativeSizeIsDecoded(t *testing.T) {
	is := is.New(t)
	c := lwstate.ResizeTasks{Resizes: []lwstate.Resize{{Task: "j/0", Token: 1, Reserve: lwunit.Resources{Memory: -lwunit.GiB}}}}
	data, err := lwstate.EncodeCommand(c, 1)
	is.NoErr(err)
	decoded, _, err := lwstate.DecodeCommand(data)
	is.NoErr(err)
	is.Equal(decoded, c)
}

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Helper()
	Fatal(args ...any)
}

// expectEqualReplica checks that a replica restored from snapshots has the state of
// one that was never restored.
func expectEqualReplica(t failer, d *driver) {
	t.Helper()
	hash, err := d.s.Hash()
	if err != nil {
		t.Fatal(err)
	}
	replicaHash, err := d.replica.Hash()
	if err != nil {
		t.Fatal(err)
	}
	if hash != replicaHash {
		t.Fatal("the state of a replica restored from a snapshot differs")
	}
	expectEqualDerived(t, d.s, d.replica)
}

func queueTask(t *rapid.T) lwunit.TaskID {
	return lwunit.TaskID(fmt.Sprintf("j%d.%d.%d.%d", rapid.IntRange(0, 3).Draw(t, "job"),
		rapid.IntRange(0, 1).Draw(t, "occurrence"), rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "index")))
}

func incarnation(t *rapid.T) lwjob.WorkerIncarnation {
	return lwjob.WorkerIncarnation{Worker: worker(t), StartedAt: lwunit.Millis(rapid.IntRange(1, 2).Draw(t, "start"))}
}

// queueActions draws every command that concerns queues.
func queueActions(d *driver) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"configure": func(t *rapid.T) {
			d.apply(lwstate.Configure{Document: lwconfig.Document{Version: lwconfig.Version(rapid.IntRange(1, 9).Draw(t, "version"))}})
		},
		"accept": func(t *rapid.T) {
			j := queueJob(lwunit.JobID(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job"))), rapid.IntRange(1, 3).Draw(t, "tasks"))
			j.Spec.Repeats = rapid.IntRange(0, 2).Draw(t, "repeats")
			j.Spec.Queue.Prefix = rapid.SampledFrom([]string{"", "/a/"}).Draw(t, "queue")
			j.Spec.Steps[0].Gang = rapid.Bool().Draw(t, "gang")
			d.apply(lwstate.AcceptQueueJob{Job: j})
		},
		"cancel": func(t *rapid.T) {
			queue := lwconfig.QueueKey{Prefix: rapid.SampledFrom([]string{"", "/a/"}).Draw(t, "queue")}
			d.apply(lwstate.CancelQueueJob{Queue: queue, Job: lwunit.JobID(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job")))})
		},
		"end": func(t *rapid.T) {
			how := rapid.SampledFrom([]lwjob.EndKind{lwjob.EndDone, lwjob.EndFailed, lwjob.EndStopped, lwjob.EndLeaseExpired}).Draw(t, "how")
			d.apply(lwstate.RecordRuns{Ends: []lwjob.End{{
				Task: queueTask(t), Run: lwjob.RunID(rapid.IntRange(1, 3).Draw(t, "run")), How: how,
				Checkpoint: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint"),
			}}})
		},
		"crash": func(t *rapid.T) {
			run := lwjob.RunID(rapid.IntRange(1, 3).Draw(t, "run"))
			d.apply(lwstate.RecordRuns{Ends: []lwjob.End{{
				Task: queueTask(t), Run: run, How: lwjob.EndCrashed, GiveUp: rapid.SampledFrom([]string{"", "", "to blame"}).Draw(t, "give up"),
				Crash: &lwjob.Crash{Run: run, Worker: incarnation(t), Age: 1, Evidence: lwblame.Evidence(rapid.Float64Range(0, 1e9).Draw(t, "evidence"))},
			}}})
		},
		"place": func(t *rapid.T) {
			d.apply(lwstate.RecordRuns{Placements: []lwjob.Placement{{Task: queueTask(t), Incarnation: incarnation(t)}}})
		},
		"roster": func(t *rapid.T) {
			d.apply(lwstate.ChangeRoster{
				Enrol:   []lwjob.RosterEntry{{Incarnation: incarnation(t), Agent: "a"}},
				Dismiss: []lwjob.WorkerIncarnation{incarnation(t)},
			})
		},
		"start wave": func(t *rapid.T) {
			d.apply(lwstate.StartWave{Wave: lwjob.Wave{ID: lwjob.WaveID(rapid.IntRange(0, 2).Draw(t, "wave")), Machines: []lwjob.MachineID{"m"}}})
		},
		"begin maintenance": func(t *rapid.T) {
			d.apply(lwstate.BeginMaintenance{Wave: lwjob.WaveID(rapid.IntRange(0, 2).Draw(t, "wave")), Machine: "m"})
		},
		"interference": func(t *rapid.T) {
			d.apply(lwstate.RecordInterference{Pairs: []lwjob.Interference{{
				FillingImage: rapid.SampledFrom([]string{"f", "g"}).Draw(t, "filling"), ServingImage: "s", Gain: rapid.Float64Range(0, 200).Draw(t, "gain"),
			}}})
		},
		"remove": func(t *rapid.T) {
			d.apply(lwstate.RemoveQueueJobs{Before: d.clock - lwunit.Millis(rapid.IntRange(0, 3).Draw(t, "age"))})
		},
		"time passes": func(*rapid.T) { d.clock++ },
		"reload": func(t *rapid.T) {
			if err := d.reload(); err != nil {
				t.Fatal(err)
			}
		},
		"": func(t *rapid.T) { expectEqualReplica(t, d) },
	}
}

// A replica restored from a snapshot at any moment must apply every later command of
// queues like one that kept its memory.
func TestQueueCommandsAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(queueActions(newDriver())) })
}
