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
	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// TestCopyOfTable makes random changes to a table while a lease holder and a host follow it, the host also through the
// holder, with skipped changes and late responses. It guards against a host that misses a change or goes back to an
// older row.
func TestCopyOfTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revisions, history := map[string]int64{}, []table.Row(nil)
		revision := int64(1)
		holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
		seen := map[string]int64{}
		checkNewer := func(rows []table.Row) {
			for _, row := range rows {
				if row.Revision <= seen[row.Key] {
					t.Fatalf("row %s goes back from %d to %d", row.Key, seen[row.Key], row.Revision)
				}
				seen[row.Key] = row.Revision
			}
		}
		allRows := func() []table.Row {
			var rows []table.Row
			for key, at := range revisions {
				rows = append(rows, table.Row{Key: key, Revision: at})
			}
			return rows
		}
		rowsAfter := func(revision int64) []table.Row {
			var rows []table.Row
			for _, row := range history {
				if row.Revision > revision {
					rows = append(rows, row)
				}
			}
			return rows
		}
		holder.replace(allRows(), revision)
		checkNewer(host.replace(allRows(), revision))
		holder.confirm(time.Second)
		askedAfter := host.revision
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				revision++
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				_, present := revisions[key]
				removed := present && rapid.Bool().Draw(t, "removed")
				if revisions[key] = revision; removed {
					delete(revisions, key)
				}
				history = append(history, table.Row{Key: key, Revision: revision, Deleted: removed})
			case 2:
				holder.merge(rowsAfter(holder.revision), revision)
			case 3:
				checkNewer(host.merge(rowsAfter(host.revision), revision))
			case 4:
				checkNewer(host.replace(allRows(), revision))
			case 5:
				askedAfter = host.revision
			case 6:
				fresh, _ := host.mergeFromHolder(time.Duration(n), time.Duration(n), holder.changesAfter(askedAfter))
				checkNewer(fresh)
			}
		}
		holder.merge(rowsAfter(holder.revision), revision)
		fresh, current := host.mergeFromHolder(time.Minute, time.Minute, holder.changesAfter(host.revision))
		if checkNewer(fresh); !current {
			t.Fatalf("the copy of the host is not current after the changes of the holder")
		}
		got := map[string]int64{}
		for key, row := range host.rows {
			if !row.Deleted {
				got[key] = row.Revision
			}
		}
		if !maps.Equal(got, revisions) {
			t.Fatalf("the rows of the host are %v, want %v", got, revisions)
		}
	})
}

// TestCopyNotRead guards against a lease holder that sends changes of a table that it has not read, and against sending
// changes to a host that knows no rows: that host would never read the rows that are older than the holder's changes.
func TestCopyNotRead(t *testing.T) {
	holder := newTableCopy(time.Second)
	holder.merge([]table.Row{{Key: "k", Revision: 5}}, 5)
	qt.Check(t, holder.changesAfter(3), qt.IsNil)
	holder.confirm(time.Second)
	qt.Check(t, holder.changesAfter(0), qt.IsNil)
	qt.Check(t, holder.changesAfter(3).GetRows(), qt.HasLen, 1)
}

// TestCopyWithGap guards against a host that keeps a row for good: the row was added and deleted while the holder knew neither, because
// the history was compacted.
func TestCopyWithGap(t *testing.T) {
	for after, wantNil := range map[int64]bool{3: false, 5: false, 6: true, 8: true, 9: false, 10: false} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			holder := newTableCopy(time.Second)
			holder.merge(nil, 5)
			holder.replace(nil, 9)
			holder.confirm(time.Second)
			qt.Check(t, holder.changesAfter(after) == nil, qt.Equals, wantNil)
		})
	}
	holder := newTableCopy(time.Second)
	for n := range int64(3 * maxGaps) {
		holder.merge(nil, 20*n+10)
		holder.replace(nil, 20*n+20)
	}
	holder.confirm(time.Second)
	qt.Check(t, holder.gaps, qt.HasLen, maxGaps)
	qt.Check(t, holder.changesAfter(15), qt.IsNil)
}

