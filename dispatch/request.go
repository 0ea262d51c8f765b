package dispatch

import (
	"maps"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/intake"
	"magnoliahoist/limit"
	"magnoliahoist/quarantine"
	"magnoliahoist/queue"
)

const (
	// defaultTimeout is the timeout of a request when neither its caller nor its route sets one.
	defaultTimeout = 30 * time.Second
	// unlimitedWeight is the queue weight, in tokens a second, of requests whose account has no rate limit, and of requests
	// without an account.
	unlimitedWeight = 10_000.0
	// A request may be queued until queueWaitShare of its route's goal plus minQueueWait after its arrival.
	queueWaitShare = 0.5
	minQueueWait   = 20 * time.Millisecond
	// connectionShare is the share of an endpoint's connections that all hosts together use: an endpoint accepts fewer
	// connections while its queue is long. One host may use minConnections in any case.
	connectionShare = 0.9
	minConnections  = 16
	// maxUnservedAdapters bounds the adapters that are recorded between two reports: callers choose the names, and while no lease holder
	// responds, nothing is reported. A pool has some dozens of adapters.
	maxUnservedAdapters = 1000
	// noModelRetryAfter is the retry-after when no endpoint holds the request's model. Loading a model from disk takes about
	// as long.
	noModelRetryAfter = 1500 * time.Millisecond
	// overloadedRetryAfter is the retry-after when no endpoint had room for the request.
	overloadedRetryAfter = 700 * time.Millisecond
)

// phase is the stage of a request that has not ended.
type phase int

const (
	awaitingTokens phase = iota // waits for a loan of tokens of its account
	awaitingEarned              // has tokens that its account earns until earnedAt
	queuedForEndpoint
	awaitingAdapter // waits until its adapter is loaded at the chosen endpoint
	attemptRunning
)

// request is the state of a request that has not ended.
type request struct {
	arrival         RequestArrived
	phase           phase
	route           catalog.Route
	priority        int    // the account's where it states one, otherwise the route's; 0 is the most urgent
	account         string // empty on routes that need no key
	pool            *pool
	cost            int64 // in the unit of the account's rate
	receipt         limit.Receipt
	earnedAt        time.Duration // when the tokens of the receipt are earned
	arrivedAt       time.Duration
	deadline        time.Duration
	attempts        int
	reached         int  // attempts of which an endpoint may have received a byte
	mayHaveRun      bool // an earlier attempt may have been executed
	choice          choice
	startedAt       time.Duration     // start of the running attempt
	responseStarted bool              // the endpoint has begun to respond to the running attempt
	triedEndpoints  []string          // IDs of the endpoints that were tried
	promptPrefixes  []promptPrefix    // of a generation's prompt; nil for calls
	partIDs         []uint64          // of the parts of a generation's prompt, in their order; nil for calls
	trials          []quarantine.Part // suspected parts that the running attempt tries
	coldCounted     bool              // the running attempt is counted as a request to a cold endpoint
	sentTo          string            // software version of the endpoint of the running attempt when it was chosen
	version         softwareVersion   // of the endpoints that may serve the request
}

// level returns the request's urgency level unless it is expected to be late.
func (r *request) level() int { return levelOf(r.priority, r.route.Priority) }

// tried reports whether an endpoint was tried for the request.
func (r *request) tried(id string) bool { return slices.Contains(r.triedEndpoints, id) }

// handleRequestArrived admits a request, takes its tokens and queues it, or refuses it.
func (s *State) handleRequestArrived(now time.Duration, a RequestArrived) {
	r, reason := s.admit(now, a)
	if r == nil {
		s.emit(RefuseRequest{Number: a.Number, Reason: reason})
		return
	}
	s.requests[a.Number] = r
	if s.refuseBlocked(now, r) {
		return
	}
	g, isGeneration := a.Request.Work.(intake.Generation)
	counted := isGeneration && r.pool.offers(g.Model)
	if counted {
		r.pool.promptDemand[g.Model] += float64(g.PromptTokens)
	}
	if s.refuseEvacuated(now, r) {
		return
	}
	if s.noEndpointHoldsModel(now, r) {
		if counted && g.Adapter != "" && len(r.pool.unservedAdapters) < maxUnservedAdapters {
			r.pool.unservedAdapters[Adapter{g.Model, g.Adapter}] = true
		}
		s.refuse(now, r, NoModel, noModelRetryAfter)
		return
	}
	if wait, retryAfter := s.allResting(now, r); wait > queueWait(r) {
		s.refuse(now, r, Overloaded, retryAfter)
		return
	}
	if !s.chargeTokens(now, r) {
		return
	}
	s.enqueue(now, r)
}

