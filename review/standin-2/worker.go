package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxLease          = 10 * time.Second // hold_max_ms
	maxPollWait       = 2 * time.Second
	gangWait          = 3 * time.Second // gang_ms
	failAfter         = 50 * time.Millisecond
	workerTick        = 10 * time.Millisecond
	workerCPU         = 64000
	workerMemoryMB    = 256000
	fullPercent       = 100
	runKey            = "%s/%d"
)

// taskSpec is the spec of a job, which only the worker reads.
type taskSpec struct {
	WorkMS int `json:"work_ms"`           // 0 runs until it is stopped
	Gang   int `json:"gang,omitempty"`    // members of the gang
	TailMS int `json:"tail_ms,omitempty"` // tail latency of a serving task with its usual load
}

// worker is one machine with a backend server that runs tasks.
type worker struct {
	rec     *record
	machine string
	address string // of its calls
	agent   string // control address on its machine
	zone    string
	service string
	labels  []string

	mu          sync.Mutex
	incarnation *incarnation // nil while the worker is down
	boots       int
	fails       bool // each run that is started fails soon
	loadFactor  int  // of the tail latencies of serving tasks, by their own load
}

// incarnation is one boot of a worker.
type incarnation struct {
	worker  *worker
	id      string
	born    int64
	start   time.Time
	server  *http.Server
	ctx     context.Context
	stop    context.CancelFunc
	changed chan struct{} // closed and replaced at each end

	mu      sync.Mutex
	seq     int64
	token   uint64
	until   int64 // lease expiry on the clock
	runs    map[string]*taskRun
	highest map[string]int // highest run stopped or ended, by task
	ends    []runEnd
	lastEnd int64
}

type taskRun struct {
	task    string
	run     int
	started time.Time
	work    time.Duration
	fails   bool
	tailMS  int
	gang    *gang // nil if it works alone
}

// gang is one run of a gang, whose members work from when all are there.
type gang struct {
	size    int
	members int
	since   time.Time // when all members were there; zero before
	broken  bool      // a member has ended otherwise than done
}

// gangs holds the runs of gangs on all workers, by step and run.
var gangs = struct {
	mu   sync.Mutex
	list map[string]*gang
}{list: make(map[string]*gang)}

// joinGang adds a member to the run of a gang.
func joinGang(task string, run, size int) *gang {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	key := fmt.Sprintf(runKey, task[:strings.LastIndexByte(task, '.')], run)
	g := gangs.list[key]
	if g == nil {
		g = &gang{size: size}
		gangs.list[key] = g
	}
	if g.members++; g.members == size && !g.broken {
		g.since = time.Now()
	}
	return g
}

// breakGang notes that a member has ended otherwise than done.
func (g *gang) breakGang() {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	g.broken = true
}

// outcome returns how a member that began at a time ends now, or "".
func (g *gang) outcome(began time.Time, work time.Duration) string {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	switch {
	case g.broken:
		return "broken"
	case !g.since.IsZero() && time.Since(g.since) >= work:
		return "done"
	case g.since.IsZero() && time.Since(began) >= gangWait:
		return "alone"
	default:
		return ""
	}
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// boot starts a new incarnation with a new id.
func (w *worker) boot() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.machine, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.boots++
	inc := &incarnation{
		worker: w, id: fmt.Sprintf("i-%s-%d", w.machine, w.boots), born: time.Now().UnixMilli(), start: time.Now(), ctx: ctx, stop: stop,
		changed: make(chan struct{}), runs: make(map[string]*taskRun), highest: make(map[string]int),
	}
	w.incarnation = inc
	w.mu.Unlock()
	inc.server = &http.Server{Handler: inc, ReadHeaderTimeout: time.Second}
	w.rec.note("worker %s boots as %s, labels %v", w.machine, inc.id, w.labels)
	go func() { _ = inc.server.Serve(ln) }()
	go inc.heartbeats()
	go inc.work()
	return nil
}

