package replica_test

import (
	"time"

	"magnoliahoist/lease"

	"pgregory.net/rapid"
)

// drawStatus returns what the host knows about the fleet. Any hosts may appear silent, because the invariants must not
// depend on which hosts are.
func (c *cluster) drawStatus(t *rapid.T, h *host) lease.FleetStatus {
	silentSince := map[string]time.Duration{}
	mask := rapid.IntRange(0, 1<<maxHosts-1).Draw(t, "silent")
	for i, other := range c.hosts {
		if mask>>i&1 == 1 {
			silentSince[other.id] = -time.Hour
		}
	}
	return lease.FleetStatus{Self: h.id, View: h.replica.View(), HoldersPerAccount: 3, UnresponsiveSince: silentSince}
}

// commitPlans commits the plans. Some of them, or all that don't reach the table, may take effect later.
func (c *cluster) commitPlans(t *rapid.T, h *host, plans []lease.Plan) {
	for _, plan := range plans {
		if c.tableDown || h.side != c.tableSide || rapid.IntRange(0, 5).Draw(t, "late") == 0 {
			c.lateTxns = append(c.lateTxns, plan.Txn)
			continue
		}
		c.commit(plan.Txn)
	}
}

func (c *cluster) commitDuePlans(t *rapid.T) {
	h := c.drawLiveHost(t)
	c.commitPlans(t, h, h.planner.DuePlans(h.clock(c.now), c.drawStatus(t, h)))
}

// drainHost stops a host after it has handed over its lease and parts and removed itself.
func (c *cluster) drainHost(t *rapid.T) {
	h := c.drawLiveHost(t)
	if len(c.liveHosts()) < 3 || c.tableDown || h.side != c.tableSide {
		t.Skip("fewer than 3 live hosts, or table out of reach")
	}
	c.commitPlans(t, h, h.planner.HandOverPlans(h.clock(c.now), c.drawStatus(t, h)))
	h.dead = true
	c.commit(lease.LeaveTxn(h.replica.View(), h.id))
}

func (c *cluster) commitLate(t *rapid.T) {
	if len(c.lateTxns) == 0 {
		t.Skip("no late commit")
	}
	c.commit(c.lateTxns[0])
	c.lateTxns = c.lateTxns[1:]
}

// checkUsable tests that at most one host may use the lease, and that the usable parts sum to at most 1.
func (c *cluster) checkUsable(t *rapid.T) {
	holder, sum := "", 0.0
	for _, h := range c.liveHosts() {
		if _, usable := h.holdings.UsableLease(h.clock(c.now), h.replica, "p"); usable {
			if holder != "" {
				t.Fatalf("the lease of pool p is usable by both %s and %s at %v", holder, h.id, c.now)
			}
			holder = h.id
			c.leaseChecks++
		}
		sum += h.holdings.UsablePart(h.clock(c.now), h.replica, "x")
	}
	if sum > 0 {
		c.shareChecks++
	}
	if sum > 1+1e-9 {
		t.Fatalf("usable parts of account x sum to %v at %v, want at most 1", sum, c.now)
	}
}
