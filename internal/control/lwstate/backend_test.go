package lwstate_test

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Guards against an earlier incarnation of an agent, whose calls arrive late, removing or replacing
// the backend servers that the registered one has announced, and against requests being bound to
// servers of the earlier one.
func TestBackendsAreThoseOfRegisteredAgent(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	register := func(i lwunit.Incarnation) {
		is.NoErr(d.apply(lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w"}, Incarnation: i}).Err)
	}
	server := func(i lwunit.Incarnation) lwstate.BackendServer {
		return lwstate.BackendServer{ID: "b", Service: "s", Worker: "w", Incarnation: i}
	}
	register("first")
	is.NoErr(d.apply(lwstate.AnnounceBackend{Server: server("first")}).Err)
	register("second")
	is.Equal(len(d.s.Backends()), 0)
	wantKind(is, d.apply(lwstate.AnnounceBackend{Server: server("first")}).Err, lwfault.Fenced)
	is.Equal(len(d.s.Backends()), 0)
	is.NoErr(d.apply(lwstate.AnnounceBackend{Server: server("second")}).Err)
	is.NoErr(d.apply(lwstate.WithdrawBackend{ID: "b", Incarnation: "first"}).Err)
	is.Equal(d.s.Backends(), []lwstate.BackendServer{server("second")})
	is.NoErr(d.apply(lwstate.WithdrawBackend{ID: "b", Incarnation: "second"}).Err)
	is.Equal(len(d.s.Backends()), 0)
}
