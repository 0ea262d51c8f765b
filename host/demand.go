package host

import (
	"maps"
	"math"
	"time"

	"magnoliahoist/peer"
)

const (
	// demandLife is how long the demand of a host counts without a new message.
	demandLife = 10 * time.Second
	// demandStep is the least time over which a rate is taken.
	demandStep = time.Second
	// demandSmoothing is the time constant of the mean, which evens out single long requests.
	demandSmoothing = 5 * time.Second
)

// hostDemand is what one host's callers use of each model.
type hostDemand struct {
	at     time.Duration
	tokens map[string]float64 // per second, by model
}

// meter turns the tokens that were used into tokens a second.
type meter struct {
	at    time.Duration
	used  map[string]int64
	rates map[string]float64
}

// advance adds the totals since the start; rates stay as they are within demandStep.
func (m *meter) advance(now time.Duration, used map[string]int64) {
	elapsed := now - m.at
	if elapsed < demandStep {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandSmoothing.Seconds())
	for model, total := range used {
		latest := float64(total-m.used[model]) / elapsed.Seconds()
		m.rates[model] += weight * (latest - m.rates[model])
	}
	m.at, m.used = now, used
}

// demand returns what this host's callers use of a pool's models.
func (h *Host) demand(pool string) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.meters[pool]
	if m == nil {
		m = &meter{at: h.Now(), used: map[string]int64{}, rates: map[string]float64{}}
		h.meters[pool] = m
	}
	m.advance(h.Now(), h.state.Used(pool))
	return maps.Clone(m.rates)
}

// demandsOf returns the demand on this host as a message.
func (h *Host) demandsOf(pool string) []*peer.Demand {
	var list []*peer.Demand
	for model, rate := range h.demand(pool) {
		list = append(list, &peer.Demand{Model: model, Tokens: rate})
	}
	return list
}

// setDemands sums the demand on all hosts. The lock is held.
func (m *manager) setDemands() {
	now := m.host.Now()
	sum := m.host.demand(m.pool)
	for member, d := range m.demands {
		if now-d.at > demandLife {
			delete(m.demands, member)
			continue
		}
		for model, rate := range d.tokens {
			sum[model] += rate
		}
	}
	entry, _ := m.entry()
	for _, model := range entry.Models {
		m.placement.SetDemand(now, model.Name, sum[model.Name])
	}
}
