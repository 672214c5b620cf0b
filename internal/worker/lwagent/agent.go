// Package lwagent implements the agent of a worker. It admits requests to the
// backend servers on the worker's VM, keeps the tasks on the worker's platform
// as control assigned them, and reports their state to control. reconcile and
// dueReports decide as pure functions; the rest of the package does the I/O.
package lwagent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
)

const (
	syncInterval         = 2 * time.Second
	fullCPUPercent       = 100 // of a task's declared processors
	platformPollInterval = 500 * time.Millisecond
	usageInterval        = 10 * time.Second
	callTimeout          = 2 * time.Second        // of one call to the platform or to control, except where longCallTimeout applies
	longCallTimeout      = 10 * time.Second       // of a registration with control, and of one action at the platform
	watchMaxWait         = 5 * time.Second        // longest time that control holds a watch (a long poll) while nothing changes
	watchRetryDelay      = 500 * time.Millisecond // mean delay after a failed watch
	maxPolicyAge         = 15 * time.Second
	maxRequestBody       = 4 * lwunit.MiB
	maxGateConnections   = 1024
	minLeaseLeft         = 500 * time.Millisecond // with less left of the granted lease, the agent neither renews leases nor acts on control's reply
)

// leaseMargin is how long after the end of its lease on this VM's clock an attempt has
// certainly ended at the platform: the platform's clock may be slower, and a stop
// takes time.
var leaseMargin = lwlease.DefaultConfig().ExpiryDelay() - lwlease.DefaultConfig().Lease

var (
	agentSyncs      = lwmetric.Counter("agent_syncs_total")
	agentSyncErrors = lwmetric.Counter("agent_sync_errors_total")
	agentStarts     = lwmetric.Counter("agent_tasks_started_total")
	agentStops      = lwmetric.Counter("agent_tasks_stopped_total")
	agentEvictions  = lwmetric.Counter("agent_tasks_evicted_total")
)

// Config holds the settings of an agent.
type Config struct {
	Name        string
	ClusterKey  string
	Worker      lwstate.WorkerSpec // Start sets its GateAddress to the address that the gate listens on
	GateAddress string             // where entries send requests
	Platform    lwplatform.Platform
	Incarnation lwunit.Incarnation
}

// Agent is the running agent of one worker.
type Agent struct {
	cfg      Config
	log      *zap.Logger
	client   *lwlink.Client
	server   *lwhttp.Server
	runs     *lwrun.Table
	backends *backendTable
	syncDue  chan struct{}
	clock    lwclock.Clock
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu                sync.Mutex
	policy            map[lwunit.ServiceName]lwticket.ServiceSpec
	policyRevision    lwunit.Revision
	policyConfirmedAt time.Time // when the newest answered watch was sent; control confirmed the policy no earlier
	syncedAt          time.Time

	// Used by the sync loop only.
	assigned         []lwlink.Assignment
	assignedRevision lwunit.Revision                           // worker revision of assigned; 0 asks for the whole list
	reported         map[lwplatform.Attempt]lwstate.TaskEvent  // last event that control has received
	started          map[lwplatform.Attempt]bool               // started by this agent
	mayRunUntil      map[lwplatform.Attempt]time.Duration      // on clock, when an attempt has certainly ended at the platform even if no list shows it
	sentTo           map[lwplatform.Attempt]lwplatform.ClockID // clock of the platform to which this agent, and no other one, has sent the start
	missingSince     map[lwplatform.Attempt]time.Duration      // on clock, first list without an assigned attempt since one that had it
	inherits         bool                                      // the next assignments may have been started by another agent of the worker
	cpuPercent       map[lwplatform.Attempt]int                // limits that this agent has ordered

	platformClock       lwplatform.Clock // as told with the last list; 0 if the platform tells none
	platformClockID     lwplatform.ClockID
	platformClockReadAt time.Duration // on clock, when that list had arrived

	usageAt time.Time // when usage was last requested from the platform
}

// Start starts an agent. It serves entries and backend servers at the gate
// address and synchronises with control.
func Start(cfg Config, e *lwrpc.Endpoint, client *lwlink.Client, log *zap.Logger) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, log: log, client: client, runs: lwrun.NewTable(), syncDue: make(chan struct{}, 1), cancel: cancel, clock: lwclock.New(),
		policy: make(map[lwunit.ServiceName]lwticket.ServiceSpec), reported: make(map[lwplatform.Attempt]lwstate.TaskEvent),
		started: make(map[lwplatform.Attempt]bool), cpuPercent: make(map[lwplatform.Attempt]int),
		mayRunUntil: make(map[lwplatform.Attempt]time.Duration), sentTo: make(map[lwplatform.Attempt]lwplatform.ClockID), missingSince: make(map[lwplatform.Attempt]time.Duration), inherits: true,
	}
	a.backends = newBackendTable(a)
	server, err := lwhttp.Listen(lwhttp.Config{
		Name: "gate", Address: cfg.GateAddress, Handler: a.handler(), MaxBody: maxRequestBody, MaxConns: maxGateConnections,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start agent: %w", err)
	}
	a.server = server
	a.cfg.Worker.GateAddress = server.Address()
	e.Handle(lwlink.MethodNudge, a.handleNudge)
	a.done.Go(func() { a.syncLoop(ctx) })
	a.done.Go(func() { a.watchLoop(ctx) })
	a.done.Go(func() { a.backends.maintainLoop(ctx) })
	return a, nil
}

// Address returns the address of the gate.
func (a *Agent) Address() string { return a.server.Address() }

// Ready returns an error if control has not confirmed the service policy within
// maxPolicyAge.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.policyConfirmedAt) > maxPolicyAge {
		return lwfault.New(lwfault.Unavailable, "no confirmed policy for %s", maxPolicyAge)
	}
	return nil
}

// Stop withdraws the backend servers, waits for the requests in flight until
// ctx ends, and closes the gate. Tasks keep running under their leases, and the
// agent's next incarnation adopts them.
func (a *Agent) Stop(ctx context.Context) {
	a.backends.withdrawAll(ctx)
	_ = a.server.Drain(ctx)
	a.cancel()
	a.done.Wait()
	a.server.Close()
}

func (a *Agent) servicePolicy(name lwunit.ServiceName) (lwticket.ServiceSpec, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	spec, ok := a.policy[name]
	return spec, ok
}

// watchLoop keeps the service policy up to date by a long poll.
func (a *Agent) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.watchOnce(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay/2 + rand.N(watchRetryDelay)): // jittered, because many agents may have lost the same replica
			}
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context) error {
	a.mu.Lock()
	w := lwlink.Watch{Node: a.cfg.Name, Role: lwlink.RoleAgent, PolicyRevision: a.policyRevision, MaxWait: lwunit.Duration(watchMaxWait)}
	if a.policyConfirmedAt.IsZero() {
		w.MaxWait = 0 // the first answer is needed at once, changed or not
	}
	a.mu.Unlock()
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, watchMaxWait+2*callTimeout)
	defer cancel()
	update, err := a.client.Watch(call, w)
	if err != nil {
		return err
	}
	a.mu.Lock()
	for _, o := range update.Objects {
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
	a.policyRevision = update.Revision
	a.policyConfirmedAt = sentAt
	a.mu.Unlock()
	a.backends.applyPolicy()
	return nil
}
