package lwclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
)

// The clock follows the runtime's, which tests advance; without a suspension it
// adds nothing.
func TestClockFollowsTheRuntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := lwclock.New()
		time.Sleep(90 * time.Minute)
		if got := c.Now(); got < 90*time.Minute || got > 90*time.Minute+time.Second {
			t.Errorf("%s passed, want 1h30m", got)
		}
	})
}
