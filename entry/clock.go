package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns a monotonic time that, unlike that of package time, advances while the machine is suspended. Leases
// and loans rely on that.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("entry: unable to read the clock: " + err.Error()) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}

const (
	// maxClockDrift is the maximum relative drift between the clocks of the host and the store.
	maxClockDrift = 0.02
	// clockResetStep is how far the store's clock must go back to count as reset. It is longer than any response can be
	// delayed.
	clockResetStep = time.Minute
)

// storeClock converts times of the store's clock to the host's clock. Responses may be delayed for long, so the offset
// comes from the fastest response.
type storeClock struct {
	offset    time.Duration // host's clock minus the store's clock, the smallest that any response showed
	lastClock time.Duration // the store's clock in the last response; 0 before the first
	offsetAt  time.Duration // time at which offset was last updated, by the host's clock
}

// observe records the store's clock in a response that arrived now. It takes the smaller of this response's offset and
// the previous offset plus the possible drift since then, or this response's offset if the store's clock was reset.
func (c *storeClock) observe(now, clock time.Duration) {
	offset, estimate := now-clock, c.offset+time.Duration(maxClockDrift*float64(now-c.offsetAt))
	if c.lastClock == 0 || clock < c.lastClock-clockResetStep || offset < estimate {
		estimate = offset
	}
	c.offset, c.offsetAt, c.lastClock = estimate, now, clock
}

// localTime converts a time on the store's clock to the host's clock. It returns false while the store's clock is
// unknown.
func (c *storeClock) localTime(clock time.Duration) (time.Duration, bool) {
	return clock + c.offset, clock > 0 && c.lastClock > 0
}
