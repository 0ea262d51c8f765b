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
		answer metric.Answer
		want   bool
	}{
		"stream":                 {metric.Answer{Complete: true, First: 1900 * ms, Gap: 36 * ms}, true},
		"late first token":       {metric.Answer{Complete: true, First: 1901 * ms, Gap: 36 * ms}, false},
		"late next token":        {metric.Answer{Complete: true, First: 10 * ms, Gap: 37 * ms}, false},
		"incomplete":             {metric.Answer{First: 10 * ms, Gap: 10 * ms}, false},
		"not streamed":           {metric.Answer{Complete: true, Whole: true, Generated: 101, First: 5500 * ms}, true},
		"not streamed, too slow": {metric.Answer{Complete: true, Whole: true, Generated: 101, First: 5501 * ms}, false},
		"not streamed, empty":    {metric.Answer{Complete: true, Whole: true, First: 1900 * ms}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.answer.Attained(), qt.Equals, test.want) })
	}
}

// Guards against measurements that are not exported, and against counting a request whose caller disconnected as one that
// missed the targets.
func TestExport(t *testing.T) {
	c := qt.New(t)
	m := metric.New(metric.Gauges{Rates: func() map[string]float64 { return map[string]float64{"a": 50} }})
	answer := metric.Answer{Pool: "p", Account: "a", Result: "done", Model: true, Complete: true, Tokens: 30, First: time.Second}
	m.CountAnswer(answer)
	m.CountAnswer(metric.Answer{Pool: "p", Account: "a", Result: "cancelled", Model: true, Cancelled: true})
	m.CountAnswer(metric.Answer{Pool: "p", Account: "a", Result: "cut", Model: true, Tokens: 3})
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
	m := metric.New(metric.Gauges{Fresh: zero, Running: zero, Waiting: zero, Revision: zero, Contact: zero, Members: zero, Silent: zero,
		Ejected: zero, Unheld: zero, Broken: zero, Rates: func() map[string]float64 { return map[string]float64{"a": 1} }})
	m.CountAnswer(metric.Answer{Pool: "p", Account: "a", Model: true, Complete: true, Tokens: 1})
	m.CountRefusal("a", "stale")
	m.CountMove("p")
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
