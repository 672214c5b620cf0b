package lwentry

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
)

// The answer to an order must not say "not_run" while the order may have taken effect.
func TestOutcomeOfEvacuationOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		status  int
		outcome string
	}{
		{"carried out", nil, 200, lwheader.Completed},
		{"no quorum answered the leader", lwfault.New(lwfault.Unknown, "no quorum answered in time"), 502, lwheader.Unknown},
		{"no leader", lwfault.New(lwfault.Unavailable, "no control leader is known"), 503, lwheader.Unknown},
		{"overtaken by another order", lwfault.New(lwfault.Conflict, "the record has another revision"), 503, lwheader.Unknown},
		{"no such domain", lwfault.New(lwfault.NotFound, "there is no such domain"), 404, lwheader.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			writeResult(w, 200, struct{}{}, overtakenFault(c.err))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(lwheader.Outcome), c.outcome)
		})
	}
}