// offers reports whether the configuration lists a model for the pool. Demand for other models is not recorded: callers can name any
// number of them, and none is ever loaded.
func (p *pool) offers(model string) bool {
	if p.spec.Engine == nil {
		return false
	}
	_, listed := p.spec.Engine.Models[model]
	return listed
}

// noEndpointHoldsModel reports whether no endpoint of the pool can serve the request's model or adapter. Such a request is
// refused at once: it can't be served before its caller leaves, and waiting would only delay the caller's retry.
func (s *State) noEndpointHoldsModel(now time.Duration, r *request) bool {
	c, reason := s.choose(now, r.pool, r)
	return c.endpoint == nil && reason == NoModel
}

// admit finds the route, the client account and the pool of a request. It returns nil and the reason when the request must be
// refused.
func (s *State) admit(now time.Duration, a RequestArrived) (*request, Reason) {
	route, account, reason, known := s.identify(a.Request, a.CutOff)
	if !known {
		return nil, reason
	}
	r := &request{arrival: a, route: route, priority: route.Priority, arrivedAt: now}
	if !route.Open && s.catalog.RequiresKeys() {
		r.account = account.Name
		r.cost = account.Cost(a.Request.Tokens())
		if account.OverridesPriority {
			r.priority = account.Priority
		}
	}
	poolName, hasPool := route.PoolFor(float64(mixBits(a.Number^hashString(a.Request.ID))>>11) / (1 << 53))
	if !hasPool {
		return nil, NoEndpoint
	}
	r.pool = s.poolByName(poolName)
	if reason, possible := s.bindOrigin(now, r); !possible {
		return nil, reason
	}
	r.partIDs = partIDsOf(a.Request.Work)
	r.deadline = now + timeLimit(a.Request.CallerTimeout, route.Timeout)
	if s.outlives(r.deadline) {
		return nil, Stopping
	}
	return r, 0
}

// timeLimit returns the shorter of the caller's and the route's timeout, of which either may be 0 for none.
func timeLimit(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0:
		return caller
	case route > 0:
		return route
	default:
		return defaultTimeout
	}
}

// enqueue queues a request for an endpoint.
func (s *State) enqueue(now time.Duration, r *request) {
	r.phase = queuedForEndpoint
	item := queue.Item{
		ID:       r.arrival.Number,
		Account:  r.account,
		Class:    queueClass(r) + s.trialClass(now, r),
		Weight:   unlimitedWeight,
		Tokens:   max(r.arrival.Request.Tokens(), 1),
		Priority: -r.level(),
		Deadline: r.arrivedAt + queueWait(r),
	}
	if a := s.accounts[r.account]; a != nil && a.spec.Rate > 0 {
		item.Weight = a.spec.Rate
	}
	r.pool.queue.Push(item)
	s.dispatchQueued(now, r.pool)
}

// queueWait returns how long after its arrival a request may be queued.
func queueWait(r *request) time.Duration {
	return time.Duration(queueWaitShare*float64(r.route.ResponseTarget)) + minQueueWait
}

// queueClass returns the request's class in the queue: what an endpoint must hold to serve it.
func queueClass(r *request) string {
	if g, ok := r.arrival.Request.Work.(intake.Generation); ok {
		return g.Model + "/" + g.Adapter
	}
	return r.route.Name
}

// dispatchAllQueued dispatches the queued requests of all pools.
func (s *State) dispatchAllQueued(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		s.dispatchQueued(now, s.pools[name])
	}
}

// dispatchQueued refuses the requests that were queued for too long in a pool, and sends those for which an endpoint has room.
func (s *State) dispatchQueued(now time.Duration, p *pool) {
	for _, item := range p.queue.Expire(now) {
		r := s.requests[item.ID]
		_, reason := s.choose(now, p, r)
		s.refuse(now, r, reason, overloadedRetryAfter)
	}
	for p.queue.Len() > 0 {
		var chosen choice
		item, found := p.queue.Next(now, func(i queue.Item) bool {
			r := s.requests[i.ID]
			if s.awaitsTrial(now, r) {
				return false
			}
			chosen, _ = s.choose(now, p, r)
			return chosen.endpoint != nil
		})
		if !found {
			return
		}
		if r := s.requests[item.ID]; !s.refuseBlocked(now, r) {
			s.sendOrOrderAdapter(now, r, chosen)
		}
	}
}

