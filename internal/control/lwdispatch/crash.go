package lwdispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// String returns the run as task/run@age for the log.
func (h HeldRun) String() string {
	atLeast := ""
	if h.Adopted {
		atLeast = ">"
	}
	return fmt.Sprintf("%s/%d@%s%dms", h.Task, h.Run, atLeast, h.Age.Std().Milliseconds())
}

// workerCrash is a crash that this leader knows of.
type workerCrash struct {
	at         time.Duration
	unrecorded int // ends by it that are not committed
}

// mayRun reports whether an incarnation is known or awaited, so that it may run on.
func (c *Core) mayRun(incarnation lwjob.WorkerIncarnation) bool {
	_, awaited := c.missing[incarnation]
	return awaited || c.workers[incarnation] != nil
}

// minAdoptedAge is the least age of a run that an agent did not start itself: it began
// before the agent was started again.
const minAdoptedAge = lwunit.Duration(time.Second)

// handleCrash weighs what the crash of a worker says of the tasks that ran there, and
// has it recorded. Runs for which it was weighed before are left out.
func (c *Core) handleCrash(crash Crash) {
	known := c.crashes[crash.Incarnation]
	if known == nil {
		known = &workerCrash{at: c.now}
		c.crashes[crash.Incarnation] = known
	}
	suspects := c.findSuspects(crash)
	if len(suspects) == 0 {
		return
	}
	c.weighCrash(suspects)
	c.logDecision(Decision{Kind: DecidedCrash, Worker: crash.Incarnation.Worker, Reason: describeSuspects(suspects)})
	for _, x := range suspects {
		for i := range x.held {
			c.recordCrash(crash.Incarnation, x, i)
			known.unrecorded++
		}
	}
	for _, x := range suspects {
		c.giveUpIfToBlame(crash.Incarnation, x)
	}
}

// suspect is a task, or all members of a gang, that a worker held when it crashed.
type suspect struct {
	tasks    []*task // of which the worker held a run
	held     []HeldRun
	age      time.Duration // of its youngest run
	odds     lwblame.Odds  // before the crash
	evidence lwblame.Evidence
}

// findSuspects returns the suspects of a crash, those whose runs began last first. It
// leaves out runs for which a crash is known: this leader or an earlier one has weighed
// it.
func (c *Core) findSuspects(crash Crash) []*suspect {
	var list []*suspect
	gangs := make(map[*step]*suspect)
	for _, h := range crash.Runs {
		t := c.findTask(h.Task)
		if t == nil || t.done || slices.ContainsFunc(t.crashes, func(x lwjob.Crash) bool { return x.Run == h.Run }) {
			continue
		}
		if h.Adopted {
			h.Age = max(h.Age, minAdoptedAge)
		}
		x := gangs[t.step]
		if x == nil {
			x = &suspect{age: h.Age.Std(), odds: c.oddsOf(t)}
			list = append(list, x)
			if t.step.spec.Gang {
				gangs[t.step] = x
			}
		}
		x.age = min(x.age, h.Age.Std())
		x.tasks, x.held = append(x.tasks, t), append(x.held, h)
	}
	slices.SortStableFunc(list, func(a, b *suspect) int { return int(a.age - b.age) })
	return list
}

// weighCrash sets the evidence of a crash against each of its suspects.
func (c *Core) weighCrash(suspects []*suspect) {
	list := make([]lwblame.Suspect, len(suspects))
	for i, x := range suspects {
		list[i] = lwblame.Suspect{Odds: x.odds, Age: x.age, Crashes: len(c.unexplainedCrashes(x.tasks[0]))}
	}
	for i, e := range c.background.Explain(list) {
		suspects[i].evidence = e
	}
}

