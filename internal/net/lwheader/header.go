// Package lwheader declares the HTTP headers that callers, entries and agents
// exchange on requests and answers.
package lwheader

import (
	"net/http"
	"strings"
)

// Headers between callers and entries.
const (
	Outcome        = "Lavenderweir-Outcome"       // completed, not_run or unknown, on every answer
	Deadline       = "Lavenderweir-Deadline"      // time limit that the caller sets, such as 1.5s
	Unrepeatable   = "Lavenderweir-Unrepeatable"  // true for a non-idempotent request, false for an idempotent one; without it the service's spec decides
	IdempotencyKey = "Idempotency-Key"            // required on non-idempotent requests
	Replayed       = "Lavenderweir-Replayed"      // true on the recorded answer of an earlier request
	AnswerDigest   = "Lavenderweir-Answer-Digest" // of a replayed answer, as sha256=DIGEST
	RequestID      = "Lavenderweir-Request-Id"    // unused
)

// Headers between entries and agents. Copy drops them, so callers cannot set
// them.
const (
	ClusterKey  = "Lavenderweir-Cluster-Key"
	Backend     = "Lavenderweir-Backend"
	Incarnation = "Lavenderweir-Incarnation"
	Claim       = "Lavenderweir-Claim"        // fencing token of the claim's binding
	TimeLeft    = "Lavenderweir-Time-Left"    // time until the deadline, in microseconds
	Load        = "Lavenderweir-Load"         // busy slots, queued requests and all slots, separated by commas
	Refused     = "Lavenderweir-Refused"      // kind of the fault; the agent did not run the request
	Leaving     = "Lavenderweir-Leaving"      // true if the backend server is leaving or not announced at the agent
	ServiceTime = "Lavenderweir-Service-Time" // time until the backend server's answer began, in microseconds; absent if it gave none
)

// The values of Outcome, for a request to a service or to the administration API.
const (
	Completed = "completed" // it ran; the answer that follows is whole unless the connection closes before its end
	NotRun    = "not_run"   // it did not run and will not run
	Unknown   = "unknown"   // it may have run
)

// hopByHop lists the headers that hold for one connection only (RFC 9110).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internal lists the headers that only entries and agents may set.
var internal = []string{ClusterKey, Backend, Incarnation, Claim, TimeLeft, Load, Refused, Leaving, ServiceTime}

// Copy copies the end-to-end headers of src to dst. It drops hop-by-hop
// headers, those named in a Connection header among them, and headers internal
// to the system.
func Copy(dst, src http.Header) {
	drop := make(map[string]bool, len(hopByHop)+len(internal))
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, h := range internal {
		drop[h] = true
	}
	for _, list := range src["Connection"] {
		for h := range strings.SplitSeq(list, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(h))] = true
		}
	}
	for h, values := range src {
		if !drop[h] {
			dst[h] = append([]string(nil), values...)
		}
	}
}
