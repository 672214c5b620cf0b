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

	// bootstrapSettleTime is the time without a new candidate after which a group is
	// bootstrapped. Candidates of VMs that are started together arrive at shorter
	// intervals.
	bootstrapSettleTime    = 800 * time.Millisecond
	bootstrapRetryInterval = 200 * time.Millisecond
)

// candidateReply answers a replica that asked to be a first member.
type candidateReply struct {
	Bootstrapped bool     `json:"founded"`
	Members      []string `json:"members,omitempty"` // RPC addresses of the voters, once bootstrapped
}

// bootstrapper collects the replicas of a system that starts for the first time
// and bootstraps their group. Only the process at bootstrapSeed does so; the
// seeds of all processes are the same at the first start.
type bootstrapper struct {
	endpoint   *lwrpc.Endpoint
	log        *zap.Logger
	voterCount int

	mu         sync.Mutex
	candidates map[string]lwreplica.Member // by address
	newestAt   time.Time                   // when the last new candidate arrived
	cluster    string                      // name of the group; empty until the voters are chosen
	membership lwreplica.Membership
	accepted   map[string]bool // addresses of the voters that have saved the membership
}

func newBootstrapper(e *lwrpc.Endpoint, voters int, log *zap.Logger) *bootstrapper {
	b := &bootstrapper{endpoint: e, log: log, voterCount: voters, candidates: make(map[string]lwreplica.Member), accepted: make(map[string]bool)}
	e.Handle(methodCandidate, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwreplica.Member](params)
		if err != nil {
			return nil, err
		}
		return b.addCandidate(m), nil
	})
	return b
}

// addCandidate records a candidate, unless the voters are chosen already, and
// returns whether the group is bootstrapped.
func (b *bootstrapper) addCandidate(m lwreplica.Member) candidateReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done() {
		res := candidateReply{Bootstrapped: true}
		for _, v := range b.membership.Voters {
			res.Members = append(res.Members, v.Address)
		}
		return res
	}
	if _, ok := b.candidates[m.Address]; !ok {
		b.newestAt = time.Now()
	}
	if b.cluster == "" {
		b.candidates[m.Address] = m
	}
	return candidateReply{}
}

// done reports whether every voter has saved the membership. The caller holds mu.
func (b *bootstrapper) done() bool {
	return b.cluster != "" && len(b.accepted) == len(b.membership.Voters)
}

// run bootstraps the group once no new candidate has arrived for
// bootstrapSettleTime, and retries until every voter has accepted.
func (b *bootstrapper) run(ctx context.Context) {
	ticker := time.NewTicker(bootstrapRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !b.chooseGroup() {
			continue
		}
		b.initVoters(ctx)
		b.mu.Lock()
		done := b.done()
		b.mu.Unlock()
		if done {
			b.log.Info("control group bootstrapped", zap.String("cluster", b.cluster), zap.Int("voters", len(b.membership.Voters)))
			return
		}
	}
}

// chooseGroup chooses the name and the voters of the group once no new
// candidate has arrived for bootstrapSettleTime. It reports whether they are
// chosen; they never change afterwards.
func (b *bootstrapper) chooseGroup() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cluster != "" {
		return true
	}
	if len(b.candidates) == 0 || time.Since(b.newestAt) < bootstrapSettleTime {
		return false
	}
	id, err := randomID()
	if err != nil {
		b.log.Warn("cannot bootstrap the control group yet", zap.Error(err))
		return false
	}
	b.cluster = id
	b.membership = lwreplica.Membership{Voters: chooseVoters(b.candidates, b.voterCount)}
	return true
}

// chooseVoters returns an odd number of candidates, at most want, spread over
// the failure domains.
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
	for rank := 0; len(voters) < n; rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) && len(voters) < n {
				voters = append(voters, byDomain[d][rank])
			}
		}
	}
	return voters
}

// initVoters sends the membership to each voter that has not accepted it.
func (b *bootstrapper) initVoters(ctx context.Context) {
	params := initParams{b.cluster, b.membership}
	for _, m := range b.membership.Voters {
		b.mu.Lock()
		accepted := b.accepted[m.Address]
		b.mu.Unlock()
		if accepted {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := b.endpoint.Peer(m.Address).Call(call, methodInit, params, nil)
		cancel()
		if err != nil {
			b.log.Warn("first member has not accepted the membership yet", zap.String("address", m.Address), zap.Error(err))
			continue
		}
		b.mu.Lock()
		b.accepted[m.Address] = true
		b.mu.Unlock()
	}
}

// submitCandidate submits this replica to the bootstrapper as a candidate, and
// joins the group if it is bootstrapped already.
func (n *Node) submitCandidate(ctx context.Context) error {
	self := lwreplica.Member{ID: n.id, Address: n.cfg.Address, Domain: n.cfg.Domain}
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var res candidateReply
	if err := n.endpoint.Peer(bootstrapSeed(n.cfg.Seeds)).Call(call, methodCandidate, self, &res); err != nil {
		return err
	}
	if !res.Bootstrapped {
		return nil
	}
	return n.requestJoin(ctx, res.Members)
}

// bootstrapSeed returns the address of the process that bootstraps the group:
// the first of the seeds in lexical order.
func bootstrapSeed(seeds []string) string { return slices.Min(seeds) }

// Relay takes the place of a replica on a VM without a disk. It redirects calls of
// lwlink.QueueMethods to the leader. At the first start of the system it bootstraps
// the group if its address is the bootstrapSeed.
type Relay struct {
	endpoint *lwrpc.Endpoint
	client   *lwlink.Client
	cancel   context.CancelFunc
}

// RelayConfig configures a relay.
type RelayConfig struct {
	Address   string   // RPC address of this process
	Seeds     []string // RPC addresses of replicas or relays
	Voters    int      // number of voters of a group that is bootstrapped here
	Bootstrap bool     // the whole system starts for the first time, so a group is to be bootstrapped
}

// StartRelay registers the handlers of a relay and, if it is to bootstrap the
// group, starts doing so.
func StartRelay(cfg RelayConfig, e *lwrpc.Endpoint, client *lwlink.Client, log *zap.Logger) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{endpoint: e, client: client, cancel: cancel}
	e.Handle(methodStatus, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
		return statusResult{Address: cfg.Address, Relay: true, Peers: client.Addresses()}, nil
	})
	for _, method := range lwlink.QueueMethods {
		e.Handle(method, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) {
			return nil, &lwfault.Fault{Kind: lwfault.NotLeader, Detail: "this process has no replica", Leader: client.Leader()}
		})
	}
	if cfg.Bootstrap && cfg.Address == bootstrapSeed(cfg.Seeds) {
		go newBootstrapper(e, cfg.Voters, log).run(ctx)
	}
	return r
}

// Stop ends bootstrapping. The owner of the endpoint closes it.
func (r *Relay) Stop() { r.cancel() }
