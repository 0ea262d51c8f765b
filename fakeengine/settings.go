package fakeengine

import (
	"net/http"
	"time"

	"magnoliahoist/fault"
)

// Settings of an engine. Delays may be zero: the engine then answers immediately.
type Settings struct {
	Instance   string        // id of the process; empty: a random one
	Slots      int           // requests that run at once, the rest waits; 0: defaultSlots
	FirstToken time.Duration // from the start in a slot to the first token
	PerToken   time.Duration // between tokens
	Memory     int64         // bytes
	Fenced     bool          // whether fencing numbers are checked
	Weights    string        // address of the weight store; empty: loads need no fetch
	Adapter    time.Duration // time of an adapter's load
	Resident   []Resident    // resident from the start
	Faults     *fault.Set    // nil: a set of its own
	Client     *http.Client  // for the weight store; nil: a client of its own
}

// defaultSlots is the number of slots of an engine whose settings name none, as in the design page's example.
const defaultSlots = 16

// Resident is one thing that takes memory of an engine.
type Resident struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
	Model   string `json:"model,omitempty"` // the model that an adapter belongs to
	Memory  int64  `json:"memory"`          // bytes
	State   Phase  `json:"state"`
}
