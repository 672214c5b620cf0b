// Package lwentry is the role on entry VMs: it takes callers' requests and the
// administration API, and keeps no state of its own that must survive.
package lwentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const (
	watchWait        = 5 * time.Second
	watchSlack       = 4 * time.Second
	watchRetry       = 500 * time.Millisecond
	freshnessBound   = 15 * time.Second
	drainNotice      = 2 * time.Second
	idleToAgent      = 32
	bodyLimit        = 4 * lwunit.MiB
	maxConns         = 8192
	dialTimeout      = time.Second
	longestSaneDelay = time.Hour
)

var (
	entryCompleted = lwmetric.Counter("entry_outcome_completed_total")
	entryNotRun    = lwmetric.Counter("entry_outcome_not_run_total")
	entryUnknown   = lwmetric.Counter("entry_outcome_unknown_total")
	entryRetries   = lwmetric.Counter("entry_retries_total")
	entryNoBudget  = lwmetric.Counter("entry_retries_over_budget_total")
	entryReplayed  = lwmetric.Counter("entry_replayed_answers_total")
	entryTruncated = lwmetric.Counter("entry_truncated_answers_total")
	entryLatency   = lwmetric.NewHistogram("entry_request_latency")
)

// Config sets up an entry.
type Config struct {
	Name           string
	Region         lwunit.Region
	Domain         lwunit.FailureDomain
	Address        string
	ClusterKey     string
	OperatorSHA256 string // digest of a token that is an operator before any ticket
	Routing        lwroute.Policy
	DrainNotice    time.Duration                                                        // between readiness off and the listener closing
	PerAddress     int                                                                  // connections from one IP address; 0 is no limit
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // to agents; nil for the network's own
	Seed           uint64
}

// Entry is a running entry.
type Entry struct {
	cfg      Config
	log      *zap.Logger
	client   *lwlink.Client
	server   *lwhttp.Server
	agents   *http.Client
	cancel   context.CancelFunc
	done     sync.WaitGroup
	draining atomic.Bool

	policy   atomic.Pointer[policy]
	services services
	teams    teamCounts
}

// teamCounts counts requests in flight by team, in shards.
type teamCounts struct {
	shards [serviceShards]teamShard
}

type teamShard struct {
	mu sync.Mutex
	m  map[lwunit.TeamName]*atomic.Int64
}

func (t *teamCounts) count(name lwunit.TeamName) *atomic.Int64 {
	shard := &t.shards[shardOf(string(name))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.m == nil {
		shard.m = make(map[lwunit.TeamName]*atomic.Int64)
	}
	if shard.m[name] == nil {
		shard.m[name] = new(atomic.Int64)
	}
	return shard.m[name]
}

func shardOf(name string) uint64 { return xxhash.Sum64String(name) % serviceShards }

// policy is what control last confirmed.
type policy struct {
	objects         map[lwticket.Key]lwstate.ObjectRecord
	revision        lwunit.Revision
	backendRevision lwunit.Revision
	backends        []lwstate.BackendServer
	gates           map[lwunit.WorkerID]lwroute.Target
	tokens          map[string]grant // by SHA-256
	clock           lwunit.Millis
	freshAt         time.Time
}

// grant is what a token allows.
type grant struct {
	team lwunit.TeamName
	role lwticket.Role
}

// services holds what this entry knows of each service, in shards.
type services struct {
	shards [serviceShards]serviceShard
}

const serviceShards = 8

type serviceShard struct {
	mu sync.Mutex
	m  map[lwunit.ServiceName]*service
}

// service is the routing state of one service.
type service struct {
	router   *lwroute.Router
	budget   *lwroute.Budget
	inFlight atomic.Int64
}

func (s *services) get(name lwunit.ServiceName, fresh func() *service) *service {
	shard := &s.shards[shardOf(string(name))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.m == nil {
		shard.m = make(map[lwunit.ServiceName]*service)
	}
	if shard.m[name] == nil {
		shard.m[name] = fresh()
	}
	return shard.m[name]
}

func (s *services) each(f func(lwunit.ServiceName, *service)) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name, sv := range shard.m {
			f(name, sv)
		}
		shard.mu.Unlock()
	}
}

