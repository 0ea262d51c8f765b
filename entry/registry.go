package entry

import (
	"context"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

const (
	// endpointRest is how long changes of registrations gather; a leaving endpoint must get no work after two seconds.
	endpointRest = 500 * time.Millisecond
	// holderRest is the same for the holder of a lease, which tells the other hosts.
	holderRest = 200 * time.Millisecond
)

// registry is the host's copy of the endpoints' table. The host's lock guards it.
type registry struct {
	tableCopy
	known time.Duration // when the first registration was learned
}

// followEndpoints follows the registrations of endpoints while no holder tells them.
func (h *Host) followEndpoints() error {
	f := h.copied(platform.EndpointTable, &h.registry.tableCopy, h.registryRest, h.learnEndpoints)
	forget := f.lost
	f.lost = func() {
		forget()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.directory.Lose()
	}
	f.regained = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.directory.Regain(h.Now())
	}
	return h.follow(f)
}

func (h *Host) registryRest() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) > 0 {
		return holderRest
	}
	return endpointRest
}

// learnEndpoints takes rows that are new. The caller holds the lock.
func (h *Host) learnEndpoints(rows []table.Row) {
	if h.registry.known == 0 {
		h.registry.known = h.Now()
	}
	if len(rows) > 0 {
		h.directory.Apply(h.Now(), h.registrations(rows))
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
