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

// tick is the time between two ticks of a host.
const tick = 10 * time.Millisecond

// fleet is a host's state among others that answer at once.
type fleet struct {
	*state.State
	now       time.Duration
	tableDown bool
	revision  int64
	effects   map[string]int
	queue     []state.Event
	dead      map[string]bool // members that do not answer
	missed    []miss
}

// miss is an exchange that ends without an answer.
type miss struct {
	at     time.Duration
	member string
}

// missTime is how long an exchange with a dead member lasts.
const missTime = 500 * time.Millisecond

// sizes are the numbers of rows and requests.
type sizes struct{ members, accounts, pools, requests int }

func newFleet(n sizes) *fleet {
	settings := state.Settings{Host: "host-00000", Domain: "d0", Group: "g", Window: 3 * time.Second, Poll: time.Second, Attempts: 3, Holders: 5,
		View: endpoint.Settings{}.WithDefaults()}
	f := &fleet{State: state.New(settings), effects: map[string]int{}}
	var rows []table.Row
	add := func(key string, value []byte) {
		f.revision++
		rows = append(rows, table.Row{Key: key, Value: value, Revision: f.revision})
	}
	members := make([]replica.Member, n.members)
	for i := range members {
		members[i] = replica.Member{ID: fmt.Sprintf("host-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Domain: fmt.Sprintf("d%d", i%9), Group: "g"}
		add(replica.KeyForMember(members[i].ID), replica.EncodeMember(members[i]))
	}
	for i := range n.accounts {
		name := fmt.Sprintf("account-%05d", i)
		add(replica.KeyForAccount(name), replica.EncodeAccount(account.Account{Name: name, Rate: 1e9, Burst: 1e9}))
		add(replica.KeyForShare(name), replica.EncodeShare(replica.Share{Parts: lease.Assign(members, name, 5)}))
		digest := account.Digest(name)
		add(replica.KeyForKey(digest), replica.EncodeKey(account.Key{Digest: digest, Account: name}))
	}
	for i := range n.pools {
		name := fmt.Sprintf("pool-%05d", i)
		p := pool.Pool{Name: name, Models: []pool.Model{{Name: name, Version: "1"}}, Endpoints: []pool.Endpoint{{Name: "e-" + name, Address: "10.1.0.1:80", Domain: "d0", Slots: 1}}}
		add(replica.KeyForPool(name), replica.EncodePool(p))
		add(replica.KeyForLease(name), replica.EncodeLease(replica.Lease{Holder: lease.Rank(members, name)[0].ID, Number: 1}))
	}
	r := route.Route{Name: "r", Model: "pool-00000", Pool: "pool-00000", Open: true, Account: "account-00000", Tokens: 1, Wait: document.Duration(1000 * time.Hour)}
	add(replica.KeyForRoute(r.Name), replica.EncodeRoute(r))
	f.take(state.Learned{Source: replica.FromTable{}, Rows: table.Snapshot{Rows: rows, Revision: f.revision}})
	for _, m := range members {
		f.take(state.Acked{Member: m.ID, Revision: f.revision})
	}
	for range 500 { // 5 s, until what the host holds may be used
		f.step()
	}
	for i := range n.requests {
		f.take(state.Arrive{Request: uint64(i + 1), Model: r.Name, Prompt: 1, Limit: 1})
	}
	clear(f.effects)
	return f
}

// take applies an event, and the answers of the others to its effects at the next step.
func (f *fleet) take(event state.Event) {
	for _, effect := range f.Apply(f.now, event) {
		f.effects[fmt.Sprintf("%T", effect)]++
		switch e := effect.(type) {
		case state.ReadTable:
			if !f.tableDown {
				f.queue = append(f.queue, state.Learned{Source: replica.FromTable{}, Started: f.now, After: e.After, Rows: table.Snapshot{Revision: f.revision}})
			}
		case state.SyncMember:
			if f.dead[e.Member] {
				f.missed = append(f.missed, miss{f.now + missTime, e.Member})
				continue
			}
			f.queue = append(f.queue, state.Learned{Source: replica.FromMember{ID: e.Member, TableAge: -1}, Started: f.now, After: e.After, Rows: table.Snapshot{Revision: f.revision}})
		case state.Announce:
			f.queue = append(f.queue, state.Acked{Member: e.Member, Revision: f.revision})
		}
	}
}

// step lets one tick pass.
func (f *fleet) step() {
	f.now += tick
	queue := f.queue
	f.queue = nil
	for _, event := range queue {
		f.take(event)
	}
	for len(f.missed) > 0 && f.missed[0].at <= f.now {
		f.take(state.Missed{Member: f.missed[0].member})
		f.missed = f.missed[1:]
	}
	f.take(state.Tick{})
}

// BenchmarkCapacityTick reports the share of a core that the passing of time takes, and the messages
// to other hosts, by the sizes, with the table service and without it.
func BenchmarkCapacityTick(b *testing.B) {
	base := sizes{members: 5, accounts: 5, pools: 2}
	type point struct {
		name string
		sizes
	}
	points := []point{{"base", base}}
	add := func(kind string, n int, s sizes) { points = append(points, point{fmt.Sprintf("%s=%d", kind, n), s}) }
	for _, n := range []int{100, 1000, 10000} {
		add("account", n, sizes{members: 5, accounts: n, pools: 2})
	}
	for _, n := range []int{10, 100, 1000} {
		add("pool", n, sizes{members: 5, accounts: 5, pools: n})
		add("request", n, sizes{members: 5, accounts: 5, pools: 2, requests: n})
	}
	for _, n := range []int{50, 133, 400} {
		add("member", n, sizes{members: n, accounts: 5, pools: 2})
	}
	for _, down := range []bool{false, true} {
		for _, p := range points {
			b.Run(fmt.Sprintf("down=%v/%s", down, p.name), func(b *testing.B) {
				f := newFleet(p.sizes)
				f.tableDown = down
				steps := 0
				for b.Loop() {
					for range 100 { // one second
						f.step()
					}
					steps++
				}
				if !f.Replica().Fresh(f.now) {
					b.Fatal("the host is not fresh")
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(steps)/1e7, "%core")
				b.ReportMetric(float64(f.effects["state.SyncMember"])/float64(steps), "syncs/s")
				b.ReportMetric(float64(f.effects["state.Announce"])/float64(steps), "announces/s")
			})
		}
	}
}

// BenchmarkCapacityCommit reports the messages that the commits of a takeover take.
func BenchmarkCapacityCommit(b *testing.B) {
	for _, commits := range []int{1, 10, 125} {
		b.Run(fmt.Sprintf("commit=%d", commits), func(b *testing.B) {
			f := newFleet(sizes{members: 400, accounts: 5, pools: 2})
			before := 0
			for b.Loop() {
				for i := range commits {
					f.take(state.Committed{Key: fmt.Sprint(i), Result: table.Result{Committed: true, Revision: f.revision}})
				}
				for range 100 {
					f.step()
				}
				before += watchedEach
			}
			b.ReportMetric(float64(f.effects["state.Announce"]-before)/float64(b.N), "announces")
		})
	}
}

// watchedEach is how many members a host asks each second without any commit.
const watchedEach = 8

// BenchmarkCapacityMemory reports the memory of a host's whole control state for each account (with
// its share, key and bucket) and each pool (with one model, endpoint and lease).
func BenchmarkCapacityMemory(b *testing.B) {
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for _, n := range []int{100, 1000, 10000} {
		for kind, s := range map[string]sizes{"account": {members: 5, accounts: n, pools: 1}, "pool": {members: 5, accounts: 1, pools: n}, "member": {members: n, accounts: 1, pools: 1}} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				var size float64
				for b.Loop() {
					before := heap()
					f := newFleet(s)
					size = heap() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(size/float64(n), "B/row")
			})
		}
	}
}
