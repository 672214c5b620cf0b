package lwcontrol

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	methodCandidate = "replica.candidate"

	// foundSettle is how long no new candidate must have come before a group is
	// founded; VMs that start together differ by less.
	foundSettle = 800 * time.Millisecond
	foundRetry  = 200 * time.Millisecond
)

// candidateReply answers a replica that wants to be a first member.
type candidateReply struct {
	Founded bool     `json:"founded"`
	Members []string `json:"members,omitempty"` // RPC addresses, once founded
}

// founder gathers the replicas of a system that starts for the first time and
// founds their group. One process acts as founder: the first of the seeds,
// which are the same for all at the first start.
type founder struct {
	endpoint *lwrpc.Endpoint
	log      *zap.Logger
	voters   int

	mu         sync.Mutex
	candidates map[string]lwreplica.Member // by address
	newest     time.Time                   // when the last new one came
	cluster    string                      // drawn when founding begins
	membership lwreplica.Membership
	told       map[string]bool // voters that have accepted the founding
}

func newFounder(e *lwrpc.Endpoint, voters int, log *zap.Logger) *founder {
	f := &founder{endpoint: e, log: log, voters: voters, candidates: make(map[string]lwreplica.Member), told: make(map[string]bool)}
	e.Handle(methodCandidate, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwreplica.Member](params)
		if err != nil {
			return nil, err
		}
		return f.add(m), nil
	})
	return f
}

// add notes a candidate and tells it whether the group is founded.
func (f *founder) add(m lwreplica.Member) candidateReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done() {
		res := candidateReply{Founded: true}
		for _, v := range f.membership.Voters {
			res.Members = append(res.Members, v.Address)
		}
		return res
	}
	if _, ok := f.candidates[m.Address]; !ok {
		f.newest = time.Now()
	}
	if f.cluster == "" {
		f.candidates[m.Address] = m
	}
	return candidateReply{}
}

func (f *founder) done() bool {
	return f.cluster != "" && len(f.told) == len(f.membership.Voters)
}

// run founds the group once the candidates are complete.
func (f *founder) run(ctx context.Context) {
	ticker := time.NewTicker(foundRetry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !f.choose() {
			continue
		}
		f.tellVoters(ctx)
		f.mu.Lock()
		done := f.done()
		f.mu.Unlock()
		if done {
			f.log.Info("control group founded", zap.String("cluster", f.cluster), zap.Int("voters", len(f.membership.Voters)))
			return
		}
	}
}

// choose draws the cluster's name and its voters when no candidate has come
// for a while.
func (f *founder) choose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cluster != "" {
		return true
	}
	if len(f.candidates) == 0 || time.Since(f.newest) < foundSettle {
		return false
	}
	id, err := randomID()
	if err != nil {
		f.log.Warn("control group not founded yet", zap.Error(err))
		return false
	}
	f.cluster = id
	f.membership = lwreplica.Membership{Voters: chooseVoters(f.candidates, f.voters)}
	return true
}

// chooseVoters picks an odd number of candidates, spread over the failure
// domains.
func chooseVoters(candidates map[string]lwreplica.Member, want int) []lwreplica.Member {
	byDomain := make(map[lwunit.FailureDomain][]lwreplica.Member)
	var domains []lwunit.FailureDomain
	for _, m := range candidates {
		if byDomain[m.Domain] == nil {
			domains = append(domains, m.Domain)
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	slices.Sort(domains)
	for _, list := range byDomain {
		slices.SortFunc(list, func(a, b lwreplica.Member) int { return compareIDs(a.ID, b.ID) })
	}
	n := min(want, len(candidates))
	if n%2 == 0 {
		n--
	}
	var voters []lwreplica.Member
	for turn := 0; len(voters) < n; turn++ {
		for _, d := range domains {
			if turn < len(byDomain[d]) && len(voters) < n {
				voters = append(voters, byDomain[d][turn])
			}
		}
	}
	return voters
}

// tellVoters asks each voter that has not accepted the founding to do so.
func (f *founder) tellVoters(ctx context.Context) {
	params := initParams{f.cluster, f.membership}
	for _, m := range f.membership.Voters {
		f.mu.Lock()
		told := f.told[m.Address]
		f.mu.Unlock()
		if told {
			continue
		}
		call, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		err := f.endpoint.Peer(m.Address).Call(call, methodInit, params, nil)
		cancel()
		if err != nil {
			f.log.Warn("first member not told yet", zap.String("address", m.Address), zap.Error(err))
			continue
		}
		f.mu.Lock()
		f.told[m.Address] = true
		f.mu.Unlock()
	}
}

// offer makes this replica a candidate at the founder, and joins the group if
// it is founded already.
func (n *Node) offer(ctx context.Context) error {
	me := lwreplica.Member{ID: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain}
	call, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var res candidateReply
	if err := n.endpoint.Peer(firstSeed(n.cfg.Replicas)).Call(call, methodCandidate, me, &res); err != nil {
		return err
	}
	if !res.Founded {
		return nil
	}
	return n.askJoin(ctx, res.Members)
}

// firstSeed returns the address of the process that founds the group.
func firstSeed(seeds []string) string { return slices.Min(seeds) }

// Relay stands in for a replica on a VM without a disk: it sends those who ask
// to the leader, and founds the group if it is the first of the seeds.
type Relay struct {
	endpoint *lwrpc.Endpoint
	client   *lwlink.Client
	cancel   context.CancelFunc
}

// RelayConfig sets up a relay.
type RelayConfig struct {
	Address string   // RPC address of this process
	Seeds   []string // RPC addresses of replicas or relays
	Voters  int      // of a group that is founded here
	Found   bool     // the whole system starts for the first time
}

// StartRelay starts a relay.
func StartRelay(cfg RelayConfig, e *lwrpc.Endpoint, client *lwlink.Client, log *zap.Logger) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	y := &Relay{endpoint: e, client: client, cancel: cancel}
	e.Handle(methodStatus, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
		return statusResult{Address: cfg.Address, Relay: true, Peers: client.Addresses()}, nil
	})
	for _, method := range lwlink.QueueMethods {
		e.Handle(method, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
			return nil, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "this process has no replica", Leader: client.Leader()}
		})
	}
	if cfg.Found && cfg.Address == firstSeed(cfg.Seeds) {
		go newFounder(e, cfg.Voters, log).run(ctx)
	}
	return y
}

// Stop ends the relay's duties; the endpoint is its owner's to close.
func (y *Relay) Stop() { y.cancel() }
