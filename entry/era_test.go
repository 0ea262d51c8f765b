package entry

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"magnoliahoist/table"
)

// TestEraNoted guards against a restored store that looks like one that was away: hosts say when its era has risen, once.
func TestEraNoted(t *testing.T) {
	f := newAccessFixture(t, 0)
	var noted [][2]int64
	f.access.onRestored = func(before, era int64) { noted = append(noted, [2]int64{before, era}) }
	read := func() {
		_, err := f.access.ReadAll(context.Background(), "op")
		qt.Assert(t, err, qt.IsNil)
	}
	read()
	f.ownStore.Restore(f.ownStore.Backup(), 0)
	read()
	read()
	qt.Check(t, noted, qt.DeepEquals, [][2]int64{{1, 2}})
	qt.Check(t, f.access.Era(), qt.Equals, int64(2))
}

// TestEraOutdated guards against a late response from before a restoration that counts as new, directly or through another host, and
// against a transaction whose condition names a version that was given out again.
func TestEraOutdated(t *testing.T) {
	for name, refused := range map[string]bool{"directly": false, "through another host": true} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, 1)
			f.ownStore.Put("lease", "llm", []byte("a"))
			f.peerStore.Put("lease", "llm", []byte("a"))
			condition := table.RevisionAt(1, 1)
			f.access.noteEra(table.RevisionAt(2, 0))
			if refused {
				f.access.fail(f.now, f.now)
				f.ownStore.Stop()
			}
			_, err := f.access.ReadAll(context.Background(), "lease")
			qt.Check(t, errors.Is(err, table.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
			_, err = f.access.Commit(context.Background(), table.Txn{
				Compares: []table.Compare{{Key: "lease/llm", Revision: condition}},
				Writes:   []table.Write{{Key: "lease/llm", Value: []byte("b")}},
			})
			qt.Check(t, errors.Is(err, table.ErrNotApplied), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestEraEndsCalls guards against a host that hangs on a call from before a restoration after it has learned of the restoration.
func TestEraEndsCalls(t *testing.T) {
	f := newAccessFixture(t, 0)
	first, err := f.access.ReadAll(context.Background(), "op")
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error)
	go func() {
		_, err := f.access.Follow(context.Background(), "op", first.Revision, time.Minute)
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the call ended before the restoration: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	f.access.noteEra(table.RevisionAt(2, 0))
	select {
	case err := <-ended:
		qt.Check(t, errors.Is(err, table.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on")
	}
}

// TestCopyWithLostRow guards against a row that stays known although the store has lost it, because the lease holder never knew it.
func TestCopyWithLostRow(t *testing.T) {
	holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
	holder.merge(nil, table.RevisionAt(2, 4))
	holder.confirm(time.Second)
	host.merge([]table.Row{{Key: "lost", Revision: table.RevisionAt(1, 7)}}, table.RevisionAt(1, 7))
	qt.Check(t, holder.changesAfter(host.revision), qt.IsNil)
	changes := holder.changesAfter(table.RevisionAt(2, 3))
	_, current := host.mergeFromHolder(time.Second, time.Second, changes)
	qt.Check(t, current, qt.IsFalse)
	qt.Check(t, host.revision, qt.Equals, table.RevisionAt(1, 7))
}

// restorableTable is a table of a store that can come back from a backup.
type restorableTable struct {
	era, version int64
	rows         map[string]int64 // versions by key
	history      []table.Row      // of the present era, with versions as revisions
	backup       *restorableTable
}

// write writes or removes a row.
func (r *restorableTable) write(key string, remove bool) {
	r.version++
	r.history = append(r.history, table.Row{Key: key, Revision: r.version, Deleted: remove})
	r.rows[key] = r.version
	if remove {
		delete(r.rows, key)
	}
}

// keep makes the present state the backup.
func (r *restorableTable) keep() {
	r.backup = &restorableTable{version: r.version, rows: maps.Clone(r.rows)}
}

// restore brings the backup back. The history from before it is gone.
func (r *restorableTable) restore() {
	r.era++
	r.version, r.rows, r.history = r.backup.version, maps.Clone(r.backup.rows), nil
}

// revision returns the present revision.
func (r *restorableTable) revision() int64 { return table.RevisionAt(r.era, r.version) }

// snapshot returns all rows.
func (r *restorableTable) snapshot() table.Snapshot {
	s := table.Snapshot{Revision: r.revision()}
	for key, version := range r.rows {
		s.Rows = append(s.Rows, table.Row{Key: key, Revision: table.RevisionAt(r.era, version)})
	}
	return s
}

// bring brings a copy up to date as a follower does: by the changes, or whole if those are gone.
func (r *restorableTable) bring(c *tableCopy) {
	if table.EraOf(c.revision) != r.era || table.VersionOf(c.revision) < r.version-int64(len(r.history)) {
		s := r.snapshot()
		c.replace(s.Rows, s.Revision)
		return
	}
	var changes []table.Row
	for _, row := range r.history {
		if row.Revision > table.VersionOf(c.revision) {
			row.Revision = table.RevisionAt(r.era, row.Revision)
			changes = append(changes, row)
		}
	}
	c.merge(changes, r.revision())
}

// TestCopyOfRestoredTable guards against a host that misses a change or keeps a row that no longer exists after the store has come
// back from a backup: its versions are given out again, and hosts learn of the restoration from the store, through a lease holder and
// in any order.
func TestCopyOfRestoredTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableTable{era: 1, version: 1, rows: map[string]int64{}}
		store.keep()
		holder, host := newTableCopy(time.Second), newTableCopy(time.Second)
		check := func(event string) {
			got := map[string]int64{}
			for key, row := range host.rows {
				if !row.Deleted {
					got[key] = row.Revision
				}
			}
			want := map[string]int64{}
			for key, version := range store.rows {
				want[key] = table.RevisionAt(store.era, version)
			}
			if host.revision == store.revision() && !maps.Equal(got, want) {
				t.Fatalf("after %s at revision %d the rows of the host are %v, want %v", event, host.revision, got, want)
			}
		}
		for _, c := range []*tableCopy{&holder, &host} {
			store.bring(c)
			c.confirm(time.Second)
		}
		late, askedAfter := store.snapshot(), host.revision
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"write", "write", "keep", "restore", "holder follows", "host follows", "read begins", "late read ends", "host asks", "holder answers"}).Draw(t, "step")
			switch step {
			case "write":
				key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
				store.write(key, store.rows[key] > 0 && rapid.Bool().Draw(t, "remove"))
			case "keep":
				store.keep()
			case "restore":
				store.restore()
			case "holder follows":
				store.bring(&holder)
				holder.confirm(time.Duration(n+1) * time.Second)
			case "host follows":
				store.bring(&host)
			case "read begins":
				late = store.snapshot()
			case "late read ends":
				if late.Revision >= host.revision { // follow discards older responses
					host.replace(late.Rows, late.Revision)
				}
			case "host asks":
				askedAfter = host.revision
			case "holder answers":
				host.mergeFromHolder(time.Duration(n), time.Duration(n), holder.changesAfter(askedAfter))
			}
			check(step)
		}
		store.bring(&host)
		check("the last read")
		if host.revision != store.revision() {
			t.Fatalf("the host is at revision %d after the last read, want %d", host.revision, store.revision())
		}
	})
}
