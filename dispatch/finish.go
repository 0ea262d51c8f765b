package dispatch

import (
	"time"

	"magnoliahoist/intake"
	"magnoliahoist/quarantine"
)

const (
	// responseTimeoutFactor is the multiple of its route's goal after which an idempotent call without a response is retried at
	// another endpoint.
	responseTimeoutFactor = 2.5
	// minTimeForRetry is the time that must be left before the deadline for a retry.
	minTimeForRetry = 50 * time.Millisecond
	// refusedRetryAfter is the minimum retry-after of a request that an endpoint refused.
	refusedRetryAfter = 100 * time.Millisecond
	// maxUnsentAttempts bounds the attempts of a request that reach no endpoint, because nothing listens there any more. After a
	// crash of many endpoints a request may meet several of them before it finds one that lives.
	maxUnsentAttempts = 4
)

// responseTimeout returns the time without a response after which an attempt is abandoned; 0 for no limit. Only attempts that
// may be followed by a retry have a limit.
func (s *State) responseTimeout(r *request) time.Duration {
	if r.route.Stream || !r.route.Retryable() || r.reached+1 >= r.route.MaxAttempts {
		return 0
	}
	return time.Duration(responseTimeoutFactor * float64(r.route.ResponseTarget))
}

// handleAttemptFinished handles the end of a request's running attempt: the request ends, is retried or is refused.
func (s *State) handleAttemptFinished(now time.Duration, e AttemptFinished) {
	r := s.requests[e.Number]
	if r == nil || r.phase != attemptRunning {
		return
	}
	if e.EndpointCrashed {
		s.noteCrash(now, r)
	}
	if e.Outcome == Done && !r.responseStarted {
		s.noteAnswer(now, r)
	}
	wasTrial := len(r.trials) > 0
	s.releaseEndpoint(now, r, e.Outcome)
	s.noteOutcome(now, r, e)
	if outcomeReached(e.Outcome) {
		r.reached++
	}
	switch {
	case e.Outcome == Done || e.ResponseStarted:
		delete(s.requests, e.Number)
	case e.EndpointCrashed && (wasTrial || s.isSuspected(now, r)):
		r.mayHaveRun = true
		s.refuse(now, r, AttemptFailed, 0)
	case outcomeMayHaveRun(e.Outcome):
		r.mayHaveRun = true
		s.retryOrRefuse(now, r, AttemptFailed, 0)
	default:
		s.retryOrRefuse(now, r, Rejected, max(e.RetryAfter, refusedRetryAfter))
	}
	s.dispatchQueued(now, r.pool)
}

// isSuspected reports whether a request has a part that may crash engines. Such a request is not repeated at another one.
func (s *State) isSuspected(now time.Duration, r *request) bool {
	_, sound := s.judge(now, r).(quarantine.Sound)
	return !sound
}

// noteOutcome records what the outcome of an attempt says about the models and adapters that the endpoint holds.
func (s *State) noteOutcome(now time.Duration, r *request, e AttemptFinished) {
	g, isGeneration := r.arrival.Request.Work.(intake.Generation)
	if !isGeneration {
		return
	}
	ep := r.choice.endpoint
	switch e.Outcome {
	case Misdirected:
		if g.Adapter != "" {
			delete(ep.adapters, Adapter{g.Model, g.Adapter})
			delete(ep.adapterOrders, Adapter{g.Model, g.Adapter})
			return
		}
		ep.absentSince[g.Model] = now
	case Done:
		delete(ep.absentSince, g.Model)
	case Failure, Refused, NotSent, Withdrawn, ResponseLost, ResponseTimedOut, Cancelled, NoRoom:
	}
}

// outcomeMayHaveRun reports whether an attempt with an outcome may have been executed.
func outcomeMayHaveRun(o Outcome) bool {
	switch o {
	case Refused, Misdirected, NotSent, Withdrawn:
		return false
	default:
		return true
	}
}

// outcomeReached reports whether an endpoint may have received a byte of an attempt with an outcome.
func outcomeReached(o Outcome) bool { return o != NotSent && o != Withdrawn }

// retryOrRefuse queues a request for a retry if its route, the time before its deadline, the retry budget and a stop of the host allow
// one, and refuses it otherwise. Attempts that reached no endpoint count neither for the route's bound nor for the budget.
func (s *State) retryOrRefuse(now time.Duration, r *request, reason Reason, retryAfter time.Duration) {
	allowed := !s.outlives(r.deadline) && r.reached < r.route.MaxAttempts && r.attempts-r.reached < maxUnsentAttempts && (!r.mayHaveRun || r.route.Retryable())
	if !allowed || r.deadline-now < minTimeForRetry || r.reached > 0 && !r.pool.retryBudget.allowRetry(now, s.settings, s.hostFraction) {
		s.refuse(now, r, reason, retryAfter)
		return
	}
	if wait, waitRetry := s.allResting(now, r); wait > r.arrivedAt+queueWait(r)-now {
		s.refuse(now, r, reason, max(retryAfter, waitRetry))
		return
	}
	if c, why := s.choose(now, r.pool, r); c.endpoint == nil && (why == NoModel || why == NoEndpoint) {
		s.refuse(now, r, reason, retryAfter) // all endpoints that could serve it were tried
		return
	}
	s.enqueue(now, r)
}

// retryBudget holds decaying counts of the requests and retries of a pool on this host.
type retryBudget struct {
	decayedAt time.Duration
	requests  float64
	retries   float64
}

// decay reduces the counts in proportion to the time since the last call, so that they cover about one window.
func (b *retryBudget) decay(now, window time.Duration) {
	if window <= 0 || now <= b.decayedAt {
		return
	}
	kept := max(1-float64(now-b.decayedAt)/float64(window), 0)
	b.requests *= kept
	b.retries *= kept
	b.decayedAt = now
}

// countRequest counts a request at its first attempt.
func (b *retryBudget) countRequest(now, window time.Duration) {
	b.decay(now, window)
	b.requests++
}

// allowRetry reports whether this host's part of the retry budget of all hosts has room for a retry, and counts the retry if
// so.
func (b *retryBudget) allowRetry(now time.Duration, settings Settings, fraction float64) bool {
	b.decay(now, settings.RetryWindow)
	if b.retries+1 > settings.RetryShare*b.requests+settings.RetryFloor*fraction {
		return false
	}
	b.retries++
	return true
}
