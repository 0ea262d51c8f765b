// Package fault provides faults that can be switched on in stand-ins while they run, and the handling of goroutines and
// listeners that the stand-ins share.
package fault

import "magnoliahoist/document"

//go:generate go tool stringer -type Counter

// Faults are the faults of a stand-in that are switched on. A number is the count of operations still to be affected; a
// switch or a duration affects every operation while it is set.
type Faults struct {
	Down        bool              `json:"down,omitempty"`        // connections are closed without a response
	Refuse      bool              `json:"refuse,omitempty"`      // requests get status 503 and X-Run: no, and are not carried out
	Slow        document.Duration `json:"slow,omitempty"`        // delay before each request is carried out
	LoseReply   int               `json:"loseReply,omitempty"`   // requests that are carried out and get no response: the connection is closed
	LateWrite   document.Duration `json:"lateWrite,omitempty"`   // connection closed at once, write carried out after this delay
	Stale       bool              `json:"stale,omitempty"`       // the list of hosts is served as it was when the fault was set
	LoseOrder   int               `json:"loseOrder,omitempty"`   // orders that are never carried out; the connection is closed
	LateOrder   document.Duration `json:"lateOrder,omitempty"`   // connection closed at once, order carried out after this delay
	DoubleOrder int               `json:"doubleOrder,omitempty"` // orders that are carried out twice, the second time after LateOrder
	IgnoreFence bool              `json:"ignoreFence,omitempty"` // fencing numbers are not checked
	CutStream   int               `json:"cutStream,omitempty"`   // streams in the middle of which the connection is closed
	SwapReply   int               `json:"swapReply,omitempty"`   // responses that are marked as belonging to another request
	Full        bool              `json:"full,omitempty"`        // requests are refused and marked as not run
	LoseEvent   int               `json:"loseEvent,omitempty"`   // cache events that are not sent, so that their numbers have a gap
	Rest        document.Duration `json:"rest,omitempty"`        // requests are refused, marked as not run, and the caller is asked to send none for this time
	DeadlyPart  string            `json:"deadlyPart,omitempty"`  // an engine that begins to respond to a request with this prompt part crashes
	Lag         document.Duration `json:"lag,omitempty"`         // how far load reports and cache events lag behind
}

// Counter names a fault that affects a number of operations.
type Counter int

// Faults that affect a number of operations. Each counts down the field of Faults with the same name.
const (
	LoseReply Counter = iota
	LoseOrder
	DoubleOrder
	CutStream
	SwapReply
	LoseEvent
)

// remaining returns the field of a counter.
func (f *Faults) remaining(c Counter) *int {
	switch c {
	case LoseReply:
		return &f.LoseReply
	case LoseOrder:
		return &f.LoseOrder
	case DoubleOrder:
		return &f.DoubleOrder
	case CutStream:
		return &f.CutStream
	case SwapReply:
		return &f.SwapReply
	default:
		return &f.LoseEvent
	}
}
