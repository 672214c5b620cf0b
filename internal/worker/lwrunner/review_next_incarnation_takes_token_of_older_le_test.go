package lwrunner

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Guards against a worker that an older leader can no longer use: it gives the next incarnation
// with the same id the first token of its term again, though it has raised that of the former.
func TestNextIncarnationTakesTokenOfOlderLeader(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		l.mu.Lock()
		l.token = testToken + 1 // the worker was given up and has returned
		l.mu.Unlock()
		time.Sleep(time.Second)
		next := lwjob.WorkerIncarnation{Worker: testIncarnation.Worker, StartedAt: testIncarnation.StartedAt + 1}
		r.mu.Lock()
		r.worker = newFakeWorker()
		r.mu.Unlock()
		l.mu.Lock()
		l.token = testToken
		l.mu.Unlock()
		r.Announce(lwdispatch.WorkerInfo{Incarnation: next, Service: "s"}, 1)
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.leaseDeadline == 0 {
			t.Error("the next incarnation has got no lease in 10 s")
		}
	})
}
