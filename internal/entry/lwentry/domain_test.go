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
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
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

// awaitEntries waits until the entries have applied what was committed before: an answer
// with a ticket carries it too.
func (sys *testSystem) awaitEntries(ctx context.Context, t *testing.T, ticket int) {
	t.Helper()
	text := fmt.Appendf(nil, `{"number": %d, "author": "test", "objects": [{"kind": "team", "name": "other", "spec": {"weight": %d}}]}`, ticket, ticket)
	is.New(t).NoErr(sys.Operator().Post(ctx, "/v1/tickets", text, nil))
	sys.awaitTicketInForce(t, ticket)
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
	sys.awaitEntries(ctx, t, 2)
	is.True(sys.requestsTo(t, 1) > 0)

	rec := sys.setEvacuation(ctx, t, "evacuate")
	is.True(rec.Evacuated)
	is.True(rec.By != "")
	is.Equal(sys.setEvacuation(ctx, t, "evacuate"), rec) // a resend
	is.Equal(sys.domains(ctx, t)[evacuated].Record, rec)
	sys.awaitEntries(ctx, t, 3)
	is.Equal(sys.requestsTo(t, 1), 0)
	job := []byte(`{"id": "roll", "team": "t", "program": "print:10m", "tasks": 6, "needs": {"millicores": 1000, "memory": "1GiB"}}`)
	is.NoErr(sys.Operator().Post(ctx, "/v1/jobs", job, nil))
	is.NoErr(sys.AwaitRunning(ctx, "roll", 6))
	is.Equal(len(sys.Workers[1].Running()), 0)
	is.Equal(sys.domains(ctx, t)[evacuated].Tasks, 0)

	is.True(!sys.setEvacuation(ctx, t, "restore").Evacuated)
	sys.awaitEntries(ctx, t, 4)
	is.True(sys.requestsTo(t, 1) > 0)
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

// Requests that run in a domain when it is evacuated must finish there, and a resend of a
// non-idempotent one must get its answer and not run it again elsewhere.
func TestRequestsFinishInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sys := startTestSystem(t, 3, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	release := make(chan struct{})
	sys.Backends[1].SetBehaviour(lwstandin.Behaviour{Delay: func() time.Duration { <-release; return 0 }})
	key := fmt.Sprintf("%d-evacuated", time.Now().Unix())
	answers := make(chan answer, 2)
	for _, k := range []string{"", key} {
		go func() { answers <- sys.send(1, []byte("etch"), k, 20*time.Second) }() // entry 1 is in the domain too
	}
	for sys.Backends[1].Total() < 2 {
		is.NoErr(ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	sys.setEvacuation(ctx, t, "evacuate")
	sys.awaitEntries(ctx, t, 2)
	is.Equal(sys.requestsTo(t, 1), 0)
	close(release)
	for range 2 {
		is.Equal((<-answers).outcome, lwheader.Completed)
	}
	is.Equal(sys.send(0, []byte("etch"), key, 5*time.Second).outcome, lwheader.Completed)
	is.Equal(sys.Backends[1].Runs(key), 1)
	is.Equal(sys.runs(key), 1)
}
