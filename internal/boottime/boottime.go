// Package boottime reads a clock that goes on while the host is suspended. The monotonic
// clock of package time stands still then, so it can't bound how old something is.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed moment. It never goes back.
type Clock func() time.Duration

// Now is the Clock of the system, CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// It fails only for an invalid clock or address.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
