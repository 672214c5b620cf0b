package lwdispatch

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Guards against a task that is started again after the leader has received the end of a run as
// done, whatever becomes of the worker, of the record of the end and of reports that come late.
func TestDoneTaskIsNotStartedAgain(t *testing.T) {
	for _, x := range []struct {
		name       string
		afterwards func(f *fixture, done StartRun, older Report)
	}{
		{"while its end is not recorded and its worker is given up", func(f *fixture, _ StartRun, _ Report) {
			f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true})
		}},
		{"once its end is recorded after its worker was given up and has returned", func(f *fixture, _ StartRun, _ Report) {
			f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true})
			f.core.Report(Report{Info: f.infos["w1"]})
			f.step()
			if _, cursor := f.core.TokenAndCursor(f.infos["w1"].Incarnation); cursor != 1 {
				f.t.Errorf("the cursor of the worker is %d, want 1: its end is recorded", cursor)
			}
			f.report("w1")
		}},
		{"when the lease of its worker ends", func(f *fixture, _ StartRun, _ Report) {
			f.step()
			f.advance(f.core.maxLeaseTime())
		}},
		{"when its worker returns and has forgotten the end", func(f *fixture, _ StartRun, _ Report) {
			f.step()
			f.advance(f.core.maxLeaseTime())
			f.join(f.infos["w1"])
		}},
		{"when a refusal of its run comes late", func(f *fixture, done StartRun, _ Report) {
			f.step()
			f.refuse("w1", done.Task, done.Run, RefusedStopped)
		}},
		{"when a report that its end has overtaken lists it", func(f *fixture, done StartRun, older Report) {
			f.step()
			f.core.Report(older)
			f.step()
			f.refuse("w1", done.Task, done.Run, RefusedStopped)
		}},
		{"when the agent of its worker was started again", func(f *fixture, _ StartRun, _ Report) {
			f.core.Report(Report{Info: f.infos["w1"]})
			f.core.AgentReconnected(f.infos["w1"].Incarnation)
			f.step()
			f.report("w1")
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInfo("w1", 4))
			f.submit("j", tasks(2, 1, testEstimate)) // the other task keeps the job from its end
			started := f.startAll("w1")
			expectStarts(t, started, "j.0.0.0/1", "j.0.0.1/1")
			f.join(workerInfo("w2", 4))
			token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
			older := Report{Info: f.infos["w1"], Token: token, Complete: true, Running: f.lists["w1"], Clock: f.clock + 1}

			f.clock += 2
			f.lists["w1"] = f.lists["w1"][1:]
			f.core.Report(Report{Info: f.infos["w1"], Token: token, Complete: true, Running: f.lists["w1"], Clock: f.clock, Ends: []NumberedEnd{{1, lwjob.End{Task: started[0].Task, Run: 1, How: lwjob.EndDone}}}})
			x.afterwards(f, started[0], older)
			for range 100 {
				f.report("w2")
				f.advance(100 * time.Millisecond)
			}
			for _, s := range append(f.takeStarts("w1"), f.takeStarts("w2")...) {
				if s.Task == started[0].Task {
					t.Errorf("%s is started again as run %d", s.Task, s.Run)
				}
			}
		})
	}
}

// Guards against more than one further start of a task whose end as done reaches the leader only
// after it has given the worker up: the run that was started instead is stopped.
func TestLateDoneEndStopsNextRun(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(2, 1, testEstimate)) // the other task keeps the job from its end
	first := f.startAll("w1")
	expectStarts(t, first, "j.0.0.0/1", "j.0.0.1/1")
	f.join(workerInfo("w2", 4))
	for range 50 {
		f.report("w2")
		f.advance(100 * time.Millisecond)
	}
	expectStarts(t, f.startAll("w2"), "j.0.0.0/2", "j.0.0.1/2")
	f.lists["w1"] = nil
	f.join(f.infos["w1"])
	f.endRun("w1", first[0], lwjob.EndDone)
	if stops := ordered[StopRun](f, "w2"); len(stops) != 1 || stops[0] != (StopRun{"j.0.0.0", 2}) {
		t.Errorf("stops of %v were ordered, want one of j.0.0.0/2", stops)
	}
	f.endRun("w2", StartRun{Task: "j.0.0.0", Run: 2}, lwjob.EndStopped)
	expectStarts(t, append(f.takeStarts("w1"), f.takeStarts("w2")...))
}
