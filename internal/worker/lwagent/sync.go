package lwagent

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

func (a *Agent) handleNudge(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
	a.requestSync()
	return nil, nil
}

func (a *Agent) requestSync() {
	select {
	case a.syncDue <- struct{}{}:
	default:
	}
}

// syncLoop renews the leases and carries out control's assignments.
func (a *Agent) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		again := a.syncOnce(ctx)
		if again {
			continue
		}
		// The interval is jittered so that agents that lost their leader at the
		// same moment do not all return at once.
		pause := syncInterval - syncInterval/10 + rand.N(syncInterval/5)
		a.waitForSync(ctx, pause)
	}
}

// waitForSync waits until the next exchange is due: after the interval, when
// control asks for one, or when a task's state on the platform has changed.
func (a *Agent) waitForSync(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	for wait := pause; wait > 0; wait = time.Until(end) {
		if len(a.assigned) > 0 {
			wait = min(wait, platformPollInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.syncDue:
			return
		case <-time.After(wait):
		}
		if len(a.assigned) > 0 && a.hasReports(ctx) {
			return
		}
	}
}

// hasReports reports whether some attempt's state on the platform is due to be
// reported.
func (a *Agent) hasReports(ctx context.Context) bool {
	actual, err := a.list(ctx)
	return err == nil && len(a.dueReports(actual)) > 0
}

// syncOnce makes one exchange with the leader. It returns true if another one
// should follow at once.
func (a *Agent) syncOnce(ctx context.Context) (again bool) {
	agentSyncs.Add(1)
	actual, err := a.list(ctx)
	if err != nil {
		agentSyncErrors.Add(1)
		a.log.Debug("list of the platform's tasks failed", zap.Error(err))
		return false
	}
	m := lwlink.Sync{Worker: a.cfg.Worker.ID, Incarnation: a.cfg.Incarnation, KnownRevision: a.assignedRevision, Signals: a.backends.takeSignals()}
	m.Reports = a.dueReports(actual)
	m.Usage = a.dueUsage(ctx)
	sentAt := a.clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	res, err := a.client.Sync(call, m)
	cancel()
	if err != nil {
		agentSyncErrors.Add(1)
		a.log.Debug("sync failed", zap.Error(err))
		return false
	}
	if res.Register {
		a.inherits = true
		return a.register(ctx)
	}
	for _, r := range m.Reports {
		a.reported[lwplatform.Attempt{Task: r.Task, Token: r.Token}] = r.Event
	}
	a.takeAssignments(res)
	leaseEnd := sentAt + res.Lease.Std()
	if leaseEnd-a.clock.Now() <= minLeaseLeft {
		return false
	}
	a.renewLeases(ctx, actual, leaseEnd)
	return a.applyReply(ctx, actual, leaseEnd, res)
}

// takeAssignments replaces the assignments by those in control's reply.
func (a *Agent) takeAssignments(res lwlink.SyncReply) {
	if res.Changed {
		a.assigned, a.assignedRevision = res.Assignments, res.Revision
		a.pruneAttempts()
	}
	if !a.inherits {
		return
	}
	// Control gave another agent of the worker no lease after this one registered.
	a.inherits = false
	clear(a.sentTo)
	for _, t := range a.assigned {
		a.expectRunning(lwplatform.Attempt{Task: t.Task, Token: t.Token}, a.clock.Now()+res.Lease.Std())
	}
}

// expectRunning notes that an attempt may run until the end of a lease, whether or not
// the call that carries the lease gets an answer.
func (a *Agent) expectRunning(attempt lwplatform.Attempt, leaseEnd time.Duration) {
	a.mayRunUntil[attempt] = max(a.mayRunUntil[attempt], leaseEnd+leaseMargin)
}

// mayNotStart returns the attempts that must not be started now: those that this agent has
// started, and those of which an earlier start may run without being listed. Only the platform
// to which that start was sent knows of it and carries out no second one.
func (a *Agent) mayNotStart() map[lwplatform.Attempt]bool {
	list := maps.Clone(a.started)
	now := a.clock.Now()
	for attempt, until := range a.mayRunUntil {
		sentTo, sent := a.sentTo[attempt]
		if now < until && !(sent && sentTo != "" && sentTo == a.platformClockID) {
			list[attempt] = true
		}
	}
	return list
}

// dueReports returns the reports that follow from a list of the platform's attempts.
func (a *Agent) dueReports(actual []lwplatform.AttemptStatus) []lwstate.TaskReport {
	now := a.clock.Now()
	for _, t := range a.assigned {
		attempt := lwplatform.Attempt{Task: t.Task, Token: t.Token}
		if _, known := a.missingSince[attempt]; !known {
			a.missingSince[attempt] = now
		}
	}
	for _, t := range actual {
		delete(a.missingSince, t.Attempt)
	}
	list := dueReports(a.assigned, actual, a.reported, a.started, func(attempt lwplatform.Attempt) bool { return now < a.mayRunUntil[attempt] })
	for i, r := range list {
		if r.Gone {
			list[i].GoneFor = lwunit.Duration(now - a.missingSince[lwplatform.Attempt{Task: r.Task, Token: r.Token}])
		}
	}
	return list
}

func (a *Agent) list(ctx context.Context) ([]lwplatform.AttemptStatus, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := a.cfg.Platform.List(call)
	if err == nil {
		a.platformClock, a.platformClockID, a.platformClockReadAt = l.Clock, l.ClockID, a.clock.Now()
	}
	return l.Attempts, err
}

// leaseUntil returns the lease that ends at a time on the agent's clock, at the
// platform too: also if the call that carries it is delayed, or if this VM is
// suspended meanwhile.
func (a *Agent) leaseUntil(end time.Duration) lwplatform.Lease {
	l := lwplatform.Lease{Left: lwunit.Duration(end - a.clock.Now())}
	if a.platformClock != 0 {
		l.Until, l.ClockID = a.platformClock.Add(end-a.platformClockReadAt), a.platformClockID
	}
	return l
}

// dueUsage returns the platform's usage measurements once per usageInterval.
func (a *Agent) dueUsage(ctx context.Context) []lwlink.Usage {
	if time.Since(a.usageAt) < usageInterval || len(a.assigned) == 0 {
		return nil
	}
	a.usageAt = time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	measured, err := a.cfg.Platform.Usage(call)
	if err != nil {
		return nil
	}
	list := make([]lwlink.Usage, 0, len(measured))
	for _, u := range measured {
		list = append(list, lwlink.Usage{Task: u.Task, Used: u.Used, Age: u.Age})
	}
	return list
}

// register registers the worker with control, and has the assignments listed and
// the backend servers announced again under the new registration. It returns
// false if the registration failed.
func (a *Agent) register(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	defer a.backends.announceAgain() // also without an answer, since the worker may be registered
	if _, err := a.client.Propose(call, lwstate.RegisterWorker{Spec: a.cfg.Worker, Incarnation: a.cfg.Incarnation}); err != nil {
		a.log.Debug("registration of the worker failed", zap.Error(err))
		return false
	}
	a.assignedRevision = 0
	a.log.Info("worker registered", zap.String("worker", string(a.cfg.Worker.ID)))
	return true
}

// pruneAttempts discards the state kept for attempts that are no longer
// assigned.
func (a *Agent) pruneAttempts() {
	keep := make(map[lwplatform.Attempt]bool, len(a.assigned))
	for _, t := range a.assigned {
		keep[lwplatform.Attempt{Task: t.Task, Token: t.Token}] = true
	}
	for attempt := range a.reported {
		if !keep[attempt] {
			delete(a.reported, attempt)
		}
	}
	for attempt := range a.started {
		if !keep[attempt] {
			delete(a.started, attempt)
		}
	}
	for attempt := range a.mayRunUntil {
		if !keep[attempt] {
			delete(a.mayRunUntil, attempt)
		}
	}
	for attempt := range a.sentTo {
		if !keep[attempt] {
			delete(a.sentTo, attempt)
		}
	}
	for attempt := range a.missingSince {
		if !keep[attempt] {
			delete(a.missingSince, attempt)
		}
	}
	for attempt := range a.cpuPercent {
		if !keep[attempt] {
			delete(a.cpuPercent, attempt)
		}
	}
}

// renewLeases extends the leases of the assigned attempts that run on the platform to
// a time on the agent's clock. A lease counts from when the sync was sent, so it ends
// on the worker no later than control assumes. The lease of an attempt that is not
// listed runs out, so that it can be reported as ended.
func (a *Agent) renewLeases(ctx context.Context, actual []lwplatform.AttemptStatus, end time.Duration) {
	running := make(map[lwplatform.Attempt]bool, len(actual))
	for _, t := range actual {
		running[t.Attempt] = t.State == lwplatform.StateRunning
	}
	attempts := make([]lwplatform.Attempt, 0, len(a.assigned))
	for _, t := range a.assigned {
		if attempt := (lwplatform.Attempt{Task: t.Task, Token: t.Token}); running[attempt] {
			a.expectRunning(attempt, end)
			attempts = append(attempts, attempt)
		}
	}
	if len(attempts) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.cfg.Platform.Renew(call, a.leaseUntil(end), attempts); err != nil {
		a.log.Debug("renewal of the leases at the platform failed", zap.Error(err))
	}
}

// applyReply carries out the actions that follow from control's reply. It
// returns true if a task's state changed, which is reported at once.
func (a *Agent) applyReply(ctx context.Context, actual []lwplatform.AttemptStatus, leaseEnd time.Duration, res lwlink.SyncReply) (again bool) {
	acts := reconcile(a.cfg.Worker.Capacity, a.assigned, actual, a.mayNotStart())
	acts = append(acts, a.throttleActions(res.Throttles)...)
	for _, act := range acts {
		if a.perform(ctx, act, leaseEnd) {
			again = true
		}
	}
	return again
}

// throttleActions returns the actions that set the CPU limits as control lists
// them. A task that is not listed runs without a limit.
func (a *Agent) throttleActions(list []lwlink.Throttle) []action {
	want := make(map[lwunit.TaskID]int, len(list))
	for _, t := range list {
		want[t.Task] = t.Percent
	}
	var acts []action
	for _, as := range a.assigned {
		attempt := lwplatform.Attempt{Task: as.Task, Token: as.Token}
		percent := fullCPUPercent
		if p, ok := want[as.Task]; ok {
			percent = p
		}
		current, set := a.cpuPercent[attempt]
		if percent != current && (set || percent != fullCPUPercent) {
			a.cpuPercent[attempt] = percent
			acts = append(acts, throttleTask{attempt, percent})
		}
	}
	return acts
}

// perform carries out an action. It returns true if that changed a task's state.
func (a *Agent) perform(ctx context.Context, act action, leaseEnd time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	p := a.cfg.Platform
	var err error
	changed := false
	switch act := act.(type) {
	case startTask:
		changed, err = a.start(call, act, leaseEnd)
	case evictTask:
		// The task is stopped even if the checkpoint fails: it resumes from the
		// previous one.
		if _, cpErr := p.Checkpoint(call, act.attempt); cpErr != nil {
			a.log.Warn("checkpoint failed", zap.String("task", string(act.attempt.Task)), zap.Error(cpErr))
		}
		err = p.Stop(call, act.attempt)
		agentEvictions.Add(1)
		changed = true
	case stopTask:
		err = p.Stop(call, act.attempt)
		agentStops.Add(1)
		changed = true
	case forgetTask:
		err = p.Forget(call, act.attempt)
	case throttleTask:
		err = p.Throttle(call, act.attempt, act.percent)
	}
	if err != nil {
		a.log.Warn("call to the platform failed", zap.Error(err))
	}
	return changed && err == nil
}

// start starts an attempt with the remaining time of the lease.
func (a *Agent) start(ctx context.Context, act startTask, leaseEnd time.Duration) (bool, error) {
	if leaseEnd-a.clock.Now() < minLeaseLeft {
		return false, nil
	}
	attempt := lwplatform.Attempt{Task: act.assignment.Task, Token: act.assignment.Token}
	a.expectRunning(attempt, leaseEnd)
	a.sentTo[attempt] = a.platformClockID
	err := a.cfg.Platform.Start(ctx, lwplatform.StartRequest{
		Attempt: attempt, Lease: a.leaseUntil(leaseEnd), Program: act.assignment.Program, Reserve: act.assignment.Reserve,
		Checkpoint: act.assignment.Checkpoint,
	})
	if err == nil {
		a.started[attempt] = true
		agentStarts.Add(1)
	}
	return err == nil, err
}
