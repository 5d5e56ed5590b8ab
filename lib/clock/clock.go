// Package clock provides a clock that keeps running while the machine is suspended.
//
// Go's monotonic clock stops during a suspension, so that an instance suspended
// for seconds would treat outdated information as fresh. This package reads
// CLOCK_BOOTTIME instead. Its times carry no monotonic reading and may be compared
// only with each other.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, as a time.Time.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
