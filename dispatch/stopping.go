package dispatch

import (
	"maps"
	"slices"
	"time"
)

// handleHostStopping refuses the requests that no endpoint has received and that may take longer than the host. Their callers have time
// to ask another host.
func (s *State) handleHostStopping(now time.Duration, e HostStopping) {
	s.stopping, s.endsAt = true, e.EndsAt
	for _, number := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[number]; r != nil && r.phase != attemptRunning && s.outlives(r.deadline) {
			s.remove(now, r)
			s.emit(s.newRefusal(r, Stopping, 0))
		}
	}
}

// outlives reports whether a request with a deadline may take longer than the host, which is stopping.
func (s *State) outlives(deadline time.Duration) bool { return s.stopping && deadline > s.endsAt }
