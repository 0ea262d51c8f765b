package dispatch

import (
	"maps"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/intake"
	"magnoliahoist/limit"
	"magnoliahoist/queue"
)

const (
	// defaultPatience is assumed where neither the caller nor the route bounds the time of a request.
	defaultPatience = 30 * time.Second
	// openWeight is the weight in the queue of requests without a limited account.
	openWeight = 10_000.0
	// waitShare is the part of its goal, and leastWait the time, for which a request waits for an endpoint with room.
	waitShare = 0.5
	leastWait = 20 * time.Millisecond
	// connectionShare is the part of the connections of an endpoint that all hosts together use, because it accepts
	// fewer while its queue is long; leastConnections is what one host may use in any case.
	connectionShare  = 0.9
	leastConnections = 16
	// absentRetry is what a caller is told to wait when no endpoint holds its model; a load from disk takes about
	// as long.
	absentRetry = 1500 * time.Millisecond
	// fullRetry is what a caller is told to wait when no endpoint had room for its request.
	fullRetry = 700 * time.Millisecond
)

// phase is where a request stands.
type phase int

const (
	borrowingTokens phase = iota // waits for tokens of its account
	queued
	fetching // waits for its adapter
	running
)

// request is a request that has not ended.
type request struct {
	arrive   Arrive
	phase    phase
	route    catalog.Route
	account  string // empty on open routes
	pool     *pool
	cost     int64 // units of the account's allowance
	receipt  limit.Receipt
	arrived  time.Duration
	deadline time.Duration
	attempts int
	ran      bool // an attempt may have run
	choice   choice
	started  time.Duration // of the running attempt
	first    bool          // the running attempt has begun to answer
	tries    []string      // ids of endpoints
	pieces   []piece       // of the prompt
}

func (r *request) tried(id string) bool { return slices.Contains(r.tries, id) }

// arrive checks a request against the configuration and queues it.
func (s *State) arrive(now time.Duration, a Arrive) {
	r, reason := s.admit(now, a)
	if r == nil {
		s.emit(Refuse{Number: a.Number, Reason: reason})
		return
	}
	s.requests[a.Number] = r
	if g, is := a.Request.Work.(intake.Generation); is {
		r.pool.demand[g.Model] += float64(g.Prompt)
	}
	if s.hopeless(now, r) {
		s.refuse(now, r, NoModel, absentRetry)
		return
	}
	if !s.take(now, r) {
		return
	}
	s.enqueue(now, r)
}

// hopeless reports whether no endpoint can serve a request before its caller leaves. It is refused at once, because
// waiting would only keep the caller from coming back.
func (s *State) hopeless(now time.Duration, r *request) bool {
	c, reason := s.choose(now, r.pool, r)
	return c.node == nil && reason == NoModel
}

// admit finds the route, the client account and the pool of a request.
func (s *State) admit(now time.Duration, a Arrive) (*request, Reason) {
	if s.catalog == nil {
		return nil, NotReady
	}
	found, known := s.catalog.RouteFor(a.Request.Host, a.Request.Path)
	if !known {
		return nil, UnknownRoute
	}
	r := &request{arrive: a, route: found, arrived: now}
	if !found.Open && s.catalog.Keyed() {
		if a.Cut {
			return nil, CutOff
		}
		owner, issued := catalog.Account{}, false
		if a.Request.HasKey {
			owner, issued = s.catalog.AccountByKey(a.Request.Key)
		}
		if !issued {
			return nil, UnknownKey
		}
		r.account = owner.Name
		r.cost = owner.Cost(a.Request.Tokens())
		if owner.Ranked {
			r.route.Priority = owner.Priority
		}
	}
	name, any := found.PoolFor(float64(mix(a.Number^hashText(a.Request.ID))>>11) / (1 << 53))
	if !any {
		return nil, NoEndpoint
	}
	r.pool = s.poolByName(name)
	r.deadline = now + patience(a.Request.Patience, found.Timeout)
	return r, 0
}

