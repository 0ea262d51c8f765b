package metric

import "time"

// EndedRequest holds the measurements of a request that has ended.
type EndedRequest struct {
	Pool                 string        // empty if the request was never sent
	Account              string        // empty if the account is not known
	Result               string        // value of the metric label result
	ModelCall            bool          // whether the request was a model call; calls of services have no token targets
	Unstreamed           bool          // whether the response was not streamed, so that the host could not time single tokens
	Complete             bool          // whether the caller got the whole response
	Cancelled            bool          // whether the caller disconnected before the end
	UsedTokens           int64         // including the prompt
	GeneratedTokens      int64         // tokens in the response
	TimeToFirstToken     time.Duration // from the arrival of the request to the first token, or to the end if the response was not streamed
	MaxInterTokenLatency time.Duration // longest time between two consecutive tokens
}

// MetTargets reports whether the whole response was delivered within the targets for time to first token and inter-token
// latency. A response that was not streamed may take as long as a stream that just meets both targets.
func (a EndedRequest) MetTargets() bool {
	if !a.Complete {
		return false
	}
	if a.Unstreamed {
		return a.TimeToFirstToken.Seconds() <= firstTokenTargetSeconds+float64(max(a.GeneratedTokens-1, 0))*interTokenTargetSeconds
	}
	return a.TimeToFirstToken.Seconds() <= firstTokenTargetSeconds && a.MaxInterTokenLatency.Seconds() <= interTokenTargetSeconds
}

// CountRequest counts a request that has ended. Only model calls whose caller did not disconnect count towards the targets.
func (m *Metrics) CountRequest(a EndedRequest) {
	m.requests.WithLabelValues(a.Account, a.Result).Inc()
	if a.UsedTokens > 0 {
		m.tokens.WithLabelValues(a.Account).Add(float64(a.UsedTokens))
	}
	if !a.ModelCall || a.Cancelled {
		return
	}
	m.modelRequests.WithLabelValues(a.Pool, a.Account).Inc()
	if a.Complete && !a.Unstreamed {
		m.timeToFirstToken.WithLabelValues(a.Pool).Observe(a.TimeToFirstToken.Seconds())
		m.maxInterTokenLatency.WithLabelValues(a.Pool).Observe(a.MaxInterTokenLatency.Seconds())
	}
	if a.MetTargets() {
		m.attained.WithLabelValues(a.Pool, a.Account).Inc()
	}
}
