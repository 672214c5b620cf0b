package lwdispatch

import (
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	maxAdviceWorkers = 30                     // in one question; the time of an answer grows with their number
	adviceRetryDelay = 200 * time.Millisecond // after a question that failed or admitted no worker
	ticketMargin     = 300 * time.Millisecond // time before its expiry from which a ticket is no longer used
	denialCooldown   = 2 * time.Second        // before a worker that was not admitted is asked about again
)

// StepName identifies a step: job, occurrence and step number.
type StepName string

// Question asks the advice service which of the listed workers may run a step.
type Question struct {
	Step    StepName
	Workers []lwunit.WorkerID
	Timeout time.Duration // longest time that the answer may take
}

// AdmissionTicket is the ticket that a worker requires with the tasks of a step.
type AdmissionTicket struct {
	Worker lwunit.WorkerID
	Ticket string
}

// ticket is the admission ticket of one worker.
type ticket struct {
	text       string
	validUntil time.Duration
}

// advice holds the answers of the advice service about one step.
type advice struct {
	tickets     map[lwjob.WorkerIncarnation]ticket
	deniedUntil map[lwjob.WorkerIncarnation]time.Duration // not to be asked about before this time
	pending     bool                                      // a question is open
	notBefore   time.Duration                             // no question before this time
}

// needsAdvice reports whether the workers of the step need an admission ticket.
func (s *step) needsAdvice() bool { return s.job.queue.Advice != nil }

// admitted reports whether a worker has a valid ticket for a step, or needs none.
func (c *Core) admitted(s *step, w *worker) bool {
	if !s.needsAdvice() {
		return true
	}
	t, ok := s.advice.tickets[w.info.Incarnation]
	return ok && c.now < t.validUntil
}

// requestAdvice asks about the workers that lack only a ticket to run a step, those
// of the lowest cost first.
func (c *Core) requestAdvice(s *step) {
	a := &s.advice
	if !s.needsAdvice() || a.pending || c.now < a.notBefore {
		return
	}
	var list []*worker
	for _, w := range c.sortedWorkers {
		if c.allowedOn(s, w) && c.fits(s, w) && !c.admitted(s, w) && c.now >= a.deniedUntil[w.info.Incarnation] {
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
	for _, w := range list[:min(maxAdviceWorkers, len(list))] {
		q.Workers = append(q.Workers, w.info.Incarnation.Worker)
	}
	limits := s.job.queue.Advice
	q.Timeout = limits.CallTime.Std() + time.Duration(len(q.Workers))*limits.TimePerWorker.Std()
	a.pending = true
	c.effects.Questions = append(c.effects.Questions, q)
	c.logDecision(Decision{Kind: DecidedAdviceRequest, Job: s.job.spec.ID, Reason: string(q.Step)})
}

func (s *step) name() StepName {
	name := string(lwjob.TaskName(s.job.spec.ID, lwjob.TaskKey{Occurrence: s.occurrence, Step: s.number}))
	return StepName(name[:len(name)-len(".0")])
}

// findStep returns a step of a job that is known, or nil.
func (c *Core) findStep(name StepName) *step {
	t := c.findTask(lwunit.TaskID(name) + ".0")
	if t == nil {
		return nil
	}
	return t.step
}

// AdviceReceived handles the answer to a question that was asked at the given time.
func (c *Core) AdviceReceived(q Question, admitted []AdmissionTicket, askedAt time.Duration) {
	s := c.findStep(q.Step)
	if s == nil || !s.needsAdvice() {
		return
	}
	a := &s.advice
	a.pending = false
	s.checkedStamp = 0 // more workers may be admitted now
	if len(admitted) == 0 {
		a.notBefore = c.now + adviceRetryDelay
	}
	if a.tickets == nil {
		a.tickets = make(map[lwjob.WorkerIncarnation]ticket)
		a.deniedUntil = make(map[lwjob.WorkerIncarnation]time.Duration)
	}
	until := askedAt + s.job.queue.Advice.TicketLifetime.Std() - ticketMargin
	for _, w := range c.sortedWorkers {
		if !slices.Contains(q.Workers, w.info.Incarnation.Worker) {
			continue
		}
		i := slices.IndexFunc(admitted, func(x AdmissionTicket) bool { return x.Worker == w.info.Incarnation.Worker })
		if i < 0 {
			a.deniedUntil[w.info.Incarnation] = c.now + denialCooldown
			continue
		}
		a.tickets[w.info.Incarnation] = ticket{admitted[i].Ticket, until}
	}
}

// AdviceFailed handles a question that got no answer.
func (c *Core) AdviceFailed(q Question) {
	if s := c.findStep(q.Step); s != nil {
		s.advice.pending = false
		s.advice.notBefore = c.now + adviceRetryDelay
	}
}
