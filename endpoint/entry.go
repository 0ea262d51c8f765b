package endpoint

import "time"

const (
	// historySize samples at historyInterval cover 3.2 s, more than the age at which a report no longer counts. They tell how
	// many of the calls in a report are this host's own.
	historySize     = 16
	historyInterval = 200 * time.Millisecond
)

// callSample is the number of this host's calls in flight from a time on.
type callSample struct {
	at    time.Duration
	calls int
}

// entry is an endpoint with what this host counts and knows of it.
type entry struct {
	Endpoint
	hash        uint64
	domainIndex int32
	removed     bool // no longer in the pools table; kept while calls are in flight
	leaving     bool
	modelsKnown bool // the endpoint has reported its resident models
	resident    []ResidentModel
	groupKeys   []groupKey

	ownCalls  int   // this host's calls in flight
	ownTokens int64 // upper bound of the tokens of these calls

	otherCalls    float64 // calls of other hosts, running and waiting, by the last load report
	reportTakenAt time.Duration
	hasReport     bool // at least one load report was received
	history       [historySize]callSample
	newest        int

	failures     int // consecutive failed attempts
	ejected      bool
	probing      bool          // an attempt on the ejected endpoint is in flight
	ejectionTime time.Duration // length of the last ejection
	ejectedUntil time.Duration // time from which the ejected endpoint may get one attempt as a probe
}

// recordOwnCalls adds the number of own calls in flight to the history.
func (e *entry) recordOwnCalls(now time.Duration) {
	if now-e.history[e.newest].at >= historyInterval {
		e.newest = (e.newest + 1) % historySize
		e.history[e.newest].at = now
	}
	e.history[e.newest].calls = e.ownCalls
}

// ownCallsAt returns the own calls in flight at a past time, to the precision of historyInterval.
func (e *entry) ownCallsAt(at time.Duration) int {
	for n := range historySize {
		s := e.history[(e.newest-n+historySize)%historySize]
		if s.at <= at {
			return s.calls
		}
	}
	return e.history[(e.newest+1)%historySize].calls
}

// otherCallsAt estimates the calls of other hosts from the last load report, whose weight falls linearly to 0 at maxAge.
func (e *entry) otherCallsAt(now, maxAge time.Duration) float64 {
	age := now - e.reportTakenAt
	if !e.hasReport || age >= maxAge {
		return 0
	}
	if age <= 0 {
		return e.otherCalls
	}
	return e.otherCalls * (1 - float64(age)/float64(maxAge))
}
