package lease_test

import (
	"testing"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/table"

	qt "github.com/frankban/quicktest"
)

// learner is host h0 of a fleet of three, where every member applies what h0 learns.
type learner struct {
	replica  *replica.Replica
	holdings *lease.Holdings
}

func newLearner() *learner {
	v := fleet(3)
	l := &learner{replica.New("h0", "g", window), lease.NewHoldings("h0", window)}
	l.learn(0, v.Revision(), v.RowsAfter(0)...)
	return l
}

func (l *learner) learn(now time.Duration, revision int64, rows ...table.Row) {
	after := l.replica.View().Revision()
	l.replica.Learn(now, now, replica.FromTable{}, after, table.Snapshot{Rows: rows, Revision: revision})
	l.holdings.Update(now, l.replica)
}

func (l *learner) accept(now time.Duration) {
	l.replica.Acked("h1", l.replica.View().Revision())
	l.replica.Acked("h2", l.replica.View().Revision())
	l.holdings.Update(now, l.replica)
}

func shareRow(revision, after int64, part float64) table.Row {
	share := replica.Share{After: after, Parts: []replica.Part{{Host: "h0", Part: part}, {Host: "h1", Part: 1 - part}}}
	return table.Row{Key: replica.KeyForShare("x"), Value: replica.EncodeShare(share), Revision: revision}
}

// TestPart guards against a part that grows before the others have learned of it, and against keeping
// a part across a division that the host missed, in which another holder may have received it.
func TestPart(t *testing.T) {
	wait := replica.Wait(window)
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
			l := newLearner()
			l.learn(1, 10, shareRow(10, 0, 0.5))
			l.accept(1)
			c.Assert(l.holdings.Part(1, l.replica, "x"), qt.Equals, 0.0)
			l.learn(1+wait, 10)
			c.Assert(l.holdings.Part(1+wait, l.replica, "x"), qt.Equals, 0.5)

			changed := 2 + wait
			l.learn(changed, 12, shareRow(12, test.after, test.part))
			l.accept(changed)
			c.Assert(l.holdings.Part(changed, l.replica, "x"), qt.Equals, test.before)
			l.learn(changed+wait-1, 12)
			c.Assert(l.holdings.Part(changed+wait-1, l.replica, "x"), qt.Equals, test.before)
			l.learn(changed+wait, 12)
			c.Assert(l.holdings.Part(changed+wait, l.replica, "x"), qt.Equals, test.later)
			c.Assert(l.holdings.Part(changed+2*wait, l.replica, "x"), qt.Equals, 0.0, qt.Commentf("not fresh"))
		})
	}
}
