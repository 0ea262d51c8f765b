package host

import (
	"context"
	"time"

	"magnoliahoist/metric"
	"magnoliahoist/operator"
)

// gauges are the values that metrics read from the host.
func (h *Host) gauges() metric.Gauges {
	return metric.Gauges{
		Fresh:    func() float64 { return (time.Duration(h.fresh.Load()) - h.Now()).Seconds() },
		Running:  func() float64 { return float64(h.locked(func() int { return h.state.Running() })) },
		Waiting:  func() float64 { return float64(h.locked(func() int { return h.state.Waiting() })) },
		Revision: func() float64 { return float64(h.View().Revision()) },
		Contact:  func() float64 { return h.contactAge().Seconds() },
		Members:  func() float64 { return float64(len(h.View().Members())) },
		Silent:   func() float64 { return float64(len(h.silentMembers())) },
		Ejected:  func() float64 { return float64(h.locked(func() int { return len(h.state.Ejected()) })) },
		Unheld:   h.unheld,
		Broken:   func() float64 { return float64(len(h.View().Broken())) },
		Rates:    h.rates,
	}
}

// locked reads a number from the state.
func (h *Host) locked(read func() int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return read()
}

func (h *Host) unheld() float64 {
	status, err := h.Status(context.Background())
	if err != nil {
		return 0
	}
	return float64(countUnheld(status.Models))
}

func countUnheld(models []operator.Model) int {
	count := 0
	for _, m := range models {
		if m.Reported && len(m.Endpoints) == 0 {
			count++
		}
	}
	return count
}

func (h *Host) rates() map[string]float64 {
	all := map[string]float64{}
	for _, owner := range h.View().Accounts() {
		all[owner.Name] = owner.Rate
	}
	return all
}