// sendOrOrderAdapter sends a request to the chosen endpoint. If the adapter is not loaded there, it orders the adapter first
// and lets the request wait; requests for the same adapter share an order for adapterOrderTimeout.
func (s *State) sendOrOrderAdapter(now time.Duration, r *request, c choice) {
	r.choice = c
	if !c.loadAdapter {
		s.sendAttempt(now, r)
		return
	}
	r.phase = awaitingAdapter
	g := r.arrival.Request.Work.(intake.Generation)
	key := Adapter{g.Model, g.Adapter}
	if order, ordered := c.endpoint.adapterOrders[key]; ordered && now-order.orderedAt < adapterOrderTimeout {
		return
	}
	c.endpoint.adapterOrders[key] = adapterOrder{orderedAt: now}
	s.emit(OrderAdapter{Pool: r.pool.spec.Name, Endpoint: c.endpoint.ID, Model: g.Model, Adapter: g.Adapter})
}

// handleAdapterOrderFinished handles the end of an order to load an adapter. It sends the requests that wait for the adapter, or
// queues them for another endpoint when the order failed or the endpoint is no longer available.
func (s *State) handleAdapterOrderFinished(now time.Duration, e AdapterOrderFinished) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	key := Adapter{e.Model, e.Adapter}
	ep := p.byID[e.Endpoint]
	if ep != nil {
		if e.Loaded {
			ep.adapterOrders[key] = adapterOrder{orderedAt: now, loaded: true}
		} else {
			delete(ep.adapterOrders, key)
		}
	}
	for _, number := range s.awaitingAdapterOf(p, e) {
		r := s.requests[number]
		if s.refuseBlocked(now, r) {
			continue
		}
		if e.Loaded && ep != nil && ep.available(now) && r.fits(ep) && !s.heldBack(now, ep) && !s.awaitsTrial(now, r) {
			s.sendAttempt(now, r)
			continue
		}
		r.triedEndpoints = append(r.triedEndpoints, e.Endpoint)
		s.enqueue(now, r)
	}
}

