package host

import (
	"sync"
	"time"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// leasePeriod is the time between two looks at the leases that the host holds.
const leasePeriod = 200 * time.Millisecond

// managers are the managers of the pools whose leases the host holds.
type managers struct {
	mu     sync.Mutex
	byPool map[string]*manager
}

func isModelPool(entry pool.Pool) bool { return entry.Kind == route.Model }

// of returns the manager of a pool, or nil.
func (m *managers) of(pool string) *manager {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byPool[pool]
}

// watchLeases starts and stops managers as leases come and go.
func (h *Host) watchLeases() error {
	return h.every(leasePeriod, h.followLeases)
}

func (h *Host) followLeases() {
	h.managers.mu.Lock()
	defer h.managers.mu.Unlock()
	view := h.View()
	for name, m := range h.managers.byPool {
		entry, known := view.PoolByName(name)
		row, found := view.LeaseOf(name)
		if known && isModelPool(entry) && found && row.Holder == h.id && row.Number == m.number {
			if !m.usable() {
				m.pause()
			}
			continue
		}
		m.stop()
		delete(h.managers.byPool, name)
		h.log.Info("host: lease lost", "pool", name, "number", m.number)
	}
	for _, entry := range view.Pools() {
		if !isModelPool(entry) || h.managers.byPool[entry.Name] != nil {
			continue
		}
		if number, held := h.lease(entry.Name); held {
			m := h.newManager(entry.Name, number)
			h.managers.byPool[entry.Name] = m
			m.start()
		}
	}
}

// lease returns the number of a pool's lease when the host may use it now.
func (h *Host) lease(pool string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Lease(h.Now(), pool)
}
