package lwrunner

import (
	"context"
	"errors"
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
	reportInterval         = 400 * time.Millisecond // between full reports; a tenth of the default lease
	fastReportInterval     = 150 * time.Millisecond // between full reports while the leader asks for fast reports, to control tail latency
	minReportTimeout       = 600 * time.Millisecond // for the leader's reply; several round trips
	maxReportTimeout       = 2 * time.Second        // leaves half of the default lease when the reply arrives
	reportRetryPause       = 50 * time.Millisecond  // after a report without a reply
	workerCallTimeout      = 300 * time.Millisecond // for the worker's answer; it is on the same machine
	maxPollWait            = 500 * time.Millisecond // for an end; short, because it also delays the next acknowledgement
	pollPause              = 25 * time.Millisecond  // between long polls that return no new end
	orderRetryPause        = 100 * time.Millisecond // before an order is tried again, and after a failed poll
	minLeaseForStart       = 150 * time.Millisecond // that must be left for a start to be sent
	unresponsiveAfterPolls = 3                      // failed polls in a row until the worker counts as unresponsive
	goneAfterRefusals      = 3                      // refused connections in a row until the worker's process may have ended; a single one may hit a restart of its listener
	minWorkerClockRate     = 0.98                   // lowest rate of the worker's clock relative to the agent's
	decisionLinesPerSecond = 200                    // of each kind, in the decision log
	maxParallelOrders      = 6                      // calls to the worker at one time, besides the long poll
)

var (
	reportsSent    = lwmetric.Counter("runner_reports_total")
	reportsFailed  = lwmetric.Counter("runner_reports_failed_total")
	pollsDone      = lwmetric.Counter("runner_holds_total")
	pollsFailed    = lwmetric.Counter("runner_holds_failed_total")
	ordersSent     = lwmetric.Counter("runner_starts_total") // counts stops and CPU limits too
	startsRepeated = lwmetric.Counter("runner_starts_repeated_total")
	orderLatency   = lwmetric.NewHistogram("runner_start_latency") // of stops and CPU limits too
	pollLatency    = lwmetric.NewHistogram("runner_hold_latency")  // of polls that do not wait for an end
)

type runKey struct {
	task lwunit.TaskID
	run  lwjob.RunID
}

// Runner serves one incarnation of a worker at a time.
type Runner struct {
	name       string
	pollConns  *connPool
	orderConns *connPool // apart, so that polls which time out do not use up the connections of orders
	leader     Leader
	log        *zap.Logger
	decisions  *lwlog.RateLimitedLogger
	clock      lwclock.Clock
	reportDue  chan struct{} // signals that a report is due
	orderSlots chan struct{} // bounds the parallel order calls to the worker

	mu                sync.Mutex
	info              lwdispatch.WorkerInfo
	replaced          map[lwjob.WorkerIncarnation]bool // incarnations that a newer one has replaced
	announced         bool                             // a worker has announced itself; info holds its newest announcement
	announceSeq       int64                            // of the newest announcement
	token             lwdispatch.Token                 // highest fencing token received from a leader
	maxToken          lwdispatch.Token                 // highest one for any incarnation
	leaseDeadline     time.Duration                    // end of the granted lease, on clock
	evacuated         bool                             // the domain of the worker is evacuated, by the last reply to a report
	cursor            int64                            // ends up to it are recorded by control
	lists             RunLists
	listsToken        lwdispatch.Token                    // token under which lists were read; 0 before the first answer
	listsRequestedAt  time.Duration                       // when the call that returned lists was sent
	clockReceivedAt   time.Duration                       // when lists.Clock was received
	failedPolls       int                                 // failed polls in a row
	answeredAt        time.Duration                       // when the worker last answered a call; 0 before its first answer
	fenced            bool                                // the last poll was refused because the worker has received a higher token
	deregistered      bool                                // the worker has said that it ends
	silent            bool                                // a call has timed out since the worker last answered one
	brokenAt          time.Duration                       // when a call first found the connection broken or refused, since the worker last answered one; 0 if none has
	ended             bool                                // another incarnation has answered in the worker's place
	replacedByOtherID bool                                // one with another id, which carries out no call that is meant for this one
	endNoted          bool                                // noteCrash was called
	held              map[runKey]heldRun                  // runs that the worker may hold
	crashes           []lwdispatch.Crash                  // of all incarnations, that no leader has recorded
	refusedConns      int                                 // polls in a row whose connection was refused
	reportedEnd       int64                               // number of the highest end that the leader has received
	knownEnds         map[runKey]bool                     // runs whose end has been listed
	refusals          []lwdispatch.Refusal                // not reported yet
	shown             map[runKey]bool                     // runs that lists of this incarnation have shown, in progress or ended
	blocked           map[runKey]bool                     // runs that were reported as refused and can never begin
	unblocked         map[runKey]bool                     // those of them that the worker has not blocked, so that another process could start them
	repeatedAt        map[runKey]time.Duration            // when the start of a run that no lists have shown was last sent again
	refusalReasons    map[runKey]lwdispatch.RefusalReason // of runs that are stopped because their start was refused
	starting          map[runKey]bool                     // runs with a start in progress
	stopping          map[runKey]bool                     // runs with a stop in progress
	stopAnsweredAt    map[runKey]time.Duration            // when the worker answered the stop of a run; kept until lists requested later show how the run ended or that it never began
	limitOrders       int64                               // CPU limits ordered so far
	newestLimit       map[runKey]int64                    // limitOrders at the newest CPU limit of a run, while it is carried out
	fullReportDue     bool                                // the next report must list all runs and ends
	fastReports       bool                                // the leader asked for reports at fastReportInterval
	reportTimeout     time.Duration                       // for the reply to the next report
}

