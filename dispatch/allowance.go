package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/limit"
)

const (
	// maxDebt bounds, in units of an account's rate, what a request larger than the account's burst may take beyond a full bucket of
	// one host: one large request.
	maxDebt = 8_000
	// borrowAhead is the time for which this host's use of an account is borrowed besides what the waiting requests need, if
	// the account's next request is expected within it. Tokens that were borrowed ahead and not spent within it are returned.
	borrowAhead = 400 * time.Millisecond
	// useWindow is the time over which this host's use of an account is averaged.
	useWindow = 2 * time.Second
	// noTokensPause is how long no lender is asked for requests of at least noTokensShare of the cost of a request for which no host
	// could lend enough. Smaller requests may still be served.
	noTokensPause = 100 * time.Millisecond
	noTokensShare = 0.5
	// scarcePause is how long a round asks only one lender, for tokens that it has yet to earn, after a round in which no lender held
	// enough.
	scarcePause = 200 * time.Millisecond
	// reserveWait is how long a request waits for tokens that this host earns before another host is asked: as long as a loan takes.
	reserveWait = 5 * time.Millisecond
	// tokenWaitMargin is the part of the time for which a request may be queued that remains for the choice of an endpoint after it
	// has waited for tokens. It includes the interval between ticks.
	tokenWaitMargin = 40 * time.Millisecond
	// clockDrift is the part by which a wait that another host has stated is lengthened, because clocks may drift apart by 1 %.
	clockDrift = 0.01
	// lenderPatience is how long a lender may take to respond before the next one is asked as well. A loan takes 2 to 6 ms.
	lenderPatience = 50 * time.Millisecond
	// silentLenderPause is how long a lender that did not respond is asked for no other loan.
	silentLenderPause = time.Second
)

// account is the state of one client account on this host.
type account struct {
	spec        catalog.Account
	ledger      *limit.Ledger
	fraction    float64                  // this host's part of the account's rate and burst; 0 when it holds none
	lenders     []Member                 // the other hosts that hold a part
	silentUntil map[string]time.Duration // by ID of the lender
	useRate     float64                  // moving average at useRateAt of the use by this host's callers, in units a second
	useRateAt   time.Duration
	gain        gain
	tokens      TokenCounts
	borrowing   borrowing
	turns       turns
}

// borrowing is the state of an account's requests for loans.
type borrowing struct {
	active       bool   // a lender has been asked and has not responded yet
	nextLender   int    // position in account.lenders, modulo their number, of the lender to ask next
	lendersAsked int    // lenders tried since active was set
	loan         string // ID of the loan that was asked for last
	lender       string // ID of the lender that was asked last
	askedAt      time.Duration
	pausedUntil  time.Duration // until when no lender is asked for requests of at least pausedCost
	pausedCost   int64
	scarceUntil  time.Duration // until when only one lender is asked in a round, because none held enough
}

// takeTokens takes units from the account and reports whether there were enough. A request that is larger than the account's burst
// would never be served. It therefore overdraws a full bucket, and nothing else is taken until that is earned.
func (a *account) takeTokens(now time.Duration, cost int64) (limit.Receipt, bool) {
	if receipt, taken := a.ledger.Take(now, cost); taken {
		return receipt, true
	}
	if !a.exceedsBurst(cost) {
		return limit.Receipt{}, false
	}
	return a.ledger.Overdraw(now, cost, maxDebt)
}

// takeTokensAfter is takeTokens for units that are earned after a wait.
func (a *account) takeTokensAfter(now time.Duration, cost int64, wait time.Duration) (limit.Receipt, bool) {
	if wait <= 0 {
		return a.takeTokens(now, cost)
	}
	return a.ledger.TakeAfter(now, cost, wait)
}

// exceedsBurst reports whether a number of units is more than the account's burst, so that it can't be had at once within the limit.
func (a *account) exceedsBurst(units int64) bool { return float64(units) > a.spec.Burst }

// unservable reports whether a request is larger than all full buckets and one host's debt together.
func (a *account) unservable(cost int64) bool { return float64(cost) > a.spec.Burst+maxDebt }

// countUse adds a request's cost to the average use of the account by this host's callers.
func (a *account) countUse(now time.Duration, cost int64) {
	kept := max(1-(now-a.useRateAt).Seconds()/useWindow.Seconds(), 0)
	a.useRate = a.useRate*kept + float64(cost)/useWindow.Seconds()
	a.useRateAt = now
}

