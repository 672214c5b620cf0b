// Package lwroute chooses the backend server for a request. It does no I/O: it
// works from the backend servers in the policy, the requests that this entry has
// in flight, and the load and outcomes that come with answers. It sends no
// health checks.
package lwroute

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Policy says how a backend server is chosen.
type Policy string

// The policies. Those other than PolicyTwoChoices are baselines for benchmarks.
const (
	PolicyTwoChoices    Policy = "two_choices"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Config holds the parameters of a Router.
type Config struct {
	Domain             lwunit.FailureDomain
	Policy             Policy
	EjectAfter         int           // consecutive failures until a server is ejected
	EjectTime          time.Duration // length of the first ejection; doubles with each further one
	MaxEjectTime       time.Duration
	SlowStart          time.Duration // time until a new backend server gets its full share of requests
	PanicThreshold     float64       // share of healthy servers below which ejections are ignored
	SpillLoad          float64       // load of the better local server, as a share of its slots, from which other domains are considered
	MaxLoadAge         time.Duration // age from which a reported load is ignored
	CrossDomainDelay   time.Duration // one-way network delay between failure domains
	DefaultServiceTime time.Duration // assumed until a service time has been measured
	DefaultSlots       int           // assumed until the agent has reported the server's slots
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(d lwunit.FailureDomain) Config {
	return Config{
		Domain: d, Policy: PolicyTwoChoices, EjectAfter: 3, EjectTime: time.Second, MaxEjectTime: 30 * time.Second,
		SlowStart: 5 * time.Second, PanicThreshold: 0.3, SpillLoad: 0.8, MaxLoadAge: 500 * time.Millisecond,
		CrossDomainDelay: 3 * time.Millisecond, DefaultServiceTime: 20 * time.Millisecond, DefaultSlots: 8,
	}
}

var (
	routeEjections = lwmetric.Counter("route_ejections_total")
	routeSpills    = lwmetric.Counter("route_domain_spills_total")
	routePanics    = lwmetric.Counter("route_panics_total")
)

// Target is a backend server and the address at which entries reach it.
type Target struct {
	Backend      lwunit.BackendServerID
	Worker       lwunit.WorkerID
	Incarnation  lwunit.Incarnation
	Domain       lwunit.FailureDomain
	AgentAddress string // of the agent of its worker, which passes requests on
}

// Outcome is the result of an attempt, as far as routing needs it.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Refused          // not run, without a fault of the backend server
	Leaving          // the agent reported that the backend server is leaving or not announced there
	Failed           // no answer, a truncated one, or the backend server cannot be reached
)

// Report is the outcome of an attempt and the load that the agent reported with
// it.
type Report struct {
	Outcome     Outcome
	ServiceTime time.Duration // in the backend server; 0 if not reported
	Busy        int           // slots in use
	Queued      int           // requests that wait for a slot
	Slots       int           // 0 if the agent reported no load
}

// server is the state of one backend server.
type server struct {
	target           Target
	inFlight         int
	busy             int // last reported by the agent, like queued and slots
	queued           int
	slots            int
	reportedAt       time.Time
	inFlightAtReport int // inFlight when the load was reported
	meanServiceTime  time.Duration
	slowStartBegan   time.Time // when the server was added, or the end of its last ejection
	failures         int       // consecutive
	ejectedUntil     time.Time
	ejections        int // since its last answer
	leaving          bool
}

// Router chooses among the backend servers of one service. It is safe for
// concurrent use.
type Router struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	servers map[lwunit.BackendServerID]*server
	order   []*server // by id
	next    int       // counter for PolicyRoundRobin
}

// New returns a router without backend servers.
func New(cfg Config, seed uint64) *Router {
	return &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), servers: make(map[lwunit.BackendServerID]*server)}
}

// SetTargets replaces the list of backend servers. The state of a server is kept
// if its id and its agent's incarnation stay the same.
func (r *Router) SetTargets(list []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first := len(r.servers) == 0
	servers := make(map[lwunit.BackendServerID]*server, len(list))
	r.order = r.order[:0]
	for _, t := range list {
		s, ok := r.servers[t.Backend]
		if !ok || s.target.Incarnation != t.Incarnation {
			s = &server{target: t, slowStartBegan: now}
			if first {
				s.slowStartBegan = now.Add(-r.cfg.SlowStart) // no server was known before, so all are equally new and none starts slowly
			}
		}
		s.target = t
		servers[t.Backend] = s
		r.order = append(r.order, s)
	}
	r.servers = servers
	sort.Slice(r.order, func(i, j int) bool { return r.order[i].target.Backend < r.order[j].target.Backend })
}

// TargetCount returns the number of backend servers.
func (r *Router) TargetCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

// Pick chooses a backend server and counts a request as in flight there. The
// caller must call Done when the attempt has ended. Servers in tried are chosen
// only if there is no other.
func (r *Router) Pick(tried []lwunit.BackendServerID) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := r.candidates(now, tried)
	if len(list) == 0 {
		return Target{}, false
	}
	s := r.choose(now, list)
	s.inFlight++
	return s.target, true
}

