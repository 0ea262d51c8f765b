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

// TestPropertyReplicas guards against a fresh host that lacks a change accepted longer than the window
// ago (I5, I12), a revision that goes back (I13), and a lease or share usable by two holders at once
// (I1, I6), over joins, deaths, partitions, lagging and lost messages, late commits and clock drift.
func TestPropertyReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		if rapid.Bool().Draw(t, "warm") {
			c.run(t)
		}
		t.Repeat(c.actions(t))
	})
}

func (c *cluster) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.check(t)
			c.checkUse(t)
		},
		"advance": func(t *rapid.T) {
			c.now += time.Duration(rapid.IntRange(1, 3200).Draw(t, "ms")) * time.Millisecond
		},
		"commit": func(t *rapid.T) {
			if c.tableDown {
				t.Skip("table is down")
			}
			key := replica.KeyForPool(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "row")))
			c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeGone()}}})
		},
		"read": func(t *rapid.T) { c.exchange(c.drawLive(t), nil) },
		"exchange": func(t *rapid.T) {
			if from, to := c.drawLive(t), c.drawLive(t); from != to {
				c.exchange(from, to)
			}
		},
		"round":     c.round,
		"run":       c.run,
		"send":      c.sendOne,
		"serve":     c.serveOne,
		"deliver":   c.deliverOne,
		"partition": c.partition,
		"join": func(t *rapid.T) {
			if c.next >= maxHosts {
				t.Skip("enough hosts")
			}
			c.join(t)
		},
		"die":      func(t *rapid.T) { c.drawLive(t).dead = true },
		"remove":   c.remove,
		"expel":    c.expel,
		"tick":     func(t *rapid.T) { c.drawLive(t).update(c.now) },
		"takeover": c.takeover,
		"drain":    c.drain,
		"late":     c.applyLate,
	}
}

// round lets every live host exchange with all it reaches.
func (c *cluster) round(t *rapid.T) {
	readers := rapid.IntRange(0, 3).Draw(t, "readers")
	for i, h := range c.live() {
		if i < readers {
			c.exchange(h, nil)
		}
		for _, other := range c.live() {
			if other != h {
				c.exchange(h, other)
			}
		}
	}
}

// run lets time pass with regular rounds, longer than a window, as hosts on both sides of a partition do.
func (c *cluster) run(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "rounds") {
		c.round(t)
		c.now += time.Second
		c.check(t)
		silent := rapid.SampledFrom(c.hosts).Draw(t, "silent").id
		for _, h := range c.live() {
			h.update(c.now)
			status := lease.Status{Self: h.id, View: h.replica.View(), K: 3,
				Unanswered: map[string]time.Duration{silent: -time.Hour}}
			c.submit(t, h, h.planner.Due(h.clock(c.now), status))
		}
		c.checkUse(t)
	}
}

func (c *cluster) sendOne(t *rapid.T) {
	from := c.drawLive(t)
	to := c.drawLive(t)
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

func (c *cluster) partition(t *rapid.T) {
	mask := rapid.IntRange(0, 1<<maxHosts-1).Draw(t, "mask")
	for i, h := range c.hosts {
		h.side = mask >> i & 1
	}
	c.tableSide = rapid.IntRange(0, 1).Draw(t, "tableSide")
	c.tableDown = rapid.IntRange(0, 3).Draw(t, "down") == 0
}

// remove commits the tombstone of a dead host.
// expel removes a host that still runs; it stops when it has been off the platform's list for the grace.
func (c *cluster) expel(t *rapid.T) {
	h := c.drawLive(t)
	key := replica.KeyForMember(h.id)
	if c.tableDown || c.rows[key].Revision == 0 || !h.expelled.IsZero() {
		t.Skip("not possible")
	}
	member := replica.Member{ID: h.id, Group: "g", Revision: c.rows[key].Revision}
	c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeRemoved(member)}}})
	h.expelled = expulsion{c.now + replica.RemovedGrace - replica.RemovedGrace/100}
}

func (c *cluster) remove(t *rapid.T) {
	if c.tableDown {
		t.Skip("table is down")
	}
	for _, h := range c.hosts {
		key := replica.KeyForMember(h.id)
		if h.dead && c.rows[key].Revision != 0 {
			c.commit(table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeGone()}}})
		}
	}
}
