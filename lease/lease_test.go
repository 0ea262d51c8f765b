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

	qt "github.com/frankban/quicktest"
)

const freshnessWindow = 3 * time.Second

// fleetView returns a view with n members in two failure domains, one pool and one account.
func fleetView(n int) *replica.View {
	rows := []table.Row{
		{Key: replica.KeyForPool("p"), Value: replica.EncodePool(pool.Pool{Name: "p"}), Revision: 1},
		{Key: replica.KeyForAccount("x"), Value: replica.EncodeAccount(account.Account{Name: "x"}), Revision: 1},
	}
	for i := range n {
		m := replica.Member{Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: fmt.Sprintf("d%d", i%2), Group: "g"}
		key := replica.KeyForMember(fmt.Sprintf("h%d", i))
		rows = append(rows, table.Row{Key: key, Value: replica.EncodeMember(m), Revision: int64(i + 2)})
	}
	return replica.NewView().WithRows(rows, int64(n+1))
}

// applyPlan returns the view after the plan's writes.
func applyPlan(v *replica.View, plan lease.Plan) *replica.View {
	row := table.Row{Key: plan.Key, Value: plan.Txn.Writes[0].Value, Revision: v.Revision() + 1}
	return v.WithRows([]table.Row{row}, row.Revision)
}

// runPlanners lets every responsive member apply its first due plan, ten rounds long, and returns the last view.
func runPlanners(v *replica.View, byMember map[string]*lease.Planner, now time.Duration, silentSince map[string]time.Duration) *replica.View {
	for range 10 {
		for _, m := range v.Members() {
			if _, silent := silentSince[m.ID]; silent {
				continue
			}
			s := lease.FleetStatus{Self: m.ID, View: v, HoldersPerAccount: 3, UnresponsiveSince: silentSince}
			for _, plan := range byMember[m.ID].DuePlans(now, s) {
				v = applyPlan(v, plan)
				break // the other plans were made for the old view
			}
		}
	}
	return v
}

// newPlanners returns a planner for each member of the view, by member id.
func newPlanners(v *replica.View) map[string]*lease.Planner {
	byMember := map[string]*lease.Planner{}
	for _, m := range v.Members() {
		byMember[m.ID] = lease.NewPlanner(freshnessWindow)
	}
	return byMember
}

// TestAssignSpread guards against holders that aren't spread evenly over the failure domains.
func TestAssignSpread(t *testing.T) {
	c := qt.New(t)
	members := fleetView(8).Members()
	for i := range 50 {
		parts := lease.AssignParts(members, fmt.Sprint("account", i), 4)
		domains := map[string]int{}
		for _, part := range parts {
			for _, m := range members {
				if m.ID == part.Host {
					domains[m.Domain]++
				}
			}
			c.Assert(part.Fraction, qt.Equals, 0.25)
		}
		c.Assert(domains, qt.DeepEquals, map[string]int{"d0": 2, "d1": 2})
	}
	c.Assert(lease.AssignParts(members[:2], "x", 5), qt.HasLen, 2)
}

// TestTakeover guards against a lease or share that stays with a holder which has been silent for the timeout, and
// against a takeover from a holder that has been silent for less.
func TestTakeover(t *testing.T) {
	c := qt.New(t)
	v := fleetView(5)
	planners := newPlanners(v)
	v = runPlanners(v, planners, 0, nil)
	first, found := v.LeaseOf("p")
	c.Assert(found, qt.IsTrue)
	share, _ := v.ShareOf("x")
	c.Assert(share.Parts, qt.HasLen, 3)

	silentSince := map[string]time.Duration{first.Holder: 0, share.Parts[0].Host: 0}
	early := runPlanners(v, planners, lease.SilenceTimeout-1, silentSince)
	c.Assert(early.Revision(), qt.Equals, v.Revision())
	v = runPlanners(v, planners, lease.SilenceTimeout, silentSince)
	second, _ := v.LeaseOf("p")
	c.Assert(second.FencingNumber, qt.Equals, first.FencingNumber+1)
	c.Assert(silentSince[second.Holder], qt.Equals, time.Duration(0))
	next, _ := v.ShareOf("x")
	c.Assert(next.ReplacedRevision, qt.Equals, share.Revision)
	sum := 0.0
	for _, part := range next.Parts {
		_, silent := silentSince[part.Host]
		c.Assert(silent, qt.IsFalse)
		sum += part.Fraction
	}
	c.Assert(sum <= 1+1e-9, qt.IsTrue)
}

