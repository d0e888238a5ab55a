package front

import (
	"golang.org/x/sys/unix"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// bootTime reads the clock that goes on while the machine is suspended, unlike
// the one behind clock.Clock. Holds and tenures run on that time. The origin
// lies before the process; only differences matter.
func bootTime() clock.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock id is valid on every supported kernel.
		panic("front: no boot clock: " + err.Error())
	}
	return clock.Time(ts.Nano() / 1e6)
}
