package fakeengine

import (
	"net/http"
	"time"

	"magnoliahoist/fault"
)

// Settings are the settings of an Engine. With delays of zero the engine responds immediately.
type Settings struct {
	Instance            string         // id of the engine process; empty: a random one
	Slots               int            // maximum number of requests that run at once; 0: defaultSlots
	TimeToFirstToken    time.Duration  // from the assignment of a slot to the first token
	InterTokenLatency   time.Duration  // time between tokens
	Memory              int64          // size of the memory in bytes
	CheckFencingNumbers bool           // whether orders with an old fencing number or sequence are refused
	WeightStore         string         // address of the weight store, host:port or a URL; empty: loads fetch no weights
	AdapterLoadTime     time.Duration  // duration of an adapter's load, not counting the fetch of its weights
	Resident            []ResidentItem // models, adapters and roles in memory from the start
	Faults              *fault.Set     // nil: a new set
	Client              *http.Client   // HTTP client for the weight store; nil: a new client
}

// defaultSlots is the number of slots of an engine whose settings name none, the same as in the example of the
// design page.
const defaultSlots = 16

// ResidentItem is a model, adapter or role in the memory of an engine.
type ResidentItem struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
	Model   string `json:"model,omitempty"` // the model that an adapter belongs to
	Memory  int64  `json:"memory"`          // bytes
	State   Phase  `json:"state"`
}
