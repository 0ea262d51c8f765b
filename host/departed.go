package host

import (
	"maps"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/timeline"
)

// departedMost bounds the members that have left and still show in the time line; on an ordinary day
// of the target size 332 hosts stop or fail.
const departedMost = 512

// departed remembers members that are gone or silent. It is guarded by Host.ringMu.
type departed struct {
	silent map[string]bool
	ended  []timeline.Log
}

// recordRemoved records that the shared state no longer lists a member. Its events were in its memory
// only, so its log shows as ended from here on.
func (h *Host) recordRemoved(member replica.Member, revision int64) {
	h.record(timeline.Event{Kind: timeline.Removed, Change: revision, Note: "member " + member.ID})
	if member.ID == h.id {
		return
	}
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	delete(h.departed.silent, member.ID)
	h.departed.ended = append(h.departed.ended, timeline.Log{Host: member.ID, Ended: h.clock.Now(time.Now())})
	if extra := len(h.departed.ended) - departedMost; extra > 0 {
		h.departed.ended = append([]timeline.Log(nil), h.departed.ended[extra:]...)
	}
}

// recordExchange records when a member stops answering, and when it answers again.
func (h *Host) recordExchange(member string, answered bool) {
	if _, listed := h.View().MemberByID(member); !listed {
		return
	}
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	if h.departed.silent[member] != answered {
		return
	}
	event := timeline.Event{Kind: timeline.Silent, Host: h.id, Note: "member " + member}
	if answered {
		event.Kind = timeline.Heard
		delete(h.departed.silent, member)
	} else {
		h.departed.silent[member] = true
	}
	event.Stamp = h.clock.Now(time.Now())
	h.ring.Add(event)
}

// endedLogs returns the logs of members that are gone: they hold the time of the end only.
func (h *Host) endedLogs() []timeline.Log {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	return append([]timeline.Log(nil), h.departed.ended...)
}

// silentMembers returns the members that do not answer this host.
func (h *Host) silentMembers() map[string]bool {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	return maps.Clone(h.departed.silent)
}
