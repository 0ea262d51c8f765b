package residency

import (
	"cmp"
	"slices"
	"time"
)

// replicaCount is the number of a model's replicas, their capacity and the demand that they share. Capacities are multiples of
// that of an engine of the assumed speed.
type replicaCount struct {
	total           int // engines that hold or load the model, or will load it
	serving         int // engines that hold it and are not about to unload it
	capacity        float64
	servingCapacity float64
	demand          float64 // prompt tokens per second
}

// withReplica returns the count with one more engine that will load the model.
func (r replicaCount) withReplica(capacity float64) replicaCount {
	r.total++
	r.capacity += capacity
	return r
}

// withoutServing returns the count without one of the engines that serve the model.
func (r replicaCount) withoutServing(capacity float64) replicaCount {
	r.total, r.serving = r.total-1, r.serving-1
	r.capacity, r.servingCapacity = r.capacity-capacity, r.servingCapacity-capacity
	return r
}

// load returns the load of replicas with a capacity in sum, as a fraction of what they can serve. Requests are assumed to be
// spread over the replicas by their capacity.
func (r replicaCount) load(capacity float64) float64 {
	if capacity <= 0 {
		return r.demand / engineCapacity * 10 // a model that no engine holds ranks above the others
	}
	return r.demand / engineCapacity / capacity
}

// modelOrders runs a placement pass, if one is due, and returns its orders. They add replicas of models whose demand has
// outgrown their replicas and of models that no engine holds.
func (p *Planner) modelOrders(now time.Duration) []Order {
	if now-p.placedAt < placementInterval {
		return nil
	}
	p.placedAt = now
	p.decayDemand(now)
	p.refillLoadTokens(now)
	p.expireModelChanges(now)
	replicas := p.countReplicas()
	orders := append(p.unloadOrders(now), p.loadOrders(now, replicas)...)
	if now-p.registryKnownAt < startupPeriod && now-p.lastSurge < surgeWait {
		return orders
	}
	candidates := p.candidates(now, replicas)
	for _, model := range p.modelsByLoad(replicas) {
		if o, due := p.addReplica(now, model, replicas, candidates); due {
			orders = append(orders, o)
		}
	}
	return orders
}

// refillLoadTokens adds the loads that the weight store has allowed since the last refill.
func (p *Planner) refillLoadTokens(now time.Duration) {
	p.loadTokens = min(p.loadTokens+p.pool.Engine.LoadsPerSecond*(now-p.refilledAt).Seconds(), loadBurst)
	p.refilledAt = now
}

// expireModelChanges stops waiting for model loads and unloads that exceed modelChangeTimeout.
func (p *Planner) expireModelChanges(now time.Duration) {
	for _, e := range p.engines {
		if (e.loading != "" || e.unloading != "") && now-e.lastChange > modelChangeTimeout {
			e.loading, e.unloading, e.nextModel, e.synced = "", "", "", false
		}
	}
}

// unloadOrders returns the orders that unload the models that hosts have been told not to use for retireNotice.
func (p *Planner) unloadOrders(now time.Duration) []Order {
	var orders []Order
	for _, id := range p.ids {
		e := p.engines[id]
		if e.retiring == "" || e.inFlight != nil || now < e.retryAt || now-e.retiringSince < retireNotice || !e.synced {
			continue
		}
		orders = append(orders, e.startOrder(Order{Kind: UnloadModel, Model: e.retiring, Reason: "makes room for " + e.nextModel}))
	}
	return orders
}

// loadOrders returns the orders that load models onto engines where memory has been freed for them, those with the fewest
// serving replicas first.
func (p *Planner) loadOrders(now time.Duration, replicas map[string]replicaCount) []Order {
	var ready []*engine
	for _, id := range p.ids {
		e := p.engines[id]
		if e.nextModel != "" && !e.busy() && e.synced && now >= e.retryAt && e.TakesRequests() {
			ready = append(ready, e)
		}
	}
	slices.SortStableFunc(ready, func(a, b *engine) int {
		return cmp.Compare(replicas[a.nextModel].serving, replicas[b.nextModel].serving)
	})
	var orders []Order
	for _, e := range ready {
		if o, due := p.loadOrder(e); due {
			orders = append(orders, o)
		}
	}
	return orders
}

