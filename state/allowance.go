package state

import (
	"math"
	"strconv"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/limit"
	"magnoliahoist/replica"
)

// Bounds of the pause after lenders could not lend all that was asked.
const (
	minBorrowPause = 10 * time.Millisecond
	maxBorrowPause = time.Second
)

// sweepPeriod is the time between two returns of loans that have ended; tokens are missing at the lender until then.
const sweepPeriod = 100 * time.Millisecond

// fastClock is how much faster than real time a host's monotonic clock may run; the clock discipline of the
// operating system slews by at most 0.05 %. A bucket that earned by a fast clock would exceed the rate.
const fastClock = 0.001

// roundingSlack keeps a sum of parts that is 1 up to rounding from losing a token.
const roundingSlack = 1e-9

// borrowState is the round of loans that an account has under way.
type borrowState struct {
	pending int           // answers that are awaited
	missing int64         // tokens that the round asked for
	got     int64         // tokens that it brought
	next    time.Duration // earliest start of the next round
}

// affordable reports whether the account has the tokens of a request here, and asks other hosts when not.
func (s *State) affordable(now time.Duration, r *request) bool {
	a := s.accounts[r.account.Name]
	missing := a.ledger.Missing(now, r.bound)
	if missing <= 0 {
		return true
	}
	s.borrow(now, r, a, missing)
	return false
}

// borrow asks every other holder of an account's allowance for all that is missing, since it does not
// know which of them have tokens. What is left serves the account's next requests.
func (s *State) borrow(now time.Duration, r *request, a *accountState, missing int64) {
	if a.borrow.pending > 0 || now < a.borrow.next {
		return
	}
	lenders := s.lenders(r.account.Name)
	if len(lenders) == 0 {
		return
	}
	a.borrow = borrowState{pending: len(lenders), missing: missing}
	for _, lender := range lenders {
		s.loans++
		s.emit(Borrow{
			Account: r.account.Name,
			Loan:    s.settings.Host + "-" + strconv.FormatUint(s.loans, 36),
			Lender:  lender.ID,
			Address: lender.Address,
			Tokens:  missing,
			Asked:   now,
		})
	}
}

// lenders returns the other holders of an account's allowance that answer.
func (s *State) lenders(name string) []replica.Member {
	share, _ := s.replica.View().ShareOf(name)
	var lenders []replica.Member
	for _, part := range share.Parts {
		if part.Host == s.settings.Host {
			continue
		}
		if _, silent := s.silent[part.Host]; silent {
			continue
		}
		if member, known := s.replica.View().MemberByID(part.Host); known {
			lenders = append(lenders, member)
		}
	}
	return lenders
}

// lent books a loan; when the round brought too little, the next one waits until tokens may have grown.
func (s *State) lent(now time.Duration, e Lent) {
	a := s.accounts[e.Account]
	if a == nil {
		return
	}
	if e.Tokens > 0 {
		a.ledger.Borrow(now, limit.Loan{ID: e.Loan, Lender: e.Lender, Tokens: e.Tokens, Asked: e.Asked})
	}
	a.borrow.pending = max(a.borrow.pending-1, 0)
	a.borrow.got += e.Tokens
	if a.borrow.pending > 0 {
		return
	}
	if a.borrow.got < a.borrow.missing {
		a.borrow.next = now + s.borrowPause(e.Account, a.borrow.missing-a.borrow.got)
		// Several hosts that each kept too few tokens for a request would starve each other.
		for _, repayment := range a.ledger.Release(now) {
			s.repay(e.Account, repayment)
		}
	}
	s.dispatchAll(now)
}

// borrowPause is the time in which the fleet earns the tokens that are missing, within bounds.
func (s *State) borrowPause(name string, missing int64) time.Duration {
	owner, known := s.replica.View().AccountByName(name)
	if !known || owner.Rate <= 0 {
		return maxBorrowPause
	}
	pause := time.Duration(float64(missing) / owner.Rate * float64(time.Second))
	return min(max(pause, minBorrowPause), maxBorrowPause)
}

// asks lends tokens to another host, if this host may still rely on its part.
func (s *State) asks(now time.Duration, e Asks) {
	var tokens int64
	if a := s.accounts[e.Account]; a != nil && s.replica.Fresh(now) {
		tokens = a.ledger.Lend(now, e.Loan, e.Borrower, e.Tokens)
	}
	s.emit(Lend{Loan: e.Loan, Tokens: tokens})
}

func (s *State) repaid(now time.Duration, e Repaid) {
	if a := s.accounts[e.Account]; a != nil {
		a.ledger.Repay(now, e.Loan, e.Unused)
	}
}

// giveBack returns the unused part of a request's tokens.
func (s *State) giveBack(now time.Duration, r *request, unused int64) {
	a := s.accounts[r.account.Name]
	if a == nil || unused <= 0 {
		return
	}
	for _, repayment := range a.ledger.Return(now, r.receipt, unused) {
		s.repay(r.account.Name, repayment)
	}
}

// sweepLoans returns what was left unspent of loans that have ended.
func (s *State) sweepLoans(now time.Duration) {
	if now-s.swept < sweepPeriod {
		return
	}
	s.swept = now
	for _, owner := range s.replica.View().Accounts() {
		if a := s.accounts[owner.Name]; a != nil {
			for _, repayment := range a.ledger.Sweep(now) {
				s.repay(owner.Name, repayment)
			}
		}
	}
}

func (s *State) repay(name string, repayment limit.Repayment) {
	member, known := s.replica.View().MemberByID(repayment.Lender)
	if !known {
		return
	}
	s.emit(Repay{
		Account: name,
		Loan:    repayment.ID,
		Lender:  repayment.Lender,
		Address: member.Address,
		Unused:  repayment.Unused,
	})
}

// setShares sets the host's part of every account's allowance after a change of the shared state.
func (s *State) setShares(now time.Duration) {
	view := s.replica.View()
	seen := make(map[string]bool, len(s.accounts))
	for _, owner := range view.Accounts() {
		seen[owner.Name] = true
		a := s.accounts[owner.Name]
		if a == nil {
			a = &accountState{ledger: limit.NewLedger(now)}
			s.accounts[owner.Name] = a
		}
		part, burst := s.partOf(now, owner)
		a.ledger.SetShare(now, owner.Rate*part*(1-fastClock), burst)
	}
	for name, a := range s.accounts {
		if !seen[name] {
			a.ledger.SetShare(now, 0, 0)
		}
	}
}

// partOf returns the host's usable part of an account's allowance and its whole tokens of the burst.
// The tokens of all holders add up to the burst.
func (s *State) partOf(now time.Duration, owner account.Account) (float64, int64) {
	usable := s.takeover.holdings.Part(now, s.replica, owner.Name)
	share, _ := s.replica.View().ShareOf(owner.Name)
	var sum float64
	for _, part := range share.Parts {
		before := math.Floor(sum*float64(owner.Burst) + roundingSlack)
		sum += part.Part
		if part.Host != s.settings.Host {
			continue
		}
		if usable < part.Part {
			return usable, int64(usable * float64(owner.Burst))
		}
		return usable, int64(math.Floor(sum*float64(owner.Burst)+roundingSlack) - before)
	}
	return 0, 0
}
