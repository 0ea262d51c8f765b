package lease

import (
	"slices"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// rankDelay is how much longer each further candidate waits, in case those before it reach no table service.
const rankDelay = 5 * time.Second

// Plan is a change of one lease or share row. After the commit its new holders wait for acceptance
// and then for Wait before they use it.
type Plan struct {
	Key  string
	Txn  table.Txn
	Wait time.Duration
}

// Planner decides what the host should take over. It is not safe for concurrent use.
type Planner struct {
	window time.Duration
	vacant map[string]time.Duration // by key of the row: since when it has been due
}

// NewPlanner returns a planner for the window of freshness.
func NewPlanner(window time.Duration) *Planner {
	return &Planner{window: window, vacant: map[string]time.Duration{}}
}

// Due returns the changes that this host should commit now. A host that is not a member has none.
func (p *Planner) Due(now time.Duration, s Status) []Plan {
	if _, member := s.View.MemberByID(s.Self); !member {
		return nil
	}
	members := s.answering(now)
	due := map[string]bool{}
	var plans []Plan
	add := func(key string, candidates []replica.Member, value []byte) {
		due[key] = true
		if p.myTurn(now, s.Self, key, candidates) {
			plans = append(plans, p.plan(s, key, value))
		}
	}
	for _, pool := range s.View.Pools() {
		if held, found := s.View.LeaseOf(pool.Name); !found || s.replaceable(now, held.Holder) {
			value := replica.EncodeLease(replica.Lease{Holder: s.Self, Number: held.Number + 1})
			add(replica.KeyForLease(pool.Name), Rank(members, pool.Name), value)
		}
	}
	for _, account := range s.View.Accounts() {
		key := replica.KeyForShare(account.Name)
		if share, candidates, changed := reassign(now, s, account.Name, members); changed {
			add(key, candidates, replica.EncodeShare(share))
		}
	}
	for key := range p.vacant {
		if !due[key] {
			delete(p.vacant, key)
		}
	}
	return plans
}

// Idle reports whether the last call of Due found nothing to take over, now or later.
func (p *Planner) Idle() bool { return len(p.vacant) == 0 }

// myTurn reports whether the host is the first candidate, or those before it have let their time pass.
func (p *Planner) myTurn(now time.Duration, self, key string, candidates []replica.Member) bool {
	since, found := p.vacant[key]
	if !found {
		since = now
		p.vacant[key] = now
	}
	rank := slices.IndexFunc(candidates, func(m replica.Member) bool { return m.ID == self })
	return rank >= 0 && now-since >= time.Duration(rank)*rankDelay
}

// plan makes the change conditional on the row and on the host's own membership.
func (p *Planner) plan(s Status, key string, value []byte) Plan {
	own := replica.KeyForMember(s.Self)
	return Plan{Key: key, Wait: replica.Wait(p.window), Txn: table.Txn{
		Compares: []table.Compare{
			{Key: key, Revision: s.View.RevisionOf(key)},
			{Key: own, Revision: s.View.RevisionOf(own)},
		},
		Writes: []table.Write{{Key: key, Value: value}},
	}}
}

// reassign returns the share of an account with replaceable holders replaced and missing ones added,
// the candidates for writing it (new holders first), and whether it differs from the present one.
func reassign(now time.Duration, s Status, account string, members []replica.Member) (replica.Share, []replica.Member, bool) {
	share, _ := s.View.ShareOf(account)
	var stay []replica.Member
	for _, part := range share.Parts {
		if m, live := s.View.MemberByID(part.Host); live && !s.replaceable(now, part.Host) {
			stay = append(stay, m)
		}
	}
	if len(members) == 0 || len(stay) == len(share.Parts) && len(stay) >= min(s.K, len(members)) {
		return share, nil, false
	}
	holders := Spread(stay, members, account, s.K)
	candidates := slices.Concat(holders[len(stay):], Rank(stay, account))
	candidates = Spread(candidates, members, account, len(members))
	key := replica.KeyForShare(account)
	return replica.Share{Parts: equalParts(holders), After: s.View.RevisionOf(key)}, candidates, true
}

// HandOver returns the changes with which a draining host gives what it holds to other members.
// What no other member can take stays where it is.
func (p *Planner) HandOver(now time.Duration, s Status) []Plan {
	members := slices.DeleteFunc(s.answering(now), func(m replica.Member) bool { return m.ID == s.Self })
	if len(members) == 0 {
		return nil
	}
	var plans []Plan
	for _, pool := range s.View.Pools() {
		if held, found := s.View.LeaseOf(pool.Name); found && held.Holder == s.Self {
			next := replica.Lease{Holder: Rank(members, pool.Name)[0].ID, Number: held.Number + 1}
			plans = append(plans, p.plan(s, replica.KeyForLease(pool.Name), replica.EncodeLease(next)))
		}
	}
	for _, account := range s.View.Accounts() {
		share, _ := s.View.ShareOf(account.Name)
		if share.PartOf(s.Self) == 0 {
			continue
		}
		var stay []replica.Member
		for _, m := range members {
			if share.PartOf(m.ID) > 0 {
				stay = append(stay, m)
			}
		}
		next := replica.Share{Parts: equalParts(Spread(stay, members, account.Name, s.K)), After: share.Revision}
		plans = append(plans, p.plan(s, replica.KeyForShare(account.Name), replica.EncodeShare(next)))
	}
	return plans
}