// TestRankDelay guards against a row without a holder because its first candidate can't reach the table service.
func TestRankDelay(t *testing.T) {
	c := qt.New(t)
	v := fleetView(3)
	last := lease.Rank(v.Members(), "p")[2].ID
	planner := lease.NewPlanner(freshnessWindow)
	dueKeys := func(now time.Duration) map[string]bool {
		due := map[string]bool{}
		for _, plan := range planner.DuePlans(now, lease.FleetStatus{Self: last, View: v, HoldersPerAccount: 3}) {
			due[plan.Key] = true
		}
		return due
	}
	c.Assert(dueKeys(0)[replica.KeyForLease("p")], qt.IsFalse)
	c.Assert(dueKeys(time.Minute)[replica.KeyForLease("p")], qt.IsTrue)
}

// TestHandOver guards against a draining host that keeps leases or parts of shares.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	v := runPlanners(fleetView(3), newPlanners(fleetView(3)), 0, nil)
	held, _ := v.LeaseOf("p")
	for _, plan := range lease.NewPlanner(freshnessWindow).HandOverPlans(0, lease.FleetStatus{Self: held.Holder, View: v, HoldersPerAccount: 3}) {
		v = applyPlan(v, plan)
	}
	next, _ := v.LeaseOf("p")
	c.Assert(next.Holder, qt.Not(qt.Equals), held.Holder)
	share, _ := v.ShareOf("x")
	c.Assert(share.PartOf(held.Holder), qt.Equals, 0.0)
	c.Assert(share.Parts, qt.HasLen, 2)
}

// TestRemovals guards against the removal of a member that is on the host list, that responds, or whose absence is known
// only from an outdated host list.
func TestRemovals(t *testing.T) {
	v := fleetView(2)
	missing := func(replica.Member) bool { return false }
	silent := map[string]time.Duration{"h1": 0}
	for name, test := range map[string]struct {
		status lease.FleetStatus
		want   int
	}{
		"dead":     {lease.FleetStatus{UnresponsiveSince: silent, Listed: missing}, 1},
		"listed":   {lease.FleetStatus{UnresponsiveSince: silent, Listed: func(replica.Member) bool { return true }}, 0},
		"responds": {lease.FleetStatus{Listed: missing}, 0},
		"old list": {lease.FleetStatus{UnresponsiveSince: silent, Listed: missing, HostListAge: 31 * time.Second}, 0},
		"no list":  {lease.FleetStatus{UnresponsiveSince: silent, Listed: missing, HostListAge: -1}, 0},
		"replaced": {lease.FleetStatus{Replaced: map[string]bool{"h1": true}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			test.status.Self, test.status.View = "h0", v
			qt.Assert(t, lease.RemovalTxns(lease.SilenceTimeout, test.status), qt.HasLen, test.want)
		})
	}
}

// TestStates guards against a takeover that is complete before its row is accepted or before the wait has passed.
func TestStates(t *testing.T) {
	c := qt.New(t)
	r := replica.New("h0", "g", freshnessWindow)
	v := fleetView(3)
	r.ApplySnapshot(0, 0, replica.FromTable{}, 0, table.Snapshot{Rows: v.RowsAfter(0), Revision: v.Revision()})
	takeover, key, wait := lease.NewTakeover(), replica.KeyForLease("p"), replica.WaitAfterAcceptance(freshnessWindow)
	c.Assert(takeover.Advance(0, r, key, wait), qt.Equals, lease.Committing)
	takeover.RecordCommit(table.Result{Committed: true, Revision: v.Revision()})
	c.Assert(takeover.Advance(0, r, key, wait), qt.Equals, lease.Accepting)
	r.RecordApplied("h1", v.Revision())
	r.RecordApplied("h2", v.Revision())
	c.Assert(takeover.Advance(1, r, key, wait), qt.Equals, lease.Waiting)
	c.Assert(takeover.Advance(wait, r, key, wait), qt.Equals, lease.Waiting)
	c.Assert(takeover.Advance(1+wait, r, key, wait), qt.Equals, lease.Held)
}
