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

const testTimeout = 40 * time.Second

func startSystemWithJob(t *testing.T) (*lwrig.System, int) {
	t.Helper()
	is := is.New(t)
	shape := lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b"}, Service: "s", Workers: 2, Replicas: 1, Entries: 1, Folder: t.TempDir(),
		Capacity: lwunit.Resources{Millicores: 4000, Memory: 8 * lwunit.GiB},
	}
	shape.Options.Lease = lwlease.Config{Lease: 5 * time.Second, StopTime: time.Second, MaxClockDrift: 0.01}
	s, err := lwrig.Start(shape, zap.NewNop())
	is.NoErr(err)
	t.Cleanup(s.Stop)
	is.NoErr(s.AwaitWorkers(2))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	op := s.Operator()
	is.NoErr(op.Post(ctx, "/v1/tickets", []byte(`{"number": 1, "author": "test", "objects": [{"kind": "team", "name": "t", "spec": {}}]}`), nil))
	is.NoErr(op.Post(ctx, "/v1/jobs", []byte(`{"id": "roll", "team": "t", "program": "print:10m", "needs": {"millicores": 1000, "memory": "1GiB"}}`), nil))
	is.NoErr(s.AwaitRunning(ctx, "roll", 1))
	return s, runningOn(s)[0]
}

// runningOn returns the indices of the workers that run a task.
func runningOn(s *lwrig.System) []int {
	var list []int
	for i, w := range s.Workers {
		if len(w.Running()) > 0 {
			list = append(list, i)
		}
	}
	return list
}

// The agent of a running task is killed. The platform stops the task when its
// lease ends, and only then may it start on another worker.
func TestLostAgentNeverRunsItsTaskTwice(t *testing.T) {
	is := is.New(t)
	s, at := startSystemWithJob(t)
	s.Agents[at].Kill()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		on := runningOn(s)
		is.True(len(on) <= 1) // never on two workers at once
		if len(on) == 1 && on[0] != at {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	is.NoErr(s.RestartAgent(at)) // the worker registers again
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		is.Equal(runningOn(s), []int{1 - at})
	}
}

// An agent that restarts within the lease adopts its running task and does not
// start it again.
func TestRestartedAgentAdoptsItsTask(t *testing.T) {
	is := is.New(t)
	s, at := startSystemWithJob(t)
	is.NoErr(s.RestartAgent(at))
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		is.Equal(runningOn(s), []int{at})
	}
	is.Equal(s.Workers[at].Starts("roll/0"), 1)
}

// The platform of a running task loses its list, as when its VM is started again. The
// task must run again, but not before its lease would have ended: an agent cannot tell
// such a platform from one that has not found its tasks yet.
func TestTaskThatItsPlatformLostRunsAgainAfterItsLease(t *testing.T) {
	is := is.New(t)
	s, at := startSystemWithJob(t)
	s.Workers[at].Reboot()
	lostAt := time.Now()
	for deadline := lostAt.Add(testTimeout); len(runningOn(s)) == 0; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	t.Logf("the task runs again after %s", time.Since(lostAt))
	is.True(time.Since(lostAt) > 2*time.Second) // it was renewed at most 2.2 s before, for 5 s
}
