package dispatch

import (
	"time"

	"magnoliahoist/intake"
)

const (
	// crossDomainCost is added to the estimate of an endpoint in another failure domain, because traffic between domains is
	// charged for.
	crossDomainCost = 25 * time.Millisecond
	// adapterLoadCost is added to the estimate of an endpoint that has to load the adapter first.
	adapterLoadCost = 60 * time.Millisecond
	// preferredBonus is subtracted from the estimate of the endpoint that rendezvous hashing prefers for the adapter or
	// session, so that hosts agree on an endpoint without exchanging cache contents.
	preferredBonus = 20 * time.Millisecond
	// runningCost, multiplied by the running requests and divided by the slots, is added to the estimate of an endpoint:
	// streams slow each other down.
	runningCost = 60 * time.Millisecond
	// outputPerRunningCost is the number of output tokens that add runningCost once more, and maxCostedOutput bounds those that
	// count.
	outputPerRunningCost = 100.0
	maxCostedOutput      = 800
	// maxSlotUse bounds the requests at an engine, as a multiple of its slots. The engine queues requests beyond its slots by
	// urgency, and refuses those beyond twice its slots.
	maxSlotUse = 1.25
	// firstTokenOverhead is the part of the time to first token that is not prefill: network latency, and the rest of the
	// engine's current step.
	firstTokenOverhead = 20 * time.Millisecond
	// goalShare is the share of the route's goal within which the first token must be expected for a request to count as in
	// time.
	goalShare = 0.9
	// lateTimeShare is the share of the time for which its caller stays within which the first token of a late request must be
	// expected.
	lateTimeShare = 0.7
	// latePenalty ranks endpoints that are to be avoided behind all others.
	latePenalty = time.Minute
	// assumedCallTime is the assumed duration of a call, to weigh an endpoint's load against its failure domain.
	assumedCallTime = 30 * time.Millisecond
)

// choice is the endpoint chosen for an attempt; endpoint is nil when there is none.
type choice struct {
	endpoint      *endpoint
	estimatedWait time.Duration // estimated time until the response begins
	level         int           // urgency level
	uncached      int64         // prompt tokens that the endpoint has to prefill
	work          time.Duration // prefill until the first token, queued prompts included, at slowness 1
	loadAdapter   bool          // the endpoint has to load the adapter first
}

// choose returns the best endpoint for a request. If there is none, choice.endpoint is nil and the reason says why.
func (s *State) choose(now time.Duration, p *pool, r *request) (choice, Reason) {
	if p.evacuated() {
		return choice{}, Overloaded
	}
	if software, preferred := s.preferredVersion(r); preferred {
		r.version = softwareVersion{bound: true, name: software}
		c, _ := s.chooseOfVersion(now, p, r)
		r.version = softwareVersion{}
		if c.endpoint != nil {
			return c, 0
		}
	}
	return s.chooseOfVersion(now, p, r)
}

// chooseOfVersion returns the best endpoint of a version that fits the request.
func (s *State) chooseOfVersion(now time.Duration, p *pool, r *request) (choice, Reason) {
	switch w := r.arrival.Request.Work.(type) {
	case intake.Generation:
		return s.chooseEngine(now, p, r, w)
	default:
		return s.chooseService(now, p, r)
	}
}

// chooseService chooses an endpoint for a call by its load and failure domain.
func (s *State) chooseService(now time.Duration, p *pool, r *request) (choice, Reason) {
	best, reason := choice{}, NoEndpoint
	for _, ep := range p.endpoints {
		if !r.mayUse(ep) || r.tried(ep.ID) {
			continue
		}
		if ep.resting(now) || s.heldBack(now, ep) {
			reason = Overloaded
			continue
		}
		if now < ep.ejectedUntil && !s.allEjected(now, p, r) {
			continue
		}
		busy := ep.running + ep.othersRunning(now)
		if busy >= 2*max(ep.Slots, 1) {
			reason = Overloaded
			continue
		}
		wait := assumedCallTime + assumedCallTime*time.Duration(busy)/time.Duration(max(ep.Slots, 1)) + s.domainCost(ep)
		if best.endpoint == nil || wait < best.estimatedWait {
			best = choice{endpoint: ep, estimatedWait: wait}
		}
	}
	return best, reason
}

// allEjected reports whether all endpoints of a pool that the request has not tried are ejected or leaving. In that case
// ejected ones are used all the same.
func (s *State) allEjected(now time.Duration, p *pool, r *request) bool {
	for _, ep := range p.endpoints {
		if ep.available(now) && !r.tried(ep.ID) && r.fits(ep) {
			return false
		}
	}
	return true
}

// domainCost returns what is added to an endpoint's estimate for its failure domain.
func (s *State) domainCost(ep *endpoint) time.Duration {
	if ep.Domain == s.settings.Domain {
		return 0
	}
	return crossDomainCost
}

