package lwnode

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/control/lwcontrol"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/entry/lwintake"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwrunner"
	"lavenderweir.example/lavenderweir/platform"
)

// controlDrainTimeout is how long a stop waits for requests at the control address:
// operators' are answered within a second or retried at another process, and the
// worker beside an agent sends only heartbeats and its deregistration.
const controlDrainTimeout = time.Second

// hosted holds the role of a process that runs on a provider's VM; it has one.
type hosted struct {
	client  *lwlink.Client
	intake  *lwintake.Intake
	runner  *lwrunner.Runner
	relay   *lwcontrol.Relay
	server  *lwhttp.Server // at the control address: for operators, or for the worker beside an agent
	metrics *lwhttp.Server // serves counters and histograms
	cancel  context.CancelFunc
}

func (n *Node) startHosted() error {
	h := n.settings.Hosted
	n.hosted = &hosted{client: lwlink.NewClient(n.endpoint, h.ControlAddresses())}
	if address := h.MetricsAddress(); address != "" {
		var err error
		if n.hosted.metrics, err = lwhttp.Listen(lwhttp.Config{Name: "metrics", Address: address, Handler: expvar.Handler()}); err != nil {
			return err
		}
	}
	switch h.Role {
	case lwsetting.HostedEntry:
		return n.startIntake(h)
	case lwsetting.HostedControl:
		return n.startHostedControl(h)
	default:
		return n.startRunner(h)
	}
}

func (n *Node) startIntake(h *lwsetting.Hosted) error {
	var err error
	n.hosted.intake, err = lwintake.Start(lwintake.Config{
		Name: n.settings.Name, Address: h.CallersAddress, ReadinessAddress: h.ReadinessAddress,
		Handler: platform.JobsHandler(n.hosted.client), ReadyHandler: platform.ReadyHandler,
	}, n.hosted.client, n.log)
	return err
}

func (n *Node) startHostedControl(h *lwsetting.Hosted) error {
	if h.DataFolder != "" {
		var err error
		var advisor lwcontrol.Advisor
		if h.AdviceAddress != "" {
			advisor = platform.NewAdviceClient(h.AdviceAddress)
		}
		n.control, err = lwcontrol.Start(lwcontrol.Config{
			Name: n.settings.Name, Address: h.RPCAddress(), Domain: n.settings.FailureDomain, Folder: h.DataFolder, SnapshotSize: h.SnapshotSize,
			Seeds: h.ControlAddresses(), JoinOnly: !h.Bootstrap, Voters: h.Voters(), Lease: lwlease.DefaultConfig(), Placement: lwplacement.DefaultConfig(),
			Evacuations: lwcontrol.Evacuations{Agreed: h.Bounds.Evacuation > 0, Domains: h.FailureDomains},
			Dispatch:    dispatchConfig(h), Advisor: advisor, Seed: rand.Uint64(),
		}, n.endpoint, n.log)
		if err != nil {
			return err
		}
	} else {
		n.hosted.relay = lwcontrol.StartRelay(lwcontrol.RelayConfig{
			Address: h.RPCAddress(), Seeds: h.ControlAddresses(), Voters: h.Voters(), Bootstrap: h.Bootstrap,
		}, n.endpoint, n.hosted.client, n.log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.hosted.cancel = cancel
	lwcontrol.HandleAnnouncements(n.endpoint, n.hosted.client)
	go n.followLeader(ctx)
	var err error
	n.hosted.server, err = lwhttp.Listen(lwhttp.Config{Name: "operators", Address: h.ControlAddress, Handler: platform.OperatorHandler(n.hosted.client)})
	return err
}

const (
	followInterval = 500 * time.Millisecond
	followTimeout  = 900 * time.Millisecond
)

// followLeader keeps the client's leader up to date, so that operators' requests go
// to it directly, and adds the replicas that the leader names. A process with a
// replica also announces the leader and the replicas to the other control processes
// that it knows.
func (n *Node) followLeader(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		if n.control != nil {
			n.control.Announce(ctx, n.hosted.client.Addresses())
		}
		call, cancel := context.WithTimeout(ctx, followTimeout)
		err := n.hosted.client.ProbeLeader(call)
		cancel()
		if answered := err == nil; answered != reachable && ctx.Err() == nil {
			reachable = answered
			n.log.Info("leader", zap.Bool("reached", answered), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(followInterval):
		}
	}
}

func dispatchConfig(h *lwsetting.Hosted) lwdispatch.Config {
	cfg, b := lwdispatch.DefaultConfig(), h.Bounds
	cfg.Admission = h.Admission
	cfg.LoadControl, cfg.InterruptionLoss = h.LoadControl(), b.InterruptionLoss()
	cfg.Lease, cfg.MaxWorkerLease = min(cfg.Lease, b.MaxLease.Std()), b.MaxLease.Std()
	if b.Evacuation > 0 {
		// An agent that is cut off may start tasks until its lease ends. The rest of the
		// bound is for the clocks and for a start on its way to the worker.
		cfg.Lease = min(cfg.Lease, b.Evacuation.Std()*4/5)
	}
	cfg.ColdOverage, cfg.ColdSlack = b.ColdOverage, b.ColdSlack
	if b.OffRackSlowdown > 0 {
		cfg.OffRackSlowdown = b.OffRackSlowdown
	}
	if b.MaxTimeOverTarget > 0 {
		cfg.MaxTimeOverTarget = b.MaxTimeOverTarget.Std()
	}
	return cfg
}

func (n *Node) startRunner(h *lwsetting.Hosted) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.hosted.cancel = cancel
	n.hosted.runner = lwrunner.New(n.settings.Name, platform.NewWorkerClient(h.WorkerAddress), n.hosted.client, n.log)
	n.endpoint.Handle(lwlink.MethodOrders, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwlink.AgentOrders](params)
		if err != nil {
			return nil, err
		}
		n.hosted.runner.HandleOrders(ctx, m)
		return nil, nil
	})
	var err error
	if n.hosted.server, err = lwhttp.Listen(lwhttp.Config{Name: "registry", Address: h.ControlAddress, Handler: platform.RegistryHandler(n.hosted.runner)}); err != nil {
		cancel()
		return err
	}
	go n.hosted.runner.Run(ctx)
	return nil
}

// stop stops the role gracefully. It cuts off requests that are left when ctx ends,
// and those at the control address after controlDrainTimeout already.
func (h *hosted) stop(ctx context.Context, log *zap.Logger) {
	if h.intake != nil {
		h.intake.Stop(ctx)
	}
	if h.server != nil {
		call, cancel := context.WithTimeout(ctx, controlDrainTimeout)
		if err := h.server.Drain(call); err != nil {
			log.Warn("requests cut off", zap.Error(err))
		}
		cancel()
		h.server.Close()
	}
	if h.metrics != nil {
		h.metrics.Close()
	}
	if h.relay != nil {
		h.relay.Stop()
	}
	if h.cancel != nil {
		h.cancel()
	}
}

// Reload applies changed settings to the running process: it adds new seeds. All
// other settings take effect at the next start.
func (n *Node) Reload(s lwsetting.Settings) error {
	if n.hosted == nil || s.Hosted == nil {
		return fmt.Errorf("reload: only a hosted process can reload its settings")
	}
	n.hosted.client.AddSeeds(s.Hosted.ControlAddresses())
	n.log.Info("settings reloaded", zap.Strings("seeds", s.Hosted.Seeds))
	return nil
}
