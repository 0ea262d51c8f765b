package residency

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
)

const (
	// unknownUse is the age that the last use of an adapter gets when it isn't known.
	unknownUse = 10 * time.Second
	// demandLife is the time over which demand is averaged; it moves within seconds.
	demandLife = 2500 * time.Millisecond
	// engineRate is the prompt tokens a second that an engine serves within its callers' goals.
	engineRate = 9_000.0
	// leastGain is the least improvement, in parts of an engine, for which a model is moved.
	leastGain = 0.15
	// orderRetry is the wait after an order that was not accepted.
	orderRetry = 300 * time.Millisecond
	// reportRetry is the wait between two reports of one engine.
	reportRetry = 250 * time.Millisecond
	// loadBurst is how many loads may begin at once; the weight store allows a few above its rate.
	loadBurst = 3.0
	// orderTime and adapterRate estimate how long an adapter takes after its order was accepted; the rate is in
	// megabytes a second.
	orderTime   = 4 * time.Millisecond
	adapterRate = 3_500.0
	// registrationLag is how long after an order a registration may still show what was before it.
	registrationLag = 2 * time.Second
	// retireTime is how long before its unloading hosts are told not to use a model; they ask several times in it.
	retireTime = 300 * time.Millisecond
	// timePrice is what a second without the replica costs, in parts of an engine.
	timePrice = 0.2
	// loadPrice is the weight of an engine's other work.
	loadPrice = 0.7
	// settleTime is how long a planner waits after settleShare of its engines appeared at once before it loads models,
	// if the registry became known less than startTime ago: engines that start together register one after the other.
	settleTime  = 2 * time.Second
	settleShare = 0.1
	startTime   = 10 * time.Second
	// placePeriod is the least time between two looks at the models, just below the holder's period, so that it looks at
	// them each time but not after each order. The search for places takes a millisecond in the largest
	// pool, and a holder has 0.4 of a core.
	placePeriod = 90 * time.Millisecond
	// inUse is the demand above which a model counts as in use, in prompt tokens a second. Unloading it waits for its
	// requests, about drainTime.
	inUse     = 400.0
	drainTime = 2 * time.Second
	// reportLag is how far a report may lag behind what the engine holds.
	reportLag = 500 * time.Millisecond
	// patience is the longest time for which a model load or unload is believed to be under way.
	patience = 30 * time.Second
)

// Planner places the models of one pool. It is not safe for concurrent use.
type Planner struct {
	spec    catalog.Pool
	engines map[string]*engine
	names   []string // of engines, ascending
	demand  map[string]float64
	at      time.Duration // of demand
	tokens  float64       // loads from the weight store that may begin
	filled  time.Duration
	settled []Settled
	placed  time.Duration // last look at the models
	started time.Duration // when the registry became known
	grown   time.Duration // last time at which many engines had just appeared
}

// New returns a planner that knows no engine. The host has followed the registry since known.
func New(now, known time.Duration) *Planner {
	return &Planner{engines: map[string]*engine{}, demand: map[string]float64{}, at: now, filled: now, placed: now - placePeriod, started: known, grown: known}
}

// SetPool takes the pool's configuration.
func (p *Planner) SetPool(spec catalog.Pool) { p.spec = spec }

// SetEndpoints takes the registrations of the pool's engines.
func (p *Planner) SetEndpoints(now time.Duration, list []directory.Endpoint) {
	present := make(map[string]bool, len(list))
	p.names = p.names[:0]
	appeared := 0
	for _, d := range list {
		present[d.ID] = true
		e := p.engines[d.ID]
		if e == nil || !e.Same(d) {
			p.lose(e)
			e = newEngine(d)
			appeared++
			p.engines[d.ID] = e
			e.adopt(now, modelsOf(d))
		}
		p.refresh(now, e, d)
		p.names = append(p.names, d.ID)
	}
	if float64(appeared) > settleShare*float64(len(list)) {
		p.grown = now
	}
	for id, e := range p.engines {
		if !present[id] {
			p.lose(e)
			delete(p.engines, id)
		}
	}
	slices.Sort(p.names)
}

// refresh takes a registration of a known process. Registrations lag behind orders: they show that a load is
// complete, and one that differs from what is known, though the last order is long past, makes the planner ask for a
// report. What an engine holds is never taken from a registration, which may be older than the last report.
func (p *Planner) refresh(now time.Duration, e *engine, d directory.Endpoint) {
	e.Endpoint = d
	models := modelsOf(d)
	if e.loading != "" && slices.ContainsFunc(models, func(m Model) bool { return m.Name == e.loading }) {
		e.models[e.loading] = &holding{adapters: map[string]time.Duration{}}
		e.loading, e.since = "", now
	}
	if e.current == nil && d.Seen > e.checked && d.Seen-e.since > registrationLag && !e.holdsExactly(models) {
		e.checked = d.Seen
		e.synced = false
	}
}

