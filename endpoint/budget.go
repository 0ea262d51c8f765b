package endpoint

import (
	"math"
	"time"
)

// retryBudget holds exponentially decaying counts of started attempts and of the retries among them.
type retryBudget struct {
	updatedAt time.Duration
	attempts  float64
	retries   float64
}

// decay lowers the counts for the time since the last update; window is the time constant.
func (b *retryBudget) decay(now, window time.Duration) {
	if now <= b.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-b.updatedAt) / float64(window))
	b.attempts *= factor
	b.retries *= factor
	b.updatedAt = now
}

func (b *retryBudget) countAttempt(now, window time.Duration) {
	b.decay(now, window)
	b.attempts++
}

// AllowRetry reports whether the retry budget allows another retry, and counts the retry if so.
func (v *View) AllowRetry(now time.Duration) bool {
	b, s := &v.retryBudget, &v.settings
	b.decay(now, s.RetryWindow)
	firstAttempts := max(b.attempts-b.retries, 0)
	if b.retries+1 > s.RetryShare*firstAttempts+s.RetryFloor {
		return false
	}
	b.retries++
	return true
}
