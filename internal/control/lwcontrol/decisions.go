package lwcontrol

import (
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

var (
	workersSuspected  = lwmetric.Counter("workers_suspected_total")
	workersFoundSlow  = lwmetric.Counter("workers_found_slow_total")
	workersTakenBack  = lwmetric.Counter("workers_taken_back_total")
	copiesStarted     = lwmetric.Counter("copies_started_total")
	copiesWon         = lwmetric.Counter("copies_won_total")
	runsRestarted     = lwmetric.Counter("runs_restarted_total")
	jobsRefusedByPlan = lwmetric.Counter("jobs_refused_by_plan_total")
	wrongRefusals     = lwmetric.Counter("jobs_refused_though_servable_total")
	jobsLate          = lwmetric.Counter("jobs_accepted_but_late_total")
	runsOverlapping   = lwmetric.Counter("task_runs_overlapping_total")
)

// countDecision counts the decisions that have a metric of their own.
func countDecision(kind lwdispatch.DecisionKind) {
	switch kind {
	case lwdispatch.DecidedSuspect:
		workersSuspected.Add(1)
	case lwdispatch.DecidedSlow:
		workersFoundSlow.Add(1)
	case lwdispatch.DecidedTakenBack:
		workersTakenBack.Add(1)
	case lwdispatch.DecidedCopy:
		copiesStarted.Add(1)
	case lwdispatch.DecidedCopyWon:
		copiesWon.Add(1)
	case lwdispatch.DecidedRestart:
		runsRestarted.Add(1)
	case lwdispatch.DecidedRefuseJob:
		jobsRefusedByPlan.Add(1)
	case lwdispatch.DecidedWrongRefusal:
		wrongRefusals.Add(1)
	case lwdispatch.DecidedLate:
		jobsLate.Add(1)
	case lwdispatch.DecidedOverlap:
		runsOverlapping.Add(1)
	default:
	}
}
