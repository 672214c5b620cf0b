package lwagent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

var oneCore = lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}

func assigned(token lwunit.FencingToken, stop lwstate.StopReason, running bool) lwlink.Assignment {
	return lwlink.Assignment{Task: "t", Token: token, Reserve: oneCore, Stop: stop, Running: running}
}

func actual(token lwunit.FencingToken, s lwplatform.AttemptState) lwplatform.AttemptStatus {
	return lwplatform.AttemptStatus{Attempt: lwplatform.Attempt{Task: "t", Token: token}, State: s, Reserve: oneCore}
}

func TestReconcile(t *testing.T) {
	type list []lwlink.Assignment
	type found []lwplatform.AttemptStatus
	attempt := lwplatform.Attempt{Task: "t", Token: 2}
	cases := []struct {
		name    string
		want    list
		have    found
		started bool
		actions string
	}{
		{"a new attempt is started", list{assigned(2, "", false)}, nil, false, "[startTask]"},
		{"an attempt that this agent started is not started again", list{assigned(2, "", false)}, nil, true, "[]"},
		{"an attempt that ran under an earlier agent is not started again", list{assigned(2, "", true)}, nil, false, "[]"},
		{"a running attempt is adopted", list{assigned(2, "", false)}, found{actual(2, lwplatform.StateRunning)}, false, "[]"},
		{"an old attempt is stopped before the new one starts", list{assigned(2, "", false)}, found{actual(1, lwplatform.StateRunning)}, false, "[stopTask]"},
		{"an old attempt that ended is forgotten and the new one starts", list{assigned(2, "", false)}, found{actual(1, lwplatform.StateStopped)}, false, "[forgetTask startTask]"},
		{"an old attempt does not start beside a newer one", list{assigned(2, "", false)}, found{actual(3, lwplatform.StateStopped), actual(1, lwplatform.StateStopped)}, false, "[forgetTask forgetTask]"},
		{"a running attempt that is not assigned is stopped", nil, found{actual(2, lwplatform.StateRunning)}, false, "[stopTask]"},
		{"an ended attempt that is not assigned is forgotten", nil, found{actual(2, lwplatform.StateSucceeded)}, false, "[forgetTask]"},
		{"an eviction checkpoints the attempt", list{assigned(2, lwstate.StopEvict, true)}, found{actual(2, lwplatform.StateRunning)}, false, "[evictTask]"},
		{"a cancellation stops the attempt", list{assigned(2, lwstate.StopCancel, true)}, found{actual(2, lwplatform.StateRunning)}, false, "[stopTask]"},
		{"an attempt with a stop request is not started", list{assigned(2, lwstate.StopEvict, false)}, nil, false, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			acts := reconcile(oneCore, c.want, c.have, map[lwplatform.Attempt]bool{attempt: c.started})
			is.New(t).Equal(actionNames(acts), c.actions)
		})
	}
	t.Run("nothing starts beside an old attempt that runs, though an older one that has ended is listed last", func(t *testing.T) {
		two := oneCore.Add(oneCore)
		acts := reconcile(two, list{assigned(3, "", false)}, found{actual(2, lwplatform.StateRunning), actual(1, lwplatform.StateStopped)}, nil)
		is.New(t).Equal(actionNames(acts), "[stopTask forgetTask]")
	})
	t.Run("nothing starts without free capacity; stops in progress count as used", func(t *testing.T) {
		other := lwlink.Assignment{Task: "u", Token: 3, Reserve: oneCore}
		acts := reconcile(oneCore, list{assigned(2, lwstate.StopEvict, true), other}, found{actual(2, lwplatform.StateRunning)}, nil)
		is.New(t).Equal(actionNames(acts), "[evictTask]")
	})
}

func actionNames(acts []action) string {
	list := make([]string, 0, len(acts))
	for _, a := range acts {
		list = append(list, fmt.Sprintf("%T", a)[len("lwagent."):])
	}
	return fmt.Sprint(list)
}

func TestReports(t *testing.T) {
	attempt := lwplatform.Attempt{Task: "t", Token: 2}
	cases := []struct {
		name    string
		want    lwlink.Assignment
		have    []lwplatform.AttemptStatus
		before  lwstate.TaskEvent // last reported
		started bool
		event   lwstate.TaskEvent
		mayRun  bool
	}{
		{"a running attempt is reported once", assigned(2, "", false), []lwplatform.AttemptStatus{actual(2, lwplatform.StateRunning)}, lwstate.EventRunning, true, "", false},
		{"an end is reported", assigned(2, "", false), []lwplatform.AttemptStatus{actual(2, lwplatform.StateSucceeded)}, lwstate.EventRunning, true, lwstate.EventSucceeded, false},
		{"a running attempt that is not on the platform is reported as stopped", assigned(2, "", true), nil, "", false, lwstate.EventStopped, false},
		{"an attempt that was never started is not reported", assigned(2, "", false), nil, "", false, "", false},
		{"an attempt with a stop request that is not on the platform is reported as stopped", assigned(2, lwstate.StopCancel, false), nil, "", false, lwstate.EventStopped, false},
		{"the state of an older attempt is not reported", assigned(2, "", false), []lwplatform.AttemptStatus{actual(1, lwplatform.StateFailed)}, "", false, "", false},
		{"an attempt that is not on the platform is not reported while it may run", assigned(2, lwstate.StopEvict, true), nil, "", true, "", true},
		{"the end of an attempt is reported although its lease lasts", assigned(2, "", true), []lwplatform.AttemptStatus{actual(2, lwplatform.StateStopped)}, "", true, lwstate.EventStopped, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := dueReports([]lwlink.Assignment{c.want}, c.have, map[lwplatform.Attempt]lwstate.TaskEvent{attempt: c.before}, map[lwplatform.Attempt]bool{attempt: c.started}, func(lwplatform.Attempt) bool { return c.mayRun })
			got := lwstate.TaskEvent("")
			if len(list) > 0 {
				got = list[0].Event
			}
			is.New(t).Equal(got, c.event)
		})
	}
}
