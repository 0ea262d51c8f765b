package residency

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that can take an order for a model now.
type candidate struct {
	engine  *engine
	room    float64  // megabytes
	load    float64  // of its models, in parts of an engine
	victims []victim // in ascending order of their loss
	taken   bool
}

// victim is a model that an engine can give up because others serve it too.
type victim struct {
	name    string
	weights float64 // megabytes
	loss    float64 // load of the replicas that are left
	load    float64 // of this replica
	runs    bool    // it is in use, so that unloading waits for its requests
}

// candidates returns the engines that can take a model now. What they offer is computed once for all models that want
// a place: with 145 engines and 242 models the search takes the holder's processor otherwise.
func (p *Planner) candidates(now time.Duration, replicas map[string]replica) []*candidate {
	var list []*candidate
	for _, id := range p.names {
		e := p.engines[id]
		if e.Leaving || e.busy() || !e.synced || now < e.retry || e.target != "" {
			continue
		}
		c := &candidate{engine: e, room: p.room(e)}
		for name := range e.models {
			r := replicas[name]
			load := r.load(r.serving)
			c.load += load
			if r.serving >= 2 {
				c.victims = append(c.victims, victim{
					name:    name,
					weights: p.spec.Engine.Models[name].Weights,
					loss:    r.load(r.serving - 1),
					load:    load,
					runs:    r.demand > inUse,
				})
			}
		}
		slices.SortFunc(c.victims, func(a, b victim) int { return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.name, b.name)) })
		list = append(list, c)
	}
	return list
}

// move is a way to give a model another replica.
type move struct {
	to     *candidate
	victim string // model that must be unloaded first; empty when there is room
	loss   float64
	price  float64
}

// grow gives a model another replica, if that pays. It returns the order when the model can be loaded at once.
func (p *Planner) grow(now time.Duration, model string, replicas map[string]replica, free []*candidate) (Order, bool) {
	r := replicas[model]
	if r.count > 0 && r.load(r.count)-r.load(r.count+1) < leastGain {
		return Order{}, false
	}
	best, found := move{}, false
	for _, c := range free {
		if c.taken || c.engine.models[model] != nil {
			continue
		}
		m, possible := p.moveTo(c, model, replicas)
		if possible && (!found || m.price < best.price) {
			best, found = m, true
		}
	}
	if !found {
		return Order{}, false
	}
	gain := r.load(r.count) - max(r.load(r.count+1), best.loss)
	if r.count > 0 && gain < leastGain {
		return Order{}, false
	}
	e := best.to.engine
	best.to.taken, e.target = true, model
	r.count++
	replicas[model] = r
	if best.victim == "" {
		return p.load(e)
	}
	e.retiring, e.retired = best.victim, now
	left := replicas[best.victim]
	left.count, left.serving = left.count-1, left.serving-1
	replicas[best.victim] = left
	return Order{}, false
}

// moveTo returns how an engine can take a model. A victim may have been given up elsewhere since the candidates were
// listed, so that its replicas are counted again.
func (p *Planner) moveTo(c *candidate, model string, replicas map[string]replica) (move, bool) {
	need := p.spec.Engine.Models[model].Weights
	waiting := p.loadTime(c.engine, model).Seconds() * timePrice
	if c.room >= need {
		return move{to: c, price: c.load*loadPrice + waiting}, true
	}
	for _, v := range c.victims {
		if c.room+v.weights < need || replicas[v.name].serving < 2 {
			continue
		}
		price := v.loss + (c.load-v.load)*loadPrice + waiting + retireTime.Seconds()*timePrice
		if v.runs {
			price += drainTime.Seconds() * timePrice
		}
		return move{to: c, victim: v.name, loss: v.loss, price: price}, true
	}
	return move{}, false
}
