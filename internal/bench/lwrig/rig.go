// Package lwrig runs a small system of all roles in one process. Its nodes talk to
// each other by HTTP and RPC on loopback. The demo, the benchmarks and the tests of
// whole systems use it.
package lwrig

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/command/lwadmin"
	"lavenderweir.example/lavenderweir/internal/command/lwnode"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

const (
	operatorToken     = "rig-operator-token"
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 60 * time.Second
	registerTimeout   = 2 * time.Minute
	awaitPollInterval = 200 * time.Millisecond
	stopTimeout       = 20 * time.Second
	drainDelay        = 50 * time.Millisecond
	watchDelay        = 300 * time.Millisecond // from an announcement until the entries have received it
)

// Shape describes a system to start.
type Shape struct {
	Region      lwunit.Region
	Domains     []lwunit.FailureDomain
	Service     lwunit.ServiceName
	Workers     int
	Replicas    int
	Entries     int
	Capacity    lwunit.Resources
	Options     lwnode.Options
	Folder      string        // parent of the replicas' data folders
	OneWayDelay time.Duration // between an entry and agents of other failure domains; 0 is none

	SnapshotSize lwunit.Bytes // of the log from which replicas write a snapshot; 0 is the default
}

// System is a running system with stand-in workers and backend servers.
type System struct {
	Shape    Shape
	Control  []*lwnode.Node
	Entries  []*lwnode.Node
	Agents   []*lwnode.Node
	Workers  []*lwstandin.Worker
	Backends []*lwstandin.Backend

	log              *zap.Logger
	clusterKey       string
	controlAddresses []string
	platforms        []*lwhttp.Server
}

// freeAddress returns a loopback address that was free when checked; another
// process may have taken it since.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts a system in this process and waits until every node is ready.
func Start(shape Shape, log *zap.Logger) (*System, error) {
	key := make([]byte, 16)
	if _, err := rand.Read(key); err != nil {
		return nil, fmt.Errorf("generate cluster key: %w", err)
	}
	s := &System{Shape: shape, log: log, clusterKey: hex.EncodeToString(key)}
	for range shape.Replicas {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s.controlAddresses = append(s.controlAddresses, a)
	}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	for i := range s.Shape.Replicas {
		if err := s.StartControl(i); err != nil {
			return err
		}
	}
	for i := range s.Shape.Workers {
		if err := s.startWorker(i); err != nil {
			return err
		}
	}
	for i := range s.Shape.Entries {
		opts := s.Shape.Options
		if opts.DialAgent == nil {
			opts.DialAgent = s.dialer(i)
		}
		n, err := lwnode.Start(s.entrySettings(i), opts, s.log)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, n)
	}
	return s.awaitReady()
}

func (s *System) baseSettings(name string, i int) lwsetting.Settings {
	settings := lwsetting.Settings{
		Name: name, Region: s.Shape.Region, FailureDomain: s.Shape.Domains[i%len(s.Shape.Domains)], ControlAddresses: s.controlAddresses,
		StopTime: lwunit.Duration(stopTimeout), LogLevel: "info", MemoryLimit: lwunit.GiB,
	}
	settings.SetClusterKey(s.clusterKey)
	return settings
}

// StartControl starts control replica i, or starts it again after it was stopped.
func (s *System) StartControl(i int) error {
	settings := s.baseSettings(fmt.Sprintf("control-%d", i), i)
	settings.RPCAddress = s.controlAddresses[i]
	settings.ControlAddresses = s.controlAddresses
	settings.Replica = &lwsetting.Replica{Folder: filepath.Join(s.Shape.Folder, settings.Name), SnapshotSize: s.Shape.SnapshotSize}
	n, err := lwnode.Start(settings, s.Shape.Options, s.log)
	if err != nil {
		return err
	}
	if i < len(s.Control) {
		s.Control[i] = n
	} else {
		s.Control = append(s.Control, n)
	}
	return nil
}

