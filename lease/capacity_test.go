package lease_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/lease"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// capacityView returns a view with the given numbers of members, of accounts with shares and of pools with leases.
func capacityView(members, accounts, pools int) *replica.View {
	var rows []table.Row
	add := func(key string, value []byte) {
		rows = append(rows, table.Row{Key: key, Value: value, Revision: int64(len(rows) + 1)})
	}
	list := make([]replica.Member, members)
	for i := range list {
		list[i] = replica.Member{ID: fmt.Sprintf("host-%05d", i), Address: "10.0.0.1:9000", Domain: fmt.Sprintf("d%d", i%9), Group: fmt.Sprintf("g%d", i%3)}
		add(replica.KeyForMember(list[i].ID), replica.EncodeMember(list[i]))
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		add(replica.KeyForAccount(name), replica.EncodeAccount(account.Account{Name: name, Rate: 4000, Burst: 20000}))
		add(replica.KeyForShare(name), replica.EncodeShare(replica.Share{Parts: lease.AssignParts(list, name, 5)}))
	}
	for i := range pools {
		name := fmt.Sprintf("pool-%05d", i)
		add(replica.KeyForPool(name), replica.EncodePool(pool.Pool{Name: name}))
		add(replica.KeyForLease(name), replica.EncodeLease(replica.Lease{Holder: lease.Rank(list, name)[0].ID, FencingNumber: 1}))
	}
	return replica.NewView().WithRows(rows, int64(len(rows)))
}

// BenchmarkCapacityDue measures the search for due takeovers: with none due, and with one of 400 members silent.
func BenchmarkCapacityDue(b *testing.B) {
	for _, ended := range []bool{false, true} {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("ended=%v/account=%d", ended, n), func(b *testing.B) {
				v := capacityView(400, n, 100)
				s := lease.FleetStatus{Self: "host-00000", View: v, HoldersPerAccount: 5, UnresponsiveSince: map[string]time.Duration{}, HostListAge: -1}
				if ended {
					s.UnresponsiveSince["host-00007"] = -time.Hour
				}
				planner := lease.NewPlanner(freshnessWindow)
				b.ReportAllocs()
				for b.Loop() {
					planner.DuePlans(0, s)
				}
				b.ReportMetric(float64(len(planner.DuePlans(time.Hour, s))), "plans")
			})
		}
	}
}

// BenchmarkCapacityUpdate measures the update of a host's holdings, by the number of accounts.
func BenchmarkCapacityUpdate(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("account=%d", n), func(b *testing.B) {
			v := capacityView(400, n, 100)
			r := replica.New("host-00000", "g0", freshnessWindow)
			r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: v.RowsAfter(0), Revision: v.Revision()})
			h := lease.NewHoldings("host-00000", freshnessWindow)
			for b.Loop() {
				h.Update(0, r)
			}
		})
	}
}
