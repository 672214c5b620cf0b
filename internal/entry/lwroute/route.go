// Package lwroute chooses the backend server for a request. It is a core
// without I/O: it knows what control announced, what this entry has in flight
// and what agents told with their answers, and it needs no traffic of its own.
package lwroute

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Policy says how a backend server is chosen.
type Policy string

// The policies. All but PolicyDefault serve as baselines for measurement.
const (
	PolicyDefault    Policy = "two_choices"
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round_robin"
	PolicyLeast      Policy = "least_in_flight"
)

// Config tunes a router.
type Config struct {
	Domain       lwunit.FailureDomain
	Policy       Policy
	EjectAfter   int           // failures in a row
	EjectTime    time.Duration // first ejection; doubles with each that follows
	EjectLongest time.Duration
	SlowStart    time.Duration // time in which a new backend server reaches its full share
	PanicShare   float64       // below this share of usable servers, ejection is ignored
	SpillAt      float64       // load of the best local server, in slots, from which others are considered
	LoadLifetime time.Duration // how long what an agent told of its load is believed
	CrossDomain  time.Duration // one way; the price of leaving the domain
	TypicalTime  time.Duration // service time assumed until one was seen
	TypicalSlots int           // slots assumed until an agent told them
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(d lwunit.FailureDomain) Config {
	return Config{
		Domain: d, Policy: PolicyDefault, EjectAfter: 3, EjectTime: time.Second, EjectLongest: 30 * time.Second,
		SlowStart: 5 * time.Second, PanicShare: 0.3, SpillAt: 0.8, LoadLifetime: 500 * time.Millisecond,
		CrossDomain: 3 * time.Millisecond, TypicalTime: 20 * time.Millisecond, TypicalSlots: 8,
	}
}

var (
	routeEjections = lwmetric.Counter("route_ejections_total")
	routeSpills    = lwmetric.Counter("route_domain_spills_total")
	routePanics    = lwmetric.Counter("route_panics_total")
)

// Target is a backend server and how to reach it.
type Target struct {
	Backend     lwunit.BackendServerID
	Worker      lwunit.WorkerID
	Incarnation lwunit.Incarnation
	Domain      lwunit.FailureDomain
	Gate        string // address of its agent
}

// Outcome is what became of an attempt, as far as routing cares.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Refused          // by the agent, for load
	Leaving          // the agent said that the server is leaving or not there
	Failed           // no answer, or the backend server failed
)

// Report is what an attempt showed.
type Report struct {
	Outcome Outcome
	Spent   time.Duration // in the backend server
	Busy    int           // load that the agent told; Slots is 0 when it told none
	Queued  int
	Slots   int
}

type server struct {
	target   Target
	inFlight int
	busy     int // told by the agent
	queued   int
	slots    int
	toldAt   time.Time
	ownTold  int // own requests in flight when it was told
	mean     time.Duration
	since    time.Time // when it became usable
	failures int
	ejected  time.Time // until when
	ejects   int
	leaving  bool
}

// Router chooses among the backend servers of one service. It is safe for
// concurrent use.
type Router struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	servers map[lwunit.BackendServerID]*server
	order   []*server
	next    int
}

// New returns a router without servers.
func New(cfg Config, seed uint64) *Router {
	return &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), servers: make(map[lwunit.BackendServerID]*server)}
}

// SetTargets replaces the list of backend servers; what is known of those
// that stay is kept.
func (r *Router) SetTargets(list []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first := len(r.servers) == 0
	keep := make(map[lwunit.BackendServerID]*server, len(list))
	r.order = r.order[:0]
	for _, t := range list {
		s, ok := r.servers[t.Backend]
		if !ok || s.target.Incarnation != t.Incarnation {
			s = &server{target: t, since: now}
			if first {
				s.since = now.Add(-r.cfg.SlowStart) // at start every server is as warm as the others
			}
		}
		s.target = t
		keep[t.Backend] = s
		r.order = append(r.order, s)
	}
	r.servers = keep
	sort.Slice(r.order, func(i, j int) bool { return r.order[i].target.Backend < r.order[j].target.Backend })
}

// Targets returns the number of known backend servers.
func (r *Router) Targets() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

// Pick chooses a backend server and counts a request in flight there; Done
// must follow. Servers in avoid were tried before and are taken only when
// there is no other.
func (r *Router) Pick(avoid []lwunit.BackendServerID) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := r.usable(now, avoid)
	if len(list) == 0 {
		return Target{}, false
	}
	s := r.choose(now, list)
	s.inFlight++
	return s.target, true
}

