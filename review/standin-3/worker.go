package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
	holdMax           = 10 * time.Second
	stopTime          = 200 * time.Millisecond // of at most stop_ms = 900
	failTime          = 300 * time.Millisecond // until a run on a worker that fails all ends
	startupTime       = 400 * time.Millisecond // until a task that lasts is at work
	checkpointWork    = 2 * time.Second
	maxEndsListed     = 500 // the others follow once these are taken note of
)

// job is a job with what a caller and the workers know of it.
type job struct {
	id    string
	spec  string
	steps []step
}

// step is one step of a job.
type step struct {
	count        int
	cpu, memory  int
	work         time.Duration // of each task; 0 lasts
	checkpointed bool
	antiAffinity int

	requiredLabel string
}

func (j *job) body() map[string]any {
	var steps []any
	for _, s := range j.steps {
		x := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": s.memory, "estimate_ms": max(400, s.work.Milliseconds())}
		if s.work == 0 {
			x["long_running"] = true
		}
		if s.checkpointed {
			x["checkpointed"] = true
		}
		if s.antiAffinity > 0 {
			x["anti_affinity"] = s.antiAffinity
		}
		if s.requiredLabel != "" {
			x["required_label"] = s.requiredLabel
		}
		steps = append(steps, x)
	}
	return map[string]any{"spec": j.spec, "steps": steps}
}

// stepOf returns the step of a task, or nil if no caller has sent the task.
func (w *world) stepOf(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	w.mu.Lock()
	j := w.jobs[parts[0]]
	w.mu.Unlock()
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.steps) {
		return nil, nil
	}
	return j, &j.steps[n]
}

// worker is a machine with a worker. Its lives follow each other at one address.
type worker struct {
	world   *world
	number  int
	address string
	agent   string // registry address of its agent

	mu     sync.Mutex
	lives  int
	life   *life // nil while there is none
	fails  bool  // all that it starts
	server *http.Server
}

func newWorker(w *world, n int) (*worker, error) {
	x := &worker{world: w, number: n, address: w.address(1, workerMachines+n, workerPort), agent: w.address(1, workerMachines+n, controlPort)}
	return x, x.begin()
}

// begin begins the next life, under an id of its own.
func (x *worker) begin() error { return x.beginAs(fmt.Sprintf("i-%d-%d", x.number, x.lives+1)) }

// beginAs begins the next life under a given id.
func (x *worker) beginAs(id string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.lives++
	l := &life{
		worker: x, id: id, born: time.Now().UnixMilli(), began: time.Now(),
		runs: make(map[string]*workerRun), blocked: make(map[string]int), changed: make(chan struct{}), ended: make(chan struct{}),
	}
	x.life = l
	x.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(listener) }(x.server)
	go l.loop()
	x.world.note("worker %s begins at machine %d", l.id, x.number)
	return nil
}

// crash ends the life without notice. Its connections close, and new ones are refused.
func (x *worker) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life == nil {
		return
	}
	l := x.life
	x.life = nil
	l.mu.Lock()
	close(l.ended)
	held := len(l.runs)
	for _, r := range l.runs {
		x.world.note("worker %s crashes under task %s run %d, after %d ms", l.id, r.task, r.id, time.Since(r.began).Milliseconds())
	}
	l.runs = nil
	l.mu.Unlock()
	x.world.note("worker %s has crashed with %d runs", l.id, held)
	_ = x.server.Close()
}

// life is one life of a worker.
type life struct {
	worker *worker
	id     string
	born   int64
	began  time.Time
	ended  chan struct{}

	mu    sync.Mutex
	seq   int64
	token uint64
	until int64 // end of the lease on its clock

	lapsedAt time.Time // when the lease was last found to have lapsed
	runs     map[string]*workerRun
	blocked  map[string]int // highest run that was stopped or has ended, by task
	lastEnd  int64
	ends     []workerEnd
	changed  chan struct{} // closed and replaced at each end
}

// workerRun is a run in progress.
type workerRun struct {
	task      string
	id        int
	step      *step
	began     time.Time
	prior     time.Duration // work done by earlier runs, from the checkpoint
	saved     string
	savedWork time.Duration
	stopAt    time.Time // when a stop takes effect; zero if none was ordered
	fails     bool
}

type workerEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

type workerRequest struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack_cursor"`
	Wait       int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// ServeHTTP serves a call of the agent.
func (l *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != l.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := l.handle(r, c)
	if body == nil {
		body = make(map[string]any)
	}
	body["clock_ms"], body["born"] = l.clock(), l.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (l *life) handle(r *http.Request, c workerRequest) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.ended:
		panic(http.ErrAbortHandler)
	default:
	}
	if c.Token < l.token {
		return refuse("fence")
	}
	l.token = c.Token
	if r.URL.Path != "/run-stop" && r.URL.Path != "/pace" {
		l.until = max(l.until, min(c.Until, l.clock()+holdMax.Milliseconds()))
	}
	switch r.URL.Path {
	case "/run-start":
		return l.start(c)
	case "/run-stop":
		l.stop(c)
		return http.StatusOK, nil
	case "/pace":
		return http.StatusOK, nil
	case "/hold":
		return l.hold(c)
	default:
		return http.StatusNotFound, nil
	}
}

