package lwclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwclock"
)

// Without a suspension the clock agrees with the runtime's, which synctest
// advances.
func TestClockFollowsRuntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := lwclock.New()
		time.Sleep(90 * time.Minute)
		if got := c.Now(); got < 90*time.Minute || got > 90*time.Minute+time.Second {
			t.Errorf("the clock measured %s for 1h30m on the runtime's clock", got)
		}
	})
}
