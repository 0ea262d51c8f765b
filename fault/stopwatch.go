package fault

import "time"

// Stopwatch measures the age of something on the monotonic clock.
type Stopwatch struct {
	start time.Time
}

// Start sets the age to zero.
func (s *Stopwatch) Start() { s.start = time.Now() }

// Below tells whether it was started and the age is below the limit.
func (s *Stopwatch) Below(limit time.Duration) bool {
	return !s.start.IsZero() && time.Since(s.start) < limit
}
