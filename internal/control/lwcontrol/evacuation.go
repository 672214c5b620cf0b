package lwcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	// knowledgeTimeout is for the answers of members to whether they know evacuations. It
	// leaves time for the commit within the 600 ms that a client waits for the leader.
	knowledgeTimeout = 200 * time.Millisecond
	// knowledgeSilence is the time without an answer after which a member is not asked.
	knowledgeSilence = time.Second
	// knowledgeRetryAfter is for orders that are refused because of an older member.
	knowledgeRetryAfter = time.Second
)

var (
	evacuationsSet   = lwmetric.Counter("evacuations_total") // changes, restorings included
	evacuatedDomains = lwmetric.Counter("evacuated_domains") // a gauge of the leader
	startsWithdrawn  = lwmetric.Counter("starts_withdrawn_by_evacuation_total")
)

// Evacuations says which failure domains operators may evacuate.
type Evacuations struct {
	Agreed    bool                   // false refuses all orders as for domains that do not exist
	OfWorkers bool                   // those of the registered workers, on which all backend servers are; Domains is not used
	Domains   []lwunit.FailureDomain // all that exist; empty takes any name for one
}

func (e Evacuations) check(s *lwstate.State, d lwunit.FailureDomain) error {
	exists := d != ""
	switch {
	case !e.Agreed:
		exists = false
	case e.OfWorkers:
		exists = exists && slices.ContainsFunc(domainStatuses(s), func(x lwlink.DomainStatus) bool { return x.Name == d })
	case len(e.Domains) > 0:
		exists = exists && slices.Contains(e.Domains, d)
	}
	if !exists {
		return lwfault.New(lwfault.NotFound, "there is no failure domain %q that may be evacuated", d)
	}
	return nil
}

