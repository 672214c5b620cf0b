package lwcapacity

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/bench/lwrig"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const syncCallers = 16

// SyncSample is the cost of lease renewals at the leader and its callers.
type SyncSample struct {
	PerSecond float64       `json:"per_second"`
	CPU       time.Duration `json:"cpu_ns"` // of both sides, each
}

// MeasureSyncs renews leases as fast as a few callers can.
func MeasureSyncs(window time.Duration, log *zap.Logger) (SyncSample, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-sync-")
	if err != nil {
		return SyncSample{}, fmt.Errorf("make a folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := lwrig.Start(lwrig.Shape{Region: "r", Domains: []lwunit.FailureDomain{"a"}, Service: "svc", Replicas: 1, Entries: 1, Folder: folder}, log)
	if err != nil {
		return SyncSample{}, err
	}
	defer s.Stop()
	e, err := lwrpc.Listen("", s.Key())
	if err != nil {
		return SyncSample{}, err
	}
	defer e.Close()
	client := lwlink.NewClient(e, s.ControlAddresses())
	for i := range syncCallers {
		spec := lwstate.WorkerSpec{ID: workerName(i), Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB}}
		if _, err := client.Propose(context.Background(), lwstate.RegisterWorker{Spec: spec, Incarnation: "i"}); err != nil {
			return SyncSample{}, err
		}
	}
	before := read()
	done := syncFor(client, window)
	after := read()
	return SyncSample{float64(done) / window.Seconds(), (after.cpu - before.cpu) / time.Duration(max(1, done))}, nil
}

func workerName(i int) lwunit.WorkerID { return lwunit.WorkerID(fmt.Sprintf("w%02d", i)) }

func syncFor(client *lwlink.Client, window time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	var done atomic.Int64
	var wg sync.WaitGroup
	for i := range syncCallers {
		wg.Go(func() {
			known := lwunit.Revision(1)
			for ctx.Err() == nil {
				res, err := client.Sync(ctx, lwlink.Sync{Worker: workerName(i), Incarnation: "i", Known: known})
				if err == nil {
					known = res.Revision
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return done.Load()
}
