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

// Record adds an event to the host's time line; stamp and host are filled in.
func (h *Host) Record(event timeline.Event) { h.record(event) }

// Count counts a request that has ended.
func (h *Host) Count(answer metric.Answer) { h.metrics.CountAnswer(answer) }

// CountRefusal counts a refusal that the reducer did not make.
func (h *Host) CountRefusal(account, reason string) { h.metrics.CountRefusal(account, reason) }

// record adds an event to the host's time line.
func (h *Host) record(event timeline.Event) {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	event.Stamp = h.clock.Now(time.Now())
	event.Host = h.id
	h.ring.Add(event)
}

// events returns the events after a sequence number.
func (h *Host) events(sequence uint64) []timeline.Event {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	return h.ring.After(sequence)
}

func (h *Host) requestName(request uint64) string {
	return h.id + "-" + strconv.FormatUint(request, 36)
}

func (h *Host) recordRefusal(e state.Refuse) {
	h.metrics.CountRefusal(e.Account, e.Reason.String())
	h.record(timeline.Event{
		Kind:    timeline.Refused,
		Request: h.requestName(e.Request),
		Account: e.Account,
		Note:    e.Reason.String() + ", run: " + e.Run.String(),
	})
}

func (h *Host) recordChange(revision int64) {
	h.record(timeline.Event{Kind: timeline.Accepted, Change: revision})
}

// recordCommit records a change that this host made durable; a new division of an allowance is
// recorded as taken. A lease is recorded as taken when the host begins to use it.
func (h *Host) recordCommit(key string, revision int64) {
	kind := timeline.Committed
	if strings.HasPrefix(key, replica.KeyForShare("")) {
		kind = timeline.Taken
	}
	h.record(timeline.Event{Kind: kind, Change: revision, Note: key})
}

// appliedMost is how many changes of one exchange are recorded one by one; a host that starts or
// comes back reads many at once, and they would push older events out of the ring.
const appliedMost = 32

// recordApplied records the changes that one exchange brought, and the members that are gone since.
func (h *Host) recordApplied(before, after *replica.View, rows []table.Row) {
	if after.Revision() <= before.Revision() {
		return
	}
	for _, member := range before.Members() {
		if _, stays := after.MemberByID(member.ID); !stays {
			h.recordRemoved(member, after.Revision())
		}
	}
	last, count := int64(0), 0
	for _, row := range rows {
		if row.Revision <= before.Revision() || row.Revision == last {
			continue
		}
		last = row.Revision
		if count++; count > appliedMost {
			h.record(timeline.Event{Kind: timeline.Applied, Change: after.Revision(), Note: "and all changes before it"})
			return
		}
		h.record(timeline.Event{Kind: timeline.Applied, Change: row.Revision, Note: row.Key})
	}
}
