package entry

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// fedLife is how long a host relies on a holder for changes of a table before it follows the table itself.
const fedLife = time.Second

// tableCopy is the host's copy of a table of which the holder of a lease tells the other hosts with the load that they
// exchange: every call to the store is paid for, and a change would cost one for each host. The host's lock guards it.
type tableCopy struct {
	rows     map[string]table.Row // removed ones stay, marked
	revision int64
	current  bool          // followed without a gap
	fed      time.Duration // last answer of a holder that follows the table
	shown    time.Duration // store's clock when the copy was last shown to be current; 0 when it never was
	source   string        // who showed it: the id of a holder, or ownFeed
}

// ownFeed is the source of a copy that the host keeps by its own calls.
const ownFeed = "store"

func newTableCopy() tableCopy { return tableCopy{rows: map[string]table.Row{}, fed: -fedLife} }

// take adds rows that lead to a revision and returns those that are newer than what is known: the table and the holder
// may tell of the same changes.
func (c *tableCopy) take(rows []table.Row, revision int64) []table.Row {
	var fresh []table.Row
	for _, row := range rows {
		if row.Revision > c.rows[row.Key].Revision {
			c.rows[row.Key] = row
			fresh = append(fresh, row)
		}
	}
	c.revision = max(c.revision, revision)
	return fresh
}

// replace takes the whole table; what it lacks has been removed. It returns what is new.
func (c *tableCopy) replace(rows []table.Row, revision int64) []table.Row {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, row := range c.rows {
		if !present[key] && !row.Deleted {
			rows = append(rows, table.Row{Key: key, Revision: revision, Deleted: true})
		}
	}
	return c.take(rows, revision)
}

// tell returns what another host lacks that knows the table up to a revision; nil when this host may lack something
// itself, or when the other one knows nothing and reads the table.
func (c *tableCopy) tell(after int64) *peer.Changes {
	if !c.current || after == 0 {
		return nil
	}
	var rows []table.Row
	for _, row := range c.rows {
		if row.Revision > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return &peer.Changes{Rows: peer.RowsOf(rows), Revision: c.revision, Clock: int64(c.shown)}
}

// show notes that the copy was current at a time on the store's clock.
func (c *tableCopy) show(clock time.Duration) { c.shown = max(c.shown, clock) }

// told takes what a holder tells after a revision and hands over what is new. Changes that don't follow on what is
// known are left for the next exchange. It reports whether the holder knows the table as well as this host.
func (c *tableCopy) told(now time.Duration, after int64, changes *peer.Changes, changed func(rows []table.Row)) bool {
	if changes == nil || changes.GetRevision() < c.revision {
		return false
	}
	c.fed = now
	if after != c.revision {
		return true
	}
	c.show(time.Duration(changes.GetClock()))
	if fresh := c.take(peer.TableRows(changes.GetRows()), changes.GetRevision()); len(fresh) > 0 {
		changed(fresh)
	}
	return true
}

// isFed reports whether a holder tells this host of changes.
func (c *tableCopy) isFed(now time.Duration) bool { return now-c.fed < fedLife }

// copied returns a follower of a table of which holders tell. Changes are handed over with the host's lock held.
func (h *Host) copied(name string, c *tableCopy, rest func() time.Duration, changed func(rows []table.Row)) follower {
	return follower{
		name: name,
		wait: feedWait,
		rest: rest,
		paused: func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return c.isFed(h.Now())
		},
		revision: func() int64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return c.revision
		},
		replace: func(rows []table.Row, revision int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.noteSource(name, c, ownFeed)
			changed(c.replace(rows, revision))
			c.current = true
		},
		change: func(rows []table.Row, revision int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			changed(c.take(rows, revision))
			c.current = true
		},
		confirmed: func(clock time.Duration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.noteSource(name, c, ownFeed)
			c.show(clock)
		},
		lost: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			c.current = false
		},
	}
}

// noteSource logs from whom the host learns of a table's changes when that changes. The caller holds the lock.
func (h *Host) noteSource(name string, c *tableCopy, source string) {
	if c.source == source {
		return
	}
	h.log.Info("entry: another source of a table", "table", name, "source", source, "before", c.source, "revision", c.revision, "age", h.age(c).String())
	c.source = source
}

// age returns how long ago a copy was shown to be current, by whichever host; -1 s when it never was. The caller holds
// the lock.
func (h *Host) age(c *tableCopy) time.Duration {
	at, known := h.store.Local(c.shown)
	if !known {
		return -time.Second
	}
	return h.Now() - at
}
