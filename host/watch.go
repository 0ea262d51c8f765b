package host

import (
	"time"

	"magnoliahoist/timeline"
)

// watchPeriod is the time between two looks at what is recorded when it changes.
const watchPeriod = 100 * time.Millisecond

// watch records when the host becomes stale or fresh and when endpoints are ejected or restored.
func (h *Host) watch() error {
	fresh, ejected := false, map[string]bool{}
	return h.every(watchPeriod, func() {
		if now := h.Fresh(); now != fresh {
			fresh = now
			h.recordFreshness(fresh)
		}
		ejected = h.recordEjections(ejected)
	})
}

func (h *Host) recordFreshness(fresh bool) {
	if fresh {
		h.record(timeline.Event{Kind: timeline.Fresh})
		h.log.Info("host: fresh", "revision", h.View().Revision())
		return
	}
	h.record(timeline.Event{Kind: timeline.Stale})
	h.log.Warn("host: stale, refusing requests", "contact", h.contactAge())
}

// recordEjections compares the ejected endpoints with those of the last look.
func (h *Host) recordEjections(before map[string]bool) map[string]bool {
	h.mu.Lock()
	list := h.state.Ejected()
	h.mu.Unlock()
	if len(list) == 0 && len(before) == 0 {
		return before
	}
	now := make(map[string]bool, len(list))
	for _, name := range list {
		now[name] = true
		if !before[name] {
			h.record(timeline.Event{Kind: timeline.Ejected, Endpoint: name})
			h.log.Warn("host: endpoint ejected", "endpoint", name)
		}
	}
	for name := range before {
		if !now[name] {
			h.record(timeline.Event{Kind: timeline.Restored, Endpoint: name})
			h.log.Info("host: endpoint restored", "endpoint", name)
		}
	}
	return now
}
