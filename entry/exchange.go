package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
)

const (
	// summaryPeriod is how often hosts tell the holder of their load and learn that of the others.
	summaryPeriod = 200 * time.Millisecond
	// loadLife is how long a host's load counts.
	loadLife = 2 * time.Second
)

// summarize tells the holder of each pool the demand and load of this host and takes the load of the others.
func (h *Host) summarize(ctx context.Context) {
	h.mu.Lock()
	pools := h.enginePools()
	h.mu.Unlock()
	for _, pool := range pools {
		h.mu.Lock()
		request := &peer.SummaryRequest{Header: &peer.Header{From: h.fleet.self.ID}, Pool: pool}
		request.Demands = demandsOf(h.state.Demand(pool))
		request.Loads = loadsOf(h.state.Loads(h.Now(), pool))
		request.After = h.registry.revision
		h.mu.Unlock()
		holder := h.holderOf(pool)
		h.noteHolder(pool)
		if holder == h.fleet.self.ID {
			loads, _ := h.exchange(request)
			h.Apply(dispatch.Observed{Pool: pool, Loads: loadsFrom(loads)})
			continue
		}
		client, to, known := h.peerByID(holder)
		if !known {
			h.answered(pool, false)
			continue
		}
		h.run(func(ctx context.Context) {
			answer, err := client.Report(ctx, to, h.sender(), request)
			h.answered(pool, err == nil)
			if err != nil {
				h.log.Debug("entry: unable to exchange load", "pool", pool, "holder", holder, "error", err)
				return
			}
			h.takeRegistrations(request.GetAfter(), answer)
			h.Apply(dispatch.Observed{Pool: pool, Loads: loadsFrom(answer.GetLoads())})
		})
	}
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

// exchange takes one host's demand and load and returns the load of all others. It reports false when this host
// does not hold the lease.
func (h *Host) exchange(r *peer.SummaryRequest) ([]*peer.EndpointLoad, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[r.GetPool()]
	if held == nil {
		return nil, false
	}
	now := h.Now()
	tokens := make(map[string]float64, len(r.GetDemands()))
	for _, d := range r.GetDemands() {
		tokens[d.GetModel()] = d.GetTokens()
	}
	held.planner.AddDemand(now, tokens)
	loads := loadsFrom(r.GetLoads())
	for _, l := range loads {
		for _, a := range l.Used {
			held.planner.Used(now, l.Endpoint, a.Model, a.Adapter)
		}
	}
	from := r.GetHeader().GetFrom()
	held.loads[from] = reported{at: now, loads: loads}
	h.seen(from)
	return withRetiring(loadsOf(held.othersLoad(now, from)), held.planner.Retiring()), true
}

// withRetiring adds the models that must not be used any more.
func withRetiring(loads []*peer.EndpointLoad, retiring map[string]string) []*peer.EndpointLoad {
	for _, l := range loads {
		if model, is := retiring[l.Endpoint]; is {
			l.Retiring = model
			delete(retiring, l.Endpoint)
		}
	}
	for endpoint, model := range retiring {
		loads = append(loads, &peer.EndpointLoad{Endpoint: endpoint, Retiring: model})
	}
	return loads
}

// othersLoad sums the load of all hosts but one.
func (held *holding) othersLoad(now time.Duration, except string) []dispatch.Load {
	sums := map[string]dispatch.Load{}
	for id, r := range held.loads {
		if now-r.at > loadLife {
			delete(held.loads, id)
			continue
		}
		if id == except {
			continue
		}
		for _, l := range r.loads {
			sum := sums[l.Endpoint]
			sum.Endpoint = l.Endpoint
			sum.Running += l.Running
			for level, tokens := range l.Backlog {
				sum.Backlog[level] += tokens
			}
			sums[l.Endpoint] = sum
		}
	}
	list := make([]dispatch.Load, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[name])
	}
	return list
}

func demandsOf(tokens map[string]float64) []*peer.Demand {
	list := make([]*peer.Demand, 0, len(tokens))
	for _, model := range slices.Sorted(maps.Keys(tokens)) {
		list = append(list, &peer.Demand{Model: model, Tokens: tokens[model]})
	}
	return list
}

func loadsOf(loads []dispatch.Load) []*peer.EndpointLoad {
	list := make([]*peer.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		wire := &peer.EndpointLoad{Endpoint: l.Endpoint, Running: int64(l.Running), Backlog: l.Backlog[:]}
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
		l := dispatch.Load{Endpoint: w.GetEndpoint(), Running: int(w.GetRunning()), Retiring: w.GetRetiring()}
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
