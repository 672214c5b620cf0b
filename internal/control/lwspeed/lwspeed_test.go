package lwspeed_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwspeed"
)

// heavyTail returns the length of a random task: 3 in 100 take 7 times as long, and
// declared times are off by half.
func heavyTail(r *rand.Rand) lwspeed.LogRatio {
	x := 0.4 * r.NormFloat64()
	if r.IntN(100) < 3 {
		x += math.Log(7)
	}
	return lwspeed.LogRatio(x)
}

func learned(r *rand.Rand) *lwspeed.Lengths {
	l := &lwspeed.Lengths{}
	for range 1000 {
		l.Add(heavyTail(r))
	}
	return l
}

// observe lets a worker of some slowness end runs every 250 ms, and returns its slowness
// as estimated after each.
func observe(w *lwspeed.Worker, l *lwspeed.Lengths, r *rand.Rand, from time.Duration, factor float64, runs int) []float64 {
	var list []float64
	for i := range runs {
		now := from + time.Duration(i)*250*time.Millisecond
		w.AddRun(now, lwspeed.Sample{Ratio: heavyTail(r) + lwspeed.LogRatio(math.Log(factor)), Weight: 1, Lengths: l})
		list = append(list, w.Estimate(now, nil).Slowness())
	}
	return list
}

func expectBetween(t *testing.T, what string, got, least, most float64) {
	t.Helper()
	if got < least || got > most || math.IsNaN(got) {
		t.Errorf("%s is %.3f, want %.3f to %.3f", what, got, least, most)
	}
}

func TestSlowWorkersAreToldFromLongTasks(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	l := learned(r)
	t.Run("one task that takes 7 times as long is a long task", func(t *testing.T) {
		var w lwspeed.Worker
		w.AddRun(0, lwspeed.Sample{Ratio: lwspeed.LogRatioOf(7*time.Second, time.Second), Weight: 1, Lengths: l})
		expectBetween(t, "the slowness", w.Estimate(0, nil).Slowness(), 0.9, 1.5)
	})
	t.Run("three such tasks show a slow worker", func(t *testing.T) {
		var w lwspeed.Worker
		for range 3 {
			w.AddRun(0, lwspeed.Sample{Ratio: lwspeed.LogRatioOf(7*time.Second, time.Second), Weight: 1, Lengths: l})
		}
		expectBetween(t, "the slowness", w.Estimate(0, nil).Slowness(), 4, 9)
	})
	t.Run("tasks that resemble each other count as one", func(t *testing.T) {
		var w lwspeed.Worker
		for i := range 3 {
			w.AddRun(0, lwspeed.Sample{Ratio: lwspeed.LogRatioOf(2*time.Second, time.Second), Weight: 1 / float64(i+1), Lengths: l})
		}
		expectBetween(t, "the slowness", w.Estimate(0, nil).Slowness(), 0.9, 1.5)
	})
	t.Run("heavy-tailed run times make no typical worker slow", func(t *testing.T) {
		wrong := 0
		for range 75 {
			var w lwspeed.Worker
			for _, x := range observe(&w, l, r, 0, 1, 200) {
				if x > 2 {
					wrong++
				}
			}
		}
		expectBetween(t, "the part of wrong estimates", float64(wrong)/(75*200), 0, 0.002)
	})
	t.Run("a worker that is 4 times as slow is known within 8 runs", func(t *testing.T) {
		missed := 0
		for range 100 {
			var w lwspeed.Worker
			if observe(&w, l, r, 0, 4, 8)[7] < 2 {
				missed++
			}
		}
		expectBetween(t, "of 100 slow workers the number not known", float64(missed), 0, 2)
	})
}

func TestSpeedsReturnToTypical(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	l := learned(r)
	t.Run("without runs", func(t *testing.T) {
		var w lwspeed.Worker
		observe(&w, l, r, 0, 4, 40)
		expectBetween(t, "the slowness at first", w.Estimate(10*time.Second, nil).Slowness(), 3, 5)
		expectBetween(t, "the slowness after two minutes", w.Estimate(130*time.Second, nil).Slowness(), 0.9, 1.2)
	})
	t.Run("with runs of typical lengths", func(t *testing.T) {
		var w lwspeed.Worker
		observe(&w, l, r, 0, 4, 40)
		expectBetween(t, "the slowness after 6 runs", observe(&w, l, r, 10*time.Second, 1, 6)[5], 0.8, 1.5)
	})
}

