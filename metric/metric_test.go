package metric_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/metric"
)

// Guards against counting slow or incomplete responses as meeting the targets, and against not counting those that do.
func TestAttained(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		request metric.EndedRequest
		want    bool
	}{
		"stream":                 {metric.EndedRequest{Complete: true, TimeToFirstToken: 1900 * ms, MaxInterTokenLatency: 36 * ms}, true},
		"late first token":       {metric.EndedRequest{Complete: true, TimeToFirstToken: 1901 * ms, MaxInterTokenLatency: 36 * ms}, false},
		"late next token":        {metric.EndedRequest{Complete: true, TimeToFirstToken: 10 * ms, MaxInterTokenLatency: 37 * ms}, false},
		"incomplete":             {metric.EndedRequest{TimeToFirstToken: 10 * ms, MaxInterTokenLatency: 10 * ms}, false},
		"not streamed":           {metric.EndedRequest{Complete: true, Unstreamed: true, GeneratedTokens: 101, TimeToFirstToken: 5500 * ms}, true},
		"not streamed, too slow": {metric.EndedRequest{Complete: true, Unstreamed: true, GeneratedTokens: 101, TimeToFirstToken: 5501 * ms}, false},
		"not streamed, empty":    {metric.EndedRequest{Complete: true, Unstreamed: true, TimeToFirstToken: 1900 * ms}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.request.MetTargets(), qt.Equals, test.want) })
	}
}

// Guards against measurements that are not exported, and against counting a request whose caller disconnected as one that
// missed the targets.
func TestExport(t *testing.T) {
	c := qt.New(t)
	m := metric.New(metric.Gauges{AccountRates: func() map[string]float64 { return map[string]float64{"a": 50} }})
	request := metric.EndedRequest{Pool: "p", Account: "a", Result: "done", ModelCall: true, Complete: true, UsedTokens: 30, TimeToFirstToken: time.Second}
	m.CountRequest(request)
	m.CountRequest(metric.EndedRequest{Pool: "p", Account: "a", Result: "cancelled", ModelCall: true, Cancelled: true})
	m.CountRequest(metric.EndedRequest{Pool: "p", Account: "a", Result: "cut", ModelCall: true, UsedTokens: 3})
	m.CountRefusal("a", "rate_limited")
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`attained_total{account="a",pool="p"} 1`, `model_requests_total{account="a",pool="p"} 2`, `tokens_total{account="a"} 33`,
		`requests_total{account="a",result="cancelled"} 1`, `refused_total{account="a",reason="rate_limited"} 1`,
		`account_rate{account="a"} 50`, `first_token_seconds_count{pool="p"} 1`, `token_gap_seconds_count{pool="p"} 1`,
	} {
		c.Check(recorder.Body.String(), qt.Contains, "magnoliahoist_"+line)
	}
}

// Guards against a metric that docs/OPERATIONS.md does not mention.
func TestDocumented(t *testing.T) {
	zero := func() float64 { return 0 }
	m := metric.New(metric.Gauges{FreshFor: zero, ActiveRequests: zero, QueuedRequests: zero, Revision: zero, TableContactAge: zero, Members: zero, UnresponsiveMembers: zero,
		EjectedEndpoints: zero, NonResidentModels: zero, BrokenRows: zero, AccountRates: func() map[string]float64 { return map[string]float64{"a": 1} }})
	m.CountRequest(metric.EndedRequest{Pool: "p", Account: "a", ModelCall: true, Complete: true, UsedTokens: 1})
	m.CountRefusal("a", "stale")
	m.CountModelOrder("p")
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	names := regexp.MustCompile(`# TYPE (magnoliahoist_\w+)`).FindAllStringSubmatch(recorder.Body.String(), -1)
	qt.Assert(t, len(names) > 15, qt.IsTrue)
	for _, name := range names {
		qt.Check(t, string(page), qt.Contains, "`"+name[1]+"`")
	}
}
