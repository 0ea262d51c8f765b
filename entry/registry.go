package entry

import (
	"context"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// An endpoint that has said that it leaves must get no request after the time that the settings name. These are the
// parts of that time in which a host learns of it; what is left of it is for the call to the store and for sending.
const (
	// endpointWait is for a call for changes, which shows that there were none.
	endpointWait = 0.25
	// endpointRest is for changes to gather, and holderRest the same for the holder of a lease, which tells the others.
	endpointRest = 0.25
	holderRest   = 0.1
	// endpointLife is for hosts to rely on what a holder has told, from the date of its copy. It is above endpointWait,
	// holderRest and the time between two exchanges.
	endpointLife = 0.6
)

// leastWait bounds the calls to the store where endpoints must get no request very soon.
const leastWait = 50 * time.Millisecond

// heldUp is the delay of periodic work from which on a host is taken to have been suspended or starved.
const heldUp = 500 * time.Millisecond

// registry is the host's copy of the endpoints' table. The host's lock guards it.
type registry struct {
	tableCopy
	known time.Duration // when the first registration was learned
}

// followEndpoints follows the registrations of endpoints while no holder tells them.
func (h *Host) followEndpoints() error {
	wait := max(partOf(h.settings.Drain, endpointWait), leastWait)
	f := h.copied(platform.EndpointTable, &h.registry.tableCopy, wait, h.registryRest, h.learnEndpoints)
	f.lost = func() {
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
		return partOf(h.settings.Drain, holderRest)
	}
	return partOf(h.settings.Drain, endpointRest)
}

// partOf returns a part of a time that the settings name.
func partOf(bound document.Duration, part float64) time.Duration {
	return time.Duration(part * float64(bound.Std()))
}

// learnEndpoints takes rows that are new. The caller holds the lock.
func (h *Host) learnEndpoints(rows []table.Row) {
	if h.registry.known == 0 {
		h.registry.known = h.Now()
	}
	if len(rows) > 0 {
		changes := h.registrations(rows)
		for _, c := range changes {
			h.noteEndpoint(c)
		}
		h.directory.Apply(h.Now(), changes)
		h.tellEndpoints()
	}
}

// noteEndpoint logs an endpoint that is new, leaves or has gone. The caller holds the lock.
func (h *Host) noteEndpoint(c directory.Change) {
	known, is := h.directory.Endpoint(c.ID)
	state := "serves"
	switch {
	case c.Removed && !is, is && !c.Removed && known.Same(c.Endpoint) && known.Leaving == c.Endpoint.Leaving:
		return
	case c.Removed:
		state = "gone"
	case c.Endpoint.Leaving:
		state = "leaves"
	}
	h.log.Info("entry: endpoint", "endpoint", c.ID, "state", state, "pool", c.Endpoint.Pool, "address", c.Endpoint.Address, "revision", c.Revision,
		"table", h.registry.revision, "source", h.registry.source, "age", h.age(&h.registry.tableCopy).String())
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
	now := h.Now()
	if late := now - h.tidied - sweepPeriod; h.tidied > 0 && late > heldUp {
		h.log.Warn("entry: the process was held up", "for", late.String())
	}
	h.tidied = now
	if h.directory.Sweep(now) {
		h.tellEndpoints()
	}
	h.apply(dispatch.Tick{}) // returns loans that have ended
	h.mu.Unlock()
	h.connections.Sweep()
}
