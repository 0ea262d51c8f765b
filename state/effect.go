package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/route"
)

// Effect is something that the host has to do.
type Effect interface{ isEffect() }

// Begin asks for the durable intent of an at-most-once call.
type Begin struct {
	Request uint64
	Account string
	Route   route.Route
}

// Send asks for one attempt of a request.
type Send struct {
	Request  uint64
	Attempt  int // from 1
	Account  string
	Route    route.Route
	Endpoint endpoint.Endpoint
	Version  string        // of the model
	Limit    int64         // tokens that may be generated
	Until    time.Duration // the attempt must not start later
}

// Refuse ends a request that was not sent, or not answered.
type Refuse struct {
	Request uint64
	Account string // empty when it is not known
	Reason  Reason
	Run     Run
	Retry   time.Duration // when a new try may succeed; 0 when unknown
}

// Cut ends a request that is running.
type Cut struct {
	Request uint64
	Reason  Reason
}

// Borrow asks a member for tokens of an account.
type Borrow struct {
	Account string
	Loan    string
	Lender  string // member id
	Address string
	Tokens  int64
	Asked   time.Duration
}

// Lend answers a member that asked for tokens.
type Lend struct {
	Loan   string
	Tokens int64
}

// Repay returns the unused part of a loan to its lender.
type Repay struct {
	Account string
	Loan    string
	Lender  string
	Address string
	Unused  int64
}

// ReadTable asks for the changes after a revision from the table service.
type ReadTable struct{ After int64 }

// SyncMember asks a member for the changes after a revision.
type SyncMember struct {
	Member  string
	Address string
	After   int64
}

func (Begin) isEffect()      {}
func (Send) isEffect()       {}
func (Refuse) isEffect()     {}
func (Cut) isEffect()        {}
func (Borrow) isEffect()     {}
func (Lend) isEffect()       {}
func (Repay) isEffect()      {}
func (ReadTable) isEffect()  {}
func (SyncMember) isEffect() {}
