package limit

import (
	"math"
	"time"
)

// Ledger is a host's part of one account's allowance. For every interval, the
// tokens used from ledgers whose shares add up to an allowance stay within the
// allowance's burst plus its rate times the interval.
//
// A part that leaves one ledger may be added to another only after the loans of
// the first have ended (2.02 s after the last was made).
type Ledger struct {
	now      time.Duration
	rate     float64 // tokens a second
	level    float64 // tokens
	cap      float64 // burst less the loans that have not ended; negative when a share shrank below them
	burst    int64   // tokens
	room     headroom
	borrowed []*borrowed // ascending by end
	lent     map[string]*lending
	ending   []*lending // loans made that have not ended, oldest first
	ended    []*lending // loans made that have ended and may be repaid, oldest first
	spent    []Repayment
}

// NewLedger returns a ledger with no share.
func NewLedger(now time.Duration) *Ledger {
	return &Ledger{now: now, lent: map[string]*lending{}}
}

// SetShare sets the ledger's part of the allowance, in tokens a second and tokens.
// The added part of a larger share starts empty; a smaller share lowers the level
// to its burst. Negative, infinite and undefined values count as 0.
func (l *Ledger) SetShare(now time.Duration, rate float64, burst int64) {
	l.settle(now)
	if !(rate > 0) || math.IsInf(rate, 0) {
		rate = 0
	}
	burst = max(burst, 0)
	l.rate = rate
	l.cap += float64(burst - l.burst)
	l.burst = burst
	l.level = min(l.level, max(l.cap, 0))
	if l.cap < 0 {
		for _, loan := range l.ending {
			if loan.seq != 0 {
				continue
			}
			loan.deficit = max(loan.deficit, -l.cap)
		}
	}
	l.room.observe(l.distance())
}

// Take takes tokens from live loans, soonest to end first, and the rest from the
// bucket. It takes nothing and returns false when they do not suffice.
func (l *Ledger) Take(now time.Duration, tokens int64) (Receipt, bool) {
	l.settle(now)
	if tokens < 0 || l.Missing(now, tokens) > 0 {
		return Receipt{}, false
	}
	var r Receipt
	for _, loan := range l.borrowed {
		if tokens == 0 {
			break
		}
		spent := min(tokens, loan.live(l.now))
		if spent == 0 {
			continue
		}
		loan.left -= spent
		tokens -= spent
		if loan.left == 0 && loan.returned == 0 {
			l.spent = append(l.spent, loan.giveBack(0))
		}
		r = r.withPart(part{loan, spent})
	}
	if tokens > 0 {
		l.level -= float64(tokens)
		r.own = tokens
		r.seq = l.room.record(l.distance())
	}
	return r, true
}

// Spent returns, once, messages of 0 tokens for the loans that have been spent whole. They let the
// lender's cap return before the loan's time is over. The result is valid until the next Take.
func (l *Ledger) Spent() []Repayment {
	out := l.spent
	l.spent = l.spent[:0]
	return out
}

// Return gives back tokens that a request did not use: first to the loans they
// came from, by the repayments that the caller sends, then to the bucket. The
// bucket's credit is the smaller of the rest and the least distance from the cap
// since the take.
func (l *Ledger) Return(now time.Duration, r Receipt, unused int64) []Repayment {
	l.settle(now)
	unused = min(unused, r.Tokens())
	var out []Repayment
	give := func(p part) {
		if back := min(unused, p.tokens); back > 0 {
			unused -= back
			out = append(out, p.loan.giveBack(back))
		}
	}
	for _, p := range r.parts {
		give(p)
	}
	for _, p := range r.more {
		give(p)
	}
	if unused > 0 {
		l.level += l.room.credit(r.seq, float64(unused))
	}
	return out
}

// Missing returns the tokens to borrow before a Take of tokens can succeed.
func (l *Ledger) Missing(now time.Duration, tokens int64) int64 {
	l.settle(now)
	have := int64(l.level)
	for _, loan := range l.borrowed {
		have += loan.live(l.now)
	}
	return max(0, tokens-have)
}

// Sweep drops loans that have ended. The repayments give back what was left
// unspent of borrowed ones.
func (l *Ledger) Sweep(now time.Duration) []Repayment {
	l.settle(now)
	var out []Repayment
	kept := l.borrowed[:0]
	for _, loan := range l.borrowed {
		if l.now < loan.end {
			kept = append(kept, loan)
			continue
		}
		if left := loan.left; left > 0 {
			loan.left = 0
			out = append(out, loan.giveBack(left))
		}
	}
	clear(l.borrowed[len(kept):])
	l.borrowed = kept
	return out
}

// Release gives back what is unspent of borrowed loans, so that it does not lie idle until they end.
func (l *Ledger) Release(now time.Duration) []Repayment {
	l.settle(now)
	var out []Repayment
	for _, loan := range l.borrowed {
		if left := loan.live(l.now); left > 0 {
			loan.left = 0
			out = append(out, loan.giveBack(left))
		}
	}
	return out
}

// settle brings the ledger to now. A time before the last one counts as the last.
func (l *Ledger) settle(now time.Duration) {
	now = max(now, l.now)
	for len(l.ending) > 0 && l.ending[0].end <= now {
		loan := l.ending[0]
		l.ending = l.ending[1:]
		l.fill(loan.end)
		if loan.seq == 0 {
			l.finish(loan)
		}
		if loan.repaid == loan.tokens {
			delete(l.lent, loan.id) // nothing is left to repay
			continue
		}
		l.ended = append(l.ended, loan)
	}
	l.fill(now)
	for len(l.ended) > 0 && now >= l.ended[0].end+repayable {
		delete(l.lent, l.ended[0].id)
		l.ended = l.ended[1:]
	}
}

// finish ends a loan: what was not repaid has left the cap only as tokens that were used.
func (l *Ledger) finish(loan *lending) {
	l.cap += float64(loan.tokens - loan.repaid)
	loan.seq = l.room.record(l.distance())
}

// fill adds the tokens of the time since the last call, up to the cap.
func (l *Ledger) fill(now time.Duration) {
	if now <= l.now {
		return
	}
	grown := l.level + l.rate*(now-l.now).Seconds()
	l.level = max(l.level, min(grown, l.cap))
	l.now = now
	l.room.observe(l.distance())
}

// distance returns the present distance of the level from the cap.
func (l *Ledger) distance() float64 { return max(0, l.cap-l.level) }
