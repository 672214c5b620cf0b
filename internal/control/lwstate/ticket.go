package lwstate

import (
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

// applyTicket puts a ticket in force. The order is by object: a ticket is
// refused whole if a higher number already set one of its objects. Numbers may
// leave gaps; a gap means nothing.
func (s *State) applyTicket(c ApplyTicket) Result {
	t, err := lwticket.Decode(c.Ticket)
	if err != nil {
		return Result{Err: err}
	}
	digest, err := t.Digest()
	if err != nil {
		return Result{Err: err}
	}
	if first, ok := s.c.Tickets[t.Number]; ok {
		return repeatedTicket(*first, digest)
	}
	if t.Number <= s.c.TicketFloor {
		return Result{Err: lwfault.New(lwfault.Expired, "ticket %d is older than the last %d tickets, whose answers are kept", t.Number, ticketsKept)}
	}
	for _, o := range t.Objects {
		if old, ok := s.c.Objects[o.Key.String()]; ok && old.Ticket > t.Number {
			err := lwfault.New(lwfault.Conflict, "ticket %d is late: ticket %d already set %s", t.Number, old.Ticket, o.Key)
			return Result{Err: err, Number: old.Ticket}
		}
	}
	rec := s.putInForce(t, digest)
	return Result{Ticket: rec}
}

func repeatedTicket(first TicketRecord, digest lwticket.Digest) Result {
	if first.Digest == digest {
		return Result{Ticket: first}
	}
	err := lwfault.New(lwfault.Conflict, "ticket %d was accepted from %s with digest %s; this one has digest %s", first.Number, first.Author, first.Digest, digest)
	return Result{Err: err, Ticket: first}
}

func (s *State) putInForce(t lwticket.Ticket, digest lwticket.Digest) TicketRecord {
	rec := &TicketRecord{Number: t.Number, Digest: digest, Author: t.Author, Comment: t.Comment, Revision: s.c.Revision, Accepted: s.c.Clock}
	for _, o := range t.Objects {
		rec.Objects = append(rec.Objects, o.Key)
		s.c.Objects[o.Key.String()] = &ObjectRecord{Object: o, Ticket: t.Number, Revision: s.c.Revision}
	}
	s.c.PolicyRevision = s.c.Revision
	s.deployment = nil
	s.reserves = make(map[lwunit.WorkerID]lwunit.Resources)
	s.c.Tickets[t.Number] = rec
	s.trimTickets()
	return *rec
}

// trimTickets drops the lowest numbers beyond ticketsKept and refuses them
// from then on.
func (s *State) trimTickets() {
	const slack = ticketsKept / 10
	if len(s.c.Tickets) <= ticketsKept+slack {
		return
	}
	numbers := s.ticketNumbers()
	for _, n := range numbers[:len(numbers)-ticketsKept] {
		s.c.TicketFloor = max(s.c.TicketFloor, n)
		delete(s.c.Tickets, n)
	}
}

func (s *State) ticketNumbers() []lwticket.Number {
	numbers := make([]lwticket.Number, 0, len(s.c.Tickets))
	for n := range s.c.Tickets {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

// Ticket returns the record of a ticket.
func (s *State) Ticket(n lwticket.Number) (TicketRecord, bool) {
	rec, ok := s.c.Tickets[n]
	if !ok {
		return TicketRecord{}, false
	}
	return *rec, true
}

// Tickets returns the last limit tickets, newest number first.
func (s *State) Tickets(limit int) []TicketRecord {
	numbers := s.ticketNumbers()
	var list []TicketRecord
	for i := len(numbers) - 1; i >= 0 && len(list) < limit; i-- {
		list = append(list, *s.c.Tickets[numbers[i]])
	}
	return list
}

// ObjectsSince returns the objects that changed after rev, tombstones
// included, in the order of their keys.
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

// Object returns an object with its tombstone or state.
func (s *State) Object(k lwticket.Key) (ObjectRecord, bool) {
	o, ok := s.c.Objects[k.String()]
	if !ok {
		return ObjectRecord{}, false
	}
	return *o, true
}

// Service returns the state of a service: that of the region if there is one,
// else that for all regions.
func (s *State) Service(region lwunit.Region, name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	spec, ok := s.lookup(region, lwticket.KindService, string(name)).(lwticket.ServiceSpec)
	return spec, ok
}

// Team returns the state of a team.
func (s *State) Team(name lwunit.TeamName) (lwticket.TeamSpec, bool) {
	spec, ok := s.lookup("", lwticket.KindTeam, string(name)).(lwticket.TeamSpec)
	return spec, ok
}

// Deployment returns the state of the first deployment by name, or the
// default.
func (s *State) Deployment() lwticket.DeploymentSpec {
	s.cacheMu.Lock()
	defer s.cacheMu.Unlock()
	if s.deployment == nil {
		d := s.findDeployment()
		s.deployment = &d
	}
	return *s.deployment
}

func (s *State) findDeployment() lwticket.DeploymentSpec {
	first := ""
	found := lwticket.DeploymentSpec{TailWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, EvictionBudget: 12, JobRetention: lwunit.Duration(defaultJobRetention)}
	for key, o := range s.c.Objects {
		if spec, ok := o.Object.Spec.(lwticket.DeploymentSpec); ok && (first == "" || key < first) {
			first, found = key, spec
		}
	}
	return found
}

func (s *State) lookup(region lwunit.Region, kind lwticket.Kind, name string) lwticket.Spec {
	for _, r := range []lwunit.Region{region, ""} {
		if o, ok := s.c.Objects[lwticket.Key{Region: r, Kind: kind, Name: name}.String()]; ok && o.Object.Spec != nil {
			return o.Object.Spec
		}
	}
	return nil
}
