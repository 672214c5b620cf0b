// Package lwrunner is the agent's side of the batch queue. It forwards the
// control leader's orders to the worker on the same machine, renews the
// worker's lease while the leader grants it, and reports the worker's runs and
// their ends to the leader.
package lwrunner

import (
	"context"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
)

// Call identifies the incarnation of the worker that a call is addressed to,
// and carries the fencing token of the leader on whose behalf it is made.
type Call struct {
	Incarnation lwjob.WorkerIncarnation
	Token       lwdispatch.Token
}

// LeaseEnd is the end of a worker's lease on the worker's own clock. Zero does
// not renew the lease.
type LeaseEnd lwunit.Millis

// RunLists holds the runs that a worker lists: those in progress and those that
// have ended since the acknowledged cursor.
type RunLists struct {
	Clock     lwunit.Millis // time of the worker's clock when it answered
	StartedAt lwunit.Millis // start of the incarnation that answered; 0 if the answer does not state it
	Running   []lwdispatch.RunStatus
	Ends      []lwdispatch.NumberedEnd
	MoreEnds  bool // not all ends are listed
}

// ofOther reports whether the lists are those of another incarnation of the worker.
func (l RunLists) ofOther(i lwjob.WorkerIncarnation) bool {
	return l.StartedAt != 0 && l.StartedAt != i.StartedAt
}

// Worker opens connections to the worker on the agent's machine.
type Worker interface {
	// Connect opens a connection to whichever incarnation of the worker accepts it. The error
	// is a ConnRefusedError if nothing listens.
	Connect(ctx context.Context) (Conn, error)
}

// Conn is a connection to a worker, for one call at a time. Only the incarnation that has accepted
// it answers or carries out a call on it. After an error the call may have been carried out or may
// still be; only a RefusedError means that it was not and will not be.
type Conn interface {
	Start(ctx context.Context, c Call, o lwdispatch.StartRun, until LeaseEnd) error
	Stop(ctx context.Context, c Call, o lwdispatch.StopRun) error
	LimitCPU(ctx context.Context, c Call, o lwdispatch.LimitRunCPU) error
	// Poll is a long poll: it renews the lease, acknowledges the ends up to
	// cursor, which the worker then forgets, and waits up to wait for another end.
	Poll(ctx context.Context, c Call, until LeaseEnd, cursor int64, wait time.Duration) (RunLists, error)
	// Usable reports whether the connection is not known to be broken.
	Usable() bool
	Close()
}

// RefusedError means that the worker did not carry out a call and never will.
type RefusedError struct {
	Reason lwdispatch.RefusalReason
	// OtherIncarnation is set if another incarnation of the worker answered at its
	// address, so that the one that the call was for has ended.
	OtherIncarnation bool
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return "the worker refused the call: " + string(e.Reason) }

// ConnRefusedError means that nothing listens at the worker's address. A worker
// that restarts its listener refuses a connection too; only several refusals in a
// row mean that its process has ended, and with it everything that it ran.
type ConnRefusedError struct{ Cause error }

// Error implements the error interface.
func (e *ConnRefusedError) Error() string {
	return "nothing listens at the worker's address: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnRefusedError) Unwrap() error { return e.Cause }

// Leader sends reports to the control leader.
type Leader interface {
	Report(ctx context.Context, m lwdispatch.Report) (lwlink.ReportReply, error)
}
