// Package lwagent is the role beside a backend server: it gates the server's
// slots, keeps the worker's tasks as control assigned them, and reports what
// it sees. Its decisions are pure functions; this package carries them out.
package lwagent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
)

const (
	syncInterval     = 2 * time.Second
	fullSpeed        = 100 // percent
	platformPoll     = 500 * time.Millisecond
	usageInterval    = 10 * time.Second
	callTimeout      = 2 * time.Second
	proposeTimeout   = 10 * time.Second
	watchWait        = 5 * time.Second
	watchRetry       = 500 * time.Millisecond
	freshnessBound   = 15 * time.Second
	bodyLimit        = 4 * lwunit.MiB
	gateConnections  = 1024
	minimalLeaseLeft = 500 * time.Millisecond
)

var (
	agentSyncs      = lwmetric.Counter("agent_syncs_total")
	agentSyncErrors = lwmetric.Counter("agent_sync_errors_total")
	agentStarts     = lwmetric.Counter("agent_tasks_started_total")
	agentStops      = lwmetric.Counter("agent_tasks_stopped_total")
	agentEvictions  = lwmetric.Counter("agent_tasks_evicted_total")
)

// Config sets up an agent.
type Config struct {
	Name        string
	ClusterKey  string
	Worker      lwstate.WorkerSpec // Gate is filled in from GateAddress
	GateAddress string             // where entries send requests
	Platform    lwplatform.Platform
	Incarnation lwunit.Incarnation
}

// Agent is a running agent.
type Agent struct {
	cfg      Config
	log      *zap.Logger
	client   *lwlink.Client
	server   *lwhttp.Server
	runs     *lwrun.Table
	backends *backends
	nudged   chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	policy   map[lwunit.ServiceName]lwticket.ServiceSpec
	revision lwunit.Revision
	freshAt  time.Time
	syncedAt time.Time

	// Used by the sync loop only.
	assigned  []lwlink.Assignment
	known     lwunit.Revision
	told      map[lwplatform.Attempt]lwstate.TaskEvent
	started   map[lwplatform.Attempt]bool
	throttled map[lwplatform.Attempt]int
	usageAt   time.Time
}

// Start begins to serve entries, backend servers and control.
func Start(cfg Config, e *lwrpc.Endpoint, client *lwlink.Client, log *zap.Logger) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, log: log, client: client, runs: lwrun.NewTable(), nudged: make(chan struct{}, 1), cancel: cancel,
		policy: make(map[lwunit.ServiceName]lwticket.ServiceSpec), told: make(map[lwplatform.Attempt]lwstate.TaskEvent),
		started: make(map[lwplatform.Attempt]bool), throttled: make(map[lwplatform.Attempt]int),
	}
	a.backends = newBackends(a)
	server, err := lwhttp.Listen(lwhttp.Config{
		Name: "gate", Address: cfg.GateAddress, Handler: a.handler(), MaxBody: bodyLimit, MaxConns: gateConnections,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start agent: %w", err)
	}
	a.server = server
	a.cfg.Worker.Gate = server.Address()
	e.Handle(lwlink.MethodNudge, a.onNudge)
	a.done.Go(func() { a.syncLoop(ctx) })
	a.done.Go(func() { a.watchLoop(ctx) })
	a.done.Go(func() { a.backends.expireLoop(ctx) })
	return a, nil
}

// Address returns the address of the gate.
func (a *Agent) Address() string { return a.server.Address() }

// Ready reports whether the agent acts on fresh policy.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.freshAt) > freshnessBound {
		return lwfault.New(lwfault.Unavailable, "no confirmed policy for %s", freshnessBound)
	}
	return nil
}

// Stop withdraws the backend servers, lets what is in flight finish and closes.
// Tasks go on under their leases; the next agent adopts them.
func (a *Agent) Stop(ctx context.Context) {
	a.backends.leaveAll(ctx)
	_ = a.server.Drain(ctx)
	a.cancel()
	a.done.Wait()
	a.server.Close()
}

func (a *Agent) service(name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	spec, ok := a.policy[name]
	return spec, ok
}

// watchLoop keeps the service policy fresh.
func (a *Agent) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.watchOnce(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetry/2 + rand.N(watchRetry)): // jittered: many may have lost one replica
			}
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context) error {
	a.mu.Lock()
	w := lwlink.Watch{Node: a.cfg.Name, Role: lwlink.RoleAgent, Policy: a.revision, MaxWait: lwunit.Duration(watchWait)}
	if a.freshAt.IsZero() {
		w.MaxWait = 0 // the first answer is needed at once, changed or not
	}
	a.mu.Unlock()
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+2*callTimeout)
	defer cancel()
	p, err := a.client.Watch(call, w)
	if err != nil {
		return err
	}
	a.mu.Lock()
	for _, o := range p.Objects {
		if o.Object.Key.Kind != lwticket.KindService || (o.Object.Key.Region != "" && o.Object.Key.Region != a.cfg.Worker.Region) {
			continue
		}
		name := lwunit.ServiceName(o.Object.Key.Name)
		if spec, ok := o.Object.Spec.(lwticket.ServiceSpec); ok {
			a.policy[name] = spec
		} else {
			delete(a.policy, name)
		}
	}
	a.revision = p.Revision
	a.freshAt = asked
	a.mu.Unlock()
	a.backends.applyPolicy()
	return nil
}
