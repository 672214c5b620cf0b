package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// ordered returns the orders of one type that are pending for a worker.
func ordered[T Order](f *fixture, id lwunit.WorkerID) []T {
	var list []T
	for _, o := range f.pendingOrders[id] {
		if x, ok := o.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// A worker that has begun to drain before a new leader hears of it must be drained
// like one that begins later: runs that cannot end in time save a checkpoint and
// continue elsewhere.
func TestNewLeaderDrainsDrainingWorker(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	long := tasks(1, 1, time.Minute)
	long.Checkpointed = true
	f.submit("long", long)
	f.submit("short", tasks(1, 1, time.Second))
	f.startAll("w1")
	info := f.infos["w1"]
	info.Draining, info.DrainTimeLeft = true, lwunit.Duration(5*time.Second)
	f.startTerm(testTerm + 1)
	f.join(info)
	if stops := ordered[StopRun](f, "w1"); len(stops) != 1 || stops[0].Task != "long.0.0.0" {
		t.Errorf("stops of %v were ordered, want one of long.0.0.0", stops)
	}
}
