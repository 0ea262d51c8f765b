package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns a monotonic time that goes on while the machine is suspended, unlike that of package time.
// Leases and loans rely on it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("entry: unable to read the clock: " + err.Error()) // the clock exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
