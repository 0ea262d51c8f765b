package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// TestStopping guards against requests that a stopping host passes on although they may take longer than the host, and against refusals
// of those that end before it or that are running. Calls time out after 800 ms here.
func TestStopping(t *testing.T) {
	for name, test := range map[string]struct {
		remaining time.Duration // until the host ends its requests
		refused   bool
	}{
		"ends before the host": {time.Second, false},
		"outlives the host":    {700 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			running := h.lastNumber + 1
			for range 8 {
				h.arrive("/lookup/1", intake.ServiceCall{})
			}
			waiting, effects := h.arrive("/lookup/1", intake.ServiceCall{})
			_, sent := findSend(effects)
			qt.Assert(t, sent, qt.IsFalse)
			stopping := h.apply(dispatch.HostStopping{EndsAt: h.now + test.remaining})
			refuse, refused := findRefusal(stopping)
			qt.Check(t, refused, qt.Equals, test.refused)
			if test.refused {
				qt.Check(t, stopping, qt.HasLen, 1, qt.Commentf("running requests stay"))
				qt.Check(t, refuse.Number, qt.Equals, waiting)
				qt.Check(t, refuse.Reason, qt.Equals, dispatch.Stopping)
				qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanNo)
			}

			late := &intake.Request{ID: "late", Host: "h", Path: "/lookup/1", Key: catalog.DigestOf(apiKey), HasKey: true, Work: intake.ServiceCall{}}
			_, refused = h.state.RefusalByHeader(h.now, dispatch.RequestArrived{Number: 100, Request: late})
			qt.Check(t, refused, qt.Equals, test.refused, qt.Commentf("by its header"))
			late.CallerTimeout = 600 * time.Millisecond
			_, refused = findRefusal(h.apply(dispatch.RequestArrived{Number: 100, Request: late}))
			qt.Check(t, refused, qt.IsFalse, qt.Commentf("the caller waits for less long"))
			refuse, refused = findRefusal(h.apply(dispatch.RequestArrived{Number: 101, Request: &intake.Request{ID: "late", Host: "h", Path: "/lookup/1", Key: catalog.DigestOf(apiKey), HasKey: true, Work: intake.ServiceCall{}}}))
			qt.Check(t, refused, qt.Equals, test.refused)
			if test.refused {
				qt.Check(t, refuse.Reason, qt.Equals, dispatch.Stopping)
			}

			refuse, refused = findRefusal(h.finish(running, dispatch.Failure))
			qt.Check(t, refused && refuse.Number == running, qt.Equals, test.refused, qt.Commentf("a failed attempt is not repeated"))
		})
	}
}

// TestStopped guards against a refusal that says "not executed" for a request whose attempt the host ends as it stops.
func TestStopped(t *testing.T) {
	h := newHarness(t)
	number, _ := h.arrive("/stamp/1", intake.ServiceCall{})
	refuse, refused := findRefusal(h.apply(dispatch.RequestStopped{Number: number}))
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Reason, qt.Equals, dispatch.Stopping)
	qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanUnknown)
	qt.Check(t, h.state.ActiveRequests(), qt.Equals, 0)
}
