package entry

import (
	"context"

	"github.com/juju/errors"

	"magnoliahoist/table"
)

// noteEra records the era of a revision in a response of the store, and returns the newest known one. The era rises when the store comes
// back from a backup.
func (a *storeAccess) noteEra(revision int64) int64 {
	era := table.EraOf(revision)
	a.mu.Lock()
	known := a.era
	if era > known {
		a.era = era
		a.clock, a.configClock, a.holderCurrentAt = storeClock{}, 0, 0
		if a.restored != nil {
			close(a.restored)
			a.restored = nil
		}
	}
	a.mu.Unlock()
	if known > 0 && era > known {
		a.onRestored(known, era)
	}
	return max(known, era)
}

// Era returns the newest known era of the store; 0 if the store has not reported one.
func (a *storeAccess) Era() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// eraEnd returns a channel that is closed when the era rises.
func (a *storeAccess) eraEnd() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.restored == nil {
		a.restored = make(chan struct{})
	}
	return a.restored
}

// checkSnapshot records the era of a snapshot, and returns table.ErrUnavailable for one that the store sent before it was restored.
func (a *storeAccess) checkSnapshot(snapshot table.Snapshot, err error) (table.Snapshot, error) {
	if err != nil {
		return snapshot, err
	}
	if era := a.noteEra(snapshot.Revision); table.EraOf(snapshot.Revision) < era {
		return table.Snapshot{}, errors.Annotatef(table.ErrUnavailable, "entry: store responded in era %d, which ended before era %d", table.EraOf(snapshot.Revision), era)
	}
	return snapshot, nil
}

// isOutdated reports whether a condition of a transaction names a revision from before the store was restored. Its version may
// since have been given to another write.
func (a *storeAccess) isOutdated(txn table.Txn) bool {
	era := a.Era()
	for _, c := range txn.Compares {
		if c.Revision > 0 && table.EraOf(c.Revision) < era {
			return true
		}
	}
	return false
}

// noteRestored makes the host read all tables again after the store has come back from a backup. Copies of a table count as
// outdated until then, because their age is known on the store's clock before the restoration only.
func (h *Host) noteRestored(before, era int64) {
	h.log.Warn("entry: store was restored from a backup", "era", era, "before", before)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.SetRestored(h.Now())
	for _, c := range []*tableCopy{&h.registry.tableCopy, &h.fleet.rows} {
		c.forgetConfirmations()
	}
	h.origins.journal.Restore(h.Now())
	h.origins.restoredAt = h.Now()
	select {
	case h.recordsWake <- struct{}{}:
	default:
	}
	for _, poolLease := range h.fleet.leases {
		if poolLease.MayAct(sinceBoot()) {
			poolLease.ForgetRow()
		}
	}
	h.wakeFollowers()
	if c := h.catalog.Load(); c != nil {
		h.spawn(func(ctx context.Context) { h.adoptNewerConfiguration(ctx, c.Version()) })
	}
}

// wakeFollowers makes the host follow the tables itself at once. The caller holds the lock.
func (h *Host) wakeFollowers() {
	for _, wake := range []chan struct{}{h.configChanged, h.endpointsWake, h.membersWake} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
