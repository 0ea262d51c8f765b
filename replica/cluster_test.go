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
	freshnessWindow = 3 * time.Second
	maxHosts        = 9
)

// host is a simulated process; its clock has its own start and runs up to 0.5 % fast or slow.
type host struct {
	id          string
	replica     *replica.Replica
	holdings    *lease.Holdings
	planner     *lease.Planner
	clockRate   float64
	startedAt   time.Duration
	side        int  // of the partition; hosts and the table reach each other only on the same side
	dead        bool // the process has stopped
	plannedStop plannedStop
}

// plannedStop is the time at which a host that others have removed stops at the latest; zero: not removed.
type plannedStop struct{ at time.Duration }

// IsZero reports whether the host has not been removed.
func (s plannedStop) IsZero() bool { return s.at == 0 }

// clock returns the host's local time.
func (h *host) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-h.startedAt) * h.clockRate)
}

func (h *host) updateHoldings(now time.Duration) {
	h.holdings.Update(h.clock(now), h.replica)
}

// message is an exchange in progress: it is sent, then served, then delivered.
type message struct {
	from, to *host         // to is nil for the table
	started  time.Duration // on the sender's clock
	after    int64         // revision of the sender's view
	served   bool
	snapshot table.Snapshot // of the response
	settled  int64          // settled revision of the target
}

// cluster simulates several hosts and one table service in virtual time.
type cluster struct {
	now             time.Duration
	rows            map[string]table.Row // of the table
	revision        int64                // of the table
	tableSide       int
	tableDown       bool
	hosts           []*host
	messages        []*message
	highestAccepted int64
	acceptances     []acceptance
	lastRevision    map[string]int64 // by host id
	lateTxns        []table.Txn      // transactions that may take effect later
	hostsStarted    int
	freshChecks     int // number of checks of a fresh host
	leaseChecks     int // number of checks with a usable lease
	shareChecks     int // number of checks with a usable part
}

// acceptance is the time at which a revision was first seen to be accepted.
type acceptance struct {
	revision int64
	at       time.Duration
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{rows: map[string]table.Row{}, lastRevision: map[string]int64{}}
	c.commit(table.Txn{Writes: []table.Write{
		{Key: replica.KeyForAccount("x"), Value: replica.EncodeAccount(account.Account{Name: "x", Rate: 1})},
		{Key: replica.KeyForPool("p"), Value: replica.EncodePool(pool.Pool{Name: "p"})},
	}})
	for range rapid.SampledFrom([]int{1, 2, 3, 4, 5, 5, 5}).Draw(t, "hosts") {
		c.addHost(t)
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

func (c *cluster) addHost(t *rapid.T) *host {
	c.hostsStarted++
	id := fmt.Sprintf("h%d", c.hostsStarted)
	h := &host{id: id, replica: replica.New(id, "g", freshnessWindow),
		holdings: lease.NewHoldings(id, freshnessWindow), planner: lease.NewPlanner(freshnessWindow), startedAt: c.now,
		clockRate: rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(t, "rate"), side: c.tableSide}
	if !c.tableDown {
		m := replica.Member{Address: id, Domain: fmt.Sprint(c.hostsStarted % 3), Group: "g"}
		c.commit(table.Txn{Writes: []table.Write{{Key: replica.KeyForMember(id), Value: replica.EncodeMember(m)}}})
	}
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) liveHosts() []*host {
	var list []*host
	for _, h := range c.hosts {
		if !h.dead {
			list = append(list, h)
		}
	}
	return list
}

func (c *cluster) drawLiveHost(t *rapid.T) *host {
	list := c.liveHosts()
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

// serve makes the target respond if the partition lets the message through.
func (c *cluster) serve(m *message) {
	switch {
	case m.served:
	case m.to == nil:
		if !c.tableDown && m.from.side == c.tableSide {
			m.snapshot, m.served = c.read(m.after), true
		}
	case !m.to.dead && m.to.side == m.from.side:
		view := m.to.replica.View()
		m.to.replica.RecordApplied(m.from.id, m.after)
		m.snapshot = table.Snapshot{Rows: view.RowsAfter(m.after), Revision: view.Revision()}
		m.settled, m.served = m.to.replica.SettledRevision(), true
	}
}

// deliver applies the response at the sender. A message must be delivered only once.
func (c *cluster) deliver(m *message) {
	if !m.served || m.from.dead {
		return
	}
	var source replica.Source = replica.FromTable{}
	if m.to != nil {
		source = replica.FromMember{ID: m.to.id, TableContactAge: -1}
		m.from.replica.RaiseSettledRevision(m.settled)
	}
	m.from.replica.ApplySnapshot(m.from.clock(c.now), m.started, source, m.after, m.snapshot)
	m.from.updateHoldings(c.now)
}

// exchange sends, serves and delivers a message without delay.
func (c *cluster) exchange(from, to *host) {
	m := c.send(from, to)
	c.messages = c.messages[:len(c.messages)-1]
	c.serve(m)
	c.deliver(m)
}

// checkFreshness tests, after every step, that no host's revision goes back and that every fresh host has all changes
// accepted longer ago than the freshness window. It also stops the removed hosts whose planned stop is due.
func (c *cluster) checkFreshness(t *rapid.T) {
	for _, h := range c.hosts {
		h.dead = h.dead || !h.plannedStop.IsZero() && c.now >= h.plannedStop.at
	}
	for _, h := range c.liveHosts() {
		revision := h.replica.View().Revision()
		if revision < c.lastRevision[h.id] {
			t.Fatalf("host %s went back from revision %d to %d", h.id, c.lastRevision[h.id], revision)
		}
		c.lastRevision[h.id] = revision
		for r := revision; r > c.highestAccepted; r-- {
			if h.replica.Accepted(r) {
				c.highestAccepted = r
				c.acceptances = append(c.acceptances, acceptance{r, c.now})
				break
			}
		}
	}
	for _, h := range c.liveHosts() {
		if !h.replica.Fresh(h.clock(c.now)) {
			continue
		}
		c.freshChecks++
		for _, a := range c.acceptances {
			if c.now > a.at+replica.WaitAfterAcceptance(freshnessWindow) && h.replica.View().Revision() < a.revision {
				t.Fatalf("host %s is fresh at %v with revision %d; want at least revision %d, which was accepted at %v",
					h.id, c.now, h.replica.View().Revision(), a.revision, a.at)
			}
		}
	}
}
