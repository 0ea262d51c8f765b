package placement

import "time"

// Item is a model or an adapter in an endpoint's memory.
type Item struct {
	Model   string
	Adapter string // empty for the model itself
	Version string // of the adapter, or of the model if Adapter is empty
}

// Order asks an endpoint to load or unload an item. A Role order only announces the fencing number.
type Order struct {
	ID            string
	Endpoint      string
	Kind          Kind
	Model         string
	Adapter       string
	Version       string
	Memory        int64 // bytes
	FencingNumber int64 // fencing number of the lease holder that sends it
	Sequence      int64 // increases with each order of one fencing number
}

// Item returns the model or adapter that the order loads or unloads.
func (o Order) Item() Item { return Item{Model: o.Model, Adapter: o.Adapter, Version: o.Version} }

// Record is an order as the endpoint's row holds it.
type Record struct {
	Order     Order
	HasResult bool // the order has a result, but its memory is still reserved
}

// ResidentItem is an item in an endpoint's memory. Reports must also list items that are being loaded or unloaded, since they take
// memory.
type ResidentItem struct {
	Item    Item
	Memory  int64 // bytes; 0 if the endpoint does not say
	Loading bool  // takes memory but cannot serve yet
}

// OrderResult is the result of a recent order in a report.
type OrderResult struct {
	OrderID string // id
	Result  Result
}

// Report is an endpoint's report of its state.
type Report struct {
	Instance      string        // differs for each start of the endpoint
	RequestedAt   time.Duration // when the report was requested; its contents may be older by Settings.ReportLag
	Resident      []ResidentItem
	Results       []OrderResult
	FencingNumber int64 // highest fencing number seen
	Leaving       bool
}

// reservedOrder is an order whose memory is reserved, and the state of its requests.
type reservedOrder struct {
	Order
	inherited      bool // recorded by an earlier lease holder
	sent           bool // at least one request was started
	issuedAt       time.Duration
	requestEnded   bool // no request is running
	requestEndedAt time.Duration
	hasResult      bool // the endpoint's definitive response is known, or a later effect is excluded
	result         Result
	resultAt       time.Duration
	effectReported bool // the last report shows the effect: it lists the result, or was requested too late to lag behind it
}

// setResult sets the result unless there is one.
func (p *reservedOrder) setResult(at time.Duration, r Result) {
	if !p.hasResult {
		p.hasResult, p.result, p.resultAt = true, r, at
	}
}
