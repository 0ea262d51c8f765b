package endpoint

import (
	"maps"
	"slices"
	"time"
)

// View is a host's view of endpoints. It is not safe for concurrent use.
type View struct {
	settings Settings
	entries  []entry
	byName   map[string]int32
	groups   map[key]*group
	models   map[string][]string // models of every pool in the pools table
	named    map[key]string      // pool of each of these models
	domains  map[string]int32
	costs    map[string][]float64 // distance from a failure domain to every other
	random   uint64
	budget   budget
}

// New returns a view without endpoints.
func New(s Settings) *View {
	s = s.WithDefaults()
	return &View{
		settings: s,
		byName:   make(map[string]int32),
		groups:   make(map[key]*group),
		models:   make(map[string][]string),
		named:    make(map[key]string),
		domains:  make(map[string]int32),
		costs:    make(map[string][]float64),
		random:   mix(s.Seed + 1),
	}
}

// SetEndpoints replaces the list of endpoints and keeps the counters of those that stay.
func (v *View) SetEndpoints(now time.Duration, list []Endpoint) {
	wanted := make(map[string]Endpoint, len(list))
	for _, e := range list {
		wanted[e.Name] = e
	}
	for _, name := range slices.Sorted(maps.Keys(v.byName)) {
		if _, ok := wanted[name]; !ok {
			v.remove(v.byName[name])
		}
	}
	for _, e := range list {
		v.set(now, e)
	}
}

func (v *View) remove(i int32) {
	v.withdraw(i)
	v.entries[i].gone = true
}

func (v *View) set(now time.Duration, e Endpoint) {
	e.Slots = max(e.Slots, 1)
	i, ok := v.byName[e.Name]
	if ok && !v.entries[i].gone && v.entries[i].Endpoint == e {
		return
	}
	if !ok {
		i = v.allocate(now)
		v.byName[e.Name] = i
	}
	v.withdraw(i)
	old := &v.entries[i]
	if old.gone || old.Address != e.Address {
		// Another process answers there, so what the former one reported does not apply.
		*old = entry{calls: old.calls, tokens: old.tokens, history: old.history, newest: old.newest}
	}
	old.Endpoint, old.hash, old.domain = e, hashName(e.Name), v.domainOf(e.Domain)
	v.enter(i)
}

// allocate returns an index that no call in flight refers to.
func (v *View) allocate(now time.Duration) int32 {
	for i := range v.entries {
		e := &v.entries[i]
		if e.gone && e.calls == 0 {
			delete(v.byName, e.Name)
			*e = entry{}
			e.note(now)
			return int32(i)
		}
	}
	v.entries = append(v.entries, entry{})
	return int32(len(v.entries) - 1)
}

func (v *View) domainOf(name string) int32 {
	d, ok := v.domains[name]
	if !ok {
		d = int32(len(v.domains))
		v.domains[name] = d
		clear(v.costs)
	}
	return d
}

// costsFrom returns the distances from a failure domain; they are computed once after a new domain appears.
func (v *View) costsFrom(domain string) []float64 {
	row, ok := v.costs[domain]
	if !ok {
		row = make([]float64, len(v.domains))
		for name, d := range v.domains {
			row[d] = v.settings.Distance(domain, name)
		}
		v.costs[domain] = row
	}
	return row
}

// SetNamed replaces the models that the pools table names for a pool. Until
// an endpoint reports a named model, it is reachable on the pool's endpoints
// that have not reported what they hold.
func (v *View) SetNamed(pool string, models []string) {
	v.models[pool] = slices.Clone(models)
	if len(models) == 0 {
		delete(v.models, pool)
	}
	clear(v.named)
	for _, p := range slices.Sorted(maps.Keys(v.models)) {
		for _, model := range v.models[p] {
			v.named[key{pool: p, model: model}] = p
			if _, ok := v.named[key{model: model}]; !ok {
				v.named[key{model: model}] = p
			}
		}
	}
}

// SetHolding replaces the models resident on an endpoint.
func (v *View) SetHolding(endpoint string, models []Holding) {
	i, ok := v.byName[endpoint]
	if !ok || v.entries[i].gone {
		return
	}
	e := &v.entries[i]
	if e.reported && slices.EqualFunc(e.holding, models, sameHolding) {
		return
	}
	v.withdraw(i)
	e.reported = true
	e.holding = make([]Holding, len(models))
	for n, h := range models {
		h.Adapters = slices.Clone(h.Adapters)
		e.holding[n] = h
	}
	v.enter(i)
}

func sameHolding(a, b Holding) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// SetLeaving marks an endpoint that gets no new work.
func (v *View) SetLeaving(endpoint string, leaving bool) {
	i, ok := v.byName[endpoint]
	if !ok || v.entries[i].leaving == leaving {
		return
	}
	v.entries[i].leaving = leaving
	v.shift(i)
}

// SetReport records an endpoint's load; reports older than the last one are ignored.
func (v *View) SetReport(now time.Duration, endpoint string, r Report) {
	i, ok := v.byName[endpoint]
	if !ok {
		return
	}
	e := &v.entries[i]
	taken := min(r.Taken, now)
	if e.loaded && taken < e.taken {
		return
	}
	e.loaded, e.taken = true, taken
	e.others = float64(max(r.Running+r.Waiting-e.callsAt(taken), 0))
}

// At returns the endpoint with the index.
func (v *View) At(i int) Endpoint { return v.entries[i].Endpoint }
