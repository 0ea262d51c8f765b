package placement

import "time"

// Item is a model or an adapter in an endpoint's memory.
type Item struct {
	Model   string
	Adapter string // empty for the model itself
	Version string // of the adapter if it is one
}

// Order asks an endpoint to change what it holds. A Role order only announces
// the fencing number.
type Order struct {
	ID       string
	Endpoint string
	Kind     Kind
	Model    string
	Adapter  string
	Version  string
	Memory   int64 // bytes
	Fence    int64
	Sequence int64
}

// Item returns what the order loads or unloads.
func (o Order) Item() Item { return Item{Model: o.Model, Adapter: o.Adapter, Version: o.Version} }

// Record is an order as its row holds it. Known orders have a result but
// their memory is still reserved.
type Record struct {
	Order Order
	Known bool
}

// Resident is an item in an endpoint's memory. A report must also list items
// that are being loaded or unloaded, since they take memory.
type Resident struct {
	Item    Item
	Memory  int64 // bytes; 0 if the endpoint does not say
	Loading bool  // takes memory but cannot serve yet
}

// OrderResult is the result of a recent order in a report.
type OrderResult struct {
	Order  string // id
	Result Result
}

// Report is what an endpoint says of itself.
type Report struct {
	Instance string        // new for each start of the endpoint
	Asked    time.Duration // when the request for the report was sent; the contents may be older by Settings.Lag
	Resident []Resident
	Results  []OrderResult
	Fence    int64 // highest fencing number seen
	Leaving  bool
}

// pending is an order whose memory is reserved.
type pending struct {
	Order
	old      bool // recorded by an earlier holder of the lease
	sent     bool // some request for it was started
	issued   time.Duration
	ended    bool // no request for it is running
	endedAt  time.Duration
	known    bool
	result   Result
	resultAt time.Duration
	shown    bool // the last report contains the effect: it lists the result, or is too late to lag behind it
}

func (p *pending) settle(at time.Duration, r Result) {
	if !p.known {
		p.known, p.result, p.resultAt = true, r, at
	}
}
