package lwagent

import (
	"context"
	"net/http"
	"slices"
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
	maxAnnouncementLease     = 5 * time.Minute
	defaultAnnouncementLease = 15 * time.Second
	maintainInterval         = 500 * time.Millisecond
	maxIdleConnections       = 8
	dialTimeout              = time.Second
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

	mu           sync.Mutex
	expiresAt    time.Time
	withdrawn    bool
	announced    bool // control has recorded the announcement
	removed      bool // control has recorded the withdrawal
	finished     int  // requests since the last signal
	late         int  // of these, over the service's tail target
	lastSignalAt time.Time
}

// backendTable holds the announced backend servers.
type backendTable struct {
	agent    *Agent
	mu       sync.RWMutex
	byID     map[lwunit.BackendServerID]*backend
	replaced []*backend // former servers of an id whose requests may be in flight
	changed  chan struct{}
}

func newBackendTable(a *Agent) *backendTable {
	return &backendTable{agent: a, byID: make(map[lwunit.BackendServerID]*backend), changed: make(chan struct{}, 1)}
}

func (b *backendTable) get(id lwunit.BackendServerID) (*backend, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s, ok := b.byID[id]
	return s, ok
}

func (b *backendTable) all() []*backend {
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
func (b *backendTable) announce(id lwunit.BackendServerID, service lwunit.ServiceName, address string, lease time.Duration) error {
	if id == "" || service == "" || address == "" {
		return lwfault.New(lwfault.Invalid, "id, service and address are required")
	}
	if lease <= 0 {
		lease = defaultAnnouncementLease
	}
	expiresAt := time.Now().Add(min(lease, maxAnnouncementLease))
	s, err := b.find(id, service, address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	withdrawn := s.withdrawn
	s.expiresAt = expiresAt
	s.mu.Unlock()
	if withdrawn {
		return lwfault.New(lwfault.Conflict, "backend server %s has been withdrawn", id)
	}
	b.signalChange()
	return nil
}

// find returns the backend server of an announcement, added if it is unknown. An announcement is no
// evidence that what was announced before under the same id or at the same address has ended: such a
// server gets no more requests, and the new one is refused while requests at its own address are in
// flight, since their slots are in use.
func (b *backendTable) find(id lwunit.BackendServerID, service lwunit.ServiceName, address string) (*backend, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.byID[id]; ok && s.service == service && s.address == address {
		return s, nil
	}
	b.replaced = slices.DeleteFunc(b.replaced, (*backend).idle)
	busy := slices.ContainsFunc(b.replaced, func(s *backend) bool { return s.address == address })
	for _, s := range b.byID {
		if s.address == address {
			s.withdraw()
			busy = busy || !s.idle()
		}
	}
	if busy {
		return nil, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "requests at the server that was announced before at " + address + " are in flight", RetryAfter: time.Second}
	}
	if s, ok := b.byID[id]; ok {
		s.withdraw()
		b.replaced = append(b.replaced, s)
	}
	s := b.newBackend(id, service, address)
	b.byID[id] = s
	backendsAnnounced.Add(1)
	return s, nil
}

// withdraw makes the gate refuse new requests. The channel is closed when those in flight have
// finished.
func (s *backend) withdraw() <-chan struct{} {
	idle := s.gate.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = true
	return idle
}

// idle reports whether no request is in flight or in the queue.
func (s *backend) idle() bool {
	load := s.gate.Load()
	return load.Busy+load.Queued == 0
}

func (b *backendTable) newBackend(id lwunit.BackendServerID, service lwunit.ServiceName, address string) *backend {
	limits := lwgate.Limits{}
	connections := 1
	if spec, ok := b.agent.servicePolicy(service); ok {
		limits = lwgate.Limits{Slots: spec.Slots, Queue: spec.Queue}
		connections = spec.Connections
	}
	transport := &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute,
		ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10, DisableCompression: true,
	}
	return &backend{id: id, service: service, address: address, gate: lwgate.New(limits), client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// applyPolicy applies the limits of the current service policy. A service that
// no ticket has created has no slots.
func (b *backendTable) applyPolicy() {
	for _, s := range b.all() {
		spec, _ := b.agent.servicePolicy(s.service)
		s.gate.SetLimits(lwgate.Limits{Slots: spec.Slots, Queue: spec.Queue})
		if t, ok := s.client.Transport.(*http.Transport); ok && spec.Connections > 0 && t.MaxConnsPerHost != spec.Connections {
			b.replaceTransport(s, spec.Connections)
		}
	}
}

// replaceTransport changes the connection limit. Requests in flight finish on
// the old transport; until then only the slots bound the total of connections.
func (b *backendTable) replaceTransport(s *backend, connections int) {
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

// withdraw withdraws a backend server: its gate refuses new requests at once,
// and maintainLoop reports the withdrawal to control. The channel is closed when
// the requests in flight have finished.
func (b *backendTable) withdraw(id lwunit.BackendServerID) (<-chan struct{}, error) {
	s, ok := b.get(id)
	if !ok {
		return nil, lwfault.New(lwfault.NotFound, "backend server %s is not announced", id)
	}
	idle := s.withdraw()
	b.signalChange()
	return idle, nil
}

// withdrawAll withdraws every backend server and makes one attempt to report
// each withdrawal to control.
func (b *backendTable) withdrawAll(ctx context.Context) {
	for _, s := range b.all() {
		if _, err := b.withdraw(s.id); err == nil {
			b.updateControl(ctx, s)
		}
	}
}

func (b *backendTable) signalChange() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *backendTable) announceAgain() {
	for _, s := range b.all() {
		s.mu.Lock()
		s.announced = false
		s.mu.Unlock()
	}
	b.signalChange()
}

// maintainLoop reports changes to control and withdraws the backend servers
// whose announcement has expired.
func (b *backendTable) maintainLoop(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.changed:
		}
		for _, s := range b.all() {
			b.expire(s)
			b.updateControl(ctx, s)
		}
	}
}

