// Package lwheader names the HTTP headers of the request path, towards callers
// and between entries and agents.
package lwheader

import (
	"net/http"
	"strings"
)

// Headers that callers see.
const (
	Outcome        = "Lavenderweir-Outcome"      // completed, not_run or unknown; on every answer
	Deadline       = "Lavenderweir-Deadline"     // caller's time limit, such as 1.5s
	Unrepeatable   = "Lavenderweir-Unrepeatable" // true marks a non-idempotent request, false an idempotent one
	IdempotencyKey = "Idempotency-Key"           // required on non-idempotent requests
	Replayed       = "Lavenderweir-Replayed"     // true on an answer that was recorded before
	AnswerDigest   = "Lavenderweir-Answer-Digest"
	RequestID      = "Lavenderweir-Request-Id"
)

// Headers between entries and agents. Callers' values of these are dropped.
const (
	ClusterKey  = "Lavenderweir-Cluster-Key"
	Backend     = "Lavenderweir-Backend"
	Incarnation = "Lavenderweir-Incarnation"
	Claim       = "Lavenderweir-Claim"        // fencing token of the binding
	TimeLeft    = "Lavenderweir-Time-Left"    // until the deadline, in microseconds
	Load        = "Lavenderweir-Load"         // busy,queued,slots
	Refused     = "Lavenderweir-Refused"      // the agent did not run the request
	Leaving     = "Lavenderweir-Leaving"      // the backend server is leaving
	ServiceTime = "Lavenderweir-Service-Time" // spent in the backend server, in microseconds
)

// The values of Outcome.
const (
	Completed = "completed" // the whole answer of a backend server follows
	NotRun    = "not_run"   // no backend server ran it, and none will
	Unknown   = "unknown"   // a backend server may have run it
)

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var internal = []string{ClusterKey, Backend, Incarnation, Claim, TimeLeft, Load, Refused, Leaving, ServiceTime}

// Copy copies end-to-end headers, dropping those of one hop and those that
// only entries and agents may set.
func Copy(to, from http.Header) {
	drop := make(map[string]bool, len(hopByHop)+len(internal))
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, h := range internal {
		drop[h] = true
	}
	for _, list := range from["Connection"] {
		for h := range strings.SplitSeq(list, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(h))] = true
		}
	}
	for h, values := range from {
		if !drop[h] {
			to[h] = append([]string(nil), values...)
		}
	}
}
