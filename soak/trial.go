package soak

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"magnoliahoist/platform/fakeplatform"
)

// Asked is a caller's request with the response to it.
type Asked struct {
	ID     string
	Host   int
	Route  string
	Path   string
	Key    string
	Body   string
	Sent   time.Duration // since the start of the trial
	Ended  time.Duration // since the start of the trial
	Status int           // 0 when no response header arrived
	Signed bool          // the response has an endpoint's response stamp
	Whole  bool          // the whole body arrived
	Answer string        // body
}

// Promises are the guarantees that are checked, with their bounds.
type Promises struct {
	Events    int           // in a complete stream
	Rate      float64       // of the limited account, tokens per second
	Burst     float64       // of the limited account, tokens
	Cost      float64       // of one call of the limited account, tokens
	Limited   string        // API key of the limited account
	Patience  time.Duration // timeout of callers; a request may reach its endpoint this long after its tokens were granted
	Withdrawn string        // API key that is withdrawn during the trial
	InTouch   time.Duration // within which a host that no fault affects has learned of a change
	Trust     time.Duration // after which a host without contact with the store refuses requests with a key
	Lease     time.Duration // minimum time between orders of two hosts to one engine
	Drain     time.Duration // after which an endpoint that has announced that it leaves must get no request
	Contact   time.Duration // without faults, after which a host must meet the time bounds again
}

// Play is what callers and endpoints observed in one run of a plan, a trial.
type Play struct {
	Promises  Promises
	Asked     []Asked
	Endpoints map[string]fakeplatform.History
	Began     time.Time     // time zero of the trial
	Acked     time.Duration // when the store acknowledged the withdrawal of the key; 0 when it did not
	Steps     []Step
}

// Judge returns a description of every violated guarantee, sorted.
func (t Play) Judge() []string {
	var violations []string
	report := func(format string, values ...any) { violations = append(violations, fmt.Sprintf(format, values...)) }
	runsByID := map[string][]fakeplatform.Run{}
	for id, history := range t.Endpoints {
		if history.Crashed {
			report("endpoint %s crashed: it was ordered to load more than fits into its memory", id)
		}
		for _, r := range history.Runs {
			runsByID[r.ID] = append(runsByID[r.ID], *r)
		}
		t.checkOrders(id, history.Orders, report)
		t.checkLeaving(id, history, report)
	}
	sent := map[string]bool{}
	for _, e := range t.Asked {
		sent[e.ID] = true
		t.checkRequest(e, runsByID[e.ID], report)
	}
	for id := range runsByID {
		if !sent[id] {
			report("request %q ran, but no caller sent it", id)
		}
	}
	t.checkRate(runsByID, report)
	slices.Sort(violations)
	return violations
}

// reportFunc records a violation.
type reportFunc func(format string, values ...any)

// checkRequest checks a request's response against the runs of the request at the endpoints.
func (t Play) checkRequest(e Asked, runs []fakeplatform.Run, report reportFunc) {
	for _, r := range runs {
		if r.Path != e.Path || r.Body != e.Body || r.Keyed {
			report("request %s for %q with a body of %d bytes ran as %q with %d bytes, caller's key passed on: %t", e.ID, e.Path, len(e.Body), r.Path, len(r.Body), r.Keyed)
		}
	}
	atMostOnce := e.Route == "draft" || e.Route == "stamp"
	if atMostOnce && len(runs) > 1 {
		report("request %s of at-most-once route %s ran %d times", e.ID, e.Route, len(runs))
	}
	if (e.Status == 503 || e.Status == 429) && !e.Signed && len(runs) > 0 && atMostOnce {
		report("request %s was refused with %d as not run, but ran", e.ID, e.Status)
	}
	if e.Status == 200 && !e.Signed {
		report("request %s got status 200 without an endpoint's response stamp", e.ID)
	}
	if e.Status >= 400 && e.Signed {
		report("request %s got status %d with an endpoint's response stamp, but endpoints stamp only successes", e.ID, e.Status)
	}
	if e.Status >= 400 && e.Status < 500 && e.Status != 429 && e.Key != t.Promises.Withdrawn {
		report("request %s was rejected with status %d, but it is valid", e.ID, e.Status)
	}
	if e.Status == 200 && e.Whole {
		t.checkResponse(e, report)
	}
	if e.Key == t.Promises.Withdrawn && len(runs) > 0 && t.Acked > 0 && e.Sent > t.Acked+t.withdrawalBound(e) {
		report("request %s was sent %v after the withdrawal of its key was acknowledged, and ran", e.ID, e.Sent-t.Acked)
	}
}

// withdrawalBound returns how long after the acknowledgement of the withdrawal the host of a request may still accept the withdrawn key.
func (t Play) withdrawalBound(e Asked) time.Duration {
	for _, s := range t.Steps {
		if s.Touches(e.Host) && s.At < e.Sent && s.End()+t.Promises.InTouch > t.Acked {
			return t.Promises.Trust + t.Promises.InTouch
		}
	}
	return t.Promises.InTouch
}

// checkResponse checks the body of a complete response with status 200.
func (t Play) checkResponse(e Asked, report reportFunc) {
	if !strings.Contains(e.Answer, e.ID) {
		report("request %s got a response that does not contain its ID: %.80q", e.ID, e.Answer)
	}
	if e.Route != "draft" && e.Route != "free" {
		return
	}
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(e.Answer)); lines.Scan(); {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		if id != strconv.Itoa(next) {
			report("request %s got a stream with event %s where event %d was expected", e.ID, id, next)
			return
		}
		next++
	}
	if next != t.Promises.Events+1 {
		report("request %s got a stream that ended without an error after %d events, expected %d", e.ID, next-1, t.Promises.Events)
	}
}

