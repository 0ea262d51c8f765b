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

// RequestArrived says that a caller's request has arrived and been parsed.
type RequestArrived struct {
	Request           uint64 // id, unique within the process
	KeyDigest         string // of the caller's key; empty without one
	Model             string // model that the caller names; empty for a call to a service
	Path              string // URL path, for a call to a service
	HasIdempotencyKey bool
	PromptTokens      int64  // estimated prompt tokens
	CallerMaxTokens   int64  // most tokens that the caller allows to be generated; 0 when it names no limit
	PrefixHash        uint64 // hash of the beginning of the prompt; 0 for none
}

// IntentRecorded says that the durable intent of an at-most-once call has been recorded.
type IntentRecorded struct{ Request uint64 }

// AttemptFinished says that an attempt has ended.
type AttemptFinished struct {
	Request    uint64
	Outcome    endpoint.Outcome
	Sent       bool  // at least one byte may have reached the endpoint
	UsedTokens int64 // tokens used, prompt included; negative when unknown
	Retryable  bool  // another attempt may follow if the route allows it; false once part of the response has reached the caller, or the caller has left
}

// RequestAbandoned says that a request is over and that its next attempt has not begun: its caller has gone, or the host has responded without an attempt.
type RequestAbandoned struct{ Request uint64 }

// Tick says that time has passed; the host applies one at short intervals, so that deadlines and periodic work are noticed.
type Tick struct{}

// RowsReceived carries the result of a ReadTable or SyncMember effect: rows of the shared state.
type RowsReceived struct {
	Source    replica.Source
	StartedAt time.Duration // of the exchange; the freshness window counts from here
	After     int64         // revision after which the rows were written
	Rows      table.Snapshot
	Settled   int64 // a revision that every fresh host has reached, as reported by a member
}

// RevisionApplied says that a member has applied all changes up to a revision.
type RevisionApplied struct {
	Member   string
	Revision int64
}

// MemberSilent says that a member did not respond to a message.
type MemberSilent struct{ Member string }

// MemberResponded says that a member responded to a message.
type MemberResponded struct{ Member string }

// LoanReceived reports the result of a RequestLoan effect.
type LoanReceived struct {
	Account     string
	Loan        string        // id
	Lender      string        // member id
	Tokens      int64         // tokens lent; 0 when the lender had none or did not respond
	RequestedAt time.Duration // on this host's monotonic clock
}

// LoanRequested says that a member asks for a loan. A GrantLoan effect is the response.
type LoanRequested struct {
	Account  string
	Loan     string // id
	Borrower string // member id
	Tokens   int64
}

// LoanRepaid says that a borrower has returned the unused part of a loan that this host made.
type LoanRepaid struct {
	Account string
	Loan    string // id
	Unused  int64  // total of tokens returned so far for this loan; 0: all are spent
}

// LeavingListed carries the addresses that the platform's list shows as leaving.
type LeavingListed struct {
	Addresses map[string]bool
}

// LoadsReported carries load reports of a pool's endpoints, which the pool's lease holder collects and sends to the other hosts.
type LoadsReported struct {
	Pool      string
	Endpoints []EndpointLoad
}

// EndpointLoad is one endpoint's load report, its resident models and whether it is leaving.
type EndpointLoad struct {
	Endpoint       string // name
	Report         endpoint.Report
	ResidentModels []endpoint.ResidentModel
	Leaving        bool
}

// DrainStarted starts the drain: requests that arrive from now on are refused.
type DrainStarted struct{}

func (RequestArrived) isEvent()   {}
func (IntentRecorded) isEvent()   {}
func (AttemptFinished) isEvent()  {}
func (RequestAbandoned) isEvent() {}
func (Tick) isEvent()             {}
func (RowsReceived) isEvent()     {}
func (RevisionApplied) isEvent()  {}
func (MemberSilent) isEvent()     {}
func (MemberResponded) isEvent()  {}
func (LoanReceived) isEvent()     {}
func (LoanRequested) isEvent()    {}
func (LoanRepaid) isEvent()       {}
func (LeavingListed) isEvent()    {}
func (LoadsReported) isEvent()    {}
func (DrainStarted) isEvent()     {}
