package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/catalog"
	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

const (
	// configWait is how long a call for configuration changes may wait at the store; the platform charges for every
	// call. Together with the 1 s after which an unanswered call is given up it stays below 3 s (contact_ms of the
	// platform), after which the bounds on changes apply again to a host that has regained the store.
	configWait = 1500 * time.Millisecond
	// holderConfigWaitFraction is the corresponding wait of a lease holder, which reports changes to the other hosts,
	// as a fraction of the time within which a change must be in force (setting "apply").
	holderConfigWaitFraction = 0.25
	// configValidityFraction is the fraction of that time for which hosts rely on a lease holder's report, from its
	// confirmation time. It is above the sum of holderConfigWaitFraction and maxLoadExchangeInterval.
	configValidityFraction = 0.6
	// retryPause is the pause after a failed call, doubled with each further failure up to maxRetryPause.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// follower describes how to follow one table of the store.
type follower struct {
	name string
	// replace is called with all rows of the table, change with changed rows.
	replace func(rows []table.Row, revision int64)
	change  func(rows []table.Row, revision int64)
	// wait returns how long a call for changes may wait at the store.
	wait func() time.Duration
	// batchDelay returns the pause after a change, so that further changes arrive in one call. It may be nil.
	batchDelay func() time.Duration
	// pauseFor returns how long to make no calls because a lease holder reports the changes, and sourceRevision the
	// revision up to which it has reported them. Both may be nil. Without sourceRevision the table is read whole after
	// a pause. A receive from wake ends a pause at once.
	pauseFor       func() time.Duration
	sourceRevision func() int64
	wake           <-chan struct{}
	// onConfirmed is called once the rows of a response are applied, with the store's clock in that response. It may be
	// nil.
	onConfirmed func(clock time.Duration)
	// onRead is called before onConfirmed, with the revision up to which the table has been read. It may be nil.
	onRead func(revision int64)
	// onLost and onRegained are called when the store stops responding and when it responds again. They may be nil.
	onLost, onRegained func()
}

// follow calls the functions of f for a table's rows and changes until the host stops.
func (h *Host) follow(f follower) error {
	ctx := h.tomb.Context(context.Background())
	revision, lost, pause := int64(0), false, retryPause
	whole, loaded := true, false
	directly, resumeAt := false, time.Duration(0) // in the pause after a failed call, until resumeAt, the store is called directly only
	for {
		if idle := f.pause(loaded); idle > 0 {
			woken := h.waitOrWake(idle, f.wake)
			select {
			case <-h.tomb.Dying():
				return nil
			default:
			}
			if f.sourceRevision != nil {
				revision = f.sourceRevision()
			} else {
				whole = true
			}
			if !woken {
				continue
			}
		}
		maxWait := f.wait()
		if lost {
			maxWait = 0 // a call that waits could hang on a connection that broke with the store
		}
		whole = whole || table.EraOf(revision) < h.store.Era()
		snapshot, err := h.fetchChanges(ctx, tableRead{table: f.name, whole: whole, after: revision, wait: maxWait}, directly, resumeAt)
		select {
		case <-h.tomb.Dying():
			return nil
		default:
		}
		if errors.Is(err, table.ErrCompacted) {
			h.log.Warn("entry: history of the table was compacted, reading the whole table", "table", f.name, "revision", table.VersionOf(revision))
			whole = true
			directly = false
			continue
		}
		if err != nil {
			if !lost {
				lost = true
				h.log.Warn("entry: store does not respond", "table", f.name, "revision", table.VersionOf(revision), "error", err)
				callIfSet(f.onLost)
			}
			if !directly {
				resumeAt = h.Now() + pause
				pause = min(2*pause, maxRetryPause)
			}
			directly = h.awaitRetry(resumeAt)
			continue
		}
		directly = false
		if lost {
			lost, pause = false, retryPause
			h.log.Info("entry: store responds again", "table", f.name, "era", table.EraOf(snapshot.Revision), "revision", table.VersionOf(snapshot.Revision))
			callIfSet(f.onRegained)
		}
		if snapshot.Revision < revision {
			h.log.Warn("entry: store responded with an older revision", "table", f.name, "revision", table.VersionOf(revision), "answered", table.VersionOf(snapshot.Revision))
			h.sleep(retryPause)
			continue
		}
		revision = snapshot.Revision
		changed := len(snapshot.Rows) > 0
		switch {
		case whole:
			f.replace(snapshot.Rows, snapshot.Revision)
		case changed:
			f.change(snapshot.Rows, snapshot.Revision)
		}
		if f.onRead != nil {
			f.onRead(snapshot.Revision)
		}
		if f.onConfirmed != nil {
			f.onConfirmed(snapshot.Clock)
		}
		if changed && !whole && f.batchDelay != nil {
			h.sleep(f.batchDelay())
		}
		whole, loaded = false, true
	}
}

// pause returns how long to make no calls; 0 until the table has been read.
func (f follower) pause(loaded bool) time.Duration {
	if !loaded || f.pauseFor == nil {
		return 0
	}
	return f.pauseFor()
}

// waitOrWake waits for the duration or until the host stops. It returns true at once on a receive from wake; a nil
// channel never wakes it.
func (h *Host) waitOrWake(d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-h.tomb.Dying():
	case <-timer.C:
	case <-wake:
		return true
	}
	return false
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// fetchChanges reads from the store directly until resumeAt, or in any way.
func (h *Host) fetchChanges(ctx context.Context, r tableRead, directly bool, resumeAt time.Duration) (table.Snapshot, error) {
	if directly {
		return h.store.ReadDirectly(ctx, r, max(resumeAt-h.Now(), relayHeadStart))
	}
	return h.store.Read(ctx, r)
}

// awaitRetry waits until resumeAt or until the host stops. It returns true earlier when a direct call to the store is
// due, so that the pause does not delay noticing that the store responds again.
func (h *Host) awaitRetry(resumeAt time.Duration) bool {
	contact, regained := h.store.contact()
	now := h.Now()
	at := now + retryPause
	if contact.unreachable {
		at = contact.nextProbe()
	}
	return h.waitOrWake(min(at, resumeAt)-now, regained) || at < resumeAt
}

// sleep waits for the duration or until the host stops.
func (h *Host) sleep(d time.Duration) { h.waitOrWake(d, nil) }

// followConfiguration follows the operator's configuration and the evacuations in the store while no lease holder confirms that
// they are current.
func (h *Host) followConfiguration() error {
	validity := fractionOf(h.settings.ApplyLimit, configValidityFraction)
	return h.follow(follower{
		name: platform.OperatorTable, wait: h.configurationWait, replace: h.replaceOperatorRows, change: h.applyOperatorRows, onConfirmed: h.store.ConfirmConfig,
		onRead: h.noteOperatorRead, sourceRevision: h.store.completeTo, wake: h.configChanged,
		pauseFor: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.actsAsDeputy() {
				return 0
			}
			return h.store.HolderValidFor(validity)
		},
	})
}

