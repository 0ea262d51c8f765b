package residency

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
)

const (
	// unknownUseAge is the assumed age of an adapter's last use when that use isn't known.
	unknownUseAge = 10 * time.Second
	// demandWindow is the time over which demand is averaged. It is short because demand shifts between models within
	// seconds.
	demandWindow = 2500 * time.Millisecond
	// engineCapacity is how many prompt tokens per second an engine serves within its callers' latency goals.
	engineCapacity = 9_000.0
	// minGain is the smallest decrease in load per replica that justifies another replica, as a fraction of an engine's
	// capacity.
	minGain = 0.15
	// orderRetryDelay is how long an engine gets no order after one that it did not accept.
	orderRetryDelay = 300 * time.Millisecond
	// reportInterval is the minimum time between two report requests to one engine.
	reportInterval = 250 * time.Millisecond
	// maxReports is how many reports are requested per reportInterval.
	maxReports = 40
	// loadBurst is how many loads from the weight store may begin at once: the store tolerates a few above its rate.
	loadBurst = 3.0
	// adapterLoadLatency and adapterLoadRate estimate how long an adapter takes to load after the engine has accepted the
	// order. The rate is in megabytes per second.
	adapterLoadLatency = 4 * time.Millisecond
	adapterLoadRate    = 3_500.0
	// registrationLag is how long after an order a registration may still show the engine's previous models and adapters.
	registrationLag = 2 * time.Second
	// retireNotice is how long hosts are told not to use a model before it is unloaded. Each host fetches the notices
	// several times within it.
	retireNotice = 300 * time.Millisecond
	// delayCost is the cost of each second until a new replica serves, as a fraction of an engine's capacity.
	delayCost = 0.2
	// otherLoadCost is the factor by which the load of an engine's other models adds to the cost of placing a replica
	// there.
	otherLoadCost = 0.7
	// surgeWait is how long the planner places no new replicas after more than surgeShare of the pool's engines appeared
	// in one update, if the host began to follow the registry less than startupPeriod ago. Engines that start together
	// register one after the other.
	surgeWait     = 2 * time.Second
	surgeShare    = 0.1
	startupPeriod = 10 * time.Second
	// placementInterval is the minimum time between two placement passes. It is just below the lease holder's planning
	// period, so that there is a pass in each period but not after each order. A pass takes a millisecond in the largest
	// pool, and the lease holder has 0.4 of a core.
	placementInterval = 90 * time.Millisecond
	// inUseDemand is the demand above which a model counts as in use, in prompt tokens per second. Unloading a model in
	// use waits for its requests to end, which takes about unloadDrainTime.
	inUseDemand     = 400.0
	unloadDrainTime = 2 * time.Second
	// reportLag is how old the contents of a report may be.
	reportLag = 500 * time.Millisecond
	// modelChangeTimeout is how long a model load or unload is assumed to be under way at most.
	modelChangeTimeout = 30 * time.Second
)

// Planner decides which engines of one pool load and unload which models and adapters. It is not safe for concurrent use.
type Planner struct {
	pool            catalog.Pool
	engines         map[string]*engine
	ids             []string           // of engines, in ascending order
	demand          map[string]float64 // prompt tokens per second by model, averaged over demandWindow
	demandAt        time.Duration      // when demand was last decayed
	loadTokens      float64            // loads from the weight store that may begin now
	refilledAt      time.Duration      // when loadTokens was last refilled
	outcomes        []AdapterOutcome
	unserved        map[adapterKey]time.Duration // adapters that callers asked for and that no engine could load, with the time of the last request
	placedAt        time.Duration                // last placement pass
	registryKnownAt time.Duration                // when the host began to follow the registry
	lastSurge       time.Duration                // last update in which more than surgeShare of the engines appeared
}

// New returns a planner without engines. The host has followed the registry since registryKnownAt.
func New(now, registryKnownAt time.Duration) *Planner {
	return &Planner{engines: map[string]*engine{}, demand: map[string]float64{}, unserved: map[adapterKey]time.Duration{}, demandAt: now, refilledAt: now, placedAt: now - placementInterval, registryKnownAt: registryKnownAt, lastSurge: registryKnownAt}
}

// SetPool replaces the pool's configuration.
func (p *Planner) SetPool(pool catalog.Pool) { p.pool = pool }

