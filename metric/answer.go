package metric

import "time"

// Answer is a request that was answered by an endpoint.
type Answer struct {
	Pool    string
	Account string
	Result  string
	Model   bool          // a model call; services have no token targets
	Tokens  int64         // used, prompt included
	First   time.Duration // from arrival to the first token
	Gap     time.Duration // longest time between two tokens
}

// Attained reports whether the answer met the targets for the first token and between tokens.
func (a Answer) Attained() bool {
	return a.First.Seconds() <= firstTokenTarget && a.Gap.Seconds() <= tokenGapTarget
}

// CountAnswer counts an answered request.
func (m *Metrics) CountAnswer(a Answer) {
	m.requests.WithLabelValues(a.Account, a.Result).Inc()
	m.tokens.WithLabelValues(a.Account).Add(float64(a.Tokens))
	if !a.Model {
		return
	}
	m.first.WithLabelValues(a.Pool).Observe(a.First.Seconds())
	if a.Attained() {
		m.attained.WithLabelValues(a.Pool, a.Account).Inc()
	}
}
