// Package lwstandin holds the stand-ins that tests and the demo run against:
// a worker with its platform interface, and a backend server. They keep the
// published protocols, leases and fencing included.
package lwstandin

import (
	"context"
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
	defaultWork   = time.Second
	fullSpeed     = 100
	failedProgram = "fail"
	usageFields   = 4
)

// Worker is a stand-in platform in memory. A program is "name", "name:2s" or
// "name:2s:1500:4GiB": how long it works and what it uses, in millicores and
// bytes; the name "fail" fails at its end. A checkpoint is the work done so
// far, as a duration.
type Worker struct {
	mu      sync.Mutex
	tasks   map[lwunit.TaskID]*attempt
	highest map[lwunit.TaskID]lwunit.FencingToken
	starts  map[lwunit.TaskID]int
	peak    lwunit.Resources
	broken  bool
}

type attempt struct {
	status  lwplatform.AttemptStatus
	program string
	total   time.Duration
	done    time.Duration // work done before since
	since   time.Time
	speed   int // percent
	expires time.Time
}

// NewWorker returns a worker that runs nothing.
func NewWorker() *Worker {
	return &Worker{
		tasks: make(map[lwunit.TaskID]*attempt), highest: make(map[lwunit.TaskID]lwunit.FencingToken),
		starts: make(map[lwunit.TaskID]int),
	}
}

// Break makes every task that starts from now on fail at once.
func (w *Worker) Break(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// Reboot loses every task, as a VM that restarts would.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks = make(map[lwunit.TaskID]*attempt)
}

// Peak returns the most that was ever reserved at one time.
func (w *Worker) Peak() lwunit.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Starts returns how often attempts of a task were started.
func (w *Worker) Starts(id lwunit.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// Running returns the attempts that run now.
func (w *Worker) Running() []lwplatform.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	var list []lwplatform.Attempt
	for _, a := range w.tasks {
		if a.status.State == lwplatform.StateRunning {
			list = append(list, a.status.Attempt)
		}
	}
	return list
}

func parseProgram(program string) time.Duration {
	fields := strings.Split(program, ":")
	if len(fields) < 2 {
		return defaultWork
	}
	d, err := time.ParseDuration(fields[1])
	if err != nil {
		return defaultWork
	}
	return d
}

// parseUsage returns what a program says that it uses, if it says so.
func parseUsage(program string) (lwunit.Resources, bool) {
	fields := strings.Split(program, ":")
	if len(fields) != usageFields {
		return lwunit.Resources{}, false
	}
	cores, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return lwunit.Resources{}, false
	}
	var memory lwunit.Bytes
	if err := memory.UnmarshalJSON([]byte(strconv.Quote(fields[3]))); err != nil {
		return lwunit.Resources{}, false
	}
	return lwunit.Resources{Millicores: lwunit.Millicores(cores), Memory: memory}, true
}

func (a *attempt) progress(now time.Time) time.Duration {
	if a.status.State != lwplatform.StateRunning {
		return a.done
	}
	return a.done + now.Sub(a.since)*time.Duration(a.speed)/fullSpeed
}

// settle moves every attempt to the state that the clock says.
func (w *Worker) settle() {
	now := time.Now()
	for _, a := range w.tasks {
		if a.status.State != lwplatform.StateRunning {
			continue
		}
		switch {
		case now.After(a.expires):
			a.end(now, lwplatform.StateStopped, "the lease ended")
		case a.progress(now) >= a.total && strings.HasPrefix(a.program, failedProgram):
			a.end(now, lwplatform.StateFailed, "the program failed")
		case a.progress(now) >= a.total:
			a.end(now, lwplatform.StateSucceeded, "")
		}
	}
}

func (a *attempt) end(now time.Time, state lwplatform.AttemptState, reason string) {
	a.done = a.progress(now)
	a.status.State, a.status.Reason = state, reason
}

