package metric

import "time"

// Answer holds the measurements of a request that has ended.
type Answer struct {
	Pool      string        // empty if the request was never sent
	Account   string        // empty if the account is not known
	Result    string        // value of the metric label result
	Model     bool          // whether the request was a model call; calls of services have no token targets
	Whole     bool          // whether the response was not streamed, so that the host could not time single tokens
	Complete  bool          // whether the caller got the whole response
	Cancelled bool          // whether the caller disconnected before the end
	Tokens    int64         // used tokens, including the prompt
	Generated int64         // tokens in the response
	First     time.Duration // from the arrival of the request to the first token, or to the end if the response was not streamed
	Gap       time.Duration // longest time between two consecutive tokens
}

// Attained reports whether the whole response was delivered within the targets for time to first token and inter-token
// latency. A response that was not streamed may take as long as a stream that just meets both targets.
func (a Answer) Attained() bool {
	if !a.Complete {
		return false
	}
	if a.Whole {
		return a.First.Seconds() <= firstTokenTargetSeconds+float64(max(a.Generated-1, 0))*interTokenTargetSeconds
	}
	return a.First.Seconds() <= firstTokenTargetSeconds && a.Gap.Seconds() <= interTokenTargetSeconds
}

// CountAnswer counts a request that has ended. Only model calls whose caller did not disconnect count towards the targets.
func (m *Metrics) CountAnswer(a Answer) {
	m.requests.WithLabelValues(a.Account, a.Result).Inc()
	if a.Tokens > 0 {
		m.tokens.WithLabelValues(a.Account).Add(float64(a.Tokens))
	}
	if !a.Model || a.Cancelled {
		return
	}
	m.modelRequests.WithLabelValues(a.Pool, a.Account).Inc()
	if a.Complete && !a.Whole {
		m.timeToFirstToken.WithLabelValues(a.Pool).Observe(a.First.Seconds())
		m.maxInterTokenLatency.WithLabelValues(a.Pool).Observe(a.Gap.Seconds())
	}
	if a.Attained() {
		m.attained.WithLabelValues(a.Pool, a.Account).Inc()
	}
}
