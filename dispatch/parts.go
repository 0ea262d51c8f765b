package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/limit"
)

const (
	// burstPerHolder is the burst, in units of an account's rate, for each host among which the account's rate and burst are
	// divided: several large requests.
	burstPerHolder = 12_000
	// minHolders and maxHolders bound the hosts among which an account's rate and burst are divided. With two, the account
	// can still be served while one of them is down; the upper bound limits how many hosts are asked for a loan.
	minHolders = 2
	maxHolders = 5
	// minLendShare is the least share of a part's burst that may be lent at a time. Half of it leaves the other half to a process that
	// replaces this one while the loans run.
	minLendShare = 0.5
	// moveDelay is how long after a change of the hosts or of the configuration a part is added to: until hosts in contact with the
	// store apply the change (3 s), and loans of the host that held the part before have ended.
	moveDelay = 3*time.Second + limit.LenderLoanTime
	// maxReadyDelay bounds how long a host that has become a member is not ready because it may not use its parts yet.
	maxReadyDelay = 2500 * time.Millisecond
	// probeInterval is the pause between two probes of a host.
	probeInterval = 250 * time.Millisecond
)

// gain is what this host's part of an account is raised to once no other host can use it. The zero value is no gain.
type gain struct {
	fraction float64
	earliest time.Duration
	asked    []Member                 // hosts that must know this one first; only while it has just become a member
	knownBy  map[string]time.Duration // by ID of a host that knows this one: when the loans that it made before have ended
	probes   map[string]string        // by ID of a probe: ID of the host
	probedAt time.Duration
}

// handleMembersChanged replaces the list of hosts.
func (s *State) handleMembersChanged(now time.Duration, e MembersChanged) {
	wasMember := s.hostFraction > 0
	s.members, s.hostFraction = e.Members, 0
	if slices.ContainsFunc(e.Members, func(m Member) bool { return m.Name == s.settings.Host }) {
		s.hostFraction = 1 / float64(len(e.Members))
	}
	switch {
	case s.hostFraction == 0:
		s.hasPredecessor = e.Predecessor
	case !wasMember:
		s.joined = !s.hasPredecessor
		s.joinedAt = now
	}
	s.updateSenders(now)
	s.setAccountParts(now)
}

// setAccountParts sets this host's part of each account's rate and burst. A part is lowered at once, and raised once no other host can
// use what is added. What is added starts as an empty bucket.
func (s *State) setAccountParts(now time.Duration) {
	if s.catalog == nil {
		return
	}
	for _, name := range s.catalog.Accounts() {
		spec, _ := s.catalog.AccountByName(name)
		a := s.accounts[name]
		first := a == nil || now == s.joinedAt
		if a == nil {
			a = &account{ledger: limit.NewLedger(now), silentUntil: map[string]time.Duration{}}
			s.accounts[name] = a
		}
		a.spec = spec
		ranked, count := rankHolders(spec, s.members)
		fraction := 0.0
		a.lenders = nil
		for _, m := range ranked[:count] {
			if m.Name == s.settings.Host {
				fraction = 1 / float64(count)
				continue
			}
			a.lenders = append(a.lenders, m)
		}
		if fraction <= a.fraction {
			a.fraction, a.gain = fraction, gain{}
		} else {
			s.startGain(now, a, fraction, first)
			a.gain.asked = s.earlierHolders(now, ranked, count)
		}
		s.setPart(now, a)
		s.advanceGain(now, name, a)
	}
}

func (s *State) setPart(now time.Duration, a *account) {
	a.ledger.SetPart(now, a.spec.Rate*a.fraction, int64(a.spec.Burst*a.fraction))
	a.ledger.LimitLending(a.lendShare())
}

// lendShare returns the share of a part's burst that may be lent at a time. All parts together can lend the tokens of one large
// request, also when the account's burst is small.
func (a *account) lendShare() float64 { return min(max(maxDebt/a.spec.Burst, minLendShare), 1) }

