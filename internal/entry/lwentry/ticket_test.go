package lwentry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// A ticket that grants a token twice must be refused with a reason, not accepted with
// one grant in force. One that an earlier version accepted gets its first answer again.
func TestTicketThatGrantsTokenTwice(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 1, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	digest := lwticket.TokenDigest(callerToken)
	twice := func(number int) []byte {
		return fmt.Appendf(nil, `{"number": %d, "author": "test", "objects": [
			{"kind": "team", "name": "t", "spec": {"tokens": [{"role": "operator", "sha256": %q}, {"role": "caller", "sha256": %q}]}}]}`, number, digest, digest)
	}
	err := sys.Operator().Post(ctx, "/v1/tickets", twice(2), nil)
	is.True(err != nil)
	is.Equal(lwfault.KindOf(err), lwfault.Invalid)
	is.True(strings.Contains(err.Error(), "is granted twice, as operator of team t and as caller of team t"))

	endpoint, err := lwrpc.Listen("", sys.ClusterKey())
	is.NoErr(err)
	defer endpoint.Close()
	old, err := lwticket.Decode(twice(3))
	is.NoErr(err)
	canonical, err := old.Canonical()
	is.NoErr(err)
	accepted, err := lwlink.NewClient(endpoint, sys.ControlAddresses()).Propose(ctx, lwstate.ApplyTicket{Ticket: canonical})
	is.NoErr(err)
	var repeated lwstate.TicketRecord
	is.NoErr(sys.Operator().Post(ctx, "/v1/tickets", twice(3), &repeated))
	is.Equal(repeated.Digest, accepted.Ticket.Digest)
	is.Equal(repeated.Revision, accepted.Ticket.Revision)
	sys.awaitTicketInForce(t, 3)
	is.Equal(sys.send(0, []byte("etch"), "", 5*time.Second).status, http.StatusOK) // as before, the last grant counts

	upper := fmt.Appendf(nil, `{"number": 4, "author": "test", "objects": [
		{"kind": "team", "name": "t", "spec": {"tokens": [{"role": "caller", "sha256": %q}]}}]}`, strings.ToUpper(digest))
	is.NoErr(sys.Operator().Post(ctx, "/v1/tickets", upper, nil))
	sys.awaitTicketInForce(t, 4)
	is.Equal(sys.send(0, []byte("etch"), "", 5*time.Second).status, http.StatusOK)
}
