package host

import (
	"strconv"
	"time"

	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

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

func (h *Host) recordSend(e state.Send) {
	name := h.requestName(e.Request)
	h.record(timeline.Event{
		Kind:     timeline.Sent,
		Request:  name,
		Attempt:  name + "-" + strconv.Itoa(e.Attempt),
		Endpoint: e.Endpoint.Name,
		Account:  e.Account,
	})
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
