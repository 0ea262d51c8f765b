package endpoint

import "time"

// StartAttempt counts an attempt on the endpoint with the index. Tokens is the upper bound of what the attempt may use.
func (v *View) StartAttempt(now time.Duration, i int, tokens int64) {
	e := &v.entries[i]
	e.ownCalls++
	e.ownTokens += tokens
	e.recordOwnCalls(now)
	if e.ejected && now >= e.ejectedUntil {
		e.probing = true
	}
	v.retryBudget.countAttempt(now, v.settings.RetryWindow)
}

// FinishAttempt counts the end of an attempt on the endpoint with the index, and ejects or restores the endpoint by the outcome.
// Tokens must be the number given to StartAttempt.
func (v *View) FinishAttempt(now time.Duration, i int, tokens int64, o Outcome) {
	e := &v.entries[i]
	e.ownCalls = max(e.ownCalls-1, 0)
	e.ownTokens = max(e.ownTokens-tokens, 0)
	e.recordOwnCalls(now)
	switch o {
	case Done:
		v.clearFailures(int32(i))
	case Failed, Refused, Interrupted:
		// Refusals count as failures: an endpoint that refuses every call has few in flight and would be chosen for more.
		v.countFailure(now, int32(i))
	case Cancelled, Absent:
		e.probing = false
	}
}

// clearFailures resets the failure count of an endpoint and ends its ejection.
func (v *View) clearFailures(i int32) {
	e := &v.entries[i]
	e.failures, e.ejectionTime, e.probing = 0, 0, false
	if e.ejected {
		e.ejected = false
		v.updateRings(i)
	}
}

// countFailure counts a failed attempt. After EjectAfterFailures consecutive failures, or a failed probe, it ejects the endpoint,
// each time for twice as long as before.
func (v *View) countFailure(now time.Duration, i int32) {
	e := &v.entries[i]
	e.failures++
	if e.ejected && !e.probing || e.failures < v.settings.EjectAfterFailures {
		return
	}
	e.ejectionTime = min(max(2*e.ejectionTime, v.settings.BaseEjectionTime), v.settings.MaxEjectionTime)
	e.ejectedUntil = now + e.ejectionTime
	e.probing = false
	if !e.ejected {
		e.ejected = true
		v.updateRings(i)
	}
}
