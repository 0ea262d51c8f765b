package state

import (
	"time"

	"magnoliahoist/account"
	"magnoliahoist/endpoint"
	"magnoliahoist/limit"
	"magnoliahoist/queue"
	"magnoliahoist/route"
)

// maxExcluded is how many endpoints a request can exclude from its further attempts.
const maxExcluded = 4

// requestPhase is how far a request has come.
type requestPhase int

const (
	recordingIntent requestPhase = iota // waits until its durable intent is recorded
	queued
	running
)

// request is a request that has not ended.
type request struct {
	RequestArrived
	phase             requestPhase
	route             route.Route
	account           account.Account
	maxTokens         int64 // tokens that the endpoint may generate
	maxCost           int64 // upper bound of the tokens of one attempt, prompt included
	receipt           limit.Receipt
	endpointIndex     int
	attempts          int
	sent              bool // at least one attempt may have reached an endpoint
	excludedEndpoints [maxExcluded]int
	excludedCount     int // used entries of excludedEndpoints
}

// excluded returns the indexes of the endpoints that must not get another attempt.
func (r *request) excluded() []int { return r.excludedEndpoints[:r.excludedCount] }

// exclude keeps further attempts away from an endpoint; beyond maxExcluded endpoints it does nothing.
func (r *request) exclude(index int) {
	if r.excludedCount < maxExcluded {
		r.excludedEndpoints[r.excludedCount] = index
		r.excludedCount++
	}
}

// handleRequestArrived admits a new request and queues it, or refuses it. An at-most-once call is queued only after its intent is recorded.
func (s *State) handleRequestArrived(now time.Duration, a RequestArrived) {
	r, reason := s.admit(now, a)
	if reason != NoReason {
		s.emit(RefuseRequest{Request: a.Request, Reason: reason, Run: RunNo})
		return
	}
	if wait, late := s.exceedsWait(now, r); late {
		s.emit(RefuseRequest{Request: a.Request, Account: r.account.Name, Reason: RateLimited, Run: RunNo, RetryAfter: wait})
		return
	}
	s.requests[a.Request] = r
	if r.route.Calls == route.AtMostOnce {
		r.phase = recordingIntent
		s.emit(RecordIntent{Request: a.Request, Account: r.account.Name, Route: r.route})
		return
	}
	s.enqueue(now, r)
}

// admit finds the route and the client account of a request. It returns NoReason if the request may run, else why it is refused.
func (s *State) admit(now time.Duration, a RequestArrived) (*request, Reason) {
	if !s.replica.Fresh(now) {
		return nil, HostStale
	}
	if s.draining {
		return nil, HostDraining
	}
	matched, known := s.routeOf(a)
	name, reason := s.accountOf(a, matched, known)
	if reason != NoReason {
		return nil, reason
	}
	if !known {
		return nil, UnknownRoute
	}
	if !matched.Allows(name) {
		return nil, RouteNotAllowed
	}
	if matched.Calls == route.AtMostOnce && !a.HasIdempotencyKey {
		return nil, IdempotencyKeyRequired
	}
	clientAccount, known := s.replica.View().AccountByName(name)
	if !known {
		return nil, RouteNotAllowed
	}
	r := &request{RequestArrived: a, route: matched, account: clientAccount, endpointIndex: -1}
	r.maxTokens, r.maxCost = tokenBounds(a, matched)
	if r.maxCost > clientAccount.Burst {
		return nil, ExceedsBurst
	}
	if s.accounts[name] == nil {
		return nil, HostStale
	}
	if s.pools[matched.Pool] == nil {
		return nil, EndpointUnavailable
	}
	return r, NoReason
}

// routeOf returns the route of the requested model or path.
func (s *State) routeOf(a RequestArrived) (route.Route, bool) {
	if a.Model != "" {
		return s.replica.View().RouteByModel(a.Model)
	}
	return s.replica.View().RouteByPath(a.Path)
}

// accountOf returns the client account whose tokens a request uses: that of an open route, else that of the caller's key.
func (s *State) accountOf(a RequestArrived, matched route.Route, known bool) (string, Reason) {
	if known && matched.Open {
		return matched.Account, NoReason
	}
	if a.KeyDigest == "" {
		return "", MissingKey
	}
	key, issued := s.replica.View().KeyByDigest(a.KeyDigest)
	if !issued {
		return "", UnknownKey
	}
	if key.Withdrawn {
		return "", WithdrawnKey
	}
	return key.Account, NoReason
}

// tokenBounds returns how many tokens a call may generate (0 for a service), and the upper bound of all its tokens.
func tokenBounds(a RequestArrived, r route.Route) (maxTokens, maxCost int64) {
	if r.Kind == route.Service {
		return 0, max(r.Tokens, 1)
	}
	maxTokens = r.Tokens
	if a.CallerMaxTokens > 0 && a.CallerMaxTokens < maxTokens {
		maxTokens = a.CallerMaxTokens
	}
	return maxTokens, a.PromptTokens + maxTokens
}

// exceedsWait reports whether the request would wait longer than its route allows even if the account's whole allowance
// were spent on this host, and how long the account's backlog here, beyond its burst, takes to be served at its rate.
func (s *State) exceedsWait(now time.Duration, r *request) (time.Duration, bool) {
	backlog := float64(s.pools[r.route.Pool].queue.Backlog(r.account.Name) + r.maxCost - r.account.Burst)
	wait := time.Duration(backlog / r.account.Rate * float64(time.Second))
	return wait, wait > r.route.QueueTimeout()
}

func (s *State) handleIntentRecorded(now time.Duration, e IntentRecorded) {
	r := s.requests[e.Request]
	if r == nil || r.phase != recordingIntent {
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
		Tokens:   r.maxCost,
		Priority: r.route.Priority,
		Deadline: now + r.route.QueueTimeout(),
	}
	if s.settings.FirstInFirstOut {
		item.Account, item.Weight, item.Priority = "", 1, 0
	}
	s.pools[r.route.Pool].queue.Push(item)
	s.dispatch(now, s.pools[r.route.Pool])
}

// handleRequestAbandoned forgets a request that ended before its next attempt began. If a SendAttempt effect was emitted, the attempt counts as cancelled and all its tokens are returned.
func (s *State) handleRequestAbandoned(now time.Duration, e RequestAbandoned) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	switch r.phase {
	case queued:
		s.pools[r.route.Pool].queue.Remove(e.Request)
	case running:
		s.finishAttempt(now, r, endpoint.Cancelled)
		s.refund(now, r, r.maxCost)
	}
	delete(s.requests, e.Request)
}

// refuse ends a request with an error. Run is unknown if an attempt may have reached an endpoint.
func (s *State) refuse(r *request, reason Reason, retryAfter time.Duration) {
	run := RunNo
	if r.sent {
		run = RunUnknown
	}
	delete(s.requests, r.Request)
	s.emit(RefuseRequest{Request: r.Request, Account: r.account.Name, Reason: reason, Run: run, RetryAfter: retryAfter})
}
