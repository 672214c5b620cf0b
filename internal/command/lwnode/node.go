// Package lwnode runs the roles of one process and stops them in the order
// that cuts off no request: readiness first, the entry, the agent, and control
// last.
package lwnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwcontrol"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwentry"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwagent"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

const (
	incarnationBytes = 8
	collectAt        = 50 // percent of growth between collections
	hostedCollectAt  = 200
	hostedHeapShare  = 0.6 // of the memory that a provider gives
)

// Options are what tests and measurements set beside the settings.
type Options struct {
	Routing lwroute.Policy
	Lease   lwlease.Config
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // of entries, to agents
}

// Node is one running process.
type Node struct {
	settings lwsetting.Settings
	log      *zap.Logger
	endpoint *lwrpc.Endpoint
	control  *lwcontrol.Node
	agent    *lwagent.Agent
	entry    *lwentry.Entry
	hosted   *hosted // in place of the roles above, but for control
	stopped  sync.Once
}

// Start starts the roles that the settings name.
func Start(s lwsetting.Settings, opts Options, log *zap.Logger) (*Node, error) {
	limitMemory(s)
	if opts.Lease == (lwlease.Config{}) {
		opts.Lease = lwlease.DefaultConfig()
	}
	n := &Node{settings: s, log: log.With(zap.String("node", s.Name))}
	var err error
	if n.endpoint, err = lwrpc.Listen(rpcAddress(s), s.ClusterKey()); err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	start := func() error { return n.startRoles(opts) }
	if s.Hosted != nil {
		start = n.startHosted
	}
	if err := start(); err != nil {
		n.Stop(context.Background())
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	n.log.Info("started")
	return n, nil
}

// rpcAddress returns where the process listens for others; only control does
// on a provider's machine.
func rpcAddress(s lwsetting.Settings) string {
	switch {
	case s.Hosted == nil:
		return s.RPCAddress
	case s.Hosted.Role == lwsetting.HostedControl:
		return s.Hosted.ListenAddress()
	default:
		return ""
	}
}

// limitMemory bounds the heap: what a provider gives is a hard limit, which
// also counts stacks and what the kernel holds.
func limitMemory(s lwsetting.Settings) {
	if s.Hosted == nil {
		debug.SetMemoryLimit(int64(s.MemoryLimit))
		debug.SetGCPercent(collectAt)
		return
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * hostedHeapShare))
	debug.SetGCPercent(hostedCollectAt)
}

func (n *Node) startRoles(opts Options) error {
	s := n.settings
	client := lwlink.NewClient(n.endpoint, s.Control)
	var err error
	if s.Serve != nil {
		cfg := lwcontrol.Config{
			Name: s.Name, Address: s.RPCAddress, Domain: s.FailureDomain, Folder: s.Serve.Folder, Replicas: s.Control,
			Lease: opts.Lease, Placement: lwplacement.DefaultConfig(), Seed: mathrand.Uint64(),
		}
		if n.control, err = lwcontrol.Start(cfg, n.endpoint, n.log); err != nil {
			return err
		}
	}
	if s.Agent != nil {
		if err := n.startAgent(client); err != nil {
			return err
		}
	}
	if s.Entry == nil {
		return nil
	}
	n.entry, err = lwentry.Start(lwentry.Config{
		Name: s.Name, Region: s.Region, Domain: s.FailureDomain, Address: s.Entry.Address, ClusterKey: s.ClusterKey(),
		OperatorSHA256: s.Entry.OperatorSHA256, DrainNotice: s.Entry.DrainNotice.Std(), PerAddress: s.Entry.ConnectionsPerAddress, Routing: opts.Routing, Dial: opts.Dial, Seed: mathrand.Uint64(),
	}, client, n.log)
	return err
}

func (n *Node) startAgent(client *lwlink.Client) error {
	s := n.settings
	raw := make([]byte, incarnationBytes)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("draw incarnation: %w", err)
	}
	var err error
	n.agent, err = lwagent.Start(lwagent.Config{
		Name: s.Name, ClusterKey: s.ClusterKey(), GateAddress: s.Agent.GateAddress,
		Platform: lwplatform.NewClient(s.Agent.PlatformURL), Incarnation: lwunit.Incarnation(hex.EncodeToString(raw)),
		Worker: lwstate.WorkerSpec{
			ID: s.Agent.Worker, Region: s.Region, Domain: s.FailureDomain, Rack: s.Agent.Rack, Capacity: s.Agent.Capacity,
		},
	}, n.endpoint, client, n.log)
	return err
}

// Ready returns why the process is not ready, or nil.
func (n *Node) Ready() error {
	if n.control != nil {
		if err := n.control.Ready(); err != nil {
			return err
		}
	}
	if n.agent != nil {
		if err := n.agent.Ready(); err != nil {
			return err
		}
	}
	if n.entry != nil {
		return n.entry.Ready()
	}
	return nil
}

// EntryAddress returns where callers reach this process, or "".
func (n *Node) EntryAddress() string {
	if n.entry == nil {
		return ""
	}
	return n.entry.Address()
}

// GateAddress returns where the agent of this process listens, or "".
func (n *Node) GateAddress() string {
	if n.agent == nil {
		return ""
	}
	return n.agent.Address()
}

// CloseIdle closes the entry's unused connections to agents.
func (n *Node) CloseIdle() {
	if n.entry != nil {
		n.entry.CloseIdle()
	}
}

// Leads reports whether the control replica of this process leads.
func (n *Node) Leads() bool { return n.control != nil && n.control.Leads() }

// Failed yields the error that ended the control role, if one did.
func (n *Node) Failed() <-chan error {
	if n.control == nil {
		return nil
	}
	return n.control.Done()
}

// Kill ends the process's roles without any of the steps of a graceful stop, as
// a VM that fails would.
func (n *Node) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.endpoint.Close() // nothing is told to control any more
	n.stopped.Do(func() { n.stop(ctx) })
}

// Stop stops every role gracefully; what is left when ctx ends is cut off.
func (n *Node) Stop(ctx context.Context) {
	n.stopped.Do(func() { n.stop(ctx) })
}

func (n *Node) stop(ctx context.Context) {
	if n.hosted != nil {
		n.hosted.stop(ctx, n.log)
	}
	if n.entry != nil {
		n.entry.Stop(ctx)
	}
	if n.agent != nil {
		n.agent.Stop(ctx)
	}
	if n.control != nil {
		n.control.Stop(ctx)
	}
	n.endpoint.Close()
	n.log.Info("stopped")
}
