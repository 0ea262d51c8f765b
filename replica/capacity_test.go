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

// capacityRows returns n rows of a kind, by the name of the kind; "endpoint" returns one pool row with n endpoints.
var capacityRows = map[string]func(n int) []table.Row{
	"account": rowsFrom(func(i int) (string, []byte) {
		a := account.Account{Name: numberedName("account", i), Rate: 4000, Burst: 20000}
		return replica.KeyForAccount(a.Name), replica.EncodeAccount(a)
	}),
	"route": rowsFrom(func(i int) (string, []byte) {
		r := route.Route{Name: numberedName("route", i), Model: numberedName("model", i), Pool: numberedName("pool", i), Accounts: []string{numberedName("account", i)}, Tokens: 256}
		return replica.KeyForRoute(r.Name), replica.EncodeRoute(r)
	}),
	"pool": rowsFrom(func(i int) (string, []byte) {
		p := pool.Pool{Name: numberedName("pool", i), Models: []pool.Model{{Name: numberedName("model", i), Version: "1", Memory: 15 << 30, Replicas: 2}}}
		return replica.KeyForPool(p.Name), replica.EncodePool(p)
	}),
	"endpoint": func(n int) []table.Row {
		p := pool.Pool{Name: "pool"}
		for i := range n {
			p.Endpoints = append(p.Endpoints, pool.Endpoint{Name: numberedName("endpoint", i), Address: "10.0.0.1:8000", Domain: "fukuoka", Memory: 80 << 30, Slots: 16, ChecksFencing: true})
		}
		return []table.Row{{Key: replica.KeyForPool("pool"), Value: replica.EncodePool(p), Revision: 1}}
	},
	"key": rowsFrom(func(i int) (string, []byte) {
		k := account.Key{Digest: account.Digest(numberedName("key", i)), Account: numberedName("account", i)}
		return replica.KeyForAccountKey(k.Digest), replica.EncodeKey(k)
	}),
	"member": rowsFrom(func(i int) (string, []byte) {
		return replica.KeyForMember(numberedName("host", i)), replica.EncodeMember(replica.Member{Address: "10.0.0.1:9000", Domain: "fukuoka", Group: numberedName("region", i%3)})
	}),
	"share": rowsFrom(func(i int) (string, []byte) {
		var s replica.Share
		for part := range 5 {
			s.Parts = append(s.Parts, replica.Part{Host: numberedName("host", part), Fraction: 0.2})
		}
		return replica.KeyForShare(numberedName("account", i)), replica.EncodeShare(s)
	}),
	"lease": rowsFrom(func(i int) (string, []byte) {
		return replica.KeyForLease(numberedName("pool", i)), replica.EncodeLease(replica.Lease{Holder: "host-00001", FencingNumber: 7})
	}),
}

func numberedName(kind string, i int) string { return fmt.Sprintf("%s-%05d", kind, i) }

// rowsFrom returns a function that makes n rows of the keys and values of row, with the revisions 1 to n.
func rowsFrom(row func(i int) (string, []byte)) func(n int) []table.Row {
	return func(n int) []table.Row {
		rows := make([]table.Row, n)
		for i := range rows {
			key, value := row(i)
			rows[i] = table.Row{Key: key, Value: value, Revision: int64(i + 1)}
		}
		return rows
	}
}

// cloneRows returns deep copies of the rows, which take the memory that rows from the table service take.
func cloneRows(rows []table.Row) []table.Row {
	list := make([]table.Row, len(rows))
	for i, row := range rows {
		list[i] = table.Row{Key: strings.Clone(row.Key), Value: bytes.Clone(row.Value), Revision: row.Revision}
	}
	return list
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCapacityLoad measures the time and memory that it takes to load all rows, as at a host's start.
func BenchmarkCapacityLoad(b *testing.B) {
	for kind, rowsOf := range capacityRows {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				rows := rowsOf(n)
				before := heapBytes()
				view := replica.NewView().WithRows(cloneRows(rows), int64(n))
				size := heapBytes() - before
				for b.Loop() {
					view = replica.NewView().WithRows(rows, int64(n))
				}
				b.ReportMetric(float64(size)/float64(n), "B/row")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/row")
				runtime.KeepAlive(view)
			})
		}
	}
}

// BenchmarkCapacityChange measures the change of one row, by the number of rows.
func BenchmarkCapacityChange(b *testing.B) {
	for _, kind := range []string{"account", "route", "pool", "endpoint", "key", "share"} {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				rows := capacityRows[kind](n)
				view := replica.NewView().WithRows(rows, int64(n))
				one := rows[:1]
				b.ReportAllocs()
				for b.Loop() {
					one[0].Revision = view.Revision() + 1
					view = view.WithRows(one, one[0].Revision)
				}
			})
		}
	}
}

// BenchmarkCapacityLearn measures an exchange without changes, by the number of members.
func BenchmarkCapacityLearn(b *testing.B) {
	for _, n := range []int{5, 50, 400} {
		b.Run(fmt.Sprintf("member=%d", n), func(b *testing.B) {
			r := replica.New(numberedName("host", 0), numberedName("region", 0), 3*time.Second)
			r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: capacityRows["member"](n), Revision: int64(n)})
			for i := range n {
				r.RecordApplied(numberedName("host", i), int64(i))
			}
			now := time.Duration(0)
			for b.Loop() {
				now += time.Second
				r.ApplySnapshot(now, now, replica.FromTable{}, int64(n), table.Snapshot{Revision: int64(n)})
			}
		})
	}
}
