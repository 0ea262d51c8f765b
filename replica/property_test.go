package replica_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"

	"pgregory.net/rapid"
)

// TestPropertyFresh guards against a fresh host that lacks a change accepted longer than the window
// ago (I5, I12), and against a revision that goes back (I13), over joins, deaths, partitions,
// lagging and lost messages, and clock drift.
func TestPropertyFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(c.actions(t))
	})
}

func (c *cluster) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": c.check,
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
		"read":      func(t *rapid.T) { c.exchange(c.drawLive(t), nil) },
		"exchange":  func(t *rapid.T) { c.exchange(c.drawLive(t), c.drawLive(t)) },
		"round":     c.round,
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
		"die":    func(t *rapid.T) { c.drawLive(t).dead = true },
		"remove": c.remove,
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

func (c *cluster) sendOne(t *rapid.T) {
	from := c.drawLive(t)
	if rapid.Bool().Draw(t, "table") {
		c.send(from, nil)
		return
	}
	c.send(from, c.drawLive(t))
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
