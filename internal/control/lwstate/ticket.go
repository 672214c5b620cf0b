package lwstate

import (
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// applyTicket sets the objects of a ticket. Tickets are ordered per object: a
// ticket is refused as a whole if one with a higher number already set one of its
// objects. Gaps between numbers are allowed and have no meaning.
func (s *State) applyTicket(c ApplyTicket) Result {
	t, err := lwticket.Decode(c.Ticket)
	if err != nil {
		return Result{Err: err}
	}
	digest, err := t.Digest()
	if err != nil {
		return Result{Err: err}
	}
	if accepted, ok := s.c.Tickets[t.Number]; ok {
		return repeatedTicketResult(*accepted, digest)
	}
	if t.Number <= s.c.TicketFloor {
		return Result{Err: lwfault.New(lwfault.Expired, "ticket %d is older than the last %d tickets; older records have been removed", t.Number, retainedTickets)}
	}
	for _, o := range t.Objects {
		if current, ok := s.c.Objects[o.Key.String()]; ok && current.Ticket > t.Number {
			err := lwfault.New(lwfault.Conflict, "ticket %d is out of date: ticket %d already set %s", t.Number, current.Ticket, o.Key)
			return Result{Err: err, Number: current.Ticket}
		}
	}
	rec := s.acceptTicket(t, digest)
	return Result{Ticket: rec}
}

// repeatedTicketResult returns the result of a ticket whose number was accepted
// before: the record if it is the same ticket, and a conflict otherwise.
func repeatedTicketResult(accepted TicketRecord, digest lwticket.Digest) Result {
	if accepted.Digest == digest {
		return Result{Ticket: accepted}
	}
	err := lwfault.New(lwfault.Conflict, "ticket %d was accepted from %s with digest %s; this one has digest %s", accepted.Number, accepted.Author, accepted.Digest, digest)
	return Result{Err: err, Ticket: accepted}
}

func (s *State) acceptTicket(t lwticket.Ticket, digest lwticket.Digest) TicketRecord {
	rec := &TicketRecord{Number: t.Number, Digest: digest, Author: t.Author, Comment: t.Comment, Revision: s.c.Revision, Accepted: s.c.Clock}
	for _, o := range t.Objects {
		rec.Objects = append(rec.Objects, o.Key)
		s.c.Objects[o.Key.String()] = &ObjectRecord{Object: o, Ticket: t.Number, Revision: s.c.Revision}
	}
	s.c.PolicyRevision = s.c.Revision
	s.cachedDeployment = nil
	s.cachedReserves = make(map[lwunit.WorkerID]lwunit.Resources)
	s.c.Tickets[t.Number] = rec
	s.trimTickets()
	return *rec
}

// trimTickets removes the records with the lowest numbers beyond retainedTickets.
// From then on their numbers are refused.
func (s *State) trimTickets() {
	const trimBatch = retainedTickets / 10 // number of excess records that triggers a trim; each trim sorts all numbers
	if len(s.c.Tickets) <= retainedTickets+trimBatch {
		return
	}
	numbers := s.ticketNumbers()
	for _, n := range numbers[:len(numbers)-retainedTickets] {
		s.c.TicketFloor = max(s.c.TicketFloor, n)
		delete(s.c.Tickets, n)
	}
}

// ticketNumbers returns the numbers of the ticket records, sorted.
func (s *State) ticketNumbers() []lwticket.Number {
	numbers := make([]lwticket.Number, 0, len(s.c.Tickets))
	for n := range s.c.Tickets {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

// Ticket returns the record of the ticket with the given number.
func (s *State) Ticket(n lwticket.Number) (TicketRecord, bool) {
	rec, ok := s.c.Tickets[n]
	if !ok {
		return TicketRecord{}, false
	}
	return *rec, true
}

// Tickets returns up to limit ticket records, highest number first.
func (s *State) Tickets(limit int) []TicketRecord {
	numbers := s.ticketNumbers()
	var list []TicketRecord
	for i := len(numbers) - 1; i >= 0 && len(list) < limit; i-- {
		list = append(list, *s.c.Tickets[numbers[i]])
	}
	return list
}

// ObjectsSince returns the objects that changed after rev, including tombstones,
// sorted by key.
func (s *State) ObjectsSince(rev lwunit.Revision) []ObjectRecord {
	var list []ObjectRecord
	for _, o := range s.c.Objects {
		if o.Revision > rev {
			list = append(list, *o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Object.Key.Less(list[j].Object.Key) })
	return list
}

// Object returns the record of an object, which may be a tombstone.
func (s *State) Object(k lwticket.Key) (ObjectRecord, bool) {
	o, ok := s.c.Objects[k.String()]
	if !ok {
		return ObjectRecord{}, false
	}
	return *o, true
}

// Service returns the spec of a service: that for the region if there is one,
// otherwise that for all regions.
func (s *State) Service(region lwunit.Region, name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	spec, ok := s.lookupSpec(region, lwticket.KindService, string(name)).(lwticket.ServiceSpec)
	return spec, ok
}

// Team returns the spec of a team for all regions. A spec for one region is not
// used.
func (s *State) Team(name lwunit.TeamName) (lwticket.TeamSpec, bool) {
	spec, ok := s.lookupSpec("", lwticket.KindTeam, string(name)).(lwticket.TeamSpec)
	return spec, ok
}

// Deployment returns the spec of the deployment whose key sorts first, or the
// default if there is none.
func (s *State) Deployment() lwticket.DeploymentSpec {
	s.cacheMu.Lock()
	defer s.cacheMu.Unlock()
	if s.cachedDeployment == nil {
		d := s.findDeployment()
		s.cachedDeployment = &d
	}
	return *s.cachedDeployment
}

func (s *State) findDeployment() lwticket.DeploymentSpec {
	firstKey := ""
	spec := lwticket.DeploymentSpec{TailWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, EvictionBudget: 12, JobRetention: lwunit.Duration(defaultJobRetention)}
	for key, o := range s.c.Objects {
		if candidate, ok := o.Object.Spec.(lwticket.DeploymentSpec); ok && (firstKey == "" || key < firstKey) {
			firstKey, spec = key, candidate
		}
	}
	return spec
}

// lookupSpec returns the spec of an object for the region or else for all regions,
// or nil if neither exists.
func (s *State) lookupSpec(region lwunit.Region, kind lwticket.Kind, name string) lwticket.Spec {
	for _, r := range []lwunit.Region{region, ""} {
		if o, ok := s.c.Objects[lwticket.Key{Region: r, Kind: kind, Name: name}.String()]; ok && o.Object.Spec != nil {
			return o.Object.Spec
		}
	}
	return nil
}