// tokensAhead returns how many tokens to borrow besides those of the waiting requests: the expected use within borrowAhead, or
// none if no further request of the size of the waiting ones is expected by then. Such tokens would lie idle at this host while
// other hosts refuse requests.
func (a *account) tokensAhead(now time.Duration, waiting int64) int64 {
	earlier := a.useRate*max(1-(now-a.useRateAt).Seconds()/useWindow.Seconds(), 0) - float64(waiting)/useWindow.Seconds()
	if ahead := int64(earlier * borrowAhead.Seconds()); ahead >= waiting {
		return ahead
	}
	return 0
}

// chargeTokens takes the tokens of a request and reports whether the request can be queued now. If not, it has refused the
// request, or the request waits for a loan and is queued or refused later.
func (s *State) chargeTokens(now time.Duration, r *request) bool {
	a := s.accounts[r.account]
	if r.account == "" || a == nil || a.spec.Rate <= 0 {
		return true
	}
	if a.unservable(r.cost) {
		a.tokens.Refused += r.cost
		s.refuse(now, r, RateLimited, 0)
		return false
	}
	a.countUse(now, r.cost)
	receipt, taken := a.takeTokens(now, r.cost)
	s.repay(r.account, a.ledger.SpentLoans())
	if taken {
		a.assign(r, receipt)
		return true
	}
	if s.reserveTokens(now, r, a, min(reserveWait, r.tokenWait(now))) {
		return false
	}
	if now < a.borrowing.pausedUntil && r.cost >= a.borrowing.pausedCost || len(a.lenders) == 0 {
		if !s.reserveTokens(now, r, a, r.tokenWait(now)) {
			s.refuseForTokens(now, r, a)
		}
		return false
	}
	r.phase = awaitingTokens
	if !a.borrowing.active {
		s.setBorrowing(a, true)
		a.borrowing.lendersAsked = 0
		if now < a.borrowing.scarceUntil {
			a.borrowing.lendersAsked = len(a.lenders) - 1
		}
		s.borrowFromNextLender(now, r.account, a)
	}
	return false
}

// assign gives a request the tokens that were taken for it.
func (a *account) assign(r *request, receipt limit.Receipt) {
	r.receipt = receipt
	a.tokens.Admitted += r.cost
}

// setBorrowing notes whether a lender has been asked for an account and the result is awaited.
func (s *State) setBorrowing(a *account, active bool) {
	switch {
	case active && !a.borrowing.active:
		s.borrowingCount++
	case !active && a.borrowing.active:
		s.borrowingCount--
	}
	a.borrowing.active = active
}

// tokenWait returns how long a request can wait for tokens.
func (r *request) tokenWait(now time.Duration) time.Duration {
	return max(r.arrivedAt+queueWait(r)-tokenWaitMargin-now, 0)
}

// reserveTokens lets a request wait for tokens that this host's part earns within maxWait, and reports whether there are enough.
func (s *State) reserveTokens(now time.Duration, r *request, a *account, maxWait time.Duration) bool {
	receipt, wait, reserved := a.ledger.Reserve(now, r.cost, maxWait)
	s.repay(r.account, a.ledger.SpentLoans())
	if reserved {
		a.assign(r, receipt)
		s.enqueueAfter(now, r, wait)
	}
	return reserved
}

// enqueueAfter queues a request that has its tokens once they are earned.
func (s *State) enqueueAfter(now time.Duration, r *request, wait time.Duration) {
	if wait <= 0 {
		s.enqueue(now, r)
		return
	}
	r.phase, r.earnedAt = awaitingEarned, now+wait
	s.earning = append(s.earning, r.arrival.Number)
}

// enqueueEarned queues the requests whose tokens have been earned, oldest first.
func (s *State) enqueueEarned(now time.Duration) {
	numbers := s.earning
	s.earning = nil
	slices.Sort(numbers)
	for _, number := range numbers {
		r := s.requests[number]
		if r == nil || r.phase != awaitingEarned {
			continue
		}
		if now < r.earnedAt {
			s.earning = append(s.earning, number)
			continue
		}
		if a := s.accounts[r.account]; a != nil {
			a.ledger.Use(r.receipt)
			s.repay(r.account, a.ledger.SpentLoans())
		}
		s.enqueue(now, r)
	}
}

