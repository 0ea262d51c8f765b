package timeline

import "slices"

// Filter chooses events; empty fields choose all. Gaps of a chosen host are always kept,
// because the events searched for may be among the missing ones.
type Filter struct {
	Host, Request, Endpoint, Account, Order string
	Change                                  int64
	Kinds                                   []Kind
	Since, Until                            Stamp // Until is excluded
}

// Match reports whether the filter chooses the event.
func (f Filter) Match(e Event) bool {
	if f.Host != "" && f.Host != e.Host || e.Stamp.Compare(f.Since) < 0 {
		return false
	}
	if !f.Until.IsZero() && e.Stamp.Compare(f.Until) >= 0 {
		return false
	}
	if e.Kind == Gap {
		return true
	}
	return equal(f.Request, e.Request) && equal(f.Endpoint, e.Endpoint) && equal(f.Account, e.Account) && equal(f.Order, e.Order) &&
		(f.Change == 0 || f.Change == e.Change) && (len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// Select returns the events that the filter chooses. A request of which an event has the endpoint, the
// account or the order is chosen with all its events, because some of them lack these fields: a request
// that arrives has no endpoint yet.
func (f Filter) Select(events []Event) []Event {
	chosen := f.requests(events)
	whole := Filter{Host: f.Host, Kinds: f.Kinds, Since: f.Since, Until: f.Until}
	var list []Event
	for _, e := range events {
		if f.Match(e) || chosen[e.Request] && whole.Match(e) {
			list = append(list, e)
		}
	}
	return list
}

// requests returns the requests of which the filter chooses an event by endpoint, account or order.
func (f Filter) requests(events []Event) map[string]bool {
	if f.Endpoint == "" && f.Account == "" && f.Order == "" {
		return nil
	}
	f.Kinds = nil
	chosen := map[string]bool{}
	for _, e := range events {
		if e.Request != "" && e.Kind != Gap && f.Match(e) {
			chosen[e.Request] = true
		}
	}
	return chosen
}

func equal(want, got string) bool { return want == "" || want == got }
