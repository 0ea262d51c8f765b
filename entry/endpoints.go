package entry

import (
	"context"
	"strings"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// An endpoint that has announced that it leaves must get no request after the time of setting "drain". These are
// fractions of that time within which a host learns of it; the rest is for the call to the store and for requests being
// sent.
const (
	// endpointWaitFraction is for a call for changes that waits at the store until there are some.
	endpointWaitFraction = 0.25
	// endpointBatchFraction is for the pause after a change, so that further changes arrive in one call;
	// holderBatchFraction is the same for a lease holder or deputy, which reports changes to the other hosts.
	endpointBatchFraction = 0.25
	holderBatchFraction   = 0.1
	// endpointValidityFraction is how long hosts rely on a lease holder's report, from its confirmation time. It is
	// above endpointWaitFraction, holderBatchFraction and maxLoadExchangeInterval together.
	endpointValidityFraction = 0.6
)

// minStoreWait is the minimum wait of a call for changes at the store, for very short settings.
const minStoreWait = 50 * time.Millisecond

// stallThreshold is the delay of periodic work from which the process is reported as suspended or starved of CPU time.
const stallThreshold = 500 * time.Millisecond

// registry is the host's copy of the endpoint table. The lock of Host guards it.
type registry struct {
	tableCopy
	followedSince time.Duration // time at which the table was first read
}

// followEndpoints follows the registrations of endpoints in the store while no lease holder reports their changes.
func (h *Host) followEndpoints() error {
	wait := max(fractionOf(h.settings.DrainLimit, endpointWaitFraction), minStoreWait)
	f := h.copyFollower(platform.EndpointTable, &h.registry.tableCopy, wait, h.registryBatchDelay, h.endpointsWake, h.applyEndpointRows)
	f.onLost = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.directory.SetUnreachable()
	}
	f.onRegained = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.directory.SetReachable(h.Now())
	}
	return h.follow(f)
}

func (h *Host) registryBatchDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) > 0 || h.actsAsDeputy() {
		return fractionOf(h.settings.DrainLimit, holderBatchFraction)
	}
	return fractionOf(h.settings.DrainLimit, endpointBatchFraction)
}

// fractionOf returns a fraction of the time of a setting.
func fractionOf(setting document.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(setting.Std()))
}

// applyEndpointRows applies changed rows of the endpoint table. The caller holds the lock.
func (h *Host) applyEndpointRows(rows []table.Row) {
	first := h.registry.followedSince == 0
	if first {
		h.registry.followedSince = h.Now()
	}
	if len(rows) > 0 || first {
		changes := h.decodeRegistrations(rows)
		for _, c := range changes {
			h.logEndpoint(c)
		}
		h.directory.Apply(h.Now(), changes)
		h.publishEndpoints()
	}
}

// logEndpoint logs an endpoint that is new, leaving, gone or cold again. The caller holds the lock.
func (h *Host) logEndpoint(c directory.Change) {
	known, registered := h.directory.Endpoint(c.ID)
	state := "serves"
	switch {
	case c.Removed && !registered, registered && !c.Removed && known.SameProcess(c.Endpoint) && known.Leaving == c.Endpoint.Leaving && (known.ColdFor > 0 || c.Endpoint.ColdFor == 0):
		return
	case c.Removed:
		state = "gone"
	case c.Endpoint.Leaving:
		state = "leaves"
	case c.Endpoint.ColdFor > 0:
		state = "cold"
	}
	h.log.Info("entry: endpoint registration changed", "endpoint", c.ID, "state", state, "pool", c.Endpoint.Pool, "address", c.Endpoint.Address, "revision", table.VersionOf(c.Revision),
		"cold", c.Endpoint.ColdFor.String(), "table", table.VersionOf(h.registry.revision), "source", h.registry.source, "age", h.age(&h.registry.tableCopy).String())
}

// decodeRegistrations decodes rows of the endpoint table. A malformed row is logged and names no endpoint: one that was registered
// in it before is removed.
func (h *Host) decodeRegistrations(rows []table.Row) []directory.Change {
	changes := make([]directory.Change, 0, len(rows))
	for _, row := range rows {
		c, err := platform.DecodeRegistration(row)
		if err != nil {
			h.log.Warn("entry: unable to decode a registration", "row", row.Key, "revision", table.VersionOf(row.Revision), "error", err)
			c = directory.Change{ID: strings.TrimPrefix(row.Key, platform.EndpointTable+"/"), Revision: row.Revision, Removed: true}
		}
		changes = append(changes, c)
	}
	return changes
}

// sweep drops lapsed registrations, advances the state machine's time and closes idle connections.
func (h *Host) sweep(context.Context) {
	h.mu.Lock()
	now := h.Now()
	if late := now - h.lastSweep - sweepInterval; h.lastSweep > 0 && late > stallThreshold {
		h.log.Warn("entry: periodic work was delayed: the process was suspended or starved of CPU time", "for", late.String())
	}
	h.lastSweep = now
	if h.directory.RemoveLapsed(now) {
		h.publishEndpoints()
	}
	h.keepEvidence()
	h.apply(dispatch.Tick{}) // repays expired loans
	h.mu.Unlock()
	h.connections.CloseExpired()
}
