package endpoint

import "time"

// Endpoint is a model engine or a plain service as the tables name it.
type Endpoint struct {
	Name    string
	Address string
	Domain  string // failure domain
	Pool    string
	Slots   int // calls it runs at once
	Fenced  bool
}

// Want describes what an attempt needs.
type Want struct {
	Model   string // empty for a plain service
	Adapter string
	Version string // preferred version; empty for any
	Pool    string // required for a plain service; empty for any pool that holds the model
	Prefix  uint64 // hash of the prompt's prefix; 0 for none
	Domain  string // failure domain of the host
	Tokens  int64  // upper bound of the attempt's tokens
	Exclude []int  // endpoints that must not be chosen
}

// Holding is a model resident on an endpoint.
type Holding struct {
	Model    string
	Version  string
	Adapters []string
}

// Report is the load of an endpoint over all hosts.
type Report struct {
	Running int           // calls running
	Waiting int           // calls waiting at the endpoint
	Taken   time.Duration // when the report was taken, on the host's clock
}
