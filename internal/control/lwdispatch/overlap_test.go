package lwdispatch

import (
	"slices"
	"strings"
	"testing"
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