// chooseEngine chooses an endpoint for a generation by its time to first token, load and failure domain.
func (s *State) chooseEngine(now time.Duration, p *pool, r *request, g intake.Generation) (choice, Reason) {
	if r.promptPrefixes == nil {
		r.promptPrefixes = prefixesOf(g)
	}
	s.candidates = s.candidates[:0]
	reason := NoModel
	key := Adapter{g.Model, g.Adapter}
	preferred := s.preferredEndpoint(now, p, r, g)
	seed := mixBits(r.arrival.Number ^ s.hostHash)
	isTrial := s.isSuspected(now, r)
	for _, ep := range p.endpoints {
		if !r.mayUse(ep) || r.tried(ep.ID) || !ep.servesModel(now, g.Model) {
			continue
		}
		if now < ep.ejectedUntil || ep.resting(now) || s.heldBack(now, ep) {
			reason = Overloaded
			continue
		}
		if float64(ep.running+ep.othersRunning(now)) >= maxSlotUse*float64(max(ep.Slots, 1)) {
			reason = Overloaded
			continue
		}
		if !ep.hasAdapter(key) && (!p.canOrderAdapters || !ep.acceptsAdapterOrders(now)) {
			continue
		}
		c, inTime := s.estimate(now, ep, r, g, key)
		if !inTime {
			reason = Overloaded
			continue
		}
		score := c.estimatedWait + s.domainCost(ep) + trialCost(ep, isTrial, ep.running+ep.othersRunning(now)) + runningCostOf(now, ep, g)
		if ep == preferred && ep.retention(now, p.spec.Engine) > 0 {
			score -= preferredBonus
		}
		s.candidates = append(s.candidates, candidate{choice: c, score: score, rank: mixBits(seed ^ ep.hash)})
	}
	return pickCandidate(s.candidates), reason
}

// runningCostOf returns what is added to the estimate of an endpoint for its running requests. Each token of a stream waits for
// the engine's batch and for the prompts between two steps, so a long stream counts them more than a short one.
func runningCostOf(now time.Duration, ep *endpoint, g intake.Generation) time.Duration {
	use := float64(ep.running+ep.othersRunning(now)) / float64(max(ep.Slots, 1))
	length := 1 + float64(min(g.MaxOutputTokens, maxCostedOutput))/outputPerRunningCost
	return time.Duration(float64(runningCost) * use * ep.slowness * length)
}

// estimate returns the choice of an endpoint with the estimated time to first token, and whether that token is expected before
// the caller leaves. A request whose first token is not expected within its goal gets the last urgency level, so that its prefill comes
// after that of all requests that can.
func (s *State) estimate(now time.Duration, ep *endpoint, r *request, g intake.Generation, key Adapter) (choice, bool) {
	c := choice{endpoint: ep, level: r.level(), uncached: max(g.PromptTokens-ep.promptCache.cachedTokens(now, r.promptPrefixes, ep.retention(now, r.pool.spec.Engine)), 1)}
	if !ep.hasAdapter(key) {
		c.loadAdapter = true
	}
	c.estimatedWait, c.work = s.timeToFirstToken(now, ep, c)
	arrival := r.arrivedAt - now // relative to now, like the estimated wait
	if r.route.ResponseTarget <= 0 || c.estimatedWait <= arrival+time.Duration(goalShare*float64(r.route.ResponseTarget)) {
		return c, true
	}
	c.level = lateLevel
	c.estimatedWait, c.work = s.timeToFirstToken(now, ep, c)
	return c, c.estimatedWait <= arrival+maxLateWait(r)
}

// timeToFirstToken estimates the time to first token at an endpoint for a prompt at the urgency level of a choice. work is the
// part of it that is prefill, at slowness 1.
func (s *State) timeToFirstToken(now time.Duration, ep *endpoint, c choice) (wait, work time.Duration) {
	tokens := ep.pendingBefore(now, c.level) + ep.othersPendingBefore(now, c.level) + float64(c.uncached)
	work = time.Duration(tokens / prefillRate * float64(time.Second))
	wait = firstTokenOverhead + time.Duration(float64(work)*ep.slowness)
	if c.loadAdapter {
		wait += adapterLoadCost
	}
	return wait, work
}

// maxLateWait returns how long after its arrival a late request may get its first token. Callers leave a stream that has
// been silent for two seconds, four times the route's goal or eight times its longest pause, whichever is longest.
func maxLateWait(r *request) time.Duration {
	patience := max(2*time.Second, 4*r.route.ResponseTarget, 8*r.route.EventGapTarget)
	return time.Duration(lateTimeShare * float64(min(patience, r.deadline-r.arrivedAt)))
}

// preferredEndpoint returns the endpoint that ranks first by rendezvous hashing of the request's adapter; without an adapter,
// of its session, which is the prompt without its last part.
func (s *State) preferredEndpoint(now time.Duration, p *pool, r *request, g intake.Generation) *endpoint {
	key := hashString(g.Model + "/" + g.Adapter)
	if g.Adapter == "" && len(r.promptPrefixes) > 1 {
		key = r.promptPrefixes[len(r.promptPrefixes)-2].key
	}
	var preferred *endpoint
	highest := uint64(0)
	for _, ep := range p.endpoints {
		if !ep.TakesRequests() || !ep.servesModel(now, g.Model) {
			continue
		}
		if weight := mixBits(key ^ ep.hash); preferred == nil || weight > highest {
			preferred, highest = ep, weight
		}
	}
	return preferred
}
