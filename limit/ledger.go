package limit

import (
	"math"
	"time"
)

// Ledger is a host's part of one account's allowance: a token bucket and the loans to and from other hosts. If the parts of several
// ledgers add up to an allowance, the tokens used from them in any interval are at most the allowance's burst plus its rate times
// the interval.
//
// When a part is moved from one ledger to another, it may be added to the second only after the loans made by the first have
// ended (505 ms after the last was made). Ledger is not safe for concurrent use.
type Ledger struct {
	updatedAt     time.Duration // time up to which the bucket is refilled and loans are ended
	rate          float64       // refill, tokens a second
	level         float64       // tokens in the bucket besides quick; negative while tokens that are not earned yet have been taken or lent
	quick         float64       // tokens in the bucket that are kept for small requests while level is negative
	capacity      float64       // burst less the lent tokens of running loans; negative when the part was lowered below these
	burst         int64         // part of the burst, tokens
	headroom      headroom
	borrowedLoans []*borrowedLoan      // in the order in which they expire
	lentByID      map[string]*lentLoan // by loan id: loans made that are running or may be repaid
	runningLoans  []*lentLoan          // loans made that have not expired, in the order in which they do
	lent          int64                // tokens of running loans to other hosts that were not repaid
	lendShare     float64              // most of the burst that may be lent at a time
	endedLoans    []*lentLoan          // loans made that have expired and may still be repaid, oldest first
	spentLoans    []Repayment          // not yet returned by SpentLoans
	unused        int64                // total of borrowed tokens that were given back unspent
}

// NewLedger returns a ledger without a part of the allowance.
func NewLedger(now time.Duration) *Ledger {
	return &Ledger{updatedAt: now, lendShare: 1, lentByID: map[string]*lentLoan{}}
}

// SetPart sets the ledger's part of the allowance: rate in tokens a second, burst in tokens. A larger part adds no tokens to the
// bucket at once; a smaller one lowers its level to the new capacity. A negative, infinite or undefined rate and a negative burst count as 0.
func (l *Ledger) SetPart(now time.Duration, rate float64, burst int64) {
	l.advance(now)
	if !(rate > 0) || math.IsInf(rate, 0) {
		rate = 0
	}
	burst = max(burst, 0)
	l.rate = rate
	l.capacity += float64(burst - l.burst)
	l.burst = burst
	l.quick = min(l.quick, float64(burst)*quickShare)
	l.level = min(l.level, max(l.capacity-l.quick, 0))
	if l.capacity < 0 {
		for _, loan := range l.runningLoans {
			if loan.endEvent != 0 {
				continue
			}
			loan.deficit = max(loan.deficit, -l.capacity)
		}
	}
	l.headroom.lowerTo(l.currentHeadroom())
}

// LimitLending bounds the share of the burst that may be lent at a time. LendBeyond may exceed it.
func (l *Ledger) LimitLending(share float64) { l.lendShare = share }

// Withhold lowers the capacity until a time by tokens that an earlier process may have lent from the same part.
func (l *Ledger) Withhold(now, until time.Duration, tokens int64) {
	l.advance(now)
	if l.updatedAt < until {
		l.addLoan(&lentLoan{tokens: tokens, expiresAt: until})
		l.level = min(l.level, max(l.capacity-l.quick, 0))
		l.headroom.lowerTo(l.currentHeadroom())
	}
}

// Take takes tokens from borrowed loans, those that expire first before the others, and the rest from the bucket.
// It takes nothing and returns false when both together have too few.
func (l *Ledger) Take(now time.Duration, tokens int64) (Receipt, bool) {
	if tokens < 0 || l.Shortfall(now, tokens) > 0 {
		return Receipt{}, false
	}
	r, rest := l.spendLoans(tokens, l.updatedAt, false)
	return l.spendBucket(r, rest, false), true
}

