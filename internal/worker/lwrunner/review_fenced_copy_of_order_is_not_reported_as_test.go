package lwrunner

import (
	"testing"
	"time"
)

// Guards against a leader of an older version that releases a run when its start is reported as
// fenced: the run may have begun by an earlier copy of the order.
func TestFencedCopyOfOrderIsNotReportedAsRefused(t *testing.T) {
	const task = "j.0.0.0"
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		sendOrders(t.Context(), r, testToken, startOrder(task, 1))
		time.Sleep(time.Millisecond) // carried out, and not listed yet
		w.mu.Lock()
		w.token++ // by a poll under the next token
		w.mu.Unlock()
		repeated := startOrder(task, 1)
		repeated.Repeated = true
		sendOrders(t.Context(), r, testToken, repeated)
		time.Sleep(time.Second)
		expectNotRefusedAndStarted(t, w, l, task)
	})
}