// crash ends the incarnation and all that it runs.
func (w *worker) crash() {
	w.mu.Lock()
	inc := w.incarnation
	w.incarnation = nil
	w.mu.Unlock()
	if inc == nil {
		return
	}
	inc.stop()
	_ = inc.server.Close()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	var held []string
	for _, k := range slices.Sorted(maps.Keys(inc.runs)) {
		held = append(held, fmt.Sprintf("%s for %d ms", k, time.Since(inc.runs[k].started).Milliseconds()))
	}
	w.rec.note("worker %s crashes as %s; it ran %v", w.machine, inc.id, held)
	for _, r := range inc.runs {
		if r.gang != nil {
			r.gang.breakGang()
		}
		w.rec.end(inc.id, r, "crashed")
	}
	inc.runs = make(map[string]*taskRun)
}

// setFails has the worker fail all that it starts from now on, or ends that.
func (w *worker) setFails(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
	w.rec.note("worker %s fails all that it starts: %t", w.machine, fails)
}

// setLoad changes the load of the serving tasks on the worker.
func (w *worker) setLoad(factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loadFactor = factor
	w.rec.note("the load of serving tasks on worker %s raises their tail latency by a factor of %d", w.machine, factor)
}

func (w *worker) current() *incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// clock returns the time on the clock of the incarnation in milliseconds.
func (i *incarnation) clock() int64 { return time.Since(i.start).Milliseconds() + 1 }

// heartbeat returns what the worker says of itself.
func (i *incarnation) heartbeat() map[string]any {
	i.mu.Lock()
	i.seq++
	seq := i.seq
	i.mu.Unlock()
	w := i.worker
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemoryMB, "gpu": 0}, "labels": w.labels, "clock_ms": i.clock(), "seq": seq,
		"born": i.born, "machine": w.machine,
	}
}