// nextLender returns the lender to ask next, leaving out silent ones, and whether it is the last one to ask.
func (a *account) nextLender(now time.Duration) (lender Member, last, found bool) {
	for ; a.borrowing.lendersAsked < len(a.lenders); a.borrowing.lendersAsked++ {
		candidate := a.lenders[a.borrowing.nextLender%len(a.lenders)]
		if now < a.silentUntil[candidate.ID] {
			a.borrowing.nextLender++
			continue
		}
		others := len(a.lenders) - a.borrowing.lendersAsked - 1
		last = true
		for i := range others {
			other := a.lenders[(a.borrowing.nextLender+1+i)%len(a.lenders)]
			last = last && now < a.silentUntil[other.ID]
		}
		return candidate, last, true
	}
	return Member{}, false, false
}

// borrowFromNextLender asks the next lender for what the waiting requests of an account lack. Only the last lender is asked for
// tokens that it has yet to earn, because the others may hold enough. When all lenders have been tried, it stops borrowing.
func (s *State) borrowFromNextLender(now time.Duration, name string, a *account) {
	lender, last, found := a.nextLender(now)
	if !found {
		s.stopBorrowing(now, name, a)
		return
	}
	shortfall, largest, maxWait := int64(0), int64(0), time.Duration(0)
	for _, r := range s.awaitingTokensOf(name) {
		shortfall += r.cost
		largest = max(largest, r.cost)
		if last {
			maxWait = max(maxWait, r.tokenWait(now))
		}
	}
	ahead, unreported := a.tokensAhead(now, shortfall), int64(0)
	if last {
		ahead = 0 // no other lender held enough
		unreported, a.turns.unreported = a.turns.unreported, 0
	}
	s.loanCount++
	a.borrowing.loan = s.settings.Host + "-" + strconv.FormatUint(s.loanCount, 10)
	a.borrowing.lender, a.borrowing.askedAt = lender.ID, now
	a.borrowing.lendersAsked++
	s.emit(RequestLoan{
		Account:          name,
		Loan:             a.borrowing.loan,
		Lender:           lender,
		Tokens:           a.ledger.Shortfall(now, shortfall) + ahead,
		LargestShortfall: a.ledger.Shortfall(now, largest),
		MaxWait:          maxWait,
		Refused:          unreported,
		RequestedAt:      now,
	})
}

// passSilentLender asks the next lender when the last one takes too long, so that requests do not wait for the end of the call. A
// loan that arrives late is used or returned. Without another lender, the requests wait as long as they can.
func (s *State) passSilentLender(now time.Duration, name string, a *account) {
	if !a.borrowing.active || now < a.borrowing.askedAt+lenderPatience {
		return
	}
	if _, _, found := a.nextLender(now); found {
		a.silentUntil[a.borrowing.lender] = now + silentLenderPause
		a.borrowing.nextLender++
		s.borrowFromNextLender(now, name, a)
		return
	}
	if waiting := s.awaitingTokensOf(name); len(waiting) == 0 || waiting[0].tokenWait(now) == 0 {
		s.stopBorrowing(now, name, a)
	}
}

// stopBorrowing ends an account's loan requests. It queues the waiting requests for which the tokens suffice or will be earned in
// time, such as small ones behind a large one, refuses the others, and repays what is left of the loans.
func (s *State) stopBorrowing(now time.Duration, name string, a *account) {
	s.setBorrowing(a, false)
	var refused []*request
	for _, r := range s.awaitingTokensOf(name) {
		if receipt, taken := a.takeTokens(now, r.cost); taken {
			a.assign(r, receipt)
			s.enqueue(now, r)
			continue
		}
		if s.reserveTokens(now, r, a, r.tokenWait(now)) {
			continue
		}
		if cost := int64(noTokensShare * float64(r.cost)); now >= a.borrowing.pausedUntil || cost < a.borrowing.pausedCost {
			a.borrowing.pausedCost = cost
		}
		a.borrowing.pausedUntil = now + noTokensPause
		refused = append(refused, r)
	}
	s.refuseInTurn(now, refused, a)
	s.repay(name, a.ledger.SpentLoans())
	s.repay(name, a.ledger.RepayUnspent(now))
}

