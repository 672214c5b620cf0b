package lwcontrol

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// mergeRoster adds changes to the pending ones. A change removes an earlier opposite
// change of the same worker incarnation, since ChangeRoster adds before it
// removes, whatever the order of the changes was.
func mergeRoster(c lwstate.ChangeRoster, enrol []lwjob.RosterEntry, dismiss []lwjob.WorkerIncarnation) lwstate.ChangeRoster {
	for _, incarnation := range dismiss {
		c.Enrol = slices.DeleteFunc(c.Enrol, func(e lwjob.RosterEntry) bool { return e.Incarnation == incarnation })
	}
	c.Dismiss = append(c.Dismiss, dismiss...)
	for _, e := range enrol {
		c.Dismiss = slices.DeleteFunc(c.Dismiss, func(incarnation lwjob.WorkerIncarnation) bool { return incarnation == e.Incarnation })
	}
	c.Enrol = append(c.Enrol, enrol...)
	return c
}

// changeRoster proposes the pending changes, one proposal at a time: if one
// overtook another, an incarnation that runs tasks could be missing from the
// roster. They hold in this term only, as an incarnation that is dismissed may have
// reported to a later leader. The caller holds mu.
func (d *dispatcher) changeRoster(ctx context.Context, r *replica) {
	if d.rosterInFlight || (len(d.pendingRoster.Enrol) == 0 && len(d.pendingRoster.Dismiss) == 0) {
		return
	}
	c, term := d.pendingRoster, d.term
	d.pendingRoster, d.proposedRoster, d.rosterInFlight = lwstate.ChangeRoster{}, c, true
	go func() {
		_, _, err := r.proposeIn(ctx, term, c)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.term != term {
			return // the core of the newer term was made from the roster as recorded
		}
		d.proposedRoster, d.rosterInFlight = lwstate.ChangeRoster{}, false
		if err != nil {
			d.node.log.Warn("cannot change the roster yet", zap.Int("enrol", len(c.Enrol)), zap.Int("dismiss", len(c.Dismiss)), zap.Error(err))
			d.pendingRoster = mergeRoster(c, d.pendingRoster.Enrol, d.pendingRoster.Dismiss)
			return // the next call of perform proposes it again
		}
		d.changeRoster(ctx, r)
	}()
}

// isEnrolled reports whether an incarnation that a committed change has added stays on the
// roster. A proposal without an answer may be committed after a later one has dismissed the
// incarnation, which then is to be added again. The caller holds mu.
func (d *dispatcher) isEnrolled(incarnation lwjob.WorkerIncarnation) bool {
	return !slices.Contains(d.proposedRoster.Dismiss, incarnation) && !slices.Contains(d.pendingRoster.Dismiss, incarnation)
}

func (d *dispatcher) propose(ctx context.Context, r *replica, c lwstate.Command) {
	if _, _, err := r.propose(ctx, c); err != nil {
		d.node.log.Warn("dispatcher command failed", zap.Error(err))
	}
}

// recordRuns proposes the pending ends, in order, and placements, one proposal at a time
// with up to maxRunsRecorded of them. Ends and placements that arrive meanwhile share the
// next proposal. They hold in this term only, as a later leader may have placed the tasks
// elsewhere. The caller holds mu.
func (d *dispatcher) recordRuns(ctx context.Context, r *replica) {
	if d.recordInFlight || len(d.pendingEnds)+len(d.pendingPlacements) == 0 {
		return
	}
	ends := d.pendingEnds[:min(len(d.pendingEnds), maxRunsRecorded)]
	placements := d.pendingPlacements[:min(len(d.pendingPlacements), maxRunsRecorded-len(ends))]
	term := d.term
	d.pendingEnds, d.pendingPlacements = d.pendingEnds[len(ends):], d.pendingPlacements[len(placements):]
	d.recordInFlight = true
	cmd := lwstate.RecordRuns{Placements: placements}
	for _, e := range ends {
		cmd.Ends = append(cmd.Ends, e.Numbered.End)
	}
	go func() {
		_, _, err := r.proposeIn(ctx, term, cmd)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.term != term {
			return // the workers report these ends to the leader of the newer term again
		}
		d.recordInFlight = false
		if err != nil {
			d.node.log.Warn("cannot record runs yet", zap.Int("ends", len(ends)), zap.Int("places", len(placements)), zap.Error(err))
			d.pendingEnds = slices.Concat(ends, d.pendingEnds)
			d.pendingPlacements = slices.Concat(placements, d.pendingPlacements)
			d.wake()
			return
		}
		endsRecorded.Add(int64(len(ends)))
		d.acknowledgeEnds(ctx, r, ends)
		d.recordRuns(ctx, r)
		d.wake()
	}()
}

// acknowledgeEnds sends the agents their new cursors, up to which they may discard
// ends. The caller holds mu.
func (d *dispatcher) acknowledgeEnds(ctx context.Context, r *replica, ends []lwdispatch.WorkerEnd) {
	incarnations := make(map[lwjob.WorkerIncarnation]bool)
	for _, e := range ends {
		if e.Numbered.End.How == lwjob.EndCrashed {
			d.core.CrashRecorded(e.Incarnation)
			continue
		}
		d.core.EndsRecorded(e.Incarnation, e.Numbered.Number)
		incarnations[e.Incarnation] = true
	}
	for incarnation := range incarnations {
		d.send(ctx, r, lwdispatch.WorkerOrders{Incarnation: incarnation})
	}
}

// recordInterference proposes to record the interference learned between pairs of
// images, so that the next leader need not learn it again at the cost of delayed
// requests. What a failed proposal was to record is proposed again. The caller holds
// mu.
func (d *dispatcher) recordInterference(ctx context.Context, r *replica) {
	if d.interferenceInFlight || r.now()-d.interferenceRecordedAt < interferenceRecordInterval {
		return
	}
	d.interferenceRecordedAt = r.now()
	pairs, term := d.core.ChangedInterference(), d.term
	if len(pairs) == 0 {
		return
	}
	d.interferenceInFlight = true
	go func() {
		_, _, err := r.propose(ctx, lwstate.RecordInterference{Pairs: pairs})
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.term != term {
			return // the core of the newer term was made from the interference as recorded
		}
		d.interferenceInFlight = false
		if err != nil {
			d.node.log.Warn("cannot record interference yet", zap.Int("pairs", len(pairs)), zap.Error(err))
			return
		}
		d.core.InterferenceRecorded(pairs)
	}()
}

// removeEndedJobs proposes to remove the jobs of queues that ended, and the cancellations
// of unknown jobs that were recorded, more than queueJobRetention ago. The caller holds mu.
func (d *dispatcher) removeEndedJobs(ctx context.Context, r *replica) {
	if r.now()-d.jobsRemovedAt < jobRemovalInterval {
		return
	}
	d.jobsRemovedAt = r.now()
	var before lwunit.Millis
	due := false
	r.read(func(s *lwstate.State) {
		before = s.Clock().Add(-queueJobRetention)
		cancellations := s.Queues().Cancellations()
		due = len(cancellations) > 0 && cancellations[0].At < before
		s.Queues().EachJob(func(j *lwjob.Job) { due = due || (j.State.Final() && j.Ended < before) })
	})
	if due {
		go d.propose(ctx, r, lwstate.RemoveQueueJobs{Before: before})
	}
}
