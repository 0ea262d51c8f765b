package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/residency"
	"magnoliahoist/table"
)

// loadExchangeInterval is how often hosts send their load to the lease holders and get the load of the other hosts.
const loadExchangeInterval = 200 * time.Millisecond

// exchangeLoads sends this host's demand and load to the lease holder of each pool and gets the load of the other
// hosts.
func (h *Host) exchangeLoads(ctx context.Context) {
	h.mu.Lock()
	pools := h.enginePools()
	h.mu.Unlock()
	for _, pool := range pools {
		h.mu.Lock()
		use := poolUse{demand: h.state.TakeDemand(pool), loads: h.state.TakeLoads(h.Now(), pool), unserved: h.state.TakeUnserved(pool)}
		endpointsAfter, membersAfter := h.registry.revision, h.fleet.rows.revision
		h.mu.Unlock()
		holder := h.holderOf(pool)
		h.updateOrderable(pool)
		if holder == h.fleet.self.ID {
			others, _ := h.recordUse(pool, holder, use)
			h.Apply(dispatch.LoadsReported{Pool: pool, Loads: others})
			continue
		}
		client, to, known := h.peerByID(holder)
		if !known {
			h.recordHolderContact(pool, false)
			continue
		}
		request := &peer.SummaryRequest{
			Header: &peer.Header{From: h.fleet.self.ID}, Pool: pool, Demands: demandsToWire(use.demand), Loads: loadsToWire(use.loads), Unserved: adaptersToWire(use.unserved),
			EndpointsAfter: endpointsAfter, MembersAfter: membersAfter,
		}
		h.spawn(func(ctx context.Context) {
			response, err := client.ReportLoad(ctx, to, h.sender(), request)
			h.recordHolderContact(pool, err == nil)
			if err != nil {
				h.log.Debug("entry: unable to exchange load with the lease holder", "pool", pool, "holder", holder, "error", err)
				return
			}
			h.applyHolderChanges(holder, response)
			h.noteConfiguration(response.GetConfiguration())
			h.Apply(dispatch.LoadsReported{Pool: pool, Loads: loadsFromWire(response.GetLoads())})
		})
	}
}

// applyHolderChanges merges the changes of endpoints and hosts that a lease holder reports.
func (h *Host) applyHolderChanges(holder string, response *peer.SummaryResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mergeHolderChanges(platform.EndpointTable, &h.registry.tableCopy, holder, response.GetEndpoints(), h.applyEndpointRows) {
		h.directory.SetReachable(h.Now())
	}
	h.mergeHolderChanges(fleetTable, &h.fleet.rows, holder, response.GetMembers(), h.applyFleetRows)
}

// mergeHolderChanges merges the changes of one table that a lease holder reports, and reports whether the copy now
// counts as current. Changes without a confirmation time confirm nothing. The caller holds the lock.
func (h *Host) mergeHolderChanges(name string, c *tableCopy, holder string, changes *peer.Changes, changed func(rows []table.Row)) bool {
	currentAt, dated := h.store.LocalTime(time.Duration(changes.GetClock()))
	if !dated {
		currentAt = c.holderCurrentAt
	}
	now := h.Now()
	fresh, current := c.mergeFromHolder(now, min(currentAt, now), changes)
	if current {
		h.setSource(name, c, holder)
	}
	if len(fresh) > 0 {
		changed(fresh)
	}
	return current
}

// updateOrderable tells the state machine when it changes whether adapters can be ordered for a pool.
func (h *Host) updateOrderable(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	poolLease := h.leaseOf(pool)
	_, unresponsive := h.fleet.unresponsiveSince[pool]
	possible := h.holdings[pool] != nil || poolLease.Holder() != "" && poolLease.Holder() != h.fleet.self.ID && !unresponsive
	if possible != h.orderable[pool] {
		h.orderable[pool] = possible
		h.log.Info("entry: availability of adapter orders changed", "pool", pool, "possible", possible, "holder", poolLease.Holder())
		h.apply(dispatch.AdapterOrdersChanged{Pool: pool, Possible: possible})
	}
}

