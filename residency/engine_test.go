package residency_test

import (
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/residency"
)

// Sizes of the simulated engines in megabytes: three models of 70 fit beside four adapters of 1.
const (
	adapterSlots    = 4
	engineMegabytes = 216.0
	modelMegabytes  = 70.0
	reportLag       = 400 * time.Millisecond
	adapterTransit  = 300 * time.Millisecond // from the order to load an adapter until the engine holds it
)

// testPool returns a pool with the models m1 to m6.
func testPool() catalog.Pool {
	models := map[string]catalog.Model{}
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		models[name] = catalog.Model{Name: name, WeightsMB: modelMegabytes, LoadTime: 8 * time.Second, DiskLoadTime: 2 * time.Second, HostMemoryLoadTime: time.Second, AdapterCount: 9, AdapterMB: 1}
	}
	return catalog.Pool{Name: "p", Engine: &catalog.Engine{Slots: 64, WeightsMB: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 1, Models: models}}
}

// snapshot is the state of an engine at one time.
type snapshot struct {
	at       time.Duration
	models   map[string][]string // adapters by model
	pending  []transit
	sequence int64
	active   bool
}

// transit is an adapter that an engine is loading.
type transit struct {
	model, adapter string
	end            time.Duration
}

// delayedOrder is an order that reaches the engine after the sender's timeout.
type delayedOrder struct {
	at    time.Duration
	order residency.Order
}

// simEngine simulates an engine. It carries out an order only if the order names the number of orders accepted so far, and its
// reports lag by reportLag.
type simEngine struct {
	id            string
	born          int64 // number of the process
	models        map[string][]string
	sequence      int64
	loading       string
	unloading     string
	changeEnd     time.Duration // when the load or unload under way completes
	pending       []transit
	delayed       []delayedOrder
	history       []snapshot
	overcommitted bool // was ordered to load more than its memory holds
	storeLoads    int  // from the weight store
	evacuated     bool
}

func newSimEngine(id string, models ...string) *simEngine {
	s := &simEngine{id: id, born: 1, models: map[string][]string{}}
	for _, m := range models {
		s.models[m] = nil
	}
	return s
}

// advance completes the model change and executes the delayed orders that are due, and records a snapshot.
func (s *simEngine) advance(now time.Duration) {
	if (s.loading != "" || s.unloading != "") && now >= s.changeEnd {
		if s.loading != "" {
			s.models[s.loading] = nil
		}
		delete(s.models, s.unloading)
		s.loading, s.unloading = "", ""
	}
	for len(s.pending) > 0 && s.pending[0].end <= now {
		if adapters, held := s.models[s.pending[0].model]; held {
			s.models[s.pending[0].model] = append(slices.Clone(adapters), s.pending[0].adapter)
		}
		s.pending = s.pending[1:]
	}
	for len(s.delayed) > 0 && s.delayed[0].at <= now {
		s.execute(s.delayed[0].at, s.delayed[0].order)
		s.delayed = s.delayed[1:]
	}
	models := map[string][]string{}
	for m, adapters := range s.models {
		models[m] = slices.Clone(adapters)
	}
	s.history = append(s.history, snapshot{now, models, slices.Clone(s.pending), s.sequence, s.loading != "" || s.unloading != ""})
}

// adapters returns the number of adapters that the engine holds or loads.
func (s *simEngine) adapters() int {
	count := len(s.pending)
	for _, list := range s.models {
		count += len(list)
	}
	return count
}

// execute carries out an order if its conditions hold.
func (s *simEngine) execute(now time.Duration, o residency.Order) residency.Result {
	if o.EndpointStartedAt != s.born {
		return residency.Denied
	}
	if o.ExpectedSequence != s.sequence {
		return residency.Conflict
	}
	if s.loading != "" || s.unloading != "" {
		return residency.Conflict
	}
	adapters, held := s.models[o.Model]
	switch o.Kind {
	case residency.LoadAdapter:
		if !held {
			return residency.Denied
		}
		if slices.Contains(adapters, o.Adapter) || s.loadsAdapter(o) {
			return residency.AlreadyDone
		}
		s.pending = append(s.pending, transit{o.Model, o.Adapter, now + adapterTransit})
		s.overcommitted = s.overcommitted || s.adapters() > adapterSlots
	case residency.UnloadAdapter:
		s.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
		s.pending = slices.DeleteFunc(s.pending, func(p transit) bool { return p.model == o.Model && p.adapter == o.Adapter })
		s.sequence++
		return residency.AlreadyDone
	case residency.LoadModel:
		if held {
			return residency.AlreadyDone
		}
		s.overcommitted = s.overcommitted || float64(len(s.models)+1)*modelMegabytes+adapterSlots > engineMegabytes
		s.loading, s.changeEnd = o.Model, now+8*time.Second
		s.storeLoads++
	case residency.UnloadModel:
		if !held {
			return residency.AlreadyDone
		}
		s.unloading, s.changeEnd = o.Model, now+1500*time.Millisecond
	}
	s.sequence++
	return residency.Accepted
}

// loadsAdapter reports whether the adapter of an order is in transit.
func (s *simEngine) loadsAdapter(o residency.Order) bool {
	return slices.ContainsFunc(s.pending, func(p transit) bool { return p.model == o.Model && p.adapter == o.Adapter })
}

// restart replaces the engine by a new process that holds nothing.
func (s *simEngine) restart() {
	s.born++
	s.models, s.sequence, s.loading, s.unloading, s.pending, s.history, s.delayed = map[string][]string{}, 0, "", "", nil, nil, nil
}

// report returns the engine's report, whose contents are reportLag old.
func (s *simEngine) report(now time.Duration) residency.Report {
	visible := snapshot{models: s.models, pending: s.pending, sequence: s.sequence, active: s.loading != "" || s.unloading != ""}
	for _, past := range s.history {
		if past.at <= now-reportLag {
			visible = past
		}
	}
	r := residency.Report{Sequence: visible.sequence, Active: visible.active, StartedAt: s.born, RequestedAt: now}
	for m, adapters := range visible.models {
		r.Models = append(r.Models, residency.Model{Name: m, Adapters: adapters})
	}
	for _, p := range visible.pending {
		r.PendingAdapters = append(r.PendingAdapters, residency.Adapter{Model: p.model, Name: p.adapter})
	}
	return r
}

// registration returns the engine's registration, whose models are a second old.
func (s *simEngine) registration(now time.Duration) directory.Endpoint {
	e := directory.Endpoint{ID: s.id, Pool: "p", Address: "10.0.0.1:80", Slots: 64, StartedAt: s.born, ReceivedAt: now, Evacuated: s.evacuated}
	models := s.models
	for _, past := range s.history {
		if past.at <= now-time.Second {
			models = past.models
		}
	}
	for m, adapters := range models {
		e.Models = append(e.Models, directory.Model{Name: m, Adapters: slices.Clone(adapters)})
	}
	return e
}
