package lwnode

import (
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwsetting"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// An agent that is cut off may start tasks until its lease ends, which must be within the
// bound of an evacuation.
func TestLeaseEndsWithinBoundOfEvacuation(t *testing.T) {
	for bound, want := range map[time.Duration]time.Duration{0: 4 * time.Second, 5 * time.Second: 4 * time.Second, 2 * time.Second: 1600 * time.Millisecond} {
		h := &lwsetting.Hosted{Bounds: lwsetting.HostedBounds{MaxLease: lwunit.Duration(10 * time.Second), Evacuation: lwunit.Duration(bound), ColdOverage: 1.5, ColdSlack: 5}}
		cfg := dispatchConfig(h)
		if cfg.Lease != want {
			t.Errorf("with a bound of %s the lease is %s, want %s", bound, cfg.Lease, want)
		}
		if cfg.MaxWorkerLease != 10*time.Second {
			t.Errorf("the longest lease of a worker is %s, want the bound", cfg.MaxWorkerLease)
		}
		if cfg.ColdOverage != 1.5 || cfg.ColdSlack != 5 {
			t.Errorf("the bounds of cold workers are %v and %d", cfg.ColdOverage, cfg.ColdSlack)
		}
	}
}
