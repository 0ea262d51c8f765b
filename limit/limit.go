// Package limit keeps a host's part of a client account's allowance: a token
// bucket, credits for unused tokens, and loans between hosts.
//
// The package performs no I/O and holds no clock or lock. Durations are
// monotonic times since the start of the process; amounts are tokens.
package limit

import "time"

const (
	// spendable is how long after asking for a loan its borrower may spend it.
	spendable = 2 * time.Second
	// lent is how long after lending the lender counts a loan as spendable. It
	// allows for clocks that drift apart by 1 %.
	lent = spendable * 101 / 100
	// repayable is how long after its end a loan may be repaid.
	repayable = 10 * time.Minute
)

// Loan is an amount that another host lent.
type Loan struct {
	ID     string        // unique for each request for a loan
	Lender string        // host that lent it
	Tokens int64         // tokens lent
	Asked  time.Duration // time at which the borrower asked, on its own clock
}

// Repayment is a message to the lender of a loan. Unused is the total of tokens
// given back so far under ID, so a later message includes the earlier ones and
// messages may be doubled, lost or reordered. 0 says that the loan is spent.
type Repayment struct {
	ID     string
	Lender string
	Unused int64 // tokens
}

// Receipt records where the tokens of a Take came from. It is passed to Return at
// most once, on the ledger that issued it.
type Receipt struct {
	seq   uint64
	own   int64
	parts [inlineParts]part
	more  []part // parts beyond the inline ones
}

// inlineParts is the number of loans that a receipt records without allocating.
const inlineParts = 2

// part is the share of a take that was paid from a loan.
type part struct {
	loan   *borrowed
	tokens int64
}

// Tokens returns the number of tokens taken.
func (r Receipt) Tokens() int64 {
	total := r.own
	for _, p := range r.parts {
		total += p.tokens
	}
	for _, p := range r.more {
		total += p.tokens
	}
	return total
}

// withPart returns the receipt with one more loan.
func (r Receipt) withPart(p part) Receipt {
	for i := range r.parts {
		if r.parts[i].loan == nil {
			r.parts[i] = p
			return r
		}
	}
	r.more = append(r.more, p)
	return r
}
