package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"magnoliahoist/limit"
)

const (
	// loanTime is the part of a second's allowance that is borrowed at least, so that a loan serves several requests.
	loanTime = 0.1
	// dryTime is how long an account is refused at once after no host could lend it anything.
	dryTime = 100 * time.Millisecond
)

// borrowing is the state of an account's search for tokens.
type borrowing struct {
	active bool
	next   int // position among the other hosts
	asked  int
	dry    time.Duration // end of the time in which no host is asked
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// joined takes the other hosts and this host's fraction of every allowance.
func (s *State) joined(now time.Duration, e Joined) {
	s.others, s.fraction = e.Others, e.Fraction
	s.shareOut(now)
}

// shareOut sets this host's part of each account's allowance.
func (s *State) shareOut(now time.Duration) {
	if s.catalog == nil {
		return
	}
	for _, name := range s.catalog.Accounts() {
		spec, _ := s.catalog.AccountByName(name)
		a := s.accounts[name]
		if a == nil {
			a = &account{ledger: limit.NewLedger(now)}
			s.accounts[name] = a
		}
		a.spec = spec
		a.ledger.SetShare(now, spec.Rate*s.fraction, int64(spec.Burst*s.fraction))
	}
}

// take takes the tokens of a request and reports whether it may go on. A request that must wait for a loan, or
// that was refused, is taken care of.
func (s *State) take(now time.Duration, r *request) bool {
	a := s.accounts[r.account]
	if r.account == "" || a == nil || a.spec.Rate <= 0 {
		return true
	}
	receipt, taken := a.ledger.Take(now, r.cost)
	s.repay(r.account, a.ledger.Spent())
	if taken {
		r.receipt = receipt
		return true
	}
	if now < a.borrow.dry || len(s.others) == 0 {
		s.refuse(now, r, RateLimited, s.earnTime(now, a, r.cost))
		return false
	}
	r.phase = borrowingTokens
	if !a.borrow.active {
		a.borrow.active, a.borrow.asked = true, 0
		s.ask(now, r.account, a)
	}
	return false
}

// earnTime returns how long the host's own part needs to earn what a request lacks.
func (s *State) earnTime(now time.Duration, a *account, cost int64) time.Duration {
	rate := a.spec.Rate * max(s.fraction, 0.01)
	return time.Duration(float64(a.ledger.Missing(now, cost)) / rate * float64(time.Second))
}

// ask asks the next host for what the waiting requests of an account lack.
func (s *State) ask(now time.Duration, name string, a *account) {
	need := int64(0)
	for _, r := range s.requests {
		if r.phase == borrowingTokens && r.account == name {
			need += r.cost
		}
	}
	lender := s.others[a.borrow.next%len(s.others)]
	s.loans++
	s.emit(Borrow{
		Account: name,
		Loan:    s.settings.Host + "-" + strconv.FormatUint(s.loans, 10),
		Lender:  lender,
		Tokens:  a.ledger.Missing(now, need) + int64(loanTime*a.spec.Rate*s.fraction),
		Asked:   now,
	})
}

// lent takes a loan and lets the requests that waited for it go on.
func (s *State) lent(now time.Duration, e Lent) {
	a := s.accounts[e.Account]
	if a == nil {
		return
	}
	if e.Tokens > 0 {
		a.ledger.Borrow(now, limit.Loan{ID: e.Loan, Lender: e.Lender, Tokens: e.Tokens, Asked: e.Asked})
	}
	a.borrow.asked++
	if e.Tokens == 0 {
		a.borrow.next++
	}
	for _, r := range s.borrowers(e.Account) {
		receipt, taken := a.ledger.Take(now, r.cost)
		if !taken {
			break
		}
		r.receipt = receipt
		s.enqueue(now, r)
	}
	s.repay(e.Account, a.ledger.Spent())
	rest := s.borrowers(e.Account)
	if len(rest) > 0 && a.borrow.asked < len(s.others) {
		s.ask(now, e.Account, a)
		return
	}
	a.borrow.active = false
	if len(rest) > 0 {
		a.borrow.dry = now + dryTime
	}
	for _, r := range rest {
		s.refuse(now, r, RateLimited, s.earnTime(now, a, r.cost))
	}
}

// borrowers returns the requests of an account that wait for tokens, oldest first.
func (s *State) borrowers(name string) []*request {
	var list []*request
	for _, r := range s.requests {
		if r.phase == borrowingTokens && r.account == name {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.arrive.Number, b.arrive.Number) })
	return list
}

// asks lends tokens to another host.
func (s *State) asks(now time.Duration, e Asks) {
	tokens := int64(0)
	if a := s.accounts[e.Account]; a != nil {
		tokens = a.ledger.Lend(now, e.Loan, e.Borrower, e.Tokens)
	}
	s.emit(Lend{Loan: e.Loan, Tokens: tokens})
}

func (s *State) repaid(now time.Duration, e Repaid) {
	if a := s.accounts[e.Account]; a != nil {
		a.ledger.Repay(now, e.Loan, e.Unused)
	}
}

// giveBack returns the tokens of a request that did not run.
func (s *State) giveBack(now time.Duration, r *request) {
	a := s.accounts[r.account]
	if a == nil || r.receipt.Tokens() == 0 || r.ran {
		return
	}
	s.repay(r.account, a.ledger.Return(now, r.receipt, r.receipt.Tokens()))
	r.receipt = limit.Receipt{}
}

func (s *State) repay(name string, list []limit.Repayment) {
	for _, p := range list {
		s.emit(Repay{Account: name, Loan: p.ID, Lender: p.Lender, Unused: p.Unused})
	}
}
