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

func expired(tracker *lwlease.Tracker, h lwlease.Holder, now time.Duration) bool {
	return len(tracker.Expired([]lwlease.Holder{h}, now)) == 1
}

func renews(tracker *lwlease.Tracker, h lwlease.Holder, now time.Duration) bool {
	_, ok := tracker.Renew(h, now)
	return ok
}

func TestLease(t *testing.T) {
	cfg := lwlease.DefaultConfig()
	t.Run("expires only after lease, clock rate bound and stop time", func(t *testing.T) {
		is := is.New(t)
		tracker := lwlease.NewTracker(cfg)
		is.True(renews(tracker, first, time.Second))
		is.True(!expired(tracker, first, time.Second+cfg.ExpiryDelay()))
		is.True(expired(tracker, first, time.Second+cfg.ExpiryDelay()+1))
	})
	t.Run("a new leader waits until leases of its predecessor have expired", func(t *testing.T) {
		is := is.New(t)
		tracker := lwlease.NewTracker(cfg)
		is.True(!expired(tracker, first, time.Hour))
		is.True(!expired(tracker, first, time.Hour+cfg.ExpiryDelay()))
		is.True(expired(tracker, first, time.Hour+cfg.ExpiryDelay()+1))
	})
	t.Run("an expired registration is not renewed; a new one is", func(t *testing.T) {
		is := is.New(t)
		tracker := lwlease.NewTracker(cfg)
		is.True(renews(tracker, first, 0))
		is.True(expired(tracker, first, time.Hour))
		is.True(!renews(tracker, first, time.Hour))
		is.True(renews(tracker, second, time.Hour))
		is.True(!renews(tracker, first, time.Hour))
	})
	t.Run("the expiry of a former registration does not affect a new one", func(t *testing.T) {
		is := is.New(t)
		tracker := lwlease.NewTracker(cfg)
		is.True(renews(tracker, first, 0))
		is.True(expired(tracker, first, time.Hour))
		is.True(!expired(tracker, second, time.Hour)) // known only since now
		is.True(!expired(tracker, first, time.Hour+1))
		is.True(renews(tracker, second, time.Hour+2))
	})
}
