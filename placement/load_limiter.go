package placement

import "time"

// loadLimiter limits the rate of model loads by a token bucket that holds one second's tokens, at least one.
type loadLimiter struct {
	refilledAt time.Duration
	tokens     float64
}

// refill adds the tokens since the last refill at a rate in tokens per second.
func (l *loadLimiter) refill(now time.Duration, rate float64) {
	if now > l.refilledAt {
		l.tokens = min(l.tokens+rate*(now-l.refilledAt).Seconds(), max(rate, 1))
		l.refilledAt = now
	}
}
