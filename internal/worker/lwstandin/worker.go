// Package lwstandin holds the stand-ins for tests and the demo: a worker with
// its platform interface, and a backend server. They implement the published
// protocols, including leases and fencing.
package lwstandin

import (
	"context"
	"crypto/rand"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

const (
	defaultWorkTime        = time.Second
	fullCPUPercent         = 100
	failingProgram         = "fail"
	programFieldsWithUsage = 4
)

// Worker is an in-memory stand-in for a worker's platform. A program is "name",
// "name:2s" or "name:2s:1500:4GiB": its work as a time at full CPU, by default
// defaultWorkTime, and the millicores and memory that it uses. A program whose
// name begins with "fail" fails at its end. A checkpoint is the work done so far,
// as a duration.
type Worker struct {
	bootedAt     time.Time // origin of its clock
	clockID      lwplatform.ClockID
	mu           sync.Mutex
	tasks        map[lwunit.TaskID]*attempt
	highestToken map[lwunit.TaskID]lwunit.FencingToken
	starts       map[lwunit.TaskID]int
	peak         lwunit.Resources
	broken       bool
}

type attempt struct {
	status         lwplatform.AttemptStatus
	program        string
	totalWork      time.Duration
	doneWork       time.Duration // at doneWorkAt, or at the end of an ended attempt
	doneWorkAt     time.Time
	cpuPercent     int // percentage of its processors that it may use
	leaseExpiresAt time.Time
}

// NewWorker returns a worker that runs nothing.
func NewWorker() *Worker {
	return &Worker{
		bootedAt: time.Now(), clockID: lwplatform.ClockID(rand.Text()), tasks: make(map[lwunit.TaskID]*attempt), highestToken: make(map[lwunit.TaskID]lwunit.FencingToken),
		starts: make(map[lwunit.TaskID]int),
	}
}

// SetBroken determines whether the attempts that start from now on fail at once.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// Reboot drops every attempt, like a restart of the VM.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks = make(map[lwunit.TaskID]*attempt)
}

// Peak returns the highest reservation of each resource so far.
func (w *Worker) Peak() lwunit.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Starts returns how many attempts of a task were started.
func (w *Worker) Starts(id lwunit.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// Running returns the running attempts.
func (w *Worker) Running() []lwplatform.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateStates()
	var list []lwplatform.Attempt
	for _, a := range w.tasks {
		if a.status.State == lwplatform.StateRunning {
			list = append(list, a.status.Attempt)
		}
	}
	return list
}

func parseWorkTime(program string) time.Duration {
	fields := strings.Split(program, ":")
	if len(fields) < 2 {
		return defaultWorkTime
	}
	d, err := time.ParseDuration(fields[1])
	if err != nil {
		return defaultWorkTime
	}
	return d
}

// parseUsage returns the resource usage that a program states, if any.
func parseUsage(program string) (lwunit.Resources, bool) {
	fields := strings.Split(program, ":")
	if len(fields) != programFieldsWithUsage {
		return lwunit.Resources{}, false
	}
	millicores, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return lwunit.Resources{}, false
	}
	var memory lwunit.Bytes
	if err := memory.UnmarshalJSON([]byte(strconv.Quote(fields[3]))); err != nil {
		return lwunit.Resources{}, false
	}
	return lwunit.Resources{Millicores: lwunit.Millicores(millicores), Memory: memory}, true
}

// progress returns the work done up to now. A lower CPU limit slows it down in
// proportion.
func (a *attempt) progress(now time.Time) time.Duration {
	if a.status.State != lwplatform.StateRunning {
		return a.doneWork
	}
	return a.doneWork + now.Sub(a.doneWorkAt)*time.Duration(a.cpuPercent)/fullCPUPercent
}

// updateStates ends the running attempts whose lease has expired or whose work is
// done. The caller holds mu.
func (w *Worker) updateStates() {
	now := time.Now()
	for _, a := range w.tasks {
		if a.status.State != lwplatform.StateRunning {
			continue
		}
		switch {
		case now.After(a.leaseExpiresAt):
			a.end(now, lwplatform.StateStopped, "the lease ended")
		case a.progress(now) >= a.totalWork && strings.HasPrefix(a.program, failingProgram):
			a.end(now, lwplatform.StateFailed, "the program failed")
		case a.progress(now) >= a.totalWork:
			a.end(now, lwplatform.StateSucceeded, "")
		}
	}
}

func (a *attempt) end(now time.Time, state lwplatform.AttemptState, reason string) {
	a.doneWork = a.progress(now)
	a.status.State, a.status.Reason = state, reason
}

// clockOrigin is the reading of a worker's clock when it is made; readings are never
// zero, which means that there is no clock.
const clockOrigin lwplatform.Clock = 1000

// clock returns the reading of the worker's clock at a time.
func (w *Worker) clock(at time.Time) lwplatform.Clock { return clockOrigin.Add(at.Sub(w.bootedAt)) }

// checkClock returns a fault if a lease was reckoned by another clock than the worker's.
func (w *Worker) checkClock(l lwplatform.Lease) error {
	if l.ClockID != "" && l.ClockID != w.clockID {
		return lwfault.New(lwfault.Fenced, "the lease was reckoned by another clock; list the attempts first")
	}
	return nil
}

// leaseEnd returns when a lease that was received now ends.
func (w *Worker) leaseEnd(now time.Time, l lwplatform.Lease) time.Time {
	end := now.Add(l.Left.Std())
	if l.Until == 0 {
		return end
	}
	until := now.Add(time.Duration(l.Until-w.clock(now)) * time.Millisecond)
	if until.Before(end) {
		return until
	}
	return end
}

