package caller

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// events returns an endpoint's stream with the events.
func events(lines ...string) string { return strings.Join(lines, "\n\n") + "\n\n" }

func event(id, data string) string { return "id: " + id + "\ndata: " + data }

func newRelay(w http.ResponseWriter) *relay {
	now := func() time.Duration { return 0 }
	return &relay{w: w, onFirstEvent: func() {}, now: now, timing: &tokenTiming{}, attemptID: "a", nextOffset: firstOffset}
}

// Guards against a stream that is forwarded as complete although it is truncated, lacks an event or has one of another attempt.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		body string
		want error
		out  string
		done bool
	}{
		"complete":                    {events(event("a:1", "x"), event("a:2", doneMark)), nil, "data: x\n\ndata: [DONE]\n\n", true},
		"truncated":                   {events(event("a:1", "x")), errIncomplete, "data: x\n\n", false},
		"truncated in an event":       {event("a:1", "x"), errIncomplete, "", false},
		"other attempt":               {events(event("a:1", "x"), event("b:2", "y")), errWrongAttempt, "data: x\n\n", false},
		"last event of other attempt": {events(event("a:1", "x"), event("b:2", doneMark)), errWrongAttempt, "data: x\n\n", false},
		"no id":                       {events("data: x"), errWrongAttempt, "", false},
		"gap":                         {events(event("a:1", "x"), event("a:3", doneMark)), errMissingEvent, "data: x\n\n", false},
		"repeated":                    {events(event("a:1", "x"), event("a:1", "x"), event("a:2", doneMark)), nil, "data: x\n\ndata: [DONE]\n\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			r := newRelay(w)
			err := r.copyEvents(strings.NewReader(test.body))
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(w.Body.String(), qt.Equals, test.out)
			c.Assert(r.complete, qt.Equals, test.done)
		})
	}
}

// Guards against forwarding events of another attempt or out of order, whatever bytes an endpoint sends.
func FuzzRelay(f *testing.F) {
	f.Add(events(event("a:1", "x"), event("a:2", doneMark)))
	f.Add(events(event("b:1", "x")))
	f.Add("id: a:1\ndata: {\"usage\":{\"completion_tokens\":3}}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		w := httptest.NewRecorder()
		r := newRelay(w)
		err := r.copyEvents(strings.NewReader(body))
		if r.complete != (err == nil) {
			t.Fatalf("stream complete: %v, but the error is %v", r.complete, err)
		}
		if written := int64(strings.Count(w.Body.String(), "\n\n")); written < r.nextOffset-firstOffset {
			t.Fatalf("%d events were written, but the next offset is %d", written, r.nextOffset)
		}
	})
}
