package lwrunner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	reportInterval = 400 * time.Millisecond // between whole reports; a tenth of the usual lease
	fastInterval   = 150 * time.Millisecond // the same while the leader watches tails
	reportTimeout  = 600 * time.Millisecond // for the leader's answer; several round trips
	retryPause     = 50 * time.Millisecond  // after a report that found no leader
	callTimeout    = 300 * time.Millisecond // for an answer of the worker, which is on the same machine
	holdWait       = 500 * time.Millisecond // for an end; short, since it also delays the cursor
	holdPause      = 25 * time.Millisecond  // between holds that bring nothing new
	orderPause     = 100 * time.Millisecond // before an order without an answer is repeated
	leastLease     = 150 * time.Millisecond // left of the lease for a start to be worth sending
	silentAfter    = 3                      // holds without an answer until the worker counts as silent
	goneAfter      = 3                      // refused connections in a row until its process counts as ended; one may fall into a restart of its listener
	workerRate     = 0.98                   // least rate of the worker's clock against this one
	linesPerSecond = 200                    // of one kind in the decision log
	parallelOrders = 6                      // calls to the worker at one time, beside the hold
)

var (
	reportsSent   = lwmetric.Counter("runner_reports_total")
	reportsFailed = lwmetric.Counter("runner_reports_failed_total")
	holdsDone     = lwmetric.Counter("runner_holds_total")
	holdsFailed   = lwmetric.Counter("runner_holds_failed_total")
	startsSent    = lwmetric.Counter("runner_starts_total")
	startsRepeat  = lwmetric.Counter("runner_starts_repeated_total")
	startLatency  = lwmetric.NewHistogram("runner_start_latency")
	holdLatency   = lwmetric.NewHistogram("runner_hold_latency")
)

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// Runner serves one worker at a time.
type Runner struct {
	name      string
	worker    Worker
	leader    Leader
	log       *zap.Logger
	decisions *lwlog.Limited
	clock     lwclock.Clock
	wake      chan struct{} // a report is due
	slots     chan struct{} // bounds parallel orders

	mu       sync.Mutex
	info     lwdispatch.WorkerInfo
	past     map[lwjob.WorkerLife]bool // lives that are over
	known    bool                      // a worker has announced itself
	seq      int64                     // of its newest announcement
	token    lwdispatch.Token          // of the leader that answered last
	deadline time.Duration             // end of the lease that the leader granted
	cursor   int64
	lists    Lists
	listed   lwdispatch.Token // token under which lists was read; 0 before
	listedAt time.Duration
	clockAt  time.Duration // when lists.Clock was received
	failed   int           // holds in a row without an answer
	absent   int           // connections in a row that the worker\'s machine refused
	reported int64         // highest end that the leader has been told of
	ended    map[runKey]bool
	refused  []lwdispatch.Refusal
	starting map[runKey]bool          // orders being carried out
	stopping map[runKey]bool          // the same for stops
	blocked  map[runKey]time.Duration // stops that were answered, and when
	full     bool                     // the next report must be whole
	fast     bool                     // the leader wants figures sooner
}

// New returns a runner for the agent of that name.
func New(name string, w Worker, l Leader, log *zap.Logger) *Runner {
	r := &Runner{
		name: name, worker: w, leader: l, log: log, decisions: lwlog.Limit(log, linesPerSecond), clock: lwclock.New(),
		wake: make(chan struct{}, 1), slots: make(chan struct{}, parallelOrders), past: make(map[lwjob.WorkerLife]bool),
	}
	r.reset()
	return r
}

// reset forgets everything about the worker life before.
func (r *Runner) reset() {
	r.token, r.deadline, r.cursor, r.failed, r.absent, r.reported = 0, 0, 0, 0, 0, 0
	r.lists, r.listed, r.listedAt, r.clockAt = Lists{}, 0, 0, 0
	r.ended = make(map[runKey]bool)
	r.refused = nil
	r.starting = make(map[runKey]bool)
	r.stopping = make(map[runKey]bool)
	r.blocked = make(map[runKey]time.Duration)
}

// Run serves until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { r.holdLoop(ctx) })
	done.Go(func() { r.reportLoop(ctx) })
	done.Wait()
}

// Announce takes what a worker says of itself; seq rises with each
// announcement of a life. An older life or announcement changes nothing.
func (r *Runner) Announce(info lwdispatch.WorkerInfo, seq int64) {
	info.Agent = r.name
	r.mu.Lock()
	switch {
	case !r.known || info.Life != r.info.Life:
		if r.past[info.Life] || (r.known && info.Life.Born < r.info.Life.Born) {
			r.mu.Unlock()
			return
		}
		if r.known {
			r.past[r.info.Life] = true
		}
		r.reset()
		r.known, r.info, r.seq = true, info, seq
		r.log.Info("worker announced", zap.String("worker", string(info.Life.Worker)), zap.Int64("born", int64(info.Life.Born)))
	case seq <= r.seq:
		r.mu.Unlock()
		return
	default:
		if info.Draining != r.info.Draining {
			r.log.Info("worker drains", zap.String("worker", string(info.Life.Worker)), zap.Bool("draining", info.Draining))
		}
		info.Draining = info.Draining || r.info.Draining
		r.info, r.seq = info, seq
	}
	r.mu.Unlock()
	r.report(true)
}

// Leave notes that the worker has ended.
func (r *Runner) Leave(id lwunit.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && r.info.Life.Worker == id {
		r.info.Draining = true
		r.log.Info("worker left", zap.String("worker", string(id)))
	}
}
