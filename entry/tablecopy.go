package entry

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// tableCopy is the host's copy of a table of the store. The platform charges for every call to the store, and each
// change would cost one call per host, so a lease holder sends the changes to the other hosts along with the load
// reports. A holder may have lost the store without knowing it yet. It therefore states when, on the store's clock, its
// copy was current, and the other hosts rely on its changes only for a limited time from then. The host's lock guards
// the copy.
type tableCopy struct {
	validity        time.Duration        // how long after its confirmation time a holder's report replaces own calls to the store
	rows            map[string]table.Row // includes deleted rows, as tombstones
	revision        int64
	gaps            []gap         // in ascending order
	currentClock    time.Duration // the store's clock when the copy was last confirmed to be current; 0 before the first time
	holderCurrentAt time.Duration // latest confirmation time reported by a holder, by the host's clock
	source          string        // who confirmed the copy last: the id of a holder, storeSource or deputySource
}

// gap is a range of revisions that the copy skipped when the table was read whole. Rows that were added and deleted within it are not
// known, not even as tombstones.
type gap struct{ from, to int64 }

// maxGaps bounds the gaps that a copy remembers. The oldest ones are merged into a larger one.
const maxGaps = 8

// Sources of a copy besides the ids of lease holders: the host reads the table from the store itself, or deputies report its
// changes.
const (
	storeSource  = "store"
	deputySource = "deputies"
)

func newTableCopy(validity time.Duration) tableCopy {
	return tableCopy{validity: validity, rows: map[string]table.Row{}, holderCurrentAt: -validity}
}

// merge adds rows up to a revision and returns those that are newer than the known ones. Rows may repeat, because the
// store and a holder may both send the same change.
func (c *tableCopy) merge(rows []table.Row, revision int64) []table.Row {
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

// addGap records that the copy goes from its revision to a later one by a read of the whole table.
func (c *tableCopy) addGap(revision int64) {
	if revision <= c.revision {
		return
	}
	c.gaps = append(c.gaps, gap{c.revision, revision})
	if len(c.gaps) > maxGaps {
		c.gaps[1].from = c.gaps[0].from
		c.gaps = c.gaps[1:]
	}
}

// isInGap reports whether a host that knows the table up to a revision may know rows that were deleted within a gap of this copy.
func (c *tableCopy) isInGap(revision int64) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// replace merges the whole table: known rows that it lacks count as deleted. It returns the rows that are new.
func (c *tableCopy) replace(rows []table.Row, revision int64) []table.Row {
	c.addGap(revision)
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, row := range c.rows {
		if !present[key] && !row.Deleted {
			rows = append(rows, table.Row{Key: key, Revision: revision, Deleted: true})
		}
	}
	return c.merge(rows, revision)
}

// changesAfter returns the changes for a host that knows the table up to a revision. It returns nil if this host's copy
// was never confirmed or has skipped changes after that revision, or if the other host has revision 0 or one of another era and so must
// read from the store itself.
func (c *tableCopy) changesAfter(after int64) *peer.Changes {
	if c.currentClock == 0 || table.EraOf(after) != table.EraOf(c.revision) || after == 0 || c.isInGap(after) {
		return nil
	}
	var rows []table.Row
	for _, row := range c.rows {
		if row.Revision > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return &peer.Changes{Rows: peer.RowMessages(rows), Revision: c.revision, Clock: int64(c.currentClock)}
}

// confirm records that the copy was current at a time on the store's clock. A time more than clockResetStep earlier
// than the last means that the store's clock was reset.
func (c *tableCopy) confirm(clock time.Duration) {
	if clock > c.currentClock || clock < c.currentClock-clockResetStep {
		c.currentClock = clock
	}
}

// forgetConfirmations makes the copy count as never confirmed.
func (c *tableCopy) forgetConfirmations() {
	c.currentClock, c.holderCurrentAt = 0, -c.validity
}

// mergeFromHolder merges a holder's changes, which were current at currentAt by the host's clock. It returns the new
// rows, however old the changes are, and whether the copy now counts as current. A holder whose revision is older than that
// of the copy has nothing new, but it follows the table: without counting that, a host and a holder whose calls to the
// store end at the same moments would both follow it for good. Changes of another era of the store say nothing about rows that were lost
// or replaced when it was restored.
func (c *tableCopy) mergeFromHolder(now, currentAt time.Duration, changes *peer.Changes) (fresh []table.Row, current bool) {
	if changes == nil || table.EraOf(changes.GetRevision()) != table.EraOf(c.revision) {
		return nil, false
	}
	c.holderCurrentAt = max(c.holderCurrentAt, currentAt)
	if changes.GetRevision() < c.revision {
		return nil, false
	}
	c.confirm(time.Duration(changes.GetClock()))
	return c.merge(peer.RowsFromMessages(changes.GetRows()), changes.GetRevision()), c.validFor(now) > 0
}

// validFor returns how much longer the host may rely on holders for changes.
func (c *tableCopy) validFor(now time.Duration) time.Duration {
	return max(c.holderCurrentAt+c.validity-now, 0)
}

// copyFollower returns a follower that keeps a copy current while neither a holder nor a deputy does. It calls changed with
// the host's lock held.
func (h *Host) copyFollower(name string, c *tableCopy, wait time.Duration, batchDelay func() time.Duration, wake <-chan struct{}, changed func(rows []table.Row)) follower {
	return follower{
		name:       name,
		wait:       func() time.Duration { return wait },
		batchDelay: batchDelay,
		wake:       wake,
		pauseFor: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.actsAsDeputy() {
				return 0
			}
			return c.validFor(h.Now())
		},
		sourceRevision: func() int64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return c.revision
		},
		replace: func(rows []table.Row, revision int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.setSource(name, c, storeSource)
			changed(c.replace(rows, revision))
		},
		change: func(rows []table.Row, revision int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.setSource(name, c, storeSource)
			changed(c.merge(rows, revision))
		},
		onConfirmed: func(clock time.Duration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.setSource(name, c, storeSource)
			c.confirm(clock)
		},
	}
}

// setSource sets and logs the source of a copy if it has changed. A deputy keeps its own calls to the store as the source:
// it exchanges with the other deputies as well, several times a second. The caller holds the lock.
func (h *Host) setSource(name string, c *tableCopy, source string) {
	if c.source == source || source == deputySource && h.actsAsDeputy() {
		return
	}
	h.log.Info("entry: source of table changes switched", "table", name, "source", source, "before", c.source, "revision", table.VersionOf(c.revision), "age", h.age(c).String())
	c.source = source
}

// age returns the time since a copy was last confirmed to be current, by the store or a holder; -1 s if it never was.
// The caller holds the lock.
func (h *Host) age(c *tableCopy) time.Duration {
	at, known := h.store.LocalTime(c.currentClock)
	if !known {
		return -time.Second
	}
	return h.Now() - at
}
