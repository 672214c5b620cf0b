package lwlink

import (
	"math/rand/v2"
	"slices"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

// rotation chooses the replica to ask next. It is not safe for concurrent use.
type rotation struct {
	addresses []string             // RPC addresses of the known replicas
	leader    string               // address of the last known leader, or ""
	nextIndex int                  // into addresses: where the search for a leader begins
	failedAt  map[string]time.Time // last failure of the replicas that have not answered since
	silentAt  map[string]time.Time // end of the first attempt without an answer, of the replicas that have not answered since
}

func newRotation(addresses []string) rotation {
	return rotation{addresses: slices.Clone(addresses), nextIndex: rand.IntN(max(1, len(addresses))), failedAt: make(map[string]time.Time), silentAt: make(map[string]time.Time)}
}

// asksBeforeFailedLeader is how many replicas are asked in a round before a leader
// that has failed. Followers may redirect to it until they know that it is lost.
const asksBeforeFailedLeader = 2

// next returns the replica to ask after those in tried, which were asked already in
// this round: the leader, then replicas in turn, then those that have failed, the
// oldest failure first. It returns false once all replicas have been tried.
func (r *rotation) next(tried []string) (string, bool) {
	askLeader := r.leader != "" && !slices.Contains(tried, r.leader)
	if askLeader && (!r.hasFailed(r.leader) || len(tried) >= asksBeforeFailedLeader) {
		return r.leader, true
	}
	failed := ""
	for i := range r.addresses {
		address := r.addresses[(r.nextIndex+i)%len(r.addresses)]
		switch {
		case slices.Contains(tried, address):
		case !r.hasFailed(address):
			r.nextIndex = (r.nextIndex + i + 1) % len(r.addresses)
			return address, true
		case failed == "" || r.failedBefore(address, failed):
			failed = address
		}
	}
	if askLeader {
		return r.leader, true
	}
	return failed, failed != ""
}

// silentPause is how long a search may leave out a replica after its first attempt
// without an answer. Followers redirect to a lost leader until they elect another,
// and an attempt at the lost one outlasts the election. Further attempts do not
// renew the pause, so that a slow leader is asked again.
const silentPause = 400 * time.Millisecond

// withSilent returns tried and the replicas that are left out as silent, unless no
// other replica is known.
func (r *rotation) withSilent(tried []string) []string {
	if len(r.silentAt) >= len(r.addresses) {
		return tried
	}
	all := slices.Clone(tried)
	for address, at := range r.silentAt {
		if time.Since(at) < silentPause {
			all = append(all, address)
		}
	}
	return all
}

func (r *rotation) hasFailed(address string) bool {
	_, failed := r.failedAt[address]
	return failed
}

func (r *rotation) failedBefore(a, b string) bool { return r.failedAt[a].Before(r.failedAt[b]) }

// update records the outcome of an attempt at an address.
func (r *rotation) update(address string, err error) {
	switch {
	case provesLeader(err):
		r.leader = address
		r.clearFailure(address)
	case lwfault.KindOf(err) == lwfault.NotLeader:
		r.clearFailure(address)
		if r.leader == address {
			r.leader = ""
		}
		if l := lwfault.As(err).Leader; l != "" && l != address {
			clientRedirects.Add(1)
			r.leader = l
		}
	default:
		r.failedAt[address] = time.Now()
		if r.leader == address {
			r.leader = ""
		}
	}
}

// markSilent records an attempt that got no answer in all its time.
func (r *rotation) markSilent(address string) {
	if _, ok := r.silentAt[address]; !ok {
		r.silentAt[address] = time.Now()
	}
}

func (r *rotation) clearFailure(address string) {
	delete(r.failedAt, address)
	delete(r.silentAt, address)
}

// add adds the replicas that are not known yet.
func (r *rotation) add(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(r.addresses, a) {
			r.addresses = append(r.addresses, a)
		}
	}
}

// provesLeader reports whether the outcome of an attempt shows that the replica
// leads: it served the request, or refused it for a reason that only a leader can
// know.
func provesLeader(err error) bool {
	if err == nil {
		return true
	}
	switch lwfault.KindOf(err) {
	case lwfault.Invalid, lwfault.Forbidden, lwfault.NotFound, lwfault.Conflict, lwfault.Expired, lwfault.Overloaded,
		lwfault.TooLarge, lwfault.Fenced, lwfault.Unrepeatable, lwfault.StillRunning:
		return true
	default:
		return false
	}
}
