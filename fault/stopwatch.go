package fault

import "time"

// Stopwatch measures elapsed time on the monotonic clock.
type Stopwatch struct {
	start time.Time
}

// Start starts the stopwatch, or restarts it from zero.
func (s *Stopwatch) Start() { s.start = time.Now() }

// ElapsedBelow reports whether the stopwatch was started and the elapsed time is below the limit.
func (s *Stopwatch) ElapsedBelow(limit time.Duration) bool {
	return !s.start.IsZero() && time.Since(s.start) < limit
}
