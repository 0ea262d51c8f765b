package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// unservedMaxAge is how long after the last refused request an adapter counts as asked for. Refused callers return within it.
const unservedMaxAge = 5 * time.Second

// adapterKey names an adapter of a model.
type adapterKey struct{ model, adapter string }

// RecordUnserved records that a caller asked for an adapter that no engine could load, because those that hold its model were
// loading or unloading another one.
//
// It answers the load in which demand moves between many models for a long time: an engine that alone holds a rarely used
// model then changes its other models one after the other, and its adapters could never be loaded in between.
func (p *Planner) RecordUnserved(now time.Duration, model, adapter string) {
	p.unserved[adapterKey{model, adapter}] = now
}

// reservedEngines returns, for each unserved adapter, one engine that can load it now. These engines take no order for a model
// until the adapter has been loaded or is no longer asked for, so that an adapter waits for one model change at most.
func (p *Planner) reservedEngines(now time.Duration) map[string]bool {
	maps.DeleteFunc(p.unserved, func(_ adapterKey, at time.Duration) bool { return now-at > unservedMaxAge })
	if len(p.unserved) == 0 {
		return nil
	}
	reserved := map[string]bool{}
	for _, key := range slices.SortedFunc(maps.Keys(p.unserved), compareAdapters) {
		if id, found := p.engineFor(key.model); found {
			reserved[id] = true
		}
	}
	return reserved
}

func compareAdapters(a, b adapterKey) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

// engineFor returns the first engine that serves a model and takes orders for its adapters.
func (p *Planner) engineFor(model string) (string, bool) {
	for _, id := range p.ids {
		e := p.engines[id]
		if e.models[model] != nil && e.TakesRequests() && !e.busy() && e.nextModel == "" {
			return id, true
		}
	}
	return "", false
}
