package state

import (
	"math"
	"strconv"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/limit"
	"magnoliahoist/replica"
)

// Bounds of the pause between two rounds of loans when the first one brought fewer tokens than it asked for.
const (
	minBorrowPause = 10 * time.Millisecond
	maxBorrowPause = time.Second
)

// repayExpiredInterval is the time between two repayments of expired loans. Until a loan is repaid, its lender lacks the unspent tokens.
const repayExpiredInterval = 100 * time.Millisecond

// maxClockDrift is the fraction by which a host's monotonic clock may run faster than real time; refill rates are lowered by it.
// The operating system slews a clock by at most 0.05 %. Without the reduction, a bucket refilled by a fast clock would exceed the rate.
const maxClockDrift = 0.001

// roundingSlack is added before rounding down, so that floating-point error in a sum of parts does not lose a token of the burst.
const roundingSlack = 1e-9

// loanRound is an account's last round of loans: one request to each other holder of its allowance.
type loanRound struct {
	pendingResponses int           // lenders that have not responded yet
	requestedTokens  int64         // tokens that the account lacked at the start
	receivedTokens   int64         // tokens that the lenders have lent
	nextRoundAt      time.Duration // earliest start of the next round
}

// ensureTokens reports whether this host has enough of the account's tokens for a request. If not, it asks other hosts for a loan.
func (s *State) ensureTokens(now time.Duration, r *request) bool {
	a := s.accounts[r.account.Name]
	shortfall := a.ledger.Shortfall(now, r.maxCost)
	if shortfall <= 0 {
		return true
	}
	s.requestLoans(now, r, a, shortfall)
	return false
}

// requestLoans asks every other holder of an account's allowance for all missing tokens, since this host does not know
// which holders have any. Tokens lent beyond the missing ones serve the account's next requests.
func (s *State) requestLoans(now time.Duration, r *request, a *accountState, shortfall int64) {
	if a.round.pendingResponses > 0 || now < a.round.nextRoundAt {
		return
	}
	lenders := s.lenders(r.account.Name)
	if len(lenders) == 0 {
		return
	}
	a.round = loanRound{pendingResponses: len(lenders), requestedTokens: shortfall}
	for _, lender := range lenders {
		s.loanCount++
		s.emit(RequestLoan{
			Account:     r.account.Name,
			Loan:        s.settings.Host + "-" + strconv.FormatUint(s.loanCount, 36),
			Lender:      lender.ID,
			Address:     lender.Address,
			Tokens:      shortfall,
			RequestedAt: now,
		})
	}
}

// lenders returns the other holders of an account's allowance, without the silent ones.
func (s *State) lenders(name string) []replica.Member {
	share, _ := s.replica.View().ShareOf(name)
	var lenders []replica.Member
	for _, part := range share.Parts {
		if part.Host == s.settings.Host {
			continue
		}
		if _, silent := s.silentSince[part.Host]; silent {
			continue
		}
		if member, known := s.replica.View().MemberByID(part.Host); known {
			lenders = append(lenders, member)
		}
	}
	return lenders
}

// handleLoanReceived adds a loan to the ledger. When all lenders have responded and lent too little, the next round waits until the missing tokens may have been refilled.
func (s *State) handleLoanReceived(now time.Duration, e LoanReceived) {
	a := s.accounts[e.Account]
	if a == nil {
		return
	}
	if e.Tokens > 0 {
		a.ledger.Borrow(now, limit.Loan{ID: e.Loan, Lender: e.Lender, Tokens: e.Tokens, RequestedAt: e.RequestedAt})
	}
	a.round.pendingResponses = max(a.round.pendingResponses-1, 0)
	a.round.receivedTokens += e.Tokens
	if a.round.pendingResponses > 0 {
		return
	}
	if a.round.receivedTokens < a.round.requestedTokens {
		a.round.nextRoundAt = now + s.borrowPause(e.Account, a.round.requestedTokens-a.round.receivedTokens)
		// Repay at once: hosts that each keep too few tokens for a request would starve each other.
		for _, repayment := range a.ledger.RepayUnspent(now) {
			s.repay(e.Account, repayment)
		}
	}
	s.dispatchAll(now)
}

