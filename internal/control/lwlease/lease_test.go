package lwlease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
)

var workers = []lwunit.WorkerID{"w"}

func TestLease(t *testing.T) {
	cfg := lwlease.DefaultConfig()
	t.Run("ends only after lease, rate bound and stop time", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg, 0)
		_, ok := l.Renew("w", time.Second)
		is.True(ok)
		is.Equal(len(l.Ended(workers, time.Second+cfg.End())), 0)
		is.Equal(l.Ended(workers, time.Second+cfg.End()+1), workers)
	})
	t.Run("a new leader waits for what its predecessor granted", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg, time.Hour)
		is.Equal(len(l.Ended(workers, time.Hour+cfg.End())), 0)
		is.Equal(len(l.Ended(workers, time.Hour+cfg.End()+1)), 1)
	})
	t.Run("one given up is not renewed before it registers", func(t *testing.T) {
		is := is.New(t)
		l := lwlease.NewTracker(cfg, 0)
		l.Ended(workers, time.Hour)
		_, ok := l.Renew("w", time.Hour)
		is.True(!ok)
		l.Registered("w", time.Hour)
		_, ok = l.Renew("w", time.Hour)
		is.True(ok)
	})
}
