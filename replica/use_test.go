package replica_test

import (
	"time"

	"magnoliahoist/lease"

	"pgregory.net/rapid"
)

// status lets the host believe any others to be silent, since no takeover may depend on that.
func (c *cluster) status(t *rapid.T, h *host) lease.Status {
	unanswered := map[string]time.Duration{}
	mask := rapid.IntRange(0, 1<<maxHosts-1).Draw(t, "silent")
	for i, other := range c.hosts {
		if mask>>i&1 == 1 {
			unanswered[other.id] = -time.Hour
		}
	}
	return lease.Status{Self: h.id, View: h.replica.View(), K: 3, Unanswered: unanswered}
}

// submit commits the plans, or leaves some of them for later.
func (c *cluster) submit(t *rapid.T, h *host, plans []lease.Plan) {
	for _, plan := range plans {
		if c.tableDown || h.side != c.tableSide || rapid.IntRange(0, 5).Draw(t, "late") == 0 {
			c.late = append(c.late, plan.Txn)
			continue
		}
		c.commit(plan.Txn)
	}
}

func (c *cluster) takeover(t *rapid.T) {
	h := c.drawLive(t)
	c.submit(t, h, h.planner.Due(h.clock(c.now), c.status(t, h)))
}

func (c *cluster) drain(t *rapid.T) {
	h := c.drawLive(t)
	if len(c.live()) < 3 || c.tableDown || h.side != c.tableSide {
		t.Skip("few hosts or table out of reach")
	}
	c.submit(t, h, h.planner.HandOver(h.clock(c.now), c.status(t, h)))
	h.dead = true
	c.commit(lease.Leave(h.replica.View(), h.id))
}

func (c *cluster) applyLate(t *rapid.T) {
	if len(c.late) == 0 {
		t.Skip("no late commit")
	}
	c.commit(c.late[0])
	c.late = c.late[1:]
}

// checkUse tests that one host at most may use the lease, and that usable parts sum to at most 1.
func (c *cluster) checkUse(t *rapid.T) {
	holder, sum := "", 0.0
	for _, h := range c.live() {
		if _, usable := h.holdings.Lease(h.clock(c.now), h.replica, "p"); usable {
			if holder != "" {
				t.Fatalf("the lease is usable by %s and %s at %v", holder, h.id, c.now)
			}
			holder = h.id
			c.leaseSeen++
		}
		sum += h.holdings.Part(h.clock(c.now), h.replica, "x")
	}
	if sum > 0 {
		c.shareSeen++
	}
	if sum > 1+1e-9 {
		t.Fatalf("usable parts sum to %v at %v", sum, c.now)
	}
}
