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

// Exchange is a caller's request with the response to it.
type Exchange struct {
	ID               string
	Host             int
	Route            string
	Path             string
	APIKey           string
	RequestBody      string
	SentAt           time.Duration // since the start of the trial
	EndedAt          time.Duration // since the start of the trial
	Status           int           // 0 when no response header arrived
	HasResponseStamp bool          // the response has an endpoint's response stamp
	Complete         bool          // the whole body arrived
	ResponseBody     string
	LastEvent        string // id of the last complete event; empty without one
	Resumes          string // ID of the exchange that brought the first event of the stream that this one takes up
	LeavingEndpoint  string // id of the endpoint if the response says that the endpoint leaves
}

// Guarantees are the guarantees that are checked, with their bounds.
type Guarantees struct {
	EventsPerStream      int           // in a complete stream
	LimitedRate          float64       // tokens per second
	LimitedBurst         float64       // tokens
	LimitedTokensPerCall float64       // tokens
	LimitedKey           string        // API key of the limited account
	CallerTimeout        time.Duration // a request may reach its endpoint this long after its tokens were granted
	WithdrawnKey         string        // API key that is withdrawn during the trial
	FreshnessWindow      time.Duration // within which a host that no fault affects has learned of a change
	TrustPeriod          time.Duration // after which a host without contact with the store refuses requests with a key
	MinOrderGap          time.Duration // minimum time between orders of two hosts to one engine
	DrainPeriod          time.Duration // after which an endpoint that has announced that it leaves must get no request
	RecoveryTime         time.Duration // without faults, after which a host must meet the time bounds again
}

// Trial holds what callers and endpoints observed in one run of a plan.
type Trial struct {
	Guarantees  Guarantees
	Exchanges   []Exchange
	Endpoints   map[string]fakeplatform.History
	StartedAt   time.Time     // time zero of the trial
	WithdrawnAt time.Duration // when the store acknowledged the withdrawal of the key; 0 when it did not
	Steps       []Step
}

// Violations returns a description of every violated guarantee, sorted.
func (t Trial) Violations() []string {
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
		t.checkLeavingResponses(id, history, report)
		t.checkRests(id, history, report)
	}
	sent := map[string]bool{}
	for _, e := range t.Exchanges {
		sent[e.ID] = true
		t.checkRequest(e, runsByID[e.ID], report)
	}
	for id := range runsByID {
		if !sent[id] {
			report("request %q ran, but no caller sent it", id)
		}
	}
	t.checkRate(runsByID, report)
	t.checkVersions(report)
	slices.Sort(violations)
	return violations
}

// reportFunc records a violation.
type reportFunc func(format string, values ...any)

// checkRequest checks a request's response against the runs of the request at the endpoints.
func (t Trial) checkRequest(e Exchange, runs []fakeplatform.Run, report reportFunc) {
	for _, r := range runs {
		if r.Path != e.Path || r.Body != e.RequestBody || r.HasCallerKey {
			report("request %s for %q with a body of %d bytes ran as %q with %d bytes, caller's key passed on: %t", e.ID, e.Path, len(e.RequestBody), r.Path, len(r.Body), r.HasCallerKey)
		}
	}
	atMostOnce := e.Route == "draft" || e.Route == "stamp"
	if atMostOnce && len(runs) > 1 {
		report("request %s of at-most-once route %s ran %d times", e.ID, e.Route, len(runs))
	}
	if (e.Status == 503 || e.Status == 429) && !e.HasResponseStamp && len(runs) > 0 && atMostOnce {
		report("request %s was refused with %d as not run, but ran", e.ID, e.Status)
	}
	if e.Status == 200 && !e.HasResponseStamp {
		report("request %s got status 200 without an endpoint's response stamp", e.ID)
	}
	if e.Status >= 400 && e.HasResponseStamp {
		report("request %s got status %d with an endpoint's response stamp, but endpoints stamp only successes", e.ID, e.Status)
	}
	if e.Status >= 400 && e.Status < 500 && e.Status != 429 && e.APIKey != t.Guarantees.WithdrawnKey {
		report("request %s was rejected with status %d, but it is valid", e.ID, e.Status)
	}
	if e.Status == 200 && e.Complete {
		t.checkResponse(e, report)
	}
	if e.APIKey == t.Guarantees.WithdrawnKey && len(runs) > 0 && t.WithdrawnAt > 0 && e.SentAt > t.WithdrawnAt+t.withdrawalBound(e) {
		report("request %s was sent %v after the withdrawal of its key was acknowledged, and ran", e.ID, e.SentAt-t.WithdrawnAt)
	}
}

// withdrawalBound returns how long after the acknowledgement of the withdrawal the host of a request may still accept the withdrawn key.
func (t Trial) withdrawalBound(e Exchange) time.Duration {
	for _, s := range t.Steps {
		if s.MayMakeStale(e.Host) && s.At < e.SentAt && s.End()+t.Guarantees.FreshnessWindow > t.WithdrawnAt {
			return t.Guarantees.TrustPeriod + t.Guarantees.FreshnessWindow
		}
	}
	return t.Guarantees.FreshnessWindow
}

