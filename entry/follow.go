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
	// operatorWait is how long a call for changes of the configuration may wait at the store; every call is paid for. With
	// the second after which an unanswered call is given up it is below the 3 s (contact_ms of the platform) after which
	// the bounds on changes hold again for a host that was without the store for a moment.
	operatorWait = 1500 * time.Millisecond
	// operatorPart is the same for the holder of a lease, which tells the other hosts whether there is a change, as a part
	// of the time within which a change must be in force.
	operatorPart = 0.25
	// operatorLife is the part of that time for which hosts rely on what a holder has told, from its date. It is above
	// operatorPart and the time between two exchanges.
	operatorLife = 0.6
	// feedPause is the wait after a call that failed, doubled up to feedPauseLimit.
	feedPause      = 100 * time.Millisecond
	feedPauseLimit = 800 * time.Millisecond
)

// follower keeps a copy of one table of the store.
type follower struct {
	name string
	// replace takes all rows, change those that were changed.
	replace func(rows []table.Row, revision int64)
	change  func(rows []table.Row, revision int64)
	// wait returns how long a call for changes may wait at the store.
	wait func() time.Duration
	// rest returns the wait after a change, in which others gather; it may be nil.
	rest func() time.Duration
	// paused returns for how long another source suffices, and revision up to where it has told; they may be nil. Without
	// revision, the table is read whole after a pause. A pause ends at once when wake says so.
	paused   func() time.Duration
	revision func() int64
	wake     <-chan struct{}
	// confirmed tells that what an answer showed is in force, with the store's clock at the answer; it may be nil.
	confirmed func(clock time.Duration)
	// lost and regained tell of the store's absence; they may be nil.
	lost, regained func()
}

// follow keeps a table's copy current until the host stops.
func (h *Host) follow(f follower) error {
	ctx := h.tomb.Context(context.Background())
	revision, away, pause := int64(0), false, feedPause
	whole, read := true, false
	for {
		if rest := f.rests(read); rest > 0 {
			woken := h.rest(rest, f.wake)
			select {
			case <-h.tomb.Dying():
				return nil
			default:
			}
			if f.revision != nil {
				revision = f.revision()
			} else {
				whole = true
			}
			if !woken {
				continue
			}
		}
		wait := f.wait()
		if away {
			wait = 0 // a call that waits would hang on a connection that died with the store
		}
		snapshot, err := h.changes(ctx, f, revision, whole, wait)
		select {
		case <-h.tomb.Dying():
			return nil
		default:
		}
		if errors.Is(err, table.ErrCompacted) {
			h.log.Warn("entry: history of the table is gone, reading it whole", "table", f.name, "revision", revision)
			whole = true
			continue
		}
		if err != nil {
			if !away {
				away = true
				h.log.Warn("entry: lost the store", "table", f.name, "revision", revision, "error", err)
				call(f.lost)
			}
			h.sleep(pause)
			pause = min(2*pause, feedPauseLimit)
			continue
		}
		if away {
			away, pause = false, feedPause
			h.log.Info("entry: regained the store", "table", f.name, "revision", snapshot.Revision)
			call(f.regained)
		}
		if snapshot.Revision < revision {
			h.log.Warn("entry: the store answered with an older state", "table", f.name, "revision", revision, "answered", snapshot.Revision)
			h.sleep(feedPause)
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
		if f.confirmed != nil {
			f.confirmed(snapshot.Clock)
		}
		if changed && !whole && f.rest != nil {
			h.sleep(f.rest())
		}
		whole, read = false, true
	}
}

// rests returns for how long a follower whose table has been read makes no calls.
func (f follower) rests(read bool) time.Duration {
	if !read || f.paused == nil {
		return 0
	}
	return f.paused()
}

// rest waits and reports whether it was woken before; a nil channel never wakes it.
func (h *Host) rest(d time.Duration, wake <-chan struct{}) bool {
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

func call(f func()) {
	if f != nil {
		f()
	}
}

func (h *Host) changes(ctx context.Context, f follower, revision int64, whole bool, wait time.Duration) (table.Snapshot, error) {
	if whole {
		return h.store.ReadAll(ctx, f.name)
	}
	return h.store.Follow(ctx, f.name, revision, wait)
}

// sleep waits, but not beyond the host's end.
func (h *Host) sleep(d time.Duration) { h.rest(d, nil) }

// followOperator follows the operator's configuration while no holder tells that it is current.
func (h *Host) followOperator() error {
	life := partOf(h.settings.Apply, operatorLife)
	return h.follow(follower{
		name: platform.OperatorTable, wait: h.configurationWait, replace: h.configure, change: h.configure, confirmed: h.store.Confirm,
		paused: func() time.Duration { return h.store.Relies(life) }, wake: h.changed,
	})
}

// configurationWait returns how long a call for changes of the configuration may wait.
func (h *Host) configurationWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) > 0 {
		return max(partOf(h.settings.Apply, operatorPart), leastWait)
	}
	return operatorWait
}

// takeConfiguration takes what the holder tells of the configuration and has a newer one read at once.
func (h *Host) takeConfiguration(told *peer.Changes) {
	if told == nil || !h.store.Told(told.GetRevision(), time.Duration(told.GetClock())) {
		return
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// configure puts the newest configuration among the rows in force.
func (h *Host) configure(rows []table.Row, _ int64) {
	for _, row := range rows {
		c, is, err := platform.DecodeConfiguration(row)
		if !is {
			continue
		}
		if err != nil {
			h.log.Error("entry: unable to use a configuration", "revision", row.Revision, "error", err)
		} else {
			h.enforce(c, row.Revision)
		}
		h.store.Configured(row.Revision)
	}
}

// enforce puts a configuration in force unless a newer one is.
func (h *Host) enforce(c *catalog.Catalog, revision int64) {
	known := h.catalog.Load()
	if known != nil && c.Version() <= known.Version() {
		return
	}
	h.mu.Lock()
	h.catalog.Store(c)
	h.apply(dispatch.Configured{Catalog: c})
	h.mu.Unlock()
	h.log.Info("entry: configuration in force", "version", c.Version(), "revision", revision)
}

// tellEndpoints tells the reducer of the endpoints. The caller holds the lock.
func (h *Host) tellEndpoints() {
	h.apply(dispatch.Registered{Endpoints: h.directory.Endpoints()})
}
