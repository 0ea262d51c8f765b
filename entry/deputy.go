package entry

import (
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/peer"
)

// While the holder of a pool's lease does not respond, its deputies take its place as the source of table changes: the
// first hosts in the lease's succession, one of which acquires the lease. Only they follow the tables in the store; the
// others exchange with a deputy instead of the holder and learn the new holder from it. Otherwise each host would follow
// all tables itself, and hundreds of hosts would exceed the calls that the store allows.

const (
	// deputyCount is the number of deputies: the hosts of the first two stages of the succession.
	deputyCount  = 3
	deputyStages = 2
	// holderRetries is how many exchanges without a responding holder there are for each that goes to the holder.
	holderRetries      = 4
	maxFailedExchanges = 2
)

// successionOf returns the order in which hosts acquire a pool's lease. The caller holds the lock.
func (h *Host) successionOf(pool string) lease.Succession {
	order, known := h.fleet.successions[pool]
	if !known {
		order = lease.NewSuccession(pool, h.fleet.candidates())
		h.fleet.successions[pool] = order
	}
	return order
}

// candidates returns the hosts that may acquire a lease.
func (f *fleet) candidates() []lease.Candidate {
	list := make([]lease.Candidate, 0, len(f.members))
	for name, m := range f.members {
		list = append(list, lease.Candidate{Host: name, Power: m.Power})
	}
	return list
}

// stageOf returns this host's stage in the succession of a pool's lease. The caller holds the lock.
func (h *Host) stageOf(pool string) int { return h.successionOf(pool).Stage(h.settings.Name) }

// actsAsDeputy reports whether this host follows the tables for others because a lease holder does not respond. The caller
// holds the lock.
func (h *Host) actsAsDeputy() bool {
	for pool := range h.fleet.unresponsiveSince {
		if h.stageOf(pool) < deputyStages {
			return true
		}
	}
	return false
}

// believedHolder returns the id of the host that holds a pool's lease, as a deputy has named it or as the lease's row says;
// empty if there is none. The caller holds the lock.
func (h *Host) believedHolder(pool string) string {
	if named := h.fleet.namedHolders[pool]; named != "" {
		return named
	}
	if poolLease := h.fleet.leases[pool]; poolLease != nil {
		return poolLease.Holder()
	}
	return ""
}

// respondingHolder returns the id of a pool's lease holder if it responds; empty otherwise. The caller holds the lock.
func (h *Host) respondingHolder(pool string) string {
	if h.holdings[pool] != nil {
		return h.fleet.self.ID
	}
	holder := h.believedHolder(pool)
	if _, unresponsive := h.fleet.unresponsiveSince[pool]; unresponsive || holder == h.fleet.self.ID {
		return ""
	}
	return holder
}

// exchangeTarget returns the host with which to exchange load for a pool: the lease holder or, while it does not respond,
// the deputies by turns; false if there is none. The caller holds the lock.
func (h *Host) exchangeTarget(pool string) (peer.Target, bool) {
	holder, holderKnown := h.memberByID(h.believedHolder(pool))
	if _, unresponsive := h.fleet.unresponsiveSince[pool]; !unresponsive {
		return holder, holderKnown
	}
	turn := h.fleet.exchangeTurns[pool]
	h.fleet.exchangeTurns[pool]++
	if holderKnown && turn%holderRetries == 0 {
		return holder, true
	}
	var deputies []peer.Target
	for _, name := range h.successionOf(pool).First(deputyCount) {
		if m := h.fleet.members[name]; m.ID != h.fleet.self.ID && m.ID != holder.ID {
			deputies = append(deputies, peer.Target{ID: m.ID, Address: m.Address})
		}
	}
	if len(deputies) == 0 {
		return holder, holderKnown
	}
	return deputies[turn%len(deputies)], true
}

// memberByID returns the address of another host; false if the host is unknown or is this one. The caller holds the lock.
func (h *Host) memberByID(id string) (peer.Target, bool) {
	if id == "" || id == h.fleet.self.ID {
		return peer.Target{}, false
	}
	for _, m := range h.fleet.members {
		if m.ID == id {
			return peer.Target{ID: id, Address: m.Address}, true
		}
	}
	return peer.Target{}, false
}

// noteDeputyResponse records what a host that does not hold a pool's lease says of the holder. A holder that this host
// does not know yet gets the next exchange.
func (h *Host) noteDeputyResponse(pool, deputy, holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	believed := h.believedHolder(pool)
	if holder == "" || holder == h.fleet.self.ID || holder == believed {
		return
	}
	h.fleet.namedHolders[pool] = holder
	delete(h.fleet.unresponsiveSince, pool)
	h.log.Info("entry: a deputy named the lease holder", "pool", pool, "holder", holder, "before", believed, "deputy", deputy)
}

// countExchange marks the lease holder as unresponsive after maxFailedExchanges failed exchanges in a row, or at once when it
// says that it does not hold the lease. A single failure may be a connection that was closed just then. The caller holds
// the lock.
func (h *Host) countExchange(pool, holder string, response *peer.SummaryResponse, err error) {
	switch {
	case err == nil && !response.GetDeputy():
		delete(h.fleet.failedExchanges, holder)
		return
	case err != nil:
		h.fleet.failedExchanges[holder]++
		if h.fleet.failedExchanges[holder] < maxFailedExchanges {
			return
		}
	}
	delete(h.fleet.failedExchanges, holder)
	h.markUnresponsive(pool)
}

// markUnresponsive records that the holder of a pool's lease does not respond, and makes a deputy follow the tables at
// once. The caller holds the lock.
func (h *Host) markUnresponsive(pool string) {
	delete(h.fleet.namedHolders, pool)
	if _, unresponsive := h.fleet.unresponsiveSince[pool]; unresponsive {
		return
	}
	h.fleet.unresponsiveSince[pool] = sinceBoot()
	if h.stageOf(pool) >= deputyStages {
		return
	}
	h.log.Info("entry: following the tables as a deputy", "pool", pool, "holder", h.believedHolder(pool))
	h.wakeFollowers()
}

// leaseReadPause returns the minimum time between two reads of the leases: short for the hosts that acquire a free lease
// first, and longer with each further stage.
func leaseReadPause(stage int) time.Duration {
	return min(leaseReadInterval<<max(stage-deputyStages+1, 0), maxLeaseReadInterval)
}
