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

// summaryPeriod is how often hosts tell the holder of their load and learn that of the others.
const summaryPeriod = 200 * time.Millisecond

// summarize tells the holder of each pool the demand and load of this host and takes the load of the others.
func (h *Host) summarize(ctx context.Context) {
	h.mu.Lock()
	pools := h.enginePools()
	h.mu.Unlock()
	for _, pool := range pools {
		h.mu.Lock()
		demand, loads := h.state.Demand(pool), h.state.Loads(h.Now(), pool)
		endpointsAfter, membersAfter := h.registry.revision, h.fleet.rows.revision
		h.mu.Unlock()
		holder := h.holderOf(pool)
		h.noteHolder(pool)
		if holder == h.fleet.self.ID {
			others, _ := h.exchange(pool, holder, demand, loads)
			h.Apply(dispatch.Observed{Pool: pool, Loads: others})
			continue
		}
		client, to, known := h.peerByID(holder)
		if !known {
			h.answered(pool, false)
			continue
		}
		request := &peer.SummaryRequest{
			Header: &peer.Header{From: h.fleet.self.ID}, Pool: pool, Demands: demandsOf(demand), Loads: loadsOf(loads),
			EndpointsAfter: endpointsAfter, MembersAfter: membersAfter,
		}
		h.run(func(ctx context.Context) {
			answer, err := client.Report(ctx, to, h.sender(), request)
			h.answered(pool, err == nil)
			if err != nil {
				h.log.Debug("entry: unable to exchange load", "pool", pool, "holder", holder, "error", err)
				return
			}
			h.takeChanges(holder, answer)
			h.takeConfiguration(answer.GetConfiguration())
			h.Apply(dispatch.Observed{Pool: pool, Loads: loadsFrom(answer.GetLoads())})
		})
	}
}

// takeChanges takes what the holder tells of endpoints and hosts.
func (h *Host) takeChanges(holder string, answer *peer.SummaryResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.takeTold(platform.EndpointTable, &h.registry.tableCopy, holder, answer.GetEndpoints(), h.learnEndpoints) {
		h.directory.Regain(h.Now())
	}
	h.takeTold(fleetTable, &h.fleet.rows, holder, answer.GetMembers(), h.learn)
}

// takeTold takes what the holder tells of one table and reports whether the copy is current by it. What is not dated
// shows nothing. The caller holds the lock.
func (h *Host) takeTold(name string, c *tableCopy, holder string, changes *peer.Changes, changed func(rows []table.Row)) bool {
	at, dated := h.store.Local(time.Duration(changes.GetClock()))
	if !dated {
		at = c.fed
	}
	now := h.Now()
	fresh, current := c.told(now, min(at, now), changes)
	if current {
		h.noteSource(name, c, holder)
	}
	if len(fresh) > 0 {
		changed(fresh)
	}
	return current
}

// noteHolder tells the reducer whether adapters can be ordered for a pool.
func (h *Host) noteHolder(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term := h.termOf(pool)
	_, missed := h.fleet.missed[pool]
	possible := h.holdings[pool] != nil || term.Holder() != "" && term.Holder() != h.fleet.self.ID && !missed
	if possible != h.orderable[pool] {
		h.orderable[pool] = possible
		h.log.Info("entry: adapters can be ordered", "pool", pool, "possible", possible, "holder", term.Holder())
		h.apply(dispatch.Orderable{Pool: pool, Possible: possible})
	}
}

// answered notes whether the holder of a pool's lease has answered.
func (h *Host) answered(pool string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		delete(h.fleet.missed, pool)
		return
	}
	if _, missed := h.fleet.missed[pool]; !missed {
		h.fleet.missed[pool] = sinceBoot()
	}
}

// exchange takes one host's demand and load and returns the load of all others, with what hosts must know of engines
// beside their registrations. It reports false when this host does not hold the lease, also when its time has ended
// while the machine was suspended.
func (h *Host) exchange(pool, from string, demand map[string]float64, loads []dispatch.Load) ([]dispatch.Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[pool]
	if held == nil || !h.termOf(pool).Acts(sinceBoot()) {
		return nil, false
	}
	now := h.Now()
	held.planner.AddDemand(now, demand)
	for _, l := range loads {
		for _, a := range l.Used {
			held.planner.Used(now, l.Endpoint, a.Model, a.Adapter)
		}
	}
	h.seen(from)
	return withNotices(held.loads.Take(now, from, loads), held.planner.Notices(now)), true
}

// withNotices adds what hosts must know of engines.
func withNotices(loads []dispatch.Load, notices map[string]residency.Notice) []dispatch.Load {
	for i := range loads {
		if n, is := notices[loads[i].Endpoint]; is {
			loads[i].Retiring, loads[i].Loading = n.Retiring, n.Loading
			delete(notices, loads[i].Endpoint)
		}
	}
	for endpoint, n := range notices {
		loads = append(loads, dispatch.Load{Endpoint: endpoint, Retiring: n.Retiring, Loading: n.Loading})
	}
	return loads
}

func demandsOf(tokens map[string]float64) []*peer.Demand {
	list := make([]*peer.Demand, 0, len(tokens))
	for _, model := range slices.Sorted(maps.Keys(tokens)) {
		list = append(list, &peer.Demand{Model: model, Tokens: tokens[model]})
	}
	return list
}

func demandsFrom(wire []*peer.Demand) map[string]float64 {
	tokens := make(map[string]float64, len(wire))
	for _, d := range wire {
		tokens[d.GetModel()] = d.GetTokens()
	}
	return tokens
}

func loadsOf(loads []dispatch.Load) []*peer.EndpointLoad {
	list := make([]*peer.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		wire := &peer.EndpointLoad{Endpoint: l.Endpoint, Running: int64(l.Running), Backlog: l.Backlog[:], Retiring: l.Retiring, Loading: l.Loading}
		for _, a := range l.Used {
			wire.Holdings = append(wire.Holdings, &peer.Holding{Model: a.Model, Adapters: []string{a.Adapter}})
		}
		list = append(list, wire)
	}
	return list
}

func loadsFrom(wire []*peer.EndpointLoad) []dispatch.Load {
	list := make([]dispatch.Load, 0, len(wire))
	for _, w := range wire {
		l := dispatch.Load{Endpoint: w.GetEndpoint(), Running: int(w.GetRunning()), Retiring: w.GetRetiring(), Loading: w.GetLoading()}
		copy(l.Backlog[:], w.GetBacklog())
		for _, held := range w.GetHoldings() {
			for _, adapter := range held.GetAdapters() {
				l.Used = append(l.Used, dispatch.Adapter{Model: held.GetModel(), Adapter: adapter})
			}
		}
		list = append(list, l)
	}
	return list
}
