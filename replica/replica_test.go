package replica_test

import (
	"testing"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"

	qt "github.com/frankban/quicktest"
)

func memberRow(id string, revision int64) table.Row {
	m := replica.Member{Address: id, Domain: "d", Group: "g"}
	return table.Row{Key: replica.KeyForMember(id), Value: replica.EncodeMember(m), Revision: revision}
}

// TestLearnGap guards against a view that lacks rows below its revision, and against a view that goes back to an earlier
// revision.
func TestLearnGap(t *testing.T) {
	c := qt.New(t)
	r := replica.New("a", "g", time.Second)
	c.Assert(r.ApplySnapshot(0, 0, replica.FromTable{}, 4, table.Snapshot{Revision: 9}), qt.IsFalse)
	c.Assert(r.Fresh(0), qt.IsFalse)
	c.Assert(r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Revision: 9}), qt.IsTrue)
	c.Assert(r.ApplySnapshot(0, 0, replica.FromMember{ID: "b", TableContactAge: -1}, 0, table.Snapshot{Revision: 3}), qt.IsTrue)
	c.Assert(r.View().Revision(), qt.Equals, int64(9))
}

// TestMajority guards against a host that is fresh by exchanges with a minority, and against freshness that counts from
// the latest instead of the earliest exchange of the majority.
func TestMajority(t *testing.T) {
	c := qt.New(t)
	r := replica.New("a", "g", 3*time.Second)
	rows := []table.Row{memberRow("a", 1), memberRow("b", 2), memberRow("c", 3), memberRow("d", 4), memberRow("e", 5)}
	r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: rows, Revision: 5})
	r.ApplySnapshot(4*time.Second, 4*time.Second, replica.FromMember{ID: "b", TableContactAge: -1}, 5, table.Snapshot{Revision: 5})
	c.Assert(r.Fresh(4*time.Second), qt.IsFalse)
	r.ApplySnapshot(6*time.Second, 5*time.Second, replica.FromMember{ID: "c", TableContactAge: -1}, 5, table.Snapshot{Revision: 5})
	c.Assert(r.FreshUntil(), qt.Equals, 7*time.Second)
	applied, members := r.CountApplied(5)
	c.Assert([]int{applied, members}, qt.DeepEquals, []int{3, 5})
}

// TestAcceptedByEarlierSet guards against new members that accept a change among themselves, while the members of an
// earlier set don't have it and keep each other fresh.
func TestAcceptedByEarlierSet(t *testing.T) {
	c := qt.New(t)
	r := replica.New("d", "g", 3*time.Second)
	rows := []table.Row{memberRow("a", 1), memberRow("b", 2), memberRow("c", 3),
		memberRow("d", 4), memberRow("e", 5), memberRow("f", 6), memberRow("g", 7)}
	r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: rows, Revision: 8})
	for _, id := range []string{"e", "f", "g"} {
		r.RecordApplied(id, 8)
	}
	c.Assert(r.Accepted(8), qt.IsFalse)
	r.RaiseSettledRevision(7)
	c.Assert(r.Accepted(8), qt.IsTrue)
}

// TestViewLookup guards against wrong lookups, lost tombstones, and rows that prevent the use of others because they
// fail to decode or are of an unknown kind.
func TestViewLookup(t *testing.T) {
	c := qt.New(t)
	services := []route.Route{
		{Name: "short", Kind: route.Service, Prefix: "/tags", Pool: "p"},
		{Name: "long", Kind: route.Service, Prefix: "/tags/old/", Pool: "p"},
	}
	rows := []table.Row{
		{Key: replica.KeyForAccount("x"), Value: replica.EncodeAccount(account.Account{Name: "x", Rate: 1}), Revision: 1},
		{Key: replica.KeyForRoute("short"), Value: replica.EncodeRoute(services[0]), Revision: 2},
		{Key: replica.KeyForRoute("long"), Value: replica.EncodeRoute(services[1]), Revision: 3},
		{Key: replica.KeyForPool("bad"), Value: []byte(`{"name":`), Revision: 4},
		{Key: replica.KeyForShare("x"), Value: []byte(`{"parts":[{"host":"a","part":0.8},{"host":"b","part":0.8}]}`), Revision: 4},
		{Key: "fleet/future/x", Value: []byte("?"), Revision: 5},
	}
	v := replica.NewView().WithRows(rows, 5)
	_, found := v.ShareOf("x")
	c.Assert(found, qt.IsFalse)
	c.Assert(v.BrokenRows(), qt.HasLen, 2)
	c.Assert(v.RowsAfter(3), qt.HasLen, 3)
	c.Assert(v.RevisionOf(replica.KeyForPool("bad")), qt.Equals, int64(4))
	for path, want := range map[string]string{"/tags": "short", "/tags/7": "short", "/tags/old/7": "long", "/tagsx": ""} {
		r, _ := v.RouteByPath(path)
		c.Assert(r.Name, qt.Equals, want, qt.Commentf("path %s", path))
	}
	gone := table.Row{Key: replica.KeyForAccount("x"), Value: replica.EncodeTombstone(), Revision: 6}
	later := v.WithRows([]table.Row{gone}, 6)
	_, found = later.AccountByName("x")
	c.Assert(found, qt.IsFalse)
	c.Assert(later.RowsAfter(5), qt.DeepEquals, []table.Row{gone})
	_, found = later.WithRows(rows, 5).AccountByName("x")
	c.Assert(found, qt.IsFalse)
	_, found = v.AccountByName("x")
	c.Assert(found, qt.IsTrue)
}

// TestSettledWaits guards against a revision that settles too early: an earlier member set would be ignored while a fresh
// host may still count its majority by it.
func TestSettledWaits(t *testing.T) {
	c := qt.New(t)
	window := 3 * time.Second
	r := replica.New("a", "g", window)
	rows := []table.Row{memberRow("a", 1), memberRow("b", 2)}
	r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: rows, Revision: 2})
	r.ApplySnapshot(time.Second, 0, replica.FromMember{ID: "b", TableContactAge: -1}, 2, table.Snapshot{Revision: 2})
	for _, now := range []time.Duration{replica.WaitAfterAcceptance(window), time.Second + replica.WaitAfterAcceptance(window) - 1} {
		r.ApplySnapshot(now, now, replica.FromTable{}, 2, table.Snapshot{Revision: 2})
		c.Assert(r.SettledRevision(), qt.Equals, int64(0))
	}
	now := time.Second + replica.WaitAfterAcceptance(window)
	r.ApplySnapshot(now, now, replica.FromTable{}, 2, table.Snapshot{Revision: 2})
	c.Assert(r.SettledRevision(), qt.Equals, int64(2))
}
