package lwcapacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
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

// CommitSample is the cost of commits for one number of replicas and of callers.
type CommitSample struct {
	Replicas          int           `json:"replicas"`
	Callers           int           `json:"callers"`
	CommitsPerSecond  float64       `json:"per_second"`
	MeanLatency       time.Duration `json:"mean_ns"`
	RawSyncsPerSecond float64       `json:"raw_syncs"`          // synced writes of 256 bytes by one writer, without control
	CPUPerCommand     time.Duration `json:"cpu_per_command_ns"` // of the replicas and the callers together
	SyncsPerSecond    float64       `json:"syncs_per_s"`        // disk syncs of all replicas
	BytesPerCommand   float64       `json:"bytes_per_command"`  // RPC bytes that the replicas and the callers sent
}

// MeasureCommits measures commits of small commands. Each caller proposes its next
// command as soon as the last one is committed.
func MeasureCommits(replicas, callers int, window time.Duration, log *zap.Logger) (CommitSample, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-commit-")
	if err != nil {
		return CommitSample{}, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	out := CommitSample{Replicas: replicas, Callers: callers}
	if out.RawSyncsPerSecond, err = rawSyncs(folder); err != nil {
		return out, err
	}
	s, err := lwrig.Start(lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b", "c", "d", "e"}, Service: "svc", Replicas: replicas, Entries: 1, Folder: folder,
	}, log)
	if err != nil {
		return out, err
	}
	defer s.Stop()
	e, err := lwrpc.Listen("", s.ClusterKey())
	if err != nil {
		return out, err
	}
	defer e.Close()
	client := lwlink.NewClient(e, s.ControlAddresses())
	register := lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w"}, Incarnation: "i"}
	if _, err := client.Propose(context.Background(), register); err != nil {
		return out, err
	}
	before, syncs := readCounters(), counterValue("wal_syncs_total")
	done := commitFor(client, callers, window)
	after := readCounters()
	out.CommitsPerSecond = float64(done) / window.Seconds()
	out.MeanLatency = time.Duration(float64(window) * float64(callers) / float64(max(1, done)))
	out.CPUPerCommand = (after.cpu - before.cpu) / time.Duration(max(1, done))
	out.SyncsPerSecond = (counterValue("wal_syncs_total") - syncs) / window.Seconds()
	out.BytesPerCommand = (after.bytes - before.bytes) / float64(max(1, done))
	return out, nil
}

// commitFor proposes commands for the given window and returns how many were
// committed.
func commitFor(client *lwlink.Client, callers int, window time.Duration) int64 {
	var done atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := client.Propose(ctx, lwstate.DrainWorker{Worker: "w"}); err == nil {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return done.Load()
}

// rawSyncs returns how many small writes, each followed by a sync, the disk takes a
// second.
func rawSyncs(folder string) (float64, error) {
	const window = time.Second
	f, err := os.Create(filepath.Join(folder, "raw"))
	if err != nil {
		return 0, fmt.Errorf("measure raw syncs: %w", err)
	}
	defer func() { _ = f.Close() }()
	block := make([]byte, 256)
	n := 0
	for began := time.Now(); time.Since(began) < window; n++ {
		if _, err := f.Write(block); err != nil {
			return 0, fmt.Errorf("measure raw syncs: %w", err)
		}
		if err := f.Sync(); err != nil {
			return 0, fmt.Errorf("measure raw syncs: %w", err)
		}
	}
	return float64(n) / window.Seconds(), nil
}