// recordCrash has the crash under one run of a suspect recorded.
func (c *Core) recordCrash(incarnation lwjob.WorkerIncarnation, x *suspect, i int) {
	t, h := x.tasks[i], x.held[i]
	crash := lwjob.Crash{Run: h.Run, Worker: incarnation, Age: lwunit.Duration(x.age), AtMost: h.AtMost, Evidence: x.evidence}
	t.crashes = lwjob.AppendCrash(t.crashes, crash)
	t.step.hasSuspects = true
	t.highestRun = max(t.highestRun, h.Run)
	t.step.job.started = true
	c.effects.Ends = append(c.effects.Ends, WorkerEnd{incarnation, NumberedEnd{End: lwjob.End{Task: t.name, Run: h.Run, How: lwjob.EndCrashed, Crash: &crash}}})
}

// giveUpIfToBlame fails the job of a suspect that is almost certainly to blame for the
// crashes under it. Other tasks are then not blamed for these.
func (c *Core) giveUpIfToBlame(incarnation lwjob.WorkerIncarnation, x *suspect) {
	t := x.tasks[0]
	odds, all := c.oddsOf(t), c.crashesUnder(t)
	if t.step.job.stopped || !lwblame.GiveUp(odds, len(all)) {
		return
	}
	reason := fmt.Sprintf("%d workers crashed under it; it is to blame with probability %.3f", len(all), odds.Probability())
	for i := range c.effects.Ends {
		if e := &c.effects.Ends[i]; e.Incarnation == incarnation && e.Numbered.End.Task == t.name {
			e.Numbered.End.GiveUp = reason
		}
	}
	var workers []string
	for _, crash := range all {
		workers = append(workers, string(crash.Worker.Worker))
	}
	for _, crash := range c.unexplainedCrashes(t) {
		c.explained[crash.Worker] = t.name
	}
	c.logDecision(Decision{
		Kind: DecidedGiveUp, Job: t.step.job.spec.ID, Task: t.name, Run: t.highestRun, Worker: incarnation.Worker,
		Reason: reason + ": " + strings.Join(workers, " "), Suspicion: odds.Probability(), Crashes: len(all),
	})
	c.failJob(t.step.job, "a task of its job is given up")
}

// crashesUnder returns the crashes under a task, or any member of its gang, each worker
// once.
func (c *Core) crashesUnder(t *task) []lwjob.Crash {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	var list []lwjob.Crash
	for _, m := range members {
		for _, x := range m.crashes {
			if !slices.ContainsFunc(list, func(o lwjob.Crash) bool { return o.Worker == x.Worker }) {
				list = append(list, x)
			}
		}
	}
	return list
}

// unexplainedCrashes returns the crashes under a task, or its gang, for which no other
// task is known to be to blame.
func (c *Core) unexplainedCrashes(t *task) []lwjob.Crash {
	return slices.DeleteFunc(c.crashesUnder(t), func(x lwjob.Crash) bool {
		culprit, ok := c.explained[x.Worker]
		return ok && culprit != t.name
	})
}

// oddsOf returns the odds that a task, or its gang, crashes each worker that starts it.
func (c *Core) oddsOf(t *task) lwblame.Odds {
	crashes := c.unexplainedCrashes(t)
	list := make([]lwblame.Crash, len(crashes))
	for i, x := range crashes {
		list[i] = lwblame.Crash{Age: x.Age.Std(), AtMost: x.AtMost, Evidence: x.Evidence}
	}
	return lwblame.Weigh(list)
}

// suspicion returns the probability that a task crashes each worker that starts it, or
// 0 if no worker has crashed under it.
func (c *Core) suspicion(t *task) float64 {
	if len(c.crashesUnder(t)) == 0 {
		return 0
	}
	return c.oddsOf(t).Probability()
}

// clearOutlivedCrashes clears a task whose run has ended, after a time by which its
// worker would have crashed if the task had caused the crashes under it.
func (c *Core) clearOutlivedCrashes(t *task, r *run) {
	if r == nil || r.adopted || len(t.crashes) == 0 {
		return
	}
	oldest := time.Duration(0)
	for _, x := range t.crashes {
		oldest = max(oldest, x.Age.Std())
	}
	if c.now-r.orderedAt > lwblame.OutlivedAfter(oldest) {
		t.crashes = nil
	}
}