// startGain notes that this host's part is raised. It is entitled to a part from the first list of members in which it holds one.
func (s *State) startGain(now time.Duration, a *account, fraction float64, first bool) {
	if fraction <= a.gain.fraction {
		a.gain.fraction = fraction
		return
	}
	a.gain = gain{fraction: fraction, earliest: now + moveDelay, knownBy: map[string]time.Duration{}, probes: map[string]string{}, probedAt: now - probeInterval}
	if first {
		// The hosts that held the part before are asked, or it belonged to the process before this one, which may have lent tokens that
		// it would have earned within MaxEarnTime.
		a.gain.earliest = max(now, limit.MaxEarnTime)
		if s.joined {
			a.gain.earliest = now
		}
	}
}

// joinDelay returns how long after this host has become a member its parts are used, if not all hosts that may have held them say that
// they know it: hosts without contact with the store serve for MaxStoreSilence with the members that they knew.
func (s *State) joinDelay() time.Duration {
	return time.Duration((1+clockDrift)*float64(s.settings.MaxStoreSilence)) + limit.LenderLoanTime
}

// isNew reports whether hosts without contact with the store may not know this host as a member yet.
func (s *State) isNew(now time.Duration) bool { return s.joined && now < s.joinedAt+s.joinDelay() }

// earlierHolders returns the hosts that may use a part of this host because they do not know it and others yet: those that are next in
// the ranking, or all in a small fleet, where fewer hosts may have held larger parts.
func (s *State) earlierHolders(now time.Duration, ranked []Member, count int) []Member {
	if !s.isNew(now) {
		return nil
	}
	from := count
	if len(ranked) <= 2*count {
		from = 0
	}
	return slices.DeleteFunc(slices.Clone(ranked[from:min(2*count, len(ranked))]), func(m Member) bool { return m.Name == s.settings.Host })
}

// advanceGain raises a part that no other host can use any more, and asks the hosts that may still use it whether they know this one.
func (s *State) advanceGain(now time.Duration, name string, a *account) {
	g := &a.gain
	if g.fraction == 0 {
		return
	}
	ready := g.earliest
	if s.isNew(now) {
		for _, m := range g.asked {
			end, known := g.knownBy[m.ID]
			if !known {
				end = s.joinedAt + s.joinDelay()
			}
			ready = max(ready, end)
		}
	}
	if now >= ready {
		a.fraction, a.gain = g.fraction, gain{}
		s.setPart(now, a)
		if !s.joined {
			// Loans of the process before this one may not have been spent yet.
			a.ledger.Withhold(now, limit.LenderLoanTime, int64(math.Ceil(a.spec.Burst*a.fraction*a.lendShare())))
		}
		return
	}
	if now < g.probedAt+probeInterval {
		return
	}
	g.probedAt = now
	for _, m := range g.asked {
		if _, knows := g.knownBy[m.ID]; knows {
			continue
		}
		s.loanCount++
		probe := s.settings.Host + "-" + strconv.FormatUint(s.loanCount, 10)
		g.probes[probe] = m.ID
		s.emit(RequestLoan{Account: name, Loan: probe, Lender: m, Probe: true, RequestedAt: now})
	}
}

// awaitsParts reports whether this host has just become a new member and may not use one of its parts yet.
func (s *State) awaitsParts() bool {
	if !s.joined || s.now >= s.joinedAt+maxReadyDelay {
		return false
	}
	for _, a := range s.accounts {
		if a.gain.fraction > 0 && a.fraction == 0 {
			return true
		}
	}
	return false
}

// handleProbed handles the response to a probe and reports whether the event is one.
func (s *State) handleProbed(now time.Duration, a *account, e LoanReceived) bool {
	if !e.Probe {
		return false
	}
	host, pending := a.gain.probes[e.Loan]
	if !pending {
		return true
	}
	delete(a.gain.probes, e.Loan)
	if e.Knows {
		a.gain.knownBy[host] = now + e.LoansEnd*101/100
		s.advanceGain(now, e.Account, a)
	}
	return true
}

// rankHolders returns all hosts, ranked by rendezvous hashing of their names, and the number of the first of them among which an
// account's rate and burst are divided. A host that restarts under the same name holds the same parts, and all hosts agree without
// a message.
func rankHolders(spec catalog.Account, members []Member) ([]Member, int) {
	count := min(max(int(spec.Burst/burstPerHolder), minHolders), maxHolders, len(members))
	ranked := slices.Clone(members)
	key := hashString(spec.Name)
	weight := func(m Member) uint64 { return mixBits(key ^ hashString(m.Name)) }
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name)) })
	return ranked, count
}