// TestCopyToldByOutdatedHolder guards against a host that makes no calls to the store because it relies on a lease
// holder whose copy is outdated, whether the holder's response is late or the holder has received nothing new; and
// against dropping the changes of such a holder.
func TestCopyToldByOutdatedHolder(t *testing.T) {
	const validity = time.Second
	for name, test := range map[string]struct {
		confirmedAt []time.Duration // confirmation times of the holder's changes, by the host's clock
		now         time.Duration
		want        time.Duration // how long the host then relies on the holder
	}{
		"fresh":                       {[]time.Duration{10 * time.Second}, 10 * time.Second, validity},
		"late response":               {[]time.Duration{10 * time.Second}, 10*time.Second + 700*time.Millisecond, 300 * time.Millisecond},
		"holder received nothing new": {[]time.Duration{10 * time.Second, 10 * time.Second}, 11 * time.Second, 0},
		"an earlier report was newer": {[]time.Duration{10 * time.Second, 5 * time.Second}, 10 * time.Second, validity},
		"all old":                     {[]time.Duration{4 * time.Second, 5 * time.Second}, 10 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			holder, host := newTableCopy(validity), newTableCopy(validity)
			host.replace(nil, 1)
			holder.confirm(time.Second)
			var got []table.Row
			current := false
			for n, at := range test.confirmedAt {
				holder.merge([]table.Row{{Key: "k", Revision: int64(n + 2)}}, int64(n+2))
				var fresh []table.Row
				fresh, current = host.mergeFromHolder(test.now, at, holder.changesAfter(1))
				got = append(got, fresh...)
			}
			qt.Check(t, host.validFor(test.now), qt.Equals, test.want)
			qt.Check(t, current, qt.Equals, test.want > 0)
			qt.Check(t, got, qt.HasLen, len(test.confirmedAt))
		})
	}
}

// TestCopyAfterNewClock guards against a copy that counts as current forever because the store's clock was reset:
// confirmation times of the old clock lie in the future of the new one.
func TestCopyAfterNewClock(t *testing.T) {
	h := New(config.Entry{Name: "self", Domain: "near", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
	holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
	host.replace(nil, 1)
	holder.replace(nil, 1)
	holder.confirm(time.Hour)
	h.store.ConfirmConfig(time.Hour)
	nothing := func([]table.Row) {}
	h.mergeHolderChanges("t", &host, "holder", holder.changesAfter(1), nothing)
	qt.Check(t, host.validFor(h.Now()) > 0, qt.IsTrue)

	h.store.ConfirmConfig(10 * time.Second)
	h.mergeHolderChanges("t", &host, "holder", holder.changesAfter(1), nothing)
	qt.Check(t, host.validFor(h.Now()) <= host.validity, qt.IsTrue, qt.Commentf("valid for %v", host.validFor(h.Now())))
	holder.confirm(5 * time.Second)
	qt.Check(t, time.Duration(holder.changesAfter(1).GetClock()), qt.Equals, 5*time.Second)
}

// TestCopyPausesInPhase guards against a host that follows a table for good beside the holder: their calls to the store end at
// the same moments, so that the holder's report never has a newer revision than the host's own copy.
func TestCopyPausesInPhase(t *testing.T) {
	c := newTableCopy(4 * time.Second)
	c.merge(nil, 100)
	_, current := c.mergeFromHolder(10*time.Second, 9*time.Second, &peer.Changes{Revision: 99, Clock: int64(9 * time.Second)})
	qt.Check(t, current, qt.IsFalse)
	qt.Check(t, c.revision, qt.Equals, int64(100))
	qt.Check(t, c.validFor(10*time.Second), qt.Equals, 3*time.Second)
}
