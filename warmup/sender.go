package warmup

import "time"

const (
	// Senders is the number of hosts that may send to one cold engine. Each adds one request to what the engine may get in one
	// second; with two lists of members in use there are up to twice as many senders.
	Senders = 2
	// rateShare is the share of the rate of a cold engine that its senders use together. With two lists of members in use, the engine
	// gets at most 2·(0.75·rate + Senders) = 1.5·rate + 4 requests in one second; the platform allows 1.5·rate + 5.
	rateShare = 0.75
	// settleTime is how long a host has been one of the senders before it sends. Within that time the hosts usually learn of a change
	// of the members, so that the earlier senders have stopped.
	settleTime = 2 * time.Second
)

// Sender says when this host may send requests to one cold engine. The zero value is a host that may not.
type Sender struct {
	count    int           // number of senders; 0 if this host is none
	since    time.Duration // since when this host is one
	lastSent time.Duration
	hasSent  bool
}

// SetChosen records whether this host is one of a number of senders; 0 if it is none. A change of the number keeps the time since
// when the host is one.
func (s *Sender) SetChosen(now time.Duration, count int) {
	if s.count == 0 && count > 0 {
		s.since = now
	}
	s.count = count
}

// NextAt returns the time from which the host may send the next request to an engine that tolerates a rate in requests a second,
// and false if it may send none. A host that starts or becomes a sender waits for as long as between two of its requests, so
// that it adds none to those of its predecessor.
func (s *Sender) NextAt(rate float64) (time.Duration, bool) {
	if s.count == 0 || rate <= 0 {
		return 0, false
	}
	interval := time.Duration(float64(s.count) / (rateShare * rate) * float64(time.Second))
	next := s.since + max(settleTime, interval)
	if s.hasSent {
		next = max(next, s.lastSent+interval)
	}
	return next, true
}

// Take records a request to the engine and reports whether it may be sent now.
func (s *Sender) Take(now time.Duration, rate float64) bool {
	if next, chosen := s.NextAt(rate); !chosen || now < next {
		return false
	}
	s.lastSent, s.hasSent = now, true
	return true
}
