package lwdispatch

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	adviceWorkers = 30                     // named in one call, whose time grows with them
	adviceRetry   = 200 * time.Millisecond // after a call that failed or admitted nobody
	adviceMargin  = 300 * time.Millisecond // before the end of a ticket from which it is not used
	denialMemory  = 2 * time.Second        // until a worker that was not admitted may be named again
)

// StepName names a step of an occurrence: job, occurrence and number.
type StepName string

// Question asks the advice service which of some workers may run a step.
type Question struct {
	Step    StepName
	Workers []lwunit.WorkerID
	Limit   time.Duration // longest time that the answer may take
}

// Admission is a ticket with which a worker takes the tasks of a step.
type Admission struct {
	Worker lwunit.WorkerID
	Ticket string
}

// ticket is an admission and until when it may be used.
type ticket struct {
	text  string
	until time.Duration
}

// advice is what is known of who may run a step.
type advice struct {
	tickets map[lwjob.WorkerLife]ticket
	denied  map[lwjob.WorkerLife]time.Duration // until when not to ask again
	asking  bool
	after   time.Duration // not to ask before
}

// needsAdvice reports whether the queue's policy restricts who runs a step.
func (s *step) needsAdvice() bool { return s.job.queue.Advice != nil }

// admitted reports whether a worker would take a step's tasks now.
func (c *Core) admitted(s *step, w *worker) bool {
	if !s.needsAdvice() {
		return true
	}
	t, ok := s.advice.tickets[w.info.Life]
	return ok && c.now < t.until
}

// seekAdvice asks about workers that could run a step but for a ticket.
func (c *Core) seekAdvice(s *step) {
	a := &s.advice
	if !s.needsAdvice() || a.asking || c.now < a.after {
		return
	}
	var list []*worker
	for _, w := range c.order {
		if c.suits(s, w) && c.fits(s, w) && !c.admitted(s, w) && c.now >= a.denied[w.info.Life] {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(x, y *worker) int {
		if c.cost(s, x) < c.cost(s, y) {
			return -1
		}
		return 1
	})
	q := Question{Step: s.name()}
	for _, w := range list[:min(adviceWorkers, len(list))] {
		q.Workers = append(q.Workers, w.info.Life.Worker)
	}
	times := s.job.queue.Advice
	q.Limit = times.Decide.Std() + time.Duration(len(q.Workers))*times.PerWorker.Std()
	a.asking = true
	c.out.Questions = append(c.out.Questions, q)
	c.decide(Decision{Kind: DecidedAsk, Job: s.job.spec.ID, Reason: string(q.Step)})
}

func (s *step) name() StepName {
	name := string(lwjob.TaskName(s.job.spec.ID, lwjob.TaskKey{Occurrence: s.occ, Step: s.number}))
	return StepName(name[:len(name)-len(".0")])
}

// stepNamed returns a step of a job that is still remembered.
func (c *Core) stepNamed(name StepName) *step {
	t := c.taskNamed(lwunit.TaskID(name) + ".0")
	if t == nil {
		return nil
	}
	return t.step
}

// Advised takes in the answer to a question that was asked at a time.
func (c *Core) Advised(q Question, admitted []Admission, asked time.Duration) {
	s := c.stepNamed(q.Step)
	if s == nil || !s.needsAdvice() {
		return
	}
	a := &s.advice
	a.asking = false
	s.checked = 0 // workers that were denied may be admitted now
	if len(admitted) == 0 {
		a.after = c.now + adviceRetry
	}
	if a.tickets == nil {
		a.tickets = make(map[lwjob.WorkerLife]ticket)
		a.denied = make(map[lwjob.WorkerLife]time.Duration)
	}
	until := asked + s.job.queue.Advice.Valid.Std() - adviceMargin
	for _, w := range c.order {
		if !slices.Contains(q.Workers, w.info.Life.Worker) {
			continue
		}
		i := slices.IndexFunc(admitted, func(x Admission) bool { return x.Worker == w.info.Life.Worker })
		if i < 0 {
			a.denied[w.info.Life] = c.now + denialMemory
			continue
		}
		a.tickets[w.info.Life] = ticket{admitted[i].Ticket, until}
	}
}

// AdviceFailed notes that a question got no answer.
func (c *Core) AdviceFailed(q Question) {
	if s := c.stepNamed(q.Step); s != nil {
		s.advice.asking = false
		s.advice.after = c.now + adviceRetry
	}
}
