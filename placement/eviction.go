package placement

import (
	"cmp"
	"slices"

	"magnoliahoist/pool"
)

// evictFor unloads removable items for a model that fits nowhere, on the endpoint that preferredForEviction ranks best, and
// claims the memory there. If unloads under way on an endpoint free enough memory, it only claims that memory. If no endpoint
// has enough removable items, it tries to load the only replica of another model elsewhere, and returns true if it does.
func (p *plan) evictFor(model pool.Model) bool {
	var best *ledger
	var bestItems []Item
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !p.available(l) || p.replicas[model.Name].includes(l) {
			continue
		}
		needed := model.Memory - (l.Memory - l.usedMemory()) - l.memoryBeingFreed() + p.claimedMemory[name]
		if needed <= 0 {
			p.claimedMemory[name] += model.Memory
			return false
		}
		items, ok := p.evictableItems(l, needed)
		if ok && (best == nil || p.preferredForEviction(l, len(items), best, len(bestItems))) {
			best, bestItems = l, items
		}
	}
	if best == nil {
		return p.loadElsewhere(model)
	}
	p.claimedMemory[best.Name] += model.Memory
	for _, item := range bestItems {
		p.issueUnload(best, item)
	}
	return false
}

// preferredForEviction reports whether to evict on l rather than on other: l accepts orders now, or fewer items must be
// evicted, or only l checks fencing numbers, so that its memory is free without waiting for late duplicates.
func (p *plan) preferredForEviction(l *ledger, items int, other *ledger, otherItems int) bool {
	if accepts := p.acceptsOrder(l); accepts != p.acceptsOrder(other) {
		return accepts
	}
	if items != otherItems {
		return items < otherItems
	}
	return l.ChecksFencing && !other.ChecksFencing
}

// evictableItems returns as many removable items of an endpoint, largest first, as free the needed bytes. It returns false if
// they are too small together.
func (p *plan) evictableItems(l *ledger, needed int64) ([]Item, bool) {
	removable := p.servingItems(l, func(item Item) bool { return p.removable(l, item) })
	for n, item := range removable {
		needed -= l.itemMemory(item)
		if needed <= 0 {
			return removable[:n+1], true
		}
	}
	return nil, false
}

// loadElsewhere loads the only replica of another, large enough model on a second endpoint too, so that it becomes removable
// on the first. It returns false if there is no such model.
func (p *plan) loadElsewhere(model pool.Model) bool {
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !p.available(l) {
			continue
		}
		needed := model.Memory - (l.Memory - l.usedMemory()) - l.memoryBeingFreed() + p.claimedMemory[name]
		for _, item := range p.servingItems(l, func(item Item) bool { return item.Adapter == "" && l.itemMemory(item) >= needed }) {
			replicated, ok := p.Manager.models[item.Model]
			if !ok || item != tableItem(replicated) || len(p.replicas[item.Model].loading) > 0 {
				continue
			}
			if target := p.chooseEndpoint(replicated); target != nil && target != l {
				p.loadReplica(target, replicated)
				return true
			}
		}
	}
	return false
}

// servingItems returns the serving items of an endpoint that match, largest first.
func (p *plan) servingItems(l *ledger, match func(Item) bool) []Item {
	var items []Item
	for item := range l.resident {
		if l.serves(item) && match(item) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(l.itemMemory(b), l.itemMemory(a)), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return items
}

// removable reports whether the item stays reachable on another endpoint after it is unloaded from this one, in the table's
// version if the item has that version. Models and adapters that the table doesn't list are always removable, and so are
// adapters whose model the endpoint doesn't hold.
func (p *plan) removable(l *ledger, item Item) bool {
	model, ok := p.Manager.models[item.Model]
	if !ok {
		return true
	}
	for _, name := range p.endpoints {
		other := p.ledgers[name]
		if !p.available(other) {
			continue
		}
		for held := range other.resident {
			if other == l && held == item || held.Model != item.Model || held.Adapter != item.Adapter || !other.serves(held) {
				continue
			}
			if p.tableMemory(item) == 0 || held.Version == item.Version {
				return true
			}
		}
	}
	return item.Adapter != "" && (!listsAdapter(model, item.Adapter) || !l.hasModel(item.Model))
}

// listsAdapter reports whether the model's table entry lists the adapter.
func listsAdapter(model pool.Model, adapter string) bool {
	for _, a := range model.Adapters {
		if a.Name == adapter {
			return true
		}
	}
	return false
}

// issueUnload issues an unload if the endpoint accepts another order and the item is still removable.
func (p *plan) issueUnload(l *ledger, item Item) {
	if !p.acceptsOrder(l) || !l.serves(item) || !p.removable(l, item) {
		return
	}
	p.orders = append(p.orders, p.newOrder(p.now, l, Unload, item, l.itemMemory(item)))
	if r := p.replicas[item.Model]; r != nil && item.Adapter == "" {
		r.current = slices.DeleteFunc(r.current, func(other *ledger) bool { return other == l && !l.serves(item) })
	}
}
