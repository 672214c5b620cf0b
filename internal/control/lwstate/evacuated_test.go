package lwstate_test

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// newEvacuatedDriver returns a state with workers wa and wb in the domains a and b, a
// backend server on each, and a job j of four tasks.
func newEvacuatedDriver(is *is.I) *driver {
	is.Helper()
	d := newDriver()
	is.NoErr(d.apply(ticket(1, "aiko", team+","+service("s", 8))).Err)
	for _, domain := range []string{"a", "b"} {
		w := lwunit.WorkerID("w" + domain)
		spec := lwstate.WorkerSpec{ID: w, Domain: lwunit.FailureDomain(domain), Capacity: lwunit.Resources{Millicores: 4000, Memory: lwunit.GiB}}
		is.NoErr(d.apply(lwstate.RegisterWorker{Spec: spec, Incarnation: "i"}).Err)
		server := lwstate.BackendServer{ID: lwunit.BackendServerID("b" + domain), Service: "s", Worker: w, Incarnation: "i"}
		is.NoErr(d.apply(lwstate.AnnounceBackend{Server: server}).Err)
	}
	is.NoErr(d.apply(lwstate.SubmitJob{Spec: lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: 4, Needs: lwunit.Resources{Millicores: 1000, Memory: 1}}}).Err)
	return d
}

// place places a task of job j on a worker and reports whether that took effect.
func (d *driver) place(task lwunit.TaskID, w lwunit.WorkerID) bool {
	res := d.apply(lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: task, Worker: w, Reserve: lwunit.Resources{Millicores: 1000}}}})
	return len(res.Skipped) == 0
}

// A leader decides on a placement, and an entry on a binding, before the evacuation is
// committed. When they are committed after it, they must not take effect.
func TestNothingBeginsInEvacuatedDomain(t *testing.T) {
	t.Run("placements", func(t *testing.T) {
		is := is.New(t)
		d := newEvacuatedDriver(is)
		is.True(d.place("j/0", "wa"))
		is.NoErr(d.apply(setEvacuation(d, "a", true)).Err)
		is.True(!d.place("j/1", "wa"))
		is.True(d.place("j/1", "wb"))
		is.Equal(len(d.s.TasksOnWorker("wa")), 1) // the task placed before goes on
		is.NoErr(d.apply(setEvacuation(d, "a", false)).Err)
		is.True(d.place("j/2", "wa"))
		expectEqualReplica(t, d)
	})
	t.Run("bindings of non-idempotent requests", func(t *testing.T) {
		is := is.New(t)
		d := newEvacuatedDriver(is)
		bind := func(key, backend string) lwstate.Result {
			c := d.bind()
			c.Key.Key, c.Backend = key, lwunit.BackendServerID(backend)
			return d.apply(c)
		}
		first := bind("k", "ba")
		is.True(first.Fresh)
		is.NoErr(d.apply(setEvacuation(d, "a", true)).Err)
		wantKind(is, bind("l", "ba").Err, lwfault.NotFound)
		resent := bind("k", "ba") // the binding made before goes on
		is.NoErr(resent.Err)
		is.Equal(resent.Claim, first.Claim)
		is.True(bind("l", "bb").Fresh)
		is.NoErr(d.apply(setEvacuation(d, "a", false)).Err)
		is.True(bind("m", "ba").Fresh)
	})
}

// Entries that wait for a change must be told of an evacuation, and not be woken by an
// order that changes nothing.
func TestEvacuationIsAChangeForEntries(t *testing.T) {
	is := is.New(t)
	d := newEvacuatedDriver(is)
	c := setEvacuation(d, "a", true)
	for _, x := range []struct {
		command lwstate.SetEvacuation
		changes bool
	}{{c, true}, {c, false}, {setEvacuation(d, "b", false), false}} {
		before := d.s.BackendRevision()
		d.apply(x.command)
		is.Equal(d.s.BackendRevision() > before, x.changes)
	}
	is.NoErr(d.apply(setEvacuation(d, "a", false)).Err)
	is.Equal(d.s.BackendRevision(), d.rev)
	is.NoErr(d.reload())
	is.Equal(d.replica.BackendRevision(), d.s.BackendRevision())
}
