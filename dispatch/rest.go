package dispatch

import (
	"time"

	"magnoliahoist/intake"
)

// maxRest bounds the rest that an endpoint may ask for.
const maxRest = time.Hour

// handleEndpointResting notes that a process of an endpoint has asked this host to send it nothing for some time. A later
// registration of the same process does not end that time.
func (s *State) handleEndpointResting(now time.Duration, e EndpointResting) {
	until := now + min(e.For, maxRest)
	process := e.Endpoint.Process()
	if until <= s.restUntil[process] {
		return
	}
	s.restUntil[process] = until
	if ep := s.poolByName(e.Endpoint.Pool).byID[e.Endpoint.ID]; ep != nil && ep.SameProcess(e.Endpoint) {
		ep.restUntil = until
	}
}

// allResting returns how long all endpoints that could serve a request rest or are held back because they are cold, 0 if one is not,
// and the retry-after of a request that is refused for that.
func (s *State) allResting(now time.Duration, r *request) (shortest, retryAfter time.Duration) {
	g, isGeneration := r.arrival.Request.Work.(intake.Generation)
	for _, ep := range r.pool.endpoints {
		if !r.mayUse(ep) || isGeneration && !ep.servesModel(now, g.Model) {
			continue
		}
		wait, retry := s.coldWait(now, ep)
		rest := max(ep.restUntil-now, 0)
		wait, retry = max(wait, rest), max(retry, rest)
		if wait == 0 {
			return 0, 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
		if retryAfter == 0 || retry < retryAfter {
			retryAfter = retry
		}
	}
	return shortest, retryAfter
}