// borrowPause returns the time in which the account's rate refills the missing tokens, from minBorrowPause to maxBorrowPause.
func (s *State) borrowPause(name string, shortfall int64) time.Duration {
	clientAccount, known := s.replica.View().AccountByName(name)
	if !known || clientAccount.Rate <= 0 {
		return maxBorrowPause
	}
	pause := time.Duration(float64(shortfall) / clientAccount.Rate * float64(time.Second))
	return min(max(pause, minBorrowPause), maxBorrowPause)
}

// handleLoanRequested lends tokens to another host. A host that is not fresh lends none, since its part may have been given to another host.
func (s *State) handleLoanRequested(now time.Duration, e LoanRequested) {
	var tokens int64
	if a := s.accounts[e.Account]; a != nil && s.replica.Fresh(now) {
		tokens = a.ledger.Lend(now, e.Loan, e.Borrower, e.Tokens)
	}
	s.emit(GrantLoan{Loan: e.Loan, Tokens: tokens})
}

func (s *State) handleLoanRepaid(now time.Duration, e LoanRepaid) {
	if a := s.accounts[e.Account]; a != nil {
		a.ledger.Repay(now, e.Loan, e.Unused)
	}
}

// refund returns the unused part of a request's tokens to the bucket and to the lenders.
func (s *State) refund(now time.Duration, r *request, unused int64) {
	a := s.accounts[r.account.Name]
	if a == nil || unused <= 0 {
		return
	}
	for _, repayment := range a.ledger.Refund(now, r.receipt, unused) {
		s.repay(r.account.Name, repayment)
	}
}

// repayExpiredLoans repays the unspent part of expired loans.
func (s *State) repayExpiredLoans(now time.Duration) {
	if now-s.expiredRepaidAt < repayExpiredInterval {
		return
	}
	s.expiredRepaidAt = now
	for _, clientAccount := range s.replica.View().Accounts() {
		if a := s.accounts[clientAccount.Name]; a != nil {
			for _, repayment := range a.ledger.RepayExpired(now) {
				s.repay(clientAccount.Name, repayment)
			}
		}
	}
}

// repay emits the repayment of a loan, unless its lender is no longer a member.
func (s *State) repay(name string, repayment limit.Repayment) {
	member, known := s.replica.View().MemberByID(repayment.Lender)
	if !known {
		return
	}
	s.emit(RepayLoan{
		Account: name,
		Loan:    repayment.ID,
		Lender:  repayment.Lender,
		Address: member.Address,
		Unused:  repayment.Unused,
	})
}

// setParts sets this host's part of every account's allowance from the shared state; accounts that no longer exist get none.
func (s *State) setParts(now time.Duration) {
	view := s.replica.View()
	seen := make(map[string]bool, len(s.accounts))
	for _, clientAccount := range view.Accounts() {
		seen[clientAccount.Name] = true
		a := s.accounts[clientAccount.Name]
		if a == nil {
			a = &accountState{ledger: limit.NewLedger(now)}
			s.accounts[clientAccount.Name] = a
		}
		part, burst := s.usablePart(now, clientAccount)
		a.ledger.SetPart(now, clientAccount.Rate*part*(1-maxClockDrift), burst)
	}
	for name, a := range s.accounts {
		if !seen[name] {
			a.ledger.SetPart(now, 0, 0)
		}
	}
}

// usablePart returns the fraction of an account's allowance that this host may use now, and its part of the burst in whole tokens.
// The parts of all holders add up to the burst: each is the difference of two rounded running sums.
func (s *State) usablePart(now time.Duration, clientAccount account.Account) (float64, int64) {
	usable := s.takeover.holdings.UsablePart(now, s.replica, clientAccount.Name)
	share, _ := s.replica.View().ShareOf(clientAccount.Name)
	var sum float64
	for _, part := range share.Parts {
		before := math.Floor(sum*float64(clientAccount.Burst) + roundingSlack)
		sum += part.Fraction
		if part.Host != s.settings.Host {
			continue
		}
		if usable < part.Fraction {
			return usable, int64(usable * float64(clientAccount.Burst))
		}
		return usable, int64(math.Floor(sum*float64(clientAccount.Burst)+roundingSlack) - before)
	}
	return 0, 0
}
