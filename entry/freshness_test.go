package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
	"magnoliahoist/document"
	"magnoliahoist/intake"
	"magnoliahoist/platform"
)

// TestStreamNeedsCurrentRegistrations guards against a stream that goes on at an endpoint which has restarted with another software version
// while the host was suspended or cut off, against a wait without end, and against requests that don't go on with a stream and wait.
func TestStreamNeedsCurrentRegistrations(t *testing.T) {
	const drain = 400 * time.Millisecond
	for name, test := range map[string]struct {
		suspended  time.Duration
		resumption intake.Resumption
		begun      bool // within the same response
		confirmed  bool // the store confirms the registrations while the request waits
		want       bool
	}{
		"taken up":                          {0, intake.Resumption{LastEventID: "3"}, false, false, true},
		"taken up after a suspension":       {2 * drain, intake.Resumption{LastEventID: "3"}, false, false, false},
		"resumed after a suspension":        {2 * drain, intake.Resumption{}, true, false, false},
		"taken up, confirmed in the wait":   {2 * drain, intake.Resumption{LastEventID: "3"}, false, true, true},
		"new stream after a suspension":     {2 * drain, intake.Resumption{}, false, false, true},
		"without an event, not a taking up": {2 * drain, intake.Resumption{RequestID: "s1"}, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			h := startAgain("a", store)
			h.settings.DrainLimit = document.Duration(drain)
			h.confirmRegistrations(t)
			time.Sleep(test.suspended)
			attempt := &task{request: &intake.Request{ID: "r", Resumption: test.resumption}, headWritten: test.begun}
			attempt.lastSend.Route = catalog.Route{Stream: true, Resumable: true}
			if test.confirmed {
				time.AfterFunc(100*time.Millisecond, func() { h.confirmRegistrations(t) })
			}
			qt.Check(t, h.mayGoOn(t.Context(), attempt), qt.Equals, test.want)
			startedAt := h.Now()
			qt.Check(t, h.mayGoOn(t.Context(), attempt), qt.Equals, test.want)
			qt.Check(t, h.Now()-startedAt < maxFreshnessWait, qt.IsTrue, qt.Commentf("the second attempt waits again"))
		})
	}
}

// confirmRegistrations reads the registrations as a follower does.
func (h *Host) confirmRegistrations(t *testing.T) {
	snapshot, err := h.store.ReadAll(context.Background(), platform.EndpointTable)
	for err == nil && snapshot.Clock == 0 { // the stand-in's clock begins at 0, which stands for an unknown time
		snapshot, err = h.store.ReadAll(context.Background(), platform.EndpointTable)
	}
	qt.Check(t, err, qt.IsNil)
	h.store.ConfirmConfig(snapshot.Clock)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyEndpointRows(h.registry.replace(snapshot.Rows, snapshot.Revision))
	h.registry.confirm(snapshot.Clock)
}
