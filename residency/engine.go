package residency

import (
	"time"

	"magnoliahoist/directory"
)

// engine is what the planner knows of one engine process.
type engine struct {
	directory.Endpoint
	sequence int64 // orders accepted
	synced   bool  // the sequence is known well enough to send an order
	models   map[string]*holding
	current  *Order // under way
	sent     bool   // the order was sent and its answer is not known
	loading  string // model that is being loaded
	leaving  string // model that is being unloaded
	retiring string // model that hosts are told not to use, before it is unloaded
	retired  time.Duration
	target   string        // model for which room is made
	until    time.Duration // expected end of the load under way
	since    time.Duration // last order that was accepted
	asked    time.Duration // last report asked for
	checked  time.Duration // registration for which a report was asked
	wanted   []Ticket
	retry    time.Duration // no order before
}

// holding is a model on an engine with its adapters.
type holding struct {
	adapters map[string]time.Duration // last use
}

func newEngine(e directory.Endpoint) *engine {
	return &engine{Endpoint: e, since: -registrationLag, models: map[string]*holding{}}
}

// adopt replaces what the engine holds, but for the last use of adapters.
func (e *engine) adopt(now time.Duration, models []Model) {
	old := e.models
	e.models = make(map[string]*holding, len(models))
	for _, m := range models {
		h := &holding{adapters: make(map[string]time.Duration, len(m.Adapters))}
		for _, a := range m.Adapters {
			h.adapters[a] = now - unknownUse
			if known := old[m.Name]; known != nil {
				if used, is := known.adapters[a]; is {
					h.adapters[a] = used
				}
			}
		}
		e.models[m.Name] = h
	}
	if e.loading != "" && e.models[e.loading] != nil {
		e.loading = ""
	}
	if e.leaving != "" && e.models[e.leaving] == nil {
		e.leaving = ""
	}
}

// holdsExactly reports whether the engine is known to hold these models with these adapters and no others.
func (e *engine) holdsExactly(models []Model) bool {
	if len(models) != len(e.models) {
		return false
	}
	for _, m := range models {
		h := e.models[m.Name]
		if h == nil || len(m.Adapters) != len(h.adapters) {
			return false
		}
		for _, a := range m.Adapters {
			if _, held := h.adapters[a]; !held {
				return false
			}
		}
	}
	return true
}

// adapters returns the places for adapters in use.
func (e *engine) adapters() int {
	count := 0
	for _, h := range e.models {
		count += len(h.adapters)
	}
	return count
}

// loads reports whether the engine carries out an order for a model as far as known. It refuses all others meanwhile,
// those for adapters too.
func (e *engine) loads(now time.Duration) bool {
	return e.leaving != "" || e.loading != "" && now < e.until
}

// busy reports whether the engine can't take an order for a model now.
func (e *engine) busy() bool {
	return e.loading != "" || e.leaving != "" || e.retiring != "" || e.current != nil
}
