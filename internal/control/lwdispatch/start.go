package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// startRun starts a task on a worker. The start of a long-running task is ordered once
// its placement is committed, if its job records placements.
func (c *Core) startRun(t *task, w *worker, id lwjob.RunID, slack time.Duration) {
	r := &run{task: t, id: id, worker: w, phase: runOrdered, lastSentAt: c.now, orderedAt: c.now, cpuPercent: c.startPercent(t.step, w)}
	r.notComparable = !comparableFromStart(r)
	t.highestRun = id
	c.addRun(r)
	c.beginProbation(r)
	c.recordProbe(t.step, w)
	if t.step.spec.LongRunning && t.step.job.placementsRecorded {
		r.awaitsRecord = true
		c.effects.Placements = append(c.effects.Placements, lwjob.Placement{Task: t.name, Incarnation: w.info.Incarnation})
	} else {
		c.sendOrder(w, c.startOrder(r))
	}
	reason := ""
	if t.lastRelease != nil {
		reason = t.lastRelease.String()
	}
	c.logDecision(Decision{
		Kind: DecidedStart, Reason: reason, Job: t.step.job.spec.ID, Task: t.name, Run: id, Worker: w.info.Incarnation.Worker,
		Slack: slack, Age: c.now - w.reportedAt, Suspicion: c.suspicion(t), Crashes: len(t.crashes),
	})
}

// PlacementRecorded notes that a placement is committed. The start may be ordered
// now, since the next leader would know where the task may run.
func (c *Core) PlacementRecorded(p lwjob.Placement) {
	w, t := c.workers[p.Incarnation], c.findTask(p.Task)
	if w == nil || t == nil {
		return
	}
	for _, r := range t.runs {
		if r.worker == w && r.awaitsRecord {
			r.awaitsRecord = false
			r.lastSentAt = c.now
			if r.phase == runOrdered {
				c.sendOrder(w, c.startOrder(r))
			}
		}
	}
}

func (c *Core) startOrder(r *run) StartRun {
	return StartRun{
		Task: r.task.name, Run: r.id, Text: r.task.step.job.spec.Text, Checkpoint: r.task.checkpoint,
		Ticket: r.task.step.advice.tickets[r.worker.info.Incarnation].text, CPUPercent: r.cpuPercent,
	}
}

// startPercent returns the initial CPU share of a task, in percent of its declared
// processors. A filling task starts with at least minPercent, also where the tail
// latencies allow none.
func (c *Core) startPercent(s *step, w *worker) int {
	if !s.spec.Filling {
		return fullPercent
	}
	return max(minPercent, int(c.allowedStartPercent(s, w))/percentStep*percentStep)
}
