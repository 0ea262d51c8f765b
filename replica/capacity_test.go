package replica_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// capacityRows are n rows of each kind; "endpoint" is one pool row with n endpoints.
var capacityRows = map[string]func(n int) []table.Row{
	"account": each(func(i int) (string, []byte) {
		a := account.Account{Name: named("account", i), Rate: 4000, Burst: 20000}
		return replica.KeyForAccount(a.Name), replica.EncodeAccount(a)
	}),
	"route": each(func(i int) (string, []byte) {
		r := route.Route{Name: named("route", i), Model: named("model", i), Pool: named("pool", i), Accounts: []string{named("account", i)}, Tokens: 256}
		return replica.KeyForRoute(r.Name), replica.EncodeRoute(r)
	}),
	"pool": each(func(i int) (string, []byte) {
		p := pool.Pool{Name: named("pool", i), Models: []pool.Model{{Name: named("model", i), Version: "1", Memory: 15 << 30, Replicas: 2}}}
		return replica.KeyForPool(p.Name), replica.EncodePool(p)
	}),
	"endpoint": func(n int) []table.Row {
		p := pool.Pool{Name: "pool"}
		for i := range n {
			p.Endpoints = append(p.Endpoints, pool.Endpoint{Name: named("endpoint", i), Address: "10.0.0.1:8000", Domain: "fukuoka", Memory: 80 << 30, Slots: 16, Fenced: true})
		}
		return []table.Row{{Key: replica.KeyForPool("pool"), Value: replica.EncodePool(p), Revision: 1}}
	},
	"key": each(func(i int) (string, []byte) {
		k := account.Key{Digest: account.Digest(named("key", i)), Account: named("account", i)}
		return replica.KeyForKey(k.Digest), replica.EncodeKey(k)
	}),
	"member": each(func(i int) (string, []byte) {
		return replica.KeyForMember(named("host", i)), replica.EncodeMember(replica.Member{Address: "10.0.0.1:9000", Domain: "fukuoka", Group: named("region", i%3)})
	}),
	"share": each(func(i int) (string, []byte) {
		var s replica.Share
		for part := range 5 {
			s.Parts = append(s.Parts, replica.Part{Host: named("host", part), Part: 0.2})
		}
		return replica.KeyForShare(named("account", i)), replica.EncodeShare(s)
	}),
	"lease": each(func(i int) (string, []byte) {
		return replica.KeyForLease(named("pool", i)), replica.EncodeLease(replica.Lease{Holder: "host-00001", Number: 7})
	}),
}

func named(kind string, i int) string { return fmt.Sprintf("%s-%05d", kind, i) }

func each(row func(i int) (string, []byte)) func(n int) []table.Row {
	return func(n int) []table.Row {
		rows := make([]table.Row, n)
		for i := range rows {
			key, value := row(i)
			rows[i] = table.Row{Key: key, Value: value, Revision: int64(i + 1)}
		}
		return rows
	}
}

// copied returns rows with memory of their own, as they come from the table service.
func copied(rows []table.Row) []table.Row {
	list := make([]table.Row, len(rows))
	for i, row := range rows {
		list[i] = table.Row{Key: strings.Clone(row.Key), Value: bytes.Clone(row.Value), Revision: row.Revision}
	}
	return list
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCapacityLoad loads everything, as at a host's start, and reports the memory that it takes.
func BenchmarkCapacityLoad(b *testing.B) {
	for kind, rowsOf := range capacityRows {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				rows := rowsOf(n)
				before := heap()
				held := replica.NewView().With(copied(rows), int64(n))
				size := heap() - before
				for b.Loop() {
					held = replica.NewView().With(rows, int64(n))
				}
				b.ReportMetric(float64(size)/float64(n), "B/row")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/row")
				runtime.KeepAlive(held)
			})
		}
	}
}

// BenchmarkCapacityChange applies a change of one row.
func BenchmarkCapacityChange(b *testing.B) {
	for _, kind := range []string{"account", "route", "pool", "endpoint", "key", "share"} {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				rows := capacityRows[kind](n)
				view := replica.NewView().With(rows, int64(n))
				one := rows[:1]
				b.ReportAllocs()
				for b.Loop() {
					one[0].Revision = view.Revision() + 1
					view = view.With(one, one[0].Revision)
				}
			})
		}
	}
}

// BenchmarkCapacityLearn measures an exchange without changes, by the number of members.
func BenchmarkCapacityLearn(b *testing.B) {
	for _, n := range []int{5, 50, 400} {
		b.Run(fmt.Sprintf("member=%d", n), func(b *testing.B) {
			r := replica.New(named("host", 0), named("region", 0), 3*time.Second)
			r.Learn(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: capacityRows["member"](n), Revision: int64(n)})
			for i := range n {
				r.Acked(named("host", i), int64(i))
			}
			now := time.Duration(0)
			for b.Loop() {
				now += time.Second
				r.Learn(now, now, replica.FromTable{}, int64(n), table.Snapshot{Revision: int64(n)})
			}
		})
	}
}
