package lwcontrol

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// A ticket may raise the retention of a service, which may differ between regions too.
// A resend of a request whose record was removed under the lower one must not run it
// again.
func TestRaisedRetentionDoesNotBindRemovedClaimAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bound := 0
		n := leadingNode(t, func(c lwstate.Command) {
			if _, ok := c.(lwstate.BindClaim); ok {
				bound++
			}
		})
		is.NoErr(proposeAs(t, n, lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w"}, Incarnation: "i"}))
		is.NoErr(proposeAs(t, n, lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: "b", Service: "s", Worker: "w", Incarnation: "i"}}))
		bind := lwstate.BindClaim{
			Key: lwstate.ClaimKey{Team: "t", Service: "s", Key: "k"}, Request: "q", Created: lwunit.Millis(time.Now().UnixMilli()),
			Retention: lwunit.Duration(time.Minute), Backend: "b",
		}
		is.NoErr(proposeAs(t, n, bind))
		other := bind
		other.Key.Key = "never sent"
		other.Created = bind.Created.Add(time.Second)

		time.Sleep(time.Minute)
		is.NoErr(proposeAs(t, n, lwstate.Sweep{}))
		raised := bind
		raised.Retention = lwunit.Duration(24 * time.Hour)
		is.Equal(lwfault.KindOf(proposeAs(t, n, raised)), lwfault.Expired)
		res := lwlink.QueryReply{}
		n.replica.read(func(s *lwstate.State) {
			res, _ = answerQuery(s, lwlink.Query{Kind: lwlink.QueryClaim, Claim: &bind.Key})
		})
		is.Equal(res.ClaimFloor, bind.Created) // an entry does not call the request not run
		is.NoErr(proposeAs(t, n, other))
		is.Equal(bound, 2)
	})
}