// List returns every attempt that was not forgotten.
func (w *Worker) List(context.Context) ([]lwplatform.AttemptStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	list := make([]lwplatform.AttemptStatus, 0, len(w.tasks))
	for _, a := range w.tasks {
		list = append(list, a.status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list, nil
}

// Start starts an attempt; a lower token than one seen is refused.
func (w *Worker) Start(_ context.Context, r lwplatform.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if r.Token < w.highest[r.Task] {
		return lwfault.New(lwfault.Fenced, "token %d is lower than %d", r.Token, w.highest[r.Task])
	}
	if old := w.tasks[r.Task]; old != nil {
		if old.status.Token == r.Token {
			return nil
		}
		if old.status.State == lwplatform.StateRunning {
			return lwfault.New(lwfault.Conflict, "attempt %d still runs", old.status.Token)
		}
	}
	now := time.Now()
	a := &attempt{
		status:  lwplatform.AttemptStatus{Attempt: r.Attempt, State: lwplatform.StateRunning, Reserve: r.Reserve, Checkpoint: r.Checkpoint},
		program: r.Program, total: parseProgram(r.Program), since: now, speed: fullSpeed, expires: now.Add(r.Lease.Std()),
	}
	if r.Checkpoint != "" {
		done, err := time.ParseDuration(r.Checkpoint)
		if err != nil {
			return lwfault.New(lwfault.Invalid, "checkpoint %q does not parse", r.Checkpoint)
		}
		a.done = done
	}
	if w.broken {
		a.end(now, lwplatform.StateFailed, "the worker is broken")
	}
	w.highest[r.Task] = r.Token
	w.tasks[r.Task] = a
	w.starts[r.Task]++
	w.notePeak()
	return nil
}

func (w *Worker) notePeak() {
	var sum lwunit.Resources
	for _, a := range w.tasks {
		if a.status.State == lwplatform.StateRunning {
			sum = sum.Add(a.status.Reserve)
		}
	}
	w.peak = w.peak.Max(sum)
}

// find returns a running attempt.
func (w *Worker) find(at lwplatform.Attempt) (*attempt, error) {
	w.settle()
	a := w.tasks[at.Task]
	if a == nil || a.status.Token != at.Token {
		return nil, lwfault.New(lwfault.NotFound, "attempt %d of %s is not here", at.Token, at.Task)
	}
	return a, nil
}

// Renew extends leases.
func (w *Worker) Renew(_ context.Context, lease time.Duration, attempts []lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range attempts {
		if a, err := w.find(at); err == nil && a.status.State == lwplatform.StateRunning {
			a.expires = time.Now().Add(lease)
		}
	}
	return nil
}

// Checkpoint saves the progress of a running attempt.
func (w *Worker) Checkpoint(_ context.Context, at lwplatform.Attempt) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(at)
	if err != nil {
		return "", err
	}
	if a.status.State != lwplatform.StateRunning {
		return "", lwfault.New(lwfault.Conflict, "attempt %d is %s", at.Token, a.status.State)
	}
	a.status.Checkpoint = a.progress(time.Now()).String()
	return a.status.Checkpoint, nil
}

// Throttle changes the speed of a running attempt.
func (w *Worker) Throttle(_ context.Context, at lwplatform.Attempt, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(at)
	if err != nil {
		return err
	}
	if percent < 1 || percent > fullSpeed {
		return lwfault.New(lwfault.Invalid, "percent must be 1 to 100, not %s", strconv.Itoa(percent))
	}
	now := time.Now()
	a.done, a.since = a.progress(now), now
	a.speed = percent
	return nil
}

// Stop ends a running attempt.
func (w *Worker) Stop(_ context.Context, at lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(at)
	if err != nil {
		return err
	}
	if a.status.State == lwplatform.StateRunning {
		a.end(time.Now(), lwplatform.StateStopped, "stopped on request")
	}
	return nil
}

// Forget removes an ended attempt.
func (w *Worker) Forget(_ context.Context, at lwplatform.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(at)
	if err != nil {
		return nil
	}
	if a.status.State == lwplatform.StateRunning {
		return fmt.Errorf("forget: %w", lwfault.New(lwfault.Conflict, "attempt %d still runs", at.Token))
	}
	delete(w.tasks, at.Task)
	return nil
}

// Usage reports the tasks whose programs say what they use.
func (w *Worker) Usage(context.Context) ([]lwplatform.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	var list []lwplatform.Usage
	for id, a := range w.tasks {
		if used, ok := parseUsage(a.program); ok && a.status.State == lwplatform.StateRunning {
			list = append(list, lwplatform.Usage{Task: id, Used: used})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list, nil
}