// TakeAfter is Take for tokens that are used after a wait. Until then, the bucket's capacity is lower by what came from it, and loans
// do not count as spent, so that no tokens are refilled before these are used. Use must be called at that time.
func (l *Ledger) TakeAfter(now time.Duration, tokens int64, wait time.Duration) (Receipt, bool) {
	if wait <= 0 {
		return l.Take(now, tokens)
	}
	l.advance(now)
	usedAt := l.updatedAt + wait
	if tokens < 0 || l.available(tokens)+l.spendableLoans(usedAt) < tokens {
		return Receipt{}, false
	}
	r, rest := l.spendLoans(tokens, usedAt, true)
	if rest > 0 {
		r.held = l.lendUntil(usedAt, "", "", rest, false)
	}
	return r, true
}

// Reserve is Take for tokens that the bucket will have earned within maxWait. It returns how long the caller must wait before it uses
// them and calls Use. Later calls find the bucket empty until then, so that tokens go to requests in the order of their calls.
func (l *Ledger) Reserve(now time.Duration, tokens int64, maxWait time.Duration) (Receipt, time.Duration, bool) {
	if r, taken := l.Take(now, tokens); taken || tokens < 0 {
		return r, 0, taken
	}
	latest := l.updatedAt + maxWait
	wait, earned := l.earnTime(tokens - l.spendableLoans(latest))
	if !earned || wait > maxWait {
		return Receipt{}, 0, false
	}
	r, rest := l.spendLoans(tokens, latest, true)
	if rest > 0 {
		r.held = l.lendUntil(l.updatedAt+wait, "", "", rest, true)
	}
	return r, wait, true
}

// Use says that the tokens of a TakeAfter or Reserve are used now, so that loans of which nothing is left count as spent.
func (l *Ledger) Use(r Receipt) {
	for p := range r.payments() {
		if p.loan.reserved -= p.tokens; p.loan.isSpent() {
			l.spentLoans = append(l.spentLoans, p.loan.repay(0))
		}
	}
}

// earnTime returns how long it takes until the bucket holds the tokens; false if it never does.
func (l *Ledger) earnTime(tokens int64) (time.Duration, bool) {
	missing, rate := float64(tokens)-l.level, l.rate*(1-quickRate)
	switch {
	case tokens <= 0 || missing <= 0:
		return 0, true
	case rate <= 0 || float64(tokens) > l.capacity-float64(l.burst)*quickShare || missing > rate*MaxEarnTime.Seconds():
		return 0, false
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second))), true
}

// available returns the tokens that a request may take from the bucket now: all while none are reserved, and otherwise a small request
// those that are kept for small ones.
func (l *Ledger) available(request int64) int64 {
	switch {
	case l.level >= 0:
		return int64(l.level + l.quick)
	case request <= maxQuickRequest && !l.overdrawn():
		return int64(l.quick)
	default:
		return 0
	}
}

// overdrawn reports whether more tokens have been taken than can be reserved, so that nothing else is taken before they are earned.
func (l *Ledger) overdrawn() bool { return l.level < -l.rate*MaxEarnTime.Seconds() }

// withdraw lowers the bucket by available tokens, or by tokens that are yet to be earned.
func (l *Ledger) withdraw(tokens int64, reserve bool) {
	fromLevel := float64(tokens)
	if !reserve {
		fromLevel = min(fromLevel, max(l.level, 0))
	}
	l.level -= fromLevel
	l.quick = max(l.quick-(float64(tokens)-fromLevel), 0)
}

// spendableLoans returns the borrowed tokens that may be spent at a time.
func (l *Ledger) spendableLoans(at time.Duration) int64 {
	sum := int64(0)
	for _, loan := range l.borrowedLoans {
		sum += loan.spendable(at)
	}
	return sum
}