// New returns a runner for the agent with the given name.
func New(name string, w Worker, l Leader, log *zap.Logger) *Runner {
	r := &Runner{
		name: name, pollConns: &connPool{worker: w}, orderConns: &connPool{worker: w}, leader: l, log: log, decisions: lwlog.NewRateLimitedLogger(log, decisionLinesPerSecond), clock: lwclock.New(),
		reportDue: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxParallelOrders), replaced: make(map[lwjob.WorkerIncarnation]bool),
		reportTimeout: minReportTimeout,
	}
	r.resetIncarnation()
	return r
}

// resetIncarnation discards the state that belongs to the previous incarnation
// of the worker. The caller holds mu, or is New.
func (r *Runner) resetIncarnation() {
	r.token, r.leaseDeadline, r.cursor, r.failedPolls, r.refusedConns, r.reportedEnd = 0, 0, 0, 0, 0, 0
	r.lists, r.listsToken, r.listsRequestedAt, r.clockReceivedAt = RunLists{}, 0, 0, 0
	r.knownEnds = make(map[runKey]bool)
	r.held = make(map[runKey]heldRun)
	r.brokenAt, r.answeredAt, r.silent = 0, 0, false
	r.ended, r.replacedByOtherID, r.endNoted = false, false, false
	r.fenced, r.deregistered = false, false
	r.evacuated = false // nothing starts before a reply grants a lease
	r.refusals = nil
	r.refusalReasons = make(map[runKey]lwdispatch.RefusalReason)
	r.shown, r.blocked, r.repeatedAt = make(map[runKey]bool), make(map[runKey]bool), make(map[runKey]time.Duration)
	r.unblocked = make(map[runKey]bool)
	r.starting = make(map[runKey]bool)
	r.stopping = make(map[runKey]bool)
	r.newestLimit = make(map[runKey]int64)
	r.stopAnsweredAt = make(map[runKey]time.Duration)
}

// Run serves until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { r.pollLoop(ctx) })
	done.Go(func() { r.reportLoop(ctx) })
	done.Wait()
	r.pollConns.close()
	r.orderConns.close()
}

