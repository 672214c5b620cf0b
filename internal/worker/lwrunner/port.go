// Package lwrunner is the agent's part in running the tasks of jobs of steps.
// It passes the leader's orders to the worker beside it, renews the worker's
// lease while the leader grants it, and reports what the worker lists.
package lwrunner

import (
	"context"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// Call names the worker life that a call is meant for and the token that
// fences it.
type Call struct {
	Life  lwjob.WorkerLife
	Token lwdispatch.Token
}

// Lease is the end of a worker's lease on the worker's own clock; zero leaves
// it as it is.
type Lease lwunit.Millis

// Lists is what a worker says it runs, and what has ended there.
type Lists struct {
	Clock   lwunit.Millis // of the worker when it answered
	Born    lwunit.Millis // start of the life that answered; 0 if it did not say
	Running []lwdispatch.RunRow
	Ends    []lwdispatch.EndRow
}

// Worker is the port to the worker beside the agent. An error means that a
// call may have been carried out, or may be later; a RefusedError that it was
// not and will not be.
type Worker interface {
	Start(ctx context.Context, c Call, o lwdispatch.StartRun, until Lease) error
	Stop(ctx context.Context, c Call, o lwdispatch.StopRun) error
	Pace(ctx context.Context, c Call, o lwdispatch.PaceRun) error
	// Hold renews the lease, lets the worker forget ends up to cursor and waits
	// up to wait for another end.
	Hold(ctx context.Context, c Call, until Lease, cursor int64, wait time.Duration) (Lists, error)
}

// RefusedError says that a worker did not carry out a call.
type RefusedError struct{ Reason lwdispatch.RefusalReason }

// Error returns the reason.
func (e *RefusedError) Error() string { return "the worker refused: " + string(e.Reason) }

// GoneError says that nothing listens where the worker was: its process has
// ended, and everything that it ran.
type GoneError struct{ Cause error }

// Error returns the cause.
func (e *GoneError) Error() string { return "the worker is gone: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error { return e.Cause }

// Leader is the port to the control leader.
type Leader interface {
	Report(ctx context.Context, m lwdispatch.Report) (lwlink.ReportReply, error)
}