// spendLoans spends up to tokens of the loans that may be spent at a time, and returns what is left to take from the bucket. The
// tokens are reserved if they are used later.
func (l *Ledger) spendLoans(tokens int64, at time.Duration, reserve bool) (Receipt, int64) {
	var r Receipt
	for _, loan := range l.borrowedLoans {
		if tokens == 0 {
			break
		}
		fromLoan := min(tokens, loan.spendable(at))
		if fromLoan == 0 {
			continue
		}
		loan.unspent -= fromLoan
		tokens -= fromLoan
		if reserve {
			loan.reserved += fromLoan
		} else if loan.isSpent() {
			l.spentLoans = append(l.spentLoans, loan.repay(0))
		}
		r = r.withLoanPayment(loanPayment{loan, fromLoan})
	}
	return r, tokens
}

// spendBucket takes tokens from the bucket and adds them to a receipt. Tokens that are yet to be earned are reserved.
func (l *Ledger) spendBucket(r Receipt, tokens int64, reserve bool) Receipt {
	if tokens > 0 {
		l.withdraw(tokens, reserve)
		r.fromBucket = tokens
		r.event = l.headroom.addEvent(l.currentHeadroom())
	}
	return r
}

// Overdraw takes more tokens than the bucket can hold, for a request that is larger than the whole allowance's burst. It needs a
// full bucket and takes at most maxDebt beyond it, so that nothing else is taken before these tokens are earned.
func (l *Ledger) Overdraw(now time.Duration, tokens, maxDebt int64) (Receipt, bool) {
	if !l.canOverdraw(now) || tokens > l.available(tokens)+maxDebt {
		return Receipt{}, false
	}
	return l.spendBucket(Receipt{}, tokens, true), true
}

// canOverdraw reports whether the bucket is full.
func (l *Ledger) canOverdraw(now time.Duration) bool {
	l.advance(now)
	return l.burst > 0 && l.available(l.burst) >= l.burst
}

// SpentLoans returns a repayment of 0 tokens, once, for each borrowed loan that has been spent completely. It lets the lender
// restore its capacity before the loan expires. The result is valid until the next Take.
func (l *Ledger) SpentLoans() []Repayment {
	repayments := l.spentLoans
	l.spentLoans = l.spentLoans[:0]
	return repayments
}

// Refund gives back tokens that a request did not use: first to the loans that they came from, by the returned repayments, which
// the caller must send, and then to the bucket. The bucket gets at most its least headroom since the take; it would have discarded
// any tokens beyond that, had they not been taken.
func (l *Ledger) Refund(now time.Duration, r Receipt, unused int64) []Repayment {
	l.advance(now)
	unused = min(unused, r.Tokens())
	var repayments []Repayment
	for p := range r.payments() {
		if back := min(unused, p.tokens); back > 0 {
			unused -= back
			repayments = append(repayments, p.loan.repay(back))
		}
	}
	if r.held != nil && unused > 0 {
		back := min(unused, r.held.tokens)
		unused -= back
		l.returnLent(r.held, back)
	}
	if unused > 0 {
		l.level += l.headroom.credit(r.event, float64(unused))
	}
	return repayments
}

// Shortfall returns how many tokens must be borrowed before a Take of tokens can succeed; 0 for none.
func (l *Ledger) Shortfall(now time.Duration, tokens int64) int64 {
	l.advance(now)
	return max(0, tokens-l.available(tokens)-l.spendableLoans(l.updatedAt))
}

// Level returns the tokens in the bucket; a negative number is what must be earned before a larger request takes anything.
func (l *Ledger) Level(now time.Duration) float64 {
	l.advance(now)
	if l.level < 0 {
		return l.level
	}
	return l.level + l.quick
}

// Unused returns the total of borrowed tokens that were given back unspent.
func (l *Ledger) Unused() int64 { return l.unused }

