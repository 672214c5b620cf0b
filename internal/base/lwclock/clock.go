// Package lwclock tells how much time has passed, counting the time for which
// the machine was suspended. The runtime's monotonic clock stands still then,
// so a process that wakes would go on trusting a lease that has ended.
package lwclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures time since it was made.
type Clock struct {
	start     time.Time
	suspended time.Duration // difference of the boot and steady clocks at start
}

// New returns a clock that starts now.
func New() Clock { return Clock{time.Now(), suspension()} }

// Now returns the time since the clock was made. Time spent suspended counts.
func (c Clock) Now() time.Duration {
	return time.Since(c.start) + max(0, suspension()-c.suspended)
}

// suspension returns for how long the machine has been suspended since it
// booted, or zero where the kernel cannot tell.
func suspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	d := time.Duration(boot.Nano() - steady.Nano())
	if d < readJitter {
		return 0 // the two clocks are read one after the other
	}
	return d
}

// readJitter is the difference that reading two clocks in turn can make.
const readJitter = 20 * time.Millisecond
