package lwentry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/command/lwadmin"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
)

const evacuated = "hitoyoshi" // the domain of worker 1, its backend server and its agent

// domains returns the failure domains by name, as an operator sees them.
func (sys *testSystem) domains(ctx context.Context, t *testing.T) map[lwunit.FailureDomain]lwlink.DomainStatus {
	t.Helper()
	var list []lwlink.DomainStatus
	is.New(t).NoErr(sys.Operator().Get(ctx, "/v1/domains", &list))
	byName := make(map[lwunit.FailureDomain]lwlink.DomainStatus)
	for _, d := range list {
		byName[d.Name] = d
	}
	return byName
}

// setEvacuation sends an order of an operator and returns the record in the answer.
func (sys *testSystem) setEvacuation(ctx context.Context, t *testing.T, action string) lwevacuation.Record {
	t.Helper()
	var rec lwevacuation.Record
	is.New(t).NoErr(sys.Operator().Post(ctx, "/v1/domains/"+evacuated+"/"+action, nil, &rec))
	return rec
}

// requestsTo sends requests through both entries and returns how many backend server i ran.
func (sys *testSystem) requestsTo(t *testing.T, i int) int {
	t.Helper()
	before := sys.Backends[i].Total()
	for n := range 60 {
		a := sys.send(n%2, fmt.Appendf(nil, "proof %d", n), "", 5*time.Second)
		is.New(t).Equal(a.outcome, lwheader.Completed)
	}
	return sys.Backends[i].Total() - before
}

// awaitRequestsTo sends requests until backend server i gets some, or none.
func (sys *testSystem) awaitRequestsTo(ctx context.Context, t *testing.T, i int, some bool) {
	t.Helper()
	for (sys.requestsTo(t, i) > 0) != some {
		is.New(t).NoErr(ctx.Err())
	}
}

// Guards the whole path of an evacuation: the call of an operator, the commit, the watches
// of the entries and the placement of tasks, and back.
func TestOperatorEvacuatesAndRestoresDomain(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 3, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	is.Equal(len(sys.domains(ctx, t)), 3)
	is.Equal(sys.domains(ctx, t)[evacuated], lwlink.DomainStatus{Name: evacuated, Workers: 1, Backends: 1})
	sys.awaitRequestsTo(ctx, t, 1, true)

	rec := sys.setEvacuation(ctx, t, "evacuate")
	is.True(rec.Evacuated)
	is.True(rec.By != "")
	is.Equal(sys.setEvacuation(ctx, t, "evacuate"), rec) // a resend
	is.Equal(sys.domains(ctx, t)[evacuated].Record, rec)
	sys.awaitRequestsTo(ctx, t, 1, false)
	is.Equal(sys.requestsTo(t, 1), 0)
	job := []byte(`{"id": "roll", "team": "t", "program": "print:10m", "tasks": 6, "needs": {"millicores": 1000, "memory": "1GiB"}}`)
	is.NoErr(sys.Operator().Post(ctx, "/v1/jobs", job, nil))
	is.NoErr(sys.AwaitRunning(ctx, "roll", 6))
	is.Equal(len(sys.Workers[1].Running()), 0)
	is.Equal(sys.domains(ctx, t)[evacuated].Tasks, 0)

	is.True(!sys.setEvacuation(ctx, t, "restore").Evacuated)
	sys.awaitRequestsTo(ctx, t, 1, true)
	bound := []byte(`{"id": "bound", "team": "t", "program": "print:10m", "domain": "` + evacuated + `", "needs": {"millicores": 1000, "memory": "1GiB"}}`)
	is.NoErr(sys.Operator().Post(ctx, "/v1/jobs", bound, nil))
	is.NoErr(sys.AwaitRunning(ctx, "bound", 1))
	is.Equal(sys.domains(ctx, t)[evacuated].Tasks, 1)
	var task []lwstate.Task
	is.NoErr(sys.Operator().Get(ctx, "/v1/tasks?job=bound", &task))
	is.Equal(task[0].Worker, lwunit.WorkerID("worker-1"))
}

func TestEvacuationsThatAreRefused(t *testing.T) {
	sys := startTestSystem(t, 1, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, action := range []string{"evacuate", "restore"} {
		t.Run(action+" of a domain without workers", func(t *testing.T) {
			err := sys.Operator().Post(ctx, "/v1/domains/nowhere/"+action, nil, nil)
			is.New(t).Equal(lwfault.KindOf(err), lwfault.NotFound)
		})
		t.Run(action+" by a token that is not an operator's", func(t *testing.T) {
			err := lwadmin.New(sys.URL(0), callerToken).Post(ctx, "/v1/domains/yatsushiro/"+action, nil, nil)
			is.New(t).Equal(lwfault.KindOf(err), lwfault.Forbidden)
		})
	}
	is.New(t).Equal(sys.domains(ctx, t)["yatsushiro"].Record, lwevacuation.Record{})
}
