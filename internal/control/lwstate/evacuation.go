package lwstate

import (
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
)

// SetEvacuation evacuates or restores a failure domain. It is refused with kind
// Conflict if the domain's record has changed since the order was received, unless the
// domain is as asked.
type SetEvacuation struct {
	Order lwevacuation.Order `json:"order"`
}

func (SetEvacuation) command() {}

func (s *State) setEvacuation(c SetEvacuation) Result {
	rec, outcome := s.c.Evacuations.Apply(c.Order, s.c.Revision, s.c.Clock)
	res := Result{Evacuation: rec, Fresh: outcome == lwevacuation.Changed}
	if res.Fresh {
		s.c.BackendRevision = s.c.Revision // entries receive the evacuated domains together with the backend servers
	}
	if outcome == lwevacuation.Stale {
		res.Err = lwfault.New(lwfault.Conflict, "the record of domain %s has revision %d; the order expected %d", c.Order.Domain, rec.Revision, c.Order.Expected)
	}
	return res
}

// Evacuations returns the table of evacuated domains. Callers must not change it.
func (s *State) Evacuations() lwevacuation.Table { return s.c.Evacuations }
