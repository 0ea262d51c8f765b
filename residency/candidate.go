package residency

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that can take an order for a model in this placement pass.
type candidate struct {
	engine      *engine
	freeWeights float64  // megabytes
	load        float64  // of its models, as a fraction of an engine's capacity
	victims     []victim // in ascending order of newLoad
	assigned    bool     // a model was assigned to it in this pass
}

// victim is a model that an engine can unload because other engines serve it too. Loads are fractions of an engine's
// capacity.
type victim struct {
	name    string
	weights float64 // megabytes
	newLoad float64 // of each replica that remains after the unload
	load    float64 // of this replica
	inUse   bool    // unloading must wait for its requests
}

// candidates returns the engines that can take a model now. Their memory, load and victims are computed once for all models
// that need a replica: with 145 engines and 242 models, computing them for each model would use up the lease holder's
// processor.
func (p *Planner) candidates(now time.Duration, replicas map[string]replicaCount) []*candidate {
	var list []*candidate
	reserved := p.reservedEngines(now)
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.TakesRequests() || e.busy() || !e.synced || now < e.retryAt || e.nextModel != "" || reserved[id] {
			continue
		}
		c := &candidate{engine: e, freeWeights: p.freeMemory(e)}
		for name := range e.models {
			r := replicas[name]
			load := r.load(r.servingCapacity)
			c.load += load
			if r.serving >= 2 {
				c.victims = append(c.victims, victim{
					name:    name,
					weights: p.pool.Engine.Models[name].WeightsMB,
					newLoad: r.load(r.servingCapacity - e.capacity()),
					load:    load,
					inUse:   r.demand > inUseDemand,
				})
			}
		}
		slices.SortFunc(c.victims, func(a, b victim) int { return cmp.Or(cmp.Compare(a.newLoad, b.newLoad), cmp.Compare(a.name, b.name)) })
		list = append(list, c)
	}
	return list
}

// option is one way to place a new replica of a model.
type option struct {
	candidate     *candidate
	victim        string  // model that must be unloaded first; empty if the memory suffices
	victimNewLoad float64 // of each replica of the victim that remains
	cost          float64 // as a fraction of an engine's capacity
}

// addReplica assigns another replica of a model to the candidate with the lowest cost, if the load per replica decreases by
// at least minGain. It returns the load order if the model can be loaded at once.
func (p *Planner) addReplica(now time.Duration, model string, replicas map[string]replicaCount, candidates []*candidate) (Order, bool) {
	r := replicas[model]
	if r.total > 0 && r.load(r.capacity)-r.load(r.capacity+maxCapacity) < minGain {
		return Order{}, false
	}
	best, found := option{}, false
	for _, c := range candidates {
		if c.assigned || c.engine.models[model] != nil {
			continue
		}
		candidateOption, fits := p.optionFor(c, model, replicas)
		if fits && (!found || candidateOption.cost < best.cost) {
			best, found = candidateOption, true
		}
	}
	if !found {
		return Order{}, false
	}
	e := best.candidate.engine
	gain := r.load(r.capacity) - max(r.load(r.capacity+e.capacity()), best.victimNewLoad)
	if r.total > 0 && gain < minGain {
		return Order{}, false
	}
	best.candidate.assigned, e.nextModel = true, model
	replicas[model] = r.withReplica(e.capacity())
	if best.victim == "" {
		return p.loadOrder(e)
	}
	e.retiring, e.retiringSince = best.victim, now
	replicas[best.victim] = replicas[best.victim].withoutServing(e.capacity())
	return Order{}, false
}

// optionFor returns the option to place a model on a candidate, and false if there is none. The replicas of a victim are
// checked again, since another candidate may have given up the same model since the victims were listed.
func (p *Planner) optionFor(c *candidate, model string, replicas map[string]replicaCount) (option, bool) {
	required := p.pool.Engine.Models[model].WeightsMB
	r := replicas[model]
	loadingCost := p.loadTime(c.engine, model).Seconds()*delayCost + r.load(r.capacity+c.engine.capacity())*otherLoadCost
	if c.freeWeights >= required {
		return option{candidate: c, cost: c.load*otherLoadCost + loadingCost}, true
	}
	for _, v := range c.victims {
		if c.freeWeights+v.weights < required || replicas[v.name].serving < 2 {
			continue
		}
		cost := v.newLoad + (c.load-v.load)*otherLoadCost + loadingCost + retireNotice.Seconds()*delayCost
		if v.inUse {
			cost += unloadDrainTime.Seconds() * delayCost
		}
		return option{candidate: c, victim: v.name, victimNewLoad: v.newLoad, cost: cost}, true
	}
	return option{}, false
}
