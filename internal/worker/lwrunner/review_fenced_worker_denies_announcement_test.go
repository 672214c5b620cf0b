package lwrunner

import (
	"context"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// fencingWorker refuses a poll with a lower token before it says who it is, as the provider's
// workers may.
type fencingWorker struct{ *fakeWorker }

func (w fencingWorker) Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error) {
	w.mu.Lock()
	fenced := c.Token < w.token
	w.mu.Unlock()
	if fenced {
		return RunLists{}, &RefusedError{Reason: lwdispatch.RefusedFence}
	}
	return w.fakeWorker.Poll(ctx, c, until, cursor, wait)
}

// Guards against an announcement of a later incarnation that is taken although the worker at the
// address has answered: it fences the poll that asks it, which has no token.
func TestFencedWorkerDeniesAnnouncement(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		w.mu.Lock()
		w.answersOnlyAs = testIncarnation
		w.mu.Unlock()
		r.mu.Lock()
		r.worker = fencingWorker{w}
		r.mu.Unlock()
		other := lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: 9}
		r.Announce(lwdispatch.WorkerInfo{Incarnation: other, Service: "unknown"}, 1)
		time.Sleep(time.Second)
		if got := l.lastReport().Info.Incarnation; got != testIncarnation {
			t.Errorf("%v is reported, want %v, which answers", got, testIncarnation)
		}
	})
}
