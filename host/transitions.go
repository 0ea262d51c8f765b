package host

import (
	"time"

	"magnoliahoist/timeline"
)

// watchInterval is how often watchTransitions checks for changes.
const watchInterval = 100 * time.Millisecond

// watchTransitions records when the host becomes fresh or stale and when endpoints are ejected or restored, until the host
// stops.
func (h *Host) watchTransitions() error {
	fresh, ejected := false, map[string]bool{}
	return h.runEvery(watchInterval, func() {
		if current := h.Fresh(); current != fresh {
			fresh = current
			h.recordFreshness(fresh)
		}
		ejected = h.recordEjections(ejected)
	})
}

// recordFreshness adds a change of the freshness to the timeline and the log.
func (h *Host) recordFreshness(fresh bool) {
	if fresh {
		h.record(timeline.Event{Kind: timeline.Fresh})
		h.log.Info("host: fresh", "revision", h.View().Revision())
		return
	}
	h.record(timeline.Event{Kind: timeline.Stale})
	h.log.Warn("host: stale, refusing requests", "contact", h.contactAge())
}

// recordEjections adds ejected and restored endpoints to the timeline and the log. It takes the endpoints that were ejected
// at the last check and returns those that are ejected now.
func (h *Host) recordEjections(before map[string]bool) map[string]bool {
	h.mu.Lock()
	names := h.state.EjectedEndpoints()
	h.mu.Unlock()
	if len(names) == 0 && len(before) == 0 {
		return before
	}
	ejected := make(map[string]bool, len(names))
	for _, name := range names {
		ejected[name] = true
		if !before[name] {
			h.record(timeline.Event{Kind: timeline.Ejected, Endpoint: name})
			h.log.Warn("host: endpoint ejected", "endpoint", name)
		}
	}
	for name := range before {
		if !ejected[name] {
			h.record(timeline.Event{Kind: timeline.Restored, Endpoint: name})
			h.log.Info("host: endpoint restored", "endpoint", name)
		}
	}
	return ejected
}
