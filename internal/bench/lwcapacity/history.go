package lwcapacity

import (
	"fmt"
	"runtime"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

const (
	weekOfJobs  = 7 * 14000
	tasksPerJob = 5
	jobsAnHour  = 14000 / 24
)

// HistorySample is the cost of a week of finished jobs.
type HistorySample struct {
	Jobs       int           `json:"jobs"`
	StateBytes int64         `json:"state_bytes"` // live heap
	Snapshot   int           `json:"snapshot"`    // encoded bytes
	SnapshotIn time.Duration `json:"snapshot_ns"`
	RestoreIn  time.Duration `json:"restore_ns"`
}

// MeasureHistory submits and finishes a week of jobs, an hour at a time.
func MeasureHistory() (HistorySample, error) {
	runtime.GC()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	y, err := build(1)
	if err != nil {
		return HistorySample{}, err
	}
	for n := range weekOfJobs {
		id := lwunit.JobID(fmt.Sprintf("done-%06d", n))
		if res := y.submit(id, n, tasksPerJob); res.Err != nil {
			return HistorySample{}, res.Err
		}
		y.apply(lwstate.CancelJob{Job: id})
		if n%jobsAnHour == 0 {
			y.at = y.at.Add(time.Hour)
			y.apply(lwstate.Sweep{})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	out := HistorySample{Jobs: weekOfJobs, StateBytes: int64(m1.HeapAlloc) - int64(m0.HeapAlloc)}
	began := time.Now()
	data, err := y.s.Snapshot()
	if err != nil {
		return out, err
	}
	out.SnapshotIn, out.Snapshot = time.Since(began), len(data)
	began = time.Now()
	_, err = lwstate.Restore(data)
	out.RestoreIn = time.Since(began)
	return out, err
}
