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
	Cut     bool // the host has been cut off for so long that keys may have been withdrawn
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

// Member is a host. A process that starts again under a host's name has another id.
type Member struct {
	Name    string
	ID      string
	Address string
}

// Joined is the list of all hosts; a host that is not among them holds no part of an allowance.
type Joined struct{ Members []Member }

// Lent answers a Borrow effect; no tokens when the lender had none or did not answer.
type Lent struct {
	Account  string
	Loan     string
	Lender   string
	Tokens   int64
	Asked    time.Duration
	Answered bool
}

// Asks is another host's wish to borrow tokens; the answer is a Lend effect.
type Asks struct {
	Account  string
	Loan     string
	Borrower string
	Tokens   int64
	Least    int64 // of the largest request that waits
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

// Adapter is an adapter of a model.
type Adapter struct{ Model, Adapter string }

// levels is the number of urgencies that are told apart. The last one is for requests that are expected to be late.
const (
	levels    = 4
	lateLevel = levels - 1
)

// Backlog is a number of tokens by urgency, the most urgent first.
type Backlog [levels]int64

// Before returns the tokens that are read before those of a request at the level.
func (b Backlog) Before(level int) int64 {
	sum := int64(0)
	for _, tokens := range b[:level+1] {
		sum += tokens
	}
	return sum
}

// levelOf returns the level of a priority.
func levelOf(priority int) int { return min(max(priority, 0), lateLevel-1) }

// Load is what hosts have under way at an endpoint.
type Load struct {
	Endpoint string
	Running  int
	Backlog  Backlog   // prompt tokens that have not been read
	Retiring string    // model that must not be used any more
	Loading  bool      // the endpoint takes no orders for adapters
	Used     []Adapter // adapters that attempts have used since the last report
}

// Orderable says whether adapters can be ordered for a pool now.
type Orderable struct {
	Pool     string
	Possible bool
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
func (Orderable) isEvent()  {}
