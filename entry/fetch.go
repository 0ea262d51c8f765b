package entry

import (
	"context"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/residency"
)

// fetchLimit bounds the wait for an adapter.
const fetchLimit = 600 * time.Millisecond

// fetchHere loads an adapter on an endpoint of a pool whose lease this host holds and reports whether it can be used.
func (h *Host) fetchHere(ctx context.Context, pool string, a dispatch.Adapter, endpoint string) bool {
	h.mu.Lock()
	held := h.holdings[pool]
	if held == nil {
		h.mu.Unlock()
		return false
	}
	held.next++
	answer := make(chan bool, 1)
	held.tickets[held.next] = answer
	held.planner.Want(h.Now(), residency.Ticket{ID: held.next, Endpoint: endpoint, Model: a.Model, Adapter: a.Adapter})
	h.settle(held)
	h.mu.Unlock()
	h.wake()
	timer := time.NewTimer(fetchLimit)
	defer timer.Stop()
	select {
	case loaded := <-answer:
		return loaded
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// fetch asks the holder of the pool's lease for an adapter.
func (h *Host) fetch(ctx context.Context, e dispatch.Fetch) {
	a := dispatch.Adapter{Model: e.Model, Adapter: e.Adapter}
	loaded := false
	holder := h.holderOf(e.Pool)
	client, to, known := h.peerByID(holder)
	started := h.Now()
	switch {
	case holder == h.fleet.self.ID:
		loaded = h.fetchHere(ctx, e.Pool, a, e.Endpoint)
	case known:
		answer, err := client.Fetch(ctx, to, h.sender(), e.Pool, e.Endpoint, e.Model, e.Adapter)
		if err != nil {
			h.log.Info("entry: unable to ask for an adapter", "pool", e.Pool, "holder", holder, "error", err)
		}
		loaded = answer.GetLoaded()
	}
	h.metrics.fetched.Observe((h.Now() - started).Seconds())
	h.log.Info("entry: fetched", "pool", e.Pool, "endpoint", e.Endpoint, "model", e.Model, "adapter", e.Adapter, "holder", holder,
		"loaded", loaded, "took", (h.Now() - started).String())
	h.Apply(dispatch.Fetched{Pool: e.Pool, Endpoint: e.Endpoint, Model: e.Model, Adapter: e.Adapter, Loaded: loaded})
}
