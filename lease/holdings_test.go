package lease_test

import (
	"testing"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/table"

	qt "github.com/frankban/quicktest"
)

// testHost is the host h0 in a fleet of three members.
type testHost struct {
	replica  *replica.Replica
	holdings *lease.Holdings
}

// newTestHost returns h0 with the rows of the fleet applied.
func newTestHost() *testHost {
	v := fleetView(3)
	h := &testHost{replica.New("h0", "g", freshnessWindow), lease.NewHoldings("h0", freshnessWindow)}
	h.applyRows(0, v.Revision(), v.RowsAfter(0)...)
	return h
}

// applyRows applies rows that are read from the table service at the time now.
func (h *testHost) applyRows(now time.Duration, revision int64, rows ...table.Row) {
	after := h.replica.View().Revision()
	h.replica.ApplySnapshot(now, now, replica.FromTable{}, after, table.Snapshot{Rows: rows, Revision: revision})
	h.holdings.Update(now, h.replica)
}

// acceptByAll records that the other members have applied everything that h0 has.
func (h *testHost) acceptByAll(now time.Duration) {
	h.replica.RecordApplied("h1", h.replica.View().Revision())
	h.replica.RecordApplied("h2", h.replica.View().Revision())
	h.holdings.Update(now, h.replica)
}

// shareRow returns a share row of the account x in which h0 holds the part and h1 the rest.
func shareRow(revision, after int64, part float64) table.Row {
	share := replica.Share{ReplacedRevision: after, Parts: []replica.Part{{Host: "h0", Fraction: part}, {Host: "h1", Fraction: 1 - part}}}
	return table.Row{Key: replica.KeyForShare("x"), Value: replica.EncodeShare(share), Revision: revision}
}

// TestPart guards against a part that grows before the other holders have applied the change, and against a part that
// is kept although the host missed a share row in between, which may have given that part to another holder.
func TestPart(t *testing.T) {
	wait := replica.WaitAfterAcceptance(freshnessWindow)
	for name, test := range map[string]struct {
		after         int64
		part          float64
		before, later float64
	}{
		"grows":   {10, 0.75, 0.5, 0.75},
		"shrinks": {10, 0.25, 0.25, 0.25},
		"missed":  {11, 0.5, 0, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newTestHost()
			h.applyRows(1, 10, shareRow(10, 0, 0.5))
			h.acceptByAll(1)
			c.Assert(h.holdings.UsablePart(1, h.replica, "x"), qt.Equals, 0.0)
			h.applyRows(1+wait, 10)
			c.Assert(h.holdings.UsablePart(1+wait, h.replica, "x"), qt.Equals, 0.5)

			changed := 2 + wait
			h.applyRows(changed, 12, shareRow(12, test.after, test.part))
			h.acceptByAll(changed)
			c.Assert(h.holdings.UsablePart(changed, h.replica, "x"), qt.Equals, test.before)
			h.applyRows(changed+wait-1, 12)
			c.Assert(h.holdings.UsablePart(changed+wait-1, h.replica, "x"), qt.Equals, test.before)
			h.applyRows(changed+wait, 12)
			c.Assert(h.holdings.UsablePart(changed+wait, h.replica, "x"), qt.Equals, test.later)
			c.Assert(h.holdings.UsablePart(changed+2*wait, h.replica, "x"), qt.Equals, 0.0, qt.Commentf("not fresh"))
		})
	}
}
