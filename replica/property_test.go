package replica_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/table"

	"pgregory.net/rapid"
)

// TestPropertyReplicas guards against a fresh host that lacks a change accepted longer ago than the freshness window
// (invariants I5, I12), against a revision that goes back (I13), and against a lease or part that two holders may use at
// once (I1, I6). It simulates joins, crashes, removals, partitions, late and lost messages, late commits and clock drift.
func TestPropertyReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		if rapid.Bool().Draw(t, "warm") {
			c.runRounds(t)
		}
		t.Repeat(c.actions(t))
	})
}

// actions returns the steps of the simulation; the one without a name checks the invariants after every step.
func (c *cluster) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.checkFreshness(t)
			c.checkUsable(t)
		},
		"advance": func(t *rapid.T) {
			c.now += time.Duration(rapid.IntRange(1, 3200).Draw(t, "ms")) * time.Millisecond
		},
		"commit": func(t *rapid.T) {
			if c.tableDown {
				t.Skip("table is down")
			}
			key := replica.KeyForPool(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "row")))
			c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeTombstone()}}})
		},
		"read": func(t *rapid.T) { c.exchange(c.drawLiveHost(t), nil) },
		"exchange": func(t *rapid.T) {
			if from, to := c.drawLiveHost(t), c.drawLiveHost(t); from != to {
				c.exchange(from, to)
			}
		},
		"round":     c.exchangeAll,
		"run":       c.runRounds,
		"send":      c.sendOne,
		"serve":     c.serveOne,
		"deliver":   c.deliverOne,
		"partition": c.drawPartition,
		"join": func(t *rapid.T) {
			if c.hostsStarted >= maxHosts {
				t.Skip("enough hosts")
			}
			c.addHost(t)
		},
		"die":      func(t *rapid.T) { c.drawLiveHost(t).dead = true },
		"remove":   c.removeDead,
		"expel":    c.removeRunning,
		"tick":     func(t *rapid.T) { c.drawLiveHost(t).updateHoldings(c.now) },
		"takeover": c.commitDuePlans,
		"drain":    c.drainHost,
		"late":     c.commitLate,
	}
}

// exchangeAll makes every live host exchange with all other hosts, and the first few hosts also with the table.
func (c *cluster) exchangeAll(t *rapid.T) {
	readers := rapid.IntRange(0, 3).Draw(t, "readers")
	for i, h := range c.liveHosts() {
		if i < readers {
			c.exchange(h, nil)
		}
		for _, other := range c.liveHosts() {
			if other != h {
				c.exchange(h, other)
			}
		}
	}
}

// runRounds simulates up to six seconds of regular exchanges, which is longer than a freshness window, with the
// takeovers from a host that others believe to be silent.
func (c *cluster) runRounds(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "rounds") {
		c.exchangeAll(t)
		c.now += time.Second
		c.checkFreshness(t)
		silent := rapid.SampledFrom(c.hosts).Draw(t, "silent").id
		for _, h := range c.liveHosts() {
			h.updateHoldings(c.now)
			status := lease.FleetStatus{Self: h.id, View: h.replica.View(), HoldersPerAccount: 3,
				UnresponsiveSince: map[string]time.Duration{silent: -time.Hour}}
			c.commitPlans(t, h, h.planner.DuePlans(h.clock(c.now), status))
		}
		c.checkUsable(t)
	}
}

func (c *cluster) sendOne(t *rapid.T) {
	from := c.drawLiveHost(t)
	to := c.drawLiveHost(t)
	if rapid.Bool().Draw(t, "table") || from == to {
		to = nil
	}
	c.send(from, to)
}

func (c *cluster) serveOne(t *rapid.T) {
	if len(c.messages) == 0 {
		t.Skip("no message")
	}
	c.serve(rapid.SampledFrom(c.messages).Draw(t, "message"))
}

func (c *cluster) deliverOne(t *rapid.T) {
	if len(c.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
	c.deliver(c.messages[i])
	c.messages = append(c.messages[:i:i], c.messages[i+1:]...)
}

// drawPartition splits the hosts and the table into two sides, and may stop the table.
func (c *cluster) drawPartition(t *rapid.T) {
	mask := rapid.IntRange(0, 1<<maxHosts-1).Draw(t, "mask")
	for i, h := range c.hosts {
		h.side = mask >> i & 1
	}
	c.tableSide = rapid.IntRange(0, 1).Draw(t, "tableSide")
	c.tableDown = rapid.IntRange(0, 3).Draw(t, "down") == 0
}

// removeRunning removes a host that still runs. The host stops shortly before RemovedGrace has passed.
func (c *cluster) removeRunning(t *rapid.T) {
	h := c.drawLiveHost(t)
	key := replica.KeyForMember(h.id)
	if c.tableDown || c.rows[key].Revision == 0 || !h.plannedStop.IsZero() {
		t.Skip("table is down, or host is not a member or already removed")
	}
	member := replica.Member{ID: h.id, Group: "g", JoinRevision: c.rows[key].Revision}
	c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeRemovedMember(member)}}})
	h.plannedStop = plannedStop{c.now + replica.RemovedGrace - replica.RemovedGrace/100}
}

// removeDead commits the tombstones of the dead hosts.
func (c *cluster) removeDead(t *rapid.T) {
	if c.tableDown {
		t.Skip("table is down")
	}
	for _, h := range c.hosts {
		key := replica.KeyForMember(h.id)
		if h.dead && c.rows[key].Revision != 0 {
			c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeTombstone()}}})
		}
	}
}
