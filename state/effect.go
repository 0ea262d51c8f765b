package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/route"
)

// Effect is an action that the host must carry out, returned by State.Apply.
type Effect interface{ isEffect() }

// RecordIntent asks the host to record the durable intent of an at-most-once call. IntentRecorded reports that it is recorded.
type RecordIntent struct {
	Request uint64
	Account string
	Route   route.Route
}

// SendAttempt asks the host to make one attempt of a request. AttemptFinished reports its end.
type SendAttempt struct {
	Request     uint64
	Attempt     int // number of the attempt, from 1
	Account     string
	Route       route.Route
	Endpoint    endpoint.Endpoint
	Version     string        // of the model
	MaxTokens   int64         // tokens that the endpoint may generate
	LatestStart time.Duration // monotonic
}

// RefuseRequest asks the host to respond to a request with an error of its own, because no endpoint has responded usably.
type RefuseRequest struct {
	Request    uint64
	Account    string // client account; empty when unknown
	Reason     Reason
	Run        Run           // whether an endpoint ran the request
	RetryAfter time.Duration // how long the caller should wait before it tries again; 0 when unknown
}

// AbortRequest asks the host to abort a request that an endpoint is running.
type AbortRequest struct {
	Request uint64
	Reason  Reason
}

// RequestLoan asks the host to request a loan of an account's tokens from another member. LoanReceived reports the result.
type RequestLoan struct {
	Account     string
	Loan        string // id, unique in the fleet
	Lender      string // member id
	Address     string // of the lender
	Tokens      int64
	RequestedAt time.Duration // on this host's monotonic clock
}

// GrantLoan asks the host to respond to a member's request for a loan.
type GrantLoan struct {
	Loan   string // id
	Tokens int64  // tokens lent; 0 when there are none
}

// RepayLoan asks the host to return the unused part of a loan to its lender.
type RepayLoan struct {
	Account string
	Loan    string // id
	Lender  string // member id
	Address string // of the lender
	Unused  int64  // total of tokens returned so far for this loan; 0: all are spent
}

// ReadTable asks the host to read the changes after a revision from the table service.
type ReadTable struct{ After int64 }

// SyncMember asks the host to read the changes after a revision from another member.
type SyncMember struct {
	Member  string // id
	Address string
	After   int64
}

func (RecordIntent) isEffect()  {}
func (SendAttempt) isEffect()   {}
func (RefuseRequest) isEffect() {}
func (AbortRequest) isEffect()  {}
func (RequestLoan) isEffect()   {}
func (GrantLoan) isEffect()     {}
func (RepayLoan) isEffect()     {}
func (ReadTable) isEffect()     {}
func (SyncMember) isEffect()    {}