// SetEndpoints replaces the registrations of the pool's engines. Adapter requests to engines that are gone or have
// restarted fail.
func (p *Planner) SetEndpoints(now time.Duration, registrations []directory.Endpoint) {
	present := make(map[string]bool, len(registrations))
	p.ids = p.ids[:0]
	appeared := 0
	for _, registration := range registrations {
		present[registration.ID] = true
		e := p.engines[registration.ID]
		if e == nil || !e.SameProcess(registration) {
			p.failRequests(e)
			e = newEngine(registration)
			appeared++
			p.engines[registration.ID] = e
			e.setModels(now, modelsOf(registration))
		}
		p.updateRegistration(now, e, registration)
		p.ids = append(p.ids, registration.ID)
	}
	if float64(appeared) > surgeShare*float64(len(registrations)) {
		p.lastSurge = now
	}
	for id, e := range p.engines {
		if !present[id] {
			p.failRequests(e)
			delete(p.engines, id)
		}
	}
	slices.Sort(p.ids)
}

// SetSlowness sets the slowness of the engines as hosts have measured it. Those that are not listed keep theirs.
func (p *Planner) SetSlowness(slowness map[string]float64) {
	for id, value := range slowness {
		if e := p.engines[id]; e != nil {
			e.slowness = value
		}
	}
}

// updateRegistration applies a registration of a known engine process. Registrations lag behind orders. If one shows the
// model that is being loaded, the load is complete. If one still differs from the planner's state registrationLag after
// the last change, the planner requests a report. Nothing else that a known process holds is taken from a registration,
// which may be older than the last report.
func (p *Planner) updateRegistration(now time.Duration, e *engine, registration directory.Endpoint) {
	e.Endpoint = registration
	if e.Evacuated && e.inFlight == nil {
		e.nextModel, e.retiring = "", ""
	}
	models := modelsOf(registration)
	if e.loading != "" && slices.ContainsFunc(models, func(m Model) bool { return m.Name == e.loading }) {
		e.models[e.loading] = &residentModel{lastUse: map[string]time.Duration{}}
		e.loading, e.lastChange = "", now
	}
	if e.inFlight == nil && registration.ReceivedAt > e.checkedRegistration && registration.ReceivedAt-e.lastChange > registrationLag && !e.holdsExactly(models) {
		e.checkedRegistration = registration.ReceivedAt
		e.synced = false
	}
}

// modelsOf returns the models and adapters that a registration lists.
func modelsOf(d directory.Endpoint) []Model {
	list := make([]Model, 0, len(d.Models))
	for _, m := range d.Models {
		list = append(list, Model{Name: m.Name, Adapters: m.Adapters})
	}
	return list
}

// failRequests fails the adapter requests to an engine that is gone; e may be nil.
func (p *Planner) failRequests(e *engine) {
	if e == nil {
		return
	}
	for _, request := range e.requests {
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request})
	}
	e.requests = nil
}

// AddDemand adds the prompt tokens that callers have sent to each model since they were last added.
func (p *Planner) AddDemand(now time.Duration, tokens map[string]float64) {
	p.decayDemand(now)
	for model, n := range tokens {
		p.demand[model] += n / demandWindow.Seconds()
	}
}

// decayDemand reduces the demand of all models by the time since the last decay.
func (p *Planner) decayDemand(now time.Duration) {
	remaining := max(1-(now-p.demandAt).Seconds()/demandWindow.Seconds(), 0)
	p.demandAt = now
	for model := range p.demand {
		p.demand[model] *= remaining
	}
}

// RecordAdapterUse records that an adapter is in use, which postpones its eviction.
func (p *Planner) RecordAdapterUse(now time.Duration, endpoint, model, adapter string) {
	e := p.engines[endpoint]
	if e == nil || e.models[model] == nil {
		return
	}
	delete(p.unserved, adapterKey{model, adapter})
	if _, held := e.models[model].lastUse[adapter]; held {
		e.models[model].lastUse[adapter] = now
	}
}

// RequestAdapter requests that an engine load an adapter. TakeOutcomes returns the outcome.
func (p *Planner) RequestAdapter(now time.Duration, request AdapterRequest) {
	e := p.engines[request.Endpoint]
	switch {
	case e == nil || !e.TakesRequests() || e.models[request.Model] == nil || e.unloading == request.Model || e.retiring == request.Model:
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request})
	case e.holdsAdapter(request):
		e.models[request.Model].lastUse[request.Adapter] = now
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request, Loaded: true})
	case e.changingModel(now):
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request})
	default:
		e.requests = append(e.requests, request)
	}
}

// holdsAdapter reports whether the engine holds the requested adapter.
func (e *engine) holdsAdapter(request AdapterRequest) bool {
	loaded := e.models[request.Model]
	if loaded == nil {
		return false
	}
	_, held := loaded.lastUse[request.Adapter]
	return held
}

