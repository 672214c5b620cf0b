package lwdispatch

import (
	"testing"
	"time"
)

// Guards against a worker that never answers again and is taken on and given up in turn, each
// time with two changes of the roster.
func TestDeadWorkerIsEnrolledOnce(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	enrolled := 0
	for range 60 * 10 {
		f.advance(100 * time.Millisecond)
		f.core.Report(Report{Info: f.infos["w1"], Unresponsive: true, KnowsCrashes: true})
		f.core.Schedule()
		enrolled += len(f.core.effects.Enrol)
		f.step()
	}
	if enrolled > 0 {
		t.Errorf("the worker is enrolled %d times in a minute, though it does not answer", enrolled)
	}
}
