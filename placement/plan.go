package placement

import (
	"time"

	"magnoliahoist/pool"
)

// plan is one pass over the pool.
type plan struct {
	*Manager
	now      time.Duration
	orders   []Order
	models   int // model loads in flight
	adapters int // adapter loads in flight
	claims   map[string]int64
	replicas map[string]*replicas
}

// replicas are the endpoints of a model; those that are leaving or silent do not count.
type replicas struct {
	current []*ledger // resident in the table's version
	former  []*ledger // resident in another version
	coming  []*ledger
}

// Plan returns the orders to record and send now.
func (m *Manager) Plan(now time.Duration) []Order {
	if m.superseded {
		return nil
	}
	m.weights.refill(now, m.settings.WeightRate)
	p := &plan{Manager: m, now: now, claims: make(map[string]int64), replicas: make(map[string]*replicas)}
	p.count()
	p.announce()
	p.resend()
	if !p.place() {
		p.trim()
		p.placeAdapters()
	}
	return p.orders
}

// usable reports whether the endpoint serves: it is in the table, reports and is not leaving.
func (p *plan) usable(l *ledger) bool {
	return l.present && l.reported && !l.leaving && p.now-l.asked < p.settings.Silence
}

// ready reports whether the endpoint takes another order. One that ignores
// fencing numbers takes none while an order has no known result.
func (p *plan) ready(l *ledger) bool {
	limit := 1
	if l.Fenced {
		limit = p.settings.Outstanding
	}
	return p.usable(l) && l.unknown() < limit && p.now >= l.retryAt
}

// count finds the replicas of every model and the loads in flight.
func (p *plan) count() {
	for _, model := range p.pool.Models {
		p.replicas[model.Name] = &replicas{}
	}
	for _, name := range p.names {
		l := p.ledgers[name]
		for _, o := range l.orders {
			if o.Kind == Load && !o.known && !o.ended {
				p.countLoad(o.Item())
			}
		}
		if !p.usable(l) {
			continue
		}
		for _, model := range p.pool.Models {
			p.countModel(l, model)
		}
	}
}

func (p *plan) countModel(l *ledger, model pool.Model) {
	r, item := p.replicas[model.Name], current(model)
	switch {
	case l.holds(item):
		r.current = append(r.current, l)
	case l.coming(p.now, p.settings.LoadLimit, item):
		r.coming = append(r.coming, l)
	}
	for held := range l.resident {
		if held.Model == model.Name && held.Adapter == "" && held != item && l.holds(held) {
			r.former = append(r.former, l)
			break
		}
	}
}

func (p *plan) countLoad(item Item) {
	if item.Adapter == "" {
		p.models++
	} else {
		p.adapters++
	}
}

func current(model pool.Model) Item { return Item{Model: model.Name, Version: model.Version} }

// announce sends the fencing number to endpoints that check it and have not
// confirmed it, however many orders they have: the confirmation settles those of earlier numbers.
func (p *plan) announce() {
	for _, name := range p.names {
		l := p.ledgers[name]
		if !l.Fenced || l.confirmed || !p.usable(l) || l.pending(Role) {
			continue
		}
		p.orders = append(p.orders, p.issue(p.now, l, Role, Item{}, 0))
	}
}

func (l *ledger) pending(kind Kind) bool {
	for _, o := range l.orders {
		if o.Kind == kind && !o.old && !o.known {
			return true
		}
	}
	return false
}

// resend repeats orders without a result under their id, since an endpoint
// that never received one never reports it. An unload is not repeated while its model has no other replica.
func (p *plan) resend() {
	for _, name := range p.names {
		l := p.ledgers[name]
		if !p.usable(l) {
			continue
		}
		for _, o := range l.orders {
			if o.known || !o.ended || p.now-o.endedAt < p.settings.Resend || o.old && l.Fenced {
				continue
			}
			if o.Kind == Unload && !p.spare(l, o.Item()) {
				continue
			}
			o.Fence, o.ended, o.old = p.number, false, false
			p.orders = append(p.orders, o.Order)
		}
	}
}

// load issues a load if the weight store or the adapter limit allows.
func (p *plan) load(l *ledger, item Item, memory int64) bool {
	if item.Adapter == "" {
		if p.models >= p.settings.WeightFull || p.weights.tokens < 1 {
			return false
		}
		p.weights.tokens--
	} else if p.adapters >= p.settings.AdapterKnee {
		return false
	}
	p.countLoad(item)
	p.orders = append(p.orders, p.issue(p.now, l, Load, item, memory))
	return true
}
