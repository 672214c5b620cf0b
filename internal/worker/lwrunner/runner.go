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
	maxLeaveTime           = 800 * time.Millisecond // for the runs of a worker that leaves to be stopped; it waits a second for an answer
	decisionLinesPerSecond = 200                    // of each kind, in the decision log
	maxParallelOrders      = 6                      // calls to the worker at one time, besides the long poll
)

var (
	reportsSent   = lwmetric.Counter("runner_reports_total")
	reportsFailed = lwmetric.Counter("runner_reports_failed_total")
	pollsDone     = lwmetric.Counter("runner_holds_total")
	pollsFailed   = lwmetric.Counter("runner_holds_failed_total")

	announcementsIgnored = lwmetric.Counter("runner_announcements_ignored_total")

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
	asking     chan struct{} // held while the worker is asked about an announced incarnation, until the answer has taken effect

	mu                sync.Mutex
	info              lwdispatch.WorkerInfo
	announced         bool                   // an incarnation is served; info holds its newest announcement
	unanswered        *lwdispatch.WorkerInfo // last announced incarnation that did not answer a probe; nil once the one that is served answers
	answered          bool                   // the incarnation has answered a call and stated its start time
	token             lwdispatch.Token       // highest fencing token received from a leader
	maxToken          lwdispatch.Token       // highest one for any incarnation
	leaseDeadline     time.Duration          // end of the granted lease, on clock
	evacuated         bool                   // the domain of the worker is evacuated, by the last reply to a report
	cursor            int64                  // ends up to it are recorded by control
	lists             RunLists
	listsToken        lwdispatch.Token                    // token under which lists were read; 0 before the first answer
	listsRequestedAt  time.Duration                       // when the call that returned lists was sent
	clockReceivedAt   time.Duration                       // when lists.Clock was received
	failedPolls       int                                 // failed polls in a row
	answeredAt        time.Duration                       // when the worker last answered a call; 0 before its first answer
	fenced            bool                                // the last poll was refused because the worker has received a higher token
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
		reportDue: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxParallelOrders), asking: make(chan struct{}, 1),
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
	r.fenced, r.answered, r.unanswered = false, false, nil
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

// Announce handles an announcement, which anybody may have sent; seq rises with each
// announcement of an incarnation. One of the incarnation that is served describes it, unless it is older
// than the newest, and never undoes a drain. One of another incarnation is only a reason to ask the
// worker: the other one is served once it answers, which shows that the earlier one has ended.
func (r *Runner) Announce(info lwdispatch.WorkerInfo, seq int64) {
	info.Agent, info.Seq = r.name, seq
	if r.describe(info) {
		r.requestReport(true)
		return
	}
	r.consider(info)
}

// describe applies an announcement of the incarnation that is served. It returns false if the
// incarnation must be asked first: it is another one, or has not answered yet.
func (r *Runner) describe(info lwdispatch.WorkerInfo) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.announced || info.Incarnation != r.info.Incarnation {
		return false
	}
	if !r.updateInfo(info) {
		return true
	}
	return r.answered
}

// updateInfo replaces the description of the incarnation that is served, unless it is as new. The
// caller holds mu.
func (r *Runner) updateInfo(info lwdispatch.WorkerInfo) (updated bool) {
	if info.Seq <= r.info.Seq {
		return false
	}
	if info.Draining != r.info.Draining {
		r.log.Info("worker drains", zap.String("worker", string(info.Incarnation.Worker)), zap.Bool("draining", info.Draining))
	}
	info.Draining, info.Leaving = info.Draining || r.info.Draining, r.info.Leaving
	r.info = info
	return true
}

// consider asks the worker about an incarnation that has not answered yet, and serves it
// if it may take the place of the one that is served.
func (r *Runner) consider(info lwdispatch.WorkerInfo) {
	r.asking <- struct{}{} // an answer tells only what was before it, so none may take effect after a later one
	defer func() { <-r.asking }()
	r.considerInTurn(info)
}

