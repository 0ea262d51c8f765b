package bench

import (
	"time"

	"magnoliahoist/account"
	"magnoliahoist/state"
)

// usage is the number of tokens that an attempt used, counted at the time at which it was sent.
type usage struct {
	sentAt time.Duration
	tokens int64
}

// meter measures one account's use and refusals over all hosts.
type meter struct {
	account.Account
	servedTokens     int64 // tokens of complete responses
	usages           []usage
	refusals         int
	refusalsByReason map[state.Reason]int
}

func newMeter(a account.Account) *meter {
	return &meter{Account: a, refusalsByReason: map[state.Reason]int{}}
}

// recordSent records an attempt that may use up to bound tokens.
func (m *meter) recordSent(now time.Duration, bound int64) {
	m.usages = append(m.usages, usage{now, bound})
}

// setUsed replaces the bound of an attempt by the tokens that it used.
func (m *meter) setUsed(sent time.Duration, bound, used int64) {
	for i := len(m.usages) - 1; i >= 0; i-- {
		if m.usages[i] == (usage{sent, bound}) {
			m.usages[i].tokens = used
			return
		}
	}
}

// recordServed records the tokens of an attempt with a complete response.
func (m *meter) recordServed(sent time.Duration, bound, used int64) {
	m.setUsed(sent, bound, used)
	m.servedTokens += used
}

// recordRefusal counts a refusal under its reason.
func (m *meter) recordRefusal(reason state.Reason) {
	m.refusals++
	m.refusalsByReason[reason]++
}

// excessTokens returns the maximum of tokens used above burst + rate · t over all intervals.
func (m *meter) excessTokens() float64 {
	var aboveRate, excess float64
	var lastAt time.Duration
	for _, u := range m.usages {
		aboveRate = max(aboveRate-m.Rate*(u.sentAt-lastAt).Seconds(), 0) + float64(u.tokens)
		lastAt = u.sentAt
		excess = max(excess, aboveRate-float64(m.Burst))
	}
	return excess
}