func (l *life) start(c workerRequest) (int, map[string]any) {
	w := l.worker.world
	j, s := w.stepOf(c.Task)
	held := l.runs[c.Task]
	switch {
	case held != nil && held.id == c.Run:
		return http.StatusOK, nil
	case held != nil || c.Run <= l.blocked[c.Task]:
		return refuse("old")
	case l.until <= l.clock():
		return refuse("late")
	case s == nil:
		w.note("worker %s is told to start %s, which nobody sent", l.id, c.Task)
		return http.StatusBadRequest, nil
	case j.spec != c.Spec:
		w.note("worker %s is told to start %s with another spec", l.id, c.Task)
	}
	x := &workerRun{task: c.Task, id: c.Run, step: s, began: time.Now(), saved: c.Checkpoint, fails: l.worker.failing()}
	if ms, err := strconv.ParseInt(c.Checkpoint, 16, 64); err == nil {
		x.prior = time.Duration(ms) * time.Millisecond
		x.savedWork = x.prior
	}
	l.runs[c.Task] = x
	w.noteStart(l, x)
	return http.StatusOK, nil
}

func (l *life) stop(c workerRequest) {
	l.blocked[c.Task] = max(l.blocked[c.Task], c.Run)
	if x := l.runs[c.Task]; x != nil && x.id <= c.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
	}
}

func (l *life) hold(c workerRequest) (int, map[string]any) {
	for len(l.ends) > 0 && l.ends[0].number <= c.Cursor {
		l.worker.world.noteTaken(l, l.ends[0])
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && c.Wait > 0 {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-l.ended:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
		l.mu.Lock()
	}
	running, finished := []any{}, []any{}
	for _, x := range l.runs {
		running = append(running, []any{x.task, x.id, x.saved, x.percent(), 0})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEndsListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// done returns the work that the task has done.
func (x *workerRun) done() time.Duration { return x.prior + time.Since(x.began) }

func (x *workerRun) percent() int {
	if x.step.work == 0 {
		if time.Since(x.began) < startupTime {
			return 0
		}
		return 100
	}
	return min(99, int(100*x.done()/x.step.work))
}

func (x *workerRun) save() {
	if x.step.checkpointed {
		x.savedWork = x.done()
		x.saved = fmt.Sprintf("%016x", x.savedWork.Milliseconds())
	}
}

// end ends a run. The caller holds mu.
func (l *life) end(x *workerRun, how string) {
	delete(l.runs, x.task)
	l.blocked[x.task] = max(l.blocked[x.task], x.id)
	l.lastEnd++
	l.ends = append(l.ends, workerEnd{l.lastEnd, x.task, x.id, how, x.saved})
	l.worker.world.noteEnd(l, x, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// loop ends runs and sends heartbeats until the life has ended.
func (l *life) loop() {
	go l.heartbeat()
	next := time.Now().Add(heartbeatInterval)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ended:
			return
		case <-ticker.C:
		}
		l.tick()
		if time.Now().After(next) {
			next = next.Add(heartbeatInterval)
			go l.heartbeat()
		}
	}
}

func (l *life) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := l.until <= l.clock()
	if lapsed {
		l.lapsedAt = time.Now()
	}
	for _, x := range l.runs {
		switch {
		case lapsed:
			l.end(x, "lapsed")
		case !x.stopAt.IsZero() && time.Now().After(x.stopAt):
			x.save()
			l.end(x, "stopped")
		case x.fails && time.Since(x.began) >= failTime:
			l.end(x, "failed")
		case x.step.work > 0 && x.done() >= x.step.work:
			l.end(x, "done")
		case x.step.checkpointed && x.done()-x.savedWork >= checkpointWork:
			x.save()
		}
	}
}

// body returns what the worker says of itself.
func (l *life) body() map[string]any {
	x := l.worker
	return map[string]any{
		"service": serviceName, "address": x.address, "zone": zones[x.number%len(zones)], "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 64000, "mem_mb": 256000, "gpu": 0}, "labels": []string{"a", rackOf(x.number)},
		"clock_ms": l.clock(), "seq": l.seq, "born": l.born, "machine": fmt.Sprintf("m-%d", x.number),
	}
}

func (l *life) heartbeat() {
	l.mu.Lock()
	l.seq++
	body := l.body()
	l.mu.Unlock()
	_, _ = call(http.MethodPost, "http://"+l.worker.agent+"/Instances.Heartbeat/"+l.id, "", body, time.Second, nil)
}

const workersPerRack = 3

// loneRack is the rack of the seventh worker, which is alone there.
var loneRack = rackOf(2 * workersPerRack)

func rackOf(worker int) string { return fmt.Sprintf("r%d", worker/workersPerRack) }

// setFails has the worker fail all that it starts from now on, or no longer.
func (x *worker) setFails(fails bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fails = fails
}

func (x *worker) failing() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fails
}

// id returns the id of the worker that lives, or "".
func (x *worker) id() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life == nil {
		return ""
	}
	return x.life.id
}

// runsOf returns the number of runs of a job that are in progress.
func (w *world) runsOf(j *job) int {
	n := 0
	for _, x := range w.workers {
		x.mu.Lock()
		l := x.life
		x.mu.Unlock()
		if l == nil {
			continue
		}
		l.mu.Lock()
		for task := range l.runs {
			if strings.HasPrefix(task, j.id+".") {
				n++
			}
		}
		l.mu.Unlock()
	}
	return n
}
