package lwlease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwlease"
)

var (
	first  = lwlease.Holder{Worker: "w", Registration: 1}
	second = lwlease.Holder{Worker: "w", Registration: 2}
)

func ended(l *lwlease.Tracker, h lwlease.Holder, now time.Duration) bool {
	return len(l.Ended([]lwlease.Holder{h}, now)) == 1
}

func renews(l *lwlease.Tracker, h lwlease.Holder, now time.Duration) bool {
	_, ok := l.Renew(h, now)
	return ok
}

func TestLease(t *testing.T) {
	cfg := lwlease.DefaultConfig()
	t.Run("ends only after lease, rate bound and stop time", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg)
		is.True(renews(l, first, time.Second))
		is.True(!ended(l, first, time.Second+cfg.End()))
		is.True(ended(l, first, time.Second+cfg.End()+1))
	})
	t.Run("a new leader waits for what its predecessor granted", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg)
		is.True(!ended(l, first, time.Hour))
		is.True(!ended(l, first, time.Hour+cfg.End()))
		is.True(ended(l, first, time.Hour+cfg.End()+1))
	})
	t.Run("one given up is not renewed before it registers again", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg)
		is.True(renews(l, first, 0))
		is.True(ended(l, first, time.Hour))
		is.True(!renews(l, first, time.Hour))
		is.True(renews(l, second, time.Hour))
		is.True(!renews(l, first, time.Hour))
	})
	t.Run("giving up a former registration goes on; the new one is not touched", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg)
		is.True(renews(l, first, 0))
		is.True(ended(l, first, time.Hour))
		is.True(!ended(l, second, time.Hour)) // seen just now
		is.True(!ended(l, first, time.Hour+1))
		is.True(renews(l, second, time.Hour+2))
	})
}