// usable returns the servers that may be chosen. When too few are left the
// ejections are more likely a fault of this entry or of the network than of so
// many servers, and are ignored.
func (r *Router) usable(now time.Time, avoid []lwunit.BackendServerID) []*server {
	var healthy, ejected, tried []*server
	for _, s := range r.order {
		switch {
		case s.leaving:
		case contains(avoid, s.target.Backend):
			tried = append(tried, s)
		case now.Before(s.ejected):
			ejected = append(ejected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	all := len(healthy) + len(ejected)
	if all > 0 && float64(len(healthy)) < r.cfg.PanicShare*float64(all) {
		routePanics.Add(1)
		return append(healthy, ejected...)
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(ejected) > 0 {
		return ejected
	}
	return tried
}

func contains(list []lwunit.BackendServerID, id lwunit.BackendServerID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func (r *Router) choose(now time.Time, list []*server) *server {
	switch r.cfg.Policy {
	case PolicyRandom:
		return list[r.rng.IntN(len(list))]
	case PolicyRoundRobin:
		r.next++
		return list[r.next%len(list)]
	case PolicyLeast:
		return r.least(list)
	default:
		return r.twoChoices(now, list)
	}
}

func (r *Router) least(list []*server) *server {
	best := list[r.rng.IntN(len(list))]
	for _, s := range list {
		if s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

// twoChoices takes the better of two servers of this domain, and of two from
// elsewhere when the local one is loaded enough to pay for the distance.
func (r *Router) twoChoices(now time.Time, list []*server) *server {
	var local, remote []*server
	for _, s := range list {
		if s.target.Domain == r.cfg.Domain {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	if len(local) == 0 {
		return r.better(now, remote)
	}
	best := r.better(now, local)
	if len(remote) == 0 || r.load(now, best) < r.cfg.SpillAt {
		return best
	}
	other := r.better(now, remote)
	if r.cost(now, other)+2*r.cfg.CrossDomain < r.cost(now, best) {
		routeSpills.Add(1)
		return other
	}
	return best
}

func (r *Router) better(now time.Time, list []*server) *server {
	a := list[r.rng.IntN(len(list))]
	b := list[r.rng.IntN(len(list))]
	if r.cost(now, b) < r.cost(now, a) {
		return b
	}
	return a
}

// load is the expected use of a server's slots: what the agent told last, less
// what this entry had there then, plus what it has there now.
func (r *Router) load(now time.Time, s *server) float64 {
	slots := r.slots(s)
	others := 0
	if now.Sub(s.toldAt) < r.cfg.LoadLifetime {
		others = max(0, s.busy+s.queued-s.ownTold)
	}
	return float64(others+s.inFlight) / float64(slots) / r.share(now, s)
}

func (r *Router) slots(s *server) int {
	if s.slots > 0 {
		return s.slots
	}
	return r.cfg.TypicalSlots
}

// share rises from a tenth to one while a server is new.
func (r *Router) share(now time.Time, s *server) float64 {
	age := now.Sub(s.since)
	if age >= r.cfg.SlowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(r.cfg.SlowStart))
}

// cost is the time a request is expected to take there.
func (r *Router) cost(now time.Time, s *server) time.Duration {
	mean := s.mean
	if mean == 0 {
		mean = r.cfg.TypicalTime
	}
	load := r.load(now, s)
	wait := max(0, load-1+1/float64(r.slots(s)))
	return time.Duration(float64(mean) * (1 + wait + 0.1*load))
}

// Done ends an attempt that Pick began.
func (r *Router) Done(id lwunit.BackendServerID, rep Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	now := time.Now()
	if rep.Slots > 0 {
		s.busy, s.queued, s.slots, s.toldAt, s.ownTold = rep.Busy, rep.Queued, rep.Slots, now, s.inFlight
	}
	switch rep.Outcome {
	case Answered:
		s.failures, s.ejects = 0, 0
		s.note(rep.Spent)
	case Leaving:
		s.leaving = true
	case Failed:
		r.fail(now, s)
	case Refused:
	}
}

func (s *server) note(spent time.Duration) {
	if spent <= 0 {
		return
	}
	if s.mean == 0 {
		s.mean = spent
	}
	s.mean += (spent - s.mean) / 16
}

// fail ejects a server after several failures in a row, for longer each time.
func (r *Router) fail(now time.Time, s *server) {
	s.failures++
	if s.failures < r.cfg.EjectAfter {
		return
	}
	s.failures = 0
	pause := min(r.cfg.EjectTime<<min(s.ejects, 10), r.cfg.EjectLongest)
	s.ejects++
	s.ejected = now.Add(pause)
	s.since = s.ejected // it returns with a small share
	routeEjections.Add(1)
}

// FromBackends returns the targets of a service.
func FromBackends(list []lwstate.BackendServer, service lwunit.ServiceName, gates map[lwunit.WorkerID]Target) []Target {
	var targets []Target
	for _, b := range list {
		gate, ok := gates[b.Worker]
		if b.Service != service || b.Leaving || !ok {
			continue
		}
		targets = append(targets, Target{Backend: b.ID, Worker: b.Worker, Incarnation: b.Incarnation, Domain: gate.Domain, Gate: gate.Gate})
	}
	return targets
}