// freeMemory returns the megabytes that are free for models on an engine when all its adapter slots are in use.
func (p *Planner) freeMemory(e *engine) float64 {
	free := p.pool.Engine.WeightsMB - p.adapterReserve(e)
	for name, loaded := range e.models {
		model := p.pool.Engine.Models[name]
		free -= model.WeightsMB + float64(loaded.slots())*model.AdapterMB
	}
	return free
}

// loadOrder returns the order that loads an engine's next model. It returns false if memory is short or the engine holds the
// model already, which cancels the load, or if the weight store allows no load now.
func (p *Planner) loadOrder(e *engine) (Order, bool) {
	if p.freeMemory(e) < p.pool.Engine.Models[e.nextModel].WeightsMB || e.models[e.nextModel] != nil {
		e.nextModel = ""
		return Order{}, false
	}
	if p.needsWeightStore(e, e.nextModel) {
		if p.loadTokens < 1 {
			return Order{}, false
		}
		p.loadTokens--
	}
	return e.startOrder(Order{Kind: LoadModel, Model: e.nextModel, Reason: "demand"}), true
}

// countReplicas counts the replicas of every model, including those being loaded or assigned.
func (p *Planner) countReplicas() map[string]replicaCount {
	counts := make(map[string]replicaCount, len(p.pool.Engine.Models))
	for name := range p.pool.Engine.Models {
		counts[name] = replicaCount{demand: p.demand[name]}
	}
	add := func(e *engine, name string, serving int) {
		r := counts[name].withReplica(e.capacity())
		r.serving += serving
		r.servingCapacity += float64(serving) * e.capacity()
		counts[name] = r
	}
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.TakesRequests() {
			continue
		}
		for name := range e.models {
			if name != e.retiring && name != e.unloading {
				add(e, name, 1)
			}
		}
		switch {
		case e.nextModel != "" && e.models[e.nextModel] == nil:
			add(e, e.nextModel, 0)
		case e.loading != "" && e.models[e.loading] == nil:
			add(e, e.loading, 0)
		}
	}
	return counts
}

// modelsByLoad returns the models that may need another replica: first those without a replica, then the others in
// descending order of load.
func (p *Planner) modelsByLoad(replicas map[string]replicaCount) []string {
	names := make([]string, 0, len(replicas))
	for name, r := range replicas {
		if r.total == 0 || r.load(r.capacity) > minGain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := replicas[a], replicas[b]
		switch {
		case (x.total == 0) != (y.total == 0):
			if x.total == 0 {
				return -1
			}
			return 1
		case x.load(x.capacity) != y.load(y.capacity):
			if x.load(x.capacity) > y.load(y.capacity) {
				return -1
			}
			return 1
		case a < b:
			return -1
		default:
			return 1
		}
	})
	return names
}

// adapterReserve returns the megabytes kept free for adapters that may still be loaded.
func (p *Planner) adapterReserve(e *engine) float64 {
	largest := 0.0
	for _, m := range p.pool.Engine.Models {
		if m.AdapterCount > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(max(p.pool.Engine.AdapterSlots-e.adapterCount(), 0))
}

// loadTime returns how long an engine takes to load a model.
func (p *Planner) loadTime(e *engine, model string) time.Duration {
	m := p.pool.Engine.Models[model]
	switch {
	case slices.Contains(e.ModelsInMemory, model):
		return m.HostMemoryLoadTime
	case slices.Contains(e.ModelsOnDisk, model):
		return m.DiskLoadTime
	default:
		return m.LoadTime
	}
}

// needsWeightStore reports whether an engine must load a model from the weight store.
func (p *Planner) needsWeightStore(e *engine, model string) bool {
	return !slices.Contains(e.ModelsInMemory, model) && !slices.Contains(e.ModelsOnDisk, model)
}
