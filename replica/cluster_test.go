package replica_test

import (
	"fmt"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/lease"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/table"

	"pgregory.net/rapid"
)

const (
	window   = 3 * time.Second
	maxHosts = 9
)

// host is a simulated process; its clock has its own start and runs up to 0.5 % fast or slow.
type host struct {
	id       string
	replica  *replica.Replica
	holdings *lease.Holdings
	planner  *lease.Planner
	rate     float64
	born     time.Duration
	side     int // hosts and the table reach each other on the same side of a partition
	dead     bool
	expelled expulsion
}

// expulsion says when a host that others removed stops at the latest.
type expulsion struct{ stops time.Duration }

// IsZero reports whether the host was not removed.
func (e expulsion) IsZero() bool { return e.stops == 0 }

func (h *host) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-h.born) * h.rate)
}

func (h *host) update(now time.Duration) {
	h.holdings.Update(h.clock(now), h.replica)
}

// message is an exchange in flight: sent, then served, then delivered.
type message struct {
	from, to *host // to is nil for the table
	started  time.Duration
	after    int64
	served   bool
	snapshot table.Snapshot
	settled  int64
}

// cluster simulates several replicas and one table in virtual time.
type cluster struct {
	now        time.Duration
	rows       map[string]table.Row
	revision   int64
	tableSide  int
	tableDown  bool
	hosts      []*host
	messages   []*message
	accepted   int64
	acceptedAt []acceptance
	highest    map[string]int64
	late       []table.Txn // commits that take effect later
	next       int
	freshSeen  int // checks of a fresh host
	leaseSeen  int // checks with a usable lease
	shareSeen  int // checks with a usable share
}

type acceptance struct {
	revision int64
	at       time.Duration
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{rows: map[string]table.Row{}, highest: map[string]int64{}}
	c.commit(table.Txn{Writes: []table.Write{
		{Key: replica.KeyForAccount("x"), Value: replica.EncodeAccount(account.Account{Name: "x", Rate: 1})},
		{Key: replica.KeyForPool("p"), Value: replica.EncodePool(pool.Pool{Name: "p"})},
	}})
	for range rapid.SampledFrom([]int{1, 2, 3, 4, 5, 5, 5}).Draw(t, "hosts") {
		c.join(t)
	}
	return c
}

func (c *cluster) commit(txn table.Txn) (int64, bool) {
	for _, condition := range txn.Compares {
		if c.rows[condition.Key].Revision != condition.Revision {
			return 0, false
		}
	}
	c.revision++
	for _, write := range txn.Writes {
		c.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: c.revision}
	}
	return c.revision, true
}

func (c *cluster) read(after int64) table.Snapshot {
	s := table.Snapshot{Revision: c.revision}
	for _, row := range c.rows {
		if row.Revision > after {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

func (c *cluster) join(t *rapid.T) *host {
	c.next++
	id := fmt.Sprintf("h%d", c.next)
	h := &host{id: id, replica: replica.New(id, "g", window),
		holdings: lease.NewHoldings(id, window), planner: lease.NewPlanner(window), born: c.now,
		rate: rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(t, "rate"), side: c.tableSide}
	if !c.tableDown {
		m := replica.Member{Address: id, Domain: fmt.Sprint(c.next % 3), Group: "g"}
		c.commit(table.Txn{Writes: []table.Write{{Key: replica.KeyForMember(id), Value: replica.EncodeMember(m)}}})
	}
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) live() []*host {
	var list []*host
	for _, h := range c.hosts {
		if !h.dead {
			list = append(list, h)
		}
	}
	return list
}

func (c *cluster) drawLive(t *rapid.T) *host {
	list := c.live()
	if len(list) == 0 {
		t.Skip("no live host")
	}
	return rapid.SampledFrom(list).Draw(t, "host")
}

func (c *cluster) send(from, to *host) *message {
	m := &message{from: from, to: to, started: from.clock(c.now), after: from.replica.View().Revision()}
	c.messages = append(c.messages, m)
	return m
}

// serve lets the target answer where the partition allows it.
func (c *cluster) serve(m *message) {
	switch {
	case m.served:
	case m.to == nil:
		if !c.tableDown && m.from.side == c.tableSide {
			m.snapshot, m.served = c.read(m.after), true
		}
	case !m.to.dead && m.to.side == m.from.side:
		view := m.to.replica.View()
		m.to.replica.Acked(m.from.id, m.after)
		m.snapshot = table.Snapshot{Rows: view.RowsAfter(m.after), Revision: view.Revision()}
		m.settled, m.served = m.to.replica.Settled(), true
	}
}

// deliver brings an answer back; the message is then used up.
func (c *cluster) deliver(m *message) {
	if !m.served || m.from.dead {
		return
	}
	var source replica.Source = replica.FromTable{}
	if m.to != nil {
		source = replica.FromMember{ID: m.to.id, TableAge: -1}
		m.from.replica.Settle(m.settled)
	}
	m.from.replica.Learn(m.from.clock(c.now), m.started, source, m.after, m.snapshot)
	m.from.update(c.now)
}

func (c *cluster) exchange(from, to *host) {
	m := c.send(from, to)
	c.messages = c.messages[:len(c.messages)-1]
	c.serve(m)
	c.deliver(m)
}

// check tests the invariants that hold after every step.
func (c *cluster) check(t *rapid.T) {
	for _, h := range c.hosts {
		h.dead = h.dead || !h.expelled.IsZero() && c.now >= h.expelled.stops
	}
	for _, h := range c.live() {
		revision := h.replica.View().Revision()
		if revision < c.highest[h.id] {
			t.Fatalf("%s went back from revision %d to %d", h.id, c.highest[h.id], revision)
		}
		c.highest[h.id] = revision
		for r := revision; r > c.accepted; r-- {
			if h.replica.Accepted(r) {
				c.accepted = r
				c.acceptedAt = append(c.acceptedAt, acceptance{r, c.now})
				break
			}
		}
	}
	for _, h := range c.live() {
		if !h.replica.Fresh(h.clock(c.now)) {
			continue
		}
		c.freshSeen++
		for _, a := range c.acceptedAt {
			if c.now > a.at+replica.Wait(window) && h.replica.View().Revision() < a.revision {
				t.Fatalf("%s is fresh at %v with revision %d; revision %d was accepted at %v",
					h.id, c.now, h.replica.View().Revision(), a.revision, a.at)
			}
		}
	}
}
