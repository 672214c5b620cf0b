package lwrunner

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// heldRun is a run that the worker may hold.
type heldRun struct {
	since   time.Duration // when its start was sent, or when the worker first listed it
	adopted bool          // this process did not start it; it began before since
}

// prepareStart notes that the worker may hold a run from now on. The time of the first
// attempt counts, since a start without an answer may be carried out all the same. It
// reports whether the start may have been carried out before, and whether it may be sent: not
// once lists have shown the run, or a stop has blocked it.
func (r *Runner) prepareStart(c Call, key runKey, mayHaveStarted bool) (again, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation != c.Incarnation || r.shown[key] || r.blocked[key] {
		return mayHaveStarted, false
	}
	_, sent := r.held[key]
	if !sent {
		r.held[key] = heldRun{since: r.clock.Now()}
	}
	again = mayHaveStarted || sent
	if again {
		r.repeatedAt[key] = r.clock.Now()
	}
	return again, true
}

// startAnswered notes that the worker does not hold a run if its start, of which no
// earlier attempt may have been carried out, was refused.
func (r *Runner) startAnswered(c Call, key runKey, err error, mayHaveStarted bool) {
	if _, refused := errors.AsType[*RefusedError](err); mayHaveStarted || !refused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation == c.Incarnation {
		delete(r.held, key)
	}
}

// updateHeld adds the runs that the worker lists, and removes those that have ended.
// The caller holds mu.
func (r *Runner) updateHeld() {
	for _, s := range r.lists.Running {
		key := runKey{s.Task, s.Run}
		if _, ok := r.held[key]; !ok {
			r.held[key] = heldRun{since: r.listsRequestedAt, adopted: true}
		}
	}
	for _, e := range r.lists.Ends {
		delete(r.held, runKey{e.End.Task, e.End.Run})
	}
}

// noteAnswer keeps the time at which the worker's process may have ended: when a call
// found the connection broken or refused, after the last answer. A call that times out
// tells nothing, since the connection may be silent, and what answers in the name of
// another incarnation is no answer of the one that has ended.
func (r *Runner) noteAnswer(c Call, err error) {
	refusal, refused := errors.AsType[*RefusedError](err)
	if refused && refusal.OtherIncarnation {
		r.noteEnd(c, true)
		return
	}
	if errors.Is(err, errOtherIncarnation) {
		r.noteEnd(c, false)
		return
	}
	timeout, isNetError := errors.AsType[net.Error](err)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.info.Incarnation != c.Incarnation:
	case err == nil || refused:
		r.brokenAt, r.silent = 0, false
		r.answeredAt = r.clock.Now()
	case isNetError && timeout.Timeout():
		r.silent = true
	case r.brokenAt == 0:
		r.brokenAt = r.clock.Now()
	}
}

// noteEnd notes that the process of the incarnation that a call was for has ended, by now
// if it is not known when, and whether the worker at its address has another id. Of one that has never
// answered it is not known whether it has been there, or is yet to come up.
func (r *Runner) noteEnd(c Call, otherID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation != c.Incarnation || !r.answered {
		return
	}
	if !r.ended {
		r.log.Warn("another worker answers", append(r.lastContact(), zap.Int64("born", int64(c.Incarnation.StartedAt)), zap.Bool("other_id", otherID))...)
	}
	r.ended = true
	r.replacedByOtherID = r.replacedByOtherID || otherID
	if r.brokenAt == 0 {
		r.brokenAt = r.clock.Now()
	}
}

// heldAtCrash returns the runs that the worker held when its process ended, those that
// began last first. It leaves out starts that were sent later. The caller holds mu.
func (r *Runner) heldAtCrash() []lwdispatch.HeldRun {
	end := r.clock.Now()
	if r.brokenAt > 0 {
		end = r.brokenAt
	}
	list := make([]lwdispatch.HeldRun, 0, len(r.held))
	for key, h := range r.held {
		if h.since > end {
			continue
		}
		list = append(list, lwdispatch.HeldRun{Task: key.task, Run: key.run, Age: lwunit.Duration((end - h.since).Round(time.Millisecond)), Adopted: h.adopted, AtMost: r.silent || r.brokenAt == 0})
	}
	slices.SortFunc(list, func(a, b lwdispatch.HeldRun) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Task, b.Task))
	})
	return list
}

const (
	maxLoggedRuns = 40 // in the line about a crash
	maxCrashes    = 16 // that are kept until a leader has recorded them
)

// noteCrash keeps which runs the worker held when its process ended, unless it was
// draining, until a leader has recorded it. The caller holds mu.
func (r *Runner) noteCrash(reason string) {
	r.endNoted = true
	crash := lwdispatch.Crash{Incarnation: r.info.Incarnation, Runs: r.heldAtCrash()}
	clear(r.held)
	if r.info.Draining || len(crash.Runs) == 0 {
		return
	}
	r.log.Warn("worker crashed", zap.String("worker", string(r.info.Incarnation.Worker)), zap.String("reason", reason), zap.Int("runs", len(crash.Runs)),
		zap.Stringers("newest", crash.Runs[:min(len(crash.Runs), maxLoggedRuns)]))
	if len(r.crashes) == maxCrashes {
		r.log.Warn("crash not reported", zap.String("worker", string(r.crashes[0].Incarnation.Worker)), zap.String("reason", "too many crashes wait for a leader"))
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, crash)
}

// dropRecorded drops the crashes that a leader has recorded. The caller holds mu.
func (r *Runner) dropRecorded(recorded []lwjob.WorkerIncarnation) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c lwdispatch.Crash) bool { return slices.Contains(recorded, c.Incarnation) })
}
