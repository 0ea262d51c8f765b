package host

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/document"
	"magnoliahoist/metric"
	"magnoliahoist/operator"
	"magnoliahoist/replica"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// newTestHost returns a host that is not started and reaches no service of the platform.
func newTestHost(t testing.TB) *Host {
	settings, err := config.Parse([]byte(`{"id": "h1", "domain": "fukuoka", "secret": "0123456789abcdef", "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "hosts": "127.0.0.1:1"}}`))
	qt.Assert(t, err, qt.IsNil)
	h, err := New(settings, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	return h
}

// BenchmarkObserve measures the cost of the timeline and the metrics for one streamed request.
func BenchmarkObserve(b *testing.B) {
	h := newTestHost(b)
	kinds := []timeline.Kind{timeline.Received, timeline.Sent, timeline.First, timeline.Finished, timeline.Answered}
	request := metric.EndedRequest{Pool: "p", Account: "a", Result: "done", ModelCall: true, Complete: true, UsedTokens: 300, TimeToFirstToken: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		for _, kind := range kinds {
			h.Record(timeline.Event{Kind: kind, Request: "h1-1", Attempt: "h1-1-1", Endpoint: "e", Account: "a"})
		}
		h.CountRequest(request)
	}
}

// TestReload guards against a reload that changes a setting that must be the same on all hosts, and against secrets in the
// list of changed settings that is logged.
func TestReload(t *testing.T) {
	c := qt.New(t)
	h := newTestHost(t)
	next := h.settings
	next.Log.Level, next.Limits.MaxBodyBytes, next.FreshnessWindow, next.Secret = "debug", 2048, next.FreshnessWindow+1, "another secret of hosts"
	h.Reload(next)
	c.Check(h.currentSettings().Limits.MaxBodyBytes, qt.Equals, int64(2048))
	c.Check(h.currentSettings().FreshnessWindow, qt.Equals, h.settings.FreshnessWindow)
	c.Check(changedSettings(h.currentSettings(), next), qt.DeepEquals, []string{"secret", "window"})
}

// TestRecordRemoved guards against a timeline that does not show that a member has died.
func TestRecordRemoved(t *testing.T) {
	c := qt.New(t)
	h := newTestHost(t)
	member := func(id string, revision int64) table.Row {
		return table.Row{Key: replica.KeyForMember(id), Revision: revision, Value: replica.EncodeMember(replica.Member{Address: "127.0.0.1:1", Domain: "d", Group: "all"})}
	}
	before := replica.NewView().WithRows([]table.Row{member("h1", 1), member("h2", 2)}, 2)
	removal := []table.Row{{Key: replica.KeyForMember("h2"), Revision: 3, Value: replica.EncodeTombstone()}}
	h.recordApplied(before, before.WithRows(removal, 3), removal)
	events := timeline.Filter{Change: 3}.Select(timeline.Merge(append(h.endedLogs(), timeline.Log{Host: "h1", Events: h.events(0)})))
	var kinds []string
	for _, e := range events {
		kinds = append(kinds, e.Host+" "+e.Kind.String())
	}
	c.Check(kinds, qt.DeepEquals, []string{"h1 removed", "h2 gap", "h1 applied"})
}

// TestRecordAppliedBounded guards against a host that fills its event ring with old changes when it starts.
func TestRecordAppliedBounded(t *testing.T) {
	h := newTestHost(t)
	var rows []table.Row
	for n := range int64(200) {
		rows = append(rows, table.Row{Key: fmt.Sprintf("fleet/other/%d", n), Revision: n + 1, Value: []byte("{}")})
	}
	h.recordApplied(replica.NewView(), replica.NewView().WithRows(rows, 200), rows)
	events := h.events(0)
	qt.Assert(t, events, qt.HasLen, maxAppliedEvents+1)
	qt.Assert(t, events[maxAppliedEvents].Change, qt.Equals, int64(200))
}

// TestProblems guards against a status that does not list an existing problem, or that lists one on a healthy host.
func TestProblems(t *testing.T) {
	healthy := operator.Status{State: operator.Serving, FreshnessWindow: 3, Models: []operator.Model{{Name: "m", Endpoints: []string{"e"}, ModelsKnown: true}}}
	tests := map[string]struct {
		change func(*operator.Status)
		want   string
	}{
		"healthy":       {func(*operator.Status) {}, ""},
		"stale":         {func(s *operator.Status) { s.State = operator.Stale }, "the host is stale: .*"},
		"no contact":    {func(s *operator.Status) { s.TableContactAge = 4 }, "no contact with the table service .*"},
		"silent member": {func(s *operator.Status) { s.Members = []operator.Member{{ID: "h2", Unresponsive: true}} }, "member h2 .*"},
		"ejected":       {func(s *operator.Status) { s.Endpoints = []operator.Endpoint{{Name: "e", Ejected: true}} }, "endpoint e .* ejected .*"},
		"silent endpoint": {func(s *operator.Status) {
			s.Endpoints = []operator.Endpoint{{Name: "e", ReportAge: document.Duration(6 * time.Second)}}
		}, "endpoint e .* not reported for 6s"},
		"no endpoint":      {func(s *operator.Status) { s.Models[0].Endpoints = nil }, "model m .* has no endpoint"},
		"not reported":     {func(s *operator.Status) { s.Models[0].Endpoints, s.Models[0].ModelsKnown = nil, false }, ""},
		"rate not divided": {func(s *operator.Status) { s.Shares = []operator.Share{{Account: "a"}} }, "account a: .*"},
		"rate divided": {func(s *operator.Status) {
			s.Shares = []operator.Share{{Account: "a", Parts: []operator.Part{{Host: "h", Fraction: 1}}}}
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status := healthy
			status.Models = append([]operator.Model(nil), healthy.Models...)
			test.change(&status)
			list := problemsOf(status, replica.NewView())
			if test.want == "" {
				qt.Assert(t, list, qt.HasLen, 0)
				return
			}
			qt.Assert(t, list, qt.HasLen, 1)
			qt.Assert(t, list[0], qt.Matches, test.want)
		})
	}
}
