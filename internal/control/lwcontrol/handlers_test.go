package lwcontrol

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// A worker with less memory than the services on it reserve has negative
// free memory. The list of workers must still be readable.
func TestOvercommittedWorkerIsListed(t *testing.T) {
	is := is.New(t)
	s := lwstate.New()
	apply := func(c lwstate.Command) {
		is.Helper()
		is.NoErr(s.Apply(s.Revision()+1, 1, c).Err)
	}
	apply(lwstate.ApplyTicket{Ticket: json.RawMessage(`{"number": 1, "author": "aiko", "objects": [
		{"kind": "service", "name": "s", "spec": {"team": "t", "reserve": {"millicores": 100, "memory": "2GiB"}}}]}`)})
	apply(lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w", Capacity: lwunit.Resources{Millicores: 1000, Memory: lwunit.GiB}}, Incarnation: "i"})
	apply(lwstate.AnnounceBackend{Server: lwstate.BackendServer{ID: "b", Service: "s", Worker: "w", Incarnation: "i"}})
	reply, err := answerQuery(s, lwlink.Query{Kind: lwlink.QueryWorkers})
	is.NoErr(err)
	data, err := json.Marshal(reply)
	is.NoErr(err)
	decoded, err := lwlink.Decode[lwlink.QueryReply](data)
	is.NoErr(err)
	is.Equal(decoded.Workers[0].Free, lwunit.Resources{Millicores: 900, Memory: -lwunit.GiB})
}
