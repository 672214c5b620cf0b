package lwjob_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

func job(steps ...lwjob.Step) lwjob.Job {
	return lwjob.Job{Spec: lwjob.Spec{ID: "j", Steps: steps}, Queue: lwconfig.Queue{MaxAttempts: 2}, Term: 1}
}

func end(task string, run lwjob.RunID, how lwjob.EndKind) lwjob.End {
	return lwjob.End{Task: lwunit.TaskID(task), Run: run, How: how}
}

func expectState(t *testing.T, table *lwjob.Table, want lwjob.State) {
	t.Helper()
	if got := table.Job("j").State; got != want {
		t.Errorf("the job is %s, want %s", got, want)
	}
}

func TestRecord(t *testing.T) {
	t.Run("a job is completed when its last task is done", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 2}))
		expectState(t, table, lwjob.Queued)
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndDone), 5)
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndDone), 5) // reported again to the next leader
		expectState(t, table, lwjob.Running)
		table.RecordEnd(end("j.0.0.1", 1, lwjob.EndDone), 6)
		expectState(t, table, lwjob.Completed)
	})
	t.Run("failed runs count once each", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1}))
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndFailed), 5)
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndFailed), 5)
		expectState(t, table, lwjob.Running)
		table.RecordEnd(end("j.0.0.0", 2, lwjob.EndFailed), 6)
		expectState(t, table, lwjob.Failed)
	})
	t.Run("a run whose lease expired is not a failed attempt", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1}))
		for run := range lwjob.RunID(5) {
			table.RecordEnd(end("j.0.0.0", run, lwjob.EndLeaseExpired), 5)
		}
		expectState(t, table, lwjob.Running)
	})
	t.Run("the last placement of a task is kept, also in a snapshot", func(t *testing.T) {
		is := is.New(t)
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1, LongRunning: true}))
		a, b := lwjob.WorkerIncarnation{Worker: "a", StartedAt: 1}, lwjob.WorkerIncarnation{Worker: "b", StartedAt: 2}
		table.RecordPlacement(lwjob.Placement{Task: "j.0.0.0", Incarnation: a})
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndLeaseExpired), 5)
		table.RecordPlacement(lwjob.Placement{Task: "j.0.0.0", Incarnation: b})
		table.RecordPlacement(lwjob.Placement{Task: "j.0.0.9", Incarnation: a}) // no such task
		data, err := json.Marshal(table.Contents())
		is.NoErr(err)
		var c lwjob.Contents
		is.NoErr(json.Unmarshal(data, &c))
		is.Equal(lwjob.Restore(c).Job("j").Task(lwjob.TaskKey{}).PlacedOn, b)
	})
	t.Run("long-running tasks have no limit of attempts", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1, LongRunning: true}))
		for run := range lwjob.RunID(5) {
			table.RecordEnd(end("j.0.0.0", run, lwjob.EndFailed), 5)
		}
		expectState(t, table, lwjob.Running)
	})
	t.Run("a gang is done when one member is done", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 3, Gang: true}))
		table.RecordEnd(end("j.0.0.1", 1, lwjob.EndDone), 5)
		expectState(t, table, lwjob.Completed)
	})
	t.Run("a recurring job is completed when all occurrences are done", func(t *testing.T) {
		table := lwjob.NewTable()
		j := job(lwjob.Step{Count: 1})
		j.Spec.Repeats = 2
		table.Accept(j)
		table.RecordEnd(end("j.0.0.0", 1, lwjob.EndDone), 5)
		expectState(t, table, lwjob.Running)
		table.RecordEnd(end("j.1.0.0", 1, lwjob.EndDone), 6)
		expectState(t, table, lwjob.Completed)
	})
	t.Run("the newest checkpoint is kept", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1}))
		table.RecordEnd(lwjob.End{Task: "j.0.0.0", Run: 2, How: lwjob.EndStopped, Checkpoint: "new"}, 5)
		table.RecordEnd(lwjob.End{Task: "j.0.0.0", Run: 1, How: lwjob.EndLeaseExpired, Checkpoint: "old"}, 6)
		if got := table.Job("j").Task(lwjob.TaskKey{}).Checkpoint; got != "new" {
			t.Errorf("kept checkpoint %q, want that of the highest run", got)
		}
	})
	t.Run("invalid names and names of unknown tasks are ignored", func(t *testing.T) {
		table := lwjob.NewTable()
		table.Accept(job(lwjob.Step{Count: 1}))
		for _, name := range []string{"", "j", "j.0.0", "j.0.0.1", "j.1.0.0", "j.0.1.0", "j.0.0.-1", "x.0.0.0"} {
			table.RecordEnd(end(name, 1, lwjob.EndDone), 5)
		}
		expectState(t, table, lwjob.Queued)
	})
}