// domainStatuses returns the failure domains of the registered workers, and those that
// were ever evacuated, in order of their names.
func domainStatuses(s *lwstate.State) []lwlink.DomainStatus {
	byName := make(map[lwunit.FailureDomain]*lwlink.DomainStatus)
	add := func(name lwunit.FailureDomain) *lwlink.DomainStatus {
		if byName[name] == nil {
			byName[name] = &lwlink.DomainStatus{Name: name, Record: s.Evacuations()[name]}
		}
		return byName[name]
	}
	for name := range s.Evacuations() {
		add(name)
	}
	s.EachWorker(func(w *lwstate.Worker) {
		if w.Spec.Domain == "" {
			return
		}
		d := add(w.Spec.Domain)
		d.Workers++
		d.Tasks += len(s.TasksOnWorker(w.Spec.ID))
		s.EachBackendOn(w.Spec.ID, func(lwstate.BackendServer) { d.Backends++ })
	})
	list := make([]lwlink.DomainStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// evacuation returns the record of a domain, under the leader's lease.
func (n *Node) evacuation(_ context.Context, r *replica, _ *lwrpc.Session, domain lwunit.FailureDomain) (lwevacuation.Record, error) {
	if err := n.dispatcher.lockAsLeader(r); err != nil {
		return lwevacuation.Record{}, err
	}
	defer n.dispatcher.mu.Unlock()
	var rec lwevacuation.Record
	var err error
	r.read(func(s *lwstate.State) { rec, err = s.Evacuations()[domain], n.cfg.Evacuations.check(s, domain) })
	if err != nil {
		return lwevacuation.Record{}, err
	}
	if !r.stillLeads(n.dispatcher.term) {
		return lwevacuation.Record{}, lwfault.New(lwfault.NotLeader, "leadership was lost")
	}
	return rec, nil
}

// setEvacuation carries out an operator's order and returns the record then in force. It
// answers without an error only once the order is committed, or if the domain already is
// as asked.
func (n *Node) setEvacuation(ctx context.Context, r *replica, _ *lwrpc.Session, o lwevacuation.Order) (lwevacuation.Record, error) {
	rec, outcome, err := n.carryOutEvacuation(ctx, r, o)
	fields := []zap.Field{zap.String("by", o.By), zap.String("domain", string(o.Domain)), zap.Bool("evacuate", o.Evacuate)}
	if err != nil {
		n.log.Warn("evacuation", append(fields, zap.String("outcome", string(lwfault.KindOf(err))), zap.Uint64("expected", uint64(o.Expected)), zap.Error(err))...)
		return rec, err
	}
	if outcome == lwevacuation.Changed {
		evacuationsSet.Add(1)
	}
	n.log.Info("evacuation", append(fields, zap.String("outcome", string(outcome)), zap.Uint64("revision", uint64(rec.Revision)))...)
	return rec, nil
}

func (n *Node) carryOutEvacuation(ctx context.Context, r *replica, o lwevacuation.Order) (lwevacuation.Record, lwevacuation.Outcome, error) {
	rec, err := n.evacuation(ctx, r, nil, o.Domain)
	if err != nil {
		return rec, "", err
	}
	if rec.Evacuated == o.Evacuate {
		return rec, lwevacuation.Unchanged, nil
	}
	if err := n.checkMembersKnowEvacuations(ctx, r.currentView(), r.id); err != nil {
		return rec, "", err
	}
	res, err := n.commit(ctx, r, lwstate.SetEvacuation{Order: o})
	switch {
	case err != nil:
		return res.Evacuation, "", err
	case res.Fresh:
		return res.Evacuation, lwevacuation.Changed, nil
	default:
		return res.Evacuation, lwevacuation.Unchanged, nil
	}
}

// memberKnowledge is what a member of the group has answered, if it has.
type memberKnowledge uint8

const (
	memberSilent memberKnowledge = iota
	memberKnows
	memberOlder // its version does not know evacuations
)

// checkMembersKnowEvacuations refuses an order while it could end replicas: one of an older
// version ends at a committed command that it does not know, and again after each
// restart. Members that have answered are not asked again.
func (n *Node) checkMembersKnowEvacuations(ctx context.Context, v view, self lwunit.ReplicaID) error {
	answers := map[lwunit.ReplicaID]memberKnowledge{self: memberKnows}
	var ask []string
	n.mu.RLock()
	for _, m := range v.progress {
		switch {
		case m.member.ID == self:
		case n.knowEvacuations[m.member.ID]:
			answers[m.member.ID] = memberKnows
		case m.sinceAnswer < knowledgeSilence:
			ask = append(ask, m.member.Address)
		}
	}
	n.mu.RUnlock()
	if len(ask) > 0 {
		call, cancel := context.WithTimeout(ctx, knowledgeTimeout)
		defer cancel()
		statuses, _ := n.statusesOf(call, ask) // the error is of one that did not answer
		n.noteKnowledge(statuses, answers)
	}
	return checkKnowledge(v.membership, answers)
}

// noteKnowledge adds what members have answered.
func (n *Node) noteKnowledge(statuses []statusResult, answers map[lwunit.ReplicaID]memberKnowledge) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, st := range statuses {
		if !st.KnowsEvacuations {
			answers[st.Replica] = memberOlder
			continue
		}
		answers[st.Replica] = memberKnows
		if n.knowEvacuations == nil {
			n.knowEvacuations = make(map[lwunit.ReplicaID]bool)
		}
		n.knowEvacuations[st.Replica] = true
	}
}

// checkKnowledge returns an error if a member is of an older version, or if no quorum is
// known to be able to apply the command. Silent members do not stop an evacuation: a
// domain may be evacuated because its machines fail.
func checkKnowledge(m lwreplica.Membership, answers map[lwunit.ReplicaID]memberKnowledge) error {
	refuse := func(format string, args ...any) error {
		f := lwfault.New(lwfault.Unavailable, format, args...)
		f.RetryAfter = knowledgeRetryAfter // so that the client passes the refusal on
		return f
	}
	knowing := 0
	for _, x := range m.Members() {
		switch answers[x.ID] {
		case memberOlder:
			return refuse("replica %s at %s is of a version that does not know evacuations", x.ID, x.Address)
		case memberKnows:
			if m.IsVoter(x.ID) {
				knowing++
			}
		case memberSilent:
		}
	}
	if knowing < m.Quorum() {
		return refuse("%d of %d voters have answered that they know evacuations", knowing, len(m.Voters))
	}
	return nil
}

// applyEvacuation tells the core of a committed order. The caller holds mu.
func (d *dispatcher) applyEvacuation(s *lwstate.State, domain lwunit.FailureDomain) {
	withdrawn := d.core.SetEvacuations(s.Evacuations())
	startsWithdrawn.Add(int64(withdrawn))
	evacuatedDomains.Set(int64(d.core.EvacuatedDomains()))
	if rec := s.Evacuations()[domain]; rec.Evacuated {
		d.logEvacuation(domain, rec, withdrawn)
	}
}

// noteEvacuations logs the evacuations that a new term begins with. The caller holds mu.
func (d *dispatcher) noteEvacuations(t lwevacuation.Table) {
	evacuatedDomains.Set(int64(d.core.EvacuatedDomains()))
	for _, domain := range t.Domains() {
		d.logEvacuation(domain, t[domain], 0)
	}
}

func (d *dispatcher) logEvacuation(domain lwunit.FailureDomain, rec lwevacuation.Record, withdrawn int) {
	d.node.log.Info("evacuation_in_force", zap.String("domain", string(domain)), zap.Uint64("revision", uint64(rec.Revision)), zap.Int64("at", int64(rec.At)), zap.String("by", rec.By),
		zap.Uint64("term", uint64(d.term)), zap.Int("starts_withdrawn", withdrawn))
}
