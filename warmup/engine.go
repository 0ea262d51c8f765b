// Package warmup decides how many requests hosts send to cold engines: engines that are slow for some time after their start, and
// that crash if they get many more requests than their service allows. It performs no I/O and has no clock.
package warmup

import "time"

// confirmTime is how long after an assumption that an engine is cold a registration must be received to end it. A registration may
// be received up to seconds after it was written.
const confirmTime = 2 * time.Second

// Engine is what a host knows of the coldness of one engine process. The zero value is not cold.
type Engine struct {
	statedUntil  time.Duration // by the last registration
	assumedUntil time.Duration
	assumedAt    time.Duration // of the last assumption
}

// Register records for how long after its receipt a registration says that the engine is cold; 0 if it does not say so.
func (e *Engine) Register(receivedAt, cold time.Duration) {
	e.statedUntil = receivedAt + cold
	if receivedAt-e.assumedAt >= confirmTime {
		e.assumedUntil = 0
	}
}

// Assume records that the engine may be cold for some time although its last registration does not say so: its process is new, it
// may have been replaced by a process that is not registered yet, or it has said so in a response.
func (e *Engine) Assume(now, duration time.Duration) {
	if duration <= 0 {
		return
	}
	e.assumedAt = now
	e.assumedUntil = max(e.assumedUntil, now+duration)
}

// ColdUntil returns the time until which the engine counts as cold. It is in the past if the engine is not cold.
func (e *Engine) ColdUntil() time.Duration { return max(e.statedUntil, e.assumedUntil) }