// Notices returns the notices for hosts by engine id. Engines that need no notice are left out.
func (p *Planner) Notices(now time.Duration) map[string]Notice {
	notices := map[string]Notice{}
	for _, id := range p.ids {
		e := p.engines[id]
		if n := (Notice{Retiring: cmp.Or(e.retiring, e.unloading), ChangingModel: e.changingModel(now)}); n != (Notice{}) {
			notices[id] = n
		}
	}
	return notices
}

// TakeOutcomes returns the outcomes of adapter requests since the previous call.
func (p *Planner) TakeOutcomes() []AdapterOutcome {
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}

// DueReports returns the engines to request a report from now: those whose state must be known before the next order, and
// those with a model load or unload under way. A new lease holder needs the reports of all engines; it requests maxReports
// per reportInterval, so that they don't take the processor from its other duties.
func (p *Planner) DueReports(now time.Duration) []directory.Endpoint {
	var due []*engine
	room := maxReports
	for _, id := range p.ids {
		e := p.engines[id]
		if e.reportRequestedAt > 0 && now-e.reportRequestedAt < reportInterval {
			room--
			continue
		}
		changeUnderWay := (e.loading != "" || e.unloading != "" || e.unloadingAdapters()) && now-e.lastChange > reportLag
		if e.inFlight != nil || !e.TakesRequests() || e.synced && !changeUnderWay || now-e.lastChange < reportLag {
			continue
		}
		due = append(due, e)
	}
	slices.SortStableFunc(due, func(a, b *engine) int { return cmp.Compare(a.reportRequestedAt, b.reportRequestedAt) })
	due = due[:min(len(due), max(room, 0))]
	list := make([]directory.Endpoint, 0, len(due))
	for _, e := range due {
		e.reportRequestedAt = now
		list = append(list, e.Endpoint)
	}
	return list
}

// ApplyReport applies an engine's report. Because reports lag, one that was requested less than reportLag after the last change
// is ignored. The sequence is taken over only together with all that the orders up to it have loaded: an order that expects this
// sequence is accepted on the strength of what the planner knows. It may be lower than the planner's, which counts orders that the
// engine has not counted; if the report is outdated instead, the engine refuses the next order.
func (p *Planner) ApplyReport(now time.Duration, endpoint string, r Report) {
	e := p.engines[endpoint]
	if e == nil || e.inFlight != nil || r.StartedAt != 0 && r.StartedAt != e.StartedAt || r.RequestedAt-e.lastChange < reportLag {
		return
	}
	models, complete := r.modelsWithPending()
	if !complete {
		return
	}
	if r.Sequence != e.sequence {
		e.forgetUnloads() // an order that the planner knows nothing of may have loaded them again
	}
	e.sequence = r.Sequence
	e.synced = !r.Active || e.loading != "" || e.unloading != ""
	e.setModels(now, models)
	if !r.Active {
		e.loading, e.unloading = "", ""
	}
}

// DueOrders returns the orders to send now. The caller must pass the result of each to ApplyResult.
func (p *Planner) DueOrders(now time.Duration) []Order {
	if p.pool.Engine == nil {
		return nil
	}
	var orders []Order
	for _, id := range p.ids {
		if o, due := p.nextAdapterOrder(now, p.engines[id]); due {
			orders = append(orders, o)
		}
	}
	return append(orders, p.modelOrders(now)...)
}

// startOrder marks an order as in flight and returns it with the engine's address, process and sequence number.
func (e *engine) startOrder(o Order) Order {
	o.Endpoint, o.Address, o.EndpointStartedAt, o.ExpectedSequence = e.ID, e.Address, e.StartedAt, e.sequence
	e.inFlight = &o
	return o
}

// ApplyResult applies the result of an order that DueOrders returned.
func (p *Planner) ApplyResult(now time.Duration, o Order, result Result) {
	e := p.engines[o.Endpoint]
	if e == nil || e.inFlight == nil || *e.inFlight != o {
		return
	}
	if e.unanswered && (result == Conflict || result == Denied) {
		e.givenUp = &o
	}
	e.inFlight, e.unanswered = nil, result == Unanswered
	switch result {
	case Accepted:
		e.sequence++
		p.apply(now, e, o)
	case AlreadyDone:
		p.apply(now, e, o)
		if o.Kind == UnloadAdapter {
			e.sequence++ // the engine unloaded at once an adapter that no request uses, and counts the order
			if e.givenUp != nil && e.givenUp.ExpectedSequence == o.ExpectedSequence {
				e.synced = false // if the engine did not hold the adapter, it has not counted the order
			}
			if loaded := e.models[o.Model]; loaded != nil {
				delete(loaded.unloading, o.Adapter)
			}
		}
	case Conflict, Denied:
		e.synced = false
		e.retryAt = now + orderRetryDelay
		p.abandon(e, o)
	case Unanswered:
		// The order may still take effect until the engine accepts another one. The same order is sent again, so that at
		// most one of the two takes effect.
		e.retryAt = now + orderRetryDelay
		e.resend = true
		e.inFlight = &o
		p.abandon(e, o)
	}
}