// List returns the attempts that Forget has not removed.
func (w *Worker) List(context.Context) (lwplatform.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateStates()
	list := make([]lwplatform.AttemptStatus, 0, len(w.tasks))
	for _, a := range w.tasks {
		list = append(list, a.status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return lwplatform.Listing{Clock: w.clock(time.Now()), ClockID: w.clockID, Attempts: list}, nil
}

// Start starts an attempt. It returns a fault if the token is lower than that of
// an earlier start, or an earlier attempt is still running. Repeating a start
// does nothing.
func (w *Worker) Start(_ context.Context, r lwplatform.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateStates()
	if err := w.checkClock(r.Lease); err != nil {
		return err
	}
	if r.Token < w.highestToken[r.Task] {
		return lwfault.New(lwfault.Fenced, "token %d is lower than token %d of an earlier start", r.Token, w.highestToken[r.Task])
	}
	if r.Token == w.highestToken[r.Task] {
		return nil // also if the attempt has ended and been forgotten
	}
	if old := w.tasks[r.Task]; old != nil && old.status.State == lwplatform.StateRunning {
		return lwfault.New(lwfault.Conflict, "attempt %d is still running", old.status.Token)
	}
	now := time.Now()
	a := &attempt{
		status:  lwplatform.AttemptStatus{Attempt: r.Attempt, State: lwplatform.StateRunning, Reserve: r.Reserve, Checkpoint: r.Checkpoint},
		program: r.Program, totalWork: parseWorkTime(r.Program), doneWorkAt: now, cpuPercent: fullCPUPercent, leaseExpiresAt: w.leaseEnd(now, r.Lease),
	}
	if r.Checkpoint != "" {
		doneWork, err := time.ParseDuration(r.Checkpoint)
		if err != nil {
			return lwfault.New(lwfault.Invalid, "checkpoint %q is not a duration", r.Checkpoint)
		}
		a.doneWork = doneWork
	}
	if w.broken {
		a.end(now, lwplatform.StateFailed, "the worker is broken")
	}
	w.highestToken[r.Task] = r.Token
	w.tasks[r.Task] = a
	w.starts[r.Task]++
	w.updatePeak()
	return nil
}

func (w *Worker) updatePeak() {
	var sum lwunit.Resources
	for _, a := range w.tasks {
		if a.status.State == lwplatform.StateRunning {
			sum = sum.Add(a.status.Reserve)
		}
	}
	w.peak = w.peak.Max(sum)
}

// findAttempt updates the states and returns a listed attempt, running or ended.
// The caller holds mu.
func (w *Worker) findAttempt(at lwplatform.Attempt) (*attempt, error) {
	w.updateStates()
	a := w.tasks[at.Task]
	if a == nil || a.status.Token != at.Token {
		return nil, lwfault.New(lwfault.NotFound, "attempt %d of %s is not on this worker", at.Token, at.Task)
	}
	return a, nil
}

// Renew extends the leases of running attempts and ignores the others. It shortens
// none, since an earlier renewal may arrive late.
func (w *Worker) Renew(_ context.Context, lease lwplatform.Lease, attempts []lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkClock(lease); err != nil {
		return err
	}
	for _, at := range attempts {
		if a, err := w.findAttempt(at); err == nil && a.status.State == lwplatform.StateRunning {
			if end := w.leaseEnd(time.Now(), lease); end.After(a.leaseExpiresAt) {
				a.leaseExpiresAt = end
			}
		}
	}
	return nil
}

// Checkpoint saves the progress of a running attempt.
func (w *Worker) Checkpoint(_ context.Context, at lwplatform.Attempt) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.findAttempt(at)
	if err != nil {
		return "", err
	}
	if a.status.State != lwplatform.StateRunning {
		return "", lwfault.New(lwfault.Conflict, "attempt %d is %s", at.Token, a.status.State)
	}
	a.status.Checkpoint = a.progress(time.Now()).String()
	return a.status.Checkpoint, nil
}

// Throttle limits an attempt to a percentage of its processors.
func (w *Worker) Throttle(_ context.Context, at lwplatform.Attempt, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.findAttempt(at)
	if err != nil {
		return err
	}
	if percent < 1 || percent > fullCPUPercent {
		return lwfault.New(lwfault.Invalid, "percent must be 1 to 100, not %s", strconv.Itoa(percent))
	}
	now := time.Now()
	a.doneWork, a.doneWorkAt = a.progress(now), now
	a.cpuPercent = percent
	return nil
}

// Stop ends an attempt if it is running.
func (w *Worker) Stop(_ context.Context, at lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.findAttempt(at)
	if err != nil {
		return err
	}
	if a.status.State == lwplatform.StateRunning {
		a.end(time.Now(), lwplatform.StateStopped, "stopped on request")
	}
	return nil
}

// Forget removes an ended attempt; it does nothing if the attempt is not listed.
func (w *Worker) Forget(_ context.Context, at lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.findAttempt(at)
	if err != nil {
		return nil
	}
	if a.status.State == lwplatform.StateRunning {
		return fmt.Errorf("forget: %w", lwfault.New(lwfault.Conflict, "attempt %d is still running", at.Token))
	}
	delete(w.tasks, at.Task)
	return nil
}

// Usage returns the usage of the running tasks whose programs state it.
func (w *Worker) Usage(context.Context) ([]lwplatform.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateStates()
	var list []lwplatform.Usage
	for id, a := range w.tasks {
		if used, ok := parseUsage(a.program); ok && a.status.State == lwplatform.StateRunning {
			list = append(list, lwplatform.Usage{Task: id, Used: used})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list, nil
}