// Start begins to serve. The entry is not ready before it has a policy that a
// quorum confirmed.
func Start(cfg Config, client *lwlink.Client, log *zap.Logger) (*Entry, error) {
	if cfg.DrainNotice == 0 {
		cfg.DrainNotice = drainNotice
	}
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	e := &Entry{
		cfg: cfg, log: log, client: client, cancel: cancel,
		agents: &http.Client{Transport: &http.Transport{
			DialContext: cfg.Dial, MaxIdleConnsPerHost: idleToAgent, IdleConnTimeout: time.Minute,
			DisableCompression: true, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10,
		}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	e.policy.Store(&policy{objects: make(map[lwticket.Key]lwstate.ObjectRecord), tokens: make(map[string]grant)})
	server, err := lwhttp.Listen(lwhttp.Config{
		Name: "entry", Address: cfg.Address, Handler: e.handler(), MaxBody: bodyLimit, MaxConns: maxConns, MaxPerAddress: cfg.PerAddress,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start entry: %w", err)
	}
	e.server = server
	e.done.Go(func() { e.watchLoop(ctx) })
	return e, nil
}

// CloseIdle closes unused connections to agents.
func (e *Entry) CloseIdle() { e.agents.CloseIdleConnections() }

// Address returns the address that callers use.
func (e *Entry) Address() string { return e.server.Address() }

// Ready reports why the balancer should not send callers here.
func (e *Entry) Ready() error {
	p := e.policy.Load()
	switch {
	case e.draining.Load():
		return lwfault.New(lwfault.Unavailable, "this entry is leaving")
	case p.freshAt.IsZero():
		return lwfault.New(lwfault.Unavailable, "no confirmed policy yet")
	case time.Since(p.freshAt) > freshnessBound:
		return lwfault.New(lwfault.Unavailable, "no confirmed policy for %s", time.Since(p.freshAt).Round(time.Second))
	default:
		return nil
	}
}

// Stop turns readiness off, gives the balancer time to see it, lets requests
// in flight finish and closes the listener.
func (e *Entry) Stop(ctx context.Context) {
	e.draining.Store(true)
	select {
	case <-time.After(e.cfg.DrainNotice):
	case <-ctx.Done():
	}
	if err := e.server.Drain(ctx); err != nil {
		e.log.Warn("requests in flight were cut off", zap.Error(err))
	}
	e.cancel()
	e.done.Wait()
	e.server.Close()
}

// watchLoop keeps the policy fresh.
func (e *Entry) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.watchOnce(ctx); err != nil {
			e.log.Debug("policy not refreshed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(watchRetry/2 + rand.N(watchRetry)): // jittered: many may have lost one replica
			}
		}
	}
}

func (e *Entry) watchOnce(ctx context.Context) error {
	old := e.policy.Load()
	w := lwlink.Watch{
		Node: e.cfg.Name, Role: lwlink.RoleEntry, Policy: old.revision, Backends: old.backendRevision,
		MaxWait: lwunit.Duration(watchWait),
	}
	if old.freshAt.IsZero() {
		w.MaxWait = 0 // the first answer is needed at once, changed or not
	}
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	p, err := e.client.Watch(call, w)
	if err != nil {
		return fmt.Errorf("watch policy: %w", err)
	}
	next := merge(old, p)
	next.freshAt = asked
	if old.freshAt.IsZero() {
		e.log.Info("policy confirmed", zap.Uint64("revision", uint64(next.revision)))
	}
	e.policy.Store(next)
	e.retarget(next)
	return nil
}

// merge returns the policy after an answer; old is not changed, since requests
// may still read it.
func merge(old *policy, p lwlink.Policy) *policy {
	next := *old
	next.revision, next.clock = p.Revision, p.Clock
	if len(p.Objects) > 0 {
		next.objects = make(map[lwticket.Key]lwstate.ObjectRecord, len(old.objects)+len(p.Objects))
		for k, o := range old.objects {
			next.objects[k] = o
		}
		for _, o := range p.Objects {
			next.objects[o.Object.Key] = o
		}
		next.tokens = tokensOf(next.objects)
	}
	if p.BackendRevision != old.backendRevision {
		next.backendRevision, next.backends = p.BackendRevision, p.Backends
		next.gates = make(map[lwunit.WorkerID]lwroute.Target, len(p.Workers))
		for _, w := range p.Workers {
			next.gates[w.Worker] = lwroute.Target{Worker: w.Worker, Domain: w.Domain, Gate: w.Gate}
		}
	}
	return &next
}

func tokensOf(objects map[lwticket.Key]lwstate.ObjectRecord) map[string]grant {
	tokens := make(map[string]grant)
	for k, o := range objects {
		team, ok := o.Object.Spec.(lwticket.TeamSpec)
		if !ok {
			continue
		}
		for _, t := range team.Tokens {
			tokens[t.SHA256] = grant{lwunit.TeamName(k.Name), t.Role}
		}
	}
	return tokens
}

// retarget gives each service in use its present backend servers.
func (e *Entry) retarget(p *policy) {
	e.services.each(func(name lwunit.ServiceName, s *service) {
		s.router.SetTargets(lwroute.FromBackends(p.backends, name, p.gates))
	})
}

func (e *Entry) service(name lwunit.ServiceName) *service {
	return e.services.get(name, func() *service {
		cfg := lwroute.DefaultConfig(e.cfg.Domain)
		if e.cfg.Routing != "" {
			cfg.Policy = e.cfg.Routing
		}
		p := e.policy.Load()
		r := lwroute.New(cfg, e.cfg.Seed)
		r.SetTargets(lwroute.FromBackends(p.backends, name, p.gates))
		return &service{router: r, budget: lwroute.NewBudget()}
	})
}

// team returns the state of a team; the zero value sets no limit.
func (p *policy) team(name lwunit.TeamName) lwticket.TeamSpec {
	spec, _ := p.objects[lwticket.Key{Kind: lwticket.KindTeam, Name: string(name)}].Object.Spec.(lwticket.TeamSpec)
	return spec
}

// service returns the state of a service: of this region, else of all.
func (p *policy) service(region lwunit.Region, name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	for _, r := range []lwunit.Region{region, ""} {
		o, ok := p.objects[lwticket.Key{Region: r, Kind: lwticket.KindService, Name: string(name)}]
		if spec, is := o.Object.Spec.(lwticket.ServiceSpec); ok && is {
			return spec, true
		}
	}
	return lwticket.ServiceSpec{}, false
}
