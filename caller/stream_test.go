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

// events builds an endpoint's stream.
func events(lines ...string) string { return strings.Join(lines, "\n\n") + "\n\n" }

func event(id, data string) string { return "id: " + id + "\ndata: " + data }

func newRelay(w http.ResponseWriter) *relay {
	now := func() time.Duration { return 0 }
	return &relay{w: w, begin: func() {}, now: now, pace: &pace{}, attempt: "a", next: firstOffset}
}

// Guards against a stream that is handed on although it is cut, crossed or lacks an event.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		body string
		want error
		out  string
		done bool
	}{
		"complete":        {events(event("a:1", "x"), event("a:2", doneMark)), nil, "data: x\n\ndata: [DONE]\n\n", true},
		"cut":             {events(event("a:1", "x")), errCut, "data: x\n\n", false},
		"cut in an event": {event("a:1", "x"), errCut, "", false},
		"crossed":         {events(event("a:1", "x"), event("b:2", "y")), errCrossed, "data: x\n\n", false},
		"crossed end":     {events(event("a:1", "x"), event("b:2", doneMark)), errCrossed, "data: x\n\n", false},
		"no id":           {events("data: x"), errCrossed, "", false},
		"gap":             {events(event("a:1", "x"), event("a:3", doneMark)), errGap, "data: x\n\n", false},
		"repeated":        {events(event("a:1", "x"), event("a:1", "x"), event("a:2", doneMark)), nil, "data: x\n\ndata: [DONE]\n\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			r := newRelay(w)
			err := r.copy(strings.NewReader(test.body))
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(w.Body.String(), qt.Equals, test.out)
			c.Assert(r.done, qt.Equals, test.done)
		})
	}
}

// Guards against events of another attempt, or out of order, for any bytes that an endpoint sends.
func FuzzRelay(f *testing.F) {
	f.Add(events(event("a:1", "x"), event("a:2", doneMark)))
	f.Add(events(event("b:1", "x")))
	f.Add("id: a:1\ndata: {\"usage\":{\"completion_tokens\":3}}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		w := httptest.NewRecorder()
		r := newRelay(w)
		err := r.copy(strings.NewReader(body))
		if r.done != (err == nil) {
			t.Fatalf("done %v, error %v", r.done, err)
		}
		if passed := int64(strings.Count(w.Body.String(), "\n\n")); passed < r.next-firstOffset {
			t.Fatalf("%d events passed, offset %d", passed, r.next)
		}
	})
}
