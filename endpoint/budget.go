package endpoint

import (
	"math"
	"time"
)

// budget holds decaying counts of started attempts and of the retries among them.
type budget struct {
	at      time.Duration
	started float64
	retries float64
}

func (b *budget) decay(now, window time.Duration) {
	if now <= b.at {
		return
	}
	factor := math.Exp(-float64(now-b.at) / float64(window))
	b.started *= factor
	b.retries *= factor
	b.at = now
}

func (b *budget) start(now, window time.Duration) {
	b.decay(now, window)
	b.started++
}

// AllowRetry reports whether the budget allows another retry and counts it if so.
func (v *View) AllowRetry(now time.Duration) bool {
	b, s := &v.budget, &v.settings
	b.decay(now, s.RetryWindow)
	first := max(b.started-b.retries, 0)
	if b.retries+1 > s.RetryShare*first+s.RetryFloor {
		return false
	}
	b.retries++
	return true
}
