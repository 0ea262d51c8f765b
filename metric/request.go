package metric

import "time"

// Answer is a request that has ended.
type Answer struct {
	Pool      string // empty when the request was never sent
	Account   string // empty when it is not known
	Result    string
	Model     bool          // a model call; services have no token targets
	Whole     bool          // the answer came as a whole, so that the host saw no single token
	Complete  bool          // the caller got the whole answer
	Cancelled bool          // the caller went away before the end
	Tokens    int64         // used, prompt included
	Generated int64         // tokens of the answer
	First     time.Duration // from arrival to the first token, or to the answer when it came as a whole
	Gap       time.Duration // longest time between two tokens
}

// Attained reports whether the answer met the targets for the first token and between tokens. An answer
// that came as a whole has the time that a stream at the targets would have taken.
func (a Answer) Attained() bool {
	if !a.Complete {
		return false
	}
	if a.Whole {
		return a.First.Seconds() <= firstTokenTarget+float64(max(a.Generated-1, 0))*tokenGapTarget
	}
	return a.First.Seconds() <= firstTokenTarget && a.Gap.Seconds() <= tokenGapTarget
}

// CountAnswer counts a request that has ended.
func (m *Metrics) CountAnswer(a Answer) {
	m.requests.WithLabelValues(a.Account, a.Result).Inc()
	if a.Tokens > 0 {
		m.tokens.WithLabelValues(a.Account).Add(float64(a.Tokens))
	}
	if !a.Model || a.Cancelled {
		return
	}
	m.sent.WithLabelValues(a.Pool, a.Account).Inc()
	if a.Complete && !a.Whole {
		m.first.WithLabelValues(a.Pool).Observe(a.First.Seconds())
		m.gap.WithLabelValues(a.Pool).Observe(a.Gap.Seconds())
	}
	if a.Attained() {
		m.attained.WithLabelValues(a.Pool, a.Account).Inc()
	}
}
