package dispatch

import (
	"time"

	"magnoliahoist/intake"
)

const (
	// silenceFactor is the multiple of a call's goal after which an idempotent call without an answer is sent to
	// another endpoint.
	silenceFactor = 2.5
	// leastLeft is the time that must be left for another attempt.
	leastLeft = 50 * time.Millisecond
	// refusedRetry is what a caller is told to wait after an endpoint refused its request.
	refusedRetry = 100 * time.Millisecond
)

// silence returns how long an attempt may go without an answer. Only requests that may be repeated are given up.
func (s *State) silence(r *request) time.Duration {
	if r.route.Stream || !r.route.Repeatable() || r.attempts >= r.route.Attempts {
		return 0
	}
	return time.Duration(silenceFactor * float64(r.route.Goal))
}

// finished takes the end of an attempt and decides whether another one follows.
func (s *State) finished(now time.Duration, e Finished) {
	r := s.requests[e.Number]
	if r == nil || r.phase != running {
		return
	}
	s.release(now, r, e.Outcome)
	s.note(now, r, e)
	switch {
	case e.Outcome == Done || e.Begun:
		delete(s.requests, e.Number)
	case mayHaveRun(e.Outcome):
		r.ran = true
		s.repeat(now, r, Broken, 0)
	default:
		s.repeat(now, r, Rejected, max(e.Back, refusedRetry))
	}
	s.dispatch(now, r.pool)
}

// note remembers what the outcome says of the endpoint.
func (s *State) note(now time.Duration, r *request, e Finished) {
	g, is := r.arrive.Request.Work.(intake.Generation)
	if !is {
		return
	}
	n := r.choice.node
	switch e.Outcome {
	case Misplaced:
		if g.Adapter != "" {
			delete(n.adapters, Adapter{g.Model, g.Adapter})
			delete(n.fetches, Adapter{g.Model, g.Adapter})
			return
		}
		n.absent[g.Model] = now
	case Done:
		delete(n.absent, g.Model)
	case Failure, Refused, Unsent, Lost, Silent, Cancelled:
	}
}

// mayHaveRun reports whether an attempt with the outcome may have been run.
func mayHaveRun(o Outcome) bool {
	switch o {
	case Refused, Misplaced, Unsent:
		return false
	default:
		return true
	}
}

// repeat queues a request for another attempt if its route, its time and the budget allow one.
func (s *State) repeat(now time.Duration, r *request, reason Reason, retry time.Duration) {
	allowed := len(r.tries) < r.route.Attempts && (!r.ran || r.route.Repeatable())
	if !allowed || r.deadline-now < leastLeft || !r.pool.budget.allow(now, s.settings, s.fraction) {
		s.refuse(now, r, reason, retry)
		return
	}
	s.enqueue(now, r)
}

// budget holds decaying counts of requests and of the attempts after their first.
type budget struct {
	at      time.Duration
	started float64
	repeats float64
}

// decay forgets in proportion to the time, so that the counts stand for about one window.
func (b *budget) decay(now, window time.Duration) {
	if window <= 0 || now <= b.at {
		return
	}
	left := max(1-float64(now-b.at)/float64(window), 0)
	b.started *= left
	b.repeats *= left
	b.at = now
}

func (b *budget) start(now, window time.Duration) {
	b.decay(now, window)
	b.started++
}

// allow counts another repeat if the host's fraction of the fleet's budget has room for it.
func (b *budget) allow(now time.Duration, settings Settings, fraction float64) bool {
	b.decay(now, settings.RetryWindow)
	if b.repeats+1 > settings.RetryShare*b.started+settings.RetryFloor*fraction {
		return false
	}
	b.repeats++
	return true
}
