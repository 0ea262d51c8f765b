package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/queue"
	"magnoliahoist/route"
)

// maxSendDelay is how long after its tokens were taken an attempt may start. A host that was paused in between and
// sent later would use these tokens on top of those refilled meanwhile, and so exceed the allowance.
const maxSendDelay = 500 * time.Millisecond

// dispatch sends the queued requests of a pool that have tokens and an available endpoint, in the fair order of the queue.
func (s *State) dispatch(now time.Duration, p *poolState) {
	if !s.replica.Fresh(now) {
		return
	}
	for {
		endpointIndex := -1
		unfundedAccount, hasUnfunded := "", false // an account whose first request lacks tokens; smaller requests must not overtake it
		item, found := p.queue.Next(now, func(i queue.Item) bool {
			if hasUnfunded && i.Account == unfundedAccount {
				return false
			}
			r := s.requests[i.ID]
			if !s.ensureTokens(now, r) {
				unfundedAccount, hasUnfunded = i.Account, true
				return false
			}
			index, available := p.view.Pick(now, s.requirements(p, r))
			endpointIndex = index
			return available
		})
		if !found {
			return
		}
		r := s.requests[item.ID]
		ledger := s.accounts[r.account.Name].ledger
		receipt, taken := ledger.Take(now, r.maxCost)
		if !taken {
			s.refuse(r, RateLimited, 0)
			continue
		}
		r.receipt = receipt
		for _, repayment := range ledger.SpentLoans() {
			s.repay(r.account.Name, repayment)
		}
		s.sendAttempt(now, p, r, endpointIndex)
	}
}

// requirements returns what a request needs of its endpoint.
func (s *State) requirements(p *poolState, r *request) endpoint.Requirements {
	required := endpoint.Requirements{Pool: p.pool.Name, Domain: s.settings.Domain, Tokens: r.maxCost, Exclude: r.excluded()}
	if r.route.Kind == route.Model {
		required.Model, required.Adapter, required.Version, required.Prefix = r.route.Model, r.route.Adapter, r.route.Version, r.PrefixHash
	}
	return required
}

// sendAttempt starts the request's next attempt on the endpoint with the index.
func (s *State) sendAttempt(now time.Duration, p *poolState, r *request, index int) {
	r.phase = running
	r.endpointIndex = index
	r.attempts++
	p.view.StartAttempt(now, index, r.maxCost)
	s.emit(SendAttempt{
		Request:     r.Request,
		Attempt:     r.attempts,
		Account:     r.account.Name,
		Route:       r.route,
		Endpoint:    p.view.EndpointAt(index),
		MaxTokens:   r.maxTokens,
		LatestStart: min(s.replica.FreshUntil(), now+maxSendDelay),
	})
}

// handleAttemptFinished ends an attempt, and then retries, refuses or completes its request.
func (s *State) handleAttemptFinished(now time.Duration, e AttemptFinished) {
	r := s.requests[e.Request]
	if r == nil || r.phase != running {
		return
	}
	p := s.pools[r.route.Pool]
	s.finishAttempt(now, r, e.Outcome)
	r.sent = r.sent || e.Sent
	if e.Outcome == endpoint.Done || e.Outcome == endpoint.Cancelled || !e.Retryable {
		s.complete(now, r, e)
		s.dispatch(now, p)
		return
	}
	if !s.retry(now, p, r, e) {
		s.refund(now, r, s.unusedTokens(r, e))
		s.refuse(r, s.failureReason(now, e.Outcome), 0)
	}
	s.dispatch(now, p)
}

// failureReason returns the reason with which a request is refused after an attempt that is not retried.
func (s *State) failureReason(now time.Duration, outcome endpoint.Outcome) Reason {
	switch {
	case !s.replica.Fresh(now):
		return HostStale
	case outcome == endpoint.Absent:
		return EndpointUnavailable
	default:
		return EndpointFailed
	}
}

// retry starts another attempt if the route, the retry budget, the tokens and the endpoints allow one, and reports whether it did.
func (s *State) retry(now time.Duration, p *poolState, r *request, e AttemptFinished) bool {
	if r.sent && !r.route.Retryable() {
		return false
	}
	if r.attempts >= s.settings.MaxAttempts || !s.replica.Fresh(now) {
		return false
	}
	// An attempt that was not sent has put no load on an endpoint, so its retry does not count against the retry budget.
	if e.Sent && !p.view.AllowRetry(now) {
		return false
	}
	index, available := p.view.Pick(now, s.requirements(p, r))
	if !available || !s.takeRetryTokens(now, r, e) {
		return false
	}
	s.sendAttempt(now, p, r, index)
	return true
}

// takeRetryTokens takes the tokens of a retry and reports whether there were enough. The tokens of an earlier attempt
// that was sent count as spent, because its endpoint may have generated all that was asked for.
func (s *State) takeRetryTokens(now time.Duration, r *request, e AttemptFinished) bool {
	if !e.Sent {
		return true // the tokens of the earlier attempt are unused
	}
	receipt, taken := s.accounts[r.account.Name].ledger.Take(now, r.maxCost)
	if taken {
		r.receipt = receipt
	}
	return taken
}

// complete ends a request that needs neither another attempt nor a refusal: its caller has received the response, or a part of it, or has left.
func (s *State) complete(now time.Duration, r *request, e AttemptFinished) {
	unused := s.unusedTokens(r, e)
	if r.route.Kind == route.Model {
		s.pools[r.route.Pool].usedTokens[r.route.Model] += max(r.maxCost-unused, 0)
	}
	s.refund(now, r, unused)
	delete(s.requests, r.Request)
}

// unusedTokens returns how many tokens of the last attempt were not used. When the usage is unknown, all count as used.
func (s *State) unusedTokens(r *request, e AttemptFinished) int64 {
	if !e.Sent {
		return r.maxCost
	}
	if e.UsedTokens < 0 {
		return 0
	}
	return max(r.maxCost-e.UsedTokens, 0)
}

// finishAttempt records the end of an attempt at its endpoint. An endpoint on which it did not succeed gets no other attempt of the request.
func (s *State) finishAttempt(now time.Duration, r *request, outcome endpoint.Outcome) {
	s.pools[r.route.Pool].view.FinishAttempt(now, r.endpointIndex, r.maxCost, outcome)
	if outcome != endpoint.Done {
		r.exclude(r.endpointIndex)
	}
}