func (s *System) entrySettings(i int) lwsetting.Settings {
	settings := s.baseSettings(fmt.Sprintf("entry-%d", i), i)
	settings.Entry = &lwsetting.Entry{
		Address: "127.0.0.1:0", OperatorTokenSHA256: lwticket.TokenDigest(operatorToken), DrainDelay: lwunit.Duration(drainDelay),
	}
	return settings
}

func (s *System) startWorker(i int) error {
	w := lwstandin.NewWorker()
	platform, err := lwhttp.Listen(lwhttp.Config{Name: "platform", Address: "127.0.0.1:0", Handler: w.Handler()})
	if err != nil {
		return err
	}
	s.Workers = append(s.Workers, w)
	s.platforms = append(s.platforms, platform)
	n, err := lwnode.Start(s.agentSettings(i), s.Shape.Options, s.log)
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, n)
	b, err := lwstandin.StartBackend(lwunit.BackendServerID(fmt.Sprintf("%s-%d", s.Shape.Service, i)), s.Shape.Service, n.GateAddress())
	if err != nil {
		return err
	}
	s.Backends = append(s.Backends, b)
	return nil
}

func (s *System) agentSettings(i int) lwsetting.Settings {
	settings := s.baseSettings(fmt.Sprintf("agent-%d", i), i)
	settings.Agent = &lwsetting.Agent{
		GateAddress: "127.0.0.1:0", PlatformURL: "http://" + s.platforms[i].Address(),
		Worker: lwunit.WorkerID(fmt.Sprintf("worker-%d", i)), Rack: lwunit.Rack(fmt.Sprintf("rack-%d", i/3)), Capacity: s.Shape.Capacity,
	}
	return settings
}

// RestartAgent stops agent i gracefully, unless it was killed before, and starts it
// again. The backend server stays unannounced, because the agent's gate has a new
// address.
func (s *System) RestartAgent(i int) error {
	s.Agents[i].Stop(context.Background())
	n, err := lwnode.Start(s.agentSettings(i), s.Shape.Options, s.log)
	if err != nil {
		return err
	}
	s.Agents[i] = n
	return nil
}

func (s *System) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes() {
		for {
			err := n.Ready()
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("a node is not ready after %s: %w", readyTimeout, err)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (s *System) nodes() []*lwnode.Node {
	var all []*lwnode.Node
	all = append(all, s.Control...)
	all = append(all, s.Agents...)
	return append(all, s.Entries...)
}

// dialer returns the dial function of entry i, which delays connections to agents
// of other failure domains, or nil if the shape has no delay.
func (s *System) dialer(i int) func(ctx context.Context, network, address string) (net.Conn, error) {
	if s.Shape.OneWayDelay == 0 {
		return nil
	}
	domain := i % len(s.Shape.Domains)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		for k, a := range s.Agents {
			if a.GateAddress() == address && k%len(s.Shape.Domains) != domain {
				return &delayedConn{c, 2 * s.Shape.OneWayDelay}, nil
			}
		}
		return c, nil
	}
}

// delayedConn delays each write by a round trip.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

// Write waits for the delay and sends data.
func (c *delayedConn) Write(data []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(data)
}

// URL returns the base URL of entry i.
func (s *System) URL(i int) string { return "http://" + s.Entries[i].EntryAddress() }

// Operator returns a client with the operator's token.
func (s *System) Operator() *lwadmin.Client { return lwadmin.New(s.URL(0), operatorToken) }

// AwaitBackends waits until exactly the current backend servers are announced, and
// then for watchDelay, since the entries receive announcements by a watch.
func (s *System) AwaitBackends(ctx context.Context) error {
	err := await(ctx, func() (bool, error) {
		var list []lwstate.BackendServer
		err := s.Operator().Get(ctx, "/v1/backend_servers", &list)
		return s.areCurrent(list), err
	})
	if err != nil {
		return err
	}
	time.Sleep(watchDelay)
	return nil
}

func (s *System) areCurrent(list []lwstate.BackendServer) bool {
	for _, b := range s.Backends {
		if !slices.ContainsFunc(list, func(l lwstate.BackendServer) bool { return l.ID == b.ID }) {
			return false
		}
	}
	return len(list) == len(s.Backends)
}

// ClusterKey returns the cluster key.
func (s *System) ClusterKey() string { return s.clusterKey }

// ControlAddresses returns the RPC addresses of the control replicas.
func (s *System) ControlAddresses() []string { return s.controlAddresses }

// AwaitWorkers waits until n workers are registered.
func (s *System) AwaitWorkers(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	return await(ctx, func() (bool, error) {
		var list []lwlink.WorkerStatus
		err := s.Operator().Get(ctx, "/v1/workers", &list)
		return len(list) == n, err
	})
}

// AwaitRunning waits until exactly n tasks of a job are running.
func (s *System) AwaitRunning(ctx context.Context, job lwunit.JobID, n int) error {
	return await(ctx, func() (bool, error) {
		var list []lwstate.Task
		err := s.Operator().Get(ctx, "/v1/tasks?job="+string(job), &list)
		running := 0
		for _, t := range list {
			if t.Phase == lwstate.TaskRunning {
				running++
			}
		}
		return running == n, err
	})
}

func await(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("condition not reached: %w", ctx.Err())
		case <-time.After(awaitPollInterval):
		}
	}
}

