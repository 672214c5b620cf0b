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

const renewalCallers = 16 // that renew concurrently

// RenewalSample is the cost of lease renewals.
type RenewalSample struct {
	RenewalsPerSecond float64       `json:"per_second"`
	CPUPerRenewal     time.Duration `json:"cpu_ns"` // of the leader and the caller together
}

// MeasureRenewals measures lease renewals by renewalCallers callers, each of which
// sends its next renewal as soon as the last one is answered.
func MeasureRenewals(window time.Duration, log *zap.Logger) (RenewalSample, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-sync-")
	if err != nil {
		return RenewalSample{}, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := lwrig.Start(lwrig.Shape{Region: "r", Domains: []lwunit.FailureDomain{"a"}, Service: "svc", Replicas: 1, Entries: 1, Folder: folder}, log)
	if err != nil {
		return RenewalSample{}, err
	}
	defer s.Stop()
	e, err := lwrpc.Listen("", s.ClusterKey())
	if err != nil {
		return RenewalSample{}, err
	}
	defer e.Close()
	client := lwlink.NewClient(e, s.ControlAddresses())
	for i := range renewalCallers {
		spec := lwstate.WorkerSpec{ID: workerName(i), Capacity: lwunit.Resources{Millicores: 64000, Memory: 250 * lwunit.GiB}}
		if _, err := client.Propose(context.Background(), lwstate.RegisterWorker{Spec: spec, Incarnation: "i"}); err != nil {
			return RenewalSample{}, err
		}
	}
	before := readCounters()
	done := renewFor(client, window)
	after := readCounters()
	return RenewalSample{float64(done) / window.Seconds(), (after.cpu - before.cpu) / time.Duration(max(1, done))}, nil
}

func workerName(i int) lwunit.WorkerID { return lwunit.WorkerID(fmt.Sprintf("w%02d", i)) }

// renewFor renews leases for the given window and returns how many renewals
// succeeded.
func renewFor(client *lwlink.Client, window time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	var done atomic.Int64
	var wg sync.WaitGroup
	for i := range renewalCallers {
		wg.Go(func() {
			known := lwunit.Revision(1)
			for ctx.Err() == nil {
				res, err := client.Sync(ctx, lwlink.Sync{Worker: workerName(i), Incarnation: "i", KnownRevision: known})
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