// checkResponse checks the body of a complete response with status 200.
func (t Trial) checkResponse(e Exchange, report reportFunc) {
	if !strings.Contains(e.ResponseBody, e.ID) && e.Resumes == "" {
		report("request %s got a response that does not contain its ID: %.80q", e.ID, e.ResponseBody)
	}
	if e.Route != "draft" && e.Route != "free" {
		return
	}
	if e.Resumes != "" {
		return // checkVersions compares it with the stream that it takes up
	}
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(e.ResponseBody)); lines.Scan(); {
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
	if next != t.Guarantees.EventsPerStream+1 {
		report("request %s got a stream that ended without an error after %d events, expected %d", e.ID, next-1, t.Guarantees.EventsPerStream)
	}
}

// checkOrders checks that orders of two hosts to one engine have ascending fencing numbers and are at least MinOrderGap apart.
func (t Trial) checkOrders(id string, orders []fakeplatform.Order, report reportFunc) {
	for i := 1; i < len(orders); i++ {
		last, next := orders[i-1], orders[i]
		if t.ordersDelayed(id, last, next) {
			continue
		}
		gap := time.Duration(next.ReceivedAt-last.ReceivedAt) * time.Millisecond
		switch {
		case next.Owner == last.Owner:
		case next.FencingNumber < last.FencingNumber:
			report("engine %s got an order of %s with fencing number %d after one with %d", id, next.Owner, next.FencingNumber, last.FencingNumber)
		case next.FencingNumber == last.FencingNumber:
			report("engine %s got orders of %s and %s with the same fencing number %d", id, last.Owner, next.Owner, next.FencingNumber)
		case gap < t.Guarantees.MinOrderGap:
			report("engine %s got orders of %s and %s within %v, minimum %v", id, last.Owner, next.Owner, gap, t.Guarantees.MinOrderGap)
		}
	}
}

// ordersDelayed reports whether a pause of the endpoint's process may have delayed all of the orders. After a pause, the endpoint handles everything that arrived meanwhile
// at once and in any sequence, so the recorded times do not tell when the orders were sent.
func (t Trial) ordersDelayed(id string, orders ...fakeplatform.Order) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		pause, ok := s.Act.(PauseEndpoint)
		return ok && id == EndpointID(pause.Endpoint) && !slices.ContainsFunc(orders, func(o fakeplatform.Order) bool {
			after := t.sinceStart(o.ReceivedAt) - s.End()
			return after < 0 || after > t.Guarantees.MinOrderGap
		})
	})
}

// EndpointID returns the ID of the endpoint with a number, as in a plan.
func EndpointID(n int) string { return fmt.Sprint("e", n) }

// checkLeaving checks that a leaving endpoint gets no request later than DrainPeriod after its announcement from a host that no fault affects.
func (t Trial) checkLeaving(id string, history fakeplatform.History, report reportFunc) {
	byID := map[string]Exchange{}
	for _, e := range t.Exchanges {
		byID[e.ID] = e
	}
	for _, period := range history.LeavePeriods {
		late := map[int][]time.Duration{} // by host: times from the announcement to the requests that came too late
		for _, r := range history.Runs {
			after := time.Duration(r.StartedAt-period.From) * time.Millisecond
			e, known := byID[r.ID]
			if !known || after <= t.Guarantees.DrainPeriod || period.To > 0 && r.StartedAt >= period.To {
				continue
			}
			if e.SentAt <= t.sinceStart(period.From)+t.Guarantees.DrainPeriod && t.requestDelayed(id, t.sinceStart(r.StartedAt)) {
				continue
			}
			if !t.mayBeStale(e.Host, t.sinceStart(period.From)-t.Guarantees.RecoveryTime, t.sinceStart(r.StartedAt)) {
				late[e.Host] = append(late[e.Host], after)
			}
		}
		for host, after := range late {
			report("host %d sent %d requests to endpoint %s later than %v after it had announced that it leaves, the last one %v after the announcement", host, len(after), id, t.Guarantees.DrainPeriod, slices.Max(after))
		}
	}
}

// checkLeavingResponses checks that a host that has passed on a response which says that its endpoint leaves sends that process no
// request that a caller sent later than DrainPeriod after, in contact with the store or not.
func (t Trial) checkLeavingResponses(id string, history fakeplatform.History, report reportFunc) {
	runs := map[string]fakeplatform.Run{}
	for _, r := range history.Runs {
		runs[r.ID] = *r
	}
	for _, told := range t.Exchanges {
		restart, known := restartAfter(history, t.StartedAt.Add(told.SentAt).UnixMilli())
		if told.LeavingEndpoint != id || !known {
			continue
		}
		for _, e := range t.Exchanges {
			r, ran := runs[e.ID]
			if !ran || e.Host != told.Host || e.SentAt <= told.EndedAt+t.Guarantees.DrainPeriod || restart > 0 && r.StartedAt >= restart {
				continue
			}
			if !t.hostInterrupted(e.Host, told.EndedAt, t.sinceStart(r.StartedAt)) {
				report("host %d sent request %s to endpoint %s %v after it had passed on a response that says that the endpoint leaves", e.Host, e.ID, id, e.SentAt-told.EndedAt)
				return
			}
		}
	}
}

