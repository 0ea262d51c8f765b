// Package residency decides which engines hold which models and adapters. Engines report what they hold, and carry out an
// order only if it names the number of orders that they have accepted so far. The package performs no I/O.
package residency

import (
	"slices"
	"time"
)

// Kind is the operation that an order asks for.
type Kind int

//go:generate go tool stringer -type=Kind,Result -linecomment -output=kind_string.go

// Kinds of order.
const (
	LoadModel     Kind = iota // load model
	UnloadModel               // unload model
	LoadAdapter               // load adapter
	UnloadAdapter             // unload adapter
)

// Order asks one engine to load or unload a model or adapter.
type Order struct {
	Endpoint          string
	Address           string
	EndpointStartedAt int64 // of the engine process that the order is for, Unix milliseconds
	Kind              Kind
	Model             string
	Adapter           string // empty in an order for a model
	ExpectedSequence  int64  // number of orders that the engine must have accepted before this one
	Reason            string // for the log
}

// Result is the engine's response to an order.
type Result int

// Results of orders.
const (
	// Accepted says that the engine carries out the order.
	Accepted Result = iota // accepted
	// AlreadyDone says that the engine was already in the ordered state, or reached it at once.
	AlreadyDone // already holds
	// Conflict says that the engine has accepted another number of orders than expected, or is busy.
	Conflict // conflict
	// Denied says that the engine refused the order, or that it was not sent.
	Denied // denied
	// Unanswered says that no response arrived: the order may still take effect.
	Unanswered // unanswered
)

// Report is the state that an engine reports on request.
type Report struct {
	Models          []Model
	Sequence        int64     // number of orders that the engine has accepted
	Active          bool      // the engine is loading or unloading a model
	PendingAdapters []Adapter // being loaded; they take a slot already
	StartedAt       int64     // of the engine process, Unix milliseconds; 0 if not stated
	RequestedAt     time.Duration
}

// Adapter is an adapter of a model.
type Adapter struct{ Model, Name string }

// modelsWithPending returns the models with the adapters that the engine holds or loads. It returns false if an adapter of a model that
// is not listed is being loaded: the report does not show then what the slots are used for.
func (r Report) modelsWithPending() ([]Model, bool) {
	models := slices.Clone(r.Models)
	for _, pending := range r.PendingAdapters {
		i := slices.IndexFunc(models, func(m Model) bool { return m.Name == pending.Model })
		if i < 0 {
			return nil, false
		}
		models[i].Adapters = append(slices.Clone(models[i].Adapters), pending.Name)
	}
	return models, true
}

// Model is a model that an engine holds, with the names of its adapters.
type Model struct {
	Name     string
	Adapters []string
}

// Notice tells hosts about changes on an engine that its registration does not show.
type Notice struct {
	Retiring      string // model that hosts must no longer use; empty if none
	ChangingModel bool   // meanwhile the engine takes no orders for adapters
}

// AdapterRequest is a host's request for an adapter on an engine.
type AdapterRequest struct {
	ID       uint64
	Endpoint string
	Model    string
	Adapter  string
}

// AdapterOutcome is the outcome of an adapter request.
type AdapterOutcome struct {
	Request AdapterRequest
	Loaded  bool          // the engine holds the adapter or is loading it
	Delay   time.Duration // estimated time until the adapter can be used
}