// awaitingAdapterOf returns the numbers of the requests that wait for an adapter at an endpoint, oldest first.
func (s *State) awaitingAdapterOf(p *pool, e AdapterOrderFinished) []uint64 {
	var numbers []uint64
	for number, r := range s.requests {
		if r.phase != awaitingAdapter || r.pool != p || r.choice.endpoint.ID != e.Endpoint {
			continue
		}
		if g := r.arrival.Request.Work.(intake.Generation); g.Model == e.Model && g.Adapter == e.Adapter {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// sendAttempt starts an attempt of a request at the chosen endpoint.
func (s *State) sendAttempt(now time.Duration, r *request) {
	ep := r.choice.endpoint
	r.phase = attemptRunning
	r.attempts++
	r.startedAt, r.responseStarted, r.sentTo = now, false, ep.Software
	r.coldCounted = false
	s.takeColdShare(now, r)
	if !r.tried(ep.ID) {
		r.triedEndpoints = append(r.triedEndpoints, ep.ID)
	}
	if r.attempts == 1 {
		r.pool.retryBudget.countRequest(now, s.settings.RetryWindow)
	}
	s.startTrial(now, r)
	ep.startAttempt(now, r.choice.level, r.choice.uncached)
	if r.promptPrefixes != nil {
		ep.promptCache.add(now, r.promptPrefixes)
		ep.memory.addRequest(now, r.choice.uncached, r.arrival.Request.Tokens())
	}
	if g, ok := r.arrival.Request.Work.(intake.Generation); ok && g.Adapter != "" {
		ep.usedAdapters[Adapter{g.Model, g.Adapter}] = true
	}
	s.emit(SendAttempt{
		Number:          r.arrival.Number,
		Attempt:         r.attempts,
		Account:         r.account,
		Route:           r.route,
		Pool:            r.pool.spec,
		Endpoint:        ep.Endpoint,
		ChosenAt:        now,
		Deadline:        r.deadline,
		ResponseTimeout: s.responseTimeout(r),
		Urgency:         r.choice.level,
		MaxConnections:  s.maxConnections(r.pool),
		EstimatedWait:   r.choice.estimatedWait,
	})
}

// maxConnections returns how many connections this host may have to each endpoint of a pool: its part of those that an
// endpoint accepts from all hosts. 0 stands for no bound.
func (s *State) maxConnections(p *pool) int {
	if p.spec.MaxConnections == 0 {
		return 0
	}
	return max(int(connectionShare*float64(p.spec.MaxConnections)*s.hostFraction), minConnections)
}

// handleResponseStarted notes that the endpoint has begun to respond to the running attempt of a request.
func (s *State) handleResponseStarted(now time.Duration, number uint64) {
	r := s.requests[number]
	if r == nil || r.phase != attemptRunning || r.responseStarted {
		return
	}
	r.responseStarted = true
	r.bindVersion()
	s.noteAnswer(now, r)
	r.choice.endpoint.endPrefill(now, r.choice.level, r.choice.uncached)
	measurePrefill(r, now-r.startedAt)
	s.dispatchQueued(now, r.pool)
}

// measurePrefill adds the time to the first token of a generation to what is known of the speed of its endpoint.
func measurePrefill(r *request, measured time.Duration) {
	if r.promptPrefixes == nil {
		return
	}
	ep := r.choice.endpoint
	ep.prefill = ep.prefill.With(measured-firstTokenOverhead, r.choice.work)
	ep.updateSlowness(measured, firstTokenOverhead+time.Duration(float64(r.choice.work)*ep.slowness))
}

// releaseEndpoint counts the end of the running attempt at its endpoint.
func (s *State) releaseEndpoint(now time.Duration, r *request, outcome Outcome) {
	ep := r.choice.endpoint
	s.endTrial(r)
	if !r.responseStarted {
		ep.endPrefill(now, r.choice.level, r.choice.uncached)
		if waited := now - r.startedAt; outcome == Cancelled && waited > r.choice.estimatedWait {
			measurePrefill(r, waited) // the time to first token is at least what the caller has waited
		}
	}
	ep.finishAttempt(now, outcome)
	s.noteLostAttempt(now, r, outcome)
}

// handleRequestAbandoned removes a request whose caller has disconnected.
func (s *State) handleRequestAbandoned(now time.Duration, number uint64) {
	r := s.requests[number]
	if r == nil {
		return
	}
	s.remove(now, r)
}

// endRequest refuses a request that has reached its deadline, or the end of the host.
func (s *State) endRequest(now time.Duration, number uint64, reason Reason) {
	r := s.requests[number]
	if r == nil {
		return
	}
	s.remove(now, r)
	s.emit(s.newRefusal(r, reason, 0))
}

// remove removes a request whatever its phase. It refunds its tokens unless an attempt may have been executed.
func (s *State) remove(now time.Duration, r *request) {
	delete(s.requests, r.arrival.Number)
	switch r.phase {
	case awaitingTokens, awaitingEarned, awaitingAdapter:
		s.refund(now, r)
	case queuedForEndpoint:
		r.pool.queue.Remove(r.arrival.Number)
		s.refund(now, r)
	case attemptRunning:
		r.mayHaveRun = true
		s.releaseEndpoint(now, r, Cancelled)
		s.dispatchQueued(now, r.pool)
	}
}

// newRefusal returns the effect that refuses a request.
func (s *State) newRefusal(r *request, reason Reason, retryAfter time.Duration) RefuseRequest {
	ran := RanNo
	if r.mayHaveRun {
		ran = RanUnknown
	}
	return RefuseRequest{Number: r.arrival.Number, Account: r.account, Route: r.route.Name, Reason: reason, Ran: ran, RetryAfter: retryAfter, QueueLength: r.pool.queue.Len()}
}

// refuse ends a request with a refusal. It refunds the request's tokens unless an attempt may have been executed.
func (s *State) refuse(now time.Duration, r *request, reason Reason, retryAfter time.Duration) {
	delete(s.requests, r.arrival.Number)
	refusal := s.newRefusal(r, reason, retryAfter)
	refusal.DecisionInputs = s.explain(now, r, reason)
	s.countHeldBack(now, r, reason)
	if !r.mayHaveRun {
		s.refund(now, r)
	}
	s.emit(refusal)
}
