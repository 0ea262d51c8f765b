package placement

import (
	"slices"

	"magnoliahoist/pool"
)

// unloadSurplus unloads obsolete items and replicas beyond a model's target.
func (p *plan) unloadSurplus() {
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !p.available(l) {
			continue
		}
		for _, item := range p.servingItems(l, func(item Item) bool { return p.obsolete(l, item) }) {
			p.issueUnload(l, item)
		}
	}
	for _, model := range p.pool.Models {
		r := p.replicas[model.Name]
		target := p.Manager.targetReplicas(model)
		if len(r.current) > 0 && len(r.current)+len(r.otherVersions) > target && len(r.otherVersions) > 0 {
			p.unloadOtherVersions(r.otherVersions[0], model)
			continue
		}
		if len(r.current) > target {
			p.issueUnload(endpointInFullestDomain(r.current), tableItem(model))
		}
	}
}

// obsolete reports whether the table no longer lists the item, or, for an adapter, whether the endpoint no longer holds its
// model or serves the adapter's new version.
func (p *plan) obsolete(l *ledger, item Item) bool {
	model, ok := p.Manager.models[item.Model]
	if !ok {
		return true
	}
	if item.Adapter == "" {
		return false
	}
	index := slices.IndexFunc(model.Adapters, func(a pool.Adapter) bool { return a.Name == item.Adapter })
	if index < 0 {
		return true
	}
	wanted := Item{Model: item.Model, Adapter: item.Adapter, Version: model.Adapters[index].Version}
	return item != wanted && l.serves(wanted) || !l.hasModel(item.Model)
}

// hasModel reports whether any version of the model is resident.
func (l *ledger) hasModel(model string) bool {
	for held := range l.resident {
		if held.Model == model && held.Adapter == "" {
			return true
		}
	}
	return false
}

// unloadOtherVersions unloads all versions of the model but the table's from an endpoint.
func (p *plan) unloadOtherVersions(l *ledger, model pool.Model) {
	for _, item := range p.servingItems(l, func(item Item) bool {
		return item.Model == model.Name && item.Adapter == "" && item.Version != model.Version
	}) {
		p.issueUnload(l, item)
	}
}

// endpointInFullestDomain returns one of the endpoints in the failure domain that has the most of them.
func endpointInFullestDomain(ledgers []*ledger) *ledger {
	counts := make(map[string]int)
	for _, l := range ledgers {
		counts[l.Domain]++
	}
	best := ledgers[0]
	for _, l := range ledgers {
		if counts[l.Domain] > counts[best.Domain] {
			best = l
		}
	}
	return best
}

// placeAdapters loads the adapters of every model where the model serves and memory is free.
func (p *plan) placeAdapters() {
	for _, model := range p.pool.Models {
		for _, l := range p.replicas[model.Name].current {
			for _, a := range model.Adapters {
				item := Item{Model: model.Name, Adapter: a.Name, Version: a.Version}
				if !p.acceptsOrder(l) || !l.serves(tableItem(model)) {
					break
				}
				_, loaded := l.resident[item]
				if loaded || l.loadExpected(p.now, p.settings.LoadTimeout, item) || !p.fits(l, item, a.Memory) {
					continue
				}
				p.issueLoad(l, item, a.Memory)
			}
		}
	}
}
