package lwcontrol

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// firstMember is a node of a group without a configured number of voters.
type firstMember struct {
	*Node
	endpoint *lwrpc.Endpoint
	folder   string
}

func (m *firstMember) start(t *testing.T, seeds []string) {
	t.Helper()
	n, err := Start(Config{
		Name: m.endpoint.Address(), Address: m.endpoint.Address(), Domain: lwunit.FailureDomain(m.endpoint.Address()), Folder: m.folder, Seeds: seeds,
		Lease: lwlease.DefaultConfig(), Placement: lwplacement.DefaultConfig(), Dispatch: lwdispatch.DefaultConfig(),
	}, m.endpoint, zap.NewNop())
	is.New(t).NoErr(err)
	m.Node = n
}

// handleInit replaces the answers to methodInit.
func (m *firstMember) handleInit(f func(initParams) error) {
	m.endpoint.Handle(methodInit, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		p, err := lwlink.Decode[initParams](params)
		if err != nil {
			return nil, err
		}
		return struct{}{}, f(p)
	})
}

// startFirstMembers starts three first members and lets onInit handle each
// methodInit of the bootstrapping.
func startFirstMembers(t *testing.T, onInit func(*firstMember, initParams) error) []*firstMember {
	t.Helper()
	var members []*firstMember
	var seeds []string
	for range 3 {
		m := &firstMember{endpoint: newTestEndpoint(t), folder: t.TempDir()}
		members = append(members, m)
		seeds = append(seeds, m.endpoint.Address())
	}
	for _, m := range members {
		m.start(t, seeds)
		m.handleInit(func(p initParams) error { return onInit(m, p) })
	}
	t.Cleanup(func() {
		for _, m := range members {
			m.cancel()
			<-m.done
		}
	})
	return members
}

// expectOneGroup expects the members to form one group with a leader.
func expectOneGroup(t *testing.T, members []*firstMember) {
	t.Helper()
	clusters := make(map[string]bool)
	eventually(t, "each member belongs to a group with a leader", func() bool {
		clear(clusters)
		for _, m := range members {
			m.mu.RLock()
			clusters[m.contents.Identity.Cluster] = true
			m.mu.RUnlock()
			if m.Ready() != nil {
				return false
			}
		}
		return true
	})
	is.New(t).Equal(len(clusters), 1)
}

var errLost = lwfault.New(lwfault.Unavailable, "the answer is lost")

// A first member accepts the membership, but its answer is lost. The sender must
// complete the group: one voter of three can't elect a leader.
func TestBootstrapSurvivesLostAnswer(t *testing.T) {
	var once sync.Once
	expectOneGroup(t, startFirstMembers(t, func(m *firstMember, p initParams) error {
		err := m.onInit(p)
		once.Do(func() { err = errLost })
		return err
	}))
}

// The membership of an earlier attempt reaches a first member just before that of
// a later one. Both must have the same cluster name.
func TestBootstrapSurvivesDelayedInit(t *testing.T) {
	var mu sync.Mutex
	var delayed *initParams
	expectOneGroup(t, startFirstMembers(t, func(m *firstMember, p initParams) error {
		mu.Lock()
		defer mu.Unlock()
		if delayed == nil {
			delayed = &p
			return errLost
		}
		if err := m.onInit(*delayed); err != nil {
			return err
		}
		return m.onInit(p)
	}))
}

// The sender of the membership restarts after the first of two members has
// accepted it. It must complete the group under the same cluster name.
func TestBootstrapSurvivesRestartOfSender(t *testing.T) {
	var mu sync.Mutex
	var accepted *firstMember
	restarted := false
	onInit := func(m *firstMember, p initParams) error {
		mu.Lock()
		defer mu.Unlock()
		if accepted != nil && !restarted {
			return errLost
		}
		accepted = m
		return m.onInit(p)
	}
	members := startFirstMembers(t, onInit)
	eventually(t, "a member has accepted", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return accepted != nil
	})
	sender := members[0]
	for _, m := range members {
		if m.id < sender.id {
			sender = m
		}
	}
	sender.Stop(t.Context())
	sender.start(t, sender.cfg.Seeds)
	mu.Lock()
	restarted = true
	mu.Unlock()
	expectOneGroup(t, members)
}

// Guards against a replica that lost its disk becoming a voter as the one that it was, and against
// one that belongs to a group becoming a voter of a second one.
func TestFirstMembershipNamesIdentity(t *testing.T) {
	is := is.New(t)
	wal, contents, err := lwwal.Open(lwdisk.NewMemory(), lwwal.Identity{Replica: "new"})
	is.NoErr(err)
	n := &Node{id: "new", wal: wal, contents: contents, log: zap.NewNop(), initialMembership: make(chan lwreplica.Membership, 1)}
	membership := func(ids ...lwunit.ReplicaID) (m lwreplica.Membership) {
		for _, id := range ids {
			m.Voters = append(m.Voters, lwreplica.Member{ID: id, Address: "1"})
		}
		return m
	}
	is.Equal(lwfault.KindOf(n.onInit(initParams{"g", membership("former", "b", "c")})), lwfault.Fenced)
	is.Equal(n.contents.Identity.Cluster, "")
	is.NoErr(n.onInit(initParams{"g", membership("new", "b", "c")}))
	is.NoErr(n.onInit(initParams{"g", membership("new", "b", "c")})) // again, since the answer was lost
	is.Equal(lwfault.KindOf(n.onInit(initParams{"h", membership("new", "d", "e")})), lwfault.Conflict)
	is.Equal(n.contents.Identity.Cluster, "g")
	is.Equal(n.contents.State.Snapshot.Membership, membership("new", "b", "c"))
}

// Guards against a first member that does not answer being taken for one that does not exist: the
// others would form a group without it, and it one of its own.
func TestGroupIsBootstrappedOnceEveryFirstMemberHasAnswered(t *testing.T) {
	var members []*firstMember
	var seeds []string
	for range 3 {
		m := &firstMember{endpoint: newTestEndpoint(t), folder: t.TempDir()}
		members = append(members, m)
		seeds = append(seeds, m.endpoint.Address())
	}
	t.Cleanup(func() {
		for _, m := range members {
			if m.Node != nil {
				m.cancel()
				<-m.done
			}
		}
	})
	silent := members[2]
	silent.endpoint.Handle(methodStatus, func(context.Context, *lwrpc.Session, json.RawMessage) (any, error) { return nil, errLost })
	for _, m := range members[:2] {
		m.start(t, seeds)
	}
	time.Sleep(5 * joinRetryInterval)
	for _, m := range members[:2] {
		m.mu.RLock()
		is.New(t).Equal(m.contents.Identity.Cluster, "")
		m.mu.RUnlock()
	}
	silent.start(t, seeds) // it answers from now on
	expectOneGroup(t, members)
}
