package host

import (
	"maps"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/timeline"
)

// maxEndedLogs is the maximum number of removed members whose end is kept for the timeline. On an ordinary day, 332 hosts
// of a fleet of the target size stop or fail.
const maxEndedLogs = 512

// departedMembers holds the members that are silent or were removed. Host.timelineMu guards it.
type departedMembers struct {
	silent    map[string]bool // by member id: the last call to the member failed
	endedLogs []timeline.Log  // of removed members, oldest first
}

// recordRemovedMember records that the shared state no longer lists a member. The member's events were only in its own
// memory, so from now on the timeline shows that its log has ended.
func (h *Host) recordRemovedMember(member replica.Member, revision int64) {
	h.record(timeline.Event{Kind: timeline.Removed, Change: revision, Note: "member " + member.ID})
	if member.ID == h.id {
		return
	}
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	delete(h.departedMembers.silent, member.ID)
	h.departedMembers.endedLogs = append(h.departedMembers.endedLogs, timeline.Log{Host: member.ID, EndedAt: h.clock.Now(time.Now())})
	if excess := len(h.departedMembers.endedLogs) - maxEndedLogs; excess > 0 {
		h.departedMembers.endedLogs = append([]timeline.Log(nil), h.departedMembers.endedLogs[excess:]...)
	}
}

// recordReachability adds an event to the timeline when a member stops responding and when it responds again. It ignores
// hosts that are not members.
func (h *Host) recordReachability(member string, responded bool) {
	if _, isMember := h.View().MemberByID(member); !isMember {
		return
	}
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	if h.departedMembers.silent[member] != responded {
		return
	}
	event := timeline.Event{Kind: timeline.Silent, Host: h.id, Note: "member " + member}
	if responded {
		event.Kind = timeline.Heard
		delete(h.departedMembers.silent, member)
	} else {
		h.departedMembers.silent[member] = true
	}
	event.Timestamp = h.clock.Now(time.Now())
	h.ring.Add(event)
}

// endedLogs returns the logs of removed members. They contain no events, only the time of the removal.
func (h *Host) endedLogs() []timeline.Log {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	return append([]timeline.Log(nil), h.departedMembers.endedLogs...)
}

// silentMembers returns the ids of the members that do not respond to this host.
func (h *Host) silentMembers() map[string]bool {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	return maps.Clone(h.departedMembers.silent)
}