func modelsOf(d directory.Endpoint) []Model {
	list := make([]Model, 0, len(d.Models))
	for _, m := range d.Models {
		list = append(list, Model{Name: m.Name, Adapters: m.Adapters})
	}
	return list
}

// lose settles the tickets of an engine that is gone.
func (p *Planner) lose(e *engine) {
	if e == nil {
		return
	}
	for _, t := range e.wanted {
		p.settled = append(p.settled, Settled{Ticket: t})
	}
	e.wanted = nil
}

// AddDemand adds prompt tokens that callers asked of models.
func (p *Planner) AddDemand(now time.Duration, tokens map[string]float64) {
	p.decay(now)
	for model, n := range tokens {
		p.demand[model] += n / demandLife.Seconds()
	}
}

func (p *Planner) decay(now time.Duration) {
	left := max(1-(now-p.at).Seconds()/demandLife.Seconds(), 0)
	p.at = now
	for model := range p.demand {
		p.demand[model] *= left
	}
}

// Used notes that an adapter is in use.
func (p *Planner) Used(now time.Duration, endpoint, model, adapter string) {
	e := p.engines[endpoint]
	if e == nil || e.models[model] == nil {
		return
	}
	if _, held := e.models[model].adapters[adapter]; held {
		e.models[model].adapters[adapter] = now
	}
}

// Want takes a wish for an adapter; Settled tells the outcome.
func (p *Planner) Want(now time.Duration, t Ticket) {
	e := p.engines[t.Endpoint]
	switch {
	case e == nil || e.Leaving || e.models[t.Model] == nil || e.leaving == t.Model || e.retiring == t.Model:
		p.settled = append(p.settled, Settled{Ticket: t})
	case e.holdsAdapter(t):
		e.models[t.Model].adapters[t.Adapter] = now
		p.settled = append(p.settled, Settled{Ticket: t, Loaded: true})
	case e.loads(now):
		p.settled = append(p.settled, Settled{Ticket: t})
	default:
		e.wanted = append(e.wanted, t)
	}
}

func (e *engine) holdsAdapter(t Ticket) bool {
	h := e.models[t.Model]
	if h == nil {
		return false
	}
	_, held := h.adapters[t.Adapter]
	return held
}

// Notices returns what hosts must know of engines, by their ids.
func (p *Planner) Notices(now time.Duration) map[string]Notice {
	notices := map[string]Notice{}
	for _, id := range p.names {
		e := p.engines[id]
		if n := (Notice{Retiring: cmp.Or(e.retiring, e.leaving), Loading: e.loads(now)}); n != (Notice{}) {
			notices[id] = n
		}
	}
	return notices
}

// Settled returns, once, the tickets whose outcome is known.
func (p *Planner) Settled() []Settled {
	out := p.settled
	p.settled = nil
	return out
}

// Reports returns the engines that must be asked for a report before they can get an order.
func (p *Planner) Reports(now time.Duration) []directory.Endpoint {
	var list []directory.Endpoint
	for _, id := range p.names {
		e := p.engines[id]
		stuck := (e.loading != "" || e.leaving != "") && now-e.since > reportLag
		if e.current != nil || e.Leaving || e.synced && !stuck || now-e.asked < reportRetry || now-e.since < reportLag {
			continue
		}
		e.asked = now
		list = append(list, e.Endpoint)
	}
	return list
}

// Report takes an engine's report. One that was asked for too soon after the last order changes nothing, because
// reports lag.
func (p *Planner) Report(now time.Duration, endpoint string, r Report) {
	e := p.engines[endpoint]
	if e == nil || e.current != nil || r.Born != 0 && r.Born != e.Born || r.Asked-e.since < reportLag {
		return
	}
	if r.Sequence < e.sequence {
		return
	}
	e.sequence = r.Sequence
	e.synced = !r.Active || e.loading != "" || e.leaving != ""
	if r.Pending == 0 {
		e.adopt(now, r.Models)
	}
	if !r.Active {
		e.loading, e.leaving = "", ""
	}
}

