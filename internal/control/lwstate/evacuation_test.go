package lwstate_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// setEvacuation returns the command of an operator who has read the domain's record.
func setEvacuation(d *driver, domain lwunit.FailureDomain, evacuate bool) lwstate.SetEvacuation {
	return lwstate.SetEvacuation{Order: lwevacuation.Order{Domain: domain, Evacuate: evacuate, Expected: d.s.Evacuations()[domain].Revision, By: "aiko"}}
}

func TestEvacuation(t *testing.T) {
	t.Run("the record has the revision and the clock of its change", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		res := d.apply(setEvacuation(d, "a", true))
		is.NoErr(res.Err)
		is.True(res.Fresh)
		is.Equal(res.Evacuation, lwevacuation.Record{Evacuated: true, Revision: d.rev, At: d.clock, By: "aiko"})
		is.Equal(d.s.Evacuations().Domains(), []lwunit.FailureDomain{"a"})
	})
	t.Run("an order on an outdated record is refused and changes nothing", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		late := setEvacuation(d, "a", true)
		d.apply(late)
		d.apply(setEvacuation(d, "a", false))
		res := d.apply(late)
		wantKind(is, res.Err, lwfault.Conflict)
		is.True(!res.Fresh)
		is.True(!d.s.Evacuations().Evacuated("a"))
	})
	t.Run("a resend after a lost acknowledgement is acknowledged and changes nothing", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		c := setEvacuation(d, "a", true)
		first := d.apply(c)
		res := d.apply(c)
		is.NoErr(res.Err)
		is.True(!res.Fresh)
		is.Equal(res.Evacuation, first.Evacuation)
	})
	t.Run("an evacuation survives a snapshot, and a late order is still refused after it", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		late := setEvacuation(d, "a", true)
		d.apply(late)
		d.apply(setEvacuation(d, "a", false))
		d.apply(setEvacuation(d, "b", true))
		is.NoErr(d.reload())
		d.apply(late)
		is.Equal(d.replica.Evacuations().Domains(), []lwunit.FailureDomain{"b"})
		expectEqualReplica(t, d)
	})
	t.Run("a snapshot of an older version has no evacuations, and takes orders", func(t *testing.T) {
		is := is.New(t)
		d := newDriver()
		d.apply(lwstate.Sweep{})
		data, err := d.s.Snapshot()
		is.NoErr(err)
		is.True(!strings.Contains(string(data), "evacuations")) // so an older version reads the snapshot unchanged
		is.NoErr(d.reload())
		d.apply(setEvacuation(d, "a", true))
		is.True(d.replica.Evacuations().Evacuated("a"))
	})
}