// AddControl starts one more control replica and returns its address. The settings
// of the other replicas do not contain the address.
func (s *System) AddControl() (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	old := s.controlAddresses
	s.controlAddresses = append(append([]string(nil), old...), address)
	err = s.StartControl(len(old))
	s.controlAddresses = old
	return address, err
}

// LoseDisk kills control replica i, removes its data folder and starts it again
// without data.
func (s *System) LoseDisk(i int) error {
	s.Control[i].Kill()
	if err := os.RemoveAll(filepath.Join(s.Shape.Folder, fmt.Sprintf("control-%d", i))); err != nil {
		return fmt.Errorf("remove data folder: %w", err)
	}
	return s.StartControl(i)
}

// LeaderIndex returns the index of the control replica that leads, or -1.
func (s *System) LeaderIndex() int {
	for i, n := range s.Control {
		if n.Leads() {
			return i
		}
	}
	return -1
}

// KillWorker ends the agent and the backend server of worker i without a graceful
// stop.
func (s *System) KillWorker(i int) {
	s.Backends[i].Kill()
	s.Agents[i].Kill()
}

// ReplaceBackend withdraws backend server i gracefully and starts another one in
// its place.
func (s *System) ReplaceBackend(ctx context.Context, i int) error {
	old := s.Backends[i]
	if err := old.Withdraw(ctx); err != nil {
		return err
	}
	old.Kill()
	return s.StartBackend(i)
}

// StartBackend starts a backend server on worker i in place of one that has ended,
// with a new id and the same behaviour.
func (s *System) StartBackend(i int) error {
	old := s.Backends[i]
	id := lwunit.BackendServerID(fmt.Sprintf("%s-%d-%d", s.Shape.Service, i, time.Now().UnixNano()))
	b, err := lwstandin.StartBackend(id, s.Shape.Service, s.Agents[i].GateAddress())
	if err != nil {
		return err
	}
	b.SetBehaviour(old.Behaviour())
	s.Backends[i] = b
	return nil
}

// Stop stops the system: entries and agents gracefully, then the backend servers at
// once, then control gracefully.
func (s *System) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, n := range s.Entries {
		n.Stop(ctx)
	}
	for _, n := range s.Agents {
		n.Stop(ctx)
	}
	for _, b := range s.Backends {
		b.Kill()
	}
	for _, n := range s.Control {
		n.Stop(ctx)
	}
	for _, p := range s.platforms {
		p.Close()
	}
}
