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

// mergeRoster adds changes to those that wait; of one life the last one counts.
func mergeRoster(c lwstate.ChangeRoster, enrol []lwjob.RosterEntry, dismiss []lwjob.WorkerLife) lwstate.ChangeRoster {
	for _, life := range dismiss {
		c.Enrol = slices.DeleteFunc(c.Enrol, func(e lwjob.RosterEntry) bool { return e.Life == life })
	}
	c.Dismiss = append(c.Dismiss, dismiss...)
	for _, e := range enrol {
		c.Dismiss = slices.DeleteFunc(c.Dismiss, func(life lwjob.WorkerLife) bool { return life == e.Life })
	}
	c.Enrol = append(c.Enrol, enrol...)
	return c
}

// changeRoster proposes the changes that wait, one proposal at a time: one that
// overtook another could leave a life that runs tasks off the roster. The
// dispatcher is locked.
func (d *dispatcher) changeRoster(ctx context.Context, r *replica) {
	if d.changing || (len(d.roster.Enrol) == 0 && len(d.roster.Dismiss) == 0) {
		return
	}
	c, term := d.roster, d.term
	d.roster, d.changing = lwstate.ChangeRoster{}, true
	go func() {
		_, _, err := r.propose(ctx, c)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.term != term {
			return // the next leader reads the roster as it is
		}
		d.changing = false
		if err != nil {
			d.node.log.Warn("roster not changed yet", zap.Int("enrol", len(c.Enrol)), zap.Int("dismiss", len(c.Dismiss)), zap.Error(err))
			d.roster = mergeRoster(c, d.roster.Enrol, d.roster.Dismiss)
			return // the next round proposes it again
		}
		d.changeRoster(ctx, r)
	}()
}

func (d *dispatcher) propose(ctx context.Context, r *replica, c lwstate.Command) {
	if _, _, err := r.propose(ctx, c); err != nil {
		d.node.log.Warn("dispatcher's command not accepted", zap.Error(err))
	}
}

// record proposes the ends and places that wait, one proposal at a time; those
// that come meanwhile share the next.
func (d *dispatcher) record(ctx context.Context, r *replica) {
	if d.recording || len(d.ends)+len(d.places) == 0 {
		return
	}
	batch, places, term := d.ends, d.places, d.term
	d.ends, d.places, d.recording = nil, nil, true
	cmd := lwstate.RecordRuns{Places: places}
	for _, e := range batch {
		cmd.Ends = append(cmd.Ends, e.Row.End)
	}
	go func() {
		_, _, err := r.propose(ctx, cmd)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.term != term {
			return // the workers list these ends to the next leader again
		}
		d.recording = false
		if err != nil {
			d.node.log.Warn("runs not recorded yet", zap.Int("ends", len(batch)), zap.Int("places", len(places)), zap.Error(err))
			d.ends = append(batch, d.ends...)
			d.places = append(places, d.places...)
			d.wake()
			return
		}
		endsRecorded.Add(int64(len(batch)))
		d.acknowledge(ctx, r, batch)
		d.record(ctx, r)
		d.wake()
	}()
}

// acknowledge lets workers forget the ends that are recorded.
func (d *dispatcher) acknowledge(ctx context.Context, r *replica, batch []lwdispatch.WorkerEnd) {
	touched := make(map[lwjob.WorkerLife]bool)
	for _, e := range batch {
		d.core.EndsRecorded(e.Life, e.Row.Number)
		touched[e.Life] = true
	}
	for life := range touched {
		d.send(ctx, r, lwdispatch.WorkerOrders{Life: life})
	}
}

// learn records what was learned of images, so that the next leader need not
// learn it again at the cost of those who wait.
func (d *dispatcher) learn(ctx context.Context, r *replica) {
	if r.now()-d.learned < learnInterval {
		return
	}
	d.learned = r.now()
	if pairs := d.core.Learned(); len(pairs) > 0 {
		go d.propose(ctx, r, lwstate.LearnDisturbances{Pairs: pairs})
	}
}

// forget drops the record of jobs that ended long ago.
func (d *dispatcher) forget(ctx context.Context, r *replica) {
	if r.now()-d.forgot < forgetInterval {
		return
	}
	d.forgot = r.now()
	var before lwunit.Millis
	due := false
	r.read(func(s *lwstate.State) {
		before = s.Clock().Add(-jobRetention)
		s.Queues().Each(func(j *lwjob.Job) { due = due || (j.State.Final() && j.Ended < before) })
	})
	if due {
		go d.propose(ctx, r, lwstate.ForgetJobs{Before: before})
	}
}
