package lwrunner

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Guards against crashes that are not reported once refused connections were taken for one.
func TestCrashAfterRefusedConnectionsIsReported(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, l *fakeLeader) {
		l.mu.Lock()
		l.recordsCrashes = true
		l.mu.Unlock()
		sendOrders(t.Context(), r, testToken, startOrder("first.0.0.0", 1))
		time.Sleep(time.Second)
		w.exit()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		w.exited = false
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		sendOrders(t.Context(), r, testToken, startOrder("second.0.0.0", 1))
		time.Sleep(time.Second)
		w.exit()
		time.Sleep(time.Second)
		r.Announce(lwdispatch.WorkerInfo{Incarnation: lwjob.WorkerIncarnation{Worker: "w2", StartedAt: 9}, Service: "s"}, 1)
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, m := range l.reports {
			for _, x := range m.Crashes {
				for _, h := range x.Runs {
					if h.Task == "second.0.0.0" {
						return
					}
				}
			}
		}
		t.Error("the crash under the second run is not reported")
	})
}
