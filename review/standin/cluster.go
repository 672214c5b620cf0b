package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program      = "target/lavenderweir" // as the deploy file runs it
	firstNetwork = 60                    // second byte of the loopback addresses that are tried
	lastNetwork  = 250

	guardPort     = 7719
	rpcPort       = 7720
	metricsPort   = 7735
	callersPort   = 8161
	readinessPort = 8167
	controlPort   = 8166
	workerPort    = 8080

	controls     = 3
	restartDelay = 500 * time.Millisecond // until the provider starts a process again that has ended
)

// kinds of machines, the third byte of their addresses.
const (
	controlMachine = 1
	entryMachine   = 2
	sideMachine    = 3
	boundMachine   = 4 // where a control process listens that is reached through a proxy
)

var zones = []string{"yatsushiro", "hitoyoshi", "minamata"}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	rec     *recorder
	folder  string
	network int
	guard   net.Listener // keeps other cases off the network

	mu        sync.Mutex
	processes []*process
	workers   []*worker
	proxies   []*proxy
}

func newCluster(rec *recorder) (*cluster, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the system first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	for network := firstNetwork; network <= lastNetwork; network++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, guardPort)); err == nil {
			return &cluster{rec: rec, folder: folder, network: network, guard: l}, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, kind, n) }

func (c *cluster) address(kind, n, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(kind, n), port)
}

// settings returns the settings of a process as the provider renders them.
func (c *cluster) settings(role string, kind, n int) map[string]any {
	var seeds []string
	for i := 1; i <= controls; i++ {
		seeds = append(seeds, c.address(controlMachine, i, controlPort))
	}
	hosted := map[string]any{
		"role": role, "ip": c.ip(kind, n), "rpc_port": rpcPort, "metrics_port": metricsPort, "seeds": seeds, "found": true, "tolerate": 1,
		"bounds": map[string]any{"hold_max": "10000ms", "harm": "4000ms", "spread_factor": 1.5, "checkpoint": "2s", "restore": "100ms"},
		"load":   "off", "failure_domains": zones,
	}
	switch role {
	case "entry":
		hosted["callers_address"], hosted["readiness_address"] = c.address(kind, n, callersPort), c.address(kind, n, readinessPort)
	case "control":
		hosted["control_address"], hosted["folder"] = c.address(kind, n, controlPort), filepath.Join(c.folder, fmt.Sprintf("data-%d", n))
	case "agent":
		hosted["control_address"], hosted["worker_address"] = c.address(kind, n, controlPort), c.address(kind, n, workerPort)
	}
	return map[string]any{
		"name": fmt.Sprintf("%s-%d", role, n), "region": "kyushu-south", "failure_domain": zones[n%len(zones)], "cluster_key": "lavenderweir-on-the-provider",
		"memory_limit": "284MiB", "stop_time": "6s", "hosted": hosted,
	}
}

// process is one process of the system, which the provider starts again when it ends.
type process struct {
	cluster  *cluster
	name     string
	settings map[string]any

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

func (c *cluster) launch(role string, kind, n int) (*process, error) {
	return c.launchWith(role, n, c.settings(role, kind, n))
}

func (c *cluster) launchWith(role string, n int, settings map[string]any) (*process, error) {
	p := &process{cluster: c, name: fmt.Sprintf("%s-%d", role, n), settings: settings}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, p.start()
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	config := filepath.Join(p.cluster.folder, p.name+".json")
	if err := os.WriteFile(config, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.cluster.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(program, "serve", "--config", config)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cluster.rec.add("process %s started, pid %d", p.name, p.cmd.Process.Pid)
	go p.restartOnExit(p.cmd)
	return nil
}

func (p *process) restartOnExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		return
	}
	p.cluster.rec.add("process %s ended: %v", p.name, err)
	time.Sleep(restartDelay)
	p.settings["hosted"].(map[string]any)["found"] = false
	if err := p.start(); err != nil {
		p.cluster.rec.add("process %s: %v", p.name, err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.cluster.rec.add("process %s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// end kills the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
}

// start starts the control processes and entries, and one agent for each worker, and
// has the configuration acknowledged.
func (c *cluster) start(entries int, workers []*worker, cfg config) error {
	for i := 1; i <= controls; i++ {
		if _, err := c.launch("control", controlMachine, i); err != nil {
			return err
		}
	}
	return c.startRest(entries, workers, cfg)
}

// launchBehindProxies starts the control processes, each behind a proxy.
func (c *cluster) launchBehindProxies(parts ...*partition) error {
	for i := 1; i <= controls; i++ {
		p, err := newProxy(c.address(controlMachine, i, rpcPort), c.address(boundMachine, i, rpcPort), parts)
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, p)
		settings := c.settings("control", controlMachine, i)
		settings["hosted"].(map[string]any)["bind"] = c.ip(boundMachine, i)
		if _, err := c.launchWith("control", i, settings); err != nil {
			return err
		}
	}
	return nil
}

// startRest is start without the control processes, which run already.
func (c *cluster) startRest(entries int, workers []*worker, cfg config) error {
	for i := 1; i <= entries; i++ {
		if _, err := c.launch("entry", entryMachine, i); err != nil {
			return err
		}
	}
	for i, w := range workers {
		if _, err := c.launch("agent", sideMachine, i+1); err != nil {
			return err
		}
		w.cluster, w.address, w.agent, w.zone = c, c.address(sideMachine, i+1, workerPort), c.address(sideMachine, i+1, controlPort), zones[i%len(zones)]
		if err := w.boot(); err != nil {
			return err
		}
		c.mu.Lock()
		c.workers = append(c.workers, w)
		c.mu.Unlock()
	}
	if err := c.replaceConfig(cfg, 20*time.Second); err != nil {
		return err
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if c.ready(entries) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the system is not ready")
		}
	}
}

// ready reports whether all entries are and each worker's heartbeat was acknowledged.
func (c *cluster) ready(entries int) bool {
	for i := 1; i <= entries; i++ {
		if status, _ := call("GET", "http://"+c.address(entryMachine, i, readinessPort)+"/readyz", "", nil, time.Second); status != 200 {
			return false
		}
	}
	for _, w := range c.workers {
		if !w.registered() {
			return false
		}
	}
	return true
}

// stop ends all processes that the case has started.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.end()
	}
	for _, w := range c.workers {
		w.shutDown()
	}
	for _, p := range c.proxies {
		p.close()
	}
	_ = c.guard.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}
