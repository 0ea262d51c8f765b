// Package dispatch is the reducer of a host whose endpoints register themselves: it admits, queues, places and
// repeats requests. It performs no I/O and holds no clock.
package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/intake"
)

// Event is something that happened to the host.
type Event interface{ isEvent() }

// Arrive is a caller's request that has been read.
type Arrive struct {
	Number  uint64 // unique within the process
	Request *intake.Request
}

// First says that an endpoint has begun to answer.
type First struct{ Number uint64 }

// Finished is the end of an attempt.
type Finished struct {
	Number  uint64
	Outcome Outcome
	Begun   bool // part of the answer was handed to the caller, which settles the request
	Back    time.Duration
	Took    time.Duration // from the send to the first byte of the answer; 0 without an answer
}

// Left says that the caller of a request has gone.
type Left struct{ Number uint64 }

// Expired says that the time of a request is over.
type Expired struct{ Number uint64 }

// Tick lets time pass.
type Tick struct{}

// Configured is a version of the configuration.
type Configured struct{ Catalog *catalog.Catalog }

// Registered is the list of endpoints.
type Registered struct{ Endpoints []directory.Endpoint }

// Member is another host.
type Member struct {
	ID      string
	Address string
}

// Joined is the list of other hosts and this host's fraction of every allowance.
type Joined struct {
	Others   []Member
	Fraction float64
}

// Lent answers a Borrow effect; no tokens when the lender had none or did not answer.
type Lent struct {
	Account string
	Loan    string
	Lender  string
	Tokens  int64
	Asked   time.Duration
}

// Asks is another host's wish to borrow tokens; the answer is a Lend effect.
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

// Fetched answers a Fetch effect.
type Fetched struct {
	Pool     string
	Endpoint string
	Model    string
	Adapter  string
	Loaded   bool
}

// Load is what other hosts have under way at an endpoint.
type Load struct {
	Endpoint string
	Running  int
	Backlog  int64 // prompt tokens that have not been read
}

// Observed is the load that other hosts put on the endpoints of a pool.
type Observed struct {
	Pool  string
	Loads []Load
}

func (Arrive) isEvent()     {}
func (First) isEvent()      {}
func (Finished) isEvent()   {}
func (Left) isEvent()       {}
func (Expired) isEvent()    {}
func (Tick) isEvent()       {}
func (Configured) isEvent() {}
func (Registered) isEvent() {}
func (Joined) isEvent()     {}
func (Lent) isEvent()       {}
func (Asks) isEvent()       {}
func (Repaid) isEvent()     {}
func (Fetched) isEvent()    {}
func (Observed) isEvent()   {}
