// Package lwnode runs the roles of one process. It stops them in the order that
// cuts off no request: the entry, which first reports not ready, then the agent,
// and control last.
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

	"lavenderweir.example/lavenderweir/internal/base/lwcrash"
	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwcontrol"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwentry"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwagent"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

const (
	incarnationBytes = 8
	gcPercent        = 50  // heap growth between collections, percent
	hostedGCPercent  = 200 // as gcPercent, for hosted processes
	hostedLimitShare = 0.6 // share of the provider's memory limit that the Go runtime may use
)

// Options holds what tests and benchmarks configure in addition to the settings.
// Hosted processes ignore it.
type Options struct {
	Routing   lwroute.Policy
	Lease     lwlease.Config
	DialAgent func(ctx context.Context, network, address string) (net.Conn, error) // from entries to agents
}

// Node is one running process.
type Node struct {
	settings lwsetting.Settings
	log      *zap.Logger
	endpoint *lwrpc.Endpoint
	control  *lwcontrol.Node
	agent    *lwagent.Agent
	entry    *lwentry.Entry
	hosted   *hosted // replaces agent and entry above
	stopped  sync.Once
}

// Start starts the roles that the settings name.
func Start(s lwsetting.Settings, opts Options, log *zap.Logger) (*Node, error) {
	limitMemory(s)
	if opts.Lease == (lwlease.Config{}) {
		opts.Lease = lwlease.DefaultConfig()
	}
	n := &Node{settings: s, log: log.With(zap.String("node", s.Name))}
	n.reportCrash()
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
	n.log.Info("started", zap.String("revision", buildRevision()))
	return n, nil
}

// reportCrash logs how the process before this one ended if it crashed, and has the
// runtime keep the report of a crash of this one. Only a process with a data folder can.
func (n *Node) reportCrash() {
	folder := dataFolder(n.settings)
	if folder == "" {
		return
	}
	r, err := lwcrash.Keep(folder)
	if err != nil {
		n.log.Warn("crash reports are not kept", zap.Error(err))
		return
	}
	if r != nil {
		n.log.Error("the process before this one crashed", zap.String("cause", r.Cause), zap.Strings("stack", r.Stack))
	}
}

// dataFolder returns the data folder of the control replica, or "" without one.
func dataFolder(s lwsetting.Settings) string {
	switch {
	case s.Hosted != nil && s.Hosted.Role == lwsetting.HostedControl:
		return s.Hosted.DataFolder
	case s.Hosted == nil && s.Replica != nil:
		return s.Replica.Folder
	default:
		return ""
	}
}

// rpcAddress returns the RPC address on which the process listens, or "" for
// none: of the hosted roles only control listens.
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

// limitMemory sets the memory limit and the frequency of garbage collections of
// the Go runtime. A provider's limit is hard and also counts memory that the runtime
// does not, such as the kernel's, so hosted processes stay well below it.
func limitMemory(s lwsetting.Settings) {
	lwhttp.LimitCallerMemory(s.CallerLimit())
	if s.Hosted == nil {
		debug.SetMemoryLimit(int64(s.MemoryLimit))
		debug.SetGCPercent(gcPercent)
		return
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * hostedLimitShare))
	debug.SetGCPercent(hostedGCPercent)
}

func (n *Node) startRoles(opts Options) error {
	s := n.settings
	client := lwlink.NewClient(n.endpoint, s.ControlAddresses)
	var err error
	if s.Replica != nil {
		cfg := lwcontrol.Config{
			Name: s.Name, Address: s.RPCAddress, Domain: s.FailureDomain, Folder: s.Replica.Folder, SnapshotSize: s.Replica.SnapshotSize, Seeds: s.ControlAddresses,
			Lease: opts.Lease, Placement: lwplacement.DefaultConfig(), Evacuations: lwcontrol.Evacuations{Agreed: true, OfWorkers: true}, Seed: mathrand.Uint64(),
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
		OperatorTokenSHA256: s.Entry.OperatorTokenSHA256, DrainDelay: s.Entry.DrainDelay.Std(), MaxConnsPerAddress: s.Entry.MaxConnsPerAddress, Routing: opts.Routing, DialAgent: opts.DialAgent, Seed: mathrand.Uint64(),
	}, client, n.log)
	return err
}

func (n *Node) startAgent(client *lwlink.Client) error {
	s := n.settings
	raw := make([]byte, incarnationBytes)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("generate incarnation: %w", err)
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

// Ready returns why the process is not ready, or nil. Of the hosted roles it checks
// only control.
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

// EntryAddress returns the address of this process for callers, or "" if it has
// no entry.
func (n *Node) EntryAddress() string {
	if n.entry == nil {
		return ""
	}
	return n.entry.Address()
}

// GateAddress returns the address on which the agent of this process listens, or
// "" if it has none.
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

// Leads reports whether the control replica of this process is the leader.
func (n *Node) Leads() bool { return n.control != nil && n.control.Leads() }

// Failed returns a channel with the error that ended the control replica, or nil if
// this process has no replica.
func (n *Node) Failed() <-chan error {
	if n.control == nil {
		return nil
	}
	return n.control.Done()
}

// Kill ends the roles without the steps of a graceful stop, as if the VM had
// failed.
func (n *Node) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.endpoint.Close() // first, so that nothing more is reported to control
	n.stopped.Do(func() { n.stop(ctx) })
}

// Stop stops every role gracefully; requests that are left when ctx ends are cut
// off.
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
