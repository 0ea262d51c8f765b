// Package state is the state machine of a host. State.Apply changes the state by one event and returns the effects that the host must carry out.
// The package performs no I/O and reads no clock; times are monotonic since the start of the process.
package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// Event is something that happened and may change the state.
type Event interface{ isEvent() }

// Arrive says that a caller's request has arrived and been parsed.
type Arrive struct {
	Request uint64 // id, unique within the process
	Digest  string // digest of the caller's key; empty without a key
	Model   string // model that the caller names; empty for a call to a service
	Path    string // URL path, for a call to a service
	Once    bool   // the caller sent an idempotency key
	Prompt  int64  // estimated prompt tokens
	Limit   int64  // most tokens that the caller allows to be generated; 0 when it names no limit
	Prefix  uint64 // hash of the beginning of the prompt; 0 for none
}

// Begun says that the durable intent of an at-most-once call has been recorded.
type Begun struct{ Request uint64 }

// Finished says that an attempt has ended.
type Finished struct {
	Request uint64
	Outcome endpoint.Outcome
	Sent    bool  // at least one byte may have reached the endpoint
	Used    int64 // tokens used, prompt included; negative when unknown
	Retry   bool  // another attempt may be made if the route allows it; false once a part of the response has reached the caller, or the caller has left
}

// Left says that a request is over and that its next attempt has not begun: its caller has gone, or the host has responded without an attempt.
type Left struct{ Request uint64 }

// Tick says that time has passed; the host applies one at short intervals, so that deadlines and periodic work are noticed.
type Tick struct{}

// Learned carries the result of a ReadTable or SyncMember effect: rows of the shared state.
type Learned struct {
	Source  replica.Source
	Started time.Duration // when the exchange began; the freshness window counts from here
	After   int64         // revision after which the rows were written
	Rows    table.Snapshot
	Settled int64 // a revision that every fresh host has reached, as reported by a member
}

// Acked says that a member has applied all changes up to a revision.
type Acked struct {
	Member   string
	Revision int64
}

// Missed says that a member did not respond to a message.
type Missed struct{ Member string }

// Answered says that a member responded to a message.
type Answered struct{ Member string }

// Lent reports the result of a RequestLoan effect.
type Lent struct {
	Account string
	Loan    string        // id
	Lender  string        // member id
	Tokens  int64         // tokens lent; 0 when the lender had none or did not respond
	Asked   time.Duration // when this host asked, on its own monotonic clock
}

// Asks says that a member asks for a loan. A GrantLoan effect is the response.
type Asks struct {
	Account  string
	Loan     string // id
	Borrower string // member id
	Tokens   int64
}

// Repaid says that a borrower has returned the unused part of a loan that this host made.
type Repaid struct {
	Account string
	Loan    string // id
	Unused  int64  // total of tokens returned so far for this loan; 0: all are spent
}

// Listed carries the addresses that the platform's list shows as leaving.
type Listed struct {
	Leaving map[string]bool // by address
}

// Reported carries load reports of a pool's endpoints, which the pool's lease holder collects and sends to the other hosts.
type Reported struct {
	Pool      string
	Endpoints []Load
}

// Load is one endpoint's load report, its resident models and whether it is leaving.
type Load struct {
	Endpoint string // name
	Report   endpoint.Report
	Holding  []endpoint.Holding
	Leaving  bool
}

// Drain starts the drain: requests that arrive from now on are refused.
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
