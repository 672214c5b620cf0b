package main

import (
	"encoding/json"
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
	program      = "target/lavenderweir"
	callersPort  = 8161
	readyPort    = 8167
	controlPort  = 8166
	workerPort   = 8080
	rpcPort      = 7720
	metricsPort  = 7735
	controlCount = 3
	entryCount   = 4 // one on each control machine, the last one on a machine of its own
	region       = "kyushu-south"
	service      = "engrave-desk"
)

var zones = []string{"yatsushiro", "hitoyoshi", "minamata"}

// record is the log of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts []startedRun
}

// startedRun is a run that a worker has begun.
type startedRun struct {
	task   string
	run    int
	worker string
	at     time.Time
	ended  time.Time // zero while it runs
	how    string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds mu.
func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) start(worker string, x *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startedRun{task: x.task, run: x.run, worker: worker, at: x.started})
	r.line("%s starts %s run %d", worker, x.task, x.run)
}

func (r *record) end(worker string, x *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.starts {
		if s := &r.starts[i]; s.worker == worker && s.task == x.task && s.run == x.run {
			s.ended, s.how = time.Now(), how
		}
	}
	r.line("%s ends %s run %d: %s", worker, x.task, x.run, how)
}

// runsOf returns the runs of a job that workers have begun.
func (r *record) runsOf(job string) []startedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []startedRun
	for _, s := range r.starts {
		if jobOf(s.task) == job {
			list = append(list, s)
		}
	}
	return list
}

// idleGap returns the longest time for which nothing of a task ran that begins after a time and
// at least some time after the end of its last run; began is when its job was accepted.
func (r *record) idleGap(task string, began, after time.Time, sinceLast time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, longest := began, time.Duration(0)
	note := func(until time.Time) {
		from := last.Add(sinceLast)
		if from.Before(after) {
			from = after
		}
		longest = max(longest, until.Sub(from))
	}
	for _, s := range r.starts {
		if s.task != task {
			continue
		}
		note(s.at)
		if s.ended.IsZero() {
			return longest
		}
		last = s.ended
	}
	note(time.Now())
	return longest
}

