package lwcapacity

import (
	"fmt"
	"runtime"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	jobsPerWeek = 7 * 14000 // at 14,000 a day
	tasksPerJob = 5
	jobsPerHour = 14000 / 24
)

// HistorySample is the cost of keeping a week of finished jobs, all cancelled.
type HistorySample struct {
	Jobs          int           `json:"jobs"`        // submitted; the last sweeps remove the first jobs again
	StateBytes    int64         `json:"state_bytes"` // growth of the live heap
	SnapshotBytes int           `json:"snapshot"`
	EncodeTime    time.Duration `json:"snapshot_ns"` // to encode the snapshot
	RestoreTime   time.Duration `json:"restore_ns"`  // to decode and index the snapshot
}

// MeasureHistory submits and cancels the jobs of a week, with a sweep for each hour
// of the replicated clock, and measures the resulting state.
func MeasureHistory() (HistorySample, error) {
	runtime.GC()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	s, err := buildState(1)
	if err != nil {
		return HistorySample{}, err
	}
	for n := range jobsPerWeek {
		id := lwunit.JobID(fmt.Sprintf("done-%06d", n))
		if res := s.submitJob(id, n, tasksPerJob); res.Err != nil {
			return HistorySample{}, res.Err
		}
		s.apply(lwstate.CancelJob{Job: id})
		if n%jobsPerHour == 0 {
			s.at = s.at.Add(time.Hour)
			s.apply(lwstate.Sweep{})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	out := HistorySample{Jobs: jobsPerWeek, StateBytes: int64(m1.HeapAlloc) - int64(m0.HeapAlloc)}
	began := time.Now()
	data, err := s.state.Snapshot()
	if err != nil {
		return out, err
	}
	out.EncodeTime, out.SnapshotBytes = time.Since(began), len(data)
	began = time.Now()
	_, err = lwstate.Restore(data)
	out.RestoreTime = time.Since(began)
	return out, err
}
