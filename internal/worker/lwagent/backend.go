package lwagent

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/worker/lwgate"
)

const (
	longestAnnouncement = 5 * time.Minute
	defaultAnnouncement = 15 * time.Second
	expireInterval      = 500 * time.Millisecond
	idleConnections     = 8
	dialTimeout         = time.Second
)

var (
	backendsAnnounced = lwmetric.Counter("agent_backend_servers_announced_total")
	backendsExpired   = lwmetric.Counter("agent_backend_servers_expired_total")
)

// backend is one announced backend server.
type backend struct {
	id      lwunit.BackendServerID
	service lwunit.ServiceName
	address string
	gate    *lwgate.Gate
	client  *http.Client

	mu       sync.Mutex
	expires  time.Time
	leaving  bool
	known    bool // control has this announcement
	finished int  // since the last signal
	late     int
	signalAt time.Time
}

// backends is the table of announced backend servers.
type backends struct {
	agent *Agent
	mu    sync.RWMutex
	byID  map[lwunit.BackendServerID]*backend
	dirty chan struct{}
}

func newBackends(a *Agent) *backends {
	return &backends{agent: a, byID: make(map[lwunit.BackendServerID]*backend), dirty: make(chan struct{}, 1)}
}

func (b *backends) get(id lwunit.BackendServerID) (*backend, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s, ok := b.byID[id]
	return s, ok
}

func (b *backends) all() []*backend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*backend, 0, len(b.byID))
	for _, s := range b.byID {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// announce adds a backend server or renews its announcement.
func (b *backends) announce(id lwunit.BackendServerID, service lwunit.ServiceName, address string, lease time.Duration) error {
	if id == "" || service == "" || address == "" {
		return lwfault.New(lwfault.Invalid, "id, service and address are required")
	}
	if lease <= 0 {
		lease = defaultAnnouncement
	}
	expires := time.Now().Add(min(lease, longestAnnouncement))
	b.mu.Lock()
	s, ok := b.byID[id]
	if ok && (s.service != service || s.address != address) {
		ok = false // another server took the name; the old one is gone
	}
	if !ok {
		s = b.newBackend(id, service, address)
		b.byID[id] = s
		backendsAnnounced.Add(1)
	}
	b.mu.Unlock()
	s.mu.Lock()
	leaving := s.leaving
	s.expires = expires
	s.mu.Unlock()
	if leaving {
		return lwfault.New(lwfault.Conflict, "backend server %s is leaving", id)
	}
	b.wake()
	return nil
}

func (b *backends) newBackend(id lwunit.BackendServerID, service lwunit.ServiceName, address string) *backend {
	limits := lwgate.Limits{}
	connections := 1
	if spec, ok := b.agent.service(service); ok {
		limits = lwgate.Limits{Slots: spec.Slots, Queue: spec.Queue}
		connections = spec.Connections
	}
	transport := &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute,
		ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10, DisableCompression: true,
	}
	return &backend{id: id, service: service, address: address, gate: lwgate.New(limits), client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// applyPolicy puts the limits of the present policy in force. A service that
// no ticket creates has no slots.
func (b *backends) applyPolicy() {
	for _, s := range b.all() {
		spec, _ := b.agent.service(s.service)
		s.gate.SetLimits(lwgate.Limits{Slots: spec.Slots, Queue: spec.Queue})
		if t, ok := s.client.Transport.(*http.Transport); ok && spec.Connections > 0 && t.MaxConnsPerHost != spec.Connections {
			b.replaceTransport(s, spec.Connections)
		}
	}
}

// replaceTransport changes the connection limit; requests in flight finish on
// the old transport, so the sum is bounded by slots meanwhile.
func (b *backends) replaceTransport(s *backend, connections int) {
	old := s.client.Transport.(*http.Transport)
	next := old.Clone()
	next.MaxConnsPerHost = connections
	s.mu.Lock()
	s.client = &http.Client{Transport: next, CheckRedirect: noRedirect}
	s.mu.Unlock()
	old.CloseIdleConnections()
}

func (s *backend) httpClient() *http.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// withdraw makes a backend server leave: the gate refuses at once, control is
// told, and what is in flight finishes. The channel is closed when it has.
func (b *backends) withdraw(id lwunit.BackendServerID) (<-chan struct{}, error) {
	s, ok := b.get(id)
	if !ok {
		return nil, lwfault.New(lwfault.NotFound, "backend server %s is not announced", id)
	}
	idle := s.gate.Drain()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	b.wake()
	return idle, nil
}

// leaveAll withdraws every backend server and tells control before it returns.
func (b *backends) leaveAll(ctx context.Context) {
	for _, s := range b.all() {
		if _, err := b.withdraw(s.id); err == nil {
			b.tell(ctx, s)
		}
	}
}

func (b *backends) wake() {
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

func (b *backends) announceAgain() {
	for _, s := range b.all() {
		s.mu.Lock()
		s.known = false
		s.mu.Unlock()
	}
	b.wake()
}

// expireLoop tells control of changes and drops servers that stopped renewing
// their announcement.
func (b *backends) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.dirty:
		}
		for _, s := range b.all() {
			b.expire(s)
			b.tell(ctx, s)
		}
	}
}

func (b *backends) expire(s *backend) {
	s.mu.Lock()
	due := !s.leaving && time.Now().After(s.expires)
	s.mu.Unlock()
	if !due {
		return
	}
	backendsExpired.Add(1)
	b.agent.log.Warn("backend server stopped renewing its announcement", zap.String("backend_server", string(s.id)))
	_, _ = b.withdraw(s.id)
}

// tell brings control's record of a backend server up to date.
func (b *backends) tell(ctx context.Context, s *backend) {
	s.mu.Lock()
	known, leaving := s.known, s.leaving
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	inc := b.agent.cfg.Incarnation
	switch {
	case leaving:
		if _, err := b.agent.client.Propose(call, lwstate.WithdrawBackend{ID: s.id, Incarnation: inc}); err != nil {
			return
		}
		if load := s.gate.Load(); load.Busy+load.Queued == 0 {
			b.remove(s)
		}
	case !known:
		server := lwstate.BackendServer{ID: s.id, Service: s.service, Worker: b.agent.cfg.Worker.ID, Incarnation: inc}
		if _, err := b.agent.client.Propose(call, lwstate.AnnounceBackend{Server: server}); err != nil {
			return
		}
		s.mu.Lock()
		s.known = true
		s.mu.Unlock()
		b.agent.log.Info("backend server announced", zap.String("backend_server", string(s.id)), zap.String("service", string(s.service)))
	}
}

func (b *backends) remove(s *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[s.id] == s {
		delete(b.byID, s.id)
	}
}

// finish counts a finished request for the next signal.
func (s *backend) finish(spent, target time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished++
	if target > 0 && spent > target {
		s.late++
	}
}

// signals returns what was seen of each service since the last call.
func (b *backends) signals() []lwlink.ServiceSignal {
	var list []lwlink.ServiceSignal
	for _, s := range b.all() {
		load := s.gate.Load()
		s.mu.Lock()
		sig := lwlink.ServiceSignal{Service: s.service, Requests: s.finished, Late: s.late, Busy: load.Busy, Queued: load.Queued}
		if !s.signalAt.IsZero() {
			sig.Window = lwunit.Duration(time.Since(s.signalAt))
		}
		s.finished, s.late, s.signalAt = 0, 0, time.Now()
		s.mu.Unlock()
		if sig.Requests+sig.Busy+sig.Queued > 0 {
			list = append(list, sig)
		}
	}
	return list
}
