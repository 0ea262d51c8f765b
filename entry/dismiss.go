package entry

import (
	"context"
	"time"

	"magnoliahoist/table"
)

const (
	// dismissAfter is how long a host must not have been heard before its row is removed and its parts of allowances go
	// to others. It is above the longest time for which a host that is cut off goes on serving with keys (trust, 10 s),
	// so that a part is not used twice.
	dismissAfter = 13 * time.Second
	// heardLife is how recently a host must have been heard to count as present.
	heardLife = 2 * time.Second
	// dismissPeriod is how often the holder of a lease looks for hosts that are gone.
	dismissPeriod = time.Second
)

// seen notes that a host was heard. The caller holds the lock.
func (h *Host) seen(id string) { h.fleet.heard[id] = h.Now() }

// dismiss removes the rows of hosts that are gone for good. Only the holder of a lease hears from all hosts, and only
// one that hears a majority may conclude that the others are gone.
func (h *Host) dismiss(ctx context.Context) {
	for _, txn := range h.gone() {
		result, err := h.store.Commit(ctx, txn)
		h.log.Warn("entry: removed a member that was not heard", "key", txn.Writes[0].Key, "committed", result.Committed, "error", err)
	}
}

// gone returns the writes that remove hosts that were not heard for long.
func (h *Host) gone() []table.Txn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) == 0 {
		return nil
	}
	now := h.Now()
	present := 0
	var txns []table.Txn
	for name, m := range h.fleet.members {
		last, known := h.fleet.heard[m.ID]
		switch {
		case m.ID == h.fleet.self.ID || known && now-last < heardLife:
			present++
		case !known:
			h.fleet.heard[m.ID] = now // counts from when this host began to look
		case now-last > dismissAfter:
			key := memberPrefix + name
			txns = append(txns, table.Txn{
				Compares: []table.Compare{{Key: key, Revision: h.fleet.revisions[name]}},
				Writes:   []table.Write{{Key: key, Delete: true}},
			})
		}
	}
	if 2*present <= len(h.fleet.members) {
		return nil
	}
	return txns
}
