package lease

import (
	"slices"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// rankDelay is how long each candidate gives the one before it, which may be unable to reach the table service.
const rankDelay = 5 * time.Second

// Plan is a change of one lease or share row. After the commit, the new holders may use the row once it has been
// accepted and WaitAfterAcceptance has passed since.
type Plan struct {
	Key                 string // of the row
	Txn                 table.Txn
	WaitAfterAcceptance time.Duration
}

// Planner decides which leases and shares the host should take over. It is not safe for concurrent use.
type Planner struct {
	freshnessWindow time.Duration
	dueSince        map[string]time.Duration // by row key: when the change of the row became due
}

// NewPlanner returns a planner for a fleet with the freshness window.
func NewPlanner(freshnessWindow time.Duration) *Planner {
	return &Planner{freshnessWindow: freshnessWindow, dueSince: map[string]time.Duration{}}
}

// DuePlans returns the changes that the host should commit now. A host that is not a member has none.
func (p *Planner) DuePlans(now time.Duration, s FleetStatus) []Plan {
	if _, member := s.View.MemberByID(s.Self); !member {
		return nil
	}
	members := s.responsiveMembers(now)
	due := map[string]bool{}
	var plans []Plan
	add := func(key string, candidates []replica.Member, value []byte) {
		due[key] = true
		if p.isMyTurn(now, s.Self, key, candidates) {
			plans = append(plans, p.newPlan(s, key, value))
		}
	}
	for _, pool := range s.View.Pools() {
		if held, found := s.View.LeaseOf(pool.Name); !found || s.isReplaceable(now, held.Holder) {
			value := replica.EncodeLease(replica.Lease{Holder: s.Self, FencingNumber: held.FencingNumber + 1})
			add(replica.KeyForLease(pool.Name), Rank(members, pool.Name), value)
		}
	}
	for _, account := range s.View.Accounts() {
		key := replica.KeyForShare(account.Name)
		if share, candidates, changed := reassignShare(now, s, account.Name, members); changed {
			add(key, candidates, replica.EncodeShare(share))
		}
	}
	for key := range p.dueSince {
		if !due[key] {
			delete(p.dueSince, key)
		}
	}
	return plans
}

// Idle reports whether the last call of DuePlans found no row to take over, neither now nor after a rank delay.
func (p *Planner) Idle() bool { return len(p.dueSince) == 0 }

// isMyTurn reports whether the host should change the row now. The first candidate does so at once, each further one
// rankDelay after the one before it.
func (p *Planner) isMyTurn(now time.Duration, self, key string, candidates []replica.Member) bool {
	since, found := p.dueSince[key]
	if !found {
		since = now
		p.dueSince[key] = now
	}
	rank := slices.IndexFunc(candidates, func(m replica.Member) bool { return m.ID == self })
	return rank >= 0 && now-since >= time.Duration(rank)*rankDelay
}

// newPlan returns a change of the row that takes effect only if the row and the host's own member row are unchanged.
func (p *Planner) newPlan(s FleetStatus, key string, value []byte) Plan {
	memberKey := replica.KeyForMember(s.Self)
	return Plan{Key: key, WaitAfterAcceptance: replica.WaitAfterAcceptance(p.freshnessWindow), Txn: table.Txn{
		Compares: []table.Compare{
			{Key: key, Revision: s.View.RevisionOf(key)},
			{Key: memberKey, Revision: s.View.RevisionOf(memberKey)},
		},
		Writes: []table.Write{{Key: key, Value: value}},
	}}
}

// reassignShare returns the share of an account with replaceable holders replaced and missing holders added, the
// candidates for writing it (new holders first), and whether it differs from the current share.
func reassignShare(now time.Duration, s FleetStatus, account string, members []replica.Member) (replica.Share, []replica.Member, bool) {
	share, _ := s.View.ShareOf(account)
	var kept []replica.Member
	for _, part := range share.Parts {
		if m, live := s.View.MemberByID(part.Host); live && !s.isReplaceable(now, part.Host) {
			kept = append(kept, m)
		}
	}
	if len(members) == 0 || len(kept) == len(share.Parts) && len(kept) >= min(s.HoldersPerAccount, len(members)) {
		return share, nil, false
	}
	holders := SpreadAcrossDomains(kept, members, account, s.HoldersPerAccount)
	candidates := slices.Concat(holders[len(kept):], Rank(kept, account))
	candidates = SpreadAcrossDomains(candidates, members, account, len(members))
	key := replica.KeyForShare(account)
	return replica.Share{Parts: equalParts(holders), ReplacedRevision: s.View.RevisionOf(key)}, candidates, true
}

// HandOverPlans returns the changes that give the leases and parts of a draining host to other members. There are
// none when no other member can take them.
func (p *Planner) HandOverPlans(now time.Duration, s FleetStatus) []Plan {
	members := slices.DeleteFunc(s.responsiveMembers(now), func(m replica.Member) bool { return m.ID == s.Self })
	if len(members) == 0 {
		return nil
	}
	var plans []Plan
	for _, pool := range s.View.Pools() {
		if held, found := s.View.LeaseOf(pool.Name); found && held.Holder == s.Self {
			next := replica.Lease{Holder: Rank(members, pool.Name)[0].ID, FencingNumber: held.FencingNumber + 1}
			plans = append(plans, p.newPlan(s, replica.KeyForLease(pool.Name), replica.EncodeLease(next)))
		}
	}
	for _, account := range s.View.Accounts() {
		share, _ := s.View.ShareOf(account.Name)
		if share.PartOf(s.Self) == 0 {
			continue
		}
		var kept []replica.Member
		for _, m := range members {
			if share.PartOf(m.ID) > 0 {
				kept = append(kept, m)
			}
		}
		next := replica.Share{Parts: equalParts(SpreadAcrossDomains(kept, members, account.Name, s.HoldersPerAccount)), ReplacedRevision: share.Revision}
		plans = append(plans, p.newPlan(s, replica.KeyForShare(account.Name), replica.EncodeShare(next)))
	}
	return plans
}
