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

// An agent that was cut off from the leader may have missed the order that throttles
// a filling run. The order must be repeated once the agent has reconnected, since the
// leader counts on it.
func TestCPULimitIsRepeatedAfterReconnection(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	serving := tasks(1, 2, 0)
	serving.LongRunning, serving.TailTarget = true, f.queue.TargetLatency
	filling := tasks(1, 4, 30*time.Second)
	filling.Filling = true
	f.submit("serve", serving)
	f.startAll("w1")
	f.submit("fill", filling)
	f.startAll("w1")
	f.lists["w1"][0].Gauge = 240 // of a target of 250 ms
	f.advance(time.Second)
	f.report("w1")
	missed := ordered[LimitRunCPU](f, "w1")
	f.takeStarts("w1")
	f.core.AgentReconnected(f.infos["w1"].Incarnation)
	f.step()
	repeated := ordered[LimitRunCPU](f, "w1")
	if len(missed) != 1 || len(repeated) != 1 || repeated[0] != missed[0] {
		t.Errorf("ordered %v, then %v after the reconnection; want the same order once each", missed, repeated)
	}
}
