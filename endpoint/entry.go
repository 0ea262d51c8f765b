package endpoint

import "time"

const (
	// historySize samples of historyStep cover a report's life, so that the
	// own work that a report contains can be subtracted from it.
	historySize = 16
	historyStep = 200 * time.Millisecond
)

// sample is the host's own number of calls in flight from a moment on.
type sample struct {
	at    time.Duration
	calls int
}

// entry is an endpoint with the host's counters.
type entry struct {
	Endpoint
	hash     uint64
	domain   int32
	gone     bool // removed from the tables, kept while calls are in flight
	leaving  bool
	reported bool // has reported what it holds
	holding  []Holding
	keys     []key

	calls  int   // own calls in flight
	tokens int64 // own tokens in flight

	others  float64 // calls of other hosts in the last report
	taken   time.Duration
	loaded  bool // a load report was received
	history [historySize]sample
	newest  int

	failures int
	ejected  bool
	probing  bool
	hold     time.Duration
	until    time.Duration
}

// note records the number of calls in flight for later correction of reports.
func (e *entry) note(now time.Duration) {
	if now-e.history[e.newest].at >= historyStep {
		e.newest = (e.newest + 1) % historySize
		e.history[e.newest].at = now
	}
	e.history[e.newest].calls = e.calls
}

// callsAt returns the own calls in flight at a past moment, to the precision of historyStep.
func (e *entry) callsAt(at time.Duration) int {
	for n := range historySize {
		s := e.history[(e.newest-n+historySize)%historySize]
		if s.at <= at {
			return s.calls
		}
	}
	return e.history[(e.newest+1)%historySize].calls
}

// othersAt estimates the calls of other hosts; a report's weight falls with its age to zero.
func (e *entry) othersAt(now, life time.Duration) float64 {
	age := now - e.taken
	if !e.loaded || age >= life {
		return 0
	}
	if age <= 0 {
		return e.others
	}
	return e.others * (1 - float64(age)/float64(life))
}
