package lwagent_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
)

const patience = 40 * time.Second

func startJob(t *testing.T) (*lwrig.System, int) {
	t.Helper()
	is := is.New(t)
	shape := lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b"}, Service: "s", Workers: 2, Replicas: 1, Entries: 1, Folder: t.TempDir(),
		Capacity: lwunit.Resources{Millicores: 4000, Memory: 8 * lwunit.GiB},
	}
	shape.Options.Lease = lwlease.Config{Lease: 5 * time.Second, StopTime: time.Second, ClockRate: 0.01}
	s, err := lwrig.Start(shape, zap.NewNop())
	is.NoErr(err)
	t.Cleanup(s.Stop)
	is.NoErr(s.AwaitWorkers(2))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	op := s.Operator()
	is.NoErr(op.Post(ctx, "/v1/tickets", []byte(`{"number": 1, "author": "test", "objects": [{"kind": "team", "name": "t", "spec": {}}]}`), nil))
	is.NoErr(op.Post(ctx, "/v1/jobs", []byte(`{"id": "roll", "team": "t", "program": "print:10m", "needs": {"millicores": 1000, "memory": "1GiB"}}`), nil))
	is.NoErr(s.AwaitRunning(ctx, "roll", 1))
	return s, where(s)[0]
}

// where returns the workers on which the task runs now.
func where(s *lwrig.System) []int {
	var list []int
	for i, w := range s.Workers {
		if len(w.Running()) > 0 {
			list = append(list, i)
		}
	}
	return list
}

// TestLostAgentNeverRunsItsTaskTwice kills the agent of a running task. The
// platform stops it when the lease ends; only then may it start elsewhere.
func TestLostAgentNeverRunsItsTaskTwice(t *testing.T) {
	is := is.New(t)
	s, at := startJob(t)
	s.Agents[at].Kill()
	for deadline := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		on := where(s)
		is.True(len(on) <= 1) // in one place at every moment
		if len(on) == 1 && on[0] != at {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	is.NoErr(s.RestartAgent(at)) // the worker returns
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		is.Equal(where(s), []int{1 - at})
	}
}

// TestRestartedAgentAdoptsItsTask restarts an agent within the lease: the task
// goes on and is not started again.
func TestRestartedAgentAdoptsItsTask(t *testing.T) {
	is := is.New(t)
	s, at := startJob(t)
	is.NoErr(s.RestartAgent(at))
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		is.Equal(where(s), []int{at})
	}
	is.Equal(s.Workers[at].Starts("roll/0"), 1)
}
