// Package limit keeps a host's part of a client account's allowance: a token bucket, credits for unused tokens, and loans between hosts.
//
// The package performs no I/O and holds no clock or lock. Times are monotonic since the start of the process; amounts are in tokens.
package limit

import (
	"iter"
	"time"
)

const (
	// borrowerLoanTime is how long a borrower may spend a loan, from when it asked for the loan. A call for a loan takes at most 300 ms
	// (peer.borrowTimeout); MaxEarnTime and the interval between ticks (20 ms) fit in after it.
	borrowerLoanTime = 500 * time.Millisecond
	// LenderLoanTime is how long the lender counts a loan as spendable, from when it lent the tokens. It allows for clocks that drift
	// apart by 1 %.
	LenderLoanTime = borrowerLoanTime * 101 / 100
	// MaxEarnTime bounds how far ahead tokens are reserved. A borrower has spent a loan that it must wait for before the loan ends,
	// also after the longest call for the loan (300 ms) and a tick (20 ms).
	MaxEarnTime = 150 * time.Millisecond
	// While larger requests have reserved tokens, a request of at most maxQuickRequest tokens takes from a reserve of at most quickShare
	// of the burst, which gets quickRate of the rate until it is full. Otherwise requests that cannot wait as long as the larger ones
	// would get nothing. maxQuickRequest is a quarter of a usual request.
	quickRate       = 1.0 / 8
	quickShare      = 1.0 / 16
	maxQuickRequest = 600
	// repayTime is how long after it expired a loan may still be repaid.
	repayTime = 10 * time.Minute
)

// Loan is an amount of tokens that another host lent to this one.
type Loan struct {
	ID          string        // unique for each request for a loan
	Lender      string        // id of the host that lent it
	Tokens      int64         // tokens lent
	RequestedAt time.Duration // when the borrower asked for the loan, on its own clock
	Wait        time.Duration // from its arrival until the lender has earned the tokens; they may not be used before
}

// Repayment is a message to the lender of a loan. Unused is the total of tokens given back so far for the loan, so that a later message
// includes the earlier ones, and messages may be duplicated, lost or reordered. A total of 0 says that all tokens are spent.
// Ended says that the other tokens are spent.
type Repayment struct {
	ID     string // of the loan
	Lender string // id of the host that lent it
	Unused int64  // total of tokens given back
	Ended  bool
}

// Receipt records where the tokens of a Take came from. It may be passed to Refund at most once, on the ledger that issued it.
type Receipt struct {
	event       uint64 // number of the take in the headroom record
	fromBucket  int64  // tokens
	inlineLoans [inlineLoanCount]loanPayment
	moreLoans   []loanPayment // loans beyond the inline ones
	held        *lentLoan     // tokens from the bucket that are used later; nil for none
}

// inlineLoanCount is the number of loans that a receipt records without allocating.
const inlineLoanCount = 2

// loanPayment is the tokens of a take that came from one loan.
type loanPayment struct {
	loan   *borrowedLoan
	tokens int64
}

// Tokens returns the number of tokens taken.
func (r Receipt) Tokens() int64 {
	total := r.fromBucket
	for p := range r.payments() {
		total += p.tokens
	}
	if r.held != nil {
		total += r.held.tokens
	}
	return total
}

// payments returns what came from loans.
func (r *Receipt) payments() iter.Seq[loanPayment] {
	return func(yield func(loanPayment) bool) {
		for _, p := range r.inlineLoans {
			if p.loan != nil && !yield(p) {
				return
			}
		}
		for _, p := range r.moreLoans {
			if !yield(p) {
				return
			}
		}
	}
}

// withLoanPayment returns the receipt with the tokens from one more loan.
func (r Receipt) withLoanPayment(p loanPayment) Receipt {
	for i := range r.inlineLoans {
		if r.inlineLoans[i].loan == nil {
			r.inlineLoans[i] = p
			return r
		}
	}
	r.moreLoans = append(r.moreLoans, p)
	return r
}
