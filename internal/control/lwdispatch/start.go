package lwdispatch

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// start orders a run.
func (c *Core) start(t *task, w *worker, id lwjob.RunID, slack time.Duration) {
	r := &run{task: t, id: id, worker: w, phase: runOrdered, sentAt: c.now, began: c.now, pace: c.firstPace(t.step, w)}
	t.last = id
	c.hold(r)
	c.noteStart(w)
	if t.step.spec.LongRunning && t.step.job.placed {
		r.withheld = true
		c.out.Places = append(c.out.Places, lwjob.Placement{Task: t.name, Life: w.info.Life})
	} else {
		c.sendOrder(w, c.startOrder(r))
	}
	c.decide(Decision{
		Kind: DecidedStart, Job: t.step.job.spec.ID, Task: t.name, Run: id, Worker: w.info.Life.Worker,
		Slack: slack, Age: c.now - w.seenAt,
	})
}

// PlaceRecorded notes that the place of a task is durable, so that its start may
// be ordered: the next leader knows where it can be.
func (c *Core) PlaceRecorded(p lwjob.Placement) {
	w, t := c.workers[p.Life], c.taskNamed(p.Task)
	if w == nil || t == nil {
		return
	}
	for _, r := range t.runs {
		if r.worker == w && r.withheld {
			r.withheld = false
			r.sentAt = c.now
			if r.phase == runOrdered {
				c.sendOrder(w, c.startOrder(r))
			}
		}
	}
}

func (c *Core) startOrder(r *run) StartRun {
	return StartRun{
		Task: r.task.name, Run: r.id, Text: r.task.step.job.spec.Text, Checkpoint: r.task.saved,
		Ticket: r.task.step.advice.tickets[r.worker.info.Life].text, Percent: r.pace,
	}
}

// firstPace returns at which pace a task begins: filling work that got a place
// though the tails there do not bear it works slowly.
func (c *Core) firstPace(s *step, w *worker) int {
	if !s.spec.Filling {
		return fullPace
	}
	return max(lowestPace, int(c.startPace(s, w))/paceGrain*paceGrain)
}