// process is one process of the system.
type process struct {
	rec    *record
	name   string
	config string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	p.cmd = exec.Command(program, "serve", "--config", p.config)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.rec.note("%s is started", p.name)
	exited := make(chan struct{})
	p.exited = exited
	go func(c *exec.Cmd) {
		err := c.Wait()
		p.rec.note("%s has ended: %v", p.name, err)
		_ = out.Close()
		close(exited)
	}(p.cmd)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.note("%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// system is a small deployment on loopback addresses.
type system struct {
	rec      *record
	folder   string
	subnet   string
	controls []*process
	entries  []*process
	agents   []*process
	workers  []*worker
}

// newSystem reserves a subnet and a temporary folder. Nothing is started.
func newSystem(rec *record, workers int) (*system, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	s := &system{rec: rec, folder: folder}
	if err := s.reserveSubnet(); err != nil {
		return nil, err
	}
	for i := range controlCount {
		p, err := s.addProcess(fmt.Sprintf("control-%d", i+1), s.controlSettings(i, true))
		if err != nil {
			return nil, err
		}
		s.controls = append(s.controls, p)
	}
	for i := range entryCount {
		p, err := s.addProcess(fmt.Sprintf("entry-%d", i+1), s.entrySettings(i))
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
	}
	for i := range workers {
		p, err := s.addProcess(fmt.Sprintf("agent-%d", i+1), s.agentSettings(i))
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, p)
		s.workers = append(s.workers, &worker{
			rec: rec, machine: fmt.Sprintf("m-%d", i+1), address: s.workerAddress(i), agent: addr(s.sideIP(i), controlPort),
			zone: zones[i%len(zones)], service: service, labels: []string{"a", fmt.Sprintf("r%d-%d", i%len(zones)+1, i/3+1)},
		})
	}
	return s, nil
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// reserveSubnet finds a loopback subnet on which nothing listens.
func (s *system) reserveSubnet() error {
	for n := range 200 {
		k := (os.Getpid() + n*37) % 14000
		s.subnet = fmt.Sprintf("127.%d.%d", 64+k/250, 1+k%250)
		free := true
		for _, port := range []int{callersPort, readyPort, controlPort, workerPort, rpcPort, metricsPort, metricsPort - 1} {
			ln, err := net.Listen("tcp", addr(s.subnet+".1", port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free subnet: %w", errNotReady)
}

func (s *system) controlIP(i int) string     { return fmt.Sprintf("%s.%d", s.subnet, 1+i) }
func (s *system) sideIP(i int) string        { return fmt.Sprintf("%s.%d", s.subnet, 100+i) }
func (s *system) workerAddress(i int) string { return addr(s.sideIP(i), workerPort) }
func (s *system) entryAddress(i int) string  { return addr(s.entryIP(i), callersPort) }

func (s *system) entryIP(i int) string {
	if i < controlCount {
		return s.controlIP(i)
	}
	return fmt.Sprintf("%s.%d", s.subnet, 50+i)
}

// settings returns the rendered platform/settings.jsonc of one process.
func (s *system) settings(name, role, ip, zone string, bootstrap bool, more map[string]any) map[string]any {
	var seeds []string
	for i := range controlCount {
		seeds = append(seeds, addr(s.controlIP(i), controlPort))
	}
	hosted := map[string]any{
		"role": role, "ip": ip, "rpc_port": rpcPort, "metrics_port": metricsPort, "seeds": seeds, "found": bootstrap, "tolerate": 1,
		"bounds": map[string]any{"hold_max": "10000ms", "harm": "4000ms", "spread_factor": 1.5, "checkpoint": "2s", "restore": "100ms"},
		"load":   "off", "failure_domains": zones,
	}
	for k, v := range more {
		hosted[k] = v
	}
	return map[string]any{
		"name": name, "region": region, "failure_domain": zone, "cluster_key": "lavenderweir-on-the-provider", "memory_limit": "284MiB", "stop_time": "6s", "hosted": hosted,
	}
}

func (s *system) controlSettings(i int, bootstrap bool) map[string]any {
	folder := filepath.Join(s.folder, fmt.Sprintf("data-%d", i+1))
	return s.settings(fmt.Sprintf("control-%d", i+1), "control", s.controlIP(i), zones[i%len(zones)], bootstrap, map[string]any{
		"folder": folder, "control_address": addr(s.controlIP(i), controlPort),
	})
}

func (s *system) entrySettings(i int) map[string]any {
	return s.settings(fmt.Sprintf("entry-%d", i+1), "entry", s.entryIP(i), zones[i%len(zones)], true, map[string]any{
		"callers_address": s.entryAddress(i), "readiness_address": addr(s.entryIP(i), readyPort),
	})
}

func (s *system) agentSettings(i int) map[string]any {
	return s.settings(fmt.Sprintf("agent-%d", i+1), "agent", s.sideIP(i), zones[i%len(zones)], true, map[string]any{
		"control_address": addr(s.sideIP(i), controlPort), "worker_address": s.workerAddress(i),
	})
}

// addControl starts an empty control machine at another address, which finds a system that is not new.
func (s *system) addControl() error {
	p, err := s.addProcess(fmt.Sprintf("control-%d", len(s.controls)+1), s.controlSettings(len(s.controls), false))
	if err != nil {
		return err
	}
	s.controls = append(s.controls, p)
	return p.start()
}

// addProcess writes the settings of a process.
func (s *system) addProcess(name string, settings map[string]any) (*process, error) {
	p := &process{rec: s.rec, name: name, config: filepath.Join(s.folder, name+".jsonc"), log: filepath.Join(s.folder, name+".log")}
	if err := writeSettings(p.config, settings); err != nil {
		return nil, err
	}
	if folder, ok := settings["hosted"].(map[string]any)["folder"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, fmt.Errorf("data folder: %w", err)
		}
	}
	return p, nil
}

func writeSettings(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// startControls, startRest and start start processes; workers boot after their agents.
func (s *system) startControls() error {
	for i := range s.controls {
		if err := s.controls[i].start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startRest() error {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		if err := w.boot(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) start() error {
	if err := s.startControls(); err != nil {
		return err
	}
	return s.startRest()
}

// stop ends all processes that were started.
func (s *system) stop() {
	for _, w := range s.workers {
		w.crash()
	}
	for _, p := range append(append(append([]*process(nil), s.agents...), s.entries...), s.controls...) {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	fmt.Println("logs:", s.folder)
}

// decisionLines returns the lines of the controls' logs that contain a text.
func (s *system) decisionLines(text string) []string {
	var list []string
	for _, p := range s.controls {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			if strings.Contains(line, text) {
				list = append(list, p.name+": "+line)
			}
		}
	}
	return list
}
