package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
	startupTime       = 300 * time.Millisecond // of a task that lasts, until it is at work
	maxLeaseMS        = 10000                  // hold_max_ms
	maxWait           = 2 * time.Second        // of a long poll
	fullPercent       = 100
)

// worker is a machine with a worker whose boots follow each other at one address.
type worker struct {
	name     string
	labels   []string
	capacity int // thousandths of a core
	memoryMB int
	onStart  func(task string, run int) // called after a task has begun
	onEnd    func(task string, run int, how string)
	onNoted  func(task string, run int, how string) // called when ack_cursor reaches an end

	cluster *cluster
	address string
	agent   string
	zone    string
	silence time.Duration // from the start of a boot until its first heartbeat

	mu      sync.Mutex
	failed  bool // fails all that it starts
	sameID  bool // the next boot has the id of the one before
	loaded  bool // the serving tasks have the load of their busy time
	boots   int
	lastID  string       // of the newest boot
	server  *http.Server // nil while connections are refused
	running *boot        // the current boot; nil while the worker is down
}

func newWorker(name string, labels ...string) *worker {
	return &worker{name: name, labels: labels, capacity: 64000, memoryMB: 256000}
}

// boot is one life of a worker.
type boot struct {
	worker *worker
	id     string
	born   int64
	began  time.Time
	mux    *http.ServeMux

	mu      sync.Mutex
	ended   bool
	seq     int
	beaten  bool // a heartbeat was acknowledged
	token   uint64
	until   float64 // end of the lease on its clock
	runs    map[string]*run
	highest map[string]int // highest run that was stopped or has ended, by task
	number  int64
	ends    []end
	changed chan struct{} // closed and replaced at each end
}

type run struct {
	id      int
	began   time.Time
	does    behaviour
	fails   bool
	percent int
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// boot starts the next boot of the worker.
func (w *worker) boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			return err
		}
		w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Second, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bootKey{}, w.current())
		}}
		server := w.server
		go func() { _ = server.Serve(l) }()
	}
	w.boots++
	b := &boot{
		worker: w, id: fmt.Sprintf("i-%s-%d", w.name, w.boots), born: time.Now().UnixMilli(), began: time.Now(), mux: http.NewServeMux(),
		runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
	if w.sameID {
		b.id = w.lastID
	}
	w.lastID = b.id
	mux := b.mux
	mux.HandleFunc("POST /run-start", b.handle((*boot).start))
	mux.HandleFunc("POST /run-stop", b.handle((*boot).stop))
	mux.HandleFunc("POST /hold", b.handle((*boot).hold))
	mux.HandleFunc("POST /pace", b.handle((*boot).pace))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.running = b
	w.cluster.rec.add("worker %s boots as %s, labels %v", w.name, b.id, w.labels)
	go b.loop()
	return nil
}

// bootKey is the key of the boot that accepted a connection, in its context.
type bootKey struct{}

// serve passes a request to the boot that accepted its connection. While the machine is dark
// nothing is answered, and a later boot resets the connections of earlier ones.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	accepted, _ := r.Context().Value(bootKey{}).(*boot)
	switch current := w.current(); {
	case accepted == nil || current == nil:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case accepted != current:
		panic(http.ErrAbortHandler)
	default:
		current.mux.ServeHTTP(rw, r)
	}
}

func (w *worker) current() *boot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *worker) registered() bool {
	b := w.current()
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beaten
}

func (w *worker) setFailed(failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = failed
}

func (w *worker) setLoaded(loaded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = loaded
}

