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

const (
	// clockDrift is by how much the clocks of a host and of the store may drift apart.
	clockDrift = 0.02
	// clockStep is the step back of the store's clock that shows a new clock; answers are never as late.
	clockStep = time.Minute
)

// storeClock relates the store's clock to the host's. Answers may have been on their way for long, so that the one that
// was the quickest counts.
type storeClock struct {
	offset time.Duration // of the host's clock from the store's, as small as any answer showed
	newest time.Duration // store's clock at the newest answer; 0 before the first one
	dated  time.Duration // when offset was determined
}

// take takes the store's clock at an answer that arrived now.
func (c *storeClock) take(now, clock time.Duration) {
	offset, allowed := now-clock, c.offset+time.Duration(clockDrift*float64(now-c.dated))
	if c.newest == 0 || clock < c.newest-clockStep || offset < allowed {
		allowed = offset
	}
	c.offset, c.dated, c.newest = allowed, now, clock
}

// local returns the host's time of a time on the store's clock, and false while the store's clock is not known.
func (c *storeClock) local(clock time.Duration) (time.Duration, bool) {
	return clock + c.offset, clock > 0 && c.newest > 0
}