// checkOrders checks that orders of two hosts to one engine have ascending fencing numbers and are at least MinOrderGap apart.
func (t Play) checkOrders(id string, orders []fakeplatform.Order, report reportFunc) {
	for i := 1; i < len(orders); i++ {
		last, next := orders[i-1], orders[i]
		if t.ordersDelayed(id, last, next) {
			continue
		}
		gap := time.Duration(next.At-last.At) * time.Millisecond
		switch {
		case next.Owner == last.Owner:
		case next.Fence < last.Fence:
			report("engine %s got an order of %s with fencing number %d after one with %d", id, next.Owner, next.Fence, last.Fence)
		case next.Fence == last.Fence:
			report("engine %s got orders of %s and %s with the same fencing number %d", id, last.Owner, next.Owner, next.Fence)
		case gap < t.Promises.Lease:
			report("engine %s got orders of %s and %s within %v, minimum %v", id, last.Owner, next.Owner, gap, t.Promises.Lease)
		}
	}
}

// ordersDelayed reports whether a pause of the endpoint's process may have delayed all of the orders. After a pause, the endpoint handles everything that arrived meanwhile
// at once and in any sequence, so the recorded times do not tell when the orders were sent.
func (t Play) ordersDelayed(id string, orders ...fakeplatform.Order) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		pause, is := s.Act.(PauseEndpoint)
		return is && id == EndpointID(pause.Endpoint) && !slices.ContainsFunc(orders, func(o fakeplatform.Order) bool {
			after := t.sinceStart(o.At) - s.End()
			return after < 0 || after > t.Promises.Lease
		})
	})
}

// EndpointID returns the ID of the endpoint with a number, as in a plan.
func EndpointID(n int) string { return fmt.Sprint("e", n) }

// checkLeaving checks that a leaving endpoint gets no request later than DrainPeriod after its announcement from a host that no fault affects.
func (t Play) checkLeaving(id string, history fakeplatform.History, report reportFunc) {
	byID := map[string]Asked{}
	for _, e := range t.Asked {
		byID[e.ID] = e
	}
	for _, left := range history.Left {
		late := map[int][]time.Duration{} // by host: times from the announcement to the requests that came too late
		for _, r := range history.Runs {
			after := time.Duration(r.Began-left.From) * time.Millisecond
			e, known := byID[r.ID]
			if !known || after <= t.Promises.Drain || left.To > 0 && r.Began >= left.To {
				continue
			}
			if e.Sent <= t.sinceStart(left.From)+t.Promises.Drain && t.requestDelayed(id, t.sinceStart(r.Began)) {
				continue
			}
			if !t.mayBeStale(e.Host, t.sinceStart(left.From)-t.Promises.Contact, t.sinceStart(r.Began)) {
				late[e.Host] = append(late[e.Host], after)
			}
		}
		for host, after := range late {
			report("host %d sent %d requests to endpoint %s later than %v after it had announced that it leaves, the last one %v after the announcement", host, len(after), id, t.Promises.Drain, slices.Max(after))
		}
	}
}

// requestDelayed reports whether a fault of the endpoint or of the links to it may have delayed a request that reached the endpoint at a given time, so that
// the host may have sent it long before.
func (t Play) requestDelayed(id string, at time.Duration) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		endpoint := -1
		switch a := s.Act.(type) {
		case PauseEndpoint:
			endpoint = a.Endpoint
		case FailEndpoint:
			endpoint = a.Endpoint
		case Disturb:
			if a.Link == EndpointLink {
				endpoint = a.Index
			}
		}
		return EndpointID(endpoint) == id && s.At < at && s.End()+t.Promises.Contact > at
	})
}

// sinceStart converts Unix milliseconds to the time since the start of the trial.
func (t Play) sinceStart(at int64) time.Duration { return time.UnixMilli(at).Sub(t.Began) }

// mayBeStale reports whether a step may have kept a host from learning of changes in the period between two times.
func (t Play) mayBeStale(host int, from, to time.Duration) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool { return s.Touches(host) && s.At < to && s.End() > from })
}

// checkRate checks the rate and burst of the limited account over every interval between the starts of two of its requests.
func (t Play) checkRate(runs map[string][]fakeplatform.Run, add reportFunc) {
	var starts []int64
	for _, e := range t.Asked {
		if e.Key != t.Promises.Limited || len(runs[e.ID]) == 0 {
			continue
		}
		first := slices.MinFunc(runs[e.ID], func(a, b fakeplatform.Run) int { return int(a.Began - b.Began) })
		starts = append(starts, first.Began)
	}
	slices.Sort(starts)
	for i := range starts {
		for k := i; k < len(starts); k++ {
			interval := time.Duration(starts[k]-starts[i])*time.Millisecond + t.Promises.Patience
			allowed := t.Promises.Burst + t.Promises.Rate*interval.Seconds()
			if used := t.Promises.Cost * float64(k-i+1); used > allowed {
				add("the limited account used %.0f tokens in %v, at most %.0f are allowed", used, interval, allowed)
				return
			}
		}
	}
}
