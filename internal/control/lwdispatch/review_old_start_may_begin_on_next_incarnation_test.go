package lwdispatch

import (
	"testing"
)

// Guards against a start of an earlier term that begins on the next incarnation with the same id
// after the earlier one had reported to the new leader.
func TestOldStartMayBeginOnNextIncarnationOfReportedWorker(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, testEstimate))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	f.core.Report(Report{Info: f.infos["w1"], Unresponsive: true}) // no lists under the new token yet
	f.step()
	expectStarts(t, f.takeStarts("w2"))
	f.restart("w1")
	expectStarts(t, f.takeStarts("w2"))
}
