package host

import (
	"sync"
	"time"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// leaseCheckInterval is how often the host starts and stops pool managers according to its leases.
const leaseCheckInterval = 200 * time.Millisecond

// poolManagers holds the managers of the pools whose leases the host holds.
type poolManagers struct {
	mu     sync.Mutex
	byPool map[string]*poolManager
}

// isModelPool reports whether a pool serves models; only such pools have a manager.
func isModelPool(entry pool.Pool) bool { return entry.Kind == route.Model }

// forPool returns the manager of a pool, or nil.
func (m *poolManagers) forPool(pool string) *poolManager {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byPool[pool]
}

// watchLeases calls updateManagers periodically until the host stops.
func (h *Host) watchLeases() error {
	return h.runEvery(leaseCheckInterval, h.updateManagers)
}

// updateManagers stops the managers of pools whose lease the host has lost and starts managers for leases that it may use
// now. While a lease that it still holds may not be used, it aborts the manager's requests.
func (h *Host) updateManagers() {
	h.poolManagers.mu.Lock()
	defer h.poolManagers.mu.Unlock()
	view := h.View()
	for name, m := range h.poolManagers.byPool {
		entry, known := view.PoolByName(name)
		row, found := view.LeaseOf(name)
		if known && isModelPool(entry) && found && row.Holder == h.id && row.FencingNumber == m.fencingNumber {
			if !m.mayUseLease() {
				m.abortSends()
			}
			continue
		}
		m.stop()
		delete(h.poolManagers.byPool, name)
		h.log.Info("host: lease lost", "pool", name, "number", m.fencingNumber)
	}
	for _, entry := range view.Pools() {
		if !isModelPool(entry) || h.poolManagers.byPool[entry.Name] != nil {
			continue
		}
		if fencingNumber, held := h.usableLease(entry.Name); held {
			m := h.newPoolManager(entry.Name, fencingNumber)
			h.poolManagers.byPool[entry.Name] = m
			m.start()
		}
	}
}

// usableLease returns the fencing number of a pool's lease, and false if the host may not use the lease now.
func (h *Host) usableLease(pool string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.LeaseFencingNumber(h.Now(), pool)
}
