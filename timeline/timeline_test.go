package timeline_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/timeline"
)

// Guards against an effect that is merged before its cause, although the wall clocks of the hosts differ and are set back,
// and some events are read twice.
func TestPropertyCausesBeforeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		var clocks [hosts]timeline.Clock
		var rings [hosts]*timeline.Ring
		names := []string{"d", "c", "b", "a"}
		for i := range rings {
			rings[i] = timeline.NewRing(1000)
		}
		var edges [][2]string
		addEvent := func(host int, at timeline.Timestamp, id string) {
			rings[host].Add(timeline.Event{Timestamp: at, Host: names[host], Kind: timeline.Sent, Request: id})
		}
		wall := func() time.Time { return time.Unix(0, rapid.Int64Range(0, 50).Draw(t, "wall")) }
		for n := range rapid.IntRange(1, 60).Draw(t, "messages") {
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			cause, effect := "c"+string(rune('0'+n)), "e"+string(rune('0'+n))
			sent := clocks[from].Now(wall())
			addEvent(from, sent, cause)
			addEvent(to, clocks[to].Update(wall(), sent), effect)
			edges = append(edges, [2]string{cause, effect})
		}
		var logs []timeline.Log
		for i, ring := range rings {
			logs = append(logs, timeline.Log{Host: names[i], Events: ring.After(0)}, timeline.Log{Host: names[i], After: 3, Events: ring.After(3)})
		}
		position := map[string]int{}
		merged := timeline.Merge(logs)
		for i, e := range merged {
			position[e.Request] = i
		}
		if len(merged) != 2*len(edges) {
			t.Fatalf("merged %d events, want %d", len(merged), 2*len(edges))
		}
		for _, edge := range edges {
			if position[edge[0]] >= position[edge[1]] {
				t.Fatalf("event %s is not before its effect %s", edge[0], edge[1])
			}
		}
	})
}

// sampleLogs returns the log of a host that overwrote its first event and then ended, and the log of a host whose events
// could not be read.
func sampleLogs() []timeline.Log {
	ring := timeline.NewRing(2)
	for i, kind := range []timeline.Kind{timeline.Joined, timeline.Received, timeline.Answered} {
		ring.Add(timeline.Event{Timestamp: timeline.Timestamp{Wall: int64(i+1) * 1000}, Host: "h1", Kind: kind, Request: "r1"})
	}
	return []timeline.Log{
		{Host: "h1", Events: ring.After(0), EndedAt: timeline.Timestamp{Wall: 9000}},
		{Host: "h2", MissingReason: "no answer"},
	}
}

// Guards against missing events without an event of kind Gap in their place.
func TestGaps(t *testing.T) {
	var out bytes.Buffer
	events := timeline.Filter{Request: "r1"}.Select(timeline.Merge(sampleLogs()))
	qt.Assert(t, timeline.WriteText(&out, events), qt.IsNil)
	want := []string{`h2 .* gap .*no answer`, `h1 .* gap .*1 events before`, `h1 .* received .*request=r1`, `h1 .* answered .*`, `h1 .* gap .*the host ended`}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, len(want))
	for i, line := range lines {
		qt.Check(t, line, qt.Matches, ".*"+want[i]+".*")
	}
}

// Guards against a gap reported for events that were not requested.
func TestMergeAfterSequence(t *testing.T) {
	events := timeline.Merge([]timeline.Log{{Host: "h", After: 6, Events: []timeline.Event{{Sequence: 7}}}})
	qt.Assert(t, events, qt.HasLen, 1)
}

// Guards against a trace that viewers can't load: every trace event needs a phase, and the begin and end of a span need the
// same id.
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, timeline.WriteTrace(&out, timeline.Merge(sampleLogs())), qt.IsNil)
	var trace struct {
		TraceEvents []struct{ Name, Ph, ID string }
	}
	qt.Assert(t, json.Unmarshal(out.Bytes(), &trace), qt.IsNil)
	open := map[string]int{}
	for _, e := range trace.TraceEvents {
		qt.Check(t, e.Ph, qt.Not(qt.Equals), "")
		open[e.Ph+e.ID]++
	}
	qt.Check(t, open["br1"], qt.Equals, 1)
	qt.Check(t, open["er1"], qt.Equals, 1)
}

// Guards against a ring that returns overwritten events, or no events, once it has wrapped around.
func TestRing(t *testing.T) {
	tests := map[string]struct {
		size, add int
		after     uint64
		want      []uint64
	}{
		"empty":         {4, 0, 0, nil},
		"part":          {4, 3, 1, []uint64{2, 3}},
		"wrapped":       {4, 6, 0, []uint64{3, 4, 5, 6}},
		"wrapped, part": {4, 6, 5, []uint64{6}},
		"none newer":    {4, 6, 6, nil},
		"beyond":        {4, 6, 1 << 63, nil},
		"largest":       {4, 6, 1<<64 - 1, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ring := timeline.NewRing(test.size)
			for range test.add {
				ring.Add(timeline.Event{})
			}
			var got []uint64
			for _, e := range ring.After(test.after) {
				got = append(got, e.Sequence)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against kinds whose text UnmarshalText doesn't accept.
func TestKindText(t *testing.T) {
	for kind := timeline.Received; kind <= timeline.Gap; kind++ {
		var got timeline.Kind
		qt.Assert(t, got.UnmarshalText([]byte(kind.String())), qt.IsNil)
		qt.Assert(t, got, qt.Equals, kind)
	}
}

// Guards against a filter by endpoint or account that drops those events of a matching request that lack the field.
func TestFilterSelectsAllEventsOfRequests(t *testing.T) {
	events := []timeline.Event{
		{Kind: timeline.Received, Request: "r1"}, {Kind: timeline.Received, Request: "r2"},
		{Kind: timeline.Sent, Request: "r1", Endpoint: "e1", Account: "a1"}, {Kind: timeline.Sent, Request: "r2", Endpoint: "e2", Account: "a2"},
		{Kind: timeline.Ejected, Endpoint: "e1"}, {Kind: timeline.Borrowed, Account: "a1"}, {Kind: timeline.Answered, Request: "r1"},
	}
	tests := map[string]struct {
		filter timeline.Filter
		want   []timeline.Kind
	}{
		"request":          {timeline.Filter{Request: "r1"}, []timeline.Kind{timeline.Received, timeline.Sent, timeline.Answered}},
		"endpoint":         {timeline.Filter{Endpoint: "e1"}, []timeline.Kind{timeline.Received, timeline.Sent, timeline.Ejected, timeline.Answered}},
		"account":          {timeline.Filter{Account: "a1"}, []timeline.Kind{timeline.Received, timeline.Sent, timeline.Borrowed, timeline.Answered}},
		"account and kind": {timeline.Filter{Account: "a1", Kinds: []timeline.Kind{timeline.Received}}, []timeline.Kind{timeline.Received}},
		"both":             {timeline.Filter{Account: "a1", Endpoint: "e2"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []timeline.Kind
			for _, e := range test.filter.Select(events) {
				got = append(got, e.Kind)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
