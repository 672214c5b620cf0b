package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
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

// A run whose throttling has just ended still shows the CPU use of its throttled
// time. It must not count as slowed by other runs, which would keep filling work off
// the worker.
func TestOvercommitIgnoresRunThatWasJustRaised(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 8))
	serving := tasks(1, 4, 0)
	serving.LongRunning = true
	f.submit("serve", serving)
	f.startAll("w1")
	filling := tasks(1, 4, time.Minute)
	filling.Filling = true
	f.submit("fill", filling)
	f.startAll("w1")
	const fill = 1 // index of the filling run in the list of the worker
	report := func(millicores int) {
		f.lists["w1"][fill].Gauge = millicores
		f.advance(time.Second)
		f.report("w1")
	}
	report(4000)
	w := f.core.workers[f.infos["w1"].Incarnation]
	r := w.runs[runKey{"fill.0.0.0", 1}]
	f.core.setCPUPercent(r, 50, "test")
	report(2000)
	before := w.overcommitLimit()
	f.core.setCPUPercent(r, fullPercent, "test")
	f.lists["w1"][fill].Gauge = 2100 // measured over the last half second
	f.advance(100 * time.Millisecond)
	f.report("w1")
	if after := w.overcommitLimit(); after < before {
		t.Errorf("the limit fell from %.0f to %.0f millicores", before, after)
	}
}

// Long-running tasks, which are packed, prefer the rack of their data too.
func TestLongRunningTaskPrefersItsRack(t *testing.T) {
	f := newFixture(t)
	for id, rack := range map[string]string{"w1": "r1", "w2": "r2", "w3": "r3"} {
		info := workerInfo(id, 8)
		info.Labels = []string{rack}
		f.join(info)
	}
	s := tasks(1, 1, 0)
	s.LongRunning, s.PreferredRack = true, "r2"
	f.submit("serve", s)
	expectStarts(t, f.takeStarts("w2"), "serve.0.0.0/1")
	expectStarts(t, f.takeStarts("w1"))
	expectStarts(t, f.takeStarts("w3"))
}

// A new leader has not seen the start of a run that it adopts. The time since its
// adoption must not be learned as its run time, which would lower the estimates of its
// queue after each change of leader.
func TestAdoptedRunTeachesNoRunTime(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(2, 1, 30*time.Second))
	runs := f.startAll("w1")
	f.advance(25 * time.Second)
	f.startTerm(testTerm + 1)
	f.join(f.infos["w1"])
	j := f.core.jobs["j"]
	estimate := func() time.Duration { return f.core.expectedRunTime(j, j.steps[0][0].spec).Round(time.Millisecond) }
	f.advance(time.Second)
	f.endRun("w1", runs[0], lwjob.EndDone)
	if got := estimate(); got != 30*time.Second {
		t.Errorf("a task is expected to run %s after the end of an adopted run, want the declared 30s", got)
	}

	f.submit("own", tasks(1, 1, 30*time.Second))
	own := f.startAll("w1")
	f.advance(2 * time.Second)
	f.endRun("w1", own[0], lwjob.EndDone)
	if got := estimate(); got >= 30*time.Second {
		t.Errorf("a task is expected to run %s after the end of a run of 2 s that this leader started, want less than 30s", got)
	}
}

// A draining worker's run that is nearly done must be left to end also by a leader that
// has adopted it and does not know how long it has run.
func TestDrainLeavesAdoptedRunThatEndsInTime(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("nearly", tasks(1, 1, time.Minute))
	f.submit("begun", tasks(1, 1, time.Minute))
	f.startAll("w1")
	for i := range f.lists["w1"] {
		s := &f.lists["w1"][i]
		if s.Progress = 10; s.Task == "nearly.0.0.0" {
			s.Progress = 95
		}
	}
	info := f.infos["w1"]
	info.Draining, info.DrainTimeLeft = true, lwunit.Duration(5*time.Second)
	f.startTerm(testTerm + 1)
	f.join(info)
	if stops := ordered[StopRun](f, "w1"); len(stops) != 1 || stops[0].Task != "begun.0.0.0" {
		t.Errorf("stops of %v were ordered, want one of begun.0.0.0", stops)
	}
}
