package residency

import (
	"time"

	"magnoliahoist/directory"
)

// engine is the planner's state of one engine process.
type engine struct {
	directory.Endpoint
	sequence            int64 // number of orders that the engine has accepted
	synced              bool  // a recent report confirmed the sequence, so that orders may be sent
	models              map[string]*residentModel
	inFlight            *Order // order without a definitive response
	resend              bool   // inFlight got no response and must be sent again
	unanswered          bool   // inFlight got no response at least once
	givenUp             *Order // last order that was given up although one of its sendings got no response; it may still be carried out
	loading             string // model that the engine is loading
	unloading           string // model that the engine is unloading
	retiring            string // model that hosts are told not to use because it is unloaded next
	retiringSince       time.Duration
	nextModel           string        // model to load once there is memory for it
	loadEnd             time.Duration // expected end of the model load under way
	lastChange          time.Duration // last accepted order or completed load
	reportRequestedAt   time.Duration // when the last report was requested
	checkedRegistration time.Duration // ReceivedAt of the last registration that caused a report request
	requests            []AdapterRequest
	retryAt             time.Duration // no order is sent earlier
	slowness            float64       // as hosts have measured it; 0 if unknown
}

// residentModel is a model that an engine holds, with its adapters.
type residentModel struct {
	lastUse   map[string]time.Duration // by adapter
	unloading map[string]bool          // adapters that take a slot until the requests that use them have ended; nil if none
}

// slots returns the number of slots that the model's adapters take.
func (m *residentModel) slots() int { return len(m.lastUse) + len(m.unloading) }

func newEngine(e directory.Endpoint) *engine {
	return &engine{Endpoint: e, lastChange: -registrationLag, models: map[string]*residentModel{}}
}

// setModels replaces the models and adapters that the engine holds. Adapters that it already held keep their last use, and those that
// are being unloaded stay so.
func (e *engine) setModels(now time.Duration, models []Model) {
	previous := e.models
	e.models = make(map[string]*residentModel, len(models))
	for _, m := range models {
		loaded := &residentModel{lastUse: make(map[string]time.Duration, len(m.Adapters))}
		before := previous[m.Name]
		for _, a := range m.Adapters {
			if before != nil && before.unloading[a] {
				loaded.beginUnload(a)
				continue
			}
			loaded.lastUse[a] = now - unknownUseAge
			if before != nil {
				if used, ok := before.lastUse[a]; ok {
					loaded.lastUse[a] = used
				}
			}
		}
		e.models[m.Name] = loaded
	}
	if e.loading != "" && e.models[e.loading] != nil {
		e.loading = ""
	}
	if e.unloading != "" && e.models[e.unloading] == nil {
		e.unloading = ""
	}
}

// holdsExactly reports whether the engine is known to hold these models with these adapters and no others.
func (e *engine) holdsExactly(models []Model) bool {
	if len(models) != len(e.models) {
		return false
	}
	for _, m := range models {
		loaded := e.models[m.Name]
		if loaded == nil || len(m.Adapters) != len(loaded.lastUse) {
			return false
		}
		for _, a := range m.Adapters {
			if _, held := loaded.lastUse[a]; !held {
				return false
			}
		}
	}
	return true
}

// beginUnload records that an adapter is unloaded once the requests that use it have ended.
func (m *residentModel) beginUnload(adapter string) {
	delete(m.lastUse, adapter)
	if m.unloading == nil {
		m.unloading = map[string]bool{}
	}
	m.unloading[adapter] = true
}

// adapterCount returns the number of adapters that take a slot of the engine.
func (e *engine) adapterCount() int {
	count := 0
	for _, loaded := range e.models {
		count += loaded.slots()
	}
	return count
}

// unloadingAdapters reports whether the engine waits for requests to end before it unloads an adapter.
func (e *engine) unloadingAdapters() bool {
	for _, loaded := range e.models {
		if len(loaded.unloading) > 0 {
			return true
		}
	}
	return false
}

// forgetUnloads takes the adapters that are being unloaded for held ones.
func (e *engine) forgetUnloads() {
	for _, loaded := range e.models {
		loaded.unloading = nil
	}
}

// changingModel reports whether the engine is expected to be loading or unloading a model. Meanwhile it refuses all other
// orders, also those for adapters.
func (e *engine) changingModel(now time.Duration) bool {
	return e.unloading != "" || e.loading != "" && now < e.loadEnd
}

// busy reports whether the engine has a model change or an order under way, so that it can't take an order for a model.
func (e *engine) busy() bool {
	return e.loading != "" || e.unloading != "" || e.retiring != "" || e.inFlight != nil
}

// Bounds of an engine's capacity. A short stall must not make the planner move all of an engine's models.
const (
	minCapacity = 0.5
	maxCapacity = 2.0
)

// capacity returns the engine's capacity as a multiple of that of an engine of the assumed speed.
func (e *engine) capacity() float64 {
	if e.slowness <= 0 {
		return 1
	}
	return min(max(1/e.slowness, minCapacity), maxCapacity)
}
