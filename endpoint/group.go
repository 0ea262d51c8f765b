package endpoint

// key names a group of endpoints; empty fields match any.
type key struct {
	pool, model, adapter, version, domain string
	silent                                bool // endpoints that have not reported what they hold
}

// group lists the endpoints of a key. Leaving endpoints are counted but in neither ring.
type group struct {
	size    int
	live    ring
	ejected ring
}

// usable returns the endpoints that may be chosen: the ejected ones when no other is left.
func (g *group) usable() ring {
	if g == nil {
		return nil
	}
	if len(g.live) == 0 {
		return g.ejected
	}
	return g.live
}

// keysOf returns the keys of every group that the endpoint belongs to.
func (e *entry) keysOf() []key {
	pool := e.Pool
	keys := []key{{pool: pool}}
	if !e.reported {
		return append(keys, key{pool: pool, silent: true})
	}
	for _, h := range e.holding {
		for _, p := range []string{"", pool} {
			base := key{pool: p, model: h.Model}
			keys = append(keys, base, key{pool: p, model: h.Model, domain: e.Domain})
			if h.Version != "" {
				keys = append(keys, key{pool: p, model: h.Model, version: h.Version})
			}
			for _, adapter := range h.Adapters {
				keys = append(keys, key{pool: p, model: h.Model, adapter: adapter})
				if h.Version != "" {
					keys = append(keys, key{pool: p, model: h.Model, adapter: adapter, version: h.Version})
				}
			}
		}
	}
	return unique(keys)
}

// unique drops repeated keys: an endpoint holds two versions of a model during a change.
func unique(keys []key) []key {
	seen := make(map[key]bool, len(keys))
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

// withdraw takes the endpoint out of its groups.
func (v *View) withdraw(i int32) {
	e := &v.entries[i]
	for _, k := range e.keys {
		g := v.groups[k]
		g.size--
		g.live.remove(point{e.hash, i})
		g.ejected.remove(point{e.hash, i})
		if g.size == 0 {
			delete(v.groups, k)
		}
	}
	e.keys = nil
}

// enter puts the endpoint into its groups as its state requires.
func (v *View) enter(i int32) {
	e := &v.entries[i]
	if e.gone {
		return
	}
	e.keys = e.keysOf()
	for _, k := range e.keys {
		g := v.groups[k]
		if g == nil {
			g = &group{}
			v.groups[k] = g
		}
		g.size++
	}
	v.shift(i)
}

// shift moves the endpoint to the ring of its state.
func (v *View) shift(i int32) {
	e := &v.entries[i]
	p := point{e.hash, i}
	for _, k := range e.keys {
		g := v.groups[k]
		g.live.remove(p)
		g.ejected.remove(p)
		switch {
		case e.leaving:
		case e.ejected:
			g.ejected.insert(p)
		default:
			g.live.insert(p)
		}
	}
}

// groupOf returns the group of all holders of what is wanted.
func (v *View) groupOf(w *Want) *group {
	k := key{pool: w.Pool, model: w.Model}
	if g := v.groups[k]; g != nil {
		return g
	}
	if pool, ok := v.named[k]; ok {
		return v.groups[key{pool: pool, silent: true}]
	}
	return nil
}

// preferred returns the holders of the adapter and version, or nil when no usable endpoint holds either.
func (v *View) preferred(w *Want) ring {
	if w.Model == "" {
		return nil
	}
	k := key{pool: w.Pool, model: w.Model, adapter: w.Adapter, version: w.Version}
	if w.Adapter != "" && w.Version != "" {
		if g := v.groups[k]; g != nil && len(g.live) > 0 {
			return g.live
		}
		k.version = ""
		if g := v.groups[k]; g != nil && len(g.live) > 0 {
			return g.live
		}
		k.adapter, k.version = "", w.Version
	}
	if k.adapter == "" && k.version == "" {
		return nil
	}
	if g := v.groups[k]; g != nil {
		return g.live
	}
	return nil
}
