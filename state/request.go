package state

import (
	"time"

	"magnoliahoist/account"
	"magnoliahoist/endpoint"
	"magnoliahoist/limit"
	"magnoliahoist/queue"
	"magnoliahoist/route"
)

// maxExcluded is how many endpoints a request remembers as tried.
const maxExcluded = 4

// phase is where a request stands.
type phase int

const (
	beginning phase = iota // waits for its durable intent
	queued
	running
)

// request is a request that has not ended.
type request struct {
	Arrive
	phase    phase
	route    route.Route
	account  account.Account
	limit    int64 // tokens that may be generated
	bound    int64 // upper bound of the cost, tokens
	receipt  limit.Receipt
	endpoint int
	attempts int
	sent     bool // an attempt may have reached an endpoint
	tried    [maxExcluded]int
	count    int // of tried
}

func (r *request) excluded() []int { return r.tried[:r.count] }

func (r *request) exclude(index int) {
	if r.count < maxExcluded {
		r.tried[r.count] = index
		r.count++
	}
}

// arrive checks a request against the tables and queues it.
func (s *State) arrive(now time.Duration, a Arrive) {
	r, reason := s.admit(now, a)
	if reason != NoReason {
		s.emit(Refuse{Request: a.Request, Reason: reason, Run: RunNo})
		return
	}
	if wait, late := s.tooLate(now, r); late {
		s.emit(Refuse{Request: a.Request, Account: r.account.Name, Reason: RateLimited, Run: RunNo, Retry: wait})
		return
	}
	s.requests[a.Request] = r
	if r.route.Calls == route.Once {
		r.phase = beginning
		s.emit(Begin{Request: a.Request, Account: r.account.Name, Route: r.route})
		return
	}
	s.enqueue(now, r)
}

// admit finds the route and the client account of a request and checks the rules.
func (s *State) admit(now time.Duration, a Arrive) (*request, Reason) {
	if !s.replica.Fresh(now) {
		return nil, Stale
	}
	if s.draining {
		return nil, Draining
	}
	found, known := s.routeOf(a)
	name, reason := s.accountOf(a, found, known)
	if reason != NoReason {
		return nil, reason
	}
	if !known {
		return nil, UnknownRoute
	}
	if !found.Allows(name) {
		return nil, NotAllowed
	}
	if found.Calls == route.Once && !a.Once {
		return nil, KeyRequired
	}
	owner, known := s.replica.View().AccountByName(name)
	if !known {
		return nil, NotAllowed
	}
	r := &request{Arrive: a, route: found, account: owner, endpoint: -1}
	r.limit, r.bound = cost(a, found)
	if r.bound > owner.Burst {
		return nil, TooLarge
	}
	if s.accounts[name] == nil {
		return nil, Stale
	}
	if s.pools[found.Pool] == nil {
		return nil, NoEndpoint
	}
	return r, NoReason
}

func (s *State) routeOf(a Arrive) (route.Route, bool) {
	if a.Model != "" {
		return s.replica.View().RouteByModel(a.Model)
	}
	return s.replica.View().RouteByPath(a.Path)
}

// accountOf returns the client account under which a request runs.
func (s *State) accountOf(a Arrive, found route.Route, known bool) (string, Reason) {
	if known && found.Open {
		return found.Account, NoReason
	}
	if a.Digest == "" {
		return "", MissingKey
	}
	key, issued := s.replica.View().KeyByDigest(a.Digest)
	if !issued {
		return "", UnknownKey
	}
	if key.Withdrawn {
		return "", WithdrawnKey
	}
	return key.Account, NoReason
}

// cost returns how many tokens a call may generate and the upper bound of what it costs.
func cost(a Arrive, r route.Route) (limit, bound int64) {
	if r.Kind == route.Service {
		return 0, max(r.Tokens, 1)
	}
	limit = r.Tokens
	if a.Limit > 0 && a.Limit < limit {
		limit = a.Limit
	}
	return limit, a.Prompt + limit
}

// tooLate reports whether the account's own backlog on this host cannot be served before the
// request's deadline even if the whole allowance of the account were spent here.
func (s *State) tooLate(now time.Duration, r *request) (time.Duration, bool) {
	backlog := float64(s.pools[r.route.Pool].queue.Backlog(r.account.Name) + r.bound - r.account.Burst)
	wait := time.Duration(backlog / r.account.Rate * float64(time.Second))
	return wait, wait > r.route.LongestWait()
}

func (s *State) begun(now time.Duration, e Begun) {
	r := s.requests[e.Request]
	if r == nil || r.phase != beginning {
		return
	}
	s.enqueue(now, r)
}

func (s *State) enqueue(now time.Duration, r *request) {
	r.phase = queued
	item := queue.Item{
		ID:       r.Request,
		Account:  r.account.Name,
		Class:    r.route.Model,
		Weight:   r.account.Rate,
		Tokens:   r.bound,
		Priority: r.route.Priority,
		Deadline: now + r.route.LongestWait(),
	}
	if s.settings.FirstCome {
		item.Account, item.Weight, item.Priority = "", 1, 0
	}
	s.pools[r.route.Pool].queue.Push(item)
	s.dispatch(now, s.pools[r.route.Pool])
}

// left forgets a request whose caller has gone before an attempt began.
func (s *State) left(now time.Duration, e Left) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	switch r.phase {
	case queued:
		s.pools[r.route.Pool].queue.Remove(e.Request)
	case running:
		s.release(now, r, endpoint.Cancelled)
		s.giveBack(now, r, r.bound)
	}
	delete(s.requests, e.Request)
}

// refuse ends a request with an answer of the host's own.
func (s *State) refuse(r *request, reason Reason, retry time.Duration) {
	run := RunNo
	if r.sent {
		run = RunUnknown
	}
	delete(s.requests, r.Request)
	s.emit(Refuse{Request: r.Request, Account: r.account.Name, Reason: reason, Run: run, Retry: retry})
}