func (b *backendTable) expire(s *backend) {
	s.mu.Lock()
	due := !s.withdrawn && time.Now().After(s.expiresAt)
	s.mu.Unlock()
	if !due {
		return
	}
	backendsExpired.Add(1)
	b.agent.log.Warn("announcement of the backend server has expired", zap.String("backend_server", string(s.id)))
	_, _ = b.withdraw(s.id)
}

// updateControl reports a backend server's announcement or withdrawal to
// control, if that is due. A withdrawn server is removed when it is idle.
func (b *backendTable) updateControl(ctx context.Context, s *backend) {
	s.mu.Lock()
	announced, withdrawn, removed := s.announced, s.withdrawn, s.removed
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	inc := b.agent.cfg.Incarnation
	switch {
	case withdrawn:
		if !removed {
			if _, err := b.agent.client.Propose(call, lwstate.WithdrawBackend{ID: s.id, Incarnation: inc}); err != nil {
				return
			}
			s.mu.Lock()
			s.removed = true
			s.mu.Unlock()
		}
		if s.idle() {
			b.remove(s)
		}
	case !announced:
		server := lwstate.BackendServer{ID: s.id, Service: s.service, Worker: b.agent.cfg.Worker.ID, Incarnation: inc}
		if _, err := b.agent.client.Propose(call, lwstate.AnnounceBackend{Server: server}); err != nil {
			return
		}
		s.mu.Lock()
		s.announced = true
		s.mu.Unlock()
		b.agent.log.Info("backend server announced", zap.String("backend_server", string(s.id)), zap.String("service", string(s.service)))
	}
}

func (b *backendTable) remove(s *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[s.id] == s {
		delete(b.byID, s.id)
	}
}

// countRequest counts a finished request for the next signal.
func (s *backend) countRequest(latency, target time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished++
	if target > 0 && latency > target {
		s.late++
	}
}

// takeSignals returns the request counts and the load of each backend server
// and starts a new counting window. Servers without requests are left out.
func (b *backendTable) takeSignals() []lwlink.ServiceSignal {
	var list []lwlink.ServiceSignal
	for _, s := range b.all() {
		load := s.gate.Load()
		s.mu.Lock()
		sig := lwlink.ServiceSignal{Service: s.service, Requests: s.finished, Late: s.late, Busy: load.Busy, Queued: load.Queued}
		if !s.lastSignalAt.IsZero() {
			sig.Window = lwunit.Duration(time.Since(s.lastSignalAt))
		}
		s.finished, s.late, s.lastSignalAt = 0, 0, time.Now()
		s.mu.Unlock()
		if sig.Requests+sig.Busy+sig.Queued > 0 {
			list = append(list, sig)
		}
	}
	return list
}
