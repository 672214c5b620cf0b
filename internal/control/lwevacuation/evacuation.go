// Package lwevacuation keeps which failure domains operators have evacuated. No task
// is started in an evacuated domain. The table is part of the replicated state, so
// nothing here reads a clock or does I/O.
package lwevacuation

import (
	"maps"
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Order asks for a failure domain to be evacuated or restored. Operators' calls carry no
// sequence number, so an order names the record that it was decided on: one that is
// delivered late then cannot undo a later one.
type Order struct {
	Domain   lwunit.FailureDomain `json:"domain"`
	Evacuate bool                 `json:"evacuate"` // false restores the domain
	Expected lwunit.Revision      `json:"expected"` // Revision of the domain's record when the order was received
	By       string               `json:"by,omitempty"`
}

// Record is the last change of a domain. The zero record is that of a domain that was
// never evacuated.
type Record struct {
	Evacuated bool            `json:"evacuated"`
	Revision  lwunit.Revision `json:"revision"` // of the replicated state at the change
	At        lwunit.Millis   `json:"at"`       // replicated clock at the change
	By        string          `json:"by,omitempty"`
}

// Outcome is the effect of an order.
type Outcome string

// The outcomes. Only Stale is a refusal.
const (
	Changed   Outcome = "changed"
	Unchanged Outcome = "unchanged" // the domain already was as asked
	Stale     Outcome = "stale"     // the record has changed since the order was received
)

// Table holds the records of all domains that were ever evacuated. The records of
// restored domains stay, since their revisions tell late orders from new ones.
type Table map[lwunit.FailureDomain]Record

// Apply carries out an order at a revision and time of the replicated state, and returns
// the record that is then in force.
func (t Table) Apply(o Order, revision lwunit.Revision, at lwunit.Millis) (Record, Outcome) {
	current := t[o.Domain]
	switch {
	case current.Evacuated == o.Evacuate:
		return current, Unchanged
	case current.Revision != o.Expected:
		return current, Stale
	}
	changed := Record{Evacuated: o.Evacuate, Revision: revision, At: at, By: o.By}
	t[o.Domain] = changed
	return changed, Changed
}

// Evacuated reports whether a domain is evacuated.
func (t Table) Evacuated(d lwunit.FailureDomain) bool { return t[d].Evacuated }

// Domains returns the evacuated domains in order of their names.
func (t Table) Domains() []lwunit.FailureDomain {
	var list []lwunit.FailureDomain
	for d, r := range t {
		if r.Evacuated {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// Clone returns a copy, which is never nil.
func (t Table) Clone() Table {
	out := make(Table, len(t))
	maps.Copy(out, t)
	return out
}
