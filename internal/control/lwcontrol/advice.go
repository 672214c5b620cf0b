package lwcontrol

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

const (
	adviceQueueLength   = 256             // questions beyond it fail at once and are asked again later
	adviceTimeoutMargin = 2 * time.Second // added to a question's timeout, since the service may answer other callers first
)

var adviceRequests = lwmetric.Counter("dispatch_questions_total")

// Advisor is the client of the advice service, which says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, q lwdispatch.Question) ([]lwdispatch.AdmissionTicket, error)
}

// queueQuestions queues questions for runAdvice, since the advice service serves
// only one call from a machine at a time. The caller holds mu.
func (d *dispatcher) queueQuestions(list []lwdispatch.Question) {
	for _, q := range list {
		select {
		case d.questions <- q:
		default:
			d.core.AdviceFailed(q)
		}
	}
}

// runAdvice asks the queued questions one at a time. An answer may arrive in a
// later term than that of its question; it still holds, because the question names
// the step and the workers, and tickets are valid from the time of the question.
func (d *dispatcher) runAdvice(ctx context.Context, r *replica) {
	for {
		var q lwdispatch.Question
		select {
		case <-ctx.Done():
			return
		case q = <-d.questions:
		}
		adviceRequests.Add(1)
		askedAt := r.now()
		call, cancel := context.WithTimeout(ctx, q.Timeout+adviceTimeoutMargin)
		admitted, err := d.node.cfg.Advisor.Advise(call, q)
		cancel()
		d.mu.Lock()
		if d.core != nil {
			d.core.Advance(r.now(), wallClock())
			if err != nil {
				d.core.AdviceFailed(q)
			} else {
				d.core.AdviceReceived(q, admitted, askedAt)
			}
		}
		d.mu.Unlock()
		d.node.decisionLog.Info("advice", zap.String("step", string(q.Step)), zap.Int("asked", len(q.Workers)), zap.Int("admitted", len(admitted)), zap.Error(err))
		d.wake()
	}
}
