package host

import (
	"context"
	"time"

	"magnoliahoist/metric"
	"magnoliahoist/operator"
)

// gauges returns the functions with which the metrics read their gauges from the host.
func (h *Host) gauges() metric.Gauges {
	return metric.Gauges{
		FreshFor:            func() float64 { return (time.Duration(h.freshUntil.Load()) - h.Now()).Seconds() },
		ActiveRequests:      func() float64 { return float64(h.readLocked(func() int { return h.state.ActiveRequests() })) },
		QueuedRequests:      func() float64 { return float64(h.readLocked(func() int { return h.state.QueuedRequests() })) },
		Revision:            func() float64 { return float64(h.View().Revision()) },
		TableContactAge:     func() float64 { return h.contactAge().Seconds() },
		Members:             func() float64 { return float64(len(h.View().Members())) },
		UnresponsiveMembers: func() float64 { return float64(len(h.silentMembers())) },
		EjectedEndpoints:    func() float64 { return float64(h.readLocked(func() int { return len(h.state.EjectedEndpoints()) })) },
		NonResidentModels:   h.unservedModels,
		BrokenRows:          func() float64 { return float64(len(h.View().BrokenRows())) },
		AccountRates:        h.accountRates,
	}
}

// readLocked calls a function with the lock of the state held.
func (h *Host) readLocked(read func() int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return read()
}

// unservedModels returns the number of models that no endpoint serves, or 0 if the status cannot be read.
func (h *Host) unservedModels() float64 {
	status, err := h.Status(context.Background())
	if err != nil {
		return 0
	}
	return float64(countUnserved(status.Models))
}

// countUnserved counts the models without endpoints in pools of which at least one endpoint has reported its models.
func countUnserved(models []operator.Model) int {
	count := 0
	for _, m := range models {
		if m.ModelsKnown && len(m.Endpoints) == 0 {
			count++
		}
	}
	return count
}

// accountRates returns the configured rate of each client account, in tokens per second.
func (h *Host) accountRates() map[string]float64 {
	rates := map[string]float64{}
	for _, entry := range h.View().Accounts() {
		rates[entry.Name] = entry.Rate
	}
	return rates
}
