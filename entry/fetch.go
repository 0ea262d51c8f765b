package entry

import (
	"context"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/residency"
)

// fetchTimeout bounds the wait for an adapter to be loaded.
const fetchTimeout = 600 * time.Millisecond

// fetchAdapter loads an adapter on an endpoint of a pool whose lease this host holds, and reports whether the adapter
// can be used.
func (h *Host) fetchAdapter(ctx context.Context, pool string, a dispatch.Adapter, endpoint string) bool {
	h.mu.Lock()
	held := h.holdings[pool]
	if held == nil {
		h.mu.Unlock()
		return false
	}
	held.lastFetch++
	result := make(chan bool, 1)
	held.fetches[held.lastFetch] = result
	held.planner.RequestAdapter(h.Now(), residency.AdapterRequest{ID: held.lastFetch, Endpoint: endpoint, Model: a.Model, Adapter: a.Adapter})
	h.deliverOutcomes(held)
	h.mu.Unlock()
	h.wakePlanner()
	timer := time.NewTimer(fetchTimeout)
	defer timer.Stop()
	select {
	case loaded := <-result:
		return loaded
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// requestAdapter has the holder of the pool's lease load an adapter and reports the result to the state machine.
func (h *Host) requestAdapter(ctx context.Context, e dispatch.OrderAdapter) {
	a := dispatch.Adapter{Model: e.Model, Adapter: e.Adapter}
	loaded := false
	holder := h.holderOf(e.Pool)
	client, to, known := h.peerByID(holder)
	started := h.Now()
	switch {
	case holder == h.fleet.self.ID:
		loaded = h.fetchAdapter(ctx, e.Pool, a, e.Endpoint)
	case known:
		response, err := client.Fetch(ctx, to, h.sender(), e.Pool, e.Endpoint, e.Model, e.Adapter)
		if err != nil {
			h.log.Info("entry: unable to request an adapter from the lease holder", "pool", e.Pool, "holder", holder, "error", err)
		}
		loaded = response.GetLoaded()
	}
	h.metrics.fetched.Observe((h.Now() - started).Seconds())
	h.log.Info("entry: adapter fetch ended", "pool", e.Pool, "endpoint", e.Endpoint, "model", e.Model, "adapter", e.Adapter, "holder", holder,
		"loaded", loaded, "took", (h.Now() - started).String())
	h.Apply(dispatch.AdapterOrderFinished{Pool: e.Pool, Endpoint: e.Endpoint, Model: e.Model, Adapter: e.Adapter, Loaded: loaded})
}
