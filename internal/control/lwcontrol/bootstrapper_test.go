package lwcontrol

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const bootstrapTestKey = "found-test-cluster-key"

func TestChooseVoters(t *testing.T) {
	candidates := make(map[string]lwreplica.Member)
	for i := range 6 {
		a := fmt.Sprintf("10.0.0.%d:1", i)
		candidates[a] = lwreplica.Member{ID: lwunit.ReplicaID(a), Address: a, Domain: lwunit.FailureDomain(fmt.Sprint(i % 3))}
	}
	cases := []struct{ requested, wantVoters, wantDomains int }{{3, 3, 3}, {5, 5, 3}, {7, 5, 3}, {1, 1, 1}}
	for _, x := range cases {
		t.Run(fmt.Sprintf("%d voters of 6 candidates", x.requested), func(t *testing.T) {
			voters := chooseVoters(candidates, x.requested)
			domains := make(map[lwunit.FailureDomain]bool)
			for _, v := range voters {
				domains[v.Domain] = true
			}
			if len(voters) != x.wantVoters || len(domains) != x.wantDomains {
				t.Errorf("%d voters in %d domains, want %d in %d", len(voters), len(domains), x.wantVoters, x.wantDomains)
			}
		})
	}
}

func startTestNode(t *testing.T, e *lwrpc.Endpoint, seeds []string, joinOnly bool) *Node {
	t.Helper()
	n, err := Start(Config{
		Name: e.Address(), Address: e.Address(), Domain: lwunit.FailureDomain(e.Address()), Folder: t.TempDir(), Seeds: seeds,
		Voters: 3, JoinOnly: joinOnly, Lease: lwlease.DefaultConfig(), Placement: lwplacement.DefaultConfig(), Dispatch: lwdispatch.DefaultConfig(),
	}, e, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newTestEndpoint(t *testing.T) *lwrpc.Endpoint {
	t.Helper()
	e, err := lwrpc.Listen("127.0.0.1:0", bootstrapTestKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// expectRelayLearnsLeader starts a relay whose seeds name no replica, as after a
// restart with new seeds, and expects it to learn of the leader and the
// replicas from an announcement.
func expectRelayLearnsLeader(t *testing.T, n *Node) {
	t.Helper()
	e := newTestEndpoint(t)
	client := lwlink.NewClient(e, []string{e.Address()})
	relay := StartRelay(RelayConfig{Address: e.Address(), Seeds: []string{e.Address()}, Voters: 3}, e, client, zap.NewNop())
	t.Cleanup(relay.Stop)
	HandleAnnouncements(e, client)
	n.Announce(t.Context(), []string{e.Address()})
	deadline := time.Now().Add(5 * time.Second)
	for client.Leader() == "" || len(client.Addresses()) < 4 {
		if time.Now().After(deadline) {
			t.Fatalf("the relay has learned only of replicas %v and leader %q", client.Addresses(), client.Leader())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The seeds name a VM without a disk and two of the four VMs with one. A group of
// three voters must be bootstrapped, and the fourth replica must become a
// learner.
func TestBootstrapFromPartialSeeds(t *testing.T) {
	var endpoints []*lwrpc.Endpoint
	for range 5 {
		endpoints = append(endpoints, newTestEndpoint(t))
	}
	seeds := []string{endpoints[0].Address(), endpoints[1].Address(), endpoints[2].Address()}
	relay := StartRelay(RelayConfig{Address: seeds[0], Seeds: seeds, Voters: 3, Bootstrap: true}, endpoints[0], lwlink.NewClient(endpoints[0], seeds), zap.NewNop())
	t.Cleanup(relay.Stop)
	var nodes []*Node
	for _, e := range endpoints[1:] {
		nodes = append(nodes, startTestNode(t, e, seeds, false))
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.cancel()
			<-n.done
		}
	})
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, n := range nodes {
			if r := n.currentReplica(); r != nil && n.Leads() {
				m := r.currentView().membership
				if len(m.Voters) == 3 && len(m.Learners) == 1 {
					expectRelayLearnsLeader(t, n)
					return
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no group of three voters and a learner was bootstrapped")
}
