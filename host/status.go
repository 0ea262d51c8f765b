package host

import (
	"context"
	"time"

	"magnoliahoist/document"
	"magnoliahoist/metric"
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
	for _, member := range view.Members() {
		status.Members = append(status.Members, operator.Member{
			ID:       member.ID,
			Address:  member.Address,
			Domain:   member.Domain,
			Group:    member.Group,
			Revision: h.state.Replica().AppliedBy(member.ID),
		})
	}
	return status, nil
}

func (h *Host) endpoints() []operator.Endpoint {
	var list []operator.Endpoint
	for _, e := range h.state.Endpoints(h.Now()) {
		list = append(list, operator.Endpoint{
			Name:    e.Endpoint.Name,
			Pool:    e.Endpoint.Pool,
			Running: e.Running,
			Models:  e.Models,
			Ejected: e.Ejected,
			Leaving: e.Leaving,
		})
	}
	return list
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

// gauges are the values that metrics read from the host.
func (h *Host) gauges() metric.Gauges {
	return metric.Gauges{
		Fresh: func() float64 { return (time.Duration(h.fresh.Load()) - h.Now()).Seconds() },
		Running: func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return float64(h.state.Running())
		},
		Revision: func() float64 { return float64(h.View().Revision()) },
		Contact:  func() float64 { return h.contactAge().Seconds() },
	}
}

// Timeline returns the logs of all hosts; a host that does not answer shows as a gap.
func (h *Host) Timeline(ctx context.Context) ([]timeline.Log, error) {
	logs := []timeline.Log{{Host: h.id, Events: h.events(0)}}
	for _, member := range h.View().Members() {
		if member.ID == h.id {
			continue
		}
		logs = append(logs, h.timelineOf(ctx, member))
	}
	return logs, nil
}
