package entry

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"magnoliahoist/config"
	"magnoliahoist/table"
)

// TestCopyOfTable plays a table that changes, hosts that follow it or are told by each other, feeds with gaps and
// answers that come late. It guards against a host that misses a change, or goes back to an older row.
func TestCopyOfTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, history := map[string]int64{}, []table.Row(nil)
		revision := int64(1)
		holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
		seen := map[string]int64{}
		learn := func(rows []table.Row) {
			for _, row := range rows {
				if row.Revision <= seen[row.Key] {
					t.Fatalf("row %s goes back from %d to %d", row.Key, seen[row.Key], row.Revision)
				}
				seen[row.Key] = row.Revision
			}
		}
		whole := func() []table.Row {
			var rows []table.Row
			for key, at := range truth {
				rows = append(rows, table.Row{Key: key, Revision: at})
			}
			return rows
		}
		after := func(revision int64) []table.Row {
			var rows []table.Row
			for _, row := range history {
				if row.Revision > revision {
					rows = append(rows, row)
				}
			}
			return rows
		}
		holder.replace(whole(), revision)
		learn(host.replace(whole(), revision))
		holder.show(time.Second)
		asked := host.revision
		for n := range rapid.IntRange(1, 40).Draw(t, "turns") {
			switch rapid.IntRange(0, 6).Draw(t, "turn") {
			case 0, 1:
				revision++
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				_, present := truth[key]
				removed := present && rapid.Bool().Draw(t, "removed")
				if truth[key] = revision; removed {
					delete(truth, key)
				}
				history = append(history, table.Row{Key: key, Revision: revision, Deleted: removed})
			case 2:
				holder.take(after(holder.revision), revision)
			case 3:
				learn(host.take(after(host.revision), revision))
			case 4:
				learn(host.replace(whole(), revision))
			case 5:
				asked = host.revision
			case 6:
				fresh, _ := host.told(time.Duration(n), time.Duration(n), holder.tell(asked))
				learn(fresh)
			}
		}
		holder.take(after(holder.revision), revision)
		fresh, current := host.told(time.Minute, time.Minute, holder.tell(host.revision))
		if learn(fresh); !current {
			t.Fatalf("the host is not told")
		}
		got := map[string]int64{}
		for key, row := range host.rows {
			if !row.Deleted {
				got[key] = row.Revision
			}
		}
		if !maps.Equal(got, truth) {
			t.Fatalf("the host knows %v of %v", got, truth)
		}
	})
}

// TestCopyNotRead guards against a holder that tells of a table that it has not read, and against telling a host that
// knows nothing: it would never read the rows that are older than the holder's changes.
func TestCopyNotRead(t *testing.T) {
	holder := newTableCopy(time.Second)
	holder.take([]table.Row{{Key: "k", Revision: 5}}, 5)
	qt.Check(t, holder.tell(3), qt.IsNil)
	holder.show(time.Second)
	qt.Check(t, holder.tell(0), qt.IsNil)
	qt.Check(t, holder.tell(3).GetRows(), qt.HasLen, 1)
}

// TestCopyToldByOutdatedHolder guards against a host that makes no calls of its own because of what a holder tells whose
// copy is old, whether the holder answers late or has heard nothing new, and against losing its changes.
func TestCopyToldByOutdatedHolder(t *testing.T) {
	const life = time.Second
	for name, test := range map[string]struct {
		dates []time.Duration // of what is told, by the host's clock
		now   time.Duration
		want  time.Duration // for which the host relies on it
	}{
		"fresh":                 {[]time.Duration{10 * time.Second}, 10 * time.Second, life},
		"answered late":         {[]time.Duration{10 * time.Second}, 10*time.Second + 700*time.Millisecond, 300 * time.Millisecond},
		"heard nothing new":     {[]time.Duration{10 * time.Second, 10 * time.Second}, 11 * time.Second, 0},
		"another one was newer": {[]time.Duration{10 * time.Second, 5 * time.Second}, 10 * time.Second, life},
		"all old":               {[]time.Duration{4 * time.Second, 5 * time.Second}, 10 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			holder, host := newTableCopy(life), newTableCopy(life)
			host.replace(nil, 1)
			holder.show(time.Second)
			var got []table.Row
			current := false
			for n, at := range test.dates {
				holder.take([]table.Row{{Key: "k", Revision: int64(n + 2)}}, int64(n+2))
				var fresh []table.Row
				fresh, current = host.told(test.now, at, holder.tell(1))
				got = append(got, fresh...)
			}
			qt.Check(t, host.relies(test.now), qt.Equals, test.want)
			qt.Check(t, current, qt.Equals, test.want > 0)
			qt.Check(t, got, qt.HasLen, len(test.dates))
		})
	}
}

// TestCopyAfterNewClock guards against a copy that counts as current for good because the store's clock began anew: what
// was shown by the old clock lies in the future of the new one.
func TestCopyAfterNewClock(t *testing.T) {
	h := New(config.Entry{Name: "self", Domain: "near", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
	holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
	host.replace(nil, 1)
	holder.replace(nil, 1)
	holder.show(time.Hour)
	h.store.Confirm(time.Hour)
	nothing := func([]table.Row) {}
	h.takeTold("t", &host, "holder", holder.tell(1), nothing)
	qt.Check(t, host.relies(h.Now()) > 0, qt.IsTrue)

	h.store.Confirm(10 * time.Second)
	h.takeTold("t", &host, "holder", holder.tell(1), nothing)
	qt.Check(t, host.relies(h.Now()) <= host.life, qt.IsTrue, qt.Commentf("%v", host.relies(h.Now())))
	holder.show(5 * time.Second)
	qt.Check(t, time.Duration(holder.tell(1).GetClock()), qt.Equals, 5*time.Second)
}
