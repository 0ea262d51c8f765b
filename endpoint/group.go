package endpoint

// groupKey selects a group of endpoints by pool, resident model and failure domain; empty fields match any value.
type groupKey struct {
	pool, model, adapter, version, domain string
	unreported                            bool // only endpoints that have not reported their resident models
}

// group holds the endpoints that a key selects. Leaving endpoints count in size, but are in neither ring.
type group struct {
	size    int
	healthy ring
	ejected ring
}

// usable returns the endpoints that may be chosen: the healthy ones, or the ejected ones if there are no healthy ones.
func (g *group) usable() ring {
	if g == nil {
		return nil
	}
	if len(g.healthy) == 0 {
		return g.ejected
	}
	return g.healthy
}

// computeGroupKeys returns the keys of every group that the endpoint belongs to.
func (e *entry) computeGroupKeys() []groupKey {
	pool := e.Pool
	keys := []groupKey{{pool: pool}}
	if !e.modelsKnown {
		return append(keys, groupKey{pool: pool, unreported: true})
	}
	for _, h := range e.resident {
		for _, p := range []string{"", pool} {
			base := groupKey{pool: p, model: h.Model}
			keys = append(keys, base, groupKey{pool: p, model: h.Model, domain: e.Domain})
			if h.Version != "" {
				keys = append(keys, groupKey{pool: p, model: h.Model, version: h.Version})
			}
			for _, adapter := range h.Adapters {
				keys = append(keys, groupKey{pool: p, model: h.Model, adapter: adapter})
				if h.Version != "" {
					keys = append(keys, groupKey{pool: p, model: h.Model, adapter: adapter, version: h.Version})
				}
			}
		}
	}
	return uniqueKeys(keys)
}

// uniqueKeys drops repeated keys, which arise while an endpoint holds two versions of a model, and keys without pool and model.
func uniqueKeys(keys []groupKey) []groupKey {
	seen := make(map[groupKey]bool, len(keys))
	kept := keys[:0]
	for _, k := range keys {
		if k.model == "" && k.pool == "" || seen[k] {
			continue
		}
		seen[k] = true
		kept = append(kept, k)
	}
	return kept
}

// removeFromGroups takes the endpoint out of its groups.
func (v *View) removeFromGroups(i int32) {
	e := &v.entries[i]
	for _, k := range e.groupKeys {
		g := v.groups[k]
		g.size--
		g.healthy.remove(point{e.hash, i})
		g.ejected.remove(point{e.hash, i})
		if g.size == 0 {
			delete(v.groups, k)
		}
	}
	e.groupKeys = nil
}

// addToGroups puts the endpoint into all groups that select it.
func (v *View) addToGroups(i int32) {
	e := &v.entries[i]
	if e.removed {
		return
	}
	e.groupKeys = e.computeGroupKeys()
	for _, k := range e.groupKeys {
		g := v.groups[k]
		if g == nil {
			g = &group{}
			v.groups[k] = g
		}
		g.size++
	}
	v.updateRings(i)
}

// updateRings moves the endpoint, in each of its groups, to the ring for its state: healthy, ejected, or none when leaving.
func (v *View) updateRings(i int32) {
	e := &v.entries[i]
	p := point{e.hash, i}
	for _, k := range e.groupKeys {
		g := v.groups[k]
		g.healthy.remove(p)
		g.ejected.remove(p)
		switch {
		case e.leaving:
		case e.ejected:
			g.ejected.insert(p)
		default:
			g.healthy.insert(p)
		}
	}
}

// holdersOf returns the group of endpoints that hold the model, or that serve the pool if no model is required. For a model that is configured but
// not reported by any endpoint, it returns the endpoints of its pool that have not reported their models; nil for an unknown model.
func (v *View) holdersOf(w *Requirements) *group {
	k := groupKey{pool: w.Pool, model: w.Model}
	if g := v.groups[k]; g != nil {
		return g
	}
	if pool, ok := v.poolOfModel[k]; ok {
		return v.groups[groupKey{pool: pool, unreported: true}]
	}
	return nil
}

// preferredHolders returns the healthy endpoints that hold the model with the adapter and version. If there are none,
// it returns those with the adapter, then those with the version, and nil if there are none of these either.
func (v *View) preferredHolders(w *Requirements) ring {
	if w.Model == "" {
		return nil
	}
	k := groupKey{pool: w.Pool, model: w.Model, adapter: w.Adapter, version: w.Version}
	if w.Adapter != "" && w.Version != "" {
		if g := v.groups[k]; g != nil && len(g.healthy) > 0 {
			return g.healthy
		}
		k.version = ""
		if g := v.groups[k]; g != nil && len(g.healthy) > 0 {
			return g.healthy
		}
		k.adapter, k.version = "", w.Version
	}
	if k.adapter == "" && k.version == "" {
		return nil
	}
	if g := v.groups[k]; g != nil {
		return g.healthy
	}
	return nil
}
