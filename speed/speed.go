// Package speed estimates how fast endpoints are from what all hosts have measured.
//
// A host measures the time to first token of its requests and computes what it would have been at the assumed speed. One host
// of many measures too little to tell a slow engine from a few slow responses, so the hosts' sums are added up in one ledger.
// The package performs no I/O and has neither a clock nor locks.
package speed

import (
	"math"
	"time"
)

const (
	// window is the time constant with which samples lose their weight. Engines slow down and recover within seconds.
	window = 6 * time.Second
	// priorWork is the weight of the assumed speed against the samples, as expected time. It is that of a few prompts, so that
	// single slow responses do not move the estimate far.
	priorWork = 300 * time.Millisecond
	// minSlowness and maxSlowness bound the estimates.
	minSlowness = 0.2
	maxSlowness = 20.0
	// maxSampleRatio bounds one measurement as a multiple of its expected time, so that a stalled response does not outweigh
	// all others.
	maxSampleRatio = 12.0
	// maxSampleWork bounds the expected time of the samples that a host reports at once, so that a faulty host does not outweigh all
	// others. Hosts report several times a second, and the longest prompts of an engine that is not overloaded take below a second.
	maxSampleWork = 3 * time.Second
	// minWork is the expected weight of the samples below which an endpoint is forgotten.
	minWork = 2 * time.Millisecond
)

// Sample is a sum of measurements.
type Sample struct {
	Measured time.Duration // time that the prompts took
	Expected time.Duration // time that they would have taken at slowness 1
}

// IsZero reports whether the sum is empty.
func (s Sample) IsZero() bool { return s == Sample{} }

// With returns the sum with one more measurement. It leaves out one that expects no time.
func (s Sample) With(measured, expected time.Duration) Sample {
	if expected <= 0 {
		return s
	}
	s.Measured += min(max(measured, 0), time.Duration(maxSampleRatio*float64(expected)))
	s.Expected += expected
	return s
}

// bounded returns the sum with at most maxSampleWork of expected time. It is empty if the sum is no result of With.
func (s Sample) bounded() Sample {
	if s.Measured < 0 || s.Expected <= 0 {
		return Sample{}
	}
	ratio := min(float64(s.Measured)/float64(s.Expected), maxSampleRatio)
	expected := min(s.Expected, maxSampleWork)
	return Sample{Measured: time.Duration(ratio * float64(expected)), Expected: expected}
}

// Ledger holds decaying sums of the samples of all hosts by endpoint. It is not safe for concurrent use.
type Ledger struct {
	endpoints map[string]*sum
}

// sum is the decaying sum of an endpoint's samples.
type sum struct {
	at                 time.Duration
	measured, expected float64 // seconds
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{endpoints: map[string]*sum{}} }

// Add adds a host's samples of an endpoint.
func (l *Ledger) Add(now time.Duration, endpoint string, s Sample) {
	if s = s.bounded(); s.IsZero() {
		return
	}
	e := l.endpoints[endpoint]
	if e == nil {
		e = &sum{at: now}
		l.endpoints[endpoint] = e
	}
	e.decay(now)
	e.measured += s.Measured.Seconds()
	e.expected += s.Expected.Seconds()
}

// Slowness returns the estimate for an endpoint: the measured time as a multiple of the expected time. It is 0 for an endpoint
// without samples.
func (l *Ledger) Slowness(now time.Duration, endpoint string) float64 {
	e := l.endpoints[endpoint]
	if e == nil {
		return 0
	}
	e.decay(now)
	if e.expected < minWork.Seconds() {
		delete(l.endpoints, endpoint)
		return 0
	}
	prior := priorWork.Seconds()
	return min(max((e.measured+prior)/(e.expected+prior), minSlowness), maxSlowness)
}

// Endpoints calls yield with each endpoint that has samples, in no order.
func (l *Ledger) Endpoints(yield func(endpoint string) bool) {
	for endpoint := range l.endpoints {
		if !yield(endpoint) {
			return
		}
	}
}

func (e *sum) decay(now time.Duration) {
	if now <= e.at {
		return
	}
	kept := math.Exp(-float64(now-e.at) / float64(window))
	e.measured *= kept
	e.expected *= kept
	e.at = now
}
