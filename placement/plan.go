package placement

import (
	"time"

	"magnoliahoist/pool"
)

// plan is the state of one planning pass over the pool.
type plan struct {
	*Manager
	now           time.Duration
	orders        []Order
	modelLoads    int                  // model loads in flight
	adapterLoads  int                  // adapter loads in flight
	claimedMemory map[string]int64     // bytes by endpoint, for models that wait for unloads
	replicas      map[string]*replicas // by model
}

// replicas lists the available endpoints that hold or load a model.
type replicas struct {
	current       []*ledger // serve the table's version
	otherVersions []*ledger // serve another version
	loading       []*ledger // expected to load the table's version
}

// Plan returns the orders to record and send now. It returns none after an endpoint has reported a higher fencing number.
func (m *Manager) Plan(now time.Duration) []Order {
	if m.superseded {
		return nil
	}
	m.loadLimiter.refill(now, m.settings.ModelLoadRate)
	p := &plan{Manager: m, now: now, claimedMemory: make(map[string]int64), replicas: make(map[string]*replicas)}
	p.countReplicas()
	p.announceFencingNumber()
	p.resendOrders()
	if !p.placeModels() {
		p.unloadSurplus()
		p.placeAdapters()
	}
	return p.orders
}

// available reports whether the endpoint is in the table, has reported recently and isn't leaving.
func (p *plan) available(l *ledger) bool {
	return l.inTable && l.reported && !l.leaving && p.now-l.reportRequestedAt < p.settings.SilenceTimeout
}

// acceptsOrder reports whether the endpoint may get another order now. An endpoint that ignores fencing numbers gets none while
// an order has no known result.
func (p *plan) acceptsOrder(l *ledger) bool {
	limit := 1
	if l.ChecksFencing {
		limit = p.settings.MaxOpenOrders
	}
	return p.available(l) && l.openOrders() < limit && p.now >= l.retryAt
}

// countReplicas finds the replicas of every model and the loads in flight.
func (p *plan) countReplicas() {
	for _, model := range p.pool.Models {
		p.replicas[model.Name] = &replicas{}
	}
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		for _, o := range l.orders {
			if o.Kind == Load && !o.hasResult && !o.requestEnded {
				p.addLoadInFlight(o.Item())
			}
		}
		if !p.available(l) {
			continue
		}
		for _, model := range p.pool.Models {
			p.addReplicas(l, model)
		}
	}
}

// addReplicas adds the endpoint to the replicas of the model.
func (p *plan) addReplicas(l *ledger, model pool.Model) {
	r, item := p.replicas[model.Name], tableItem(model)
	switch {
	case l.serves(item):
		r.current = append(r.current, l)
	case l.loadExpected(p.now, p.settings.LoadTimeout, item):
		r.loading = append(r.loading, l)
	}
	for held := range l.resident {
		if held.Model == model.Name && held.Adapter == "" && held != item && l.serves(held) {
			r.otherVersions = append(r.otherVersions, l)
			break
		}
	}
}

// addLoadInFlight counts the item's load among those in flight.
func (p *plan) addLoadInFlight(item Item) {
	if item.Adapter == "" {
		p.modelLoads++
	} else {
		p.adapterLoads++
	}
}

// tableItem returns the model in the table's version.
func tableItem(model pool.Model) Item { return Item{Model: model.Name, Version: model.Version} }

// announceFencingNumber sends a Role order to the endpoints that check fencing numbers and have not confirmed the manager's. It does so
// however many orders they have, because the confirmation settles the orders with lower numbers.
func (p *plan) announceFencingNumber() {
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !l.ChecksFencing || l.fencingNumberConfirmed || !p.available(l) || l.hasOpenOrder(Role) {
			continue
		}
		p.orders = append(p.orders, p.newOrder(p.now, l, Role, Item{}, 0))
	}
}

// hasOpenOrder reports whether an order of this kind that this manager issued has no result.
func (l *ledger) hasOpenOrder(kind Kind) bool {
	for _, o := range l.orders {
		if o.Kind == kind && !o.inherited && !o.hasResult {
			return true
		}
	}
	return false
}

// resendOrders sends orders without a result again under the same id, since an endpoint that never received an order never
// reports it. An unload is not sent again while its item isn't removable.
func (p *plan) resendOrders() {
	for _, name := range p.endpoints {
		l := p.ledgers[name]
		if !p.available(l) {
			continue
		}
		for _, o := range l.orders {
			if o.hasResult || !o.requestEnded || p.now-o.requestEndedAt < p.settings.ResendDelay || o.inherited && l.ChecksFencing {
				continue
			}
			if o.Kind == Unload && !p.removable(l, o.Item()) {
				continue
			}
			o.FencingNumber, o.requestEnded, o.inherited = p.fencingNumber, false, false
			p.orders = append(p.orders, o.Order)
		}
	}
}

// issueLoad issues a load and returns true if the limits on model or adapter loads allow it.
func (p *plan) issueLoad(l *ledger, item Item, memory int64) bool {
	if item.Adapter == "" {
		if p.modelLoads >= p.settings.MaxModelLoads || p.loadLimiter.tokens < 1 {
			return false
		}
		p.loadLimiter.tokens--
	} else if p.adapterLoads >= p.settings.MaxAdapterLoads {
		return false
	}
	p.addLoadInFlight(item)
	p.orders = append(p.orders, p.newOrder(p.now, l, Load, item, memory))
	return true
}