// candidates returns the servers that may be chosen. If too few are healthy, the
// cause is more likely this entry or the network than so many servers, and the
// ejections are ignored.
func (r *Router) candidates(now time.Time, tried []lwunit.BackendServerID) []*server {
	var healthy, ejected, lastResort []*server
	for _, s := range r.order {
		switch {
		case s.leaving:
		case contains(tried, s.target.Backend):
			lastResort = append(lastResort, s)
		case now.Before(s.ejectedUntil):
			ejected = append(ejected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	untried := len(healthy) + len(ejected)
	if untried > 0 && float64(len(healthy)) < r.cfg.PanicThreshold*float64(untried) {
		routePanics.Add(1)
		return append(healthy, ejected...)
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(ejected) > 0 {
		return ejected
	}
	return lastResort
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
	case PolicyLeastInFlight:
		return r.leastInFlight(list)
	default:
		return r.twoChoices(now, list)
	}
}

func (r *Router) leastInFlight(list []*server) *server {
	best := list[r.rng.IntN(len(list))]
	for _, s := range list {
		if s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

// twoChoices returns the better of two random servers of this failure domain, or
// of other domains if this one has none. If the local one's load is at least
// SpillLoad, the better of two random servers of other domains is chosen instead
// when its expected time is shorter by more than the round trip between domains.
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
		return r.betterOfTwo(now, remote)
	}
	best := r.betterOfTwo(now, local)
	if len(remote) == 0 || r.load(now, best) < r.cfg.SpillLoad {
		return best
	}
	bestRemote := r.betterOfTwo(now, remote)
	if r.expectedTime(now, bestRemote)+2*r.cfg.CrossDomainDelay < r.expectedTime(now, best) {
		routeSpills.Add(1)
		return bestRemote
	}
	return best
}

// betterOfTwo draws two servers and returns the one with the shorter expected
// time.
func (r *Router) betterOfTwo(now time.Time, list []*server) *server {
	a := list[r.rng.IntN(len(list))]
	b := list[r.rng.IntN(len(list))]
	if r.expectedTime(now, b) < r.expectedTime(now, a) {
		return b
	}
	return a
}

// load returns the expected use of a server's slots, 1 for all. It is the load
// that the agent reported last, less the requests that this entry had in flight
// there at that time, plus those it has in flight now. A report older than
// MaxLoadAge is ignored. During a slow start the load is scaled up, so that the
// server gets fewer requests.
func (r *Router) load(now time.Time, s *server) float64 {
	slots := r.slots(s)
	otherEntries := 0
	if now.Sub(s.reportedAt) < r.cfg.MaxLoadAge {
		otherEntries = max(0, s.busy+s.queued-s.inFlightAtReport)
	}
	return float64(otherEntries+s.inFlight) / float64(slots) / r.slowStartShare(now, s)
}

func (r *Router) slots(s *server) int {
	if s.slots > 0 {
		return s.slots
	}
	return r.cfg.DefaultSlots
}

// slowStartShare rises from 0.1 to 1 during the slow start of a server.
func (r *Router) slowStartShare(now time.Time, s *server) float64 {
	age := now.Sub(s.slowStartBegan)
	if age >= r.cfg.SlowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(r.cfg.SlowStart))
}

// expectedTime estimates how long a request takes at a server: its mean service
// time and the wait that its load implies. The small term of the load prefers the
// less loaded of two servers that both have free slots.
func (r *Router) expectedTime(now time.Time, s *server) time.Duration {
	mean := s.meanServiceTime
	if mean == 0 {
		mean = r.cfg.DefaultServiceTime
	}
	load := r.load(now, s)
	wait := max(0, load-1+1/float64(r.slots(s)))
	return time.Duration(float64(mean) * (1 + wait + 0.1*load))
}

// Done ends an attempt at a server that Pick returned.
func (r *Router) Done(id lwunit.BackendServerID, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	now := time.Now()
	if report.Slots > 0 {
		s.busy, s.queued, s.slots, s.reportedAt, s.inFlightAtReport = report.Busy, report.Queued, report.Slots, now, s.inFlight
	}
	switch report.Outcome {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.recordServiceTime(report.ServiceTime)
	case Leaving:
		s.leaving = true
	case Failed:
		r.recordFailure(now, s)
	case Refused:
	}
}

// recordServiceTime updates the moving mean of the service time.
func (s *server) recordServiceTime(serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
	}
	s.meanServiceTime += (serviceTime - s.meanServiceTime) / 16
}

// recordFailure ejects a server after EjectAfter consecutive failures. Until the
// server answers again, each ejection is twice as long as the last, up to
// MaxEjectTime.
func (r *Router) recordFailure(now time.Time, s *server) {
	s.failures++
	if s.failures < r.cfg.EjectAfter {
		return
	}
	s.failures = 0
	duration := min(r.cfg.EjectTime<<min(s.ejections, 10), r.cfg.MaxEjectTime)
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.slowStartBegan = s.ejectedUntil // after the ejection it starts slowly again
	routeEjections.Add(1)
}

// ServiceTargets returns the backend servers of a service that are not leaving,
// whose worker's agent is known and whose failure domain is not evacuated. agents
// gives the failure domain and the agent's address of each worker.
func ServiceTargets(list []lwstate.BackendServer, service lwunit.ServiceName, agents map[lwunit.WorkerID]Target, evacuated []lwunit.FailureDomain) []Target {
	var targets []Target
	for _, b := range list {
		agent, ok := agents[b.Worker]
		if b.Service != service || b.Leaving || !ok || slices.Contains(evacuated, agent.Domain) {
			continue
		}
		targets = append(targets, Target{Backend: b.ID, Worker: b.Worker, Incarnation: b.Incarnation, Domain: agent.Domain, AgentAddress: agent.AgentAddress})
	}
	return targets
}
