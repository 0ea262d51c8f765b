package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/queue"
	"magnoliahoist/route"
)

// sendPatience is how long after its tokens were taken an attempt may start. A host that was paused in
// between would otherwise add tokens to those that have been earned meanwhile.
const sendPatience = 500 * time.Millisecond

// dispatch sends queued requests of a pool for which there are tokens and an endpoint.
func (s *State) dispatch(now time.Duration, p *poolState) {
	if !s.replica.Fresh(now) {
		return
	}
	for {
		picked := -1
		short, isShort := "", false // account without tokens for its head; smaller requests may not pass it
		item, found := p.queue.Next(now, func(i queue.Item) bool {
			if isShort && i.Account == short {
				return false
			}
			r := s.requests[i.ID]
			if !s.affordable(now, r) {
				short, isShort = i.Account, true
				return false
			}
			index, available := p.view.Pick(now, s.want(p, r))
			picked = index
			return available
		})
		if !found {
			return
		}
		r := s.requests[item.ID]
		ledger := s.accounts[r.account.Name].ledger
		receipt, taken := ledger.Take(now, r.bound)
		if !taken {
			s.refuse(r, RateLimited, 0)
			continue
		}
		r.receipt = receipt
		for _, spent := range ledger.Spent() {
			s.repay(r.account.Name, spent)
		}
		s.send(now, p, r, picked)
	}
}

// want describes the endpoint that a request needs.
func (s *State) want(p *poolState, r *request) endpoint.Want {
	want := endpoint.Want{Pool: p.pool.Name, Domain: s.settings.Domain, Tokens: r.bound, Exclude: r.excluded()}
	if r.route.Kind == route.Model {
		want.Model, want.Adapter, want.Version, want.Prefix = r.route.Model, r.route.Adapter, r.route.Version, r.Prefix
	}
	return want
}

func (s *State) send(now time.Duration, p *poolState, r *request, index int) {
	r.phase = running
	r.endpoint = index
	r.attempts++
	p.view.Start(now, index, r.bound)
	s.emit(Send{
		Request:  r.Request,
		Attempt:  r.attempts,
		Account:  r.account.Name,
		Route:    r.route,
		Endpoint: p.view.At(index),
		Limit:    r.limit,
		Until:    min(s.replica.FreshUntil(), now+sendPatience),
	})
}

// finished ends an attempt and, where allowed, starts the next one.
func (s *State) finished(now time.Duration, e Finished) {
	r := s.requests[e.Request]
	if r == nil || r.phase != running {
		return
	}
	p := s.pools[r.route.Pool]
	s.release(now, r, e.Outcome)
	r.sent = r.sent || e.Sent
	if e.Outcome == endpoint.Done || e.Outcome == endpoint.Cancelled || !e.Retry {
		s.settle(now, r, e)
		s.dispatch(now, p)
		return
	}
	if !s.retry(now, p, r, e) {
		s.giveBack(now, r, s.unused(r, e))
		s.refuse(r, s.failure(now, e.Outcome), 0)
	}
	s.dispatch(now, p)
}

// failure is the reason that the caller sees when a request is not tried again.
func (s *State) failure(now time.Duration, outcome endpoint.Outcome) Reason {
	switch {
	case !s.replica.Fresh(now):
		return Stale
	case outcome == endpoint.Absent:
		return NoEndpoint
	default:
		return Failed
	}
}

// retry sends a request again when its route and the budget allow it.
func (s *State) retry(now time.Duration, p *poolState, r *request, e Finished) bool {
	if r.sent && !r.route.Repeatable() {
		return false
	}
	if r.attempts >= s.settings.Attempts || !s.replica.Fresh(now) {
		return false
	}
	// An attempt that was not sent has put no load on an endpoint, so it costs nothing of the budget.
	if e.Sent && !p.view.AllowRetry(now) {
		return false
	}
	index, available := p.view.Pick(now, s.want(p, r))
	if !available || !s.takeAgain(now, r, e) {
		return false
	}
	s.send(now, p, r, index)
	return true
}

// takeAgain takes the tokens of another attempt. The endpoint of an attempt that was sent may have
// generated all that was asked for, so that its tokens are spent.
func (s *State) takeAgain(now time.Duration, r *request, e Finished) bool {
	if !e.Sent {
		return true // the tokens of the earlier take are unused
	}
	receipt, taken := s.accounts[r.account.Name].ledger.Take(now, r.bound)
	if taken {
		r.receipt = receipt
	}
	return taken
}

// settle ends a request whose answer, or the part of it that there is, was handed to the caller.
func (s *State) settle(now time.Duration, r *request, e Finished) {
	unused := s.unused(r, e)
	if r.route.Kind == route.Model {
		s.pools[r.route.Pool].used[r.route.Model] += max(r.bound-unused, 0)
	}
	s.giveBack(now, r, unused)
	delete(s.requests, r.Request)
}

// unused returns the tokens of the last attempt that were not used; what is not known counts as used.
func (s *State) unused(r *request, e Finished) int64 {
	if !e.Sent {
		return r.bound
	}
	if e.Used < 0 {
		return 0
	}
	return max(r.bound-e.Used, 0)
}

// release frees the request's place at its endpoint.
func (s *State) release(now time.Duration, r *request, outcome endpoint.Outcome) {
	s.pools[r.route.Pool].view.Finish(now, r.endpoint, r.bound, outcome)
	if outcome != endpoint.Done {
		r.exclude(r.endpoint)
	}
}