func TestHungWorkers(t *testing.T) {
	l := &lwspeed.Lengths{}
	stalled := func(n int) []lwspeed.Sample {
		return slices.Repeat([]lwspeed.Sample{{Running: true, Stalled: true, Weight: 1, Lengths: l}}, n)
	}
	t.Run("runs that stand still show that a worker hangs", func(t *testing.T) {
		var w lwspeed.Worker
		if !w.Estimate(0, stalled(3)).Hung() {
			t.Error("the worker is not known to hang")
		}
	})
	t.Run("but one of them does not", func(t *testing.T) {
		var w lwspeed.Worker
		if w.Estimate(0, stalled(1)).Hung() {
			t.Error("the worker is said to hang")
		}
	})
	t.Run("so do runs without progress reports that do not end", func(t *testing.T) {
		var w lwspeed.Worker
		x := lwspeed.Sample{Ratio: 3, Running: true, AtLeast: true, Weight: 1, Lengths: l}
		if !w.Estimate(0, slices.Repeat([]lwspeed.Sample{x}, 8)).Hung() {
			t.Error("the worker is not known to hang")
		}
	})
	t.Run("long tasks, which are many of those that run at a time, do not", func(t *testing.T) {
		var w lwspeed.Worker
		observe(&w, l, rand.New(rand.NewPCG(5, 6)), 0, 1, 40)
		x := lwspeed.Sample{Ratio: lwspeed.LogRatioOf(7*time.Second, time.Second), Running: true, Weight: 1, Lengths: l}
		expectBetween(t, "the slowness", w.Estimate(10*time.Second, slices.Repeat([]lwspeed.Sample{x}, 2)).Slowness(), 0.9, 1.5)
	})
	t.Run("runs that have not ended are not kept", func(t *testing.T) {
		var w lwspeed.Worker
		w.Estimate(0, stalled(4))
		expectBetween(t, "the slowness", w.Estimate(0, nil).Slowness(), 0.9, 1.2)
	})
}

func TestFailureRates(t *testing.T) {
	outcomes := func(w *lwspeed.Worker, failed bool, n int) lwspeed.Estimate {
		for range n {
			w.AddOutcome(0, failed, 1)
		}
		return w.Estimate(0, nil)
	}
	expect := func(t *testing.T, e lwspeed.Estimate, unfit, fit bool) {
		t.Helper()
		if e.Unfit() != unfit || e.Fit() != fit {
			t.Errorf("unfit %v and fit %v at a failure rate of %.2f, want %v and %v", e.Unfit(), e.Fit(), e.FailureRate, unfit, fit)
		}
	}
	t.Run("two failures do not make a worker unfit, three of different jobs do", func(t *testing.T) {
		var w lwspeed.Worker
		expect(t, outcomes(&w, true, 2), false, false)
		expect(t, outcomes(&w, true, 1), true, false)
	})
	t.Run("a worker that was good for long is found out after five failures", func(t *testing.T) {
		var w lwspeed.Worker
		expect(t, outcomes(&w, false, 500), false, true)
		expect(t, outcomes(&w, true, 5), true, false)
	})
	t.Run("it is taken back after a few good runs", func(t *testing.T) {
		var w lwspeed.Worker
		outcomes(&w, true, 10)
		expect(t, outcomes(&w, false, 1), false, false)
		expect(t, outcomes(&w, false, 2), false, true)
	})
	t.Run("a failure that the job explains hardly counts", func(t *testing.T) {
		var w lwspeed.Worker
		for range 5 {
			w.AddOutcome(0, true, 0.1)
		}
		expect(t, w.Estimate(0, nil), false, true)
	})
}

func TestProgress(t *testing.T) {
	const expected = time.Second
	report := func(p *lwspeed.Progress, from, to time.Duration, percentPerSecond int) {
		for at := from; at <= to; at += 500 * time.Millisecond {
			p.Report(at, int(at.Seconds()*float64(percentPerSecond)))
		}
	}
	expectTotal := func(t *testing.T, p *lwspeed.Progress, now, total time.Duration) {
		t.Helper()
		if got, _ := p.Speed(now); got != total {
			t.Errorf("the total is %v, want %v", got, total)
		}
	}
	t.Run("a long task that makes progress ends at a known time", func(t *testing.T) {
		var p lwspeed.Progress
		p.Begin(0, 0)
		report(&p, 0, 3*time.Second, 10)
		expectTotal(t, &p, 3*time.Second, 10*time.Second)
	})
	t.Run("a run that makes none any more has stalled", func(t *testing.T) {
		var p lwspeed.Progress
		p.Begin(0, 0)
		report(&p, 0, 2*time.Second, 10)
		p.Report(5*time.Second, 20)
		if p.StalledFor(5*time.Second, expected) != 3*time.Second {
			t.Error("it is not known to have stalled for 3 s")
		}
	})
	t.Run("a resumed run is measured by its own progress", func(t *testing.T) {
		var p lwspeed.Progress
		p.Report(time.Second, 50)
		p.Report(2*time.Second, 60)
		expectTotal(t, &p, 2*time.Second, 10*time.Second)
	})
	t.Run("a run without progress stalls only after the time that its tail explains", func(t *testing.T) {
		var p lwspeed.Progress
		p.Begin(0, 0)
		expectTotal(t, &p, time.Second, 0)
		if p.StalledFor(1500*time.Millisecond, expected) != 0 || p.StalledFor(2*time.Second, expected) == 0 {
			t.Error("a run stalls before 1.5 s or not within 2 s")
		}
	})
}