// patience returns the shorter of two bounds of which either may be missing.
func patience(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0:
		return caller
	case route > 0:
		return route
	default:
		return defaultPatience
	}
}

func (s *State) enqueue(now time.Duration, r *request) {
	r.phase = queued
	item := queue.Item{
		ID:       r.arrive.Number,
		Account:  r.account,
		Class:    classOf(r),
		Weight:   openWeight,
		Tokens:   max(r.arrive.Request.Tokens(), 1),
		Priority: -r.route.Priority,
		Deadline: r.arrived + time.Duration(waitShare*float64(r.route.Goal)) + leastWait,
	}
	if a := s.accounts[r.account]; a != nil && a.spec.Rate > 0 {
		item.Weight = a.spec.Rate
	}
	r.pool.queue.Push(item)
	s.dispatch(now, r.pool)
}

// classOf names what the endpoints of a request must hold.
func classOf(r *request) string {
	if g, is := r.arrive.Request.Work.(intake.Generation); is {
		return g.Model + "/" + g.Adapter
	}
	return r.route.Name
}

func (s *State) dispatchAll(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		s.dispatch(now, s.pools[name])
	}
}

// dispatch sends the queued requests of a pool for which there is an endpoint.
func (s *State) dispatch(now time.Duration, p *pool) {
	for _, item := range p.queue.Expire(now) {
		r := s.requests[item.ID]
		_, reason := s.choose(now, p, r)
		s.refuse(now, r, reason, fullRetry)
	}
	for p.queue.Len() > 0 {
		var found choice
		item, any := p.queue.Next(now, func(i queue.Item) bool {
			r := s.requests[i.ID]
			found, _ = s.choose(now, p, r)
			return found.node != nil
		})
		if !any {
			return
		}
		s.assign(now, s.requests[item.ID], found)
	}
}

// assign sends a request to the endpoint, or asks for its adapter there first.
func (s *State) assign(now time.Duration, r *request, c choice) {
	r.choice = c
	if !c.fetch {
		s.send(now, r)
		return
	}
	r.phase = fetching
	g := r.arrive.Request.Work.(intake.Generation)
	key := Adapter{g.Model, g.Adapter}
	if f, asked := c.node.fetches[key]; asked && now-f.asked < fetchPatience {
		return
	}
	c.node.fetches[key] = fetch{asked: now}
	s.emit(Fetch{Pool: r.pool.spec.Name, Endpoint: c.node.ID, Model: g.Model, Adapter: g.Adapter})
}

// fetched takes the result of an adapter order and sends the requests that wait for it.
func (s *State) fetched(now time.Duration, e Fetched) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	key := Adapter{e.Model, e.Adapter}
	n := p.nodes[e.Endpoint]
	if n != nil {
		if e.Loaded {
			n.fetches[key] = fetch{asked: now, loaded: true}
		} else {
			delete(n.fetches, key)
		}
	}
	for _, number := range s.waitingFor(p, e) {
		r := s.requests[number]
		if e.Loaded && n != nil && n.usable(now) {
			s.send(now, r)
			continue
		}
		r.tries = append(r.tries, e.Endpoint)
		s.enqueue(now, r)
	}
}