// recordHolderContact records whether the holder of a pool's lease responded.
func (h *Host) recordHolderContact(pool string, responded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if responded {
		delete(h.fleet.unresponsiveSince, pool)
		return
	}
	if _, unresponsive := h.fleet.unresponsiveSince[pool]; !unresponsive {
		h.fleet.unresponsiveSince[pool] = sinceBoot()
	}
}

// poolUse is what one host reports of its callers' use of a pool.
type poolUse struct {
	demand   map[string]float64 // prompt tokens by model
	loads    []dispatch.Load
	unserved []dispatch.Adapter // adapters that no endpoint could load
}

// recordUse records a host's use of a pool. It returns the load of all other hosts, with the notices
// about engines that registrations don't contain. It returns false if this host does not hold the lease or if the lease
// expired while the machine was suspended.
func (h *Host) recordUse(pool, from string, use poolUse) ([]dispatch.Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[pool]
	if held == nil || !h.leaseOf(pool).MayAct(sinceBoot()) {
		return nil, false
	}
	now := h.Now()
	held.planner.AddDemand(now, use.demand)
	for _, a := range use.unserved {
		held.planner.RecordUnserved(now, a.Model, a.Adapter)
	}
	for _, l := range use.loads {
		for _, a := range l.UsedAdapters {
			held.planner.RecordAdapterUse(now, l.Endpoint, a.Model, a.Adapter)
		}
	}
	h.markHeard(from)
	return addNotices(held.loads.Exchange(now, from, use.loads), held.planner.Notices(now)), true
}

// addNotices adds the planner's notices about engines to the load.
func addNotices(loads []dispatch.Load, notices map[string]residency.Notice) []dispatch.Load {
	for i := range loads {
		if n, found := notices[loads[i].Endpoint]; found {
			loads[i].Retiring, loads[i].Loading = n.Retiring, n.ChangingModel
			delete(notices, loads[i].Endpoint)
		}
	}
	for endpoint, n := range notices {
		loads = append(loads, dispatch.Load{Endpoint: endpoint, Retiring: n.Retiring, Loading: n.ChangingModel})
	}
	return loads
}

func demandsToWire(tokens map[string]float64) []*peer.Demand {
	list := make([]*peer.Demand, 0, len(tokens))
	for _, model := range slices.Sorted(maps.Keys(tokens)) {
		list = append(list, &peer.Demand{Model: model, Tokens: tokens[model]})
	}
	return list
}

func demandsFromWire(wire []*peer.Demand) map[string]float64 {
	tokens := make(map[string]float64, len(wire))
	for _, d := range wire {
		tokens[d.GetModel()] = d.GetTokens()
	}
	return tokens
}

func loadsToWire(loads []dispatch.Load) []*peer.EndpointLoad {
	list := make([]*peer.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		wire := &peer.EndpointLoad{Endpoint: l.Endpoint, Running: int64(l.Running), Backlog: l.Backlog[:], Retiring: l.Retiring, Loading: l.Loading}
		wire.Holdings = adaptersToWire(l.UsedAdapters)
		list = append(list, wire)
	}
	return list
}

func loadsFromWire(wire []*peer.EndpointLoad) []dispatch.Load {
	list := make([]dispatch.Load, 0, len(wire))
	for _, w := range wire {
		l := dispatch.Load{Endpoint: w.GetEndpoint(), Running: int(w.GetRunning()), Retiring: w.GetRetiring(), Loading: w.GetLoading()}
		copy(l.Backlog[:], w.GetBacklog())
		l.UsedAdapters = adaptersFromWire(w.GetHoldings())
		list = append(list, l)
	}
	return list
}

func adaptersToWire(adapters []dispatch.Adapter) []*peer.Holding {
	list := make([]*peer.Holding, 0, len(adapters))
	for _, a := range adapters {
		list = append(list, &peer.Holding{Model: a.Model, Adapters: []string{a.Adapter}})
	}
	return list
}

func adaptersFromWire(wire []*peer.Holding) []dispatch.Adapter {
	var list []dispatch.Adapter
	for _, held := range wire {
		for _, adapter := range held.GetAdapters() {
			list = append(list, dispatch.Adapter{Model: held.GetModel(), Adapter: adapter})
		}
	}
	return list
}
