package lwdispatch

import (
	"testing"
)

// Guards against a new leader that looks for a long-running task only at the incarnation on which
// it was placed, while it runs on the next one with the same id.
func TestLongRunningTaskOnNextIncarnationIsAwaited(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	step := tasks(1, 1, testEstimate)
	step.LongRunning = true
	f.submit("j", step)
	list := f.takeStarts("w1")
	expectStarts(t, list, "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1") // it carries the start out
	f.lists["w1"] = []RunStatus{{Task: list[0].Task, Run: list[0].Run}}
	f.report("w1")
	expectStarts(t, append(f.takeStarts("w1"), f.takeStarts("w2")...))
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.advance(reportGracePeriod + 1)
	expectStarts(t, f.takeStarts("w2"))
}
