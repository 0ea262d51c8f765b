package bench

import (
	"time"

	"magnoliahoist/limit"
)

// referenceTokenTime is the generation time per token that the reference bucket assumes.
const referenceTokenTime = 28 * time.Millisecond

// referenceRequest is a running request that the reference bucket has admitted.
type referenceRequest struct {
	receipt limit.Receipt
	unused  int64
	end     time.Duration
}

// referenceOutcome returns how many requests of an account a single token bucket with the account's whole rate and burst would refuse, and
// how many tokens it would serve, when requests wait in order of arrival as long as their route allows and endpoints have enough capacity.
// The served tokens are the minimum of the demand and burst + rate · t over every interval, less the tokens of requests whose wait of a
// few seconds ends before the bucket has filled enough.
func (r *run) referenceOutcome(account int, arrivals []arrival) (refused int, served int64) {
	limits := r.Routes.Accounts[account]
	ledger := limit.NewLedger(0)
	ledger.SetPart(0, limits.Rate, limits.Burst)
	var waiting []arrival
	var active []referenceRequest
	next := 0
	for now := warmUp; now < warmUp+r.input.Length+coolDown; now += tickPeriod {
		kept := active[:0]
		for _, request := range active {
			if now < request.end {
				kept = append(kept, request)
				continue
			}
			ledger.Refund(now, request.receipt, request.unused)
		}
		active = kept
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			if arrivals[next].account == account {
				waiting = append(waiting, arrivals[next])
			}
		}
		for len(waiting) > 0 {
			a := waiting[0]
			entry := r.Routes.Routes[a.route]
			bound := prefixTokens + suffixTokens + min(callerMaxTokens, entry.Tokens)
			if now >= a.at+entry.QueueTimeout() {
				refused++
			} else if receipt, taken := ledger.Take(now, bound); taken {
				served += prefixTokens + suffixTokens + int64(a.outputTokens)
				unused := bound - prefixTokens - suffixTokens - int64(a.outputTokens)
				active = append(active, referenceRequest{receipt, unused, now + time.Duration(a.outputTokens)*referenceTokenTime})
			} else {
				break
			}
			waiting = waiting[1:]
		}
	}
	return refused, served
}
