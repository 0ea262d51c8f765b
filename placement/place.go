package placement

import "magnoliahoist/pool"

// place issues loads in rounds, so that every model has a replica before any
// has a second one. It returns true while a first replica waits for the weight store or for a move.
// One that waits for memory has a claim on it, which further replicas respect.
func (p *plan) place() bool {
	waiting := p.first(func(r *replicas) bool { return len(r.former) == 0 })
	waiting = p.first(func(r *replicas) bool { return len(r.former) > 0 }) || waiting
	for round := 1; !waiting; round++ {
		more := false
		for _, model := range p.pool.Models {
			r := p.Manager.target(model)
			if have := p.replicas[model.Name]; len(have.current)+len(have.coming) != round || round >= r {
				more = more || round < r
				continue
			}
			more = true
			p.next(model)
		}
		if !more {
			return false
		}
	}
	return waiting
}

// first places the models that have no replica in the table's version.
func (p *plan) first(which func(*replicas) bool) bool {
	waiting := false
	for _, model := range p.pool.Models {
		r := p.replicas[model.Name]
		if len(r.current)+len(r.coming) > 0 || !which(r) {
			continue
		}
		if l := p.choose(model); l != nil {
			if !p.put(l, model) {
				return true
			}
			continue
		}
		waiting = p.makeRoom(model) || waiting
	}
	return waiting
}

// next places a further replica where memory is free. A former version of
// the same model gives way to it.
func (p *plan) next(model pool.Model) {
	if l := p.choose(model); l != nil {
		p.put(l, model)
		return
	}
	r := p.replicas[model.Name]
	if len(r.current) == 0 {
		return
	}
	for _, l := range r.former {
		p.unloadFormer(l, model)
	}
}

func (p *plan) put(l *ledger, model pool.Model) bool {
	if !p.load(l, current(model), model.Memory) {
		return false
	}
	r := p.replicas[model.Name]
	r.coming = append(r.coming, l)
	return true
}

// fits reports whether the item fits beside what is claimed on the endpoint.
func (p *plan) fits(l *ledger, item Item, memory int64) bool {
	claimed := int64(0)
	if claim := p.claims[l.Name]; claim > 0 {
		claimed = max(claim-l.freeing(), 0)
	}
	return l.fits(item, memory+claimed)
}

// choose returns the endpoint for a replica: in a failure domain without one
// if any fits, then the one with the most free memory.
func (p *plan) choose(model pool.Model) *ledger {
	var best *ledger
	bestNew, bestFree := false, int64(0)
	item, r := current(model), p.replicas[model.Name]
	for _, name := range p.names {
		l := p.ledgers[name]
		if !p.ready(l) || r.on(l) || l.unloading(item) || !p.fits(l, item, model.Memory) {
			continue
		}
		fresh, free := !r.inDomain(l.Domain), l.Memory-l.used()
		if best == nil || fresh && !bestNew || fresh == bestNew && free > bestFree {
			best, bestNew, bestFree = l, fresh, free
		}
	}
	return best
}

// on reports whether the endpoint has or gets the model in the table's version.
func (r *replicas) on(l *ledger) bool {
	for _, list := range [][]*ledger{r.current, r.coming} {
		for _, other := range list {
			if other == l {
				return true
			}
		}
	}
	return false
}

func (r *replicas) inDomain(domain string) bool {
	for _, list := range [][]*ledger{r.current, r.coming} {
		for _, l := range list {
			if l.Domain == domain {
				return true
			}
		}
	}
	return false
}