// waitingFor returns the requests that wait for an adapter on an endpoint, oldest first.
func (s *State) waitingFor(p *pool, e Fetched) []uint64 {
	var numbers []uint64
	for number, r := range s.requests {
		if r.phase != fetching || r.pool != p || r.choice.node.ID != e.Endpoint {
			continue
		}
		if g := r.arrive.Request.Work.(intake.Generation); g.Model == e.Model && g.Adapter == e.Adapter {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// send starts an attempt.
func (s *State) send(now time.Duration, r *request) {
	n := r.choice.node
	r.phase = running
	r.attempts++
	r.started, r.first = now, false
	if !r.tried(n.ID) {
		r.tries = append(r.tries, n.ID)
	}
	if r.attempts == 1 {
		r.pool.budget.start(now, s.settings.RetryWindow)
	}
	n.start(now, r.choice.level, r.choice.unread)
	if r.pieces != nil {
		n.cache.add(r.pieces)
	}
	if g, is := r.arrive.Request.Work.(intake.Generation); is && g.Adapter != "" {
		n.used[Adapter{g.Model, g.Adapter}] = true
	}
	s.emit(Send{
		Number:   r.arrive.Number,
		Attempt:  r.attempts,
		Account:  r.account,
		Route:    r.route,
		Pool:     r.pool.spec,
		Endpoint: n.Endpoint,
		Chosen:   now,
		Until:    r.deadline,
		Silence:  s.silence(r),
		Urgency:  urgency(r.choice.level),
		Most:     s.connections(r.pool),
		Wait:     r.choice.wait,
	})
}

// connections returns this host's part of the connections that an endpoint accepts from all hosts; 0 for no bound.
func (s *State) connections(p *pool) int {
	if p.spec.Connections == 0 {
		return 0
	}
	return max(int(connectionShare*float64(p.spec.Connections)*s.fraction), leastConnections)
}

// urgency maps a level to the urgencies of engines, from 0 to 9.
func urgency(level int) int { return 1 + 2*level }

// first says that the running attempt has begun to answer.
func (s *State) first(now time.Duration, number uint64) {
	r := s.requests[number]
	if r == nil || r.phase != running || r.first {
		return
	}
	r.first = true
	r.choice.node.read(now, r.choice.level, r.choice.unread)
	if r.pieces != nil {
		r.choice.node.learn(now-r.started, r.choice.wait)
	}
	s.dispatch(now, r.pool)
}

// release frees the place of the running attempt.
func (s *State) release(now time.Duration, r *request, outcome Outcome) {
	n := r.choice.node
	if !r.first {
		n.read(now, r.choice.level, r.choice.unread)
		if waited := now - r.started; r.pieces != nil && outcome == Cancelled && waited > r.choice.wait {
			n.learn(waited, r.choice.wait) // the first token takes at least as long as its caller has waited
		}
	}
	n.finish(now, outcome)
}

// left forgets a request whose caller has gone.
func (s *State) left(now time.Duration, number uint64) {
	r := s.requests[number]
	if r == nil {
		return
	}
	s.drop(now, r)
}

// expired ends a request whose time is over.
func (s *State) expired(now time.Duration, number uint64) {
	r := s.requests[number]
	if r == nil {
		return
	}
	s.drop(now, r)
	s.emit(s.refusal(r, TimedOut, 0))
}

// drop takes a request out of the state.
func (s *State) drop(now time.Duration, r *request) {
	delete(s.requests, r.arrive.Number)
	switch r.phase {
	case borrowingTokens, fetching:
		s.giveBack(now, r)
	case queued:
		r.pool.queue.Remove(r.arrive.Number)
		s.giveBack(now, r)
	case running:
		r.ran = true
		s.release(now, r, Cancelled)
		s.dispatch(now, r.pool)
	}
}

// refusal returns the answer of the host's own that ends a request.
func (s *State) refusal(r *request, reason Reason, retry time.Duration) Refuse {
	ran := RanNo
	if r.ran {
		ran = RanUnknown
	}
	return Refuse{Number: r.arrive.Number, Account: r.account, Route: r.route.Name, Reason: reason, Ran: ran, Retry: retry, Waited: r.pool.queue.Len()}
}

// refuse ends a request with an answer of the host's own. Requests that did not run get their tokens back.
func (s *State) refuse(now time.Duration, r *request, reason Reason, retry time.Duration) {
	delete(s.requests, r.arrive.Number)
	refusal := s.refusal(r, reason, retry)
	refusal.Inputs = s.explain(now, r, reason)
	if !r.ran {
		s.giveBack(now, r)
	}
	s.emit(refusal)
}
