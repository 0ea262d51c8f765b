package state

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// TestLoweredPartAfterStaleness guards against a host that becomes fresh again and uses its former part of an allowance, although rows
// that it applied while stale give nine tenths of it to another host (invariant I6: use stays within the allowance).
func TestLoweredPartAfterStaleness(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { // the methods of machine need a rapid.T
		m := newMachine()
		m.warmUp(rt)
		for _, id := range []string{"h2", "h3"} {
			m.writeRow(replica.KeyForMember(id), replica.EncodeMember(replica.Member{ID: id, Address: id, Group: "all"}))
		}
		m.applyRows(rt)
		m.now += time.Minute
		parts := []replica.Part{{Host: "h1", Fraction: 0.1}, {Host: "h2", Fraction: 0.9}}
		m.writeRow(replica.KeyForShare("yards"), replica.EncodeShare(replica.Share{Parts: parts, ReplacedRevision: m.rows[replica.KeyForShare("yards")].Revision}))
		s := m.states[0]
		rows := table.Snapshot{Revision: m.revision, Rows: []table.Row{m.rows[replica.KeyForShare("yards")]}}
		s.Apply(m.now, RowsReceived{Source: replica.FromTable{}, StartedAt: m.now - 2*testWindow, After: m.revision - 1, Rows: rows})
		qt.Assert(t, s.replica.Fresh(m.now), qt.IsFalse)
		s.Apply(m.now, RowsReceived{Source: replica.FromTable{}, StartedAt: m.now, After: m.revision, Rows: table.Snapshot{Revision: m.revision}})
		qt.Assert(t, s.replica.Fresh(m.now), qt.IsTrue)
		qt.Assert(t, s.accounts["yards"].ledger.Shortfall(m.now, testBurst) >= testBurst*9/10, qt.IsTrue)
	})
}
