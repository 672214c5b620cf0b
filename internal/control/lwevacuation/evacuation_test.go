package lwevacuation_test

import (
	"encoding/json"
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// order returns an order of an operator who has read the record of the domain.
func order(t lwevacuation.Table, d lwunit.FailureDomain, evacuate bool) lwevacuation.Order {
	return lwevacuation.Order{Domain: d, Evacuate: evacuate, Expected: t[d].Revision, By: "aiko"}
}

func wantOutcome(is *is.I, t lwevacuation.Table, o lwevacuation.Order, revision lwunit.Revision, want lwevacuation.Outcome) lwevacuation.Record {
	is.Helper()
	rec, got := t.Apply(o, revision, lwunit.Millis(revision)*1000)
	is.Equal(got, want)
	is.Equal(rec, t[o.Domain])
	return rec
}

func TestOrders(t *testing.T) {
	t.Run("an evacuation concerns only its domain", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		rec := wantOutcome(is, table, order(table, "a", true), 7, lwevacuation.Changed)
		is.Equal(rec, lwevacuation.Record{Evacuated: true, Revision: 7, At: 7000, By: "aiko"})
		is.True(table.Evacuated("a"))
		is.True(!table.Evacuated("b"))
	})
	t.Run("an order for what is already so keeps the record, whatever it expected", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		first := order(table, "a", true)
		wantOutcome(is, table, first, 7, lwevacuation.Changed)
		is.Equal(wantOutcome(is, table, first, 8, lwevacuation.Unchanged).Revision, lwunit.Revision(7)) // a resend after a lost acknowledgement
		is.Equal(wantOutcome(is, table, order(table, "a", true), 9, lwevacuation.Unchanged).Revision, lwunit.Revision(7))
	})
	t.Run("restoring a domain that was never evacuated leaves no record", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		wantOutcome(is, table, order(table, "a", false), 7, lwevacuation.Unchanged)
		is.Equal(len(table), 0)
	})
	t.Run("a late duplicate does not undo a later order", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		evacuation := order(table, "a", true)
		wantOutcome(is, table, evacuation, 7, lwevacuation.Changed)
		restore := order(table, "a", false)
		wantOutcome(is, table, restore, 8, lwevacuation.Changed)
		wantOutcome(is, table, evacuation, 9, lwevacuation.Stale)
		is.True(!table.Evacuated("a"))
		wantOutcome(is, table, order(table, "a", true), 10, lwevacuation.Changed)
		wantOutcome(is, table, restore, 11, lwevacuation.Stale)
		is.True(table.Evacuated("a"))
	})
	t.Run("domains are listed in order, without the restored ones", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		for i, d := range []lwunit.FailureDomain{"c", "a", "b"} {
			wantOutcome(is, table, order(table, d, true), lwunit.Revision(i+1), lwevacuation.Changed)
		}
		wantOutcome(is, table, order(table, "b", false), 4, lwevacuation.Changed)
		is.Equal(table.Domains(), []lwunit.FailureDomain{"a", "c"})
	})
	t.Run("a copy does not change with the table, and survives encoding", func(t *testing.T) {
		is := is.New(t)
		table := lwevacuation.Table{}
		wantOutcome(is, table, order(table, "a", true), 1, lwevacuation.Changed)
		clone := table.Clone()
		wantOutcome(is, table, order(table, "a", false), 2, lwevacuation.Changed)
		is.True(clone.Evacuated("a"))
		data, err := json.Marshal(clone)
		is.NoErr(err)
		var decoded lwevacuation.Table
		is.NoErr(json.Unmarshal(data, &decoded))
		is.Equal(decoded, clone)
		is.True(lwevacuation.Table(nil).Clone() != nil) // so that orders can be applied to it
	})
}

// Every order that has an effect must have been decided on the state that it changes,
// however orders are delayed and repeated.
func TestDelayedOrdersNeverUndoLaterOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := lwevacuation.Table{}
		var sent []lwevacuation.Order
		used := make(map[lwunit.Revision]bool) // records that an order has changed
		for revision := lwunit.Revision(1); revision < 20; revision++ {
			if rapid.Bool().Draw(t, "new") || len(sent) == 0 {
				sent = append(sent, order(table, "a", rapid.Bool().Draw(t, "evacuate")))
			}
			o := rapid.SampledFrom(sent).Draw(t, "delivered")
			before := table["a"]
			rec, outcome := table.Apply(o, revision, 0)
			if outcome == lwevacuation.Stale && rec.Evacuated == o.Evacuate {
				t.Fatal("an order for what is already so was refused")
			}
			if outcome != lwevacuation.Changed {
				if table["a"] != before {
					t.Fatal("an order without effect changed the record")
				}
				continue
			}
			if used[o.Expected] || o.Expected != before.Revision {
				t.Fatal("a late order changed a later record")
			}
			used[o.Expected] = true
		}
	})
}
