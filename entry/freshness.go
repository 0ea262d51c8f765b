package entry

import (
	"context"
	"slices"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/origin"
)

// An endpoint may start again under its ID with another software version. A host that was suspended or cut off may still know the version
// before, so that its copy of the registrations must not be outdated when a stream goes on.

const (
	// maxFreshnessWait bounds the wait for a copy of the registrations that is confirmed to be current.
	maxFreshnessWait = time.Second
	// freshnessInterval is how often a waiting request looks at the copy.
	freshnessInterval = 25 * time.Millisecond
)

// confirmedSince reports whether the registrations were confirmed to be current at a time or later. While the store responds to no host,
// no endpoint can register, and a confirmation of the configuration counts as well.
func (h *Host) confirmedSince(at time.Duration) bool {
	if h.store.Unreachable() && h.storeIsAway(at) {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry.followedSince == 0 {
		return true // nothing that could be outdated has been read
	}
	confirmedAt, known := h.store.LocalTime(h.registry.currentClock)
	return known && confirmedAt >= at
}

// awaitConfirmation waits until the registrations are confirmed to be current at a time or later. It returns false if that takes too long.
func (h *Host) awaitConfirmation(ctx context.Context, at time.Duration) bool {
	giveUpAt := h.Now() + maxFreshnessWait
	for !h.confirmedSince(at) {
		if ctx.Err() != nil || h.Now() >= giveUpAt {
			return false
		}
		h.sleep(freshnessInterval)
	}
	return true
}

// awaitVersion waits until this host knows whether the version that began a stream has an endpoint.
func (h *Host) awaitVersion(ctx context.Context, version origin.Version, arrivedAt time.Duration) {
	h.mu.Lock()
	known := slices.ContainsFunc(h.directory.Endpoints(), func(e directory.Endpoint) bool {
		return e.Pool == version.Pool && e.Software == version.Software
	})
	h.mu.Unlock()
	if !known {
		h.awaitConfirmation(ctx, arrivedAt)
	}
}

// goesOn reports whether the next attempt of a request goes on with a stream that another one has begun.
func (t *task) goesOn() bool { return t.headWritten || t.request.Resumption.LastEventID != "" }

// mayGoOn reports whether the registrations are so recent that a stream may go on at an endpoint of its version. An endpoint that has
// restarted since is then no longer taken for its earlier process.
func (h *Host) mayGoOn(ctx context.Context, t *task) bool {
	if !t.lastSend.Route.Resumable || !t.goesOn() {
		return true
	}
	at := h.Now() - h.settings.DrainLimit.Std()
	if t.outdated {
		return h.confirmedSince(at)
	}
	t.outdated = !h.awaitConfirmation(ctx, at)
	return !t.outdated
}
