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

// memberRows is what a lease holder decides from: the members at one time.
type memberRows struct {
	members, silent int
	sameView        bool // every silent host knew the present list of members when it was last heard from
}

// mayRemove reports whether the rows of silent hosts may be removed. Silent hosts may be alive, without contact with the
// store, and a majority of all members in that state goes on serving requests with keys (confirmByMajority). So they must
// not be a majority. At exactly half, a host that knows fewer members could still count one.
func (r memberRows) mayRemove() bool {
	present := r.members - r.silent
	return present > r.silent || present == r.silent && r.sameView
}

// markHeard records that a host was heard from now. The caller holds the lock.
func (h *Host) markHeard(id string) { h.fleet.lastHeard[id] = h.Now() }

// markView records the revision of the fleet table that another host knows, from a message of that host. The caller holds
// the lock.
func (h *Host) markView(id string, revision int64) {
	h.fleet.views[id] = max(h.fleet.views[id], revision)
}

// knowsMembers reports whether a host is known to have seen the present list of members: when it wrote its own row, or
// by what it said later. The caller holds the lock.
func (h *Host) knowsMembers(name string, m member) bool {
	return max(h.fleet.views[m.ID], h.fleet.revisions[name]) >= h.fleet.membersRevision
}

// removeSilentMembers removes the rows of hosts that have been silent for memberTimeout. Only a lease holder hears from
// all hosts. A removal that fails ends the pass: each may take writeLimit while the store does not respond, and the next
// pass decides anew who is silent.
func (h *Host) removeSilentMembers(ctx context.Context) {
	for _, txn := range h.removalTxns() {
		result, err := h.store.Commit(ctx, txn)
		h.log.Warn("entry: removal of a silent member", "key", txn.Writes[0].Key, "committed", result.Committed, "error", err)
		if err != nil {
			return
		}
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
	rows := memberRows{members: len(h.fleet.members), sameView: true}
	var txns []table.Txn
	for name, m := range h.fleet.members {
		lastHeard, known := h.fleet.lastHeard[m.ID]
		if m.ID == h.fleet.self.ID || known && now-lastHeard < presenceWindow {
			continue
		}
		rows.silent++
		rows.sameView = rows.sameView && h.knowsMembers(name, m)
		switch {
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
	if !rows.mayRemove() {
		return nil
	}
	return txns
}
