// Package lwentry implements the role of entry VMs: it passes callers' requests
// to backend servers and serves the administration API. It stores nothing:
// control keeps the policy and the claims.
package lwentry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
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
	watchMaxWait         = 5 * time.Second        // longest time that control holds a watch (a long poll) while nothing changes
	watchTimeoutMargin   = 4 * time.Second        // added to watchMaxWait for the timeout of the call
	watchRetryDelay      = 500 * time.Millisecond // mean delay after a failed watch
	maxPolicyAge         = 15 * time.Second       // an entry with an older policy is not ready
	defaultDrainDelay    = 2 * time.Second
	maxIdleConnsPerAgent = 32
	maxBodyBytes         = 4 * lwunit.MiB
	maxConns             = 8192
	dialTimeout          = time.Second
	longestSaneDelay     = time.Hour
)

var (
	entryCompleted         = lwmetric.Counter("entry_outcome_completed_total")
	entryNotRun            = lwmetric.Counter("entry_outcome_not_run_total")
	entryUnknown           = lwmetric.Counter("entry_outcome_unknown_total")
	entryRetries           = lwmetric.Counter("entry_retries_total")
	entryRetriesOverBudget = lwmetric.Counter("entry_retries_over_budget_total")
	entryReplayed          = lwmetric.Counter("entry_replayed_answers_total")
	entryTruncated         = lwmetric.Counter("entry_truncated_answers_total")
	entryLatency           = lwmetric.NewHistogram("entry_request_latency")
)

// Config sets up an entry.
type Config struct {
	Name                string
	Region              lwunit.Region
	Domain              lwunit.FailureDomain
	Address             string
	ClusterKey          string
	OperatorTokenSHA256 string // digest of an operator token that needs no ticket; empty for none
	Routing             lwroute.Policy
	DrainDelay          time.Duration                                                        // how long Stop keeps serving after readiness is off, for the balancer to notice
	MaxConnsPerAddress  int                                                                  // maximum connections from one IP address; 0 means no limit
	DialAgent           func(ctx context.Context, network, address string) (net.Conn, error) // to agents; nil for a net.Dialer with dialTimeout
	Seed                uint64
}

// Entry is a running entry.
type Entry struct {
	cfg         Config
	log         *zap.Logger
	control     *lwlink.Client
	server      *lwhttp.Server
	agentClient *http.Client
	cancel      context.CancelFunc
	background  sync.WaitGroup
	draining    atomic.Bool

	policy   atomic.Pointer[policy]
	services serviceTable
	teams    teamInFlight
	broken   brokenAttempts
}

// teamInFlight counts the requests in flight of each team. It is sharded to
// reduce lock contention.
type teamInFlight struct {
	shards [shardCount]teamShard
}

type teamShard struct {
	mu       sync.Mutex
	counters map[lwunit.TeamName]*atomic.Int64
}

func (t *teamInFlight) counter(name lwunit.TeamName) *atomic.Int64 {
	shard := &t.shards[shardOf(string(name))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.counters == nil {
		shard.counters = make(map[lwunit.TeamName]*atomic.Int64)
	}
	if shard.counters[name] == nil {
		shard.counters[name] = new(atomic.Int64)
	}
	return shard.counters[name]
}

func shardOf(name string) uint64 { return xxhash.Sum64String(name) % shardCount }

// policy is the state that control last confirmed. A stored policy is never
// changed, since requests read it without a lock.
type policy struct {
	objects         map[lwticket.Key]lwstate.ObjectRecord
	revision        lwunit.Revision // of objects
	backendRevision lwunit.Revision
	backends        []lwstate.BackendServer
	agents          map[lwunit.WorkerID]lwroute.Target // failure domain and agent address of each worker; Backend and Incarnation are empty
	evacuated       []lwunit.FailureDomain
	grants          map[string]grant // by the SHA-256 digest of the token
	clock           lwunit.Millis
	confirmedAt     time.Time // when the watch was sent; control confirmed the policy no earlier
}

// grant is the team and role that a token stands for.
type grant struct {
	team lwunit.TeamName
	role lwticket.Role
}

// serviceTable holds the routing state of each service. It is sharded to reduce
// lock contention.
type serviceTable struct {
	shards [shardCount]serviceShard
}

const shardCount = 8

type serviceShard struct {
	mu       sync.Mutex
	services map[lwunit.ServiceName]*serviceState
}

// serviceState is the routing state of one service at this entry.
type serviceState struct {
	router   *lwroute.Router
	budget   *lwroute.RetryBudget
	inFlight atomic.Int64
}

func (s *serviceTable) get(name lwunit.ServiceName, create func() *serviceState) *serviceState {
	shard := &s.shards[shardOf(string(name))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.services == nil {
		shard.services = make(map[lwunit.ServiceName]*serviceState)
	}
	if shard.services[name] == nil {
		shard.services[name] = create()
	}
	return shard.services[name]
}

func (s *serviceTable) each(f func(lwunit.ServiceName, *serviceState)) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name, state := range shard.services {
			f(name, state)
		}
		shard.mu.Unlock()
	}
}

