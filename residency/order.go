// Package residency decides which model engines hold which models and adapters, for engines that state what they
// hold and carry out orders under the condition of their number of accepted orders. It performs no I/O.
package residency

import "time"

// Kind is the kind of an order.
type Kind int

//go:generate go tool stringer -type=Kind,Result -linecomment -output=kind_string.go

// Kinds of order.
const (
	LoadModel     Kind = iota // load model
	UnloadModel               // unload model
	LoadAdapter               // load adapter
	UnloadAdapter             // unload adapter
)

// Order is an order to one engine.
type Order struct {
	Endpoint string
	Address  string
	Born     int64 // start of the process that is meant
	Kind     Kind
	Model    string
	Adapter  string
	Expected int64 // orders that the engine must have accepted
	Why      string
}

// Result is the engine's answer to an order.
type Result int

// Results of orders.
const (
	Accepted   Result = iota // accepted
	Held                     // already holds
	Conflict                 // conflict
	Denied                   // denied
	Unanswered               // unanswered
)

// Report is what an engine says about itself when it is asked.
type Report struct {
	Models   []Model
	Sequence int64 // orders accepted
	Active   bool  // an order is being carried out
	Pending  int   // adapters that are being loaded
	Born     int64
	Asked    time.Duration
}

// Model is a model that an engine holds.
type Model struct {
	Name     string
	Adapters []string
}

// Notice is what hosts must know of an engine beside its registration.
type Notice struct {
	Retiring string // model that must not be used any more
	Loading  bool   // the engine takes no orders for adapters
}

// Ticket is a host's wish for an adapter on an engine.
type Ticket struct {
	ID       uint64
	Endpoint string
	Model    string
	Adapter  string
}

// Settled is a ticket whose outcome is known. The adapter can be used after Delay.
type Settled struct {
	Ticket Ticket
	Loaded bool
	Delay  time.Duration
}
