// Package state is the reducer of a host: it turns typed events into effects, without I/O and without a clock.
package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// Event is something that happened to the host.
type Event interface{ isEvent() }

// Arrive is a caller's request that has been read.
type Arrive struct {
	Request uint64 // unique within the process
	Digest  string // of the caller's key; empty without one
	Model   string // name of the route, for model calls
	Path    string // for services
	Once    bool   // the call came with an idempotency key
	Prompt  int64  // estimated prompt tokens
	Limit   int64  // tokens that the caller allows to be generated; 0 for the route's limit
	Prefix  uint64 // hash of the prompt's beginning
}

// Begun says that the durable intent of an at-most-once call exists.
type Begun struct{ Request uint64 }

// Finished is the end of an attempt.
type Finished struct {
	Request uint64
	Outcome endpoint.Outcome
	Sent    bool  // at least one byte may have reached the endpoint
	Used    int64 // tokens used, prompt included; less than zero when not known
	Retry   bool  // the request may be sent again if its route allows it
}

// Left says that the caller of a request has gone, or that its request is over without an attempt.
type Left struct{ Request uint64 }

// Tick lets time pass.
type Tick struct{}

// Learned carries rows of the shared state, from the table service or from a member.
type Learned struct {
	Source  replica.Source
	Started time.Duration // when the exchange began
	After   int64
	Rows    table.Snapshot
	Settled int64 // revision below which no fresh host is, as another host knows it
}

// Acked says that a member has applied all changes up to a revision.
type Acked struct {
	Member   string
	Revision int64
}

// Missed says that a member did not answer.
type Missed struct{ Member string }

// Answered says that a member answered.
type Answered struct{ Member string }

// Lent answers a Borrow effect; no tokens when the lender had none or did not answer.
type Lent struct {
	Account string
	Loan    string
	Lender  string
	Tokens  int64
	Asked   time.Duration
}

// Asks is a member's wish to borrow tokens; the answer is a Lend effect.
type Asks struct {
	Account  string
	Loan     string
	Borrower string
	Tokens   int64
}

// Repaid returns the unused part of a loan that this host made.
type Repaid struct {
	Account string
	Loan    string
	Unused  int64
}

// Listed is the platform's list of live and leaving hosts.
type Listed struct {
	Leaving map[string]bool // by address
}

// Reported is the load of endpoints of a pool, seen by the lease holder or received from it.
type Reported struct {
	Pool      string
	Endpoints []Load
}

// Load is what is known of one endpoint.
type Load struct {
	Endpoint string
	Report   endpoint.Report
	Holding  []endpoint.Holding
	Leaving  bool
}

// Drain starts the planned stop: requests that arrive from now on are refused.
type Drain struct{}

func (Arrive) isEvent()   {}
func (Begun) isEvent()    {}
func (Finished) isEvent() {}
func (Left) isEvent()     {}
func (Tick) isEvent()     {}
func (Learned) isEvent()  {}
func (Acked) isEvent()    {}
func (Missed) isEvent()   {}
func (Answered) isEvent() {}
func (Lent) isEvent()     {}
func (Asks) isEvent()     {}
func (Repaid) isEvent()   {}
func (Listed) isEvent()   {}
func (Reported) isEvent() {}
func (Drain) isEvent()    {}
