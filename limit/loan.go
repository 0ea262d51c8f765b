package limit

import (
	"sort"
	"time"
)

// borrowed is a loan from another host.
type borrowed struct {
	id       string
	lender   string
	end      time.Duration // from then on it may not be spent
	left     int64         // tokens not spent
	returned int64         // tokens given back to the lender
}

// live returns the tokens that may be spent at now.
func (b *borrowed) live(now time.Duration) int64 {
	if now >= b.end {
		return 0
	}
	return b.left
}

// giveBack counts tokens as given back and returns the message to the lender.
func (b *borrowed) giveBack(tokens int64) Repayment {
	b.returned += tokens
	return Repayment{ID: b.id, Lender: b.lender, Unused: b.returned}
}

// lending is a loan to another host.
type lending struct {
	id       string
	borrower string
	tokens   int64
	repaid   int64         // total given back so far
	deficit  float64       // how far the cap fell below 0 while the loan ran; not credited
	end      time.Duration // from then on it is not spendable
	seq      uint64        // event of its end, which may come before the time of end; 0 before
}

// Lend lends up to want tokens and returns the amount. The tokens leave the level
// and the cap; the cap is restored 2.02 s later. A known id returns its first
// amount, and 0 when it names another borrower.
func (l *Ledger) Lend(now time.Duration, id, borrower string, want int64) int64 {
	l.settle(now)
	if loan := l.lent[id]; loan != nil {
		if loan.borrower != borrower {
			return 0
		}
		return loan.tokens
	}
	tokens := max(0, min(want, int64(l.level)))
	loan := &lending{id: id, borrower: borrower, tokens: tokens, end: l.now + lent}
	l.level -= float64(tokens)
	l.cap -= float64(tokens)
	l.lent[id] = loan
	l.ending = append(l.ending, loan)
	return tokens
}

// Borrow makes a loan spendable until 2 s after it was asked for. A loan that
// arrives later is dropped and counts as spent, because a doubled message must not
// be repaid twice. A known id changes nothing.
func (l *Ledger) Borrow(now time.Duration, loan Loan) {
	l.settle(now)
	end := loan.Asked + spendable
	if loan.Tokens <= 0 || l.now >= end {
		return
	}
	for _, known := range l.borrowed {
		if known.id == loan.ID {
			return
		}
	}
	at := sort.Search(len(l.borrowed), func(i int) bool { return l.borrowed[i].end > end })
	l.borrowed = append(l.borrowed, nil)
	copy(l.borrowed[at+1:], l.borrowed[at:])
	l.borrowed[at] = &borrowed{id: loan.ID, lender: loan.Lender, end: end, left: loan.Tokens}
}

// Repay credits tokens that the borrower of a loan did not use, as though the loan
// had been smaller from the start. Unused is the total given back under the id, so
// a repeated message changes nothing; 0 says that the borrower has spent all of it, which ends the
// loan. Unknown loans, and those that ended more than
// 10 minutes ago, are ignored.
func (l *Ledger) Repay(now time.Duration, id string, unused int64) {
	l.settle(now)
	loan := l.lent[id]
	if loan == nil {
		return
	}
	if unused == 0 && loan.seq == 0 {
		l.finish(loan)
	}
	unused = min(unused, loan.tokens)
	if unused <= loan.repaid {
		return
	}
	credit := max(0, float64(unused)-loan.deficit) - max(0, float64(loan.repaid)-loan.deficit)
	if loan.seq != 0 {
		l.level += l.room.credit(loan.seq, credit)
	} else {
		// A smaller loan leaves level and cap higher by the same amount, so the
		// distance between them in the past stays as recorded.
		l.cap += float64(unused - loan.repaid)
		l.level = max(l.level, min(l.level+credit, l.cap))
		l.room.observe(l.distance())
	}
	loan.repaid = unused
}
