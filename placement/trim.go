package placement

import (
	"slices"

	"magnoliahoist/pool"
)

// trim unloads what the table no longer names and replicas beyond the target.
func (p *plan) trim() {
	for _, name := range p.names {
		l := p.ledgers[name]
		if !p.usable(l) {
			continue
		}
		for _, item := range p.sorted(l, func(item Item) bool { return p.superfluous(l, item) }) {
			p.unload(l, item)
		}
	}
	for _, model := range p.pool.Models {
		r := p.replicas[model.Name]
		target := p.Manager.target(model)
		if len(r.current) > 0 && len(r.current)+len(r.former) > target && len(r.former) > 0 {
			p.unloadFormer(r.former[0], model)
			continue
		}
		if len(r.current) > target {
			p.unload(crowded(r.current), current(model))
		}
	}
}

// superfluous reports whether the table no longer names the item, its model
// is gone from the endpoint, or the adapter's new version is resident.
func (p *plan) superfluous(l *ledger, item Item) bool {
	model, ok := p.Manager.models[item.Model]
	if !ok {
		return true
	}
	if item.Adapter == "" {
		return false
	}
	at := slices.IndexFunc(model.Adapters, func(a pool.Adapter) bool { return a.Name == item.Adapter })
	if at < 0 {
		return true
	}
	next := Item{Model: item.Model, Adapter: item.Adapter, Version: model.Adapters[at].Version}
	return item != next && l.holds(next) || !l.holdsModel(item.Model)
}

// holdsModel reports whether any version of the model is in the memory.
func (l *ledger) holdsModel(model string) bool {
	for held := range l.resident {
		if held.Model == model && held.Adapter == "" {
			return true
		}
	}
	return false
}

// unloadFormer unloads another version of the model than the table's.
func (p *plan) unloadFormer(l *ledger, model pool.Model) {
	for _, item := range p.sorted(l, func(item Item) bool {
		return item.Model == model.Name && item.Adapter == "" && item.Version != model.Version
	}) {
		p.unload(l, item)
	}
}

// crowded returns an endpoint of the failure domain with the most replicas.
func crowded(list []*ledger) *ledger {
	counts := make(map[string]int)
	for _, l := range list {
		counts[l.Domain]++
	}
	best := list[0]
	for _, l := range list {
		if counts[l.Domain] > counts[best.Domain] {
			best = l
		}
	}
	return best
}

// placeAdapters loads the adapters of every resident model where memory is free.
func (p *plan) placeAdapters() {
	for _, model := range p.pool.Models {
		for _, l := range p.replicas[model.Name].current {
			for _, a := range model.Adapters {
				item := Item{Model: model.Name, Adapter: a.Name, Version: a.Version}
				if !p.ready(l) || !l.holds(current(model)) {
					break
				}
				_, resident := l.resident[item]
				if resident || l.coming(p.now, p.settings.LoadLimit, item) || !p.fits(l, item, a.Memory) {
					continue
				}
				p.load(l, item, a.Memory)
			}
		}
	}
}