func TestFinalStatesDoNotChange(t *testing.T) {
	table := lwjob.NewTable()
	table.Accept(job(lwjob.Step{Count: 1}))
	_, _ = table.Cancel(lwconfig.QueueKey{}, "j", 5)
	table.RecordEnd(end("j.0.0.0", 1, lwjob.EndDone), 6)
	expectState(t, table, lwjob.Cancelled)
	if table.Accept(job(lwjob.Step{Count: 1})) {
		t.Error("a job that was sent again was accepted as a new one")
	}
	table.RemoveJobs(5)
	if table.Job("j") == nil {
		t.Error("the job was removed too early")
	}
	table.RemoveJobs(6)
	if table.Job("j") != nil {
		t.Error("the job was not removed")
	}
}

func TestHighestConfigurationIsInForce(t *testing.T) {
	table := lwjob.NewTable()
	for _, x := range []struct {
		version lwconfig.Version
		source  string
		changed bool
		inForce string
	}{{3, "a", true, "a"}, {3, "b", false, "a"}, {2, "c", false, "a"}, {9, "d", true, "d"}} {
		if got := table.Configure(lwconfig.Document{Version: x.version, Source: []byte(x.source)}); got != x.changed || string(table.Config().Source) != x.inForce {
			t.Errorf("version %d: configuration changed: %v; source in force: %s", x.version, got, table.Config().Source)
		}
	}
}

// Guards against a roster that has two entries for an incarnation, of which the next leader takes
// either.
func TestEnrolReplacesEntry(t *testing.T) {
	is := is.New(t)
	table := lwjob.NewTable()
	entry := lwjob.RosterEntry{Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 2}, Agent: "a", LongLease: true}
	table.Enrol(entry)
	clone := table.Clone()
	entry.LongLease = false
	table.Enrol(entry)
	is.Equal(table.Roster(), []lwjob.RosterEntry{entry})
	is.True(clone.Roster()[0].LongLease) // the change does not affect the clone
}

func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	table := lwjob.NewTable()
	table.Accept(job(lwjob.Step{Count: 2}))
	table.RecordEnd(lwjob.End{Task: "j.0.0.1", Run: 3, How: lwjob.EndFailed, Checkpoint: "s"}, 5)
	table.Enrol(lwjob.RosterEntry{Incarnation: lwjob.WorkerIncarnation{Worker: "w", StartedAt: 2}, Agent: "a"})
	table.Configure(lwconfig.Document{Version: 4, Source: []byte("x")})
	table.StartWave(lwjob.Wave{ID: 1, Machines: []lwjob.MachineID{"m", "n"}, MaxMachinesDown: 1})
	table.BeginMaintenance(1, "m")
	table.RecordInterference([]lwjob.Interference{{FillingImage: "f", ServingImage: "s", Gain: 3, Variance: 1}})
	before, err := json.Marshal(table.Contents())
	is.NoErr(err)
	var c lwjob.Contents
	is.NoErr(json.Unmarshal(before, &c))
	restored := lwjob.Restore(c)
	after, err := json.Marshal(restored.Contents())
	is.NoErr(err)
	is.Equal(string(after), string(before))
	is.Equal(len(restored.Wave(1).MachinesLeft()), 1)
	clone := restored.Clone()
	restored.RecordEnd(end("j.0.0.0", 1, lwjob.EndDone), 6)
	is.True(!clone.Job("j").Task(lwjob.TaskKey{}).Done) // the change does not affect the clone
}

func ExampleParseTaskName() {
	id, key, err := lwjob.ParseTaskName("5c0e7a21d94b36f8.0.1.17")
	fmt.Println(id, key, err)
	// Output: 5c0e7a21d94b36f8 0.1.17 <nil>
}

// Guards against a job that is accepted after its cancellation: its submission was checked before the
// cancellation and committed after it, also where the replica has started from a snapshot in between.
func TestAcceptAfterCancellation(t *testing.T) {
	is := is.New(t)
	table := lwjob.NewTable()
	queue := lwconfig.QueueKey{Host: "h", Prefix: "/a/"}
	known, err := table.Cancel(queue, "j", 5)
	is.NoErr(err)
	is.True(!known)
	data, err := json.Marshal(table.Contents())
	is.NoErr(err)
	var c lwjob.Contents
	is.NoErr(json.Unmarshal(data, &c))
	late := job(lwjob.Step{Count: 1})
	late.Spec.Queue = queue
	for _, x := range []*lwjob.Table{table, lwjob.Restore(c)} {
		is.True(!x.Accept(late))
		is.True(x.Job("j") == nil)
		x.RemoveJobs(5)
		is.True(x.CancelledBefore(queue, "j"))
		x.RemoveJobs(6)
		is.True(x.Accept(late)) // the record has ended
	}
}
