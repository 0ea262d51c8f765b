package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/intake"
)

// identify finds the route and the client account of a request; the account is empty on routes that need no key. It returns false and
// the reason when the request must be refused. It changes nothing.
func (s *State) identify(request *intake.Request, cutOff bool) (catalog.Route, catalog.Account, Reason, bool) {
	if s.catalog == nil {
		return catalog.Route{}, catalog.Account{}, NotReady, false
	}
	route, knownRoute := s.catalog.RouteFor(request.Host, request.Path)
	if !knownRoute {
		return catalog.Route{}, catalog.Account{}, UnknownRoute, false
	}
	if route.Open || !s.catalog.RequiresKeys() {
		return route, catalog.Account{}, 0, true
	}
	if cutOff {
		return catalog.Route{}, catalog.Account{}, CutOff, false
	}
	if request.HasKey {
		if account, knownKey := s.catalog.AccountByKey(request.Key); knownKey {
			return route, account, 0, true
		}
	}
	return catalog.Route{}, catalog.Account{}, UnknownKey, false
}

// RefusalByHeader returns the refusal of a request that is refused whatever its body is, so that the body need not be read. It returns
// false if the request may be admitted once its body is there. It changes nothing.
func (s *State) RefusalByHeader(now time.Duration, arrival RequestArrived) (RefuseRequest, bool) {
	route, _, reason, known := s.identify(arrival.Request, arrival.CutOff)
	if known && s.outlives(now+timeLimit(arrival.Request.CallerTimeout, route.Timeout)) {
		reason, known = Stopping, false
	}
	return RefuseRequest{Number: arrival.Number, Reason: reason}, !known
}
