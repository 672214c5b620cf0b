package lwrunner

import (
	"context"
	"slices"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// fakeWorker follows the worker protocol: it fences calls by token, never begins
// a run after its stop, and lists ends until the cursor acknowledges them. It is a machine:
// reboot starts its next incarnation.
type fakeWorker struct {
	mu           sync.Mutex
	boots        int                      // incarnations that have ended
	startedAt    lwunit.Millis            // stated by the lists of the current one; 0 if they state none
	calls        workerCalls              // carries out the calls, if set, in place of the worker
	removed      bool                     // its connections are closed and none is accepted
	connections  int                      // opened so far
	forgotten    []lwdispatch.NumberedEnd // ends that a cursor has acknowledged
	stopCalls    int                      // stops that arrived
	began        time.Time
	token        lwdispatch.Token
	leaseEnd     lwunit.Millis
	running      []lwdispatch.RunStatus
	ends         []lwdispatch.NumberedEnd
	lastEnd      int64
	highestEnded map[lwunit.TaskID]lwjob.RunID // highest run that was stopped or has ended
	starts       map[lwunit.TaskID]int         // runs begun

	startCalls       int             // starts that arrived
	lostStartAnswers int             // starts whose answer is lost
	delayStarts      int             // starts without an answer that are carried out later
	delayed          []func()        // the delayed starts
	noCapacity       map[string]bool // tasks that are refused with RefusedNoCapacity
	unresponsive     bool
	dark             bool                    // its machine has no power
	exited           bool                    // its process has ended
	pollError        error                   // with which polls fail at once, if set
	answersOnlyAs    lwjob.WorkerIncarnation // if set, calls for others are refused
	lostLimitAnswers int                     // CPU limits whose answer is lost
	limits           []int                   // CPU limits that arrived, in percent
}

// workerCalls are the calls of a connection.
type workerCalls interface {
	Start(ctx context.Context, c Call, o lwdispatch.StartRun, until LeaseEnd) error
	Stop(ctx context.Context, c Call, o lwdispatch.StopRun) error
	LimitCPU(ctx context.Context, c Call, o lwdispatch.LimitRunCPU) error
	Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error)
}

// fakeConn is a connection that one incarnation of a fakeWorker has accepted.
type fakeConn struct {
	w    *fakeWorker
	boot int
}

// Connect reaches the incarnation that is there. A worker that does not answer accepts
// connections all the same, which belong to none.
func (w *fakeWorker) Connect(context.Context) (Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.exited || w.removed:
		return nil, &ConnRefusedError{errNoAnswer}
	case w.dark:
		return &fakeConn{w, -1}, nil
	}
	w.connections++
	return &fakeConn{w, w.boots}, nil
}

// reach returns what carries out a call on the connection, or the error of a call that does not
// reach its incarnation. A machine without power leaves a call unanswered.
func (c *fakeConn) reach(ctx context.Context) (workerCalls, error) {
	c.w.mu.Lock()
	dark, same := c.w.dark, c.boot == c.w.boots && !c.w.removed
	var calls workerCalls = c.w
	if c.w.calls != nil {
		calls = c.w.calls
	}
	c.w.mu.Unlock()
	if dark || c.boot < 0 {
		<-ctx.Done()
		return nil, &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no answer", Cause: ctx.Err()}
	}
	if !same {
		return nil, errNoAnswer // reset
	}
	return calls, nil
}

func (c *fakeConn) Start(ctx context.Context, call Call, o lwdispatch.StartRun, until LeaseEnd) error {
	calls, err := c.reach(ctx)
	if err != nil {
		return err
	}
	return calls.Start(ctx, call, o, until)
}

func (c *fakeConn) Stop(ctx context.Context, call Call, o lwdispatch.StopRun) error {
	calls, err := c.reach(ctx)
	if err != nil {
		return err
	}
	return calls.Stop(ctx, call, o)
}

func (c *fakeConn) LimitCPU(ctx context.Context, call Call, o lwdispatch.LimitRunCPU) error {
	calls, err := c.reach(ctx)
	if err != nil {
		return err
	}
	return calls.LimitCPU(ctx, call, o)
}

func (c *fakeConn) Poll(ctx context.Context, call Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error) {
	calls, err := c.reach(ctx)
	if err != nil {
		return RunLists{}, err
	}
	return calls.Poll(ctx, call, until, cursor, wait)
}

func (c *fakeConn) Usable() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return !c.w.removed
}

func (c *fakeConn) Close() {}

// setCalls has the calls on all connections carried out by others.
func (w *fakeWorker) setCalls(calls workerCalls) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = calls
}

// setDark cuts the power of the machine: nothing runs, and calls are neither answered nor refused.
func (w *fakeWorker) setDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark, w.running = true, nil
}

