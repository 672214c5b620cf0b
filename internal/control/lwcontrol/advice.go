package lwcontrol

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
)

const (
	questionsWaiting = 256             // at one time; more are asked again later
	adviceSlack      = 2 * time.Second // beyond the time that an answer states: other callers go first
)

var questionsAsked = lwmetric.Counter("dispatch_questions_total")

// Advisor says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, q lwdispatch.Question) ([]lwdispatch.Admission, error)
}

// ask queues questions for the advice service, which serves one call of a
// machine at a time.
func (d *dispatcher) ask(list []lwdispatch.Question) {
	for _, q := range list {
		select {
		case d.questions <- q:
		default:
			d.core.AdviceFailed(q)
		}
	}
}

// advise asks the questions in turn. Answers to those of an earlier term are
// about steps of that core and change nothing that is not true.
func (d *dispatcher) advise(ctx context.Context, r *replica) {
	for {
		var q lwdispatch.Question
		select {
		case <-ctx.Done():
			return
		case q = <-d.questions:
		}
		questionsAsked.Add(1)
		asked := r.now()
		call, cancel := context.WithTimeout(ctx, q.Limit+adviceSlack)
		admitted, err := d.node.cfg.Advisor.Advise(call, q)
		cancel()
		d.mu.Lock()
		if d.core != nil {
			d.core.Advance(r.now(), wallClock())
			if err != nil {
				d.core.AdviceFailed(q)
			} else {
				d.core.Advised(q, admitted, asked)
			}
		}
		d.mu.Unlock()
		d.node.decisions.Line("advice", zap.String("step", string(q.Step)), zap.Int("asked", len(q.Workers)), zap.Int("admitted", len(admitted)), zap.Error(err))
		d.wake()
	}
}
