package lwspeculation_test

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwspeculation"
	"lavenderweir.example/lavenderweir/internal/control/lwspeed"
)

// worker returns the estimate of a worker that has run 20 tasks in so many times the
// expected time.
func worker(slowness float64) lwspeed.Estimate {
	var w lwspeed.Worker
	ratio := lwspeed.LogRatioOf(time.Duration(slowness*float64(time.Second)), time.Second)
	for range 20 {
		w.AddRun(0, lwspeed.Sample{Ratio: ratio, Weight: 1, Lengths: &lwspeed.Lengths{}})
	}
	return w.Estimate(0, nil)
}

// run returns a run of a task that is expected to take a second on a typical worker.
func run(age time.Duration, on lwspeed.Estimate) lwspeculation.Run {
	return lwspeculation.Run{Age: age, Expected: time.Second, Worker: on, Lengths: &lwspeed.Lengths{}}
}

// atPercent returns a run that has done a part of its work.
func atPercent(percent int, age time.Duration, on lwspeed.Estimate) lwspeculation.Run {
	r := run(age, on)
	r.Percent, r.Total = percent, age*100/time.Duration(percent)
	return r
}

func expectCopy(t *testing.T, r lwspeculation.Run, busy float64, want bool) {
	t.Helper()
	gain, use := r.Forecast().Copy(1)
	if got := lwspeculation.CopyPays(gain, use, busy); got != want {
		t.Errorf("a copy pays: %v, want %v; it saves %v and uses %v, the run ends in %v", got, want, gain, use, r.Forecast().Left())
	}
}

func TestCopyPays(t *testing.T) {
	typical, slow, hung := worker(1), worker(4), worker(12)
	t.Run("not for a long task on a typical worker, whose progress shows that it is long", func(t *testing.T) {
		expectCopy(t, atPercent(30, 2100*time.Millisecond, typical), 0, false)
	})
	t.Run("nor if only its age shows that it is long", func(t *testing.T) {
		for _, age := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
			expectCopy(t, run(age, typical), 0, false)
		}
	})
	t.Run("nor for a run that soon ends, even on a slow worker", func(t *testing.T) {
		expectCopy(t, atPercent(80, 3200*time.Millisecond, slow), 0, false)
	})
	t.Run("but for a run that has just begun on a slow worker", func(t *testing.T) {
		expectCopy(t, atPercent(15, 600*time.Millisecond, slow), 0, true)
		expectCopy(t, atPercent(15, 600*time.Millisecond, slow), 1, true)
	})
	t.Run("and for one whose age alone is known, on a worker that hangs", func(t *testing.T) {
		expectCopy(t, run(2*time.Second, hung), 0.5, true)
	})
	t.Run("a small gain pays where capacity is idle only", func(t *testing.T) {
		r := atPercent(60, 2400*time.Millisecond, slow)
		expectCopy(t, r, 0.1, true)
		expectCopy(t, r, 1, false)
	})
	t.Run("a run that stands still on a worker that was typical", func(t *testing.T) {
		r := atPercent(50, 500*time.Millisecond, typical)
		r.Stalled, r.Since = 2*time.Second, 2*time.Second
		expectCopy(t, r, 0.5, true)
	})
	t.Run("a run that never made progress", func(t *testing.T) {
		r := run(2*time.Second, typical)
		r.Stalled = 2 * time.Second
		expectCopy(t, r, 0.5, true)
	})
	t.Run("a run older than any is expected to get", func(t *testing.T) {
		expectCopy(t, run(time.Hour, typical), 0.5, true)
	})
}

func TestRestartPays(t *testing.T) {
	const loss = 400 * time.Millisecond
	expect := func(t *testing.T, r lwspeculation.Run, loss time.Duration, want bool) {
		t.Helper()
		if f := r.Forecast(); lwspeculation.RestartPays(f, 1, loss) != want {
			t.Errorf("a restart pays: %v, want %v; the run ends in %v, another takes %v", !want, want, f.Left(), f.Again())
		}
	}
	resumable := func(percent int, age time.Duration, on lwspeed.Estimate) lwspeculation.Run {
		r := atPercent(percent, age, on)
		r.Resumes = loss
		return r
	}
	t.Run("half way on a slow worker", func(t *testing.T) { expect(t, resumable(50, 2*time.Second, worker(4)), loss, true) })
	t.Run("not if the loss is not known", func(t *testing.T) { expect(t, resumable(50, 2*time.Second, worker(4)), 0, false) })
	t.Run("nor near the end", func(t *testing.T) { expect(t, resumable(85, 3400*time.Millisecond, worker(4)), loss, false) })
	t.Run("nor for a long task on a typical worker", func(t *testing.T) { expect(t, resumable(30, 2*time.Second, worker(1)), loss, false) })
	t.Run("nor if its work would be lost", func(t *testing.T) { expect(t, atPercent(75, 3*time.Second, worker(4)), loss, false) })
}

func TestWeakerOfTwoRuns(t *testing.T) {
	early, late := atPercent(50, 500*time.Millisecond, worker(1)).Forecast(), atPercent(20, 800*time.Millisecond, worker(4)).Forecast()
	for _, x := range []struct {
		first, second lwspeculation.Forecast
		want          lwspeculation.Decision
	}{{late, early, lwspeculation.StopFirst}, {early, late, lwspeculation.StopSecond}, {early, early, lwspeculation.KeepBoth}} {
		if got := lwspeculation.Weaker(x.first, x.second); got != x.want {
			t.Errorf("decision %d for runs that end in %v and %v, want %d", got, x.first.Left(), x.second.Left(), x.want)
		}
	}
}

func TestBothRunsMayFailWithinTheLimit(t *testing.T) {
	for _, x := range []struct {
		failed, limit int
		want          bool
	}{{0, 1, false}, {0, 2, true}, {1, 2, false}, {1, 3, true}} {
		if got := lwspeculation.AttemptsAllow(x.failed, x.limit); got != x.want {
			t.Errorf("%d failed of %d: a copy may start: %v, want %v", x.failed, x.limit, got, x.want)
		}
	}
}
