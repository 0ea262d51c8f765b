package residency_test

import (
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/residency"
)

// Sizes of the simulated engines: three models of 70 fit beside four adapters of 1.
const (
	places    = 4
	weights   = 216.0
	modelSize = 70.0
	reportLag = 400 * time.Millisecond
)

func spec() catalog.Pool {
	models := map[string]catalog.Model{}
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		models[name] = catalog.Model{Name: name, Weights: modelSize, Load: 8 * time.Second, Disk: 2 * time.Second, Warm: time.Second, Adapters: 9, Adapter: 1}
	}
	return catalog.Pool{Name: "p", Engine: &catalog.Engine{Slots: 64, Weights: weights, Adapters: places, Loads: 1, Models: models}}
}

// state is what an engine holds at a moment.
type state struct {
	at       time.Duration
	models   map[string][]string
	sequence int64
	active   bool
}

// lateOrder is an order that is carried out after its sender has given up.
type lateOrder struct {
	at    time.Duration
	order residency.Order
}

// sim is an engine of the platform's dialect: orders are carried out under the condition of the number accepted, and
// reports lag.
type sim struct {
	id       string
	born     int64
	models   map[string][]string
	sequence int64
	loading  string
	leaving  string
	until    time.Duration
	late     []lateOrder
	past     []state
	over     bool // ordered to load more than there is room for
	cold     int
}

func newSim(id string, models ...string) *sim {
	s := &sim{id: id, born: 1, models: map[string][]string{}}
	for _, m := range models {
		s.models[m] = nil
	}
	return s
}

// pass lets time pass.
func (s *sim) pass(now time.Duration) {
	if (s.loading != "" || s.leaving != "") && now >= s.until {
		if s.loading != "" {
			s.models[s.loading] = nil
		}
		delete(s.models, s.leaving)
		s.loading, s.leaving = "", ""
	}
	for len(s.late) > 0 && s.late[0].at <= now {
		s.carry(s.late[0].at, s.late[0].order)
		s.late = s.late[1:]
	}
	copied := map[string][]string{}
	for m, adapters := range s.models {
		copied[m] = slices.Clone(adapters)
	}
	s.past = append(s.past, state{now, copied, s.sequence, s.loading != "" || s.leaving != ""})
}

func (s *sim) adapters() int {
	count := 0
	for _, list := range s.models {
		count += len(list)
	}
	return count
}

// carry carries out an order.
func (s *sim) carry(now time.Duration, o residency.Order) residency.Result {
	if o.Born != s.born {
		return residency.Denied
	}
	if o.Expected != s.sequence {
		return residency.Conflict
	}
	if s.loading != "" || s.leaving != "" {
		return residency.Conflict
	}
	adapters, held := s.models[o.Model]
	switch o.Kind {
	case residency.LoadAdapter:
		if !held {
			return residency.Denied
		}
		if slices.Contains(adapters, o.Adapter) {
			return residency.Held
		}
		s.models[o.Model] = append(adapters, o.Adapter)
		s.over = s.over || s.adapters() > places
	case residency.UnloadAdapter:
		s.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
		s.sequence++
		return residency.Held
	case residency.LoadModel:
		if held {
			return residency.Held
		}
		s.over = s.over || float64(len(s.models)+1)*modelSize+places > weights
		s.loading, s.until = o.Model, now+8*time.Second
		s.cold++
	case residency.UnloadModel:
		if !held {
			return residency.Held
		}
		s.leaving, s.until = o.Model, now+1500*time.Millisecond
	}
	s.sequence++
	return residency.Accepted
}

// restart empties the engine.
func (s *sim) restart() {
	s.born++
	s.models, s.sequence, s.loading, s.leaving, s.past, s.late = map[string][]string{}, 0, "", "", nil, nil
}

// report returns what the engine says of itself, as of a while ago.
func (s *sim) report(now time.Duration) residency.Report {
	seen := state{models: s.models, sequence: s.sequence, active: s.loading != "" || s.leaving != ""}
	for _, p := range s.past {
		if p.at <= now-reportLag {
			seen = p
		}
	}
	r := residency.Report{Sequence: seen.sequence, Active: seen.active, Born: s.born, Asked: now}
	for m, adapters := range seen.models {
		r.Models = append(r.Models, residency.Model{Name: m, Adapters: adapters})
	}
	return r
}

// registration returns what the registry shows of the engine, as of a second ago.
func (s *sim) registration(now time.Duration) directory.Endpoint {
	e := directory.Endpoint{ID: s.id, Pool: "p", Address: "10.0.0.1:80", Slots: 64, Born: s.born, Seen: now}
	models := s.models
	for _, p := range s.past {
		if p.at <= now-time.Second {
			models = p.models
		}
	}
	for m, adapters := range models {
		e.Models = append(e.Models, directory.Model{Name: m, Adapters: slices.Clone(adapters)})
	}
	return e
}
