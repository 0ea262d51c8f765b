package bench

import (
	"time"

	"magnoliahoist/limit"
)

// nominalGap is the time for a token that the reference bucket expects.
const nominalGap = 28 * time.Millisecond

// running is a request that the reference bucket serves.
type running struct {
	receipt limit.Receipt
	unused  int64
	end     time.Duration
}

// reference returns how many requests of an account one bucket with the whole rate and burst would
// refuse and how many tokens it would serve, when requests wait in order of arrival as long as their
// route allows and no endpoint is short. The tokens are the least of demand and burst + rate · t over
// every interval, less what a wait of a few seconds can't make up.
func (r *run) reference(account int, arrivals []arrival) (refused int, served int64) {
	owner := r.Routes.Accounts[account]
	ledger := limit.NewLedger(0)
	ledger.SetShare(0, owner.Rate, owner.Burst)
	var waiting []arrival
	var busy []running
	next := 0
	for now := warm; now < warm+r.input.Length+tail; now += tickPeriod {
		kept := busy[:0]
		for _, b := range busy {
			if now < b.end {
				kept = append(kept, b)
				continue
			}
			ledger.Return(now, b.receipt, b.unused)
		}
		busy = kept
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			if arrivals[next].account == account {
				waiting = append(waiting, arrivals[next])
			}
		}
		for len(waiting) > 0 {
			a := waiting[0]
			entry := r.Routes.Routes[a.route]
			bound := prefixLength + promptRest + min(answerLimit, entry.Tokens)
			if now >= a.at+entry.LongestWait() {
				refused++
			} else if receipt, taken := ledger.Take(now, bound); taken {
				served += prefixLength + promptRest + int64(a.answer)
				unused := bound - prefixLength - promptRest - int64(a.answer)
				busy = append(busy, running{receipt, unused, now + time.Duration(a.answer)*nominalGap})
			} else {
				break
			}
			waiting = waiting[1:]
		}
	}
	return refused, served
}
