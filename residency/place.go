package residency

import (
	"cmp"
	"slices"
	"time"
)

// replica counts the engines that hold or load a model.
type replica struct {
	count   int
	serving int     // of them, those that hold it
	demand  float64 // prompt tokens a second
}

// load returns the part of an engine that each replica needs.
func (r replica) load(count int) float64 {
	if count <= 0 {
		return r.demand / engineRate * 10 // a model that nobody holds is wanted before any other
	}
	return r.demand / engineRate / float64(count)
}

// modelOrders returns the orders for models: they answer demand that has moved to models with too few replicas, and
// models that nobody holds.
func (p *Planner) modelOrders(now time.Duration) []Order {
	if now-p.placed < placePeriod {
		return nil
	}
	p.placed = now
	p.decay(now)
	p.fill(now)
	p.expire(now)
	replicas := p.replicas()
	orders := append(p.retire(now), p.complete(now, replicas)...)
	if now-p.started < startTime && now-p.grown < settleTime {
		return orders
	}
	free := p.candidates(now, replicas)
	for _, model := range p.byNeed(replicas) {
		if o, due := p.grow(now, model, replicas, free); due {
			orders = append(orders, o)
		}
	}
	return orders
}

// fill adds the loads that the weight store allows.
func (p *Planner) fill(now time.Duration) {
	p.tokens = min(p.tokens+p.spec.Engine.Loads*(now-p.filled).Seconds(), loadBurst)
	p.filled = now
}

// expire gives up loads and unloads that have taken too long.
func (p *Planner) expire(now time.Duration) {
	for _, e := range p.engines {
		if (e.loading != "" || e.leaving != "") && now-e.since > patience {
			e.loading, e.leaving, e.target, e.synced = "", "", "", false
		}
	}
}

// retire returns the orders that unload models that hosts have been told not to use.
func (p *Planner) retire(now time.Duration) []Order {
	var orders []Order
	for _, id := range p.names {
		e := p.engines[id]
		if e.retiring == "" || e.current != nil || now < e.retry || now-e.retired < retireTime || !e.synced {
			continue
		}
		orders = append(orders, e.begin(Order{Kind: UnloadModel, Model: e.retiring, Why: "makes room for " + e.target}))
	}
	return orders
}

// complete returns the orders that load the models for which room was made, first those that nobody holds.
func (p *Planner) complete(now time.Duration, replicas map[string]replica) []Order {
	var ready []*engine
	for _, id := range p.names {
		e := p.engines[id]
		if e.target != "" && !e.busy() && e.synced && now >= e.retry && !e.Leaving {
			ready = append(ready, e)
		}
	}
	slices.SortStableFunc(ready, func(a, b *engine) int {
		return cmp.Compare(replicas[a.target].serving, replicas[b.target].serving)
	})
	var orders []Order
	for _, e := range ready {
		if o, due := p.load(e); due {
			orders = append(orders, o)
		}
	}
	return orders
}

// room returns the megabytes for models that are free on an engine, with all places for adapters taken.
func (p *Planner) room(e *engine) float64 {
	room := p.spec.Engine.Weights - p.adapterReserve(e)
	for name, h := range e.models {
		spec := p.spec.Engine.Models[name]
		room -= spec.Weights + float64(len(h.adapters))*spec.Adapter
	}
	return room
}

// load returns the order that loads an engine's target, unless there is no room for it, or the weight store's rate is
// used up.
func (p *Planner) load(e *engine) (Order, bool) {
	if p.room(e) < p.spec.Engine.Models[e.target].Weights || e.models[e.target] != nil {
		e.target = ""
		return Order{}, false
	}
	if p.cold(e, e.target) {
		if p.tokens < 1 {
			return Order{}, false
		}
		p.tokens--
	}
	return e.begin(Order{Kind: LoadModel, Model: e.target, Why: "demand"}), true
}

// replicas counts the replicas of every model, those that are being loaded included.
func (p *Planner) replicas() map[string]replica {
	all := make(map[string]replica, len(p.spec.Engine.Models))
	for name := range p.spec.Engine.Models {
		all[name] = replica{demand: p.demand[name]}
	}
	add := func(name string, serving int) {
		r := all[name]
		r.count++
		r.serving += serving
		all[name] = r
	}
	for _, id := range p.names {
		e := p.engines[id]
		if e.Leaving {
			continue
		}
		for name := range e.models {
			if name != e.retiring && name != e.leaving {
				add(name, 1)
			}
		}
		switch {
		case e.target != "" && e.models[e.target] == nil:
			add(e.target, 0)
		case e.loading != "" && e.models[e.loading] == nil:
			add(e.loading, 0)
		}
	}
	return all
}

// byNeed returns the models in descending order of the load of their replicas.
func (p *Planner) byNeed(replicas map[string]replica) []string {
	names := make([]string, 0, len(replicas))
	for name, r := range replicas {
		if r.count == 0 || r.load(r.count) > leastGain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := replicas[a], replicas[b]
		switch {
		case (x.count == 0) != (y.count == 0):
			if x.count == 0 {
				return -1
			}
			return 1
		case x.load(x.count) != y.load(y.count):
			if x.load(x.count) > y.load(y.count) {
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

// adapterReserve returns the megabytes kept free for adapters that may come.
func (p *Planner) adapterReserve(e *engine) float64 {
	largest := 0.0
	for _, m := range p.spec.Engine.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.Adapter)
		}
	}
	return largest * float64(max(p.spec.Engine.Adapters-e.adapters(), 0))
}

// loadTime returns how long an engine takes to load a model.
func (p *Planner) loadTime(e *engine, model string) time.Duration {
	spec := p.spec.Engine.Models[model]
	switch {
	case slices.Contains(e.Memory, model):
		return spec.Warm
	case slices.Contains(e.Disk, model):
		return spec.Disk
	default:
		return spec.Load
	}
}

// cold reports whether an engine must load a model from the weight store.
func (p *Planner) cold(e *engine, model string) bool {
	return !slices.Contains(e.Memory, model) && !slices.Contains(e.Disk, model)
}
