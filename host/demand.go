package host

import (
	"maps"
	"math"
	"time"

	"magnoliahoist/peer"
)

const (
	// maxDemandAge is the age beyond which another host's reported demand is ignored.
	maxDemandAge = 10 * time.Second
	// minRateInterval is the minimum time over which a rate is measured.
	minRateInterval = time.Second
	// rateTimeConstant is the time constant of the exponential moving average, which smooths out single long requests.
	rateTimeConstant = 5 * time.Second
)

// hostDemand is the token rate of each model as another host reported it.
type hostDemand struct {
	receivedAt time.Duration
	rates      map[string]float64 // tokens per second, by model
}

// rateMeter computes smoothed rates, in tokens per second, from totals of used tokens.
type rateMeter struct {
	updatedAt time.Duration
	totals    map[string]int64
	rates     map[string]float64
}

// update computes the rates from the models' total tokens since the start of the host. It does nothing if the last update
// is less than minRateInterval ago.
func (m *rateMeter) update(now time.Duration, totals map[string]int64) {
	elapsed := now - m.updatedAt
	if elapsed < minRateInterval {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	for model, total := range totals {
		latest := float64(total-m.totals[model]) / elapsed.Seconds()
		m.rates[model] += weight * (latest - m.rates[model])
	}
	m.updatedAt, m.totals = now, totals
}

// demandRates returns the rates, in tokens per second, at which this host's callers use the models of a pool.
func (h *Host) demandRates(pool string) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.demandMeters[pool]
	if m == nil {
		m = &rateMeter{updatedAt: h.Now(), totals: map[string]int64{}, rates: map[string]float64{}}
		h.demandMeters[pool] = m
	}
	m.update(h.Now(), h.state.UsedTokens(pool))
	return maps.Clone(m.rates)
}

// demandMessages returns this host's demand for the models of a pool as messages for the lease holder.
func (h *Host) demandMessages(pool string) []*peer.Demand {
	var messages []*peer.Demand
	for model, rate := range h.demandRates(pool) {
		messages = append(messages, &peer.Demand{Model: model, Tokens: rate})
	}
	return messages
}

// setDemands passes the demand for each model, summed over all hosts, to the placement manager. The caller must hold m.mu.
func (m *poolManager) setDemands() {
	now := m.host.Now()
	total := m.host.demandRates(m.pool)
	for member, d := range m.hostDemands {
		if now-d.receivedAt > maxDemandAge {
			delete(m.hostDemands, member)
			continue
		}
		for model, rate := range d.rates {
			total[model] += rate
		}
	}
	entry, _ := m.poolEntry()
	for _, model := range entry.Models {
		m.placement.SetDemand(now, model.Name, total[model.Name])
	}
}
