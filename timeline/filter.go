package timeline

import "slices"

// Filter selects events by the fields that are set; an empty field matches every event. A gap matches if its host and
// time do, because the events that are searched for may be among the missing ones.
type Filter struct {
	Host, Request, Endpoint, Account, Order string
	Change                                  int64
	Kinds                                   []Kind
	Since, Until                            Timestamp // from Since on, before Until
}

// Match reports whether the event matches all fields of the filter that are set.
func (f Filter) Match(e Event) bool {
	if f.Host != "" && f.Host != e.Host || e.Timestamp.Compare(f.Since) < 0 {
		return false
	}
	if !f.Until.IsZero() && e.Timestamp.Compare(f.Until) >= 0 {
		return false
	}
	if e.Kind == Gap {
		return true
	}
	return matches(f.Request, e.Request) && matches(f.Endpoint, e.Endpoint) && matches(f.Account, e.Account) && matches(f.Order, e.Order) &&
		(f.Change == 0 || f.Change == e.Change) && (len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// Select returns the events that match the filter. If the filter has an endpoint, account or order and an event of a request
// matches it, the other events of the request need to match its host, kinds and times only, because some of them lack the
// other fields: a request that arrives has no endpoint yet.
func (f Filter) Select(events []Event) []Event {
	requests := f.matchingRequests(events)
	requestFilter := Filter{Host: f.Host, Kinds: f.Kinds, Since: f.Since, Until: f.Until}
	var selected []Event
	for _, e := range events {
		if f.Match(e) || requests[e.Request] && requestFilter.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// matchingRequests returns the requests with an event that matches the filter, regardless of its kinds. It returns nil if
// the filter has no endpoint, account or order.
func (f Filter) matchingRequests(events []Event) map[string]bool {
	if f.Endpoint == "" && f.Account == "" && f.Order == "" {
		return nil
	}
	f.Kinds = nil
	matching := map[string]bool{}
	for _, e := range events {
		if e.Request != "" && e.Kind != Gap && f.Match(e) {
			matching[e.Request] = true
		}
	}
	return matching
}

// matches reports whether a field of an event matches a filter's, which matches everything if it is empty.
func matches(want, got string) bool { return want == "" || want == got }