// reboot starts the next incarnation, which knows nothing of the one before and may have its id.
func (w *fakeWorker) reboot(startedAt lwunit.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	w.dark, w.exited, w.pollError, w.startedAt = false, false, nil, startedAt
	w.began, w.token, w.leaseEnd, w.running, w.ends, w.lastEnd = time.Now(), 0, 0, nil, nil, 0
	w.highestEnded, w.starts, w.forgotten = make(map[lwunit.TaskID]lwjob.RunID), make(map[lwunit.TaskID]int), nil
	w.startCalls, w.stopCalls, w.delayed = 0, 0, nil
}

// replaceWorker has the runner reach another worker at the address.
func replaceWorker(r *Runner, old, next *fakeWorker) {
	old.mu.Lock()
	old.removed = true
	old.mu.Unlock()
	for _, p := range []*connPool{r.pollConns, r.orderConns} {
		p.mu.Lock()
		p.worker = next
		p.mu.Unlock()
	}
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{
		began: time.Now(), startedAt: testIncarnation.StartedAt, highestEnded: make(map[lwunit.TaskID]lwjob.RunID), starts: make(map[lwunit.TaskID]int), noCapacity: make(map[string]bool),
	}
}

// clock returns the time of the worker's clock. It is slower than the agent's, but
// not slower than minWorkerClockRate, and does not start at the same time.
func (w *fakeWorker) clock() lwunit.Millis {
	return lwunit.Millis(float64(time.Since(w.began).Milliseconds())*0.985) + 1000
}

var errNoAnswer = lwfault.New(lwfault.Unknown, "no answer")

func (w *fakeWorker) Start(ctx context.Context, c Call, o lwdispatch.StartRun, until LeaseEnd) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startCalls++
	switch {
	case w.exited:
		return &ConnRefusedError{errNoAnswer}
	case w.unresponsive:
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return errNoAnswer
	case w.delayStarts > 0:
		w.delayStarts--
		w.delayed = append(w.delayed, func() { _ = w.apply(c, o, until) })
		return errNoAnswer
	}
	err := w.apply(c, o, until)
	if w.lostStartAnswers > 0 {
		w.lostStartAnswers--
		return errNoAnswer
	}
	return err
}

func (w *fakeWorker) apply(c Call, o lwdispatch.StartRun, until LeaseEnd) error {
	switch {
	case c.Token < w.token:
		return &RefusedError{Reason: lwdispatch.RefusedFence}
	case slices.ContainsFunc(w.running, func(r lwdispatch.RunStatus) bool { return r.Task == o.Task && r.Run == o.Run }):
		return nil
	case o.Run <= w.highestEnded[o.Task]:
		return &RefusedError{Reason: lwdispatch.RefusedSuperseded}
	case lwunit.Millis(until) <= w.clock():
		return &RefusedError{Reason: lwdispatch.RefusedLeaseExpired}
	case w.noCapacity[string(o.Task)]:
		return &RefusedError{Reason: lwdispatch.RefusedNoCapacity}
	}
	w.token = c.Token
	w.leaseEnd = max(w.leaseEnd, lwunit.Millis(until))
	w.running = append(w.running, lwdispatch.RunStatus{Task: o.Task, Run: o.Run})
	w.starts[o.Task]++
	return nil
}

func (w *fakeWorker) Stop(_ context.Context, c Call, o lwdispatch.StopRun) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopCalls++
	if c.Token < w.token {
		return &RefusedError{Reason: lwdispatch.RefusedFence}
	}
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Run)
	w.recordEnd(o.Task, o.Run, lwjob.EndStopped)
	return nil
}

func (w *fakeWorker) recordEnd(t lwunit.TaskID, run lwjob.RunID, how lwjob.EndKind) {
	for i, r := range w.running {
		if r.Task == t && r.Run == run {
			w.running = slices.Delete(w.running, i, i+1)
			w.lastEnd++
			w.highestEnded[t] = max(w.highestEnded[t], run)
			w.ends = append(w.ends, lwdispatch.NumberedEnd{Number: w.lastEnd, End: lwjob.End{Task: t, Run: run, How: how}})
			return
		}
	}
}

func (w *fakeWorker) LimitCPU(_ context.Context, _ Call, o lwdispatch.LimitRunCPU) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, o.CPUPercent)
	if w.lostLimitAnswers > 0 {
		w.lostLimitAnswers--
		return errNoAnswer
	}
	return nil
}