// Announce handles an announcement of a worker; seq rises with each
// announcement of an incarnation. One of an older incarnation, or older than
// the newest of this one, is ignored, and a drain is never undone. One of another
// incarnation than the worker's at the address is ignored, too: it would end all runs of
// that worker.
func (r *Runner) Announce(info lwdispatch.WorkerInfo, seq int64) {
	info.Agent, info.Seq = r.name, seq
	if r.isDenied(info.Incarnation) {
		r.log.Warn("announcement ignored", zap.String("worker", string(info.Incarnation.Worker)), zap.Int64("born", int64(info.Incarnation.StartedAt)), zap.String("reason", "another worker answers at the address"))
		return
	}
	returned := r.hasReturned(info.Incarnation)
	r.mu.Lock()
	switch {
	case !r.announced || info.Incarnation != r.info.Incarnation:
		if returned && r.ended {
			delete(r.replaced, info.Incarnation)
		}
		if r.replaced[info.Incarnation] || (r.announced && !r.ended && info.Incarnation.StartedAt < r.info.Incarnation.StartedAt) {
			r.mu.Unlock()
			return
		}
		if r.announced {
			r.replaced[r.info.Incarnation] = true
			if !r.endNoted {
				r.noteCrash("a newer incarnation announced itself")
			}
		}
		r.resetIncarnation()
		r.announced, r.info, r.announceSeq = true, info, seq
		r.log.Info("worker announced", zap.String("worker", string(info.Incarnation.Worker)), zap.Int64("born", int64(info.Incarnation.StartedAt)))
	case seq <= r.announceSeq:
		r.mu.Unlock()
		return
	default:
		if info.Draining != r.info.Draining {
			r.log.Info("worker drains", zap.String("worker", string(info.Incarnation.Worker)), zap.Bool("draining", info.Draining))
		}
		info.Draining = info.Draining || r.info.Draining
		r.info, r.announceSeq = info, seq
	}
	r.mu.Unlock()
	r.requestReport(true)
}

// isDenied reports whether another incarnation than a newly announced one answers at the
// worker's address. Without an answer it is not known.
func (r *Runner) isDenied(i lwjob.WorkerIncarnation) bool {
	r.mu.Lock()
	known := r.announced && r.info.Incarnation == i || r.replaced[i]
	token := r.token
	r.mu.Unlock()
	if known {
		return false
	}
	lists, err := r.probe(Call{Incarnation: i})
	refused, isRefusal := errors.AsType[*RefusedError](err)
	if isRefusal && refused.Reason == lwdispatch.RefusedFence && token != 0 {
		lists, err = r.probe(Call{i, token}) // it has received a token, so a call with none tells nothing
		refused, isRefusal = errors.AsType[*RefusedError](err)
	}
	return isRefusal && refused.OtherIncarnation || err == nil && lists.ofOther(i)
}

// hasReturned reports whether an incarnation that another one has replaced answers at the worker's
// address, while that other one does not: an announcement that was not the worker's own, which
// nothing contradicted at that time, must not keep the worker out.
func (r *Runner) hasReturned(i lwjob.WorkerIncarnation) bool {
	r.mu.Lock()
	asks := r.replaced[i] && r.ended && i != r.info.Incarnation
	r.mu.Unlock()
	if !asks {
		return false
	}
	lists, err := r.probe(Call{Incarnation: i})
	if refused, ok := errors.AsType[*RefusedError](err); ok && refused.Reason == lwdispatch.RefusedFence {
		r.mu.Lock()
		token := r.maxToken
		r.mu.Unlock()
		lists, err = r.probe(Call{i, token})
	}
	return err == nil && lists.StartedAt == i.StartedAt
}

// probe reads the lists of whichever worker answers at the address, and changes nothing.
func (r *Runner) probe(c Call) (RunLists, error) {
	call, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	conn, err := r.pollConns.worker.Connect(call)
	if err != nil {
		return RunLists{}, err
	}
	defer conn.Close()
	return conn.Poll(call, c, 0, 0, 0)
}

// Deregister handles a worker's deregistration: nothing more is started on it.
// StartedAt is 0 if the worker does not state it.
func (r *Runner) Deregister(i lwjob.WorkerIncarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.info.Incarnation
	if r.announced && current.Worker == i.Worker && (i.StartedAt == 0 || i.StartedAt == current.StartedAt) {
		r.info.Draining, r.deregistered = true, true
		r.log.Info("worker deregistered", zap.String("worker", string(i.Worker)))
	}
}