// restartAfter returns when the process of an endpoint that leaves at a time ended, 0 if it did not; false if no leave period
// contains that time. Times are Unix milliseconds.
func restartAfter(history fakeplatform.History, at int64) (int64, bool) {
	for _, period := range history.LeavePeriods {
		if period.To == 0 || at < period.To {
			return period.To, true
		}
	}
	return 0, false
}

const (
	// restMargin is how long after its refusal an endpoint may still get requests from a host that it has asked for rest.
	restMargin = 500 * time.Millisecond
	// maxRequestsInRest is how many requests an endpoint may get from a host after that in the time that it asked for.
	maxRequestsInRest = 2
)

// checkRests checks that an endpoint that has asked a host for rest gets no more than maxRequestsInRest requests from it in that
// time. The rest ends when the endpoint restarts: the new process has asked for none.
func (t Trial) checkRests(id string, history fakeplatform.History, report reportFunc) {
	hostOf := map[string]int{}
	for _, e := range t.Exchanges {
		hostOf[e.ID] = e.Host
	}
	arrivals := map[int][]time.Duration{} // by host
	for _, r := range history.Runs {
		arrivals[hostOf[r.ID]] = append(arrivals[hostOf[r.ID]], t.sinceStart(r.StartedAt))
	}
	for _, r := range history.Refusals {
		arrivals[hostOf[r.ID]] = append(arrivals[hostOf[r.ID]], t.sinceStart(r.At))
	}
	for _, refusal := range history.Refusals {
		host, at := hostOf[refusal.ID], t.sinceStart(refusal.At)
		until, count := at+refusal.Rest.Std(), 0
		for _, restart := range history.Restarts {
			if restart > refusal.At {
				until = min(until, t.sinceStart(restart))
			}
		}
		for _, arrival := range arrivals[host] {
			if arrival > at+restMargin && arrival < until && !t.requestDelayed(id, arrival) {
				count++
			}
		}
		if count > maxRequestsInRest && !t.hostInterrupted(host, at, until) {
			report("host %d sent %d requests to endpoint %s in the %v for which it had asked for none", host, count, id, refusal.Rest)
			return
		}
	}
}

// hostInterrupted reports whether a host was restarted or suspended in the period between two times.
func (t Trial) hostInterrupted(host int, from, to time.Duration) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		if s.At >= to || s.End()+t.Guarantees.RecoveryTime <= from {
			return false
		}
		switch a := s.Act.(type) {
		case KillHost:
			return a.Host == host
		case StopHost:
			return a.Host == host
		case PauseHost:
			return a.Host == host
		default:
			return false
		}
	})
}

// requestDelayed reports whether a fault of the endpoint or of the links to it may have delayed a request that reached the endpoint at a given time, so that
// the host may have sent it long before.
func (t Trial) requestDelayed(id string, at time.Duration) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		endpoint := -1
		switch a := s.Act.(type) {
		case PauseEndpoint:
			endpoint = a.Endpoint
		case FailEndpoint:
			if a.Failure != Rest { // which refuses requests at once
				endpoint = a.Endpoint
			}
		case Disturb:
			if a.Link == EndpointLink {
				endpoint = a.Index
			}
		}
		return EndpointID(endpoint) == id && s.At < at && s.End()+t.Guarantees.RecoveryTime > at
	})
}

// sinceStart converts Unix milliseconds to the time since the start of the trial.
func (t Trial) sinceStart(at int64) time.Duration { return time.UnixMilli(at).Sub(t.StartedAt) }

// mayBeStale reports whether a step may have kept a host from learning of changes in the period between two times.
func (t Trial) mayBeStale(host int, from, to time.Duration) bool {
	return slices.ContainsFunc(t.Steps, func(s Step) bool { return s.MayMakeStale(host) && s.At < to && s.End() > from })
}

// checkRate checks the rate and burst of the limited account over every interval between the starts of two of its requests.
func (t Trial) checkRate(runs map[string][]fakeplatform.Run, report reportFunc) {
	var starts []int64
	for _, e := range t.Exchanges {
		if e.APIKey != t.Guarantees.LimitedKey || len(runs[e.ID]) == 0 {
			continue
		}
		first := slices.MinFunc(runs[e.ID], func(a, b fakeplatform.Run) int { return int(a.StartedAt - b.StartedAt) })
		starts = append(starts, first.StartedAt)
	}
	slices.Sort(starts)
	for i := range starts {
		for k := i; k < len(starts); k++ {
			interval := time.Duration(starts[k]-starts[i])*time.Millisecond + t.Guarantees.CallerTimeout
			allowed := t.Guarantees.LimitedBurst + t.Guarantees.LimitedRate*interval.Seconds()
			if used := t.Guarantees.LimitedTokensPerCall * float64(k-i+1); used > allowed {
				report("the limited account used %.0f tokens in %v, at most %.0f are allowed", used, interval, allowed)
				return
			}
		}
	}
}
