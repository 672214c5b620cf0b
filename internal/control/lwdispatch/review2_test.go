package lwdispatch

import (
	"testing"
	"time"
)

// Guards against a new leader that counts the usual lease for an incarnation on its roster which
// may hold the longest one, by a start that was meant for an earlier incarnation with its id.
func TestLongestLeaseIsCountedByNextLeader(t *testing.T) {
	f := newFixture(t)
	f.config.MaxWorkerLease = 10 * time.Second
	f.startTerm(testTerm)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, time.Minute))
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.restart("w1") // it has carried the start out, and is lost before it reports its lists
	f.startTerm(testTerm + 1)
	f.join(f.infos["w2"])
	lostFor := time.Duration(0)
	for ; len(f.takeStarts("w2")) == 0 && lostFor < 20*time.Second; lostFor += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		f.report("w2")
	}
	if lostFor < 10*time.Second {
		t.Errorf("the task is started elsewhere after %s, want at least 10s", lostFor)
	}
}
