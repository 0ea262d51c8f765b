package placement

import (
	"math"
	"time"

	"magnoliahoist/pool"
)

// demand is the load of a model and the number of replicas that it justifies.
type demand struct {
	replicas int
	low      bool
	since    time.Duration // from when on demand has been low
}

// SetDemand notes a model's demand. Replicas are added at once and removed
// one at a time after demand has stayed low.
func (m *Manager) SetDemand(now time.Duration, model string, tokensPerSecond float64) {
	s := &m.settings
	if s.ReplicaTokens <= 0 {
		return
	}
	d := m.demands[model]
	if d == nil {
		d = &demand{}
		m.demands[model] = d
	}
	needed := int(math.Ceil(tokensPerSecond / (s.Grow * s.ReplicaTokens)))
	enough := int(math.Ceil(tokensPerSecond / (s.Shrink * s.ReplicaTokens)))
	switch {
	case needed > d.replicas:
		d.replicas, d.low = needed, false
	case enough >= d.replicas:
		d.low = false
	case !d.low:
		d.low, d.since = true, now
	case now-d.since >= s.ShrinkAfter:
		d.replicas--
		d.since = now
	}
}

// target returns the replicas that a model should have.
func (m *Manager) target(model pool.Model) int {
	count := model.Replicas
	if count <= 0 {
		count = m.settings.Replicas
	}
	if d := m.demands[model.Name]; d != nil {
		count = max(count, d.replicas)
	}
	return min(count, len(m.names))
}
