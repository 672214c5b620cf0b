package lwentry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/entry/lwroute"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
)

// The policy of an entry may still name the incarnation of an agent before its
// restart. A request must name the one that its claim is bound to: the agent refuses
// it otherwise, and only that one can be asked for the outcome.
func TestRequestNamesIncarnationOfItsClaim(t *testing.T) {
	is := is.New(t)
	e := &Entry{cfg: Config{ClusterKey: "claim-test-cluster-key"}}
	q := &request{r: httptest.NewRequest(http.MethodPost, "/v1/services/s/order", http.NoBody), deadline: time.Now().Add(time.Second)}
	target := lwroute.Target{AgentAddress: "127.0.0.1:1", Backend: "b", Incarnation: "before"}
	req, err := e.newAgentRequest(t.Context(), q, target, &lwstate.Claim{Token: 7, Incarnation: "after"})
	is.NoErr(err)
	is.Equal(req.Header.Get(lwheader.Incarnation), "after")
	is.Equal(req.Header.Get(lwheader.Claim), "7")
}
