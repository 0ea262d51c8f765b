package state

import (
	"maps"
	"time"

	"magnoliahoist/endpoint"
)

// QueuedRequests returns the number of requests in the queues of all pools.
func (s *State) QueuedRequests() int {
	count := 0
	for _, p := range s.pools {
		count += p.queue.Len()
	}
	return count
}

// Endpoints returns the status of every endpoint, pool by pool.
func (s *State) Endpoints() []endpoint.Status {
	var list []endpoint.Status
	for _, entry := range s.replica.View().Pools() {
		if p := s.pools[entry.Name]; p != nil {
			list = append(list, p.view.Statuses()...)
		}
	}
	return list
}

// EjectedEndpoints returns the names of the endpoints that are ejected after failures, in no fixed order.
func (s *State) EjectedEndpoints() []string {
	var names []string
	for _, p := range s.pools {
		names = p.view.AppendEjected(names)
	}
	return names
}

// Ready reports whether the host is fresh and may use its part of every account's allowance. An account without a share makes it false; one that only other hosts hold does not.
func (s *State) Ready(now time.Duration) bool {
	if !s.replica.Fresh(now) {
		return false
	}
	for _, clientAccount := range s.replica.View().Accounts() {
		share, hasShare := s.replica.View().ShareOf(clientAccount.Name)
		if !hasShare {
			return false
		}
		if part := share.PartOf(s.settings.Host); part > 0 && s.takeover.holdings.UsablePart(now, s.replica, clientAccount.Name) < part {
			return false
		}
	}
	return true
}

// UsedTokens returns, by model, how many tokens this host's callers have used on a pool since the process started.
func (s *State) UsedTokens(pool string) map[string]int64 {
	if p := s.pools[pool]; p != nil {
		return maps.Clone(p.usedTokens)
	}
	return nil
}

// IsLeaving reports whether the platform lists the endpoint at an address as leaving.
func (s *State) IsLeaving(address string) bool { return s.leavingAddresses[address] }