func (i *incarnation) heartbeats() {
	for i.ctx.Err() == nil {
		i.send(i.heartbeat())
		select {
		case <-i.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// send sends a heartbeat in the name of the incarnation and returns the status, 0 without one.
func (i *incarnation) send(body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(i.ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.worker.agent+"/Instances.Heartbeat/"+i.id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

// work ends runs that are done and all runs once the lease has expired.
func (i *incarnation) work() {
	for i.ctx.Err() == nil {
		time.Sleep(workerTick)
		i.mu.Lock()
		lapsed := i.clock() >= i.until
		for _, k := range slices.Sorted(maps.Keys(i.runs)) {
			r := i.runs[k]
			if lapsed {
				i.end(r, "lapsed")
				continue
			}
			if r.gang != nil {
				if how := r.gang.outcome(r.started, r.work); how != "" {
					i.end(r, how)
				}
				continue
			}
			switch {
			case r.fails && time.Since(r.started) >= failAfter:
				i.end(r, "failed")
			case r.work > 0 && time.Since(r.started) >= r.work:
				i.end(r, "done")
			}
		}
		i.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (i *incarnation) end(r *taskRun, how string) {
	if i.ctx.Err() != nil {
		return
	}
	delete(i.runs, fmt.Sprintf(runKey, r.task, r.run))
	if r.gang != nil && how != "done" {
		r.gang.breakGang()
	}
	i.highest[r.task] = max(i.highest[r.task], r.run)
	i.lastEnd++
	i.ends = append(i.ends, runEnd{i.lastEnd, r.task, r.run, how})
	i.worker.rec.end(i.id, r, how)
	close(i.changed)
	i.changed = make(chan struct{})
}

type call struct {
	Task    string `json:"task"`
	Run     int    `json:"run_id"`
	Spec    string `json:"spec"`
	Until   int64  `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Cursor  int64  `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
	Percent int    `json:"percent"`
}

// ServeHTTP serves the calls of the agent.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != i.id {
		i.answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		i.answer(w, http.StatusBadRequest, nil)
		return
	}
	i.mu.Lock()
	fenced := c.Token < i.token
	i.token = max(i.token, c.Token)
	if !fenced {
		i.until = max(i.until, min(c.Until, i.clock()+maxLease.Milliseconds()))
	}
	i.mu.Unlock()
	switch {
	case fenced:
		i.refuse(w, "fence")
	case r.URL.Path == "/run-start":
		i.startRun(w, c)
	case r.URL.Path == "/run-stop":
		i.stopRun(w, c)
	case r.URL.Path == "/pace":
		i.answer(w, http.StatusOK, nil)
	case r.URL.Path == "/hold":
		i.poll(w, r, c)
	default:
		i.answer(w, http.StatusNotFound, nil)
	}
}

func (i *incarnation) startRun(w http.ResponseWriter, c call) {
	var spec taskSpec
	if err := json.Unmarshal([]byte(c.Spec), &spec); err != nil {
		i.worker.rec.note("%s is told to start %s with an unknown spec", i.id, c.Task)
		i.answer(w, http.StatusBadRequest, nil)
		return
	}
	i.worker.mu.Lock()
	fails := i.worker.fails
	i.worker.mu.Unlock()
	i.mu.Lock()
	key := fmt.Sprintf(runKey, c.Task, c.Run)
	reason := ""
	switch {
	case i.ctx.Err() != nil:
		i.mu.Unlock()
		return
	case i.runs[key] != nil:
	case c.Run <= i.highest[c.Task]:
		reason = "old"
	case i.clock() >= i.until:
		reason = "late"
	default:
		r := &taskRun{c.Task, c.Run, time.Now(), time.Duration(spec.WorkMS) * time.Millisecond, fails, spec.TailMS, nil}
		if spec.Gang > 0 {
			r.gang = joinGang(c.Task, c.Run, spec.Gang)
		}
		i.runs[key] = r
		i.worker.rec.start(i.id, r)
	}
	i.mu.Unlock()
	if reason != "" {
		i.refuse(w, reason)
		return
	}
	i.answer(w, http.StatusOK, nil)
}

func (i *incarnation) stopRun(w http.ResponseWriter, c call) {
	i.mu.Lock()
	if r := i.runs[fmt.Sprintf(runKey, c.Task, c.Run)]; r != nil {
		i.end(r, "stopped")
	}
	i.highest[c.Task] = max(i.highest[c.Task], c.Run)
	i.mu.Unlock()
	i.answer(w, http.StatusOK, nil)
}

// poll answers with the lists of runs and ends, after a wait for an end.
func (i *incarnation) poll(w http.ResponseWriter, r *http.Request, c call) {
	i.mu.Lock()
	i.ends = slices.DeleteFunc(i.ends, func(e runEnd) bool { return e.number <= c.Cursor })
	changed, listed := i.changed, len(i.ends) > 0
	i.mu.Unlock()
	if c.WaitMS > 0 && !listed {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(c.WaitMS)*time.Millisecond, maxPollWait)):
		case <-r.Context().Done():
		case <-i.ctx.Done():
			return
		}
	}
	i.worker.mu.Lock()
	load := max(1, i.worker.loadFactor)
	i.worker.mu.Unlock()
	i.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, k := range slices.Sorted(maps.Keys(i.runs)) {
		x := i.runs[k]
		percent := fullPercent
		if x.work > 0 {
			percent = int(fullPercent * time.Since(x.started) / x.work)
		}
		running = append(running, []any{x.task, x.run, "", percent, x.tailMS * load})
	}
	for _, e := range i.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	i.mu.Unlock()
	i.answer(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (i *incarnation) refuse(w http.ResponseWriter, reason string) {
	i.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (i *incarnation) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	body["clock_ms"], body["born"] = i.clock(), i.born
	data, err := json.Marshal(body)
	if err != nil || i.ctx.Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

var errNotReady = errors.New("the system did not come up")
