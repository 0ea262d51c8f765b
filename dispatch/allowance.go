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
	// holderBurst is the part of a burst in units, several large requests, that is worth a holder of its own.
	holderBurst = 12_000
	// leastHolders of an allowance let an account be served while one of them is away; mostHolders bound the hosts
	// that are asked for a loan.
	leastHolders = 2
	mostHolders  = 5
	// maxDebt bounds what is granted beyond a full bucket, in units: one large request.
	maxDebt = 8_000
	// loanTime is for how much of this host's use of an account tokens are borrowed ahead.
	loanTime = 0.4
	// useLife is the time over which the use of an account is averaged.
	useLife = 2 * time.Second
	// dryTime is how long an account is refused at once after no host could lend it anything.
	dryTime = 100 * time.Millisecond
	// rateRetry is what a caller is told to wait besides, after its account's rate was used up.
	rateRetry = 250 * time.Millisecond
	// lenderRest is how long a lender that did not answer is not asked.
	lenderRest = time.Second
)

// account is what the host keeps of one client account.
type account struct {
	spec     catalog.Account
	ledger   *limit.Ledger
	fraction float64  // of the allowance that this host holds
	lenders  []Member // other holders
	silent   map[string]time.Duration
	debt     int64 // units that were granted beyond a full bucket
	use      float64
	used     time.Duration // of use
	borrow   borrowing
}

// borrowing is the state of an account's search for tokens.
type borrowing struct {
	active bool
	next   int // position among the lenders
	asked  int
	dry    time.Duration // end of the time in which no host is asked
}

// joined takes the list of hosts.
func (s *State) joined(now time.Duration, e Joined) {
	s.members, s.fraction = e.Members, 0
	if slices.ContainsFunc(e.Members, func(m Member) bool { return m.Name == s.settings.Host }) {
		s.fraction = 1 / float64(len(e.Members))
	}
	s.shareOut(now)
}

// shareOut sets this host's part of each account's allowance. A part that is new here starts empty.
func (s *State) shareOut(now time.Duration) {
	if s.catalog == nil {
		return
	}
	for _, name := range s.catalog.Accounts() {
		spec, _ := s.catalog.AccountByName(name)
		a := s.accounts[name]
		if a == nil {
			a = &account{ledger: limit.NewLedger(now), silent: map[string]time.Duration{}}
			s.accounts[name] = a
		}
		a.spec = spec
		holders := holdersOf(spec, s.members)
		a.fraction, a.lenders = 0, nil
		for _, m := range holders {
			if m.Name == s.settings.Host {
				a.fraction = 1 / float64(len(holders))
				continue
			}
			a.lenders = append(a.lenders, m)
		}
		a.ledger.SetShare(now, spec.Rate*a.fraction, int64(spec.Burst*a.fraction))
	}
}

// holdersOf returns the hosts among which an allowance is divided, by rendezvous hashing over their names: a host that
// starts again under its name holds the same parts, and all hosts agree without a message.
func holdersOf(spec catalog.Account, members []Member) []Member {
	count := min(max(int(spec.Burst/holderBurst), leastHolders), mostHolders, len(members))
	ranked := slices.Clone(members)
	key := hashText(spec.Name)
	weight := func(m Member) uint64 { return mix(key ^ hashText(m.Name)) }
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name)) })
	return ranked[:count]
}

// cap returns the units that a full bucket of this host holds.
func (a *account) cap() int64 { return int64(a.spec.Burst * a.fraction) }

// settle pays debts with what the bucket has earned.
func (a *account) settle(now time.Duration) {
	if a.debt == 0 {
		return
	}
	pay := a.debt - a.ledger.Missing(now, a.debt)
	if _, paid := a.ledger.Take(now, pay); paid {
		a.debt -= pay
	}
}

// grant takes units from the account. A request that is larger than a full bucket would never be served: it is granted
// when the bucket is full, and the rest is a debt that is paid before anything else is granted.
func (a *account) grant(now time.Duration, cost int64) (limit.Receipt, bool) {
	a.settle(now)
	if a.debt > 0 {
		return limit.Receipt{}, false
	}
	if receipt, taken := a.ledger.Take(now, cost); taken {
		return receipt, true
	}
	full := a.cap()
	if full == 0 || cost <= full {
		return limit.Receipt{}, false
	}
	receipt, taken := a.ledger.Take(now, full)
	if taken {
		a.debt = cost - full
	}
	return receipt, taken
}

