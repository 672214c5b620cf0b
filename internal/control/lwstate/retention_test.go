package lwstate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// A job whose retention is shorter than that of its tasks must leave none behind. A
// later job with the same id got them too, and the sweep that folded it panicked on
// every replica that had not been restored from a snapshot meanwhile.
func TestJobOfShortRetentionLeavesNoTasks(t *testing.T) {
	setup := func(is *is.I) (d *driver, run func(tasks int)) {
		d = newDriver()
		is.NoErr(d.apply(ticket(1, "aiko", team+`, {"kind": "deployment", "name": "d", "spec": {"job_retention": "10m"}}`)).Err)
		return d, func(tasks int) {
			spec := lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: tasks, Needs: lwunit.Resources{Millicores: 1, Memory: 1}}
			is.NoErr(d.apply(lwstate.SubmitJob{Spec: spec}).Err)
			is.NoErr(d.apply(lwstate.CancelJob{Job: "j"}).Err)
		}
	}
	pass := func(d *driver, by time.Duration) {
		d.clock = d.clock.Add(by)
		d.apply(lwstate.Sweep{})
	}
	t.Run("its tasks are removed with it", func(t *testing.T) {
		is := is.New(t)
		d, run := setup(is)
		run(3)
		pass(d, 11*time.Minute)
		_, ok := d.s.Job("j")
		is.True(!ok)
		_, ok = d.s.Task("j/0")
		is.True(!ok)
		is.Equal(len(d.s.TasksOfJob("j")), 0)
	})
	t.Run("a later job with its id is folded, on a restored replica alike", func(t *testing.T) {
		is := is.New(t)
		d, run := setup(is)
		run(3)
		pass(d, 11*time.Minute)
		is.NoErr(d.reload())
		is.NoErr(d.apply(ticket(2, "aiko", `{"kind": "deployment", "name": "d", "absent": true}`)).Err)
		run(2)
		is.Equal(len(d.s.TasksOfJob("j")), 2)
		pass(d, time.Hour)
		j, ok := d.s.Job("j")
		is.True(ok && j.Folded)
		expectEqualReplica(t, d)
	})
	t.Run("tasks that an earlier version left in a snapshot are not those of a later job", func(t *testing.T) {
		is := is.New(t)
		s, err := lwstate.Restore([]byte(`{"version": 1, "tasks": {"j/2": {"id": "j/2", "job": "j", "phase": "failed"}}}`))
		is.NoErr(err)
		d := &driver{s: s, replica: lwstate.New(), clock: 1_000_000_000_000}
		is.NoErr(d.apply(ticket(1, "aiko", team)).Err)
		spec := lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: 2, Needs: lwunit.Resources{Millicores: 1, Memory: 1}}
		is.NoErr(d.apply(lwstate.SubmitJob{Spec: spec}).Err)
		is.Equal(len(d.s.TasksOfJob("j")), 2)
		is.Equal(d.apply(lwstate.CancelJob{Job: "j"}).Err, nil)
		j, _ := d.s.Job("j")
		is.Equal(j.Phase, lwstate.JobCancelled)
	})
}
