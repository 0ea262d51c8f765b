package lease

import (
	"time"

	"magnoliahoist/replica"
)

// holding is what the host has of one row.
type holding struct {
	takeover *Takeover
	part     float64 // usable before the takeover is complete; leases leave it 0
}

// Holdings follows the rows that name the host as a holder, whoever wrote them, and tells what it may
// use. It is not safe for concurrent use.
type Holdings struct {
	self   string
	wait   time.Duration
	leases map[string]holding
	shares map[string]holding
}

// NewHoldings returns the holdings of the host with the id, for the window of freshness.
func NewHoldings(self string, window time.Duration) *Holdings {
	return &Holdings{self: self, wait: replica.Wait(window), leases: map[string]holding{}, shares: map[string]holding{}}
}

// Update follows the view; it is called after every exchange, and at least every few hundred
// milliseconds while a takeover waits.
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

// Pending reports whether a takeover has not come to its end, so that time alone may change what the
// host may use.
func (h *Holdings) Pending() bool {
	for _, list := range []map[string]holding{h.leases, h.shares} {
		for _, held := range list {
			if state := held.takeover.State(); state != Held && state != Lost {
				return true
			}
		}
	}
	return false
}

func (h *Holdings) updateLease(now time.Duration, r *replica.Replica, pool string) {
	row, found := r.View().LeaseOf(pool)
	if !found || row.Holder != h.self {
		delete(h.leases, pool)
		return
	}
	held, known := h.leases[pool]
	if !known || held.takeover.Revision() != row.Revision {
		held = holding{takeover: AcceptingFrom(row.Revision)}
		h.leases[pool] = held
	}
	held.takeover.Advance(now, r, replica.KeyForLease(pool), h.wait)
}

// updateShare lowers a part at once and raises it only when the takeover is complete. When the host
// has missed a division in between, another holder may still use its part, so it starts at 0.
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
		if known && held.takeover.Revision() == row.After {
			usable = min(held.part, part)
		}
		held = holding{takeover: AcceptingFrom(row.Revision), part: usable}
	}
	if held.takeover.Advance(now, r, replica.KeyForShare(account), h.wait) == Held {
		held.part = part
	}
	h.shares[account] = held
}

// current reports whether the host may use what its copy shows at all.
func (h *Holdings) current(now time.Duration, r *replica.Replica) bool {
	_, member := r.View().MemberByID(h.self)
	return member && r.Fresh(now)
}

// Lease returns the number of the pool's lease when the host may use it now. It is asked at the
// moment of each effect.
func (h *Holdings) Lease(now time.Duration, r *replica.Replica, pool string) (int64, bool) {
	row, found := r.View().LeaseOf(pool)
	held, known := h.leases[pool]
	if !found || !known || row.Holder != h.self || !h.current(now, r) {
		return 0, false
	}
	if held.takeover.Revision() != row.Revision || held.takeover.State() != Held {
		return 0, false
	}
	return row.Number, true
}

// Part returns the part of the account's allowance that the host may use now.
func (h *Holdings) Part(now time.Duration, r *replica.Replica, account string) float64 {
	held, known := h.shares[account]
	row, found := r.View().ShareOf(account)
	if !known || !found || !h.current(now, r) || held.takeover.Revision() != row.Revision {
		return 0
	}
	return held.part
}

// StateOf returns how far the host has come with taking over the pool's lease.
func (h *Holdings) StateOf(pool string) (State, bool) {
	held, known := h.leases[pool]
	if !known {
		return Committing, false
	}
	return held.takeover.State(), true
}
