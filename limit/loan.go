package limit

import (
	"slices"
	"sort"
	"time"
)

// borrowedLoan is a loan from another host to this one.
type borrowedLoan struct {
	id        string
	lender    string
	expiresAt time.Duration // time from which it may not be spent
	unspent   int64         // tokens not spent
	reserved  int64         // tokens spent for requests that use them later
	repaid    int64         // tokens given back to the lender
}

// spendable returns the tokens that may be spent at the time now.
func (b *borrowedLoan) spendable(now time.Duration) int64 {
	if now >= b.expiresAt {
		return 0
	}
	return b.unspent
}

// isSpent reports whether all tokens that were not given back are used.
func (b *borrowedLoan) isSpent() bool { return b.unspent == 0 && b.reserved == 0 }

// repay counts tokens as given back and returns the repayment for the lender.
func (b *borrowedLoan) repay(tokens int64) Repayment {
	b.repaid += tokens
	return Repayment{ID: b.id, Lender: b.lender, Unused: b.repaid, Ended: b.isSpent()}
}

// lentLoan is a loan from this host to another.
type lentLoan struct {
	id        string
	borrower  string
	tokens    int64
	repaid    int64         // total of tokens given back so far
	deficit   float64       // most tokens by which the capacity was below 0 while the loan ran; repayments do not credit these
	expiresAt time.Duration // time from which the borrower cannot spend it
	usableAt  time.Duration // time from which the tokens are earned
	endEvent  uint64        // number of its end in the headroom record; 0 while it runs. A loan that was spent ends before expiresAt
}

// Lend lends up to want tokens and returns the amount lent. The level and the capacity fall by the amount; the capacity is restored when
// the loan ends, at most 505 ms later. A repeated id returns the amount of the first call, or 0 if it names another borrower.
func (l *Ledger) Lend(now time.Duration, id, borrower string, want int64) int64 {
	l.advance(now)
	if loan := l.lentByID[id]; loan != nil {
		return loan.tokensFor(borrower)
	}
	return l.lend(id, borrower, max(0, min(want, l.available(want), l.lendable())), false)
}

// LendAhead is Lend for tokens that the bucket will have earned within maxWait. It returns how long the borrower must wait before it
// uses them, and lends as many of the wanted tokens as possible. If fewer than least, those of the largest request, can be earned in
// time, it lends what the bucket holds.
func (l *Ledger) LendAhead(now time.Duration, id, borrower string, want, least int64, maxWait time.Duration) (int64, time.Duration) {
	l.advance(now)
	if loan := l.lentByID[id]; loan != nil {
		return loan.tokensFor(borrower), max(loan.usableAt-l.updatedAt, 0)
	}
	earned := l.level + l.rate*(1-quickRate)*min(maxWait, MaxEarnTime).Seconds()
	tokens := min(want, l.lendable(), int64(min(earned, l.capacity-float64(l.burst)*quickShare)))
	wait, inTime := l.earnTime(tokens)
	if !inTime || tokens < least || tokens <= l.available(want) {
		held := max(min(want, l.available(want)), min(least, l.available(least)), 0)
		return l.lend(id, borrower, min(held, l.lendable()), false), 0
	}
	l.lend(id, borrower, tokens, true)
	l.lentByID[id].usableAt = l.updatedAt + wait
	return tokens, wait
}

// LendBeyond is Lend for a request that is larger than the whole allowance's burst. From a full bucket it lends up to maxDebt tokens
// more than the bucket holds.
func (l *Ledger) LendBeyond(now time.Duration, id, borrower string, want, maxDebt int64) int64 {
	if l.lentByID[id] != nil || !l.canOverdraw(now) {
		return l.Lend(now, id, borrower, want)
	}
	return l.lend(id, borrower, max(0, min(want, l.available(want)+maxDebt)), true)
}

// lend records a new loan.
func (l *Ledger) lend(id, borrower string, tokens int64, reserve bool) int64 {
	l.lentByID[id] = l.lendUntil(l.updatedAt+LenderLoanTime, id, borrower, tokens, reserve)
	l.lent += tokens
	return tokens
}

// lendable returns how many tokens may be lent besides those of the running loans.
func (l *Ledger) lendable() int64 { return max(int64(float64(l.burst)*l.lendShare)-l.lent, 0) }