// Start starts an entry. It is not ready until it has received a policy that a
// quorum of control confirmed.
func Start(cfg Config, client *lwlink.Client, log *zap.Logger) (*Entry, error) {
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = defaultDrainDelay
	}
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.DialAgent == nil {
		cfg.DialAgent = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	e := &Entry{
		cfg: cfg, log: log, control: client, cancel: cancel,
		agentClient: &http.Client{Transport: &http.Transport{
			DialContext: cfg.DialAgent, MaxIdleConnsPerHost: maxIdleConnsPerAgent, IdleConnTimeout: time.Minute,
			DisableCompression: true, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10,
		}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	e.policy.Store(&policy{objects: make(map[lwticket.Key]lwstate.ObjectRecord), grants: make(map[string]grant)})
	server, err := lwhttp.Listen(lwhttp.Config{
		Name: "entry", Address: cfg.Address, Handler: e.handler(), MaxBody: maxBodyBytes, MaxConns: maxConns, MaxPerAddress: cfg.MaxConnsPerAddress,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start entry: %w", err)
	}
	e.server = server
	e.background.Go(func() { e.watchPolicy(ctx) })
	return e, nil
}

// CloseIdle closes the idle connections to agents.
func (e *Entry) CloseIdle() { e.agentClient.CloseIdleConnections() }

// Address returns the address that callers use.
func (e *Entry) Address() string { return e.server.Address() }

// Ready returns the reason why the balancer should not send callers here, or
// nil.
func (e *Entry) Ready() error {
	p := e.policy.Load()
	switch {
	case e.draining.Load():
		return lwfault.New(lwfault.Unavailable, "this entry is leaving")
	case p.confirmedAt.IsZero():
		return lwfault.New(lwfault.Unavailable, "no confirmed policy yet")
	case time.Since(p.confirmedAt) > maxPolicyAge:
		return lwfault.New(lwfault.Unavailable, "no confirmed policy for %s", time.Since(p.confirmedAt).Round(time.Second))
	default:
		return nil
	}
}

// Stop turns readiness off, keeps serving for the drain delay so that the
// balancer can move callers away, waits for requests in flight and closes the
// listener. Requests that are still in flight when ctx ends are cut off.
func (e *Entry) Stop(ctx context.Context) {
	e.draining.Store(true)
	select {
	case <-time.After(e.cfg.DrainDelay):
	case <-ctx.Done():
	}
	if err := e.server.Drain(ctx); err != nil {
		e.log.Warn("requests in flight were cut off", zap.Error(err))
	}
	e.cancel()
	e.background.Wait()
	e.server.Close()
}

// watchPolicy refreshes the policy until ctx ends.
func (e *Entry) watchPolicy(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.refreshPolicy(ctx); err != nil {
			e.log.Debug("policy refresh failed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay/2 + rand.N(watchRetryDelay)): // jittered, since many entries may have lost the same replica
			}
		}
	}
}

func (e *Entry) refreshPolicy(ctx context.Context) error {
	old := e.policy.Load()
	watch := lwlink.Watch{
		Node: e.cfg.Name, Role: lwlink.RoleEntry, PolicyRevision: old.revision, BackendRevision: old.backendRevision,
		MaxWait: lwunit.Duration(watchMaxWait), ObeysEvacuations: true,
	}
	if old.confirmedAt.IsZero() {
		watch.MaxWait = 0 // the entry is not ready before the first answer, so control must not hold it
	}
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, watchMaxWait+watchTimeoutMargin)
	defer cancel()
	update, err := e.control.Watch(callCtx, watch)
	if err != nil {
		return fmt.Errorf("watch policy: %w", err)
	}
	next := merge(old, update)
	next.confirmedAt = sentAt
	if old.confirmedAt.IsZero() {
		e.log.Info("policy confirmed", zap.Uint64("revision", uint64(next.revision)))
	}
	e.policy.Store(next)
	e.updateTargets(next)
	return nil
}

// merge returns the old policy with the changes of an update; old itself is not
// changed, since requests may still read it.
func merge(old *policy, update lwlink.WatchReply) *policy {
	next := *old
	next.revision, next.clock = update.Revision, update.Clock
	if len(update.Objects) > 0 {
		next.objects = make(map[lwticket.Key]lwstate.ObjectRecord, len(old.objects)+len(update.Objects))
		for k, o := range old.objects {
			next.objects[k] = o
		}
		for _, o := range update.Objects {
			next.objects[o.Object.Key] = o
		}
		next.grants = tokenGrants(next.objects)
	}
	if update.BackendRevision != old.backendRevision {
		next.backendRevision, next.backends, next.evacuated = update.BackendRevision, update.Backends, update.Evacuated
		next.agents = make(map[lwunit.WorkerID]lwroute.Target, len(update.Workers))
		for _, w := range update.Workers {
			next.agents[w.Worker] = lwroute.Target{Worker: w.Worker, Domain: w.Domain, AgentAddress: w.GateAddress}
		}
	}
	return &next
}

// tokenGrants returns the grants by token digest. Of several grants of one token the
// last one counts, in the order of the objects' keys, so that all entries agree.
func tokenGrants(objects map[lwticket.Key]lwstate.ObjectRecord) map[string]grant {
	keys := slices.SortedFunc(maps.Keys(objects), func(a, b lwticket.Key) int { return strings.Compare(a.String(), b.String()) })
	grants := make(map[string]grant)
	for _, k := range keys {
		team, ok := objects[k].Object.Spec.(lwticket.TeamSpec)
		if !ok {
			continue
		}
		for _, t := range team.Tokens {
			grants[t.Digest()] = grant{lwunit.TeamName(k.Name), t.Role}
		}
	}
	return grants
}

// updateTargets passes the backend servers of a policy to the router of each
// service that was requested at this entry.
func (e *Entry) updateTargets(p *policy) {
	e.services.each(func(name lwunit.ServiceName, s *serviceState) {
		s.router.SetTargets(p.targets(name))
	})
}

func (e *Entry) service(name lwunit.ServiceName) *serviceState {
	return e.services.get(name, func() *serviceState {
		cfg := lwroute.DefaultConfig(e.cfg.Domain)
		if e.cfg.Routing != "" {
			cfg.Policy = e.cfg.Routing
		}
		p := e.policy.Load()
		r := lwroute.New(cfg, e.cfg.Seed)
		r.SetTargets(p.targets(name))
		return &serviceState{router: r, budget: lwroute.NewRetryBudget()}
	})
}

// targets returns the backend servers to which requests for a service may be sent.
func (p *policy) targets(name lwunit.ServiceName) []lwroute.Target {
	return lwroute.ServiceTargets(p.backends, name, p.agents, p.evacuated)
}

// noTargetFault is the answer while there is no backend server to which requests for a
// service may be sent.
func (p *policy) noTargetFault(name lwunit.ServiceName) error {
	detail := "no backend server of " + string(name) + " is announced"
	if len(p.evacuated) > 0 && len(lwroute.ServiceTargets(p.backends, name, p.agents, nil)) > 0 {
		detail = "all backend servers of " + string(name) + " are in evacuated failure domains"
	}
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: detail, RetryAfter: time.Second}
}

// teamSpec returns the spec of a team. An unknown team has the zero spec, which
// sets no limit.
func (p *policy) teamSpec(name lwunit.TeamName) lwticket.TeamSpec {
	spec, _ := p.objects[lwticket.Key{Kind: lwticket.KindTeam, Name: string(name)}].Object.Spec.(lwticket.TeamSpec)
	return spec
}

// serviceSpec returns the spec of a service: the one for this region, or else
// the one for all regions.
func (p *policy) serviceSpec(region lwunit.Region, name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	for _, r := range []lwunit.Region{region, ""} {
		o, ok := p.objects[lwticket.Key{Region: r, Kind: lwticket.KindService, Name: string(name)}]
		if spec, isService := o.Object.Spec.(lwticket.ServiceSpec); ok && isService {
			return spec, true
		}
	}
	return lwticket.ServiceSpec{}, false
}