// configurationWait returns how long a call for configuration changes may wait at the store.
func (h *Host) configurationWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) > 0 || h.actsAsDeputy() {
		return max(fractionOf(h.settings.ApplyLimit, holderConfigWaitFraction), minStoreWait)
	}
	return configWait
}

// noteConfiguration records a lease holder's or deputy's report about the operator table and wakes followConfiguration if a
// change is missing here. The source is the holder's id or deputySource.
func (h *Host) noteConfiguration(source string, current *peer.Changes) {
	if current == nil || !h.store.ConfirmFromHolder(current.GetRevision(), time.Duration(current.GetClock())) {
		return
	}
	h.mu.Lock()
	h.operatorSource = source
	h.mu.Unlock()
	select {
	case h.configChanged <- struct{}{}:
	default:
	}
}

// applyConfiguration puts the newest configuration among the rows in force.
func (h *Host) applyConfiguration(rows []table.Row, _ int64) {
	for _, row := range rows {
		c, found, err := platform.DecodeConfiguration(row)
		if !found {
			continue
		}
		if err != nil {
			h.log.Error("entry: unable to apply a configuration", "revision", table.VersionOf(row.Revision), "error", err)
		} else {
			h.adoptBeforeStart(c.Version(), row.Revision)
			h.activateConfiguration(c, row)
		}
		h.store.SetConfigRevision(row.Revision)
	}
}

// activateConfiguration puts a configuration in force unless the same or a newer version is.
func (h *Host) activateConfiguration(c *catalog.Catalog, row table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.catalog.Load()
	switch {
	case known == nil || c.Version() > known.Version():
		h.catalog.Store(c)
		h.configuration = row
		h.apply(dispatch.ConfigurationChanged{Catalog: c})
		h.log.Info("entry: configuration in force", "version", c.Version(), "revision", table.VersionOf(row.Revision))
	case c.Version() < known.Version():
		h.log.Warn("entry: configuration is older than the one in force", "version", c.Version(), "revision", table.VersionOf(row.Revision), "kept", known.Version())
	}
}

// publishEndpoints passes the list of endpoints to the state machine. The caller holds the lock.
func (h *Host) publishEndpoints() {
	h.apply(dispatch.EndpointsChanged{Endpoints: h.directory.Endpoints()})
}
