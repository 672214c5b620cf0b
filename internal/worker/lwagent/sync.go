package lwagent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

func (a *Agent) onNudge(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
	a.nudge()
	return nil, nil
}

func (a *Agent) nudge() {
	select {
	case a.nudged <- struct{}{}:
	default:
	}
}

// syncLoop renews the leases and carries out what control assigned.
func (a *Agent) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		again := a.syncOnce(ctx)
		if again {
			continue
		}
		// The interval is jittered so that agents that lost their leader at one
		// moment do not return at one moment.
		pause := syncInterval - syncInterval/10 + rand.N(syncInterval/5)
		a.rest(ctx, pause)
	}
}

// rest waits for the next exchange: the interval, a nudge, or a task that
// ended on the platform.
func (a *Agent) rest(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	for left := pause; left > 0; left = time.Until(end) {
		if len(a.assigned) > 0 {
			left = min(left, platformPoll)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.nudged:
			return
		case <-time.After(left):
		}
		if len(a.assigned) > 0 && a.hasNews(ctx) {
			return
		}
	}
}

// hasNews reports whether the platform has something that control does not
// know.
func (a *Agent) hasNews(ctx context.Context) bool {
	actual, err := a.list(ctx)
	return err == nil && len(reports(a.assigned, actual, a.told, a.started)) > 0
}

// syncOnce makes one exchange with the leader; again is set when another one
// should follow at once.
func (a *Agent) syncOnce(ctx context.Context) (again bool) {
	agentSyncs.Add(1)
	actual, err := a.list(ctx)
	if err != nil {
		agentSyncErrors.Add(1)
		a.log.Debug("platform not reachable", zap.Error(err))
		return false
	}
	m := lwlink.Sync{Worker: a.cfg.Worker.ID, Incarnation: a.cfg.Incarnation, Known: a.known, Signals: a.backends.signals()}
	m.Reports = reports(a.assigned, actual, a.told, a.started)
	m.Usage = a.usage(ctx)
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	res, err := a.client.Sync(call, m)
	cancel()
	if err != nil {
		agentSyncErrors.Add(1)
		a.log.Debug("sync failed", zap.Error(err))
		return false
	}
	if res.Register {
		return a.register(ctx)
	}
	for _, r := range m.Reports {
		a.told[lwplatform.Attempt{Task: r.Task, Token: r.Token}] = r.Event
	}
	if res.Changed {
		a.assigned, a.known = res.Assignments, res.Revision
		a.trim()
	}
	left := res.Lease.Std() - time.Since(sent)
	if left > minimalLeaseLeft {
		a.renew(ctx, left)
		return a.carryOut(ctx, actual, sent, res)
	}
	return false
}

func (a *Agent) list(ctx context.Context) ([]lwplatform.TaskStatus, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.cfg.Platform.List(call)
}

func (a *Agent) usage(ctx context.Context) []lwlink.Usage {
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

// register describes the worker to control and announces the backend servers
// again under this incarnation.
func (a *Agent) register(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := a.client.Propose(call, lwstate.RegisterWorker{Spec: a.cfg.Worker, Incarnation: a.cfg.Incarnation}); err != nil {
		a.log.Debug("register failed", zap.Error(err))
		return false
	}
	a.known = 0
	a.backends.announceAgain()
	a.log.Info("worker registered", zap.String("worker", string(a.cfg.Worker.ID)))
	return true
}

// trim forgets what was noted of attempts that are no longer assigned.
func (a *Agent) trim() {
	keep := make(map[lwplatform.Attempt]bool, len(a.assigned))
	for _, t := range a.assigned {
		keep[lwplatform.Attempt{Task: t.Task, Token: t.Token}] = true
	}
	for at := range a.told {
		if !keep[at] {
			delete(a.told, at)
		}
	}
	for at := range a.started {
		if !keep[at] {
			delete(a.started, at)
		}
	}
	for at := range a.throttled {
		if !keep[at] {
			delete(a.throttled, at)
		}
	}
}

// renew extends the leases of the assigned attempts at the platform. The lease
// is counted from when the sync was sent, so the worker's end of it is never
// later than control believes.
func (a *Agent) renew(ctx context.Context, left time.Duration) {
	attempts := make([]lwplatform.Attempt, 0, len(a.assigned))
	for _, t := range a.assigned {
		attempts = append(attempts, lwplatform.Attempt{Task: t.Task, Token: t.Token})
	}
	if len(attempts) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.cfg.Platform.Renew(call, left, attempts); err != nil {
		a.log.Debug("lease not renewed at the platform", zap.Error(err))
	}
}

// carryOut does what reconcile asks; again is set when something changed that
// control should hear of at once.
func (a *Agent) carryOut(ctx context.Context, actual []lwplatform.TaskStatus, sent time.Time, res lwlink.SyncReply) (again bool) {
	acts := reconcile(a.cfg.Worker.Capacity, a.assigned, actual, a.started)
	acts = append(acts, a.throttles(res.Throttles)...)
	for _, act := range acts {
		if a.perform(ctx, act, sent, res.Lease) {
			again = true
		}
	}
	return again
}

// throttles returns what to change so that the limits are as control lists
// them; a task that is not listed runs at full speed.
func (a *Agent) throttles(list []lwlink.Throttle) []action {
	want := make(map[lwunit.TaskID]int, len(list))
	for _, t := range list {
		want[t.Task] = t.Percent
	}
	var acts []action
	for _, as := range a.assigned {
		at := lwplatform.Attempt{Task: as.Task, Token: as.Token}
		percent := fullSpeed
		if p, ok := want[as.Task]; ok {
			percent = p
		}
		now, set := a.throttled[at]
		if percent != now && (set || percent != fullSpeed) {
			a.throttled[at] = percent
			acts = append(acts, throttleTask{at, percent})
		}
	}
	return acts
}

func (a *Agent) perform(ctx context.Context, act action, sent time.Time, lease lwunit.Duration) bool {
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := a.cfg.Platform
	var err error
	changed := false
	switch act := act.(type) {
	case startTask:
		changed, err = a.start(call, act, sent, lease)
	case evictTask:
		// A failed checkpoint does not keep the task: it resumes from the
		// checkpoint before.
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
		a.log.Warn("platform refused", zap.Error(err))
	}
	return changed && err == nil
}

// start starts an attempt under what is left of the lease.
func (a *Agent) start(ctx context.Context, act startTask, sent time.Time, lease lwunit.Duration) (bool, error) {
	left := lease.Std() - time.Since(sent)
	if left < minimalLeaseLeft {
		return false, nil
	}
	at := lwplatform.Attempt{Task: act.assignment.Task, Token: act.assignment.Token}
	err := a.cfg.Platform.Start(ctx, lwplatform.StartRequest{
		Attempt: at, Program: act.assignment.Program, Reserve: act.assignment.Reserve,
		Checkpoint: act.assignment.Checkpoint, Lease: lwunit.Duration(left),
	})
	if err == nil {
		a.started[at] = true
		agentStarts.Add(1)
	}
	return err == nil, err
}