// RepayExpired drops borrowed loans that have expired, and returns repayments of their unspent tokens.
func (l *Ledger) RepayExpired(now time.Duration) []Repayment {
	l.advance(now)
	var repayments []Repayment
	kept := l.borrowedLoans[:0]
	for _, loan := range l.borrowedLoans {
		if l.updatedAt < loan.expiresAt {
			kept = append(kept, loan)
			continue
		}
		if unspent := loan.unspent; unspent > 0 {
			loan.unspent = 0
			l.unused += unspent
			repayments = append(repayments, loan.repay(unspent))
		}
	}
	clear(l.borrowedLoans[len(kept):])
	l.borrowedLoans = kept
	return repayments
}

// RepayUnspent returns repayments of the unspent tokens of borrowed loans, so that they do not lie idle until the loans expire.
func (l *Ledger) RepayUnspent(now time.Duration) []Repayment { return l.RepayIdle(now, 0) }

// RepayIdle is RepayUnspent for the loans that were asked for at least an age ago.
func (l *Ledger) RepayIdle(now, age time.Duration) []Repayment {
	l.advance(now)
	return l.repayUnspent(func(loan *borrowedLoan) bool { return l.updatedAt >= loan.expiresAt-borrowerLoanTime+age })
}

// RepayLoan is RepayUnspent for one loan.
func (l *Ledger) RepayLoan(now time.Duration, id string) []Repayment {
	l.advance(now)
	return l.repayUnspent(func(loan *borrowedLoan) bool { return loan.id == id })
}

func (l *Ledger) repayUnspent(chosen func(*borrowedLoan) bool) []Repayment {
	var repayments []Repayment
	for _, loan := range l.borrowedLoans {
		if !chosen(loan) {
			continue
		}
		if unspent := loan.spendable(l.updatedAt); unspent > 0 {
			loan.unspent = 0
			l.unused += unspent
			repayments = append(repayments, loan.repay(unspent))
		}
	}
	return repayments
}

// advance ends expired loans and refills the bucket up to now. A time before that of an earlier call counts as the earlier one.
func (l *Ledger) advance(now time.Duration) {
	now = max(now, l.updatedAt)
	for len(l.runningLoans) > 0 && l.runningLoans[0].expiresAt <= now {
		loan := l.runningLoans[0]
		l.runningLoans = l.runningLoans[1:]
		l.refill(loan.expiresAt)
		if loan.endEvent == 0 {
			l.endLoan(loan)
		}
		if loan.id == "" {
			continue // held for a request of this host
		}
		if loan.repaid == loan.tokens {
			delete(l.lentByID, loan.id) // nothing is left to repay
			continue
		}
		l.endedLoans = append(l.endedLoans, loan)
	}
	l.refill(now)
	for len(l.endedLoans) > 0 && now >= l.endedLoans[0].expiresAt+repayTime {
		delete(l.lentByID, l.endedLoans[0].id)
		l.endedLoans = l.endedLoans[1:]
	}
}

// endLoan ends a loan made to another host, and restores the capacity by the tokens that were not repaid: these count as used.
func (l *Ledger) endLoan(loan *lentLoan) {
	l.capacity += float64(loan.tokens - loan.repaid)
	if loan.id != "" {
		l.lent -= loan.tokens - loan.repaid
	}
	loan.endEvent = l.headroom.addEvent(l.currentHeadroom())
}

// refill adds the tokens of the time since the last call, up to the capacity.
func (l *Ledger) refill(now time.Duration) {
	if now <= l.updatedAt {
		return
	}
	earned := max(min(l.rate*(now-l.updatedAt).Seconds(), l.capacity-l.level-l.quick), 0)
	toQuick := max(min(earned*quickRate, float64(l.burst)*quickShare-l.quick), 0)
	if l.overdrawn() {
		toQuick = 0
	}
	l.quick += toQuick
	l.level += earned - toQuick
	l.updatedAt = now
	l.headroom.lowerTo(l.currentHeadroom())
}

// currentHeadroom returns how many tokens the level is below the capacity.
func (l *Ledger) currentHeadroom() float64 { return max(0, l.capacity-l.level-l.quick) }