// Next returns the orders that are due. Each must be answered with Done.
func (p *Planner) Next(now time.Duration) []Order {
	if p.spec.Engine == nil {
		return nil
	}
	var orders []Order
	for _, id := range p.names {
		if o, due := p.adapterOrder(now, p.engines[id]); due {
			orders = append(orders, o)
		}
	}
	return append(orders, p.modelOrders(now)...)
}

// begin marks an order as under way.
func (e *engine) begin(o Order) Order {
	o.Endpoint, o.Address, o.Born, o.Expected = e.ID, e.Address, e.Born, e.sequence
	e.current = &o
	return o
}

// Done takes the result of an order.
func (p *Planner) Done(now time.Duration, o Order, result Result) {
	e := p.engines[o.Endpoint]
	if e == nil || e.current == nil || *e.current != o {
		return
	}
	e.current = nil
	switch result {
	case Accepted:
		e.sequence++
		p.apply(now, e, o)
	case Held:
		if o.Kind == UnloadAdapter {
			e.sequence++ // an adapter that no request uses is gone at once
		}
		p.apply(now, e, o)
	case Conflict, Denied:
		e.synced = false
		e.retry = now + orderRetry
		p.drop(e, o)
	case Unanswered:
		// The order may take effect later if the engine accepts no other before. The same order is sent again.
		e.retry = now + orderRetry
		e.sent = true
		e.current = &o
		p.drop(e, o)
	}
}

// apply records the effect of an order that was accepted.
func (p *Planner) apply(now time.Duration, e *engine, o Order) {
	e.since = now
	switch o.Kind {
	case LoadModel:
		e.loading, e.target = o.Model, ""
		e.until = now + p.loadTime(e, o.Model)
	case UnloadModel:
		e.leaving = o.Model
		e.retiring = ""
		delete(e.models, o.Model)
	case LoadAdapter:
		if h := e.models[o.Model]; h != nil {
			h.adapters[o.Adapter] = now
		}
		p.settle(e, o, true)
	case UnloadAdapter:
		if h := e.models[o.Model]; h != nil {
			delete(h.adapters, o.Adapter)
		}
	}
}

// drop gives up what an order that failed was for: tickets of an adapter, or the load of a model, which is decided
// anew.
func (p *Planner) drop(e *engine, o Order) {
	switch o.Kind {
	case LoadAdapter:
		p.settle(e, o, false)
	case LoadModel:
		e.target = ""
	case UnloadModel, UnloadAdapter:
	}
}

func (p *Planner) settle(e *engine, o Order, loaded bool) {
	kept := e.wanted[:0]
	for _, t := range e.wanted {
		if t.Model != o.Model || t.Adapter != o.Adapter {
			kept = append(kept, t)
			continue
		}
		p.settled = append(p.settled, Settled{Ticket: t, Loaded: loaded, Delay: p.adapterTime(o.Model)})
	}
	e.wanted = kept
}

// adapterTime estimates how long an adapter takes after its order was accepted.
func (p *Planner) adapterTime(model string) time.Duration {
	size := p.spec.Engine.Models[model].Adapter
	return orderTime + time.Duration(size/adapterRate*float64(time.Second))
}

// adapterOrder returns the order for the adapter that an engine's callers have wanted longest.
func (p *Planner) adapterOrder(now time.Duration, e *engine) (Order, bool) {
	if e.current != nil && e.sent && now >= e.retry {
		e.sent = false
		return *e.current, true
	}
	if len(e.wanted) == 0 || e.current != nil || now < e.retry || e.Leaving || !e.synced {
		return Order{}, false
	}
	t := e.wanted[0]
	if e.loads(now) || e.models[t.Model] == nil {
		e.wanted = e.wanted[1:]
		p.settled = append(p.settled, Settled{Ticket: t})
		return Order{}, false
	}
	if e.adapters() >= p.spec.Engine.Adapters {
		return p.evictAdapter(e)
	}
	return e.begin(Order{Kind: LoadAdapter, Model: t.Model, Adapter: t.Adapter, Why: "asked for"}), true
}

// evictAdapter returns the order that unloads the adapter that was used least recently.
func (p *Planner) evictAdapter(e *engine) (Order, bool) {
	model, adapter, oldest := "", "", time.Duration(0)
	for m, h := range e.models {
		for a, used := range h.adapters {
			if adapter == "" || cmp.Or(cmp.Compare(used, oldest), cmp.Compare(m, model), cmp.Compare(a, adapter)) < 0 {
				model, adapter, oldest = m, a, used
			}
		}
	}
	if adapter == "" {
		return Order{}, false
	}
	return e.begin(Order{Kind: UnloadAdapter, Model: model, Adapter: adapter, Why: "least recently used"}), true
}
