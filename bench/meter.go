package bench

import (
	"time"

	"magnoliahoist/account"
	"magnoliahoist/state"
)

// spend is the tokens that a request used, counted when it was sent.
type spend struct {
	at     time.Duration
	tokens int64
}

// meter measures one account over all hosts.
type meter struct {
	account.Account
	served  int64 // tokens of complete answers
	spends  []spend
	refused int
	reasons map[state.Reason]int
}

func newMeter(a account.Account) *meter {
	return &meter{Account: a, reasons: map[state.Reason]int{}}
}

func (m *meter) take(now time.Duration, bound int64) {
	m.spends = append(m.spends, spend{now, bound})
}

// settle ends an attempt that was sent at a time and used some of its bound.
func (m *meter) settle(sent time.Duration, bound, used int64) {
	for i := len(m.spends) - 1; i >= 0; i-- {
		if m.spends[i] == (spend{sent, bound}) {
			m.spends[i].tokens = used
			return
		}
	}
}

func (m *meter) done(sent time.Duration, bound, used int64) {
	m.settle(sent, bound, used)
	m.served += used
}

// refuse counts a refusal.
func (m *meter) refuse(reason state.Reason) {
	m.refused++
	m.reasons[reason]++
}

// excess returns the most tokens above burst + rate · t over all intervals.
func (m *meter) excess() float64 {
	var sum, most float64
	var last time.Duration
	for _, s := range m.spends {
		sum = max(sum-m.Rate*(s.at-last).Seconds(), 0) + float64(s.tokens)
		last = s.at
		most = max(most, sum-float64(m.Burst))
	}
	return most
}