// considerInTurn does what consider does. The caller holds asking.
func (r *Runner) considerInTurn(info lwdispatch.WorkerInfo) {
	answer := r.ask(info.Incarnation)
	r.mu.Lock()
	switch {
	case r.announced && info.Incarnation == r.info.Incarnation:
		r.updateInfo(info) // it may be served since this announcement began to wait
		r.answered = r.answered || answer == answerOwn
	case r.mayServe(answer):
		r.serve(info, answer)
	default:
		r.ignore(info, answer)
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	r.requestReport(true)
}

// mayServe reports whether an incarnation, given the answer to a probe that was meant for it, may
// be served from now on. The one before has ended if the other one has answered. Nothing is lost
// with one that has never answered, as it was given nothing to run. The caller holds mu.
func (r *Runner) mayServe(a answer) bool {
	switch a {
	case answerOwn:
		return true
	case answerFenced:
		return r.clockReceivedAt == 0 || r.ended
	case answerOther:
		return false
	default:
		return !r.announced
	}
}

// serve replaces the incarnation that is served. The caller holds mu.
func (r *Runner) serve(info lwdispatch.WorkerInfo, a answer) {
	fields := []zap.Field{zap.String("worker", string(info.Incarnation.Worker)), zap.Int64("born", int64(info.Incarnation.StartedAt)), zap.String("answer", string(a))}
	if r.announced {
		fields = append(fields, zap.Dict("earlier", append(r.lastContact(), zap.Int64("born", int64(r.info.Incarnation.StartedAt)), zap.Bool("ended", r.ended))...))
		if !r.endNoted {
			r.noteCrash("another incarnation answers in its place")
		}
	}
	r.resetIncarnation()
	r.announced, r.info, r.answered = true, info, a == answerOwn
	r.log.Info("worker announced", fields...)
}

// ignore notes that an announced incarnation is not served. One that did not answer is asked again
// when a poll has failed. The caller holds mu.
func (r *Runner) ignore(info lwdispatch.WorkerInfo, a answer) {
	announcementsIgnored.Add(1)
	r.decisions.Info("announcement_ignored", zap.String("worker", string(info.Incarnation.Worker)), zap.Int64("born", int64(info.Incarnation.StartedAt)), zap.String("answer", string(a)))
	if a == answerNone {
		r.unanswered = &info
	}
}

// askAgain asks the worker about the last announced incarnation that did not answer, while the one
// that is served does not answer either.
func (r *Runner) askAgain() {
	select {
	case r.asking <- struct{}{}:
		defer func() { <-r.asking }()
	default:
		return // the worker is being asked, and polls must not wait for that
	}
	r.mu.Lock()
	info := r.unanswered
	r.unanswered = nil
	r.mu.Unlock()
	if info != nil {
		r.considerInTurn(*info)
	}
}

// answer says who answers a probe that is meant for an incarnation.
type answer string

const (
	answerOwn    answer = "own"    // the incarnation itself
	answerOther  answer = "other"  // another incarnation
	answerFenced answer = "fenced" // a worker with its id, which has received a higher token and does not say which incarnation it is
	answerNone   answer = "none"   // nobody
)

// ask probes the worker's address, on a new connection, for an incarnation.
func (r *Runner) ask(i lwjob.WorkerIncarnation) answer {
	lists, err := r.probe(Call{Incarnation: i})
	refused, isRefusal := errors.AsType[*RefusedError](err)
	r.mu.Lock()
	token := r.maxToken
	r.mu.Unlock()
	if isRefusal && refused.Reason == lwdispatch.RefusedFence && token != 0 {
		lists, err = r.probe(Call{i, token}) // it has received a token, so a call with none tells nothing
		refused, isRefusal = errors.AsType[*RefusedError](err)
	}
	switch {
	case isRefusal && refused.OtherIncarnation || err == nil && lists.ofOther(i):
		return answerOther
	case isRefusal && refused.Reason == lwdispatch.RefusedFence:
		return answerFenced
	case err == nil && lists.StartedAt == i.StartedAt:
		return answerOwn
	default:
		return answerNone
	}
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

// Deregister handles a deregistration: nothing more is started on the worker, and the leader is asked to stop
// its runs. It does not show that the worker's process has ended, as anybody may have sent it. StartedAt is 0 if
// it is not stated. Deregister returns once the worker lists no runs, or after maxLeaveTime, since the worker
// may end when it is answered.
func (r *Runner) Deregister(i lwjob.WorkerIncarnation) {
	r.mu.Lock()
	current := r.info.Incarnation
	if !r.announced || current.Worker != i.Worker || i.StartedAt != 0 && i.StartedAt != current.StartedAt {
		r.mu.Unlock()
		return
	}
	r.info.Draining, r.info.Leaving = true, true
	r.log.Info("worker deregistered", append(r.lastContact(), zap.Int64("born", int64(i.StartedAt)))...)
	r.mu.Unlock()
	r.requestReport(true)
	for waited := time.Duration(0); waited < maxLeaveTime && r.listsRuns(current); waited += pollPause {
		time.Sleep(pollPause)
	}
}

// listsRuns reports whether an incarnation is served, answers and has listed runs in progress.
func (r *Runner) listsRuns(i lwjob.WorkerIncarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info.Incarnation == i && len(r.lists.Running) > 0 && r.failedPolls < unresponsiveAfterPolls && !r.ended
}