// handleLoanReceived adds a loan to the account and queues the waiting requests for which the tokens suffice, when they are
// earned. If requests still wait, it asks the next lender.
func (s *State) handleLoanReceived(now time.Duration, e LoanReceived) {
	a := s.accounts[e.Account]
	if a == nil || s.handleProbed(now, a, e) {
		return
	}
	wait := time.Duration(float64(e.Wait) * (1 + clockDrift))
	if e.RetryAfter > 0 || e.Wait > 0 {
		a.borrowing.scarceUntil = now + scarcePause
	}
	if e.RetryAfter > 0 {
		a.turns.learn(now, e.RetryAfter)
	}
	if e.Tokens > 0 {
		a.tokens.Borrowed += e.Tokens
		a.ledger.Borrow(now, limit.Loan{ID: e.Loan, Lender: e.Lender, Tokens: e.Tokens, RequestedAt: e.RequestedAt, Wait: wait})
	}
	if e.Responded {
		delete(a.silentUntil, e.Lender)
	} else {
		a.silentUntil[e.Lender] = now + silentLenderPause
	}
	served := false
	for _, r := range s.awaitingTokensOf(e.Account) {
		if wait > r.tokenWait(now)+lenderPatience && wait > 0 {
			continue // it can't wait as long as another one
		}
		receipt, taken := a.takeTokensAfter(now, r.cost, wait)
		if !taken {
			break
		}
		a.assign(r, receipt)
		served = true
		s.enqueueAfter(now, r, wait)
	}
	s.repay(e.Account, a.ledger.SpentLoans())
	sufficed := len(s.awaitingTokensOf(e.Account)) == 0
	if wait > 0 || sufficed && !served {
		// Tokens that are not earned yet may not serve another request, and those that no request waits for would lie idle.
		s.repay(e.Account, a.ledger.RepayLoan(now, e.Loan))
	}
	current := a.borrowing.active && e.Loan == a.borrowing.loan
	if current && (e.Tokens == 0 || e.Wait > 0 || !sufficed) {
		a.borrowing.nextLender++
	}
	switch {
	case sufficed:
		s.setBorrowing(a, false)
	case current:
		s.borrowFromNextLender(now, e.Account, a)
	}
}

// awaitingTokensOf returns the requests of an account that wait for a loan, oldest first.
func (s *State) awaitingTokensOf(name string) []*request {
	var list []*request
	for _, r := range s.requests {
		if r.phase == awaitingTokens && r.account == name {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.arrival.Number, b.arrival.Number) })
	return list
}

// handleLoanRequested lends tokens to another host, up to what the bucket holds. From a full bucket it lends up to maxDebt more
// for a request that is larger than the account's burst.
func (s *State) handleLoanRequested(now time.Duration, e LoanRequested) {
	tokens, wait, retryAfter := int64(0), time.Duration(0), time.Duration(0)
	a := s.accounts[e.Account]
	switch {
	case a == nil, e.Probe:
	case a.exceedsBurst(e.LargestShortfall):
		tokens = a.ledger.LendBeyond(now, e.Loan, e.Borrower, e.LargestShortfall, maxDebt)
	default:
		tokens, wait = a.ledger.LendAhead(now, e.Loan, e.Borrower, e.Tokens, e.LargestShortfall, e.MaxWait)
	}
	if a != nil && e.MaxWait > 0 {
		retryAfter = a.promise(now, max(e.Tokens-tokens, 0)+e.Refused)
	}
	if a != nil {
		a.tokens.Lent += tokens
	}
	grant := GrantLoan{Loan: e.Loan, Tokens: tokens, Wait: wait, RetryAfter: retryAfter}
	if e.Probe {
		grant.Knows = slices.ContainsFunc(s.members, func(m Member) bool { return m.ID == e.Borrower })
		if a != nil {
			grant.LoansEnd = a.ledger.LoansEnd(now)
		}
	}
	s.emit(grant)
}

// handleLoanRepaid returns the unused part of a loan to the account that lent it.
func (s *State) handleLoanRepaid(now time.Duration, e LoanRepaid) {
	if a := s.accounts[e.Account]; a != nil {
		a.ledger.Repay(now, e.Loan, e.Unused)
		if e.Ended {
			a.ledger.EndLoan(now, e.Loan)
		}
	}
}

// refund returns the tokens of a request to its account and lenders, unless an attempt may have been executed.
func (s *State) refund(now time.Duration, r *request) {
	a := s.accounts[r.account]
	if a == nil || r.receipt.Tokens() == 0 || r.mayHaveRun {
		return
	}
	a.tokens.Returned += r.receipt.Tokens()
	s.repay(r.account, a.ledger.Refund(now, r.receipt, r.receipt.Tokens()))
	r.receipt = limit.Receipt{}
}

// repay tells lenders the unused parts of their loans.
func (s *State) repay(name string, repayments []limit.Repayment) {
	for _, repayment := range repayments {
		s.emit(RepayLoan{Account: name, Loan: repayment.ID, Lender: repayment.Lender, Unused: repayment.Unused, Ended: repayment.Ended})
	}
}
