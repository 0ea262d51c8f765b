package endpoint

import "time"

// Endpoint is a model engine or a plain service, as the pools table describes it.
type Endpoint struct {
	Name    string
	Address string
	Domain  string // failure domain
	Pool    string
	Slots   int  // calls that it runs at once
	Fenced  bool // refuses orders with an old fencing number
}

// Requirements describes the endpoint that an attempt needs.
type Requirements struct {
	Model   string // empty for a plain service
	Adapter string
	Version string // preferred version; empty for any
	Pool    string // required for a plain service; empty for any pool that holds the model
	Prefix  uint64 // hash of the prompt's prefix; 0 for none
	Domain  string // failure domain of the host
	Tokens  int64  // upper bound of the attempt's tokens
	Exclude []int  // indexes of endpoints that must not be chosen
}

// ResidentModel is a model resident on an endpoint, with its adapters.
type ResidentModel struct {
	Model    string
	Version  string
	Adapters []string
}

// Report is a load report of an endpoint: its calls from all hosts.
type Report struct {
	Running int           // calls that it runs
	Waiting int           // calls waiting at the endpoint
	TakenAt time.Duration // on this host's monotonic clock
}
