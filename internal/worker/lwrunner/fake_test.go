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

// fakeWorker keeps the rules of a worker that runs what it is told: fencing by
// token, runs that are blocked by a stop, ends kept until the cursor passes.
type fakeWorker struct {
	mu      sync.Mutex
	began   time.Time
	token   lwdispatch.Token
	lease   lwunit.Millis
	running []lwdispatch.RunRow
	ends    []lwdispatch.EndRow
	next    int64
	highest map[lwunit.TaskID]lwjob.RunID // stopped or ended
	starts  map[lwunit.TaskID]int         // runs begun

	loseStarts int             // answers to starts that are lost
	dropStarts int             // starts that are carried out late
	late       []func()        // what will be carried out then
	refuse     map[string]bool // tasks that are refused for want of room
	silent     bool
	gone       bool // its process has ended
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{
		began: time.Now(), highest: make(map[lwunit.TaskID]lwjob.RunID), starts: make(map[lwunit.TaskID]int), refuse: make(map[string]bool),
	}
}

func (w *fakeWorker) clock() lwunit.Millis {
	return lwunit.Millis(float64(time.Since(w.began).Milliseconds())*0.985) + 1000
}

var errNoAnswer = lwfault.New(lwfault.Unknown, "no answer")

func (w *fakeWorker) Start(ctx context.Context, c Call, o lwdispatch.StartRun, until Lease) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.silent:
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return errNoAnswer
	case w.dropStarts > 0:
		w.dropStarts--
		w.late = append(w.late, func() { _ = w.apply(c, o, until) })
		return errNoAnswer
	}
	err := w.apply(c, o, until)
	if w.loseStarts > 0 {
		w.loseStarts--
		return errNoAnswer
	}
	return err
}

func (w *fakeWorker) apply(c Call, o lwdispatch.StartRun, until Lease) error {
	switch {
	case c.Token < w.token:
		return &RefusedError{lwdispatch.RefusedFence}
	case slices.ContainsFunc(w.running, func(r lwdispatch.RunRow) bool { return r.Task == o.Task && r.Run == o.Run }):
		return nil
	case o.Run <= w.highest[o.Task]:
		return &RefusedError{lwdispatch.RefusedOld}
	case lwunit.Millis(until) <= w.clock():
		return &RefusedError{lwdispatch.RefusedLate}
	case w.refuse[string(o.Task)]:
		return &RefusedError{lwdispatch.RefusedRoom}
	}
	w.token = c.Token
	w.lease = max(w.lease, lwunit.Millis(until))
	w.running = append(w.running, lwdispatch.RunRow{Task: o.Task, Run: o.Run})
	w.starts[o.Task]++
	return nil
}

func (w *fakeWorker) Stop(_ context.Context, c Call, o lwdispatch.StopRun) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.token {
		return &RefusedError{lwdispatch.RefusedFence}
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.finish(o.Task, o.Run, lwjob.EndStopped)
	return nil
}

func (w *fakeWorker) finish(t lwunit.TaskID, run lwjob.RunID, how lwjob.EndKind) {
	for i, r := range w.running {
		if r.Task == t && r.Run == run {
			w.running = slices.Delete(w.running, i, i+1)
			w.next++
			w.highest[t] = max(w.highest[t], run)
			w.ends = append(w.ends, lwdispatch.EndRow{Number: w.next, End: lwjob.End{Task: t, Run: run, How: how}})
			return
		}
	}
}

func (w *fakeWorker) Pace(context.Context, Call, lwdispatch.PaceRun) error { return nil }

func (w *fakeWorker) Hold(ctx context.Context, c Call, until Lease, cursor int64, wait time.Duration) (Lists, error) {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return Lists{}, &GoneError{errNoAnswer}
	}
	silent := w.silent
	known := w.next
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Lists{}, errNoAnswer
	}
	for waited := time.Duration(0); waited < wait; waited += 10 * time.Millisecond {
		w.mu.Lock()
		news := w.next > known
		w.mu.Unlock()
		if news {
			break
		}
		select {
		case <-ctx.Done():
			return Lists{}, errNoAnswer
		case <-time.After(10 * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.token {
		return Lists{}, &RefusedError{lwdispatch.RefusedFence}
	}
	w.token = c.Token
	w.lease = max(w.lease, lwunit.Millis(until))
	w.ends = slices.DeleteFunc(w.ends, func(e lwdispatch.EndRow) bool { return e.Number <= cursor })
	return Lists{Clock: w.clock(), Running: slices.Clone(w.running), Ends: slices.Clone(w.ends)}, nil
}

// end makes a run end by itself.
func (w *fakeWorker) end(t lwunit.TaskID, run lwjob.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(t, run, lwjob.EndDone)
}

// carryOutLate carries out the starts that got no answer.
func (w *fakeWorker) carryOutLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.late {
		f()
	}
	w.late = nil
}

// fakeLeader grants leases and remembers what it was told.
type fakeLeader struct {
	mu      sync.Mutex
	gone    bool
	token   lwdispatch.Token
	lease   time.Duration
	cursor  int64
	reports []lwdispatch.Report
	at      []time.Time
}

func (l *fakeLeader) Report(_ context.Context, m lwdispatch.Report) (lwlink.ReportReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return lwlink.ReportReply{}, lwfault.New(lwfault.Unavailable, "no leader")
	}
	l.reports = append(l.reports, m)
	l.at = append(l.at, time.Now())
	res := lwlink.ReportReply{Token: l.token, Cursor: l.cursor}
	if !m.Silent {
		res.Lease = lwunit.Duration(l.lease)
	}
	return res, nil
}

// refusals returns the refusals of a task that were reported.
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

func (l *fakeLeader) newest() lwdispatch.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[len(l.reports)-1]
}
