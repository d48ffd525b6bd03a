// Package cfclock reads the clock that goes on while the machine is suspended. What
// another machine's time rests on is measured with it.
package cfclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a steady clock that counts the time of suspensions too.
type Boot interface {
	// Now returns the time since the machine started.
	Now() time.Duration
}

// System is the machine's own clock.
type System struct{}

// Now implements Boot.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock is there on every Linux that Go runs on; without it no lease may be extended.
		panic(err)
	}
	return time.Duration(t.Nano())
}
