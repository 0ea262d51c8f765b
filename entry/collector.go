package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/lease"
	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// One part of the store accepts a few hundred transactions a second. In a large fleet, hosts therefore send the transactions of their
// journals to a few hosts, the collectors, each of which merges those that arrive at the same time into one.

const (
	// maxDirectRecorders is the number of hosts up to which each writes its journal itself.
	maxDirectRecorders = 8
	// hostsPerCollector is the number of hosts for each collector, between minCollectors and maxCollectors.
	hostsPerCollector = 60
	minCollectors     = 2
	maxCollectors     = 4
	// collectDelay is how long a collector waits for further transactions, and maxCollected how many it merges. The store accepts 100
	// writes in a transaction, and a transaction of a journal has up to 3.
	collectDelay = 25 * time.Millisecond
	maxCollected = 32
	// collectLimit bounds a call to a collector. A host whose collector does not respond turns to the next one.
	collectLimit = 250 * time.Millisecond
	// collectInterval is the minimum time between two writes of a journal through a collector.
	collectInterval = 30 * time.Millisecond
	// maxCollectFailures is how many calls to collectors may fail in a row until a host writes its journal itself, for
	// collectorPause.
	maxCollectFailures = 2
	collectorPause     = 5 * time.Second
)

// collecting is what a host needs to write its journal through collectors, or as one. The host's lock guards all but merged.
type collecting struct {
	merged    *table.Batcher // merges the transactions of journals, if this host is a collector; set by Start
	turn      int            // counts the collectors that did not respond
	failures  int            // in a row
	resumesAt time.Duration  // until then this host writes its journal itself
}

// noteCall counts a call to a collector.
func (c *collecting) noteCall(now time.Duration, failed bool) {
	if !failed {
		c.failures = 0
		return
	}
	c.turn++
	if c.failures++; c.failures >= maxCollectFailures {
		c.failures, c.resumesAt = 0, now+collectorPause
	}
}

// collectsRecords reports whether the fleet is so large that journals are written through collectors. The caller holds the lock.
func (h *Host) collectsRecords() bool { return len(h.fleet.members) > maxDirectRecorders }

// collector returns the collector of this host, and whether that is this host itself.
func (h *Host) collector() (collector peer.Target, client *peer.Client, self bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := min(max(1+len(h.fleet.members)/hostsPerCollector, minCollectors), maxCollectors)
	names := lease.NewSuccession(streamTable, h.fleet.candidates()).First(count)
	if slices.Contains(names, h.settings.Name) {
		return peer.Target{}, nil, true
	}
	spread := fnv.New32a()
	spread.Write([]byte(h.settings.Name)) // never fails
	m := h.fleet.members[names[(h.collecting.turn+int(spread.Sum32()))%len(names)]]
	return peer.Target{ID: m.ID, Address: m.Address}, h.fleet.client, false
}

// commitRecords commits a transaction of the journal, in a large fleet through a collector. The errors are table.ErrNotApplied and
// table.ErrOutcomeUnknown.
func (h *Host) commitRecords(ctx context.Context, txn table.Txn) (table.Result, error) {
	h.mu.Lock()
	collects := h.collectsRecords() && h.Now() >= h.collecting.resumesAt
	h.mu.Unlock()
	if !collects {
		return h.store.Commit(ctx, txn)
	}
	target, client, self := h.collector()
	if self || client == nil {
		return h.collecting.merged.Commit(ctx, txn)
	}
	ctx, cancel := context.WithTimeout(ctx, collectLimit)
	defer cancel()
	response, err := client.Write(ctx, target, h.sender(), peer.NewWriteRequest(txn))
	h.store.countCall(writeCall("collected", txn), err)
	failed := err != nil || response.GetAway()
	h.mu.Lock()
	h.collecting.noteCall(h.Now(), failed)
	h.mu.Unlock()
	if !failed {
		h.store.noteEra(response.GetRevision())
		return table.Result{Committed: response.GetCommitted(), Revision: response.GetRevision()}, nil
	}
	if err != nil {
		return table.Result{}, errors.WithType(errors.Annotatef(err, "entry: collector %s did not respond", target.ID), table.ErrOutcomeUnknown)
	}
	return table.Result{}, errors.Annotatef(table.ErrNotApplied, "entry: collector %s has no contact with the store", target.ID)
}

// isJournal reports whether a transaction is of a journal.
func isJournal(txn table.Txn) bool {
	return len(txn.Compares) == 0 && !slices.ContainsFunc(txn.Writes, func(w table.Write) bool { return !strings.HasPrefix(w.Key, streamPrefix) })
}
