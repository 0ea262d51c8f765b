package lease

import (
	"time"

	"magnoliahoist/replica"
)

// holding is the host's claim on one lease or share row that names it as a holder.
type holding struct {
	takeover   *Takeover
	usablePart float64 // part of the allowance that the host may use while its copy is fresh; 0 for leases
}

// Holdings tracks the lease and share rows that name the host as a holder, no matter which host wrote them, and
// tells which leases and parts the host may use. It is not safe for concurrent use.
type Holdings struct {
	self                string
	waitAfterAcceptance time.Duration
	leases              map[string]holding
	shares              map[string]holding
}

// NewHoldings returns empty holdings of the host with the id self. The freshness window determines how long the host
// waits after the acceptance of a row before it uses it.
func NewHoldings(self string, freshnessWindow time.Duration) *Holdings {
	return &Holdings{self: self, waitAfterAcceptance: replica.WaitAfterAcceptance(freshnessWindow), leases: map[string]holding{}, shares: map[string]holding{}}
}

// Update brings the holdings up to date with the replica's view. Call it after every exchange, and at least every few
// hundred milliseconds while TakeoverPending is true.
func (h *Holdings) Update(now time.Duration, r *replica.Replica) {
	view := r.View()
	for _, pool := range view.Pools() {
		h.updateLease(now, r, pool.Name)
	}
	for _, account := range view.Accounts() {
		h.updateShare(now, r, account.Name)
	}
	for name := range h.leases {
		if _, found := view.PoolByName(name); !found {
			delete(h.leases, name)
		}
	}
	for name := range h.shares {
		if _, found := view.AccountByName(name); !found {
			delete(h.shares, name)
		}
	}
}

// TakeoverPending reports whether a takeover is neither Held nor Lost. Until then, what the host may use can change by
// the passing of time, without a change of the view.
func (h *Holdings) TakeoverPending() bool {
	for _, list := range []map[string]holding{h.leases, h.shares} {
		for _, held := range list {
			if state := held.takeover.State(); state != Held && state != Lost {
				return true
			}
		}
	}
	return false
}

// updateLease starts, advances or ends the takeover of the pool's lease, according to the view.
func (h *Holdings) updateLease(now time.Duration, r *replica.Replica, pool string) {
	row, found := r.View().LeaseOf(pool)
	if !found || row.Holder != h.self {
		delete(h.leases, pool)
		return
	}
	held, known := h.leases[pool]
	if !known || held.takeover.Revision() != row.Revision {
		held = holding{takeover: NewCommittedTakeover(row.Revision)}
		h.leases[pool] = held
	}
	held.takeover.Advance(now, r, replica.KeyForLease(pool), h.waitAfterAcceptance)
}

// updateShare lowers a part at once and raises it only when the takeover is complete. When the new row doesn't
// replace the one that the host knows, another holder may have received the host's part in between and still use it;
// the host's part is then 0 until the takeover is complete.
func (h *Holdings) updateShare(now time.Duration, r *replica.Replica, account string) {
	row, found := r.View().ShareOf(account)
	part := row.PartOf(h.self)
	if !found || part == 0 {
		delete(h.shares, account)
		return
	}
	held, known := h.shares[account]
	if !known || held.takeover.Revision() != row.Revision {
		usable := 0.0
		if known && held.takeover.Revision() == row.ReplacedRevision {
			usable = min(held.usablePart, part)
		}
		held = holding{takeover: NewCommittedTakeover(row.Revision), usablePart: usable}
	}
	if held.takeover.Advance(now, r, replica.KeyForShare(account), h.waitAfterAcceptance) == Held {
		held.usablePart = part
	}
	h.shares[account] = held
}

// isFreshMember reports whether the host is a member and its copy is fresh; otherwise it may use nothing.
func (h *Holdings) isFreshMember(now time.Duration, r *replica.Replica) bool {
	_, member := r.View().MemberByID(h.self)
	return member && r.Fresh(now)
}

// UsableLease returns the fencing number of the pool's lease, and whether the host may use the lease now. Call it
// immediately before each action that needs the lease.
func (h *Holdings) UsableLease(now time.Duration, r *replica.Replica, pool string) (int64, bool) {
	row, found := r.View().LeaseOf(pool)
	held, known := h.leases[pool]
	if !found || !known || row.Holder != h.self || !h.isFreshMember(now, r) {
		return 0, false
	}
	if held.takeover.Revision() != row.Revision || held.takeover.State() != Held {
		return 0, false
	}
	return row.FencingNumber, true
}

// UsablePart returns the part of the account's allowance that the host may use now, 0 to 1.
func (h *Holdings) UsablePart(now time.Duration, r *replica.Replica, account string) float64 {
	held, known := h.shares[account]
	row, found := r.View().ShareOf(account)
	if !known || !found || !h.isFreshMember(now, r) || held.takeover.Revision() != row.Revision {
		return 0
	}
	return held.usablePart
}

// LeaseTakeoverState returns the state of the host's takeover of the pool's lease, and false when the lease row doesn't name
// the host as the holder.
func (h *Holdings) LeaseTakeoverState(pool string) (State, bool) {
	held, known := h.leases[pool]
	if !known {
		return Committing, false
	}
	return held.takeover.State(), true
}