// crash ends the current boot and all that it runs. The worker refuses connections.
func (w *worker) crash() {
	w.darken()
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// darken ends the current boot and all that it runs. The machine answers nothing and closes
// no connection, as after a loss of power.
func (w *worker) darken() {
	w.mu.Lock()
	b := w.running
	w.running = nil
	w.mu.Unlock()
	if b == nil {
		return
	}
	w.cluster.rec.add("worker %s: %s crashes", w.name, b.id)
	b.mu.Lock()
	b.ended = true
	lost := b.runs
	b.runs = nil
	b.mu.Unlock()
	for task, r := range lost {
		w.ended(task, r.id, "lost")
	}
}

func (w *worker) shutDown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running != nil {
		w.running.mu.Lock()
		w.running.ended = true
		w.running.mu.Unlock()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

func (w *worker) ended(task string, run int, how string) {
	w.cluster.rec.add("worker %s: %s run %d ended %s", w.name, task, run, how)
	if w.onEnd != nil {
		w.onEnd(task, run, how)
	}
}

// request is the body of any call to a worker.
type request struct {
	Task    string  `json:"task"`
	Run     int     `json:"run_id"`
	Spec    string  `json:"spec"`
	UntilMS float64 `json:"until_ms"`
	Token   uint64  `json:"fencing_token"`
	Cursor  int64   `json:"ack_cursor"`
	WaitMS  int     `json:"wait_ms"`
	Percent int     `json:"percent"`
}

type response struct {
	status int
	fields map[string]any
}

func refuse(reason string) response {
	return response{http.StatusConflict, map[string]any{"reason": reason}}
}

func accept() response { return response{http.StatusOK, make(map[string]any)} }

func (b *boot) handle(do func(*boot, request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q request
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		a := do(b, q)
		b.mu.Lock()
		ended := b.ended
		b.mu.Unlock()
		if ended {
			<-r.Context().Done() // a dark machine closes no connection
			panic(http.ErrAbortHandler)
		}
		a.fields["clock_ms"], a.fields["born"] = int64(b.clock()), b.born
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_ = json.NewEncoder(w).Encode(a.fields)
	}
}

// setSameID has the next boots keep the id.
func (w *worker) setSameID() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sameID = true
}

// clock returns the time of the worker's clock in milliseconds.
func (b *boot) clock() float64 { return float64(time.Since(b.began)) / float64(time.Millisecond) }

// fenced reports whether a call has a lower token than the highest seen, which it
// raises. The caller holds mu.
func (b *boot) fenced(q request) bool {
	if q.Token < b.token {
		return true
	}
	b.token = q.Token
	return false
}

// extend renews the lease. The caller holds mu.
func (b *boot) extend(until float64) { b.until = max(b.until, min(until, b.clock()+maxLeaseMS)) }

func (b *boot) start(q request) response {
	var does behaviour
	if json.Unmarshal([]byte(q.Spec), &does) != nil {
		return response{http.StatusBadRequest, make(map[string]any)}
	}
	b.worker.mu.Lock()
	fails := b.worker.failed
	b.worker.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.fenced(q) {
		return refuse("fence")
	}
	b.extend(q.UntilMS)
	r := b.runs[q.Task]
	switch {
	case r != nil && r.id == q.Run:
		return accept()
	case r != nil || q.Run <= b.highest[q.Task]:
		return refuse("old")
	case b.until <= b.clock():
		return refuse("late")
	}
	b.runs[q.Task] = &run{id: q.Run, began: time.Now(), does: does, fails: fails, percent: fullPercent}
	b.worker.cluster.rec.add("worker %s: %s run %d starts", b.worker.name, q.Task, q.Run)
	if b.worker.onStart != nil {
		go b.worker.onStart(q.Task, q.Run)
	}
	return accept()
}

func (b *boot) stop(q request) response {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.fenced(q) {
		return refuse("fence")
	}
	b.highest[q.Task] = max(b.highest[q.Task], q.Run)
	if r := b.runs[q.Task]; r != nil && r.id <= q.Run {
		b.finish(q.Task, r, "stopped")
	}
	return accept()
}

func (b *boot) pace(q request) response {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.fenced(q) {
		return refuse("fence")
	}
	if r := b.runs[q.Task]; r != nil && r.id == q.Run {
		r.percent = q.Percent
	}
	return accept()
}

func (b *boot) hold(q request) response {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.fenced(q) {
		return refuse("fence")
	}
	b.extend(q.UntilMS)
	b.forget(q.Cursor)
	if wait := min(time.Duration(q.WaitMS)*time.Millisecond, maxWait); len(b.ends) == 0 && wait > 0 {
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		b.mu.Lock()
	}
	b.worker.mu.Lock()
	loaded := b.worker.loaded
	b.worker.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range b.runs {
		running = append(running, []any{task, r.id, "", r.progress(), r.gauge(loaded)})
	}
	for _, e := range b.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return response{http.StatusOK, map[string]any{"running": running, "finished": finished}}
}

// forget forgets the ends that are taken note of. The caller holds mu.
func (b *boot) forget(cursor int64) {
	b.ends = slices.DeleteFunc(b.ends, func(e end) bool {
		if e.number > cursor {
			return false
		}
		b.worker.cluster.rec.add("worker %s: ack_cursor %d reaches end %d of %s run %d, %s", b.worker.name, cursor, e.number, e.task, e.run, e.how)
		if b.worker.onNoted != nil {
			b.worker.onNoted(e.task, e.run, e.how)
		}
		return true
	})
}

// progress returns the percentage of the work that is done; a task that lasts is at work
// at 100.
func (r *run) progress() int {
	worked := time.Since(r.began)
	if r.does.WorkMS == 0 {
		return int(min(fullPercent, fullPercent*worked/startupTime))
	}
	return int(min(fullPercent-1, fullPercent*worked/r.work()))
}

func (r *run) work() time.Duration { return time.Duration(r.does.WorkMS) * time.Millisecond }

// busyPercent is the tail latency of a serving task in its busy time, as a percentage of
// the usual one. It is that of a queue whose load rises from 0.48 to 0.72, the range in
// the site file.
const busyPercent = 186

// gauge returns the tail latency of a serving task, and otherwise the processors in use.
func (r *run) gauge(loaded bool) int {
	tail := cmp.Or(r.does.TailMS, 1000)
	if loaded && r.does.TailMS > 0 {
		tail = tail * busyPercent / fullPercent
	}
	return tail
}

// finish ends a run. The caller holds mu.
func (b *boot) finish(task string, r *run, how string) {
	delete(b.runs, task)
	b.highest[task] = max(b.highest[task], r.id)
	b.number++
	b.ends = append(b.ends, end{b.number, task, r.id, how})
	close(b.changed)
	b.changed = make(chan struct{})
	b.worker.ended(task, r.id, how)
}

// loop ends runs and sends heartbeats until the boot has ended.
func (b *boot) loop() {
	next := b.began.Add(b.worker.silence)
	for {
		time.Sleep(tickInterval)
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			return
		}
		b.tick()
		interval := heartbeatInterval
		if !b.beaten {
			interval /= 5 // a worker calls again at once if it gets no acknowledgement
		}
		b.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(interval)
			go b.beat()
		}
	}
}

