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

// CommitSample is the cost of commits on a number of replicas.
type CommitSample struct {
	Replicas   int           `json:"replicas"`
	Callers    int           `json:"callers"`
	PerSecond  float64       `json:"per_second"`
	Mean       time.Duration `json:"mean_ns"`
	RawSyncs   float64       `json:"raw_syncs"` // of the same disk, a second
	CPUPerCmd  time.Duration `json:"cpu_per_command_ns"`
	SyncsPerS  float64       `json:"syncs_per_s"` // of all replicas
	SentPerCmd float64       `json:"bytes_per_command"`
}

// MeasureCommits commits small commands from many callers at once.
func MeasureCommits(replicas, callers int, window time.Duration, log *zap.Logger) (CommitSample, error) {
	folder, err := os.MkdirTemp("", "lavenderweir-commit-")
	if err != nil {
		return CommitSample{}, fmt.Errorf("make a folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	out := CommitSample{Replicas: replicas, Callers: callers}
	if out.RawSyncs, err = rawSyncs(folder); err != nil {
		return out, err
	}
	s, err := lwrig.Start(lwrig.Shape{
		Region: "r", Domains: []lwunit.FailureDomain{"a", "b", "c", "d", "e"}, Service: "svc", Replicas: replicas, Entries: 1, Folder: folder,
	}, log)
	if err != nil {
		return out, err
	}
	defer s.Stop()
	e, err := lwrpc.Listen("", s.Key())
	if err != nil {
		return out, err
	}
	defer e.Close()
	client := lwlink.NewClient(e, s.ControlAddresses())
	register := lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w"}, Incarnation: "i"}
	if _, err := client.Propose(context.Background(), register); err != nil {
		return out, err
	}
	before, syncs := read(), counter("wal_syncs_total")
	done := commitFor(client, callers, window)
	after := read()
	out.PerSecond = float64(done) / window.Seconds()
	out.Mean = time.Duration(float64(window) * float64(callers) / float64(max(1, done)))
	out.CPUPerCmd = (after.cpu - before.cpu) / time.Duration(max(1, done))
	out.SyncsPerS = (counter("wal_syncs_total") - syncs) / window.Seconds()
	out.SentPerCmd = (after.bytes - before.bytes) / float64(max(1, done))
	return out, nil
}

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

// rawSyncs returns how many small synced writes the disk takes a second.
func rawSyncs(folder string) (float64, error) {
	const window = time.Second
	f, err := os.Create(filepath.Join(folder, "raw"))
	if err != nil {
		return 0, fmt.Errorf("raw syncs: %w", err)
	}
	defer func() { _ = f.Close() }()
	block := make([]byte, 256)
	n := 0
	for began := time.Now(); time.Since(began) < window; n++ {
		if _, err := f.Write(block); err != nil {
			return 0, fmt.Errorf("raw syncs: %w", err)
		}
		if err := f.Sync(); err != nil {
			return 0, fmt.Errorf("raw syncs: %w", err)
		}
	}
	return float64(n) / window.Seconds(), nil
}
