package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"magnoliahoist/document"
	"magnoliahoist/operator"
	"magnoliahoist/timeline"
)

// Status returns what the host knows about itself and the fleet. The error is always nil.
func (h *Host) Status(ctx context.Context) (operator.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	view := h.state.Replica().View()
	status := operator.Status{
		Host:            h.id,
		Domain:          h.settings.Domain,
		State:           h.currentState(),
		Revision:        view.Revision(),
		TableContactAge: document.Duration(h.contactAge()),
		FreshFor:        document.Duration(h.state.Replica().FreshUntil() - now),
		FreshnessWindow: h.settings.FreshnessWindow,
		ActiveRequests:  h.state.ActiveRequests(),
		QueuedRequests:  h.state.QueuedRequests(),
		Endpoints:       h.endpointStatuses(),
	}
	head, revision := view.Head()
	status.Head = operator.Head{Revision: revision, EditCount: head.EditCount, LastEditID: head.LastEditID}
	status.Models = modelsOf(view, status.Endpoints)
	status.Leases, status.Shares = leasesOf(view), sharesOf(view)
	silent := h.silentMembers()
	for _, member := range view.Members() {
		status.Members = append(status.Members, operator.Member{
			ID:           member.ID,
			Address:      member.Address,
			Domain:       member.Domain,
			Group:        member.Group,
			Revision:     h.state.Replica().AppliedBy(member.ID),
			Unresponsive: silent[member.ID],
		})
	}
	status.Problems = problemsOf(status, view)
	return status, nil
}

// endpointStatuses returns the status of every endpoint. The caller must hold h.mu.
func (h *Host) endpointStatuses() []operator.Endpoint {
	var list []operator.Endpoint
	now := h.Now()
	for _, e := range h.state.Endpoints() {
		list = append(list, operator.Endpoint{
			Name:        e.Endpoint.Name,
			Pool:        e.Endpoint.Pool,
			Domain:      e.Endpoint.Domain,
			OwnCalls:    e.OwnCalls,
			Models:      e.Models,
			Ejected:     e.Ejected,
			Leaving:     e.Leaving,
			ModelsKnown: e.ModelsKnown,
			ReportAge:   reportAge(now, e.ReportTakenAt),
		})
	}
	return list
}

// reportAge returns the age of a report taken at takenAt, or 0 if there is none.
func reportAge(now, takenAt time.Duration) document.Duration {
	if takenAt <= 0 {
		return 0
	}
	return document.Duration(now - takenAt)
}

// currentState returns the state that the status shows.
func (h *Host) currentState() operator.State {
	switch {
	case h.isDraining():
		return operator.Draining
	case h.Fresh():
		return operator.Serving
	case h.View().Revision() == 0:
		return operator.Starting
	default:
		return operator.Stale
	}
}

// contactAge returns the time since the last contact with the table service, or since the start before the first contact.
func (h *Host) contactAge() time.Duration {
	return h.Now() - time.Duration(max(h.lastContact.Load(), 0))
}

// timelineTimeout bounds how long Timeline waits for the other hosts.
const timelineTimeout = 2 * time.Second

// Timeline returns the logs of all hosts. The log of a host that does not respond contains the error; the log of a removed
// host contains the time at which this host learned of the removal. The error is always nil.
func (h *Host) Timeline(ctx context.Context) ([]timeline.Log, error) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	members := h.View().Members()
	logs := make([]timeline.Log, len(members))
	var reads sync.WaitGroup
	for i, member := range members {
		if member.ID != h.id {
			reads.Go(func() { logs[i] = h.timelineOf(ctx, member) })
		}
	}
	reads.Wait()
	logs = slices.DeleteFunc(logs, func(log timeline.Log) bool { return log.Host == "" })
	logs = append(logs, h.endedLogs()...)
	return append(logs, timeline.Log{Host: h.id, Events: h.events(0)}), nil
}
