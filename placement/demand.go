package placement

import (
	"math"
	"time"

	"magnoliahoist/pool"
)

// demand is the number of replicas that a model's token rate requires, and for how long fewer have sufficed.
type demand struct {
	replicas    int
	hasExcess   bool          // fewer replicas would suffice
	excessSince time.Duration // when fewer replicas began to suffice, or the last removal since
}

// SetDemand updates the replicas that a model's demand requires. Replicas are added at once, and removed one at a time after
// fewer have sufficed for Settings.ShrinkAfter.
func (m *Manager) SetDemand(now time.Duration, model string, tokensPerSecond float64) {
	s := &m.settings
	if s.TokensPerReplica <= 0 {
		return
	}
	d := m.demands[model]
	if d == nil {
		d = &demand{}
		m.demands[model] = d
	}
	minReplicas := int(math.Ceil(tokensPerSecond / (s.GrowAbove * s.TokensPerReplica)))
	maxReplicas := int(math.Ceil(tokensPerSecond / (s.ShrinkBelow * s.TokensPerReplica)))
	switch {
	case minReplicas > d.replicas:
		d.replicas, d.hasExcess = minReplicas, false
	case maxReplicas >= d.replicas:
		d.hasExcess = false
	case !d.hasExcess:
		d.hasExcess, d.excessSince = true, now
	case now-d.excessSince >= s.ShrinkAfter:
		d.replicas--
		d.excessSince = now
	}
}

// targetReplicas returns how many replicas a model should have: as many as the table says or demand requires, but at most one
// for each endpoint.
func (m *Manager) targetReplicas(model pool.Model) int {
	count := model.Replicas
	if count <= 0 {
		count = m.settings.DefaultReplicas
	}
	if d := m.demands[model.Name]; d != nil {
		count = max(count, d.replicas)
	}
	return min(count, len(m.endpoints))
}
