package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/document"
	"magnoliahoist/endpoint"
	"magnoliahoist/lease"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/state"
	"magnoliahoist/table"
)

// tickInterval is the time between two ticks of the simulated host.
const tickInterval = 10 * time.Millisecond

// simulatedHost is a host's state with a table service and other members that respond at the next tick.
type simulatedHost struct {
	*state.State
	now           time.Duration
	tableDown     bool
	revision      int64
	effectCounts  map[string]int
	pendingEvents []state.Event
	silentMembers map[string]bool // ids of the members that do not respond
	timeouts      []exchangeTimeout
}

// exchangeTimeout says when an exchange with a silent member ends without a response.
type exchangeTimeout struct {
	endsAt time.Duration
	member string
}

// exchangeTimeoutDelay is how long an exchange with a silent member lasts.
const exchangeTimeoutDelay = 500 * time.Millisecond

// rowCounts gives the numbers of rows of each kind and of queued requests.
type rowCounts struct{ members, accounts, pools, requests int }

func newSimulatedHost(n rowCounts) *simulatedHost {
	settings := state.Settings{Host: "host-00000", Domain: "d0", Group: "g", FreshnessWindow: 3 * time.Second, TablePollInterval: time.Second, MaxAttempts: 3, HoldersPerAccount: 5,
		EndpointView: endpoint.Settings{}.WithDefaults()}
	h := &simulatedHost{State: state.New(settings), effectCounts: map[string]int{}}
	var rows []table.Row
	add := func(key string, value []byte) {
		h.revision++
		rows = append(rows, table.Row{Key: key, Value: value, Revision: h.revision})
	}
	members := make([]replica.Member, n.members)
	for i := range members {
		members[i] = replica.Member{ID: fmt.Sprintf("host-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Domain: fmt.Sprintf("d%d", i%9), Group: "g"}
		add(replica.KeyForMember(members[i].ID), replica.EncodeMember(members[i]))
	}
	for i := range n.accounts {
		name := fmt.Sprintf("account-%05d", i)
		add(replica.KeyForAccount(name), replica.EncodeAccount(account.Account{Name: name, Rate: 1e9, Burst: 1e9}))
		add(replica.KeyForShare(name), replica.EncodeShare(replica.Share{Parts: lease.AssignParts(members, name, 5)}))
		digest := account.Digest(name)
		add(replica.KeyForAccountKey(digest), replica.EncodeKey(account.Key{Digest: digest, Account: name}))
	}
	for i := range n.pools {
		name := fmt.Sprintf("pool-%05d", i)
		p := pool.Pool{Name: name, Models: []pool.Model{{Name: name, Version: "1"}}, Endpoints: []pool.Endpoint{{Name: "e-" + name, Address: "10.1.0.1:80", Domain: "d0", Slots: 1}}}
		add(replica.KeyForPool(name), replica.EncodePool(p))
		add(replica.KeyForLease(name), replica.EncodeLease(replica.Lease{Holder: lease.Rank(members, name)[0].ID, FencingNumber: 1}))
	}
	r := route.Route{Name: "r", Model: "pool-00000", Pool: "pool-00000", Open: true, Account: "account-00000", Tokens: 1, MaxWait: document.Duration(1000 * time.Hour)}
	add(replica.KeyForRoute(r.Name), replica.EncodeRoute(r))
	h.apply(state.RowsReceived{Source: replica.FromTable{}, Rows: table.Snapshot{Rows: rows, Revision: h.revision}})
	for _, m := range members {
		h.apply(state.RevisionApplied{Member: m.ID, Revision: h.revision})
	}
	for range 500 { // 5 s, until the host may use its parts and leases
		h.step()
	}
	for i := range n.requests {
		h.apply(state.RequestArrived{Request: uint64(i + 1), Model: r.Name, PromptTokens: 1, CallerMaxTokens: 1})
	}
	clear(h.effectCounts)
	return h
}

// apply applies an event, counts its effects by type, and queues the responses of the table service and the members for the next step.
func (h *simulatedHost) apply(event state.Event) {
	for _, effect := range h.Apply(h.now, event) {
		h.effectCounts[fmt.Sprintf("%T", effect)]++
		switch e := effect.(type) {
		case state.ReadTable:
			if !h.tableDown {
				h.pendingEvents = append(h.pendingEvents, state.RowsReceived{Source: replica.FromTable{}, StartedAt: h.now, After: e.After, Rows: table.Snapshot{Revision: h.revision}})
			}
		case state.SyncMember:
			if h.silentMembers[e.Member] {
				h.timeouts = append(h.timeouts, exchangeTimeout{h.now + exchangeTimeoutDelay, e.Member})
				continue
			}
			h.pendingEvents = append(h.pendingEvents, state.RowsReceived{Source: replica.FromMember{ID: e.Member, TableContactAge: -1}, StartedAt: h.now, After: e.After, Rows: table.Snapshot{Revision: h.revision}})
		case state.Announce:
			h.pendingEvents = append(h.pendingEvents, state.RevisionApplied{Member: e.Member, Revision: h.revision})
		}
	}
}

// step advances the time by one tick and applies the events that are due.
func (h *simulatedHost) step() {
	h.now += tickInterval
	queue := h.pendingEvents
	h.pendingEvents = nil
	for _, event := range queue {
		h.apply(event)
	}
	for len(h.timeouts) > 0 && h.timeouts[0].endsAt <= h.now {
		h.apply(state.MemberSilent{Member: h.timeouts[0].member})
		h.timeouts = h.timeouts[1:]
	}
	h.apply(state.Tick{})
}

// BenchmarkCapacityTick reports, by the numbers of rows and requests, the percentage of a core that ticks take
// and the messages to other hosts a second, with the table service reachable and unreachable.
func BenchmarkCapacityTick(b *testing.B) {
	base := rowCounts{members: 5, accounts: 5, pools: 2}
	type point struct {
		name string
		rowCounts
	}
	points := []point{{"base", base}}
	add := func(kind string, n int, s rowCounts) {
		points = append(points, point{fmt.Sprintf("%s=%d", kind, n), s})
	}
	for _, n := range []int{100, 1000, 10000} {
		add("account", n, rowCounts{members: 5, accounts: n, pools: 2})
	}
	for _, n := range []int{10, 100, 1000} {
		add("pool", n, rowCounts{members: 5, accounts: 5, pools: n})
		add("request", n, rowCounts{members: 5, accounts: 5, pools: 2, requests: n})
	}
	for _, n := range []int{50, 133, 400} {
		add("member", n, rowCounts{members: n, accounts: 5, pools: 2})
	}
	for _, down := range []bool{false, true} {
		for _, p := range points {
			b.Run(fmt.Sprintf("down=%v/%s", down, p.name), func(b *testing.B) {
				h := newSimulatedHost(p.rowCounts)
				h.tableDown = down
				seconds := 0
				for b.Loop() {
					for range 100 { // one second
						h.step()
					}
					seconds++
				}
				if !h.Replica().Fresh(h.now) {
					b.Fatal("the host is not fresh")
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds)/1e7, "%core")
				b.ReportMetric(float64(h.effectCounts["state.SyncMember"])/float64(seconds), "syncs/s")
				b.ReportMetric(float64(h.effectCounts["state.Announce"])/float64(seconds), "announces/s")
			})
		}
	}
}

// BenchmarkCapacityCommit reports the announcements that the commits of a takeover cause among 400 members.
func BenchmarkCapacityCommit(b *testing.B) {
	for _, commits := range []int{1, 10, 125} {
		b.Run(fmt.Sprintf("commit=%d", commits), func(b *testing.B) {
			h := newSimulatedHost(rowCounts{members: 400, accounts: 5, pools: 2})
			watchAnnounces := 0
			for b.Loop() {
				for i := range commits {
					h.apply(state.CommitFinished{Key: fmt.Sprint(i), Result: table.Result{Committed: true, Revision: h.revision}})
				}
				for range 100 {
					h.step()
				}
				watchAnnounces += watchedPerSecond
			}
			b.ReportMetric(float64(h.effectCounts["state.Announce"]-watchAnnounces)/float64(b.N), "announces")
		})
	}
}

// watchedPerSecond is how many announcements a host sends each second without any commit.
const watchedPerSecond = 8

// BenchmarkCapacityMemory reports the bytes that a host's control state takes for each account (with its share, key and bucket),
// each pool (with one model, endpoint and lease) and each member.
func BenchmarkCapacityMemory(b *testing.B) {
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for _, n := range []int{100, 1000, 10000} {
		for kind, s := range map[string]rowCounts{"account": {members: 5, accounts: n, pools: 1}, "pool": {members: 5, accounts: 1, pools: n}, "member": {members: n, accounts: 1, pools: 1}} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				var size float64
				for b.Loop() {
					before := heap()
					h := newSimulatedHost(s)
					size = heap() - before
					runtime.KeepAlive(h)
				}
				b.ReportMetric(size/float64(n), "B/row")
			})
		}
	}
}
