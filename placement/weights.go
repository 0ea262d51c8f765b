package placement

import "time"

// weights bounds the model loads that are issued, by a token bucket of one second.
type weights struct {
	at     time.Duration
	tokens float64
}

func (w *weights) refill(now time.Duration, rate float64) {
	if now > w.at {
		w.tokens = min(w.tokens+rate*(now-w.at).Seconds(), max(rate, 1))
		w.at = now
	}
}