// lendUntil lowers the level and the capacity by tokens that are used at another place or later, until a time at the latest.
func (l *Ledger) lendUntil(expiresAt time.Duration, id, borrower string, tokens int64, reserve bool) *lentLoan {
	loan := &lentLoan{id: id, borrower: borrower, tokens: tokens, expiresAt: expiresAt}
	l.withdraw(tokens, reserve)
	l.addLoan(loan)
	return loan
}

// addLoan lowers the capacity by a loan until it ends.
func (l *Ledger) addLoan(loan *lentLoan) {
	l.capacity -= float64(loan.tokens)
	at := sort.Search(len(l.runningLoans), func(i int) bool { return l.runningLoans[i].expiresAt > loan.expiresAt })
	l.runningLoans = slices.Insert(l.runningLoans, at, loan)
}

// tokensFor returns the tokens lent if the loan was made to the borrower, and 0 otherwise.
func (l *lentLoan) tokensFor(borrower string) int64 {
	if l.borrower != borrower {
		return 0
	}
	return l.tokens
}

// Borrow makes a loan spendable until 500 ms after it was asked for. A loan that arrives or can be used only later is dropped and counts as spent, because
// the message may be a duplicate of one that was already repaid. A known id changes nothing.
func (l *Ledger) Borrow(now time.Duration, loan Loan) {
	l.advance(now)
	end := loan.RequestedAt + borrowerLoanTime
	if loan.Tokens <= 0 || l.updatedAt+loan.Wait >= end {
		return
	}
	for _, known := range l.borrowedLoans {
		if known.id == loan.ID {
			return
		}
	}
	at := sort.Search(len(l.borrowedLoans), func(i int) bool { return l.borrowedLoans[i].expiresAt > end })
	l.borrowedLoans = append(l.borrowedLoans, nil)
	copy(l.borrowedLoans[at+1:], l.borrowedLoans[at:])
	l.borrowedLoans[at] = &borrowedLoan{id: loan.ID, lender: loan.Lender, expiresAt: end, unspent: loan.Tokens}
}

// Repay credits tokens that the borrower of a loan did not use, as if the loan had been smaller from the start. Unused is the total given
// back for the loan, so a repeated message changes nothing; 0 says that the borrower has spent all of it, which ends the loan.
// Unknown loans, and those that expired at least 10 minutes ago, are ignored.
func (l *Ledger) Repay(now time.Duration, id string, unused int64) {
	l.advance(now)
	loan := l.lentByID[id]
	if loan == nil {
		return
	}
	if unused == 0 && loan.endEvent == 0 {
		l.endLoan(loan)
	}
	l.returnLent(loan, min(unused, loan.tokens))
}

// EndLoan restores the capacity for a loan of which nothing is left at the borrower, after Repay.
func (l *Ledger) EndLoan(now time.Duration, id string) {
	l.advance(now)
	if loan := l.lentByID[id]; loan != nil && loan.endEvent == 0 {
		l.endLoan(loan)
	}
}

// returnLent credits the tokens of a loan that were not used; unused is their total so far.
func (l *Ledger) returnLent(loan *lentLoan, unused int64) {
	if unused <= loan.repaid {
		return
	}
	credit := max(0, float64(unused)-loan.deficit) - max(0, float64(loan.repaid)-loan.deficit)
	if loan.endEvent != 0 {
		l.level += l.headroom.credit(loan.endEvent, credit)
	} else {
		// A smaller loan would have left level and capacity higher by the same amount, so the recorded headroom stays as it is.
		l.capacity += float64(unused - loan.repaid)
		if loan.id != "" {
			l.lent -= unused - loan.repaid
		}
		l.level = max(l.level, min(l.level+credit, l.capacity-l.quick))
		l.headroom.lowerTo(l.currentHeadroom())
	}
	loan.repaid = unused
}

// LoansEnd returns how long it takes until all loans that were made have ended.
func (l *Ledger) LoansEnd(now time.Duration) time.Duration {
	l.advance(now)
	if len(l.runningLoans) == 0 {
		return 0
	}
	return l.runningLoans[len(l.runningLoans)-1].expiresAt - l.updatedAt
}
