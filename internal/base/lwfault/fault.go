// Package lwfault declares the error type that is sent between processes. A
// fault keeps its kind on the way to the caller, so that the exit code, the
// HTTP status and the decision to retry follow from the original refusal.
package lwfault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind classifies a fault.
type Kind string

// The kinds of fault.
const (
	Invalid      Kind = "invalid"       // the input will never be accepted
	Unauthorized Kind = "unauthorized"  // the token or the cluster key is missing or wrong
	Forbidden    Kind = "forbidden"     // the token's role does not permit the operation
	NotFound     Kind = "not_found"     // the named object does not exist
	Conflict     Kind = "conflict"      // the operation contradicts the current state or an earlier operation
	Expired      Kind = "expired"       // the record's retention period has ended, or may have
	Overloaded   Kind = "overloaded"    // rejected without effect; retry after RetryAfter if it is set
	Unavailable  Kind = "unavailable"   // no leader, quorum, peer or backend server answers; after a lost connection the operation may have taken effect
	NotLeader    Kind = "not_leader"    // this process has no replica that leads, or does not serve the method yet
	Unknown      Kind = "unknown"       // the operation may or may not have taken effect
	Timeout      Kind = "timeout"       // the deadline has passed or the caller has cancelled; the operation may have taken effect
	TooLarge     Kind = "too_large"     // the input exceeds a size limit
	Internal     Kind = "internal"      // a software defect or a failed device
	Fenced       Kind = "fenced"        // superseded by a newer attempt, claim binding or incarnation
	Unrepeatable Kind = "unrepeatable"  // a non-idempotent request may already have run
	StillRunning Kind = "still_running" // the first copy of the request is still running
)

// Fault is an error with a kind.
type Fault struct {
	Kind       Kind          // for programs
	Detail     string        // one sentence for people
	RetryAfter time.Duration // delay before a retry; zero if unknown
	Leader     string        // RPC address of the leader, for NotLeader
	Cause      error         // wrapped error, if any
}

// New returns a fault with a formatted detail.
func New(kind Kind, format string, args ...any) *Fault {
	return &Fault{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind, the detail and the cause.
func (f *Fault) Error() string {
	if f.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", f.Kind, f.Detail, f.Cause)
	}
	return fmt.Sprintf("%s: %s", f.Kind, f.Detail)
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// KindOf returns the kind of the first fault in the chain of err, or Internal.
func KindOf(err error) Kind {
	if f, ok := errors.AsType[*Fault](err); ok {
		return f.Kind
	}
	return Internal
}

// As returns the first fault in the chain of err, or an Internal fault that
// wraps it.
func As(err error) *Fault {
	if f, ok := errors.AsType[*Fault](err); ok {
		return f
	}
	return &Fault{Kind: Internal, Detail: "unexpected error", Cause: err}
}

// HTTPStatus returns the HTTP status code for the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case Invalid:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict, Fenced, StillRunning:
		return http.StatusConflict
	case Expired:
		return http.StatusGone
	case Overloaded:
		return http.StatusTooManyRequests
	case Unavailable, NotLeader:
		return http.StatusServiceUnavailable
	case Unknown, Unrepeatable:
		return http.StatusBadGateway
	case Timeout:
		return http.StatusGatewayTimeout
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusInternalServerError
	}
}
