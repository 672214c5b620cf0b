package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	programPath  = "target/lavenderweir"
	firstNetwork = 140 // second byte of the loopback addresses
	lastNetwork  = 220

	guardPort     = 7699
	rpcPort       = 7720
	metricsPort   = 7735
	callersPort   = 8161
	controlPort   = 8166
	readinessPort = 8167
	workerPort    = 8168

	entryMachines  = 20 // last byte of the address of entry 0
	workerMachines = 100

	restartDelay = 300 * time.Millisecond
	graceTime    = 6 * time.Second
)

var zones = []string{"north", "middle", "south"}

// world holds what a case has started, and the record of it.
type world struct {
	network int
	guard   net.Listener
	folder  string // of settings, logs and data
	began   time.Time

	controls, entries, agents []*program
	workers                   []*worker

	mu     sync.Mutex
	record *os.File
	jobs   map[string]*job
	done   map[string][]*doneRun // by task

	starts     int
	firstStart time.Time
}

func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(programPath); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-standin-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: record, began: time.Now(), jobs: make(map[string]*job), done: make(map[string][]*doneRun)}
	for w.network = firstNetwork; w.network <= lastNetwork; w.network++ {
		if w.guard, err = net.Listen("tcp", w.address(0, 1, guardPort)); err == nil {
			return w, nil
		}
	}
	return nil, errors.New("all networks are in use")
}

// address returns the address of a port on a machine.
func (w *world) address(subnet, machine, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, subnet, machine, port)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	if w.record == nil {
		return
	}
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), fmt.Sprintf("127.%d.", w.network), "127.n.")
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), line)
}

// close ends everything that the case has started.
func (w *world) close() {
	w.note("end of the record")
	w.mu.Lock()
	record := w.record
	w.record = nil
	w.mu.Unlock()
	_ = record.Close()
	for _, list := range [][]*program{w.entries, w.agents, w.controls} {
		for _, p := range list {
			p.end()
		}
	}
	for _, x := range w.workers {
		x.crash()
	}
	_ = w.guard.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
		return
	}
	fmt.Println(w.folder)
}

// size states how many machines a case has.
type size struct{ controls, entries, workers int }

// start starts the programs and the workers, and has a first configuration acknowledged.
func (w *world) start(s size, configuration map[string]any) error {
	if err := w.launch(s); err != nil {
		return err
	}
	if err := w.configure(configuration, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // for the workers to be known
	return nil
}

// launch starts the programs and the workers.
func (w *world) launch(s size) error {
	var seeds []string
	for i := range min(3, s.controls) {
		seeds = append(seeds, w.address(1, 1+i, controlPort))
	}
	for i := range s.workers {
		x, err := newWorker(w, i)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, x)
	}
	for i := range s.controls {
		p := w.newProgram(fmt.Sprintf("control-%d", i), "control", 1+i, seeds)
		p.hosted["control_address"] = w.address(1, 1+i, controlPort)
		p.hosted["folder"] = filepath.Join(p.folder, "data")
		w.controls = append(w.controls, p)
	}
	for i := range s.entries {
		p := w.newProgram(fmt.Sprintf("entry-%d", i), "entry", entryMachines+i, seeds)
		p.hosted["callers_address"] = w.address(1, entryMachines+i, callersPort)
		p.hosted["readiness_address"] = w.address(1, entryMachines+i, readinessPort)
		w.entries = append(w.entries, p)
	}
	for i := range s.workers {
		p := w.newProgram(fmt.Sprintf("agent-%d", i), "agent", workerMachines+i, seeds)
		p.hosted["control_address"] = w.address(1, workerMachines+i, controlPort)
		p.hosted["worker_address"] = w.workers[i].address
		w.agents = append(w.agents, p)
	}
	for _, list := range [][]*program{w.controls, w.entries, w.agents} {
		for _, p := range list {
			if err := p.start(true); err != nil {
				return err
			}
		}
	}
	return nil
}

// program is one process of the system. It is started again when it ends.
type program struct {
	world  *world
	name   string
	zone   string
	folder string
	hosted map[string]any

	mu      sync.Mutex
	cmd     *exec.Cmd
	down    time.Duration // from the next end until the next start; 0 is restartDelay
	stopped bool
	wipe    bool // the disk is empty at the next start
	exited  chan struct{}
}

func (w *world) newProgram(name, role string, machine int, seeds []string) *program {
	ip, _, _ := strings.Cut(w.address(1, machine, 0), ":")
	return &program{world: w, name: name, zone: zones[machine%len(zones)], folder: filepath.Join(w.folder, name), hosted: map[string]any{
		"role": role, "ip": ip, "rpc_port": rpcPort, "metrics_port": metricsPort, "seeds": seeds, "tolerate": 1,
		"bounds": map[string]any{"hold_max": "10000ms", "harm": "4000ms", "spread_factor": 1.5, "checkpoint": "2s", "restore": "100ms"},
		"load":   "off", "failure_domains": zones,
	}}
}

// start starts the process, with the command of the deploy file. First is set when the
// whole system starts for the first time.
func (p *program) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	if err := os.MkdirAll(p.folder, 0o750); err != nil {
		return err
	}
	if p.wipe {
		p.wipe = false
		if err := os.RemoveAll(p.hosted["folder"].(string)); err != nil {
			return err
		}
	}
	p.hosted["found"] = first
	data, err := json.Marshal(map[string]any{
		"name": p.name, "region": "r", "failure_domain": p.zone, "cluster_key": "lavenderweir-on-the-provider",
		"memory_limit": "284MiB", "stop_time": "6s", "hosted": p.hosted,
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(p.folder, "boot.yaml")
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(programPath, "serve", "--config", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		p.mu.Lock()
		stopped, down := p.stopped, max(restartDelay, p.down)
		p.down = 0
		p.mu.Unlock()
		if stopped {
			return
		}
		p.world.note("%s has ended: %v", p.name, err)
		time.Sleep(down)
		if err := p.start(false); err != nil {
			p.world.note("%s cannot start: %v", p.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.note("%s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// killFor kills the process, which starts again after a time.
func (p *program) killFor(down time.Duration) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// killAndWipe is killFor for a machine that loses its disk.
func (p *program) killAndWipe(down time.Duration) {
	p.mu.Lock()
	p.wipe = true
	p.mu.Unlock()
	p.killFor(down)
}

// end ends the process for good.
func (p *program) end() {
	p.mu.Lock()
	p.stopped = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	select {
	case <-exited:
	case <-time.After(graceTime):
	}
}

// linesWith returns the lines of the process's log that contain a text.
func (p *program) linesWith(text string) []string {
	data, err := os.ReadFile(filepath.Join(p.folder, "log"))
	if err != nil {
		return nil
	}
	var list []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			list = append(list, strings.TrimSpace(line))
		}
	}
	return list
}

// leader returns the control process that has won the leadership last, by its log.
func (w *world) leader() *program {
	var last *program
	at := ""
	for _, p := range w.controls {
		for _, line := range p.linesWith("leadership won") {
			var x struct {
				Time string `json:"time"`
			}
			if json.Unmarshal([]byte(line), &x) == nil && x.Time >= at {
				last, at = p, x.Time
			}
		}
	}
	return last
}
