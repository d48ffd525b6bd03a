// Package cfclock provides a monotonic clock that continues while the machine is suspended.
// Use it for periods that other machines rely on, such as leases.
package cfclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that also counts the time for which the machine is suspended.
type BootClock interface {
	// Now returns the time since the machine booted.
	Now() time.Duration
}

// System is the boot clock of this machine (CLOCK_BOOTTIME).
type System struct{}

// Now implements BootClock.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux version that Go supports has this clock. Without the clock, the process
		// must not extend leases, so it must not continue.
		panic(err)
	}
	return time.Duration(t.Nano())
}
