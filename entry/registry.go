package entry

import (
	"context"
	"slices"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

const (
	// endpointRest is how long changes of registrations gather; a leaving endpoint must get no work after two seconds.
	endpointRest = 500 * time.Millisecond
	// holderRest is the same for the holder of a lease, which tells the other hosts.
	holderRest = 200 * time.Millisecond
	// fedLife is how long a host relies on the holder for registrations before it follows them itself.
	fedLife = time.Second
)

// registry is the host's copy of the endpoints' table. One host follows the table and tells the others with the load
// that they exchange, because every call to the store is paid for. The host's lock guards it.
type registry struct {
	rows     map[string]table.Row // removed ones stay, marked
	revision int64
	known    time.Duration // when the first registration was learned
	current  bool          // followed without a gap
	fed      time.Duration // last answer of a holder that follows the table
}

func newRegistry() registry { return registry{rows: map[string]table.Row{}, fed: -fedLife} }

// followEndpoints follows the registrations of endpoints while no holder tells them.
func (h *Host) followEndpoints() error {
	return h.follow(follower{
		name:     platform.EndpointTable,
		wait:     feedWait,
		rest:     h.registryRest,
		paused:   h.isFed,
		revision: h.registryRevision,
		replace:  h.replaceRegistrations,
		change:   h.changeRegistrations,
		lost: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.registry.current = false
			h.directory.Lose()
		},
		regained: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.directory.Regain(h.Now())
		},
	})
}

// isFed reports whether a holder tells this host of registrations.
func (h *Host) isFed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Now()-h.registry.fed < fedLife
}

func (h *Host) registryRevision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.revision
}

func (h *Host) registryRest() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) > 0 {
		return holderRest
	}
	return endpointRest
}

// replaceRegistrations takes the whole table; what it lacks has been removed.
func (h *Host) replaceRegistrations(rows []table.Row, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, row := range h.registry.rows {
		if !present[key] && !row.Deleted {
			rows = append(rows, table.Row{Key: key, Revision: revision, Deleted: true})
		}
	}
	h.applyRegistrations(rows, revision)
	h.registry.current = true
}

// changeRegistrations takes changes that follow the host's revision.
func (h *Host) changeRegistrations(rows []table.Row, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyRegistrations(rows, revision)
	h.registry.current = true
}

// applyRegistrations takes rows up to a revision, but for those that are older than what is known: the table and the
// holder may tell of the same changes. The caller holds the lock.
func (h *Host) applyRegistrations(rows []table.Row, revision int64) {
	var fresh []table.Row
	for _, row := range rows {
		if row.Revision > h.registry.rows[row.Key].Revision {
			h.registry.rows[row.Key] = row
			fresh = append(fresh, row)
		}
	}
	h.registry.revision = max(h.registry.revision, revision)
	if h.registry.known == 0 {
		h.registry.known = h.Now()
	}
	if len(fresh) > 0 {
		h.directory.Apply(h.Now(), h.registrations(fresh))
		h.tellEndpoints()
	}
}

// registrations decodes rows. A row that can't be read names no endpoint to use.
func (h *Host) registrations(rows []table.Row) []directory.Change {
	changes := make([]directory.Change, 0, len(rows))
	for _, row := range rows {
		c, err := platform.DecodeRegistration(row)
		if err != nil {
			h.log.Warn("entry: unable to use a registration", "row", row.Key, "revision", row.Revision, "error", err)
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// addRegistrations adds to an answer the registrations that were changed after a host's revision.
func (h *Host) addRegistrations(answer *peer.SummaryResponse, after int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.registry.current || after == 0 {
		return // a host without any reads the table itself
	}
	answer.Current, answer.Revision = true, h.registry.revision
	var rows []table.Row
	for _, row := range h.registry.rows {
		if row.Revision > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return int(a.Revision - b.Revision) })
	answer.Rows = peer.RowsOf(rows)
}

// takeRegistrations takes the registrations that the holder tells after a revision.
func (h *Host) takeRegistrations(after int64, answer *peer.SummaryResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answer.GetCurrent() || answer.GetRevision() < h.registry.revision {
		return
	}
	h.registry.fed = h.Now()
	h.directory.Regain(h.Now())
	if after == h.registry.revision {
		h.applyRegistrations(peer.TableRows(answer.GetRows()), answer.GetRevision())
	}
}

// tidy gives up registrations that lapsed and closes idle connections whose time is over.
func (h *Host) tidy(context.Context) {
	h.mu.Lock()
	if h.directory.Sweep(h.Now()) {
		h.tellEndpoints()
	}
	h.apply(dispatch.Tick{}) // returns loans that have ended
	h.mu.Unlock()
	h.connections.Sweep()
}
