package placement

import "magnoliahoist/pool"

// placeModels issues loads in rounds, so that every model has a replica before any has a second one. Models without a
// replica in any version come first. It returns true while a first replica waits for the weight store, or for another
// model's only replica to be loaded elsewhere. A first replica that waits for memory claims it, and further replicas
// don't use claimed memory.
func (p *plan) placeModels() bool {
	waiting := p.placeFirstReplicas(func(r *replicas) bool { return len(r.otherVersions) == 0 })
	waiting = p.placeFirstReplicas(func(r *replicas) bool { return len(r.otherVersions) > 0 }) || waiting
	for round := 1; !waiting; round++ {
		unfinished := false
		for _, model := range p.pool.Models {
			target := p.Manager.targetReplicas(model)
			if existing := p.replicas[model.Name]; len(existing.current)+len(existing.loading) != round || round >= target {
				unfinished = unfinished || round < target
				continue
			}
			unfinished = true
			p.placeFurtherReplica(model)
		}
		if !unfinished {
			return false
		}
	}
	return waiting
}

// placeFirstReplicas places the matching models that have no replica in the table's version. It returns true while one waits
// as placeModels describes.
func (p *plan) placeFirstReplicas(matches func(*replicas) bool) bool {
	waiting := false
	for _, model := range p.pool.Models {
		r := p.replicas[model.Name]
		if len(r.current)+len(r.loading) > 0 || !matches(r) {
			continue
		}
		if l := p.chooseEndpoint(model); l != nil {
			if !p.loadReplica(l, model) {
				return true
			}
			continue
		}
		waiting = p.evictFor(model) || waiting
	}
	return waiting
}

// placeFurtherReplica loads a further replica where memory is free. If it is free nowhere, other versions of the same model
// are unloaded.
func (p *plan) placeFurtherReplica(model pool.Model) {
	if l := p.chooseEndpoint(model); l != nil {
		p.loadReplica(l, model)
		return
	}
	r := p.replicas[model.Name]
	if len(r.current) == 0 {
		return
	}
	for _, l := range r.otherVersions {
		p.unloadOtherVersions(l, model)
	}
}

// loadReplica issues the load of a model and counts it as a replica. It returns false if the load limits allow none now.
func (p *plan) loadReplica(l *ledger, model pool.Model) bool {
	if !p.issueLoad(l, tableItem(model), model.Memory) {
		return false
	}
	r := p.replicas[model.Name]
	r.loading = append(r.loading, l)
	return true
}

// fits reports whether the item fits into the endpoint's memory beside the claimed memory. Memory that is being freed counts
// toward the claim first.
func (p *plan) fits(l *ledger, item Item, memory int64) bool {
	claimed := int64(0)
	if claim := p.claimedMemory[l.Name]; claim > 0 {
		claimed = max(claim-l.memoryBeingFreed(), 0)
	}
	return l.fits(item, memory+claimed)
}

// chooseEndpoint returns the endpoint for a new replica, or nil if the model fits nowhere. It prefers failure domains without
// a replica of the model, then the most free memory.
func (p *plan) chooseEndpoint(model pool.Model) *ledger {
	var best *ledger
	bestNewDomain, bestFree := false, int64(0)
	item, r := tableItem(model), p.replicas[model.Name]
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !p.acceptsOrder(l) || r.includes(l) || l.unloading(item) || !p.fits(l, item, model.Memory) {
			continue
		}
		newDomain, free := !r.coversDomain(l.Domain), l.Memory-l.usedMemory()
		if best == nil || newDomain && !bestNewDomain || newDomain == bestNewDomain && free > bestFree {
			best, bestNewDomain, bestFree = l, newDomain, free
		}
	}
	return best
}

// includes reports whether the endpoint serves or loads the model in the table's version.
func (r *replicas) includes(l *ledger) bool {
	for _, list := range [][]*ledger{r.current, r.loading} {
		for _, other := range list {
			if other == l {
				return true
			}
		}
	}
	return false
}

// coversDomain reports whether an endpoint of the failure domain serves or loads the model in the table's version.
func (r *replicas) coversDomain(domain string) bool {
	for _, list := range [][]*ledger{r.current, r.loading} {
		for _, l := range list {
			if l.Domain == domain {
				return true
			}
		}
	}
	return false
}
