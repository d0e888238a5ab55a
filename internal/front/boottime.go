package front

import (
	"golang.org/x/sys/unix"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// bootTime returns the time of CLOCK_BOOTTIME. Unlike clock.Clock, it includes
// the time for which the machine was suspended, as leases must. Its origin lies
// before the start of the process, so only differences are meaningful.
func bootTime() clock.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock id is valid on every supported kernel.
		panic("front: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return clock.Time(ts.Nano() / 1e6)
}