// apply records the effect of an order that the engine accepted or had already carried out.
func (p *Planner) apply(now time.Duration, e *engine, o Order) {
	e.lastChange = now
	switch o.Kind {
	case LoadModel:
		e.loading, e.nextModel = o.Model, ""
		e.loadEnd = now + p.loadTime(e, o.Model)
	case UnloadModel:
		e.unloading = o.Model
		e.retiring = ""
		delete(e.models, o.Model)
	case LoadAdapter:
		if loaded := e.models[o.Model]; loaded != nil {
			loaded.lastUse[o.Adapter] = now
		}
		delete(p.unserved, adapterKey{o.Model, o.Adapter})
		p.settleRequests(e, o, true)
	case UnloadAdapter:
		if loaded := e.models[o.Model]; loaded != nil {
			loaded.beginUnload(o.Adapter)
		}
	}
}

// abandon gives up the purpose of an order that failed: it fails the requests for the adapter, or cancels the model load,
// which the next placement pass decides again.
func (p *Planner) abandon(e *engine, o Order) {
	switch o.Kind {
	case LoadAdapter:
		p.settleRequests(e, o, false)
	case LoadModel:
		e.nextModel = ""
	case UnloadModel, UnloadAdapter:
	}
}

// settleRequests moves the requests for the order's adapter to the outcomes.
func (p *Planner) settleRequests(e *engine, o Order, loaded bool) {
	remaining := e.requests[:0]
	for _, request := range e.requests {
		if request.Model != o.Model || request.Adapter != o.Adapter {
			remaining = append(remaining, request)
			continue
		}
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request, Loaded: loaded, Delay: p.adapterLoadTime(o.Model)})
	}
	e.requests = remaining
}

// adapterLoadTime estimates how long an adapter of the model takes to load after the engine has accepted the order.
func (p *Planner) adapterLoadTime(model string) time.Duration {
	size := p.pool.Engine.Models[model].AdapterMB
	return adapterLoadLatency + time.Duration(size/adapterLoadRate*float64(time.Second))
}

// nextAdapterOrder returns the order due for an engine: the order without a response again, whatever its kind, or an order
// for the oldest adapter request.
func (p *Planner) nextAdapterOrder(now time.Duration, e *engine) (Order, bool) {
	if e.inFlight != nil && e.resend && now >= e.retryAt && !e.Evacuated {
		e.resend = false
		return *e.inFlight, true
	}
	if len(e.requests) == 0 || e.inFlight != nil || now < e.retryAt || !e.TakesRequests() || !e.synced {
		return Order{}, false
	}
	request := e.requests[0]
	if e.changingModel(now) || e.models[request.Model] == nil {
		e.requests = e.requests[1:]
		p.outcomes = append(p.outcomes, AdapterOutcome{Request: request})
		return Order{}, false
	}
	if e.adapterCount() >= p.pool.Engine.AdapterSlots {
		if e.unloadingAdapters() {
			return Order{}, false
		}
		return p.evictAdapter(e)
	}
	return e.startOrder(Order{Kind: LoadAdapter, Model: request.Model, Adapter: request.Adapter, Reason: "adapter request"}), true
}

// evictAdapter returns the order that unloads the least recently used adapter.
func (p *Planner) evictAdapter(e *engine) (Order, bool) {
	model, adapter, oldest := "", "", time.Duration(0)
	for m, loaded := range e.models {
		for a, lastUse := range loaded.lastUse {
			if adapter == "" || cmp.Or(cmp.Compare(lastUse, oldest), cmp.Compare(m, model), cmp.Compare(a, adapter)) < 0 {
				model, adapter, oldest = m, a, lastUse
			}
		}
	}
	if adapter == "" {
		return Order{}, false
	}
	return e.startOrder(Order{Kind: UnloadAdapter, Model: model, Adapter: adapter, Reason: "least recently used"}), true
}