// note counts the use of the account by this host's callers.
func (a *account) note(now time.Duration, cost int64) {
	left := max(1-(now-a.used).Seconds()/useLife.Seconds(), 0)
	a.use = a.use*left + float64(cost)/useLife.Seconds()
	a.used = now
}

// take takes the tokens of a request and reports whether it may go on. A request that must wait for a loan, or
// that was refused, is taken care of.
func (s *State) take(now time.Duration, r *request) bool {
	a := s.accounts[r.account]
	if r.account == "" || a == nil || a.spec.Rate <= 0 {
		return true
	}
	a.note(now, r.cost)
	receipt, taken := a.grant(now, r.cost)
	s.repay(r.account, a.ledger.Spent())
	if taken {
		r.receipt = receipt
		return true
	}
	if now < a.borrow.dry || len(a.lenders) == 0 {
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

// earnTime returns how long the account needs to earn what a request lacks, with time for those that wait for the
// same tokens.
func (s *State) earnTime(now time.Duration, a *account, cost int64) time.Duration {
	earned := time.Duration(float64(a.ledger.Missing(now, cost)+a.debt) / a.spec.Rate * float64(time.Second))
	return earned + rateRetry
}

// ask asks the next lender that answers for what the waiting requests of an account lack. It reports false when there
// is none.
func (s *State) ask(now time.Duration, name string, a *account) bool {
	for ; a.borrow.asked < len(a.lenders); a.borrow.asked++ {
		lender := a.lenders[a.borrow.next%len(a.lenders)]
		if now < a.silent[lender.ID] {
			a.borrow.next++
			continue
		}
		need, largest := int64(0), int64(0)
		for _, r := range s.borrowers(name) {
			need += r.cost
			largest = max(largest, r.cost)
		}
		s.loans++
		s.emit(Borrow{
			Account: name,
			Loan:    s.settings.Host + "-" + strconv.FormatUint(s.loans, 10),
			Lender:  lender,
			Tokens:  a.ledger.Missing(now, need) + int64(loanTime*a.use),
			Least:   a.ledger.Missing(now, largest),
			Asked:   now,
		})
		a.borrow.asked++
		return true
	}
	s.giveUp(now, name, a)
	return false
}

// giveUp refuses the requests for which no host had tokens, and gives back what was borrowed for them. Smaller requests
// behind one that asks for too much go on with what was borrowed.
func (s *State) giveUp(now time.Duration, name string, a *account) {
	a.borrow.active = false
	rest := s.borrowers(name)
	if len(rest) == 0 {
		return
	}
	a.borrow.dry = now + dryTime
	for _, r := range rest {
		if receipt, taken := a.grant(now, r.cost); taken {
			r.receipt = receipt
			s.enqueue(now, r)
			continue
		}
		s.refuse(now, r, RateLimited, s.earnTime(now, a, r.cost))
	}
	s.repay(name, a.ledger.Release(now))
}

// lent takes a loan and lets the requests that waited for it go on.
func (s *State) lent(now time.Duration, e Lent) {
	a := s.accounts[e.Account]
	if a == nil {
		return
	}
	if e.Tokens > 0 {
		a.ledger.Borrow(now, limit.Loan{ID: e.Loan, Lender: e.Lender, Tokens: e.Tokens, Asked: e.Asked})
	} else {
		a.borrow.next++
	}
	if !e.Answered {
		a.silent[e.Lender] = now + lenderRest
	}
	for _, r := range s.borrowers(e.Account) {
		receipt, taken := a.grant(now, r.cost)
		if !taken {
			break
		}
		r.receipt = receipt
		s.enqueue(now, r)
	}
	s.repay(e.Account, a.ledger.Spent())
	if len(s.borrowers(e.Account)) == 0 {
		a.borrow.active = false
		return
	}
	a.borrow.next++
	s.ask(now, e.Account, a)
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

// asks lends tokens to another host: what there is, and what a request that is larger than a full bucket lacks.
func (s *State) asks(now time.Duration, e Asks) {
	tokens := int64(0)
	if a := s.accounts[e.Account]; a != nil {
		a.settle(now)
		full := a.cap()
		whole := a.debt == 0 && full > 0 && a.ledger.Missing(now, full) == 0
		if a.debt == 0 {
			tokens = a.ledger.Lend(now, e.Loan, e.Borrower, e.Tokens)
		}
		if extra := min(e.Least-tokens, maxDebt); whole && tokens > 0 && extra > 0 {
			a.debt += extra
			tokens += extra
		}
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
