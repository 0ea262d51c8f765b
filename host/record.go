package host

import (
	"strconv"
	"strings"
	"time"

	"magnoliahoist/metric"
	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// Record adds an event to the host's timeline. It sets the event's timestamp and host.
func (h *Host) Record(event timeline.Event) { h.record(event) }

// CountRequest counts a request that has ended in the metrics.
func (h *Host) CountRequest(request metric.EndedRequest) { h.metrics.CountRequest(request) }

// CountRefusal counts a refusal that the state machine did not cause, in the metrics.
func (h *Host) CountRefusal(account, reason string) { h.metrics.CountRefusal(account, reason) }

// record adds an event to the host's timeline. It sets the event's timestamp and host.
func (h *Host) record(event timeline.Event) {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	event.Timestamp = h.clock.Now(time.Now())
	event.Host = h.id
	h.ring.Add(event)
}

// events returns the events of the host's timeline after a sequence number.
func (h *Host) events(sequence uint64) []timeline.Event {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	return h.ring.After(sequence)
}

// requestID returns the id of a request in the timeline.
func (h *Host) requestID(request uint64) string {
	return h.id + "-" + strconv.FormatUint(request, 36)
}

// recordRefusal adds a refusal by the state machine to the metrics and the timeline.
func (h *Host) recordRefusal(e state.RefuseRequest) {
	h.metrics.CountRefusal(e.Account, e.Reason.String())
	h.record(timeline.Event{
		Kind:    timeline.Refused,
		Request: h.requestID(e.Request),
		Account: e.Account,
		Note:    e.Reason.String() + ", run: " + e.Run.String(),
	})
}

// recordAccepted adds the acceptance of a change to the timeline.
func (h *Host) recordAccepted(revision int64) {
	h.record(timeline.Event{Kind: timeline.Accepted, Change: revision})
}

// recordCommit adds a change that this host committed to the timeline. A new division of an account's rate is recorded as
// taken. A lease is recorded as taken only when the host begins to use it.
func (h *Host) recordCommit(key string, revision int64) {
	kind := timeline.Committed
	if strings.HasPrefix(key, replica.KeyForShare("")) {
		kind = timeline.Taken
	}
	h.record(timeline.Event{Kind: kind, Change: revision, Note: key})
}

// maxAppliedEvents is the maximum number of changes of one read that are recorded as single events. A host that starts or
// returns after an outage reads many changes at once, which would push older events out of the ring.
const maxAppliedEvents = 32

// recordApplied adds the changes that one read returned, and the members that they removed, to the timeline.
func (h *Host) recordApplied(before, after *replica.View, rows []table.Row) {
	if after.Revision() <= before.Revision() {
		return
	}
	for _, member := range before.Members() {
		if _, remains := after.MemberByID(member.ID); !remains {
			h.recordRemovedMember(member, after.Revision())
		}
	}
	lastRevision, count := int64(0), 0
	for _, row := range rows {
		if row.Revision <= before.Revision() || row.Revision == lastRevision {
			continue
		}
		lastRevision = row.Revision
		if count++; count > maxAppliedEvents {
			h.record(timeline.Event{Kind: timeline.Applied, Change: after.Revision(), Note: "and all changes before it"})
			return
		}
		h.record(timeline.Event{Kind: timeline.Applied, Change: row.Revision, Note: row.Key})
	}
}
