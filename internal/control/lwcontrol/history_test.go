package lwcontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// ticketInput is one operator's attempt to claim a ticket number.
type ticketInput struct {
	number int
	author string
}

// ticketOutput holds the author to whom the number belongs according to the
// answer; empty if there was no answer.
type ticketOutput struct{ author string }

// ticketModel returns a model in which a number belongs to the first author who
// claims it.
func ticketModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byNumber := make(map[int][]porcupine.Operation)
			for _, op := range history {
				n := op.Input.(ticketInput).number
				byNumber[n] = append(byNumber[n], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byNumber {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			owner, in, out := state.(string), input.(ticketInput), output.(ticketOutput)
			if owner == "" {
				owner = in.author
			}
			return out.author == "" || out.author == owner, owner
		},
	}
}

func newSystem(t *testing.T, replicas int) *lwrig.System {
	t.Helper()
	s, err := lwrig.Start(lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b", "c"}, Service: "s", Replicas: replicas, Entries: 1, Folder: t.TempDir(),
	}, zap.NewNop())
	is.New(t).NoErr(err)
	t.Cleanup(s.Stop)
	return s
}

func newClient(t *testing.T, s *lwrig.System) *lwlink.Client {
	t.Helper()
	e, err := lwrpc.Listen("", s.ClusterKey())
	is.New(t).NoErr(err)
	t.Cleanup(e.Close)
	return lwlink.NewClient(e, s.ControlAddresses())
}

// claimNumber tries to claim a ticket number and returns its author.
func claimNumber(client *lwlink.Client, in ticketInput) ticketOutput {
	text := fmt.Appendf(nil, `{"number": %d, "author": %q, "objects": [{"kind": "team", "name": "t%d", "spec": {}}]}`, in.number, in.author, in.number)
	t, err := lwticket.Decode(text)
	if err != nil {
		panic(err)
	}
	data, err := t.Canonical()
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	out, err := client.Propose(ctx, lwstate.ApplyTicket{Ticket: data})
	if err != nil && lwfault.KindOf(err) != lwfault.Conflict {
		return ticketOutput{}
	}
	return ticketOutput{out.Ticket.Author}
}

// Operators race for ticket numbers while control replicas are killed and
// restarted one after the other.
func TestTicketHistoryIsLinearizable(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3)
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for operator := range 6 {
		client := newClient(t, s)
		rng := rand.New(rand.NewPCG(uint64(operator), 1))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				in := ticketInput{1 + n/2 + rng.IntN(3), fmt.Sprintf("operator-%d", operator)}
				op := porcupine.Operation{ClientId: operator, Input: in, Call: int64(time.Since(began))}
				out := claimNumber(client, in)
				op.Output, op.Return = out, int64(time.Since(began))
				if out.author == "" {
					op.Return = int64(time.Hour) // the command may still take effect later
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	for i := range 3 {
		time.Sleep(700 * time.Millisecond)
		s.Control[i].Kill()
		time.Sleep(700 * time.Millisecond)
		is.NoErr(s.StartControl(i))
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	is.True(len(history) > 0)
	result, _ := porcupine.CheckOperationsVerbose(ticketModel(), history, time.Minute)
	is.Equal(result, porcupine.Ok)
}

// A replica loses its data folder. It must join under another identity, catch up
// and become a voter, so that the group then survives the loss of a second
// replica.
func TestLostDiskJoinsAsNewMember(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3)
	client := newClient(t, s)
	for n := 1; n <= 20; n++ {
		is.Equal(claimNumber(client, ticketInput{n, "aiko"}).author, "aiko")
	}
	before := replicaIDs(t, client)
	is.NoErr(s.LoseDisk(0))
	deadline := time.Now().Add(30 * time.Second)
	for {
		now := replicaIDs(t, client)
		if len(now) == 3 && now[s.ControlAddresses()[0]] != before[s.ControlAddresses()[0]] {
			break
		}
		is.True(time.Now().Before(deadline)) // the new member must become a voter
		time.Sleep(200 * time.Millisecond)
	}
	s.Control[1].Kill() // the loss of a second VM, right after the repair
	for n := 1; n <= 21; n++ {
		is.Equal(claimNumber(client, ticketInput{n, "aiko"}).author, "aiko")
	}
}

// A replica that is added at a new address must stay a learner until an operator
// lets it replace a voter.
func TestReplaceByOperator(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3)
	client := newClient(t, s)
	is.Equal(claimNumber(client, ticketInput{1, "aiko"}).author, "aiko")
	fresh, err := s.AddControl()
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	old := s.ControlAddresses()[0]
	err = client.Replace(ctx, old, fresh)
	for lwfault.KindOf(err) == lwfault.NotFound && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond) // until the replica has joined as a learner
		is.Equal(replicaIDs(t, client)[fresh], lwunit.ReplicaID(""))
		err = client.Replace(ctx, old, fresh)
	}
	is.NoErr(err)
	for {
		now := replicaIDs(t, client)
		if now[fresh] != "" && now[old] == "" {
			is.Equal(len(now), 3)
			break
		}
		is.NoErr(ctx.Err())
		time.Sleep(200 * time.Millisecond)
		_ = client.Replace(ctx, old, fresh) // the leader may have changed
	}
	is.Equal(claimNumber(client, ticketInput{2, "aiko"}).author, "aiko")
}

// replicaIDs returns the identity of the voter at each address.
func replicaIDs(t *testing.T, client *lwlink.Client) map[string]lwunit.ReplicaID {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res, err := client.Query(ctx, lwlink.Query{Kind: lwlink.QueryStatus})
	is.New(t).NoErr(err)
	ids := make(map[string]lwunit.ReplicaID)
	for _, r := range res.Replicas {
		if r.Role != "learner" {
			ids[r.Address] = r.ID
		}
	}
	return ids
}

// A replica that cannot reach the others must refuse a watch from revision 0
// instead of returning a policy that no quorum has confirmed.
func TestIsolatedReplicaRefusesWatch(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3)
	client := newClient(t, s)
	is.Equal(claimNumber(client, ticketInput{1, "aiko"}).author, "aiko")
	s.Control[0].Kill()
	s.Control[1].Kill()
	e, err := lwrpc.Listen("", s.ClusterKey())
	is.NoErr(err)
	defer e.Close()
	alone := lwlink.NewClient(e, s.ControlAddresses()[2:])
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	_, err = alone.Watch(ctx, lwlink.Watch{Node: "fresh", Role: lwlink.RoleEntry})
	is.True(err != nil)
}