const maxSuspectsLogged = 24 // in the line about a crash

// describeSuspects lists the suspects against whom a crash speaks, those that began last
// first, each with its age, its probability of being to blame before the crash and the
// evidence.
func describeSuspects(suspects []*suspect) string {
	var b strings.Builder
	listed := 0
	for _, x := range suspects {
		if x.evidence > 1 && listed < maxSuspectsLogged {
			fmt.Fprintf(&b, "%s p=%.4f e=%.3g ", x.held[0], x.odds.Probability(), float64(x.evidence))
			listed++
		}
	}
	fmt.Fprintf(&b, "and %d others", len(suspects)-listed)
	return b.String()
}

const (
	endDetectionTime = 300 * time.Millisecond // from the end of a worker's process until its agent reports it
	inferredAgeError = 100 * time.Millisecond // of the age of a run that is not reported
)

// inferCrash handles the end of a worker at about the given time that no agent reports
// as a crash: the agent is of an older version, or was started again meanwhile. Runs
// that the worker has listed count, and those that were ordered. When a start that no list
// has shown was carried out is not known, so its run is at most as old as its order.
func (c *Core) inferCrash(incarnation lwjob.WorkerIncarnation, at time.Duration, agentKnows bool) {
	w := c.workers[incarnation]
	if w == nil || w.info.Draining || c.crashes[incarnation] != nil {
		return
	}
	crash := Crash{Incarnation: incarnation}
	for _, r := range w.sortedRuns() {
		if r.phase == runOrdered && r.awaitsRecord {
			continue
		}
		age := at - r.orderedAt + inferredAgeError
		held := HeldRun{Task: r.task.name, Run: r.id, Age: lwunit.Duration(max(age, inferredAgeError)), Adopted: r.adopted}
		if r.phase == runOrdered && (agentKnows || age < 0) {
			held.Age, held.AtMost = lwunit.Duration(c.now-r.orderedAt), true
		}
		crash.Runs = append(crash.Runs, held)
	}
	c.handleCrash(crash)
}

// CrashRecorded notes that the end of a run by the crash of a worker is committed.
func (c *Core) CrashRecorded(incarnation lwjob.WorkerIncarnation) {
	if crash := c.crashes[incarnation]; crash != nil {
		crash.unrecorded--
	}
}

// recordedCrashes returns those of the reported crashes that are recorded.
func (c *Core) recordedCrashes(reported []Crash) []lwjob.WorkerIncarnation {
	var list []lwjob.WorkerIncarnation
	for _, x := range reported {
		if known := c.crashes[x.Incarnation]; known != nil && known.unrecorded <= 0 {
			list = append(list, x.Incarnation)
		}
	}
	return list
}

// restoreBlame restores which crashes are explained by tasks that were given up.
func (c *Core) restoreBlame(j *lwjob.Job) {
	for key, r := range j.Tasks {
		if r.GivenUp == "" {
			continue
		}
		name := lwjob.TaskName(j.Spec.ID, key)
		for _, x := range r.Crashes {
			c.explained[x.Worker] = name
		}
	}
}

// crashRetention is how long a crash is kept, so that repeated reports of it have no
// effect.
const crashRetention = 5 * time.Minute

// observeBackground counts the time that the workers have run since the last call, and
// drops old crashes.
func (c *Core) observeBackground() {
	c.background.Observe(c.now-c.backgroundAt, len(c.sortedWorkers))
	c.backgroundAt = c.now
	for incarnation, x := range c.crashes {
		if c.now-x.at >= crashRetention && x.unrecorded <= 0 {
			delete(c.crashes, incarnation)
		}
	}
}
