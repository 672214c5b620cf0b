package lwdispatch

import (
	"slices"
	"strings"
	"testing"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// A run that was released and is listed all the same must leave a line that names both
// workers and why the first run was released: without it, logs do not tell which decision
// let a task run twice.
func TestOverlappingRunsAreLogged(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, 0))
	first := f.startAll("w1")
	expectStarts(t, first, "j.0.0.0/1")
	listed := f.lists["w1"]
	f.refuse("w1", "j.0.0.0", 1, RefusedLeaseExpired)
	expectStarts(t, f.takeStarts("w1"), "j.0.0.0/2")
	f.clock++
	token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
	f.core.Report(Report{Info: f.infos["w1"], Token: token, Complete: true, Running: listed, Clock: f.clock})
	found := slices.ContainsFunc(f.core.TakeEffects().Decisions, func(d Decision) bool {
		return d.Kind == DecidedOverlap && d.Task == "j.0.0.0" && d.Run == 1 && strings.Contains(d.Reason, "run 2 on w1") && strings.Contains(d.Reason, "refused: late")
	})
	if !found {
		t.Error("no line says that run 1 is listed while run 2 has been ordered")
	}
}

// Guards against a task that runs again after it has ended as done without a line that says which
// decision released the first run, and whether its end came before or after the next start.
func TestEndOfReleasedRunIsLogged(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 4))
	f.submit("j", tasks(1, 1, 0))
	first := f.startAll("w1")
	expectStarts(t, first, "j.0.0.0/1")
	f.join(workerInfo("w2", 4))
	f.core.Report(Report{Info: f.infos["w1"], ProcessEnded: true, Answered: true, KnowsCrashes: true})
	f.core.Schedule()
	expectDecision(t, f, Decision{Kind: DecidedStart, Run: 2, Worker: "w2", Reason: "run 1 on w1 was released before: its process has ended"})

	f.lists["w1"] = nil
	f.join(f.infos["w1"])
	token, _ := f.core.TokenAndCursor(f.infos["w1"].Incarnation)
	f.core.Report(Report{Info: f.infos["w1"], Token: token, Ends: []NumberedEnd{{7, lwjob.End{Task: "j.0.0.0", Run: 1, How: lwjob.EndDone}}}})
	expectDecision(t, f, Decision{Kind: DecidedLateEnd, Run: 1, Worker: "w1", Reason: "end 7, 0 are recorded; run 1 on w1 was released before: its process has ended; run 2 on w2 has been ordered"})
}

// expectDecision takes the effects and expects a decision with the kind, run, worker and reason of
// want among them.
func expectDecision(t *testing.T, f *fixture, want Decision) {
	t.Helper()
	list := f.core.TakeEffects().Decisions
	found := slices.ContainsFunc(list, func(d Decision) bool {
		return d.Kind == want.Kind && d.Run == want.Run && d.Worker == want.Worker && d.Reason == want.Reason
	})
	if !found {
		t.Errorf("logged %+v, want %+v", list, want)
	}
}
