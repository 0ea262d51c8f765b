// Package fault holds the switchable faults of the stand-ins and what the stand-ins share to run.
package fault

import "magnoliahoist/document"

//go:generate go tool stringer -type Counter

// Faults are the faults in force. Numbers count the operations that are still to be affected;
// a duration affects every operation while it is set.
type Faults struct {
	Down        bool              `json:"down,omitempty"`        // connections are closed without an answer
	Refuse      bool              `json:"refuse,omitempty"`      // requests are answered 503 and X-Run: no, not carried out
	Slow        document.Duration `json:"slow,omitempty"`        // added before each request is carried out
	LoseReply   int               `json:"loseReply,omitempty"`   // carried out, then the connection is closed
	LateWrite   document.Duration `json:"lateWrite,omitempty"`   // connection closed at once, write carried out after the delay
	Stale       bool              `json:"stale,omitempty"`       // the list as of the moment the fault was set is served
	LoseOrder   int               `json:"loseOrder,omitempty"`   // connection closed, order never carried out
	LateOrder   document.Duration `json:"lateOrder,omitempty"`   // connection closed at once, order carried out after the delay
	DoubleOrder int               `json:"doubleOrder,omitempty"` // carried out twice, the second time after LateOrder
	IgnoreFence bool              `json:"ignoreFence,omitempty"` // fencing numbers are not checked
	CutStream   int               `json:"cutStream,omitempty"`   // the connection is closed in the middle of a stream
	SwapReply   int               `json:"swapReply,omitempty"`   // the answer belongs to another request
	Full        bool              `json:"full,omitempty"`        // requests are refused as not run
	LoseEvent   int               `json:"loseEvent,omitempty"`   // cache events that leave a gap
	Lag         document.Duration `json:"lag,omitempty"`         // age of load reports and cache events
}

// Counter names a fault that affects a number of operations.
type Counter int

// The counters.
const (
	LoseReply Counter = iota
	LoseOrder
	DoubleOrder
	CutStream
	SwapReply
	LoseEvent
)

func (f *Faults) counter(c Counter) *int {
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
