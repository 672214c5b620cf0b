package lwagent

import (
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

// action is a request that the agent must make to the platform.
type action interface{ action() }

// startTask starts an assigned attempt.
type startTask struct{ assignment lwlink.Assignment }

// evictTask checkpoints an attempt and stops it.
type evictTask struct{ attempt lwplatform.Attempt }

// stopTask stops an attempt.
type stopTask struct{ attempt lwplatform.Attempt }

// forgetTask removes an ended attempt that is no longer assigned.
type forgetTask struct{ attempt lwplatform.Attempt }

// throttleTask limits an attempt to a percentage of its processors.
type throttleTask struct {
	attempt lwplatform.Attempt
	percent int
}

func (startTask) action()    {}
func (evictTask) action()    {}
func (stopTask) action()     {}
func (forgetTask) action()   {}
func (throttleTask) action() {}

// reconcile compares the assigned attempts with those on the platform and
// returns the actions that bring the platform in line. The assignments are the
// whole list, so an attempt that is not among them is obsolete. It starts none of mayNotStart.
func reconcile(capacity lwunit.Resources, assigned []lwlink.Assignment, actual []lwplatform.AttemptStatus, mayNotStart map[lwplatform.Attempt]bool) []action {
	want := make(map[lwunit.TaskID]lwlink.Assignment, len(assigned))
	for _, a := range assigned {
		want[a.Task] = a
	}
	newest := make(map[lwunit.TaskID]lwunit.FencingToken, len(actual)) // on the platform, which may list several attempts of a task
	running := make(map[lwunit.TaskID]bool, len(actual))
	var acts []action
	var used lwunit.Resources
	for _, t := range actual {
		newest[t.Task] = max(newest[t.Task], t.Token)
		if t.State == lwplatform.StateRunning {
			running[t.Task] = true
			used = used.Add(t.Reserve)
		}
		acts = append(acts, attemptActions(t, want)...)
	}
	for _, a := range assigned {
		startable := a.Stop == "" && !a.Running && !mayNotStart[lwplatform.Attempt{Task: a.Task, Token: a.Token}] &&
			newest[a.Task] < a.Token && !running[a.Task]
		// Control may count a stop as done that is still in progress here, so
		// the agent checks the free capacity again.
		if startable && a.Reserve.Fits(capacity.Sub(used)) {
			used = used.Add(a.Reserve)
			acts = append(acts, startTask{a})
		}
	}
	return acts
}

// attemptActions returns the actions for one attempt on the platform.
func attemptActions(t lwplatform.AttemptStatus, want map[lwunit.TaskID]lwlink.Assignment) []action {
	a, assigned := want[t.Task]
	isAssigned := assigned && a.Token == t.Token
	running := t.State == lwplatform.StateRunning
	switch {
	case running && !isAssigned:
		return []action{stopTask{t.Attempt}}
	case running && a.Stop == lwstate.StopEvict:
		return []action{evictTask{t.Attempt}}
	case running && a.Stop == lwstate.StopCancel:
		return []action{stopTask{t.Attempt}}
	case !running && !isAssigned:
		return []action{forgetTask{t.Attempt}}
	default:
		return nil
	}
}

// dueReports returns a report for each assigned attempt whose state control has
// not received. An attempt that is not on the platform is reported as stopped if
// it was started before or control asked for its stop, but not while it may run:
// control starts the task elsewhere at once. The platform may have lost its list, and
// a start without an answer may still be carried out.
func dueReports(assigned []lwlink.Assignment, actual []lwplatform.AttemptStatus, reported map[lwplatform.Attempt]lwstate.TaskEvent, started map[lwplatform.Attempt]bool, mayRun func(lwplatform.Attempt) bool) []lwstate.TaskReport {
	have := make(map[lwplatform.Attempt]lwplatform.AttemptStatus, len(actual))
	for _, t := range actual {
		have[t.Attempt] = t
	}
	var list []lwstate.TaskReport
	for _, a := range assigned {
		attempt := lwplatform.Attempt{Task: a.Task, Token: a.Token}
		t, present := have[attempt]
		r := lwstate.TaskReport{Task: a.Task, Token: a.Token}
		switch {
		case present:
			r.Event, r.Checkpoint, r.Reason = eventOf(t.State), t.Checkpoint, t.Reason
		case mayRun(attempt):
			continue
		case a.Stop != "" || a.Running || started[attempt]:
			r.Event, r.Reason, r.Gone = lwstate.EventStopped, "the platform does not have it", a.Stop == ""
		default:
			continue
		}
		if reported[attempt] != r.Event {
			list = append(list, r)
		}
	}
	return list
}

func eventOf(s lwplatform.AttemptState) lwstate.TaskEvent {
	switch s {
	case lwplatform.StateSucceeded:
		return lwstate.EventSucceeded
	case lwplatform.StateFailed:
		return lwstate.EventFailed
	case lwplatform.StateStopped:
		return lwstate.EventStopped
	default:
		return lwstate.EventRunning
	}
}
