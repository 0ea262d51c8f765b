package fault_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
)

// TestReplaceOverHTTP guards against a misspelt fault that clears the others instead of being refused, and against faults that
// remain after a replacement.
func TestReplaceOverHTTP(t *testing.T) {
	c := qt.New(t)
	cases := map[string]struct {
		body   string
		status int
		want   fault.Faults
	}{
		"set":     {`{"slow":"200ms","loseReply":2}`, 200, fault.Faults{Slow: document.Duration(200 * time.Millisecond), LoseReply: 2}},
		"clear":   {`{}`, 200, fault.Faults{}},
		"unknown": {`{"loseReplies":1}`, 400, fault.Faults{Down: true}},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			set := fault.NewSet()
			set.Replace(fault.Faults{Down: true})
			w := httptest.NewRecorder()
			handler := set.Wrap(context.Background(), http.NotFoundHandler())
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, fault.Path, strings.NewReader(test.body)))
			c.Assert(w.Code, qt.Equals, test.status)
			c.Assert(set.Faults(), qt.Equals, test.want)
		})
	}
}

// TestTake guards against counters that affect more operations than their number, or that count for another fault.
func TestTake(t *testing.T) {
	c := qt.New(t)
	counters := map[string]struct {
		counter fault.Counter
		faults  fault.Faults
	}{
		"lose reply":   {fault.LoseReply, fault.Faults{LoseReply: 1}},
		"lose order":   {fault.LoseOrder, fault.Faults{LoseOrder: 1}},
		"double order": {fault.DoubleOrder, fault.Faults{DoubleOrder: 1}},
		"cut stream":   {fault.CutStream, fault.Faults{CutStream: 1}},
		"swap reply":   {fault.SwapReply, fault.Faults{SwapReply: 1}},
		"lose event":   {fault.LoseEvent, fault.Faults{LoseEvent: 1}},
	}
	for name, test := range counters {
		c.Run(name, func(c *qt.C) {
			set := fault.NewSet()
			set.Replace(test.faults)
			taken := 0
			for _, other := range counters {
				if set.Consume(other.counter) {
					taken++
					c.Assert(other.counter, qt.Equals, test.counter)
				}
			}
			c.Assert(taken, qt.Equals, 1)
			c.Assert(set.Consume(test.counter), qt.IsFalse)
		})
	}
}

// TestStop guards against a Stop that waits for delayed functions.
func TestStop(t *testing.T) {
	c := qt.New(t)
	lifecycle := fault.NewLifecycle()
	lifecycle.After(time.Hour, func() { t.Error("the delayed function ran although the lifecycle was stopped") })
	lifecycle.Stop()
	<-lifecycle.Done()
	c.Assert(lifecycle.Go(func() {}), qt.IsFalse)
}
