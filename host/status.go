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

// Status says what the host knows of itself and of the fleet.
func (h *Host) Status(ctx context.Context) (operator.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	view := h.state.Replica().View()
	status := operator.Status{
		Host:      h.id,
		Domain:    h.settings.Domain,
		State:     h.stateNow(),
		Revision:  view.Revision(),
		Contact:   document.Duration(h.contactAge()),
		Freshness: document.Duration(h.state.Replica().FreshUntil() - now),
		Window:    h.settings.Window,
		Running:   h.state.Running(),
		Waiting:   h.state.Waiting(),
		Endpoints: h.endpoints(),
	}
	head, revision := view.Head()
	status.Head = operator.Head{Revision: revision, Edits: head.Edits, Edit: head.Edit}
	status.Models = modelsOf(view, status.Endpoints)
	status.Leases, status.Shares = leasesOf(view), sharesOf(view)
	silent := h.silentMembers()
	for _, member := range view.Members() {
		status.Members = append(status.Members, operator.Member{
			ID:       member.ID,
			Address:  member.Address,
			Domain:   member.Domain,
			Group:    member.Group,
			Revision: h.state.Replica().AppliedBy(member.ID),
			Silent:   silent[member.ID],
		})
	}
	status.Problems = problemsOf(status, view)
	return status, nil
}

func (h *Host) endpoints() []operator.Endpoint {
	var list []operator.Endpoint
	now := h.Now()
	for _, e := range h.state.Endpoints() {
		list = append(list, operator.Endpoint{
			Name:     e.Endpoint.Name,
			Pool:     e.Endpoint.Pool,
			Domain:   e.Endpoint.Domain,
			Running:  e.Running,
			Models:   e.Models,
			Ejected:  e.Ejected,
			Leaving:  e.Leaving,
			Reported: e.Reported,
			Age:      ageOf(now, e.Taken),
		})
	}
	return list
}

// ageOf returns the age of a report, 0 without one.
func ageOf(now, taken time.Duration) document.Duration {
	if taken <= 0 {
		return 0
	}
	return document.Duration(now - taken)
}

func (h *Host) stateNow() operator.State {
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

// contactAge is the time since the last contact with the table service; since the start before the first.
func (h *Host) contactAge() time.Duration {
	return h.Now() - time.Duration(max(h.contact.Load(), 0))
}

// timelineTimeout bounds how long the time line waits for another host.
const timelineTimeout = 2 * time.Second

// Timeline returns the logs of all hosts. A host that does not answer shows as a gap, one that has
// ended with the time at which this host saw it gone.
func (h *Host) Timeline(ctx context.Context) ([]timeline.Log, error) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	members := h.View().Members()
	logs := make([]timeline.Log, len(members))
	var asked sync.WaitGroup
	for i, member := range members {
		if member.ID != h.id {
			asked.Go(func() { logs[i] = h.timelineOf(ctx, member) })
		}
	}
	asked.Wait()
	logs = slices.DeleteFunc(logs, func(log timeline.Log) bool { return log.Host == "" })
	logs = append(logs, h.endedLogs()...)
	return append(logs, timeline.Log{Host: h.id, Events: h.events(0)}), nil
}
