package state

import (
	"maps"
	"time"

	"magnoliahoist/endpoint"
)

// Waiting returns the number of requests in the queues.
func (s *State) Waiting() int {
	waiting := 0
	for _, p := range s.pools {
		waiting += p.queue.Len()
	}
	return waiting
}

// Endpoints returns what the host knows of every endpoint, by pool.
func (s *State) Endpoints() []endpoint.Status {
	var list []endpoint.Status
	for _, entry := range s.replica.View().Pools() {
		if p := s.pools[entry.Name]; p != nil {
			list = append(list, p.view.Inspect()...)
		}
	}
	return list
}

// Ejected returns the names of the endpoints that get no calls after failures.
func (s *State) Ejected() []string {
	var names []string
	for _, p := range s.pools {
		names = p.view.AppendEjected(names)
	}
	return names
}

// Ready reports whether the allowance of every account can be used: the host holds its part, or others hold all of it.
func (s *State) Ready(now time.Duration) bool {
	if !s.replica.Fresh(now) {
		return false
	}
	for _, owner := range s.replica.View().Accounts() {
		share, divided := s.replica.View().ShareOf(owner.Name)
		if !divided {
			return false
		}
		if want := share.PartOf(s.settings.Host); want > 0 && s.takeover.holdings.Part(now, s.replica, owner.Name) < want {
			return false
		}
	}
	return true
}

// Used returns the tokens that this host's callers have used of every model of a pool since the start.
func (s *State) Used(pool string) map[string]int64 {
	if p := s.pools[pool]; p != nil {
		return maps.Clone(p.used)
	}
	return nil
}

// Leaving reports whether the platform's list says that the endpoint at an address is leaving.
func (s *State) Leaving(address string) bool { return s.leaving[address] }