// failAfter is how long a task runs on a worker that fails all that it starts.
const failAfter = 100 * time.Millisecond

// tick ends the runs whose lease has expired or whose work is over. The caller holds mu.
func (b *boot) tick() {
	lapsed := b.until <= b.clock()
	for task, r := range b.runs {
		worked := time.Since(r.began)
		switch {
		case lapsed:
			b.finish(task, r, "lapsed")
		case r.fails && worked >= failAfter:
			b.finish(task, r, "failed")
		case r.does.WorkMS > 0 && worked >= r.work():
			b.finish(task, r, "done")
		}
	}
}

// beat sends one heartbeat.
func (b *boot) beat() {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.seq++
	body := map[string]any{
		"service": service, "address": b.worker.address, "zone": b.worker.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": b.worker.capacity, "mem_mb": b.worker.memoryMB, "gpu": 0}, "labels": b.worker.labels,
		"machine": "m-" + b.worker.name, "clock_ms": int64(math.Round(b.clock())), "seq": b.seq, "born": b.born,
	}
	b.mu.Unlock()
	if status, _ := call("POST", "http://"+b.worker.agent+"/Instances.Heartbeat/"+b.id, "", body, time.Second); status/100 == 2 {
		b.mu.Lock()
		b.beaten = true
		b.mu.Unlock()
	}
}