func (w *fakeWorker) Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error) {
	w.mu.Lock()
	if w.exited {
		w.mu.Unlock()
		return RunLists{}, &ConnRefusedError{errNoAnswer}
	}
	if err := w.pollError; err != nil {
		w.mu.Unlock()
		return RunLists{}, err
	}
	if only := w.answersOnlyAs; only != (lwjob.WorkerIncarnation{}) && only != c.Incarnation {
		w.mu.Unlock()
		if only.Worker == c.Incarnation.Worker {
			return RunLists{Clock: w.clock(), StartedAt: only.StartedAt}, nil
		}
		return RunLists{}, &RefusedError{Reason: lwdispatch.RefusedUnhealthy, OtherIncarnation: true}
	}
	unresponsive := w.unresponsive
	firstEnd, boot := w.lastEnd, w.boots
	w.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return RunLists{}, &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no answer", Cause: ctx.Err()}
	}
	for waited := time.Duration(0); waited < wait; waited += 10 * time.Millisecond {
		w.mu.Lock()
		newEnd := w.lastEnd > firstEnd
		w.mu.Unlock()
		if newEnd {
			break
		}
		select {
		case <-ctx.Done():
			return RunLists{}, errNoAnswer
		case <-time.After(10 * time.Millisecond):
		}
	}
	w.mu.Lock()
	if w.dark {
		w.mu.Unlock()
		<-ctx.Done()
		return RunLists{}, &lwfault.Fault{Kind: lwfault.Unknown, Detail: "no answer", Cause: ctx.Err()}
	}
	defer w.mu.Unlock()
	if w.boots != boot {
		return RunLists{}, errNoAnswer
	}
	if c.Token < w.token {
		return RunLists{}, &RefusedError{Reason: lwdispatch.RefusedFence}
	}
	w.token = c.Token
	w.leaseEnd = max(w.leaseEnd, lwunit.Millis(until))
	w.ends = slices.DeleteFunc(w.ends, func(e lwdispatch.NumberedEnd) bool {
		if e.Number <= cursor {
			w.forgotten = append(w.forgotten, e)
		}
		return e.Number <= cursor
	})
	return RunLists{Clock: w.clock(), StartedAt: w.startedAt, Running: slices.Clone(w.running), Ends: slices.Clone(w.ends)}, nil
}

// endRun ends a run as done.
func (w *fakeWorker) endRun(t lwunit.TaskID, run lwjob.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEnd(t, run, lwjob.EndDone)
}

// runDelayedStarts carries out the delayed starts.
func (w *fakeWorker) runDelayedStarts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.delayed {
		f()
	}
	w.delayed = nil
}

// fakeLeader grants leases and records the reports.
type fakeLeader struct {
	mu          sync.Mutex
	unavailable bool
	unknown     map[lwunit.WorkerID]bool // workers that it does not add, so that they get no token
	replyTime   time.Duration
	token       lwdispatch.Token
	lease       time.Duration
	cursor      int64
	reports     []lwdispatch.Report
	receivedAt  []time.Time

	reportsGivenUp int // reports whose reply came too late

	recordsCrashes bool // reported crashes are recorded at once
	evacuated      bool // the domain of the worker
}

func (l *fakeLeader) Report(ctx context.Context, m lwdispatch.Report) (lwlink.ReportReply, error) {
	l.mu.Lock()
	replyTime := l.replyTime
	l.mu.Unlock()
	select {
	case <-time.After(replyTime):
	case <-ctx.Done():
		l.mu.Lock()
		l.reportsGivenUp++
		l.mu.Unlock()
		return lwlink.ReportReply{}, &lwfault.Fault{Kind: lwfault.Timeout, Cause: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return lwlink.ReportReply{}, lwfault.New(lwfault.Unavailable, "no leader")
	}
	l.reports = append(l.reports, m)
	l.receivedAt = append(l.receivedAt, time.Now())
	if l.unknown[m.Info.Incarnation.Worker] {
		return lwlink.ReportReply{}, nil
	}
	res := lwlink.ReportReply{Token: l.token, Cursor: l.cursor, Evacuated: l.evacuated}
	if !m.Unresponsive {
		res.Lease = lwunit.Duration(l.lease)
	}
	if l.recordsCrashes {
		for _, c := range m.Crashes {
			res.CrashesRecorded = append(res.CrashesRecorded, c.Incarnation)
		}
	}
	return res, nil
}

// refusals returns the reasons of a task's reported refusals.
func (l *fakeLeader) refusals(t lwunit.TaskID) []lwdispatch.RefusalReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []lwdispatch.RefusalReason
	for _, m := range l.reports {
		for _, f := range m.Refused {
			if f.Task == t {
				list = append(list, f.Reason)
			}
		}
	}
	return list
}

func (l *fakeLeader) lastReport() lwdispatch.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[len(l.reports)-1]
}
