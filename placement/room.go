package placement

import (
	"cmp"
	"slices"

	"magnoliahoist/pool"
)

// makeRoom unloads spare items for a model that fits nowhere, on the endpoint
// where the fewest must go, and claims it there. It returns true if it loads
// the only replica of another model elsewhere instead.
func (p *plan) makeRoom(model pool.Model) bool {
	var best *ledger
	var evictable []Item
	for _, name := range p.names {
		l := p.ledgers[name]
		if !p.usable(l) || p.replicas[model.Name].on(l) {
			continue
		}
		need := model.Memory - (l.Memory - l.used()) - l.freeing() + p.claims[name]
		if need <= 0 {
			p.claims[name] += model.Memory
			return false
		}
		items, ok := p.evictable(l, need)
		if ok && (best == nil || p.preferable(l, len(items), best, len(evictable))) {
			best, evictable = l, items
		}
	}
	if best == nil {
		return p.move(model)
	}
	p.claims[best.Name] += model.Memory
	for _, item := range evictable {
		p.unload(best, item)
	}
	return false
}

// preferable reports whether an endpoint is better than another to make room
// on: it takes orders now, fewer items must go, or their memory is free without a settling time.
func (p *plan) preferable(l *ledger, items int, other *ledger, otherItems int) bool {
	if ready := p.ready(l); ready != p.ready(other) {
		return ready
	}
	if items != otherItems {
		return items < otherItems
	}
	return l.Fenced && !other.Fenced
}

// evictable returns the spare items of an endpoint, largest first, that free the memory.
func (p *plan) evictable(l *ledger, need int64) ([]Item, bool) {
	spare := p.sorted(l, func(item Item) bool { return p.spare(l, item) })
	for n, item := range spare {
		need -= l.charged(item)
		if need <= 0 {
			return spare[:n+1], true
		}
	}
	return nil, false
}

// move loads the only replica of another model on a second endpoint, so that it becomes spare on the first.
func (p *plan) move(model pool.Model) bool {
	for _, name := range p.names {
		l := p.ledgers[name]
		if !p.usable(l) {
			continue
		}
		need := model.Memory - (l.Memory - l.used()) - l.freeing() + p.claims[name]
		for _, item := range p.sorted(l, func(item Item) bool { return item.Adapter == "" && l.charged(item) >= need }) {
			other, ok := p.Manager.models[item.Model]
			if !ok || item != current(other) || len(p.replicas[item.Model].coming) > 0 {
				continue
			}
			if to := p.choose(other); to != nil && to != l {
				p.put(to, other)
				return true
			}
		}
	}
	return false
}

// sorted returns the resident items that match, largest first.
func (p *plan) sorted(l *ledger, match func(Item) bool) []Item {
	var items []Item
	for item := range l.resident {
		if l.holds(item) && match(item) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(l.charged(b), l.charged(a)), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return items
}

// spare reports whether unloading the item from the endpoint leaves its model
// reachable, and in the table's version if the item has it.
func (p *plan) spare(l *ledger, item Item) bool {
	model, ok := p.Manager.models[item.Model]
	if !ok {
		return true
	}
	for _, name := range p.names {
		other := p.ledgers[name]
		if !p.usable(other) {
			continue
		}
		for held := range other.resident {
			if other == l && held == item || held.Model != item.Model || held.Adapter != item.Adapter || !other.holds(held) {
				continue
			}
			if p.size(item) == 0 || held.Version == item.Version {
				return true
			}
		}
	}
	return item.Adapter != "" && (!named(model, item.Adapter) || !l.holdsModel(item.Model))
}

func named(model pool.Model, adapter string) bool {
	for _, a := range model.Adapters {
		if a.Name == adapter {
			return true
		}
	}
	return false
}

// unload issues an unload if the endpoint takes another order and the item is still spare.
func (p *plan) unload(l *ledger, item Item) {
	if !p.ready(l) || !l.holds(item) || !p.spare(l, item) {
		return
	}
	p.orders = append(p.orders, p.issue(p.now, l, Unload, item, l.charged(item)))
	if r := p.replicas[item.Model]; r != nil && item.Adapter == "" {
		r.current = slices.DeleteFunc(r.current, func(other *ledger) bool { return other == l && !l.holds(item) })
	}
}
