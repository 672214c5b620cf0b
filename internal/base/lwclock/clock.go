// Package lwclock measures elapsed time including time for which the machine
// was suspended. The monotonic clock of the Go runtime stops during a
// suspension: with it alone, a resumed process would keep relying on a lease
// that has expired.
package lwclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation.
type Clock struct {
	start            time.Time
	suspendedAtStart time.Duration // since boot
}

// New returns a clock that starts now.
func New() Clock { return Clock{time.Now(), suspendedSinceBoot()} }

// Now returns the time since the clock was created, suspensions included.
func (c Clock) Now() time.Duration {
	return time.Since(c.start) + max(0, suspendedSinceBoot()-c.suspendedAtStart)
}

// suspendedSinceBoot returns for how long the machine has been suspended since
// it booted. It returns zero for less than maxReadDelay, or if the kernel does
// not provide both clocks.
func suspendedSinceBoot() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	d := time.Duration(boot.Nano() - monotonic.Nano())
	if d < maxReadDelay {
		return 0 // may be the time between the two reads
	}
	return d
}

// maxReadDelay bounds the time between reading one clock and the next.
const maxReadDelay = 20 * time.Millisecond
