package entry

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// tableCopy is the host's copy of a table of which the holder of a lease tells the other hosts with the load that they
// exchange: every call to the store is paid for, and a change would cost one for each host. A holder may itself be
// without the store and not know it yet. It dates what it tells by the store's clock, and a host that is told relies on
// it only for a time from that date. The host's lock guards it.
type tableCopy struct {
	life     time.Duration        // from the date of what a holder tells, for which the host makes no calls of its own
	rows     map[string]table.Row // removed ones stay, marked
	revision int64
	shown    time.Duration // store's clock when the copy was last shown to be current; 0 when it never was
	fed      time.Duration // the same by the host's clock, of what holders told
	source   string        // who showed it: the id of a holder, or ownFeed
}

// ownFeed is the source of a copy that the host keeps by its own calls.
const ownFeed = "store"

func newTableCopy(life time.Duration) tableCopy {
	return tableCopy{life: life, rows: map[string]table.Row{}, fed: -life}
}

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

// tell returns what another host lacks that knows the table up to a revision; nil when this host has not read the
// table, or when the other one knows nothing and reads it.
func (c *tableCopy) tell(after int64) *peer.Changes {
	if c.shown == 0 || after == 0 {
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

// show notes that the copy was current at a time on the store's clock, which may have begun anew.
func (c *tableCopy) show(clock time.Duration) {
	if clock > c.shown || clock < c.shown-clockStep {
		c.shown = clock
	}
}

// told takes what a holder tells to a host that knew the table up to a revision, dated by the host's clock. It returns
// what is new, whatever its date, and whether the copy is current by it.
func (c *tableCopy) told(now, at time.Duration, changes *peer.Changes) (fresh []table.Row, current bool) {
	if changes == nil || changes.GetRevision() < c.revision {
		return nil, false
	}
	c.show(time.Duration(changes.GetClock()))
	c.fed = max(c.fed, at)
	return c.take(peer.TableRows(changes.GetRows()), changes.GetRevision()), c.relies(now) > 0
}

// relies returns for how long the host may still rely on what holders told.
func (c *tableCopy) relies(now time.Duration) time.Duration { return max(c.fed+c.life-now, 0) }

// copied returns a follower of a table of which holders tell. Changes are handed over with the host's lock held.
func (h *Host) copied(name string, c *tableCopy, wait time.Duration, rest func() time.Duration, changed func(rows []table.Row)) follower {
	return follower{
		name: name,
		wait: func() time.Duration { return wait },
		rest: rest,
		paused: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			return c.relies(h.Now())
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
		},
		change: func(rows []table.Row, revision int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.noteSource(name, c, ownFeed)
			changed(c.take(rows, revision))
		},
		confirmed: func(clock time.Duration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.noteSource(name, c, ownFeed)
			c.show(clock)
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
