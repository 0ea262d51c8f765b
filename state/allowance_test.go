package state

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// Guards against a host that becomes fresh again and uses the part which it held before, although rows
// that it learned meanwhile give half of it to another host (I6).
func TestLoweredPartAfterStaleness(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { // the machine of the property test draws from rapid
		m := newMachine()
		m.warm(rt)
		for _, id := range []string{"h2", "h3"} {
			m.write(replica.KeyForMember(id), replica.EncodeMember(replica.Member{ID: id, Address: id, Group: "all"}))
		}
		m.learn(rt)
		m.now += time.Minute
		parts := []replica.Part{{Host: "h1", Part: 0.1}, {Host: "h2", Part: 0.9}}
		m.write(replica.KeyForShare("yards"), replica.EncodeShare(replica.Share{Parts: parts, After: m.rows[replica.KeyForShare("yards")].Revision}))
		s := m.states[0]
		rows := table.Snapshot{Revision: m.revision, Rows: []table.Row{m.rows[replica.KeyForShare("yards")]}}
		s.Apply(m.now, Learned{Source: replica.FromTable{}, Started: m.now - 2*testWin, After: m.revision - 1, Rows: rows})
		qt.Assert(t, s.replica.Fresh(m.now), qt.IsFalse)
		s.Apply(m.now, Learned{Source: replica.FromTable{}, Started: m.now, After: m.revision, Rows: table.Snapshot{Revision: m.revision}})
		qt.Assert(t, s.replica.Fresh(m.now), qt.IsTrue)
		qt.Assert(t, s.accounts["yards"].ledger.Missing(m.now, testBurst) >= testBurst*9/10, qt.IsTrue)
	})
}
