package entry

import (
	"context"
	"time"

	"magnoliahoist/table"
)

const (
	// memberTimeout is how long a host must be silent before its row is removed and its parts of the accounts' rates go
	// to the other hosts. It is above the longest time for which a host without contact accepts keys (setting "trust",
	// 10 s), so that no part is used twice.
	memberTimeout = 13 * time.Second
	// presenceWindow is how recently a host must have been heard from to count as present.
	presenceWindow = 2 * time.Second
	// removalInterval is how often a lease holder checks for silent hosts.
	removalInterval = time.Second
)

// markHeard records that a host was heard from now. The caller holds the lock.
func (h *Host) markHeard(id string) { h.fleet.lastHeard[id] = h.Now() }

// removeSilentMembers removes the rows of hosts that have been silent for memberTimeout. Only a lease holder hears from
// all hosts, and only if it hears from a majority may it conclude that the silent hosts are gone.
func (h *Host) removeSilentMembers(ctx context.Context) {
	for _, txn := range h.removalTxns() {
		result, err := h.store.Commit(ctx, txn)
		h.log.Warn("entry: removal of a silent member", "key", txn.Writes[0].Key, "committed", result.Committed, "error", err)
	}
}

// removalTxns returns the transactions that remove the rows of silent hosts.
func (h *Host) removalTxns() []table.Txn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.holdings) == 0 {
		return nil
	}
	now := h.Now()
	present := 0
	var txns []table.Txn
	for name, m := range h.fleet.members {
		lastHeard, known := h.fleet.lastHeard[m.ID]
		switch {
		case m.ID == h.fleet.self.ID || known && now-lastHeard < presenceWindow:
			present++
		case !known:
			h.fleet.lastHeard[m.ID] = now // the timeout starts when this host begins to listen
		case now-lastHeard > memberTimeout:
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
