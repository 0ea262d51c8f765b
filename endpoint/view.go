package endpoint

import (
	"maps"
	"slices"
	"time"
)

// View is a host's view of the endpoints: their resident models, load and failures. It is not safe for concurrent use.
type View struct {
	settings         Settings
	entries          []entry
	indexByName      map[string]int32
	groups           map[groupKey]*group
	configuredModels map[string][]string // by pool: models that the pools table lists
	poolOfModel      map[groupKey]string // by model, with and without its pool: the pool that is configured to hold it
	domainIndexes    map[string]int32
	domainCosts      map[string][]float64 // by failure domain: cost to each domain, by domain index
	randomState      uint64
	retryBudget      retryBudget
}

// New returns a view without endpoints.
func New(s Settings) *View {
	s = s.WithDefaults()
	return &View{
		settings:         s,
		indexByName:      make(map[string]int32),
		groups:           make(map[groupKey]*group),
		configuredModels: make(map[string][]string),
		poolOfModel:      make(map[groupKey]string),
		domainIndexes:    make(map[string]int32),
		domainCosts:      make(map[string][]float64),
		randomState:      mix64(s.Seed + 1),
	}
}

// SetEndpoints replaces the list of endpoints. An endpoint that stays keeps its counters and reports; if its address has changed, it keeps
// only the counts of its calls in flight.
func (v *View) SetEndpoints(now time.Duration, list []Endpoint) {
	wanted := make(map[string]Endpoint, len(list))
	for _, e := range list {
		wanted[e.Name] = e
	}
	for _, name := range slices.Sorted(maps.Keys(v.indexByName)) {
		if _, ok := wanted[name]; !ok {
			v.removeEndpoint(v.indexByName[name])
		}
	}
	for _, e := range list {
		v.setEndpoint(now, e)
	}
}

// removeEndpoint takes an endpoint out of all groups; its index is reused once no call is in flight.
func (v *View) removeEndpoint(i int32) {
	v.removeFromGroups(i)
	v.entries[i].removed = true
}

// setEndpoint adds an endpoint, or updates the one with the same name.
func (v *View) setEndpoint(now time.Duration, e Endpoint) {
	e.Slots = max(e.Slots, 1)
	i, ok := v.indexByName[e.Name]
	if ok && !v.entries[i].removed && v.entries[i].Endpoint == e {
		return
	}
	if !ok {
		i = v.allocateIndex(now)
		v.indexByName[e.Name] = i
	}
	v.removeFromGroups(i)
	kept := &v.entries[i]
	if kept.removed || kept.Address != e.Address {
		// Another process runs at the address, so the reports of the former one no longer apply.
		*kept = entry{ownCalls: kept.ownCalls, ownTokens: kept.ownTokens, history: kept.history, newest: kept.newest}
	}
	kept.Endpoint, kept.hash, kept.domainIndex = e, hashName(e.Name), v.domainIndexOf(e.Domain)
	v.addToGroups(i)
}

// allocateIndex returns the index of an unused entry; the index of a removed endpoint is reused only when no call to it is in flight.
func (v *View) allocateIndex(now time.Duration) int32 {
	for i := range v.entries {
		e := &v.entries[i]
		if e.removed && e.ownCalls == 0 {
			delete(v.indexByName, e.Name)
			*e = entry{}
			e.recordOwnCalls(now)
			return int32(i)
		}
	}
	v.entries = append(v.entries, entry{})
	return int32(len(v.entries) - 1)
}

// domainIndexOf returns the index of a failure domain. A new domain invalidates the computed costs.
func (v *View) domainIndexOf(name string) int32 {
	d, ok := v.domainIndexes[name]
	if !ok {
		d = int32(len(v.domainIndexes))
		v.domainIndexes[name] = d
		clear(v.domainCosts)
	}
	return d
}

// domainCostsFrom returns the costs of calls from a failure domain to every domain, by domain index. They are computed once for each set of domains.
func (v *View) domainCostsFrom(domain string) []float64 {
	costs, ok := v.domainCosts[domain]
	if !ok {
		costs = make([]float64, len(v.domainIndexes))
		for name, d := range v.domainIndexes {
			costs[d] = v.settings.DomainCost(domain, name)
		}
		v.domainCosts[domain] = costs
	}
	return costs
}

// SetConfiguredModels replaces the models that the pools table lists for a pool. Until an endpoint reports such a model,
// calls to it go to the pool's endpoints that have not reported their resident models.
func (v *View) SetConfiguredModels(pool string, models []string) {
	v.configuredModels[pool] = slices.Clone(models)
	if len(models) == 0 {
		delete(v.configuredModels, pool)
	}
	clear(v.poolOfModel)
	for _, p := range slices.Sorted(maps.Keys(v.configuredModels)) {
		for _, model := range v.configuredModels[p] {
			v.poolOfModel[groupKey{pool: p, model: model}] = p
			if _, ok := v.poolOfModel[groupKey{model: model}]; !ok {
				v.poolOfModel[groupKey{model: model}] = p
			}
		}
	}
}

// SetResidentModels replaces the models that are resident on an endpoint, as the endpoint reported them. An unknown endpoint is ignored.
func (v *View) SetResidentModels(endpoint string, models []ResidentModel) {
	i, ok := v.indexByName[endpoint]
	if !ok || v.entries[i].removed {
		return
	}
	e := &v.entries[i]
	if e.modelsKnown && slices.EqualFunc(e.resident, models, sameResidentModel) {
		return
	}
	v.removeFromGroups(i)
	e.modelsKnown = true
	e.resident = make([]ResidentModel, len(models))
	for n, h := range models {
		h.Adapters = slices.Clone(h.Adapters)
		e.resident[n] = h
	}
	v.addToGroups(i)
}

func sameResidentModel(a, b ResidentModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// SetLeaving sets whether an endpoint is leaving; a leaving endpoint gets no new calls.
func (v *View) SetLeaving(endpoint string, leaving bool) {
	i, ok := v.indexByName[endpoint]
	if !ok || v.entries[i].leaving == leaving {
		return
	}
	v.entries[i].leaving = leaving
	v.updateRings(i)
}

// SetReport records an endpoint's load report. It ignores one that was taken before the last recorded one.
func (v *View) SetReport(now time.Duration, endpoint string, r Report) {
	i, ok := v.indexByName[endpoint]
	if !ok {
		return
	}
	e := &v.entries[i]
	taken := min(r.TakenAt, now)
	if e.hasReport && taken < e.reportTakenAt {
		return
	}
	e.hasReport, e.reportTakenAt = true, taken
	e.otherCalls = float64(max(r.Running+r.Waiting-e.ownCallsAt(taken), 0))
}

// EndpointAt returns the endpoint with the index that Pick returned.
func (v *View) EndpointAt(i int) Endpoint { return v.entries[i].Endpoint }
